"""Replication of the table: which version is in force at this daemon."""

import functools
import random
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from wagtailstep.controllers.table_exchange import (
    build_outcome_event,
)
from wagtailstep.controllers.table_gossip import TableGossip
from wagtailstep.controllers.table_members import TableMembers
from wagtailstep.controllers.table_snapshots import SnapshotWriter
from wagtailstep.controllers.table_start import FirstTableCheck
from wagtailstep.controllers.table_transfer import SnapshotReceiver, SnapshotSender
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    FollowStream,
    LogAppendFinished,
    LogCaughtUp,
    LogGap,
    LogRecordsRead,
    PeerMessageReceived,
    RecordEvent,
    Tick,
)
from wagtailstep.models.log import LogRecord
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table_edits import TABLE_STREAM, EditOutcome
from wagtailstep.models.table_messages import (
    TableDigest,
    TableRecords,
    TableSnapshotChunk,
    TableSnapshotRequest,
)
from wagtailstep.models.table_reader import TableReader
from wagtailstep.utils.clock import Clock

RECENT_POLLS = 6


class TableController:
    """Keeps the newest accepted table in force, from the log and from members.

    A record read from the log takes effect once another daemon holds it as well, so
    that this daemon can recover it if it restarts while the log is unavailable. A
    daemon without a table accepts none that is older than one reported by a member.

    :param settings: the daemon's settings.
    :param blackboard: its ``table``, ``table_known`` and ``table_since`` are
        written here.
    :param clock: source of the current time.
    :param rng: source of all random choices.
    """

    reader_class = TableReader

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.members = TableMembers(settings.daemon_id, blackboard, rng)
        recency_limit = timedelta(milliseconds=RECENT_POLLS * settings.log.poll_ms)
        self.first_table = FirstTableCheck(settings.table, clock, recency_limit)
        self.reader = self.reader_class()
        self.snapshot_sender = SnapshotSender(settings.table, clock, rng)
        self.snapshot_receiver = SnapshotReceiver(settings.table, clock)
        self.snapshot_writer = SnapshotWriter(settings, clock, rng)
        self.gossip = TableGossip(
            settings.table,
            blackboard,
            clock,
            rng,
            self.reader,
            self.members,
            self.first_table,
            self.snapshot_receiver,
        )
        self.following = False
        self.unconfirmed: list[LogRecord] = []
        self.unconfirmed_since = timedelta()
        self.version_in_force = -1

    @functools.singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event and return effects; see :class:`Controller`."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects: list[Any] = []
        if not self.following:
            self.following = True
            effects.append(FollowStream(TABLE_STREAM))
        effects += self.confirm_timed_out()
        effects += self.propagate()
        effects += self.snapshot_receiver.tick()
        effects += self.write_snapshot()
        self.snapshot_sender.discard_stale()
        return effects + self.activate_first_table()

    def propagate(self) -> list[Any]:
        """Send a digest and the newest records to members when they are due."""
        effects: list[Any] = list(self.gossip.resend_records())
        if not self.gossip.try_start_digest():
            return effects
        if self.unconfirmed:
            effects += self.push_unconfirmed()
        return effects + self.gossip.send_digest()

    @handle.register
    def _(self, event: LogRecordsRead) -> list[Any]:
        if event.stream != TABLE_STREAM:
            return []
        if not self.blackboard.table_known:
            return self.apply_log_records(event.records)
        fresh = [r for r in event.records if r.offset >= self.held_position]
        old = [r for r in event.records if r.offset < self.held_position]
        effects = self.apply_log_records(old)
        return effects + self.hold_records(fresh)

    @handle.register
    def _(self, event: LogCaughtUp) -> list[Any]:
        if event.stream != TABLE_STREAM:
            return []
        if event.next_offset == 0:
            self.reader.start_empty()
        self.first_table.record_caught_up(event.next_offset)
        return self.activate_first_table()

    @handle.register
    def _(self, event: LogGap) -> list[Any]:
        if event.stream != TABLE_STREAM:
            return []
        fields = {"position": str(self.reader.position)}
        fields["oldest_offset"] = str(event.oldest_offset)
        return [RecordEvent("table-log-gap", fields)]

    @handle.register
    def _(self, event: LogAppendFinished) -> list[Any]:
        return list(self.snapshot_writer.complete_append(event))

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.handle_message(event.message, event.sender)

    @functools.singledispatchmethod
    def handle_message(self, message: Any, sender: str) -> list[Any]:
        """Handle one message of another daemon."""
        return []

    @handle_message.register
    def _(self, message: TableDigest, sender: str) -> list[Any]:
        if not self.blackboard.table_known:
            self.first_table.record_digest(sender, message)
        effects = self.confirm_before(message.position)
        if effects and self.unconfirmed:
            effects += self.push_unconfirmed()
        effects += self.compare_content(message, sender)
        effects += self.gossip.handle_digest(message, sender)
        return effects + self.activate_first_table()

    @handle_message.register
    def _(self, message: TableRecords, sender: str) -> list[Any]:
        effects = self.apply_peer_records(message.records)
        behind = message.records and message.records[-1].offset >= self.reader.position
        if message.wants_answer or behind:
            effects += self.members.send_to(sender, self.gossip.build_digest())
        return effects + self.activate_first_table()

    @handle_message.register
    def _(self, message: TableSnapshotRequest, sender: str) -> list[Any]:
        if self.reader.fold is None:
            return []
        chunk = self.snapshot_sender.handle_request(message, self.reader.fold)
        return [] if chunk is None else self.members.send_to(sender, chunk)

    @handle_message.register
    def _(self, message: TableSnapshotChunk, sender: str) -> list[Any]:
        effects, fold = self.snapshot_receiver.handle_chunk(sender, message)
        result: list[Any] = list(effects)
        if fold is not None:
            before = self.reader.position
            outcomes = self.reader.restore(fold)
            result += self.report_progress(before, outcomes)
        return result + self.activate_first_table()

    @property
    def held_position(self) -> int:
        """Return the offset after the last record held, confirmed or not."""
        if self.unconfirmed:
            return self.unconfirmed[-1].offset + 1
        return self.reader.position

    def apply_log_records(self, records: Iterable[LogRecord]) -> list[Any]:
        """Fold records of the log without waiting for confirmation."""
        before = self.reader.position
        outcomes: list[EditOutcome] = []
        for record in records:
            outcomes += self.reader.apply_log_record(record)
        return self.report_progress(before, outcomes)

    def hold_records(self, records: list[LogRecord]) -> list[Any]:
        """Push new records, and hold them until another daemon has them too."""
        if not records:
            return []
        if not self.members.count():
            return self.apply_log_records(records)
        if not self.unconfirmed:
            self.unconfirmed_since = self.clock.monotonic()
        self.unconfirmed += records
        return self.push_unconfirmed()

    def push_unconfirmed(self) -> list[Any]:
        """Send the unconfirmed records to a few random members."""
        return self.gossip.push_records(self.unconfirmed, wants_answer=True)

    def confirm_before(self, position: int) -> list[Any]:
        """Fold the unconfirmed records before an offset that a member has reached."""
        ready = [r for r in self.unconfirmed if r.offset < position]
        if not ready:
            return []
        self.unconfirmed = [r for r in self.unconfirmed if r.offset >= position]
        self.unconfirmed_since = self.clock.monotonic()
        return self.apply_log_records(ready)

    def confirm_timed_out(self) -> list[Any]:
        """Fold the unconfirmed records if no member answered in time."""
        timeout = timedelta(milliseconds=self.settings.table.confirm_timeout_ms)
        if not self.unconfirmed:
            return []
        if self.clock.monotonic() - self.unconfirmed_since < timeout:
            return []
        return self.confirm_before(self.held_position)

    def apply_peer_records(self, records: tuple[LogRecord, ...]) -> list[Any]:
        """Fold records that another daemon holds, and push new ones to members."""
        if not records:
            return []
        effects = self.confirm_before(records[-1].offset + 1)
        if self.reader.fold is None and records[0].offset == 0:
            self.reader.start_empty()
        before = self.reader.position
        if before < 0 or records[0].offset > before:
            return effects
        outcomes: list[EditOutcome] = []
        for record in records:
            outcomes += self.reader.apply_record(record)
            if not record.data:
                self.snapshot_writer.defer()
        effects += self.report_progress(before, outcomes)
        if self.reader.position > before and self.blackboard.table_known:
            fresh = self.reader.tail.read(before, self.settings.table.reply_bytes)
            effects += self.gossip.push_records(fresh, wants_answer=False)
        return effects

    def compare_content(self, digest: TableDigest, sender: str) -> list[Any]:
        """Report a daemon whose table differs at the same version."""
        fold = self.reader.fold
        if fold is None or digest.position < 0:
            return []
        local_hash = fold.content_hash_at(digest.version)
        if local_hash is None or local_hash == digest.content_hash:
            return []
        fields = {"other": sender, "version": str(digest.version)}
        effects: list[Any] = [RecordEvent("table-diverged", fields)]
        if not self.blackboard.table_known:
            # Only a wrong snapshot can cause this; the member has had its table longer.
            self.reader.reset()
            effects += self.gossip.request_missing(digest, sender)
        return effects

    def report_progress(self, before: int, outcomes: list[EditOutcome]) -> list[Any]:
        """Report decided edits, and put a newer version in force."""
        effects: list[Any] = list(
            self.snapshot_writer.record_snapshots(self.reader.checked_snapshots)
        )
        self.reader.checked_snapshots.clear()
        if self.reader.fold is not None:
            self.snapshot_writer.record_edits(self.reader.fold)
        if self.blackboard.table_known:
            effects += [build_outcome_event(outcome) for outcome in outcomes]
        if self.reader.position > before and self.blackboard.table_known:
            effects += self.put_in_force()
        return effects

    def put_in_force(self) -> list[Any]:
        """Write the folded table to the blackboard if its version is new."""
        board = self.blackboard
        fold = self.reader.fold
        if fold is None:
            return []
        is_new = board.table_since is None or fold.version > self.version_in_force
        board.table = fold.table
        if not is_new:
            return []
        self.version_in_force = fold.version
        board.table_since = self.clock.utc()
        return [RecordEvent("table-in-force", {"version": str(fold.version)})]

    def activate_first_table(self) -> list[Any]:
        """Put the first table in force once it is known not to be outdated."""
        if self.blackboard.table_known:
            return []
        if not self.first_table.accepts(self.reader.position, self.members.count()):
            return []
        for sender, digest in self.first_table.member_digests.items():
            differences = self.compare_content(digest, sender)
            if differences:
                return differences
        self.blackboard.table_known = True
        self.first_table.member_digests.clear()
        return self.put_in_force()

    def write_snapshot(self) -> list[Any]:
        """Write a snapshot into the log if one is due."""
        fold = self.reader.fold
        if fold is None or not self.blackboard.table_known:
            return []
        caught_up = self.first_table.is_caught_up()
        return list(self.snapshot_writer.tick(fold, caught_up))
