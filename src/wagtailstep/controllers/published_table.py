"""A table that operators publish whole, in versions, through the platform.

The newest version that was seen is in force; none that is older ever is. Daemons
pass the document on, so that one that the platform turns away has it as well.
"""

import random
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.table_members import TableMembers
from wagtailstep.exceptions import DecodeError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, RecordEvent, Tick
from wagtailstep.models.published_table import (
    TableDocument,
    TableDocumentMessage,
    TablePublished,
    TableVersionMessage,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import Clock

ReadDocument = Callable[[TableDocument], Table]
# Targets of the services of a small table are looked for before anyone asks; with many
# services a daemon is to know only those that it is asked for.
MAX_PREFETCHED_SERVICES = 32


class PublishedTableController:
    """Keep the newest published table in force.

    :param blackboard: ``table``, ``table_known``, ``table_since`` and
        ``requested_services`` are written.
    :param read_document: reads a document; it raises
        :class:`wagtailstep.exceptions.DecodeError` if that can't be done.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        read_document: ReadDocument,
    ) -> None:
        self.settings = settings.table
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.read_document = read_document
        self.members = TableMembers(settings.daemon_id, blackboard, rng)
        self.document: TableDocument | None = None
        self.unreadable: set[int] = set()
        self.digest_at = timedelta()

    @property
    def version(self) -> int:
        """Return the version in force; -1 for none."""
        return -1 if self.document is None else self.document.version

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the table does not depend on."""
        return []

    @handle.register
    def _(self, event: TablePublished) -> list[Any]:
        return self.take(event.document, event.source)

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.take_message(event.message, event.sender)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        if now < self.digest_at:
            return []
        interval = timedelta(milliseconds=self.settings.digest_interval_ms)
        self.digest_at = now + interval * (0.75 + 0.5 * self.rng.random())
        message = TableVersionMessage(self.version)
        effects: list[Any] = []
        for member in self.members.pick(1):
            effects += self.members.send_to(member.daemon_id, message)
        return effects

    @singledispatchmethod
    def take_message(self, message: Any, sender: str) -> list[Any]:
        """Ignore a message that is not about the table."""
        return []

    @take_message.register
    def _(self, message: TableVersionMessage, sender: str) -> list[Any]:
        if message.version < self.version:
            return self.send(sender)
        if message.version > self.version:
            return self.members.send_to(sender, TableVersionMessage(self.version))
        return []

    @take_message.register
    def _(self, message: TableDocumentMessage, sender: str) -> list[Any]:
        return self.take(TableDocument(message.version, message.data), sender)

    def send(self, daemon_id: str) -> list[Any]:
        """Send the document in force to a member."""
        if self.document is None:
            return []
        message = TableDocumentMessage(self.document.version, self.document.data)
        return self.members.send_to(daemon_id, message)

    def take(self, document: TableDocument, source: str) -> list[Any]:
        """Put a document in force if it is newer, and pass it on."""
        if document.version <= self.version or document.version in self.unreadable:
            return []
        try:
            table = self.read_document(document)
        except DecodeError as error:
            self.unreadable.add(document.version)
            fields = {"version": str(document.version), "error": str(error)}
            return [RecordEvent("table-unreadable", fields)]
        self.document = document
        self.put_in_force(table)
        fields = {"version": str(document.version), "source": source}
        effects: list[Any] = [RecordEvent("table-in-force", fields)]
        for member in self.members.pick(self.settings.push_fanout):
            effects += self.send(member.daemon_id)
        return effects

    def put_in_force(self, table: Table) -> None:
        """Write a table to the blackboard."""
        board = self.blackboard
        board.table = table
        board.table_known = True
        board.table_since = self.clock.utc()
        services = table.host_routes.services()
        if len(services) <= MAX_PREFETCHED_SERVICES:
            board.requested_services |= services
