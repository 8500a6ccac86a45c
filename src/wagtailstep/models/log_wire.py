"""Bodies of the log service's HTTP answers, encoded as JSON."""

import attrs


@attrs.frozen
class AppendReply:
    """Answer to an append.

    :param offset: offset of the new record.
    """

    offset: int


@attrs.frozen
class RecordReply:
    """One record of a read.

    :param offset: its offset.
    :param data: the record; Base64 in JSON.
    """

    offset: int
    data: bytes


@attrs.frozen
class ReadReply:
    """Answer to a read; the fields are those of :class:`LogBatch`."""

    records: tuple[RecordReply, ...]
    next_offset: int
    oldest_offset: int


@attrs.frozen
class StreamReply:
    """Where a stream begins.

    :param oldest_offset: oldest offset that is retained.
    """

    oldest_offset: int
