"""Interface to the platform's log service."""

from typing import Protocol

import attrs

from wagtailstep.exceptions import LogUnavailableError


@attrs.frozen
class LogRecord:
    """One record of a stream.

    :param offset: position in the stream; consecutive records differ by one.
    :param data: the record as it was appended.
    """

    offset: int
    data: bytes


@attrs.frozen
class LogBatch:
    """Consecutive records of a stream.

    :param records: the records, oldest first; may be empty.
    :param next_offset: offset at which to continue reading.
    :param oldest_offset: oldest offset that is retained.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    oldest_offset: int


class LogService(Protocol):
    """Appends to and reads from streams of the platform's log service."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        :raises LogUnavailableError: if the append definitely had no effect.
        :raises AppendUnknownError: if the append may have taken effect.
        """

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Read up to ``limit`` records from ``offset`` on; none at the end.

        :raises LogUnavailableError: if the log can't be read now.
        :raises RecordExpiredError: if ``offset`` is before the oldest retained record.
        """

    async def oldest_offset(self, stream: str) -> int:
        """Return the oldest retained offset of a stream (0 for a new stream).

        :raises LogUnavailableError: if the log can't be read now.
        """

    def close(self) -> None:
        """Close all connections."""


class NullLogService:
    """Null object for platforms without a log service."""

    async def append(self, stream: str, data: bytes) -> int:
        """Reject the append.

        :raises LogUnavailableError: always.
        """
        raise LogUnavailableError(
            f"can't append to {stream!r}: this platform has no log service"
        )

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Return no records."""
        return LogBatch((), offset, offset)

    async def oldest_offset(self, stream: str) -> int:
        """Return 0, as for a new stream."""
        return 0

    def close(self) -> None:
        """Do nothing."""
