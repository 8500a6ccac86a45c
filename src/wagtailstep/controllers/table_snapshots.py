"""Writing of snapshots to the log before the records they replace expire."""

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

# Fractions of the log's retention: age at which a snapshot is due, and random delay.
DUE_FRACTION = 0.5
JITTER_FRACTION = 0.125


@attrs.define
class SnapshotWriter:
    """Writes a snapshot when one is due and no other daemon wrote it first.

    When a snapshot becomes due, each daemon draws a random delay, up to a fraction of
    the retention, whatever the size of the fleet. A daemon that reads another one's
    snapshot before its own time cancels its own.

    :param due_at: when this daemon writes; ``None`` if no snapshot is due.
    :param last_snapshot_version: version of the table in the last complete snapshot.
    :param last_snapshot_at: when that snapshot, or else the oldest edit, was
        written.
    :param parts: parts that are still to be appended.
    :param append_id: identifier of the append in progress; empty if there is none.
    :param pending_version: version of the table in the snapshot in progress.
    """

    settings: DaemonSettings
    clock: Clock
    rng: random.Random
    due_at: timedelta | None = None
    last_snapshot_version: int = 0
    last_snapshot_at: timedelta | None = None
    parts: list[TableSnapshotPart] = attrs.field(factory=list)
    append_id: str = ""
    pending_version: int = 0

    @property
    def retention(self) -> timedelta:
        """Return how long the log keeps a record."""
        return timedelta(seconds=self.settings.log.retention_s)

    def record_edits(self, fold: TableFold) -> None:
        """Use the time of the oldest edit while no snapshot has been seen."""
        if self.last_snapshot_at is None and fold.accepted:
            self.last_snapshot_at = self._to_monotonic(fold.accepted[0].utc)

    def defer(self) -> None:
        """Draw a new delay, since a member has seen a snapshot in the log."""
        self.due_at = None

    def record_snapshots(
        self, snapshots: Iterable[CheckedSnapshot]
    ) -> list[RecordEvent]:
        """Defer the next snapshot after each valid one, and report invalid ones."""
        events: list[RecordEvent] = []
        for seen in snapshots:
            part = seen.last_part
            if not seen.problem:
                self.last_snapshot_at = self._to_monotonic(part.utc)
                self.last_snapshot_version = max(
                    self.last_snapshot_version, part.version
                )
                self.due_at = None
                continue
            fields = {"snapshot_id": part.snapshot_id, "reason": seen.problem}
            events.append(RecordEvent("table-snapshot-rejected", fields))
        return events

    def _to_monotonic(self, utc: datetime) -> timedelta:
        # The age is clamped, so a wrong wall clock shifts the next snapshot by at
        # most a fraction of the retention. It never affects the content.
        age = self.clock.utc() - utc
        age = min(max(age, timedelta()), self.retention * DUE_FRACTION)
        return self.clock.monotonic() - age

    def tick(self, fold: TableFold, caught_up: bool) -> list[AppendToLog]:
        """Start to write a snapshot if it is due and its random delay has passed.

        :param caught_up: whether this daemon has recently reached the end of the log.
        """
        if self.append_id or not caught_up or not fold.version:
            return []
        if not self._is_due(fold):
            return []
        now = self.clock.monotonic()
        if self.due_at is None:
            self.due_at = now + self.retention * JITTER_FRACTION * self.rng.random()
        if now < self.due_at:
            return []
        snapshot_id = make_id(self.rng)
        self.pending_version = fold.version
        self.parts = split_snapshot(snapshot_id, fold, self.clock.utc())
        return self._append_next()

    def _is_due(self, fold: TableFold) -> bool:
        edits = fold.version - self.last_snapshot_version
        if edits >= self.settings.table.snapshot_edits:
            return True
        now = self.clock.monotonic()
        if self.last_snapshot_at is None:
            self.last_snapshot_at = now
        return now - self.last_snapshot_at >= self.retention * DUE_FRACTION

    def _append_next(self) -> list[AppendToLog]:
        part = self.parts.pop(0)
        self.append_id = f"{part.snapshot_id}-{part.index}"
        return [AppendToLog(TABLE_STREAM, part, self.append_id)]

    def complete_append(self, event: LogAppendFinished) -> list[AppendToLog]:
        """Append the next part, or draw a new delay at the end or on failure."""
        if event.append_id != self.append_id:
            return []
        self.append_id = ""
        if event.offset is not None and self.parts:
            return self._append_next()
        if event.offset is not None or event.may_have_applied:
            # The next read of the log shows whether the snapshot is complete.
            self.last_snapshot_at = self.clock.monotonic()
            self.last_snapshot_version = self.pending_version
        self.parts.clear()
        self.due_at = None
        return []
