"""What an entry holds of the quota of one client account."""

import math
from collections import OrderedDict, deque
from datetime import timedelta

import attrs

from wagtailstep.accounts.directory import ClientAccount

RATE_AVERAGING_S = 1.0


@attrs.define
class Lease:
    """Granted tokens that were not used yet.

    :param amount: how many.
    :param expires_at: monotonic time from which they may not be used.
    :param grantor: ``daemon_id`` of the daemon that granted them.
    """

    amount: int
    expires_at: timedelta
    grantor: str


@attrs.define
class LocalBucket:
    """Tokens that an entry grants itself while it reaches no home.

    :param tokens: tokens as of ``updated_at``.
    :param updated_at: monotonic time of the last refill.
    """

    tokens: float
    updated_at: timedelta


@attrs.define
class PendingTokens:
    """A request for tokens that was not answered yet.

    :param amount: tokens that were requested.
    :param due_at: monotonic time until which the daemon asked last should answer.
    :param asked: ``daemon_id`` of the daemons asked so far.
    :param serials: serials of the messages to them.
    """

    amount: int
    due_at: timedelta
    asked: list[str]
    serials: set[int] = attrs.field(factory=set)


@attrs.define
class AccountLeases:
    """What this entry knows of the quota of one account.

    :param account: the account, with the limits that its leases were requested under.
    :param used_at: monotonic time of its last request.
    :param rate: its requests per second at this entry, as an average of the last
        ``RATE_AVERAGING_S``.
    :param leases: unused tokens, oldest first.
    :param waiting: ``request_id`` of the requests that wait for a token, oldest first.
    :param pending: the request for tokens that they wait for.
    :param denied_at: monotonic time at which the home last had too few tokens.
    :param denied_until: monotonic time until which the home is not asked again.
    :param next_token_at: monotonic time at which the home has a token.
    :param local: tokens for the time without a reachable home.
    """

    account: ClientAccount
    used_at: timedelta
    rate: float = 0.0
    leases: deque[Lease] = attrs.field(factory=deque)
    waiting: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    pending: PendingTokens | None = None
    denied_at: timedelta | None = None
    denied_until: timedelta = timedelta()
    next_token_at: timedelta = timedelta()
    local: LocalBucket | None = None

    def record_request(self, now: timedelta) -> None:
        """Count a request in the average rate."""
        elapsed = (now - self.used_at) / timedelta(seconds=RATE_AVERAGING_S)
        self.rate = self.rate * math.exp(-elapsed) + 1 / RATE_AVERAGING_S
        self.used_at = now

    def take(self, now: timedelta) -> Lease | None:
        """Take one token; return the lease that it is from, or ``None``."""
        for lease in self.leases:
            if lease.amount and now < lease.expires_at:
                lease.amount -= 1
                return lease
        return None

    def remove_expired(self, now: timedelta) -> dict[str, int]:
        """Remove expired and used-up leases; return their tokens by grantor."""
        unused: dict[str, int] = {}
        kept: deque[Lease] = deque()
        for lease in self.leases:
            if lease.amount and now < lease.expires_at:
                kept.append(lease)
            elif lease.amount:
                unused[lease.grantor] = unused.get(lease.grantor, 0) + lease.amount
        self.leases = kept
        return unused
