"""A table that operators publish as versioned documents through the platform.

The newest version seen is in force; an older one never replaces it. Daemons send the
document to each other, so that one that cannot read it from the platform gets it too.
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
# Targets of a small table's services are discovered before the first request. With
# more services a daemon keeps only the targets of those that callers request.
MAX_PREFETCHED_SERVICES = 32


class PublishedTableController:
    """Keep the newest published table in force.

    :param blackboard: ``table``, ``table_known``, ``table_since`` and
        ``requested_services`` are written.
    :param read_document: parses a document, and raises
        :class:`wagtailstep.exceptions.DecodeError` if it is malformed.
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
        self.unreadable_versions: set[int] = set()
        self.next_digest_at = timedelta()

    @property
    def version(self) -> int:
        """Return the version in force, or -1 if there is none."""
        return -1 if self.document is None else self.document.version

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the table does not depend on."""
        return []

    @handle.register
    def _(self, event: TablePublished) -> list[Any]:
        return self.apply_document(event.document, event.source)

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.handle_message(event.message, event.sender)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        if now < self.next_digest_at:
            return []
        interval = timedelta(milliseconds=self.settings.digest_interval_ms)
        self.next_digest_at = now + interval * (0.75 + 0.5 * self.rng.random())
        message = TableVersionMessage(self.version)
        effects: list[Any] = []
        for member in self.members.sample(1):
            effects += self.members.send_to(member.daemon_id, message)
        return effects

    @singledispatchmethod
    def handle_message(self, message: Any, sender: str) -> list[Any]:
        """Ignore a message that is not about the table."""
        return []

    @handle_message.register
    def _(self, message: TableVersionMessage, sender: str) -> list[Any]:
        if message.version < self.version:
            return self.send_document(sender)
        if message.version > self.version:
            return self.members.send_to(sender, TableVersionMessage(self.version))
        return []

    @handle_message.register
    def _(self, message: TableDocumentMessage, sender: str) -> list[Any]:
        return self.apply_document(TableDocument(message.version, message.data), sender)

    def send_document(self, daemon_id: str) -> list[Any]:
        """Send the document in force to a member."""
        if self.document is None:
            return []
        message = TableDocumentMessage(self.document.version, self.document.data)
        return self.members.send_to(daemon_id, message)

    def apply_document(self, document: TableDocument, source: str) -> list[Any]:
        """Put a document in force if it is newer, and send it to other members."""
        if (
            document.version <= self.version
            or document.version in self.unreadable_versions
        ):
            return []
        try:
            table = self.read_document(document)
        except DecodeError as error:
            self.unreadable_versions.add(document.version)
            fields = {"version": str(document.version), "error": str(error)}
            return [RecordEvent("table-unreadable", fields)]
        self.document = document
        self.put_in_force(table)
        fields = {"version": str(document.version), "source": source}
        effects: list[Any] = [RecordEvent("table-in-force", fields)]
        for member in self.members.sample(self.settings.push_fanout):
            effects += self.send_document(member.daemon_id)
        return effects

    def put_in_force(self, table: Table) -> None:
        """Write a table to the blackboard and request a small table's services."""
        board = self.blackboard
        board.table = table
        board.table_known = True
        board.table_since = self.clock.utc()
        services = table.host_routes.services()
        if len(services) <= MAX_PREFETCHED_SERVICES:
            board.requested_services |= services
