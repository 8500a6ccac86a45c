"""The fold over the log stream ``table``: all readers decide each record alike."""

import collections
import struct

import attrs
import msgspec
import xxhash

from wagtailstep.exceptions import DecodeError, TableConflictError, TableError
from wagtailstep.models.log import LogRecord
from wagtailstep.models.packed_rows import PackedRows
from wagtailstep.models.table import PACKED_KINDS, Row, RowKind, Table
from wagtailstep.models.table_edits import (
    AcceptedEdit,
    EditOutcome,
    EditVerdict,
    RowId,
    TableChanges,
    TableEdit,
    TableSnapshotPart,
)
from wagtailstep.models.table_rules import check_row, check_services
from wagtailstep.utils.codec import decode_message

MAX_REMEMBERED_EDITS = 1_024
HASH_MASK = (1 << 64) - 1

_NUMBER = struct.Struct("<d")
_HASH_SEEDS = {kind: index for index, kind in enumerate(RowKind)}


def hash_number(kind: RowKind, key: str, number: float) -> int:
    """Return the hash of a row that holds one number."""
    data = key.encode() + _NUMBER.pack(number)
    return xxhash.xxh64_intdigest(data, _HASH_SEEDS[kind])


def hash_row(row_id: RowId, row: Row) -> int:
    """Return the hash of one row.

    Columns with default values are omitted, so that adding a column keeps hashes.
    """
    columns = row_id.kind.columns
    if row_id.kind in PACKED_KINDS:
        return hash_number(row_id.kind, row_id.key, getattr(row, columns[0].name))
    values = [
        (column.name, getattr(row, column.name))
        for column in columns
        if getattr(row, column.name) != column.default
    ]
    data = msgspec.msgpack.encode((row_id.key, values))
    return xxhash.xxh64_intdigest(data, _HASH_SEEDS[row_id.kind])


def hash_table(table: Table) -> int:
    """Compute the content hash of a table from its rows."""
    total = 0
    for kind in RowKind:
        rows = table.rows(kind)
        if isinstance(rows, PackedRows):
            pairs = rows.numbers_with_prefix()
            total += sum(hash_number(kind, key, number) for key, number in pairs)
            continue
        total += sum(hash_row(RowId(kind, key), row) for key, row in rows.items())
    return total & HASH_MASK


