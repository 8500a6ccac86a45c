"""Snapshots of the fold, for readers that can't start at the first record."""

import collections
import itertools
import zlib
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime

import attrs
import msgspec

from wagtailstep.exceptions import DecodeError
from wagtailstep.models.packed_rows import PackedRows
from wagtailstep.models.table import (
    RouteRow,
    Row,
    ServiceRow,
    Table,
    pack_accounts,
    pack_backend_servers,
)
from wagtailstep.models.table_edits import (
    AcceptedEdit,
    EditOutcome,
    TableSnapshotPart,
)
from wagtailstep.models.table_fold import TableFold, hash_table
from wagtailstep.utils.codec import decode_message, encode_message, message

PART_BYTES = 262_144
MAX_SNAPSHOT_BYTES = 64_000_000
COMPRESSION_LEVEL = 1
GROUP_ROWS = 2_048


@message
@attrs.frozen
class TableSnapshot:
    """The state of a fold; the fields are those of :class:`TableFold`.

    Backend servers and accounts are encoded as dictionaries of at most ``GROUP_ROWS``
    rows, so that a reader never holds all of them as objects.
    """

    version: int
    next_offset: int
    content_hash: int
    horizon: int
    services: tuple[ServiceRow, ...]
    backend_servers: tuple[msgspec.Raw, ...]
    routes: tuple[RouteRow, ...]
    accounts: tuple[msgspec.Raw, ...]
    accepted: tuple[AcceptedEdit, ...]
    refused: tuple[EditOutcome, ...]


def encode_snapshot(fold: TableFold) -> bytes:
    """Encode and compress a fold."""
    table = fold.table
    snapshot = TableSnapshot(
        table.version,
        fold.next_offset,
        fold.content_hash,
        fold.horizon,
        tuple(table.services.values()),
        _encode_numbers(table.backend_servers),
        tuple(table.routes.values()),
        _encode_numbers(table.accounts),
        tuple(fold.accepted),
        tuple(fold.refused.values()),
    )
    return zlib.compress(encode_message(snapshot), COMPRESSION_LEVEL)


def _encode_numbers(rows: Mapping[str, Row]) -> tuple[msgspec.Raw, ...]:
    assert isinstance(rows, PackedRows)
    pairs = rows.numbers_with_prefix()
    groups: list[msgspec.Raw] = []
    while group := dict(itertools.islice(pairs, GROUP_ROWS)):
        groups.append(msgspec.Raw(msgspec.msgpack.encode(group)))
    return tuple(groups)


def _decode_numbers(groups: Iterable[msgspec.Raw]) -> Iterator[tuple[str, float]]:
    for group in groups:
        yield from msgspec.msgpack.decode(group, type=dict[str, float]).items()


def decode_snapshot(data: bytes) -> TableFold:
    """Rebuild a fold from :func:`encode_snapshot`.

    :raises DecodeError: if the bytes are not a snapshot, or its hash does not match
        its rows.
    """
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise DecodeError(f"a table snapshot is corrupt: {error}") from error
    snapshot = decode_message(unpacked)
    if not isinstance(snapshot, TableSnapshot):
        raise DecodeError("a table snapshot is corrupt: it holds another message")
    try:
        return _restore(snapshot)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DecodeError(f"a table snapshot is corrupt: {error}") from error


def _restore(snapshot: TableSnapshot) -> TableFold:
    servers = pack_backend_servers()
    servers.load_sorted(_decode_numbers(snapshot.backend_servers))
    accounts = pack_accounts()
    accounts.load_sorted(_decode_numbers(snapshot.accounts))
    table = Table(
        snapshot.version,
        {row.service: row for row in snapshot.services},
        servers,
        {row.route_id: row for row in snapshot.routes},
        accounts,
    )
    if hash_table(table) != snapshot.content_hash:
        raise DecodeError(
            "a table snapshot is corrupt: its hash does not match its rows"
        )
    return TableFold(
        table,
        snapshot.next_offset,
        snapshot.content_hash,
        snapshot.horizon,
        collections.deque(snapshot.accepted),
        {outcome.edit_id: outcome for outcome in snapshot.refused},
    )


def split_snapshot(
    snapshot_id: str, fold: TableFold, utc: datetime
) -> list[TableSnapshotPart]:
    """Encode a fold as records for the log.

    :param snapshot_id: unique identifier of the snapshot, repeated in all parts.
    :param utc: time of writing.
    """
    data = encode_snapshot(fold)
    chunks = [data[i : i + PART_BYTES] for i in range(0, len(data), PART_BYTES)]
    return [
        TableSnapshotPart(
            snapshot_id,
            index,
            len(chunks),
            fold.next_offset,
            fold.version,
            fold.content_hash,
            utc,
            chunk,
        )
        for index, chunk in enumerate(chunks)
    ]
