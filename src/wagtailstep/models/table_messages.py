"""Messages by which daemons exchange the table."""

import attrs

from wagtailstep.models.log import LogRecord
from wagtailstep.utils.codec import message


@message
@attrs.frozen
class TableDigest:
    """State of the sender's table.

    :param position: offset of the next record of its fold; -1 without a table.
    :param version: version of its table.
    :param content_hash: hash of its table's content.
    :param tail_start: offset of the oldest record that it can send.
    :param in_force: whether the table is in force at the sender.
    :param wants_answer: whether the receiver is to answer even if nothing differs.
    """

    position: int
    version: int
    content_hash: int
    tail_start: int
    in_force: bool
    wants_answer: bool = False


@message
@attrs.frozen
class TableRecords:
    """Consecutive records of the stream; those of snapshots are without data.

    :param records: oldest first.
    :param wants_answer: whether the receiver is to answer with its state afterwards.
    """

    records: tuple[LogRecord, ...]
    wants_answer: bool = False


@message
@attrs.frozen
class TableSnapshotRequest:
    """Request one chunk of a snapshot of the receiver's table.

    :param snapshot_id: identifier from the first chunk; empty to request a new
        snapshot.
    :param index: position of the chunk, from 0.
    """

    snapshot_id: str
    index: int


@message
@attrs.frozen
class TableSnapshotChunk:
    """One chunk of an encoded snapshot.

    :param snapshot_id: identifier assigned by the sender.
    :param index: position of the chunk, from 0.
    :param count: number of chunks.
    :param data: this part of the encoded snapshot.
    """

    snapshot_id: str
    index: int
    count: int
    data: bytes
