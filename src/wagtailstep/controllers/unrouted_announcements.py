"""Announcements for services to which the table in force has no route."""

from collections import OrderedDict

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import TargetAnnounced
from wagtailstep.models.table import Table

# Bounds the memory; the oldest are dropped first, and a server announces itself again.
MAX_UNROUTED = 16


class UnroutedAnnouncements:
    """Keep the newest announcement of each server of an unrouted service.

    Such a server gets no requests. Its announcement may come from another writer, so it
    must not take over the address of a server that does. It is kept until a version of
    the table routes requests to its service.

    The service that this daemon was set up beside always counts as routed, and so does
    any before the first table and with tables that have no routes by host.

    :param own_service: service of the servers beside this daemon; may be empty.
    :param blackboard: source of the table in force.
    """

    def __init__(self, own_service: str, blackboard: Blackboard) -> None:
        self.own_service = own_service
        self.blackboard = blackboard
        self.by_target: OrderedDict[str, TargetAnnounced] = OrderedDict()
        self.table: Table | None = None
        self.services: set[str] = set()

    def is_routed(self, service: str) -> bool:
        """Return whether requests may be sent to a service."""
        board = self.blackboard
        if self.table is not board.table:
            self.table = board.table
            self.services = board.table.host_routes.services()
        if not board.table_known or not self.services:
            return True
        return service == self.own_service or service in self.services

    def keep(self, event: TargetAnnounced) -> bool:
        """Keep an announcement if its service is unrouted.

        A server that was announced before its service lost its routes is not affected.

        :return: whether it is kept.
        """
        name = event.target.target_id
        if name in self.blackboard.local_targets:
            return False
        if self.is_routed(event.target.service):
            self.by_target.pop(name, None)
            return False
        self.by_target[name] = event
        self.by_target.move_to_end(name)
        if len(self.by_target) > MAX_UNROUTED:
            self.by_target.popitem(last=False)
        return True

    def pop_routed(self) -> list[TargetAnnounced]:
        """Return the announcements whose services have become routed."""
        names = [
            name
            for name, event in self.by_target.items()
            if self.is_routed(event.target.service)
        ]
        return [self.by_target.pop(name) for name in names]

    def discard_instance(self, instance_id: str) -> None:
        """Discard the announcements of a server that leaves.

        :param instance_id: target identifier without the service.
        """
        for name in list(self.by_target):
            if name.partition("/")[2] == instance_id:
                del self.by_target[name]
