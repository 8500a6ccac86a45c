"""Conversion of table cells to and from text, for CSV files and the command line."""

import enum
from typing import Any

import attrs

from wagtailstep.exceptions import SettingsError, TableError
from wagtailstep.models.table import Row, RowKind
from wagtailstep.models.table_edits import RowId
from wagtailstep.models.table_rules import check_key, check_row


class CellError(SettingsError):
    """A cell is invalid; raised before anything is appended to the log."""


def format_cell(value: Any) -> str:
    """Format the value of a column as text."""
    if isinstance(value, enum.Enum):
        return str(value.value)
    return f"{value:.12g}" if isinstance(value, float) else str(value)


def parse_cell(row_id: RowId, column: attrs.Attribute, text: str) -> Any:
    """Parse the value of a column.

    :raises CellError: if it is invalid; the message names row, column, value and
        the allowed values.
    """
    kind = column.type
    try:
        return kind(text.strip())
    except ValueError as error:
        raise CellError(
            f"row {row_id}, column {column.name}: {text!r} is not allowed, "
            f"allowed is {_describe_type(kind)}"
        ) from error


def _describe_type(kind: type) -> str:
    if issubclass(kind, enum.Enum):
        return " or ".join(member.value for member in kind)
    return "a whole number" if kind is int else "a number"


def parse_kind(text: str) -> RowKind:
    """Parse the kind of a row.

    :raises CellError: if there is no such kind.
    """
    try:
        return RowKind(text.strip())
    except ValueError as error:
        allowed = ", ".join(kind.value for kind in RowKind)
        raise CellError(
            f"kind: {text!r} is not allowed, allowed is {allowed}"
        ) from error


def parse_row_id(kind: str, key: str) -> RowId:
    """Build the identifier of a row from its kind and key.

    :raises CellError: if the kind is unknown or the key malformed.
    """
    row_id = RowId(parse_kind(kind), key)
    try:
        check_key(row_id)
    except TableError as error:
        raise CellError(str(error)) from error
    return row_id


def build_row(row_id: RowId, cells: dict[str, str], base: Row | None = None) -> Row:
    """Build a row from texts by column name; an empty text selects the default.

    :param base: row with the values of columns that ``cells`` does not contain.
    :raises CellError: if a column is unknown or a value is not allowed.
    """
    columns = {column.name: column for column in row_id.kind.columns}
    values: dict[str, Any] = {}
    for name, text in cells.items():
        if name not in columns:
            allowed = ", ".join(columns)
            raise CellError(
                f"row {row_id}, column {name}: unknown for this kind, with value "
                f"{text!r}, allowed is {allowed}"
            )
        column = columns[name]
        empty = not text.strip()
        values[name] = column.default if empty else parse_cell(row_id, column, text)
    base_row = row_id.kind.row_type(row_id.key) if base is None else base
    row = attrs.evolve(base_row, **values)
    try:
        check_row(row_id, row)
    except TableError as error:
        raise CellError(str(error)) from error
    return row


def format_row(kind: RowKind, row: Row) -> dict[str, str]:
    """Return the columns of a row as texts, without its key."""
    return {c.name: format_cell(getattr(row, c.name)) for c in kind.columns}
