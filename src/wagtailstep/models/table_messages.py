"""Messages by which daemons pass the table on."""

import attrs

from wagtailstep.models.log import LogRecord
from wagtailstep.utils.codec import message


@message
@attrs.frozen
class TableDigest:
    """How far the sender's table is.

    :param position: offset of the next record of its fold; -1 with no table.
    :param version: version of its table.
    :param content_hash: hash of its table's content.
    :param tail_start: offset of the first record that it can pass on.
    :param in_force: whether the sender has put its table in force.
    :param wants_answer: whether the receiver shall answer in any case.
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
    """Consecutive records of the stream; snapshots come without their data.

    :param records: oldest first.
    :param wants_answer: whether the receiver shall tell how far it is then.
    """

    records: tuple[LogRecord, ...]
    wants_answer: bool = False


@message
@attrs.frozen
class TableSnapshotRequest:
    """Ask for one chunk of the sender's table.

    :param snapshot_id: identifier from the first chunk; empty for a new snapshot.
    :param index: position of the chunk, from 0.
    """

    snapshot_id: str
    index: int


@message
@attrs.frozen
class TableSnapshotChunk:
    """One chunk of an encoded snapshot.

    :param snapshot_id: identifier of the snapshot at its sender.
    :param index: position of the chunk, from 0.
    :param count: number of chunks.
    :param data: this part of the encoded snapshot.
    """

    snapshot_id: str
    index: int
    count: int
    data: bytes
