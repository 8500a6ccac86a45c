"""Snapshots of the fold, for readers that can't read from the first record."""

import collections
import zlib
from collections.abc import Mapping
from datetime import datetime

import attrs

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


@message
@attrs.frozen
class TableSnapshot:
    """All that a fold holds; the fields are those of :class:`TableFold`."""

    version: int
    next_offset: int
    content_hash: int
    horizon: int
    services: tuple[ServiceRow, ...]
    backend_servers: dict[str, float]
    routes: tuple[RouteRow, ...]
    accounts: dict[str, float]
    accepted: tuple[AcceptedEdit, ...]
    refused: tuple[EditOutcome, ...]


def encode_snapshot(fold: TableFold) -> bytes:
    """Encode a fold as compressed bytes."""
    table = fold.table
    snapshot = TableSnapshot(
        table.version,
        fold.next_offset,
        fold.content_hash,
        fold.horizon,
        tuple(table.services.values()),
        _numbers_by_key(table.backend_servers),
        tuple(table.routes.values()),
        _numbers_by_key(table.accounts),
        tuple(fold.accepted),
        tuple(fold.refused.values()),
    )
    return zlib.compress(encode_message(snapshot), COMPRESSION_LEVEL)


def _numbers_by_key(rows: Mapping[str, Row]) -> dict[str, float]:
    assert isinstance(rows, PackedRows)
    return dict(rows.numbers_from())


def decode_snapshot(data: bytes) -> TableFold:
    """Rebuild a fold from :func:`encode_snapshot`.

    :raises DecodeError: if the bytes are no snapshot or its hash is not that of
        its rows.
    """
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise DecodeError(f"a table snapshot is damaged: {error}") from error
    snapshot = decode_message(unpacked)
    if not isinstance(snapshot, TableSnapshot):
        raise DecodeError("a table snapshot is damaged: it is another message")
    return _restore(snapshot)


def _restore(snapshot: TableSnapshot) -> TableFold:
    table = Table(
        snapshot.version,
        {row.service: row for row in snapshot.services},
        pack_backend_servers(snapshot.backend_servers),
        {row.route_id: row for row in snapshot.routes},
        pack_accounts(snapshot.accounts),
    )
    if hash_table(table) != snapshot.content_hash:
        raise DecodeError("a table snapshot is damaged: its rows have another hash")
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

    :param snapshot_id: unique identifier for the parts.
    :param utc: when it is written.
    """
    data = encode_snapshot(fold)
    pieces = [data[i : i + PART_BYTES] for i in range(0, len(data), PART_BYTES)]
    return [
        TableSnapshotPart(
            snapshot_id,
            index,
            len(pieces),
            fold.next_offset,
            fold.version,
            fold.content_hash,
            utc,
            piece,
        )
        for index, piece in enumerate(pieces)
    ]
