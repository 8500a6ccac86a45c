"""A table that operators publish as versioned documents through the platform.

The newest version seen is in force; an older one never replaces it. Daemons announce
their versions to each other, with the age of what they know. One that did not read a
version from the platform requests the document from the daemons that announced it, in
turn, until it has it; one whose knowledge gets too old reads the platform itself
(:mod:`wagtailstep.controllers.table_freshness`).
"""

import random
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs
import xxhash

from wagtailstep.controllers.table_build import (
    BUILD_PAUSE,
    TableBuild,
    TableBuilder,
    start_build,
)
from wagtailstep.controllers.table_freshness import UNKNOWN_AGE_MS, TableFreshness
from wagtailstep.controllers.table_members import TableMembers
from wagtailstep.exceptions import DecodeError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    FollowTable,
    PeerMessageReceived,
    RecordEvent,
    StoreEraRead,
    Tick,
)
from wagtailstep.models.fleet import Member
from wagtailstep.models.published_table import (
    ContinueTableBuild,
    TableBuildDue,
    TableDocument,
    TableDocumentMessage,
    TableDocumentRequest,
    TablePublished,
    TableReadConfirmed,
    TableVersionMessage,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import Clock

ReadDocument = Callable[[TableDocument], Table]
# Targets of a small table's services are discovered before the first request. With
# more services a daemon keeps only the targets of those that callers request.
MAX_PREFETCHED_SERVICES = 32
# Time that the platform gets to deliver a version before a peer is asked for it, and a
# peer before the next one is asked.
REQUEST_DELAY = timedelta(milliseconds=250)
# Daemons that announced a version and are asked for it in turn.
MAX_ANNOUNCERS = 4
MAX_REQUESTS = 8


@attrs.define
class MissingVersion:
    """A version that other daemons have in force and this one does not.

    :param version: the version.
    :param announcers: ``daemon_id`` of daemons that announced it; the first is asked
        next.
    :param heard_at: monotonic time at which it was first announced.
    :param request_at: monotonic time at which to request it.
    :param requests_left: how many more requests are sent for it.
    """

    version: int
    announcers: deque[str]
    heard_at: timedelta
    request_at: timedelta
    requests_left: int = MAX_REQUESTS

    def add_announcer(self, daemon_id: str) -> None:
        """Add a daemon to ask, before those that have already been asked."""
        if daemon_id not in self.announcers:
            self.announcers.appendleft(daemon_id)

    def take_announcer(self) -> str:
        """Return the daemon to ask now; it is the last one to be asked again."""
        self.announcers.rotate(-1)
        return self.announcers[-1]


class PublishedTableController:
    """Keep the newest published table in force.

    :param blackboard: ``table``, ``table_known``, ``table_since``, ``table_known_at``,
        ``store_era`` and ``requested_services`` are written.
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
        self.freshness = TableFreshness(self.settings, blackboard, clock, rng)
        self.reads = True
        self.document: TableDocument | None = None
        # Hash of the last document that could not be read, by version.
        self.unreadable_versions: dict[int, int] = {}
        self.reads_newest = True
        self.missing: MissingVersion | None = None
        self.next_digest_at = timedelta()
        self.builder = TableBuilder()
        self.document_message: Any = None

    @property
    def version(self) -> int:
        """Return the version in force, or -1 if there is none."""
        return -1 if self.document is None else self.document.version

    @property
    def received_version(self) -> int:
        """Return the newest readable version received, even if not in force yet."""
        return max(self.version, self.builder.version)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the table does not depend on."""
        return []

    @handle.register
    def _(self, event: TablePublished) -> list[Any]:
        return self.apply_document(event.document, event.source)

    @handle.register
    def _(self, event: TableReadConfirmed) -> list[Any]:
        self.freshness.raise_known_at(event.confirmed_at)
        self.reads_newest = event.is_readable
        if self.document is None or not self.reads:
            return []
        return self.announce_to(self.members.list_own_zone())

    @handle.register
    def _(self, event: StoreEraRead) -> list[Any]:
        self.blackboard.store_era = max(self.blackboard.store_era, event.era)
        return []

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.handle_message(event.message, event.sender)

    @handle.register
    def _(self, event: TableBuildDue) -> list[Any]:
        return self.continue_build()

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects = self.request_missing(now)
        is_digest_due = now >= self.next_digest_at
        if is_digest_due:
            interval = timedelta(milliseconds=self.settings.digest_interval_ms)
            self.next_digest_at = now + interval * (0.75 + 0.5 * self.rng.random())
            self.freshness.update_designated()
        effects += self.choose_reader(now)
        if is_digest_due:
            effects += self.announce_to(self.members.sample(1))
        return effects

    def choose_reader(self, now: timedelta) -> list[Any]:
        """Start or stop to follow the table at the platform.

        A daemon without a table follows it in any case.
        """
        missing = self.missing
        behind = timedelta() if missing is None else now - missing.heard_at
        reads = self.freshness.decide_reading(behind) or self.document is None
        if reads == self.reads:
            return []
        self.reads = reads
        fields = {
            "reads": str(reads),
            "designated": str(self.freshness.designated),
            "known_age_ms": str(self.freshness.measure_age_ms()),
            "behind_ms": str(behind // timedelta(milliseconds=1)),
        }
        return [FollowTable(reads), RecordEvent("table-reader", fields)]

    @singledispatchmethod
    def handle_message(self, message: Any, sender: str) -> list[Any]:
        """Ignore a message that is not about the table."""
        return []

    @handle_message.register
    def _(self, message: TableVersionMessage, sender: str) -> list[Any]:
        self.blackboard.store_era = max(self.blackboard.store_era, message.store_era)
        if message.version < self.version and message.reader_age_ms < 0:
            # An older release takes the document without a request, and would answer
            # an announcement with its version again and again.
            return self.send_document(sender)
        if message.version < self.version:
            self.freshness.confirm_age(message.known_age_ms)
            return self.members.send_to(sender, self.build_version_message())
        if message.version > self.version:
            return self.handle_newer_version(message.version, sender)
        self.freshness.confirm_age(message.known_age_ms)
        return []

    @handle_message.register
    def _(self, message: TableDocumentRequest, sender: str) -> list[Any]:
        return self.send_document(sender) if message.version < self.version else []

    @handle_message.register
    def _(self, message: TableDocumentMessage, sender: str) -> list[Any]:
        return self.apply_document(TableDocument(message.version, message.data), sender)

    def send_document(self, daemon_id: str) -> list[Any]:
        """Send the document in force to a member."""
        if self.document is None:
            return []
        return self.members.send_to(daemon_id, self.document_message)

    def handle_newer_version(self, version: int, daemon_id: str) -> list[Any]:
        """Request a newer version, at once or after others could have brought it.

        A daemon that reads the table itself will usually have it sooner. One that does
        not read it is usually told by a daemon of its own zone.
        """
        if version in self.unreadable_versions or version <= self.received_version:
            return []
        missing = self.missing
        if missing is not None and missing.version > version:
            return []
        now = self.clock.monotonic()
        is_near = not self.reads and self.members.is_in_own_zone(daemon_id)
        is_urgent = is_near or self.document is None
        if missing is not None and missing.version == version:
            missing.add_announcer(daemon_id)
            if is_urgent and missing.requests_left == MAX_REQUESTS:
                missing.request_at = now
            return self.request_missing(now)
        heard_at = now if missing is None else missing.heard_at
        request_at = now if is_urgent else now + REQUEST_DELAY
        announcers = deque([daemon_id], maxlen=MAX_ANNOUNCERS)
        self.missing = MissingVersion(version, announcers, heard_at, request_at)
        fields = {"version": str(version), "announced_by": daemon_id}
        announced = RecordEvent("table-announced", fields)
        return [announced, *self.request_missing(now)]

    def request_missing(self, now: timedelta) -> list[Any]:
        """Request the announced version if it is due and still missing."""
        missing = self.missing
        if missing is None or now < missing.request_at:
            return []
        if missing.version <= self.received_version:
            return []
        if not missing.requests_left:
            # Announced again if a daemon really has it.
            self.missing = None
            return []
        missing.requests_left -= 1
        missing.request_at = now + REQUEST_DELAY
        request = TableDocumentRequest(self.version)
        return self.members.send_to(missing.take_announcer(), request)

    def announce_to(self, members: list[Member]) -> list[Any]:
        """Announce the version in force to some members."""
        effects: list[Any] = []
        for member in members:
            message = self.build_version_message()
            effects += self.members.send_to(member.daemon_id, message)
        return effects

    def build_version_message(self) -> TableVersionMessage:
        """Return the message about the version in force and the age of knowledge."""
        age_ms = self.freshness.measure_age_ms()
        unreadable = max(self.unreadable_versions, default=-1)
        is_newest = (
            self.reads_newest
            and unreadable <= self.version
            and self.received_version == self.version
        )
        return TableVersionMessage(
            self.version,
            age_ms,
            self.blackboard.store_era,
            age_ms if is_newest else UNKNOWN_AGE_MS,
        )

    def record_unreadable(
        self, document: TableDocument, error: DecodeError
    ) -> RecordEvent:
        """Remember an unreadable document, so that it is not read again.

        Another document of that version is, since a corrupt one may come from a peer.
        """
        version = document.version
        self.unreadable_versions[version] = xxhash.xxh64_intdigest(document.data)
        if self.missing is not None and self.missing.version == version:
            self.missing = None
        fields = {"version": str(version), "error": str(error)}
        return RecordEvent("table-unreadable", fields)

    def is_unreadable(self, document: TableDocument) -> bool:
        """Return whether the same document could not be read before."""
        known_hash = self.unreadable_versions.get(document.version)
        return known_hash == xxhash.xxh64_intdigest(document.data)

    def apply_document(self, document: TableDocument, source: str) -> list[Any]:
        """Put a document in force if it is newer, at once unless it is large."""
        if document.version <= self.received_version or self.is_unreadable(document):
            return []
        try:
            table = self.read_document(document)
        except DecodeError as error:
            return [self.record_unreadable(document, error)]
        self.unreadable_versions.pop(document.version, None)
        build = start_build(document, source, table)
        if not self.builder.add(build):
            return []
        # Reading a large document has taken as much time as a step.
        return self.wait_for_step() if build.is_large else self.continue_build()

    def wait_for_step(self) -> list[Any]:
        """Continue the build after a pause."""
        return [ContinueTableBuild(BUILD_PAUSE)]

    def continue_build(self) -> list[Any]:
        """Add accounts to the table that is being built; put it in force with all."""
        build = self.builder.advance()
        effects = [] if build is None else self.complete_build(build)
        if self.builder.current is not None:
            effects += self.wait_for_step()
        return effects

    def complete_build(self, build: TableBuild) -> list[Any]:
        """Put a complete table in force and announce it to other members."""
        document, source, table = build.document, build.source, build.table
        self.document = document
        self.document_message = build.message
        self.put_in_force(table)
        fields = {
            "version": str(document.version),
            "source": source,
            "heard_ms_before": str(self.clear_missing()),
        }
        if unreadable := table.host_routes.unreadable:
            fields["unreadable_routes"] = str(len(unreadable))
            fields["error"] = unreadable[0].error
        if (accounts := table.client_accounts) is not None:
            fields["accounts"] = str(len(accounts))
            if accounts.unreadable:
                fields["unreadable_accounts"] = str(len(accounts.unreadable))
                fields["account_error"] = accounts.unreadable[0].error
        event = RecordEvent("table-in-force", fields)
        near = self.members.select_own_zone(self.settings.push_fanout)
        # One anywhere, for zones whose readers are cut off.
        return [event, *self.announce_to(near + self.members.sample(1))]

    def clear_missing(self) -> int:
        """Forget the missing version if it is in force now.

        :return: the milliseconds since it was announced; 0 if it was not.
        """
        missing = self.missing
        if missing is None or missing.version > self.version:
            return 0
        self.missing = None
        return (self.clock.monotonic() - missing.heard_at) // timedelta(milliseconds=1)

    def put_in_force(self, table: Table) -> None:
        """Write a table to the blackboard and request a small table's services."""
        board = self.blackboard
        board.table = table
        board.table_known = True
        board.table_since = self.clock.utc()
        services = table.host_routes.services()
        if len(services) <= MAX_PREFETCHED_SERVICES:
            board.requested_services |= services
