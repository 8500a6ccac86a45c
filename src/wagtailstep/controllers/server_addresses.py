"""Which local backend servers were announced at which address."""

from collections.abc import Callable

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Target


class ServerAddresses:
    """Find the local servers at an address, which belongs to one process at a time.

    A server of an unrouted service neither has an address nor takes one over: its
    announcement may come from another writer.

    :param blackboard: source of the local servers.
    :param is_routed: returns whether requests may be sent to a service.
    """

    def __init__(
        self, blackboard: Blackboard, is_routed: Callable[[str], bool]
    ) -> None:
        self.blackboard = blackboard
        self.is_routed = is_routed

    def list_holders(self, address: str) -> list[str]:
        """Return the targets that were announced at an address.

        :param address: ``host:port``; empty if the server named none.
        """
        return [
            name
            for name in self._list_at(address)
            if self.is_routed(self.blackboard.targets[name].service)
        ]

    def list_replaced(self, target: Target) -> list[str]:
        """Return the targets whose address a newly announced one takes over."""
        if not self.is_routed(target.service):
            return []
        names = self._list_at(target.address)
        return [name for name in names if name != target.target_id]

    def _list_at(self, address: str) -> list[str]:
        board = self.blackboard
        return [
            name
            for name in board.local_targets
            if address and board.targets[name].address == address
        ]
