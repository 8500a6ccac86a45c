"""Batched appends to one claims stream, at most one under way at a time."""

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
    """The entries that wait for their append.

    While one append is under way further entries gather, so that a busy daemon
    makes few appends with many entries each.

    :param stream: name of the stream.
    :param daemon_id: this daemon.
    :param boot_id: this run of its process.
    :param rng: makes the identifiers of appends.
    :param queue: entries to append, in order.
    :param under_way: entries of the append under way.
    :param append_id: identifier of the append under way, or an empty string.
    :param not_before: monotonic time before which nothing is appended.
    """

    stream: str
    daemon_id: str
    boot_id: str
    rng: random.Random
    queue: list[ClaimEntry] = attrs.field(factory=list)
    under_way: tuple[ClaimEntry, ...] = ()
    append_id: str = ""
    not_before: timedelta = timedelta()

    def add(self, entry: ClaimEntry) -> None:
        """Put an entry behind all others."""
        self.queue.append(entry)

    def withdraw(self, entry: ClaimEntry) -> None:
        """Drop the copies of an entry that have not been sent."""
        self.queue = [e for e in self.queue if e != entry]

    def flush(self, now: timedelta) -> list[AppendToLog]:
        """Start an append if there is something to append and none under way.

        :param now: monotonic time.
        """
        if self.append_id or not self.queue or now < self.not_before:
            return []
        self.under_way = tuple(self.queue[:MAX_BATCH_ENTRIES])
        del self.queue[:MAX_BATCH_ENTRIES]
        self.append_id = make_id(self.rng)
        batch = ClaimBatch(self.daemon_id, self.boot_id, self.under_way)
        return [AppendToLog(self.stream, batch, self.append_id)]

    def settle(
        self, event: LogAppendFinished, now: timedelta
    ) -> tuple[ClaimEntry, ...]:
        """Take the end of the append under way.

        :param now: monotonic time.
        :return: its entries if it was not acknowledged, else nothing.
        """
        entries, self.under_way, self.append_id = self.under_way, (), ""
        if event.offset is not None:
            return ()
        self.not_before = now + RETRY_INTERVAL
        return entries

    def requeue(self, entries: list[ClaimEntry]) -> None:
        """Put entries that may not have been appended before all others."""
        self.queue[:0] = entries
