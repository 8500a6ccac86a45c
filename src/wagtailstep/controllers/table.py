"""The table controller: which table is in force at this daemon."""

import functools
import random
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from wagtailstep.controllers.table_exchange import (
    report_outcome,
)
from wagtailstep.controllers.table_gossip import TableGossip
from wagtailstep.controllers.table_members import TableMembers
from wagtailstep.controllers.table_snapshots import SnapshotWriter
from wagtailstep.controllers.table_start import FirstTable
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

    A record that was read from the log takes effect once another daemon holds it
    as well, so that this daemon finds it again if it restarts while the log is
    away. A daemon without a table takes none that is older than what it heard of.

    :param settings: the daemon's settings.
    :param blackboard: its ``table``, ``table_known`` and ``table_since`` are
        written here.
    :param clock: tells the time.
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
        recent_for = timedelta(milliseconds=RECENT_POLLS * settings.log.poll_ms)
        self.first_table = FirstTable(settings.table, clock, recent_for)
        self.reader = self.reader_class()
        self.sender = SnapshotSender(settings.table, clock, rng)
        self.receiver = SnapshotReceiver(settings.table, clock)
        self.writer = SnapshotWriter(settings, clock, rng)
        self.gossip = TableGossip(
            settings.table,
            blackboard,
            clock,
            rng,
            self.reader,
            self.members,
            self.first_table,
            self.receiver,
        )
        self.following = False
        self.unconfirmed: list[LogRecord] = []
        self.unconfirmed_since = timedelta()
        self.version_in_force = -1

    @functools.singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Take one event and return effects; see :class:`Controller`."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects: list[Any] = []
        if not self.following:
            self.following = True
            effects.append(FollowStream(TABLE_STREAM))
        effects += self.confirm_late()
        effects += self.pass_on()
        effects += self.receiver.tick()
        effects += self.write_snapshot()
        self.sender.drop_stale()
        return effects + self.check_known()

    def pass_on(self) -> list[Any]:
        """Send digests and the newest records, from time to time."""
        effects: list[Any] = list(self.gossip.repeat_records())
        if not self.gossip.is_digest_due():
            return effects
        if self.unconfirmed:
            effects += self.push_unconfirmed()
        return effects + self.gossip.send_digest()

    @handle.register
    def _(self, event: LogRecordsRead) -> list[Any]:
        if event.stream != TABLE_STREAM:
            return []
        if not self.blackboard.table_known:
            return self.take_log_records(event.records)
        fresh = [r for r in event.records if r.offset >= self.held_position]
        old = [r for r in event.records if r.offset < self.held_position]
        effects = self.take_log_records(old)
        return effects + self.hold_records(fresh)

    @handle.register
    def _(self, event: LogCaughtUp) -> list[Any]:
        if event.stream != TABLE_STREAM:
            return []
        if event.next_offset == 0:
            self.reader.start_empty()
        self.first_table.note_caught_up(event.next_offset)
        return self.check_known()

    @handle.register
    def _(self, event: LogGap) -> list[Any]:
        if event.stream != TABLE_STREAM:
            return []
        fields = {"position": str(self.reader.position)}
        fields["oldest_offset"] = str(event.oldest_offset)
        return [RecordEvent("table-log-gap", fields)]

    @handle.register
    def _(self, event: LogAppendFinished) -> list[Any]:
        return list(self.writer.settle(event))

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.take_message(event.message, event.sender)

    @functools.singledispatchmethod
    def take_message(self, message: Any, sender: str) -> list[Any]:
        """Take one message of another daemon."""
        return []

    @take_message.register
    def _(self, message: TableDigest, sender: str) -> list[Any]:
        if not self.blackboard.table_known:
            self.first_table.note_digest(sender, message)
        effects = self.confirm_before(message.position)
        if effects and self.unconfirmed:
            effects += self.push_unconfirmed()
        effects += self.compare_content(message, sender)
        effects += self.gossip.answer_digest(message, sender)
        return effects + self.check_known()

    @take_message.register
    def _(self, message: TableRecords, sender: str) -> list[Any]:
        effects = self.take_peer_records(message.records)
        behind = message.records and message.records[-1].offset >= self.reader.position
        if message.wants_answer or behind:
            effects += self.members.send_to(sender, self.gossip.make_digest())
        return effects + self.check_known()

    @take_message.register
    def _(self, message: TableSnapshotRequest, sender: str) -> list[Any]:
        if self.reader.fold is None:
            return []
        chunk = self.sender.answer(message, self.reader.fold)
        return [] if chunk is None else self.members.send_to(sender, chunk)

    @take_message.register
    def _(self, message: TableSnapshotChunk, sender: str) -> list[Any]:
        effects, fold = self.receiver.take(sender, message)
        result: list[Any] = list(effects)
        if fold is not None:
            before = self.reader.position
            outcomes = self.reader.restore(fold)
            result += self.note_progress(before, outcomes)
        return result + self.check_known()

    # Records of the log

    @property
    def held_position(self) -> int:
        """Return the offset after the last record held, in force or not yet."""
        if self.unconfirmed:
            return self.unconfirmed[-1].offset + 1
        return self.reader.position

    def take_log_records(self, records: Iterable[LogRecord]) -> list[Any]:
        """Fold records of the log at once."""
        before = self.reader.position
        outcomes: list[EditOutcome] = []
        for record in records:
            outcomes += self.reader.apply_log_record(record)
        return self.note_progress(before, outcomes)

    def hold_records(self, records: list[LogRecord]) -> list[Any]:
        """Keep new records until another daemon holds them too, and push them."""
        if not records:
            return []
        if not self.members.count():
            return self.take_log_records(records)
        if not self.unconfirmed:
            self.unconfirmed_since = self.clock.monotonic()
        self.unconfirmed += records
        return self.push_unconfirmed()

    def push_unconfirmed(self) -> list[Any]:
        """Send the records that wait to a few random members."""
        return self.gossip.push(self.unconfirmed, wants_answer=True)

    def confirm_before(self, position: int) -> list[Any]:
        """Fold the waiting records before an offset that another daemon holds."""
        ready = [r for r in self.unconfirmed if r.offset < position]
        if not ready:
            return []
        self.unconfirmed = [r for r in self.unconfirmed if r.offset >= position]
        self.unconfirmed_since = self.clock.monotonic()
        return self.take_log_records(ready)

    def confirm_late(self) -> list[Any]:
        """Fold the waiting records if no member answered in time."""
        timeout = timedelta(milliseconds=self.settings.table.confirm_timeout_ms)
        if not self.unconfirmed:
            return []
        if self.clock.monotonic() - self.unconfirmed_since < timeout:
            return []
        return self.confirm_before(self.held_position)

    def take_peer_records(self, records: tuple[LogRecord, ...]) -> list[Any]:
        """Fold records that another daemon holds, and pass new ones on."""
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
                self.writer.put_off()
        effects += self.note_progress(before, outcomes)
        if self.reader.position > before and self.blackboard.table_known:
            fresh = self.reader.tail.read(before, self.settings.table.reply_bytes)
            effects += self.gossip.push(fresh, wants_answer=False)
        return effects

    def compare_content(self, digest: TableDigest, sender: str) -> list[Any]:
        """Report a daemon whose table differs at the same version."""
        fold = self.reader.fold
        if fold is None or digest.position < 0:
            return []
        mine = fold.content_hash_at(digest.version)
        if mine is None or mine == digest.content_hash:
            return []
        fields = {"other": sender, "version": str(digest.version)}
        effects: list[Any] = [RecordEvent("table-diverged", fields)]
        if not self.blackboard.table_known:
            # Only a wrong snapshot makes them differ; the member's table is older.
            self.reader.reset()
            effects += self.gossip.ask_missing(digest, sender)
        return effects

    # The table in force

    def note_progress(self, before: int, outcomes: list[EditOutcome]) -> list[Any]:
        """Report decided edits and the version that is in force now."""
        effects: list[Any] = list(self.writer.note_seen(self.reader.checked_snapshots))
        self.reader.checked_snapshots.clear()
        if self.reader.fold is not None:
            self.writer.note_edits(self.reader.fold)
        if self.blackboard.table_known:
            effects += [report_outcome(outcome) for outcome in outcomes]
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

    def check_known(self) -> list[Any]:
        """Put the first table in force once it can't be an older one."""
        if self.blackboard.table_known:
            return []
        if not self.first_table.accepts(self.reader.position, self.members.count()):
            return []
        for sender, digest in self.first_table.heard.items():
            differences = self.compare_content(digest, sender)
            if differences:
                return differences
        self.blackboard.table_known = True
        self.first_table.heard.clear()
        return self.put_in_force()

    def write_snapshot(self) -> list[Any]:
        """Write a snapshot into the log if one is due."""
        fold = self.reader.fold
        if fold is None or not self.blackboard.table_known:
            return []
        caught_up = self.first_table.is_recent()
        return list(self.writer.tick(fold, caught_up))
