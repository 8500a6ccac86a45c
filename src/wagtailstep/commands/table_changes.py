"""Differences between tables, and the effect of an edit."""

import collections
import copy
from collections.abc import Iterator, Mapping

from wagtailstep.commands.table_cells import format_cell
from wagtailstep.models.table import Row, RowKind, Table
from wagtailstep.models.table_edits import RowId, TableChanges
from wagtailstep.models.table_fold import TableFold


def table_rows(table: Table) -> dict[RowId, Row]:
    """Return all rows of a table by their identifiers."""
    return {
        RowId(kind, key): row
        for kind in RowKind
        for key, row in table.rows(kind).items()
    }


def compute_changes(before: Table, desired_rows: Mapping[RowId, Row]) -> TableChanges:
    """Return the changes that turn a table into the desired rows."""
    changes = TableChanges()
    old = table_rows(before)
    for row_id, row in desired_rows.items():
        if old.get(row_id) != row:
            changes.rows(row_id.kind)[row_id.key] = row
    for row_id in old.keys() - desired_rows.keys():
        changes.rows(row_id.kind)[row_id.key] = None
    return changes


def describe_changes(table: Table, changes: TableChanges) -> Iterator[str]:
    """Yield one line for each row that is added, removed or changed."""
    for row_id, row in sorted(changes.items(), key=lambda item: str(item[0])):
        before = table.rows(row_id.kind).get(row_id.key)
        if row is None:
            yield f"- {row_id}"
        elif before is None:
            yield f"+ {row_id} {_describe_cells(row_id, row, None)}"
        elif before != row:
            yield f"~ {row_id} {_describe_cells(row_id, row, before)}"


def _describe_cells(row_id: RowId, row: Row, before: Row | None) -> str:
    cells: list[str] = []
    for column in row_id.kind.columns:
        value = getattr(row, column.name)
        old = column.default if before is None else getattr(before, column.name)
        if before is None:
            cells.append(f"{column.name}={format_cell(value)}")
        elif value != old:
            cells.append(f"{column.name}={format_cell(old)}->{format_cell(value)}")
    return " ".join(cells)


def describe_effect(
    before: Table, after: Table, changes: TableChanges
) -> Iterator[str]:
    """Yield capacity and floor, before and after, for each service that changes.

    :param before: the current table.
    :param after: the table that the edit would create.
    """
    for service in sorted({row_id.service for row_id, _ in changes.items()}):
        yield (
            f"service={service} "
            f"capacity={before.listed_weight(service):g}"
            f"->{after.listed_weight(service):g} "
            f"floor={before.service_row(service).floor_weight:g}"
            f"->{after.service_row(service).floor_weight:g}"
        )


def count_changes(changes: TableChanges) -> str:
    """Return how many rows are set and removed, as text."""
    counts: collections.Counter[str] = collections.Counter()
    for _, row in changes.items():
        counts["removed" if row is None else "set"] += 1
    return f"rows_set={counts['set']} rows_removed={counts['removed']}"


def copy_fold(fold: TableFold) -> TableFold:
    """Return a copy of a fold that can be changed independently."""
    rows = {kind.field_name: copy.copy(fold.table.rows(kind)) for kind in RowKind}
    table = Table(fold.version, **rows)
    return TableFold(
        table,
        fold.next_offset,
        fold.content_hash,
        fold.horizon,
        fold.accepted.copy(),
        dict(fold.refused),
    )
