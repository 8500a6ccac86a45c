"""Writing snapshots into the log before the records that they replace expire."""

import random
from collections.abc import Iterable
from datetime import datetime, timedelta

import attrs

from wagtailstep.models.events import AppendToLog, LogAppendFinished, RecordEvent
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table_edits import TABLE_STREAM, TableSnapshotPart
from wagtailstep.models.table_fold import TableFold
from wagtailstep.models.table_reader import CheckedSnapshot
from wagtailstep.models.table_snapshot import split_snapshot
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.ids import make_id

# Shares of the log's retention.
DUE_SHARE = 0.5
SPREAD_SHARE = 0.125


@attrs.define
class SnapshotWriter:
    """Writes a snapshot when one is due and no other daemon was faster.

    When a snapshot becomes due, each daemon draws a time within a share of the
    retention, whatever the size of the fleet; those that read the first daemon's
    snapshot before their time draw no more.

    :param due_at: when this daemon writes; ``None`` if no snapshot is due.
    :param last_version: version of the table in the last whole snapshot.
    :param last_seen: when that snapshot, or the oldest edit if there is none, was
        written.
    :param parts: parts that are still to be appended.
    :param append_id: identifier of the append that is under way.
    :param written_version: version of the table in the snapshot under way.
    """

    settings: DaemonSettings
    clock: Clock
    rng: random.Random
    due_at: timedelta | None = None
    last_version: int = 0
    last_seen: timedelta | None = None
    parts: list[TableSnapshotPart] = attrs.field(factory=list)
    append_id: str = ""
    written_version: int = 0

    @property
    def retention(self) -> timedelta:
        """Return how long the log keeps a record."""
        return timedelta(seconds=self.settings.log.retention_s)

    def note_edits(self, fold: TableFold) -> None:
        """Note the oldest edit that no snapshot was seen after."""
        if self.last_seen is None and fold.accepted:
            self.last_seen = self._when(fold.accepted[0].utc)

    def put_off(self) -> None:
        """Draw another time, since a member has seen a snapshot in the log."""
        self.due_at = None

    def note_seen(self, snapshots: Iterable[CheckedSnapshot]) -> list[RecordEvent]:
        """Put off the next snapshot after a right one, and report wrong ones."""
        events: list[RecordEvent] = []
        for seen in snapshots:
            part = seen.last_part
            if not seen.problem:
                self.last_seen = self._when(part.utc)
                self.last_version = max(self.last_version, part.version)
                self.due_at = None
                continue
            fields = {"snapshot_id": part.snapshot_id, "reason": seen.problem}
            events.append(RecordEvent("table-snapshot-rejected", fields))
        return events

    def _when(self, utc: datetime) -> timedelta:
        # A wrong wall clock makes a snapshot early or late by a part of the
        # retention at most; it never makes a wrong one.
        age = self.clock.utc() - utc
        age = min(max(age, timedelta()), self.retention * DUE_SHARE)
        return self.clock.monotonic() - age

    def tick(self, fold: TableFold, caught_up: bool) -> list[AppendToLog]:
        """Write a snapshot if it is this daemon's time.

        :param caught_up: whether this daemon has just read all of the log.
        """
        if self.append_id or not caught_up or not fold.version:
            return []
        if not self._is_due(fold):
            return []
        now = self.clock.monotonic()
        if self.due_at is None:
            self.due_at = now + self.retention * SPREAD_SHARE * self.rng.random()
        if now < self.due_at:
            return []
        snapshot_id = make_id(self.rng)
        self.written_version = fold.version
        self.parts = split_snapshot(snapshot_id, fold, self.clock.utc())
        return self._append_next()

    def _is_due(self, fold: TableFold) -> bool:
        edits = fold.version - self.last_version
        if edits >= self.settings.table.snapshot_edits:
            return True
        now = self.clock.monotonic()
        if self.last_seen is None:
            self.last_seen = now
        return now - self.last_seen >= self.retention * DUE_SHARE

    def _append_next(self) -> list[AppendToLog]:
        part = self.parts.pop(0)
        self.append_id = f"{part.snapshot_id}-{part.index}"
        return [AppendToLog(TABLE_STREAM, part, self.append_id)]

    def settle(self, event: LogAppendFinished) -> list[AppendToLog]:
        """Go on with the next part, or draw a new time at the end or on failure."""
        if event.append_id != self.append_id:
            return []
        self.append_id = ""
        if event.offset is not None and self.parts:
            return self._append_next()
        if event.offset is not None or event.may_have_applied:
            # The next read of the log tells whether it was whole.
            self.last_seen = self.clock.monotonic()
            self.last_version = self.written_version
        self.parts.clear()
        self.due_at = None
        return []
