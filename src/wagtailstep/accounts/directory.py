"""The client accounts that the table lists."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class ClientAccount:
    """One client account.

    :param name: unique name of the account.
    :param priority: rank of its requests, 0 first; ``None`` if it has none.
    :param rate_per_s: requests per second of the whole fleet; 0 for no limit.
    :param burst: requests that may be sent at once after an idle period; 0 for as many
        as the rate gives in a second.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class AccountDirectory:
    """Client accounts by name.

    :param accounts: the accounts by name.
    """

    def __init__(self, accounts: Mapping[str, ClientAccount]) -> None:
        self.accounts = dict(accounts)

    def find_name(self, name: str) -> ClientAccount | None:
        """Return the account of a name, or ``None`` if there is none."""
        return self.accounts.get(name)
