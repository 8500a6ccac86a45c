"""An in-memory stand-in for the log service with fault injection."""

import asyncio
import collections
from datetime import timedelta

import attrs

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordExpiredError,
)
from wagtailstep.models.log import LogBatch, LogRecord, LogService
from wagtailstep.utils.clock import Clock

APPEND_WINDOW_S = 1.0
MAX_READ_BYTES = 4_000_000


@attrs.define
class LogFaults:
    """Injected faults and limits of the stand-in.

    :param away: whether calls are rejected without effect.
    :param silent: whether calls have no effect and get no response.
    :param delay_ms: added latency of each call.
    :param lost_acknowledgments: number of next appends that take effect without an
        acknowledgment.
    :param retention_s: records older than this expire; 0 keeps them forever.
    :param retention_records: records retained per stream; 0 keeps all.
    :param appends_per_s: appends accepted per second; 0 is unlimited.
    """

    away: bool = False
    silent: bool = False
    delay_ms: int = 0
    lost_acknowledgments: int = 0
    retention_s: float = 0.0
    retention_records: int = 0
    appends_per_s: int = 0


@attrs.define
class StoredRecord:
    """A stored record.

    :param appended_at: monotonic time of the append.
    """

    record: LogRecord
    appended_at: timedelta


@attrs.define
class Stream:
    """A stream: its retained records and the offset of the next record."""

    records: collections.deque[StoredRecord] = attrs.field(factory=collections.deque)
    next_offset: int = 0

    @property
    def oldest_offset(self) -> int:
        """Return the oldest retained offset, or the next offset of an empty stream."""
        if self.records:
            return self.records[0].record.offset
        return self.next_offset


def slice_records(stream: Stream, first: int, limit: int) -> tuple[LogRecord, ...]:
    """Return up to ``MAX_READ_BYTES`` of records, but at least one if there is any.

    :param first: index of the first record.
    :param limit: maximum number of records.
    """
    records: list[LogRecord] = []
    size = 0
    for index in range(first, min(first + limit, len(stream.records))):
        record = stream.records[index].record
        size += len(record.data)
        if records and size > MAX_READ_BYTES:
            break
        records.append(record)
    return tuple(records)


class InMemoryLogService(LogService):
    """In-memory implementation of the log service.

    :param clock: clock for the expiry of records and the append rate limit.
    :param faults: injected faults; may be replaced at any time.
    """

    def __init__(self, clock: Clock, faults: LogFaults | None = None) -> None:
        self.clock = clock
        self.faults = faults or LogFaults()
        self.streams: dict[str, Stream] = collections.defaultdict(Stream)
        self.recent_appends: collections.deque[timedelta] = collections.deque()
        self.append_count = 0
        self.read_count = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record; see :meth:`LogService.append`."""
        await self.simulate_delay()
        self.check_available()
        self.check_append_rate()
        if self.faults.silent:
            raise AppendUnknownError("the append was not acknowledged")
        offset = self.store_record(stream, data)
        if self.faults.lost_acknowledgments > 0:
            self.faults.lost_acknowledgments -= 1
            raise AppendUnknownError("the acknowledgment of the append was lost")
        return offset

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Read records; see :meth:`LogService.read`."""
        await self.simulate_delay()
        self.check_available(reading=True)
        self.read_count += 1
        stored_stream = self.drop_expired_records(stream)
        oldest = stored_stream.oldest_offset
        if offset < oldest:
            raise RecordExpiredError(oldest)
        records = slice_records(stored_stream, offset - oldest, limit)
        return LogBatch(records, offset + len(records), oldest)

    async def oldest_offset(self, stream: str) -> int:
        """Return the oldest offset; see :meth:`LogService.oldest_offset`."""
        await self.simulate_delay()
        self.check_available(reading=True)
        return self.drop_expired_records(stream).oldest_offset

    async def simulate_delay(self) -> None:
        """Wait for the injected latency."""
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)

    def check_available(self, reading: bool = False) -> None:
        """Reject a call while the service is unavailable.

        :param reading: whether the call is a read, which also fails while the service
            is silent.
        :raises LogUnavailableError: if it is unavailable.
        """
        if self.faults.away or (reading and self.faults.silent):
            raise LogUnavailableError("the log service is unavailable")

    def check_append_rate(self) -> None:
        """Reject an append that exceeds the rate limit.

        :raises LogUnavailableError: if there were too many in the last second.
        """
        now = self.clock.monotonic()
        window = timedelta(seconds=APPEND_WINDOW_S)
        recent = self.recent_appends
        while recent and recent[0] <= now - window:
            recent.popleft()
        limit = self.faults.appends_per_s
        if limit and len(recent) >= limit:
            raise LogUnavailableError(f"more than {limit} appends per second")
        recent.append(now)

    def store_record(self, name: str, data: bytes) -> int:
        """Add a record to a stream and return its offset."""
        stream = self.streams[name]
        record = LogRecord(stream.next_offset, data)
        stream.records.append(StoredRecord(record, self.clock.monotonic()))
        stream.next_offset += 1
        self.append_count += 1
        self.drop_expired_records(name)
        return record.offset

    def drop_expired_records(self, name: str) -> Stream:
        """Drop records past their retention and return the stream."""
        stream = self.streams[name]
        faults = self.faults
        if faults.retention_records:
            while len(stream.records) > faults.retention_records:
                stream.records.popleft()
        if faults.retention_s:
            limit = self.clock.monotonic() - timedelta(seconds=faults.retention_s)
            while stream.records and stream.records[0].appended_at < limit:
                stream.records.popleft()
        return stream
