"""Export of the table to CSV for spreadsheet programs, and import of edited files."""

import csv
import io

import attrs

from wagtailstep.commands.table_cells import (
    CellError,
    build_row,
    format_row,
    parse_kind,
)
from wagtailstep.models.table import Row, RowKind, Table
from wagtailstep.models.table_edits import RowId

VERSION_COLUMN = "base_version"
KIND_COLUMN = "kind"
KEY_COLUMN = "key"


@attrs.frozen
class TableFile:
    """Content of a CSV file.

    :param base_version: version that was exported; ``None`` if no row names one.
    :param rows: all rows.
    """

    base_version: int | None
    rows: dict[RowId, Row]


def column_names() -> list[str]:
    """Return the header of the file."""
    names = [VERSION_COLUMN, KIND_COLUMN, KEY_COLUMN]
    for kind in RowKind:
        names += [c.name for c in kind.columns if c.name not in names]
    return names


def write_csv(table: Table) -> str:
    """Format a table as CSV, one line per row, sorted by kind and key."""
    text = io.StringIO()
    writer = csv.DictWriter(text, column_names(), lineterminator="\n")
    writer.writeheader()
    for kind in RowKind:
        rows = table.rows(kind)
        for key in sorted(rows):
            line = {VERSION_COLUMN: table.version, KIND_COLUMN: kind.value}
            writer.writerow(line | {KEY_COLUMN: key} | format_row(kind, rows[key]))
    return text.getvalue()


def read_csv(text: str) -> TableFile:
    """Parse the output of :func:`write_csv`, possibly edited.

    :raises CellError: if it is invalid; the message names line or row, column, value
        and the allowed values.
    """
    text = text.removeprefix("\ufeff")
    # In many locales, spreadsheet programs separate cells by semicolons.
    first_line = text.partition("\n")[0]
    delimiter = ";" if ";" in first_line else ","
    reader = csv.DictReader(io.StringIO(text), delimiter=delimiter)
    _check_header(list(reader.fieldnames or []))
    rows: dict[RowId, Row] = {}
    versions: set[str] = set()
    for record in reader:
        cells = _clean_line(record, reader.line_num)
        row_id = RowId(parse_kind(cells.pop(KIND_COLUMN)), cells.pop(KEY_COLUMN))
        versions.add(cells.pop(VERSION_COLUMN, ""))
        if row_id in rows:
            raise CellError(f"line {reader.line_num}: row {row_id} is a duplicate")
        rows[row_id] = build_row(row_id, _drop_empty(row_id, cells))
    return TableFile(_parse_version(versions - {""}), rows)


def _check_header(names: list[str]) -> None:
    allowed = column_names()
    for name in names:
        if name not in allowed:
            raise CellError(
                f"column {name!r} is unknown, allowed is {', '.join(allowed)}"
            )
    for name in (KIND_COLUMN, KEY_COLUMN):
        if name not in names:
            raise CellError(
                f"column {name} is missing; the header in line 1 must contain it"
            )


def _clean_line(record: dict[str | None, str | None], number: int) -> dict[str, str]:
    if None in record:
        raise CellError(f"line {number}: more cells than the header has columns")
    return {name: (text or "").strip() for name, text in record.items() if name}


def _drop_empty(row_id: RowId, cells: dict[str, str]) -> dict[str, str]:
    known = {column.name for column in row_id.kind.columns}
    return {name: text for name, text in cells.items() if text or name in known}


def _parse_version(versions: set[str]) -> int | None:
    if not versions:
        return None
    if len(versions) > 1 or not min(versions).isdecimal():
        found = ", ".join(sorted(versions))
        raise CellError(
            f"column {VERSION_COLUMN}: {found!r} is not allowed, allowed is one "
            f"version in all rows of an exported file, or none in new rows"
        )
    return int(min(versions))
