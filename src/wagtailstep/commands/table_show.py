"""Formats the table and its history for display."""

import re
from collections.abc import Iterator

from wagtailstep.commands.table_cells import format_row, parse_kind
from wagtailstep.models.table import RowKind, Table
from wagtailstep.models.table_fold import TableFold
from wagtailstep.utils.logging import format_fields


def show_rows(table: Table, kind: str = "", prefix: str = "") -> Iterator[str]:
    """Yield the version and one line per row.

    :param kind: show only rows of this kind; empty for all.
    :param prefix: show only rows whose keys start with this.
    :raises SettingsError: if the kind is unknown.
    """
    yield f"version={table.version}"
    kinds = [parse_kind(kind)] if kind else list(RowKind)
    for shown in kinds:
        rows = table.rows(shown)
        for key in sorted(key for key in rows if key.startswith(prefix)):
            cells = format_fields(format_row(shown, rows[key]))
            yield f"{shown.value} {key} {cells}"


def show_history(fold: TableFold, row: str = "", limit: int = 20) -> Iterator[str]:
    """Yield one line per known edit, with time, author and reason, newest first.

    :param row: show only edits of rows whose names contain this text.
    :param limit: maximum number of edits.
    """
    pattern = re.compile(re.escape(row))
    shown = 0
    for edit in reversed(fold.accepted):
        names = [str(row_id) for row_id in edit.rows]
        if not any(pattern.search(name) for name in names):
            continue
        if shown == limit:
            return
        shown += 1
        yield format_fields(
            {
                "version": edit.version,
                "utc": edit.utc.isoformat(timespec="seconds"),
                "author": edit.author,
                "reason": edit.reason,
                "edit": edit.edit_id,
                "rows": len(names),
                "first_row": names[0],
            }
        )
