"""JSON bodies of the log service's HTTP responses."""

import attrs


@attrs.frozen
class AppendReply:
    """Response to an append.

    :param offset: offset of the new record.
    """

    offset: int


@attrs.frozen
class RecordReply:
    """One record in the response to a read.

    :param offset: its offset.
    :param data: the record; Base64 in JSON.
    """

    offset: int
    data: bytes


@attrs.frozen
class ReadReply:
    """Response to a read; see :class:`wagtailstep.models.log.LogBatch`."""

    records: tuple[RecordReply, ...]
    next_offset: int
    oldest_offset: int


@attrs.frozen
class StreamReply:
    """Response to a query for the start of a stream.

    :param oldest_offset: oldest offset that is retained.
    """

    oldest_offset: int
