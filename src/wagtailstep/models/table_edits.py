"""Records of the log's stream ``table``, and what becomes of an edit."""

import enum
from collections.abc import Iterator
from datetime import datetime

import attrs

from wagtailstep.models.table import (
    AccountRow,
    BackendServerRow,
    RouteRow,
    Row,
    RowKind,
    ServiceRow,
)
from wagtailstep.utils.codec import message

TABLE_STREAM = "table"


@attrs.frozen
class RowId:
    """Name of one row, whether or not the table has it.

    :param kind: kind of the row.
    :param key: key of the row within its kind.
    """

    kind: RowKind
    key: str

    def __str__(self) -> str:
        """Return the name that operators see."""
        return f"{self.kind.value} {self.key}"

    @property
    def service(self) -> str:
        """Return the service that the row belongs to."""
        return self.key.partition("/")[0]


@attrs.frozen
class TableChanges:
    """Rows to set, or to remove where the value is ``None``, by their keys."""

    services: dict[str, ServiceRow | None] = attrs.field(factory=dict)
    backend_servers: dict[str, BackendServerRow | None] = attrs.field(factory=dict)
    routes: dict[str, RouteRow | None] = attrs.field(factory=dict)
    accounts: dict[str, AccountRow | None] = attrs.field(factory=dict)

    def rows(self, kind: RowKind) -> dict[str, Row | None]:
        """Return the changes to one kind of rows."""
        return getattr(self, kind.field_name)

    def items(self) -> Iterator[tuple[RowId, Row | None]]:
        """Yield all changes, kind by kind."""
        for kind in RowKind:
            for key, row in self.rows(kind).items():
                yield RowId(kind, key), row

    def __len__(self) -> int:
        """Return the number of changed rows."""
        return sum(len(self.rows(kind)) for kind in RowKind)


@message
@attrs.frozen
class TableEdit:
    """One edit of the table, as an operator proposes it.

    :param edit_id: unique identifier, made by the operator's program.
    :param base_version: version of the table that the operator saw.
    :param author: who proposes it.
    :param reason: why.
    :param utc: when; for people to read, it decides nothing.
    :param changes: the rows to set or to remove.
    """

    edit_id: str
    base_version: int
    author: str
    reason: str
    utc: datetime
    changes: TableChanges


@message
@attrs.frozen
class TableSnapshotPart:
    """One part of an encoded snapshot, which may be too long for one record.

    :param snapshot_id: unique identifier of the snapshot.
    :param index: position of this part, from 0.
    :param count: number of parts.
    :param next_offset: the snapshot is the fold of all records before this one.
    :param version: version of the table in it.
    :param content_hash: hash of the table's content.
    :param utc: when it was written; a hint for when the next one is due.
    :param data: this part of the encoded snapshot.
    """

    snapshot_id: str
    index: int
    count: int
    next_offset: int
    version: int
    content_hash: int
    utc: datetime
    data: bytes


class EditVerdict(enum.Enum):
    """What every reader decides about a record."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    DUPLICATE = "duplicate"
    MALFORMED = "malformed"


@attrs.frozen
class AcceptedEdit:
    """What is remembered of an accepted edit.

    :param version: version of the table that it made.
    :param content_hash: hash of that table's content.
    :param offset: offset of its record.
    :param rows: keys of the rows that it changed, by kind.
    """

    edit_id: str
    version: int
    content_hash: int
    offset: int
    author: str
    reason: str
    utc: datetime
    rows: tuple[RowId, ...]

    def describe(self) -> str:
        """Return who changed what, when and why, in one line."""
        return (
            f"edit {self.edit_id} (version {self.version}, by {self.author} at "
            f"{self.utc:%Y-%m-%d %H:%M:%S}Z: {self.reason})"
        )


@attrs.frozen
class EditOutcome:
    """What became of one record of the stream.

    :param edit_id: identifier of the edit; empty for a malformed record.
    :param verdict: the decision.
    :param version: version of the table after the record.
    :param reason: why it was refused.
    :param winner: identifier of the edit that it lost to, or an empty string.
    """

    edit_id: str
    verdict: EditVerdict
    version: int
    reason: str = ""
    winner: str = ""