@attrs.define
class TableFold:
    """The table after all records before ``next_offset``; decides on the next record.

    An edit is accepted if the table stays valid and none of the edit's rows changed
    since the version that the edit is based on. Edits of the last
    ``MAX_REMEMBERED_EDITS`` versions are retained; an edit based on an older version
    is refused.

    :param table: the table; changed in place.
    :param next_offset: offset of the next record.
    :param content_hash: sum of the hashes of all rows, modulo 2**64.
    :param horizon: edits based on an older version than this are refused.
    :param accepted: the retained accepted edits, oldest first.
    :param refused: the retained refused edits by their identifiers.
    """

    table: Table = attrs.field(factory=Table)
    next_offset: int = 0
    content_hash: int = 0
    horizon: int = 0
    accepted: collections.deque[AcceptedEdit] = attrs.field(factory=collections.deque)
    refused: dict[str, EditOutcome] = attrs.field(factory=dict)
    last_changes: dict[RowId, AcceptedEdit] = attrs.field(factory=dict, init=False)
    by_id: dict[str, AcceptedEdit] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the indexes over the accepted edits."""
        for edit in self.accepted:
            self._index(edit)

    @property
    def version(self) -> int:
        """Return the version of the table."""
        return self.table.version

    def apply(self, record: LogRecord) -> EditOutcome | None:
        """Apply the next record.

        :return: the outcome of an edit, or ``None`` for any other record.
        :raises ValueError: if the record is not the next one.
        """
        if record.offset != self.next_offset:
            raise ValueError(
                f"got record {record.offset} instead of {self.next_offset}"
            )
        self.next_offset += 1
        if not record.data:
            return None
        try:
            value = decode_message(record.data)
        except DecodeError as error:
            return self._malformed(str(error))
        if isinstance(value, TableSnapshotPart):
            return None
        if not isinstance(value, TableEdit):
            return self._malformed(f"{type(value).__name__} is not an edit")
        return self.decide(value, record.offset)

    def decide(self, edit: TableEdit, offset: int) -> EditOutcome:
        """Accept or refuse an edit.

        :param offset: offset of its record.
        """
        if edit.edit_id in self.by_id or edit.edit_id in self.refused:
            return EditOutcome(edit.edit_id, EditVerdict.DUPLICATE, self.version)
        try:
            self._check_base(edit)
            changed = self._change_rows(edit.changes)
        except TableConflictError as error:
            return self._refuse(edit, str(error), error.conflicting_edit_id)
        except TableError as error:
            return self._refuse(edit, str(error), "")
        return self._accept(edit, offset, changed)

    def _check_base(self, edit: TableEdit) -> None:
        if not len(edit.changes):
            raise TableError("the edit changes no row; change at least one")
        if edit.base_version > self.version:
            raise TableError(
                f"the edit is based on version {edit.base_version}, allowed is at "
                f"most {self.version}; read the table again"
            )
        if edit.base_version < self.horizon:
            raise TableError(
                f"the edit is based on version {edit.base_version}, allowed is at "
                f"least {self.horizon}; export the table again and repeat the edit"
            )
        for row_id, _ in edit.changes.items():
            conflicting_edit = self.last_changes.get(row_id)
            if (
                conflicting_edit is not None
                and conflicting_edit.version > edit.base_version
            ):
                raise TableConflictError(
                    f"row {row_id} was changed by {conflicting_edit.describe()} after "
                    f"version {edit.base_version}; look at the row and repeat the "
                    f"edit if it is still wanted",
                    conflicting_edit.edit_id,
                )

    def _change_rows(self, changes: TableChanges) -> int:
        """Change all rows, or none if the table would become invalid.

        :return: the change of the content hash.
        :raises TableError: if the table would become invalid.
        """
        for row_id, row in changes.items():
            if row is not None:
                check_row(row_id, row)
            elif row_id.key not in self.table.rows(row_id.kind):
                raise TableError(f"row {row_id} can't be removed: there is none")
        before = [
            (row_id, self._set_row(row_id, row)) for row_id, row in changes.items()
        ]
        try:
            check_services(self.table, {row_id.service for row_id, _ in before})
        except TableError:
            for row_id, row in before:
                self._set_row(row_id, row)
            raise
        added = sum(hash_row(i, row) for i, row in changes.items() if row is not None)
        removed = sum(hash_row(i, row) for i, row in before if row is not None)
        return added - removed

    def _set_row(self, row_id: RowId, row: Row | None) -> Row | None:
        rows = self.table.rows(row_id.kind)
        before = rows.get(row_id.key)
        if row is not None:
            rows[row_id.key] = row
        elif before is not None:
            del rows[row_id.key]
        return before

    def _accept(self, edit: TableEdit, offset: int, hash_change: int) -> EditOutcome:
        self.table.version += 1
        self.content_hash = (self.content_hash + hash_change) & HASH_MASK
        accepted = AcceptedEdit(
            edit.edit_id,
            self.version,
            self.content_hash,
            offset,
            edit.author,
            edit.reason,
            edit.utc,
            tuple(row_id for row_id, _ in edit.changes.items()),
        )
        self.add_accepted_edit(accepted)
        return EditOutcome(edit.edit_id, EditVerdict.ACCEPTED, self.version)

    def add_accepted_edit(self, edit: AcceptedEdit) -> None:
        """Add the newest accepted edit, and discard the oldest beyond the limit."""
        self.accepted.append(edit)
        self._index(edit)
        if len(self.accepted) > MAX_REMEMBERED_EDITS:
            self._discard_oldest()

    def _index(self, edit: AcceptedEdit) -> None:
        self.by_id[edit.edit_id] = edit
        for row_id in edit.rows:
            self.last_changes[row_id] = edit

    def _discard_oldest(self) -> None:
        oldest = self.accepted.popleft()
        # Raising the horizon also refuses duplicates of the discarded edit, since they
        # are based on an older version.
        self.horizon = oldest.version
        del self.by_id[oldest.edit_id]
        for row_id in oldest.rows:
            if self.last_changes.get(row_id) is oldest:
                del self.last_changes[row_id]

    def _refuse(self, edit: TableEdit, reason: str, winner: str) -> EditOutcome:
        outcome = EditOutcome(
            edit.edit_id, EditVerdict.REFUSED, self.version, reason, winner
        )
        self.refused[edit.edit_id] = outcome
        if len(self.refused) > MAX_REMEMBERED_EDITS:
            del self.refused[next(iter(self.refused))]
        return outcome

    def _malformed(self, reason: str) -> EditOutcome:
        return EditOutcome("", EditVerdict.MALFORMED, self.version, reason)

    def outcome_of(self, edit_id: str) -> EditOutcome | None:
        """Return the outcome of an edit, or ``None`` if it is not retained."""
        accepted = self.by_id.get(edit_id)
        if accepted is not None:
            return EditOutcome(edit_id, EditVerdict.ACCEPTED, accepted.version)
        return self.refused.get(edit_id)

    def content_hash_at(self, version: int) -> int | None:
        """Return the content hash of a version, or ``None`` if it is not retained."""
        if version == self.version:
            return self.content_hash
        first = self.accepted[0].version if self.accepted else self.version
        if not 0 <= version - first < len(self.accepted):
            return None
        return self.accepted[version - first].content_hash
