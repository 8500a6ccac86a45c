"""Batched appends to one claims stream, with at most one append in flight."""

import random
from datetime import timedelta

import attrs

from wagtailstep.models.claims import ClaimBatch, ClaimEntry
from wagtailstep.models.events import AppendToLog, LogAppendFinished
from wagtailstep.utils.ids import make_id

MAX_BATCH_ENTRIES = 256
RETRY_INTERVAL = timedelta(milliseconds=500)


@attrs.define
class ClaimAppender:
    """Queue of the claim entries that this daemon appends to one stream.

    Entries that are added while an append is in flight are batched into the next
    one, so that a busy daemon makes few appends with many entries each.

    :param stream: name of the log stream.
    :param daemon_id: this daemon.
    :param boot_id: identifies this run of the daemon's process.
    :param rng: generates the identifiers of appends.
    :param queue: entries that have not been sent, in order.
    :param in_flight_entries: entries of the append in flight.
    :param append_id: identifier of the append in flight; empty if there is none.
    :param not_before: monotonic time of the earliest next append, after a failure.
    """

    stream: str
    daemon_id: str
    boot_id: str
    rng: random.Random
    queue: list[ClaimEntry] = attrs.field(factory=list)
    in_flight_entries: tuple[ClaimEntry, ...] = ()
    append_id: str = ""
    not_before: timedelta = timedelta()

    def add(self, entry: ClaimEntry) -> None:
        """Add an entry to the end of the queue."""
        self.queue.append(entry)

    def remove_queued(self, entry: ClaimEntry) -> None:
        """Remove all copies of an entry that have not been sent."""
        self.queue = [e for e in self.queue if e != entry]

    def flush(self, now: timedelta) -> list[AppendToLog]:
        """Start an append if entries are queued and no append is in flight.

        :param now: monotonic time.
        """
        if self.append_id or not self.queue or now < self.not_before:
            return []
        self.in_flight_entries = tuple(self.queue[:MAX_BATCH_ENTRIES])
        del self.queue[:MAX_BATCH_ENTRIES]
        self.append_id = make_id(self.rng)
        batch = ClaimBatch(self.daemon_id, self.boot_id, self.in_flight_entries)
        return [AppendToLog(self.stream, batch, self.append_id)]

    def complete_append(
        self, event: LogAppendFinished, now: timedelta
    ) -> tuple[ClaimEntry, ...]:
        """Handle the end of the append in flight.

        :param now: monotonic time.
        :return: its entries if it was not acknowledged, else an empty tuple.
        """
        entries, self.in_flight_entries, self.append_id = self.in_flight_entries, (), ""
        if event.offset is not None:
            return ()
        self.not_before = now + RETRY_INTERVAL
        return entries

    def requeue(self, entries: list[ClaimEntry]) -> None:
        """Put entries that may not have been appended at the head of the queue."""
        self.queue[:0] = entries
