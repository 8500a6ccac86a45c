"""The interface to the platform's log service."""

from typing import Protocol

import attrs

from wagtailstep.exceptions import LogUnavailableError


@attrs.frozen
class LogRecord:
    """One record of a stream.

    :param offset: position in the stream; rises by one.
    :param data: the record, as appended.
    """

    offset: int
    data: bytes


@attrs.frozen
class LogBatch:
    """Consecutive records of a stream.

    :param records: the records, oldest first; may be empty.
    :param next_offset: where to read on.
    :param oldest_offset: oldest offset that is retained.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    oldest_offset: int


class LogService(Protocol):
    """Append to and read from streams of the platform's log service."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        :raises LogUnavailableError: if the append certainly had no effect.
        :raises AppendUnknownError: if the append may have taken effect.
        """

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Read up to ``limit`` records from ``offset`` on; an empty batch at the end.

        :raises LogUnavailableError: if the log can't be read now.
        :raises RecordExpiredError: if ``offset`` is older than what is retained.
        """

    async def oldest_offset(self, stream: str) -> int:
        """Return the oldest retained offset of a stream (0 for a new stream).

        :raises LogUnavailableError: if the log can't be read now.
        """

    def close(self) -> None:
        """Close what is kept open."""


class NullLogService:
    """Stands for the log service where the platform has none."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append nothing.

        :raises LogUnavailableError: always.
        """
        raise LogUnavailableError(f"there is no log to append to {stream!r}")

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Return no records."""
        return LogBatch((), offset, offset)

    async def oldest_offset(self, stream: str) -> int:
        """Return where a stream begins."""
        return 0

    def close(self) -> None:
        """Close nothing."""
