"""Validation of table rows and of the table as a whole."""

import re
from collections.abc import Iterable

import attrs

from wagtailstep.exceptions import TableError
from wagtailstep.models.table import RANGE_KEY, Row, RowKind, Table
from wagtailstep.models.table_edits import RowId

_SERVICE = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
_KEY_PATTERNS: dict[RowKind, tuple[re.Pattern[str], str]] = {
    RowKind.SERVICE: (
        re.compile(_SERVICE),
        "1 to 64 letters, digits, dots, hyphens or underscores",
    ),
    RowKind.BACKEND_SERVER: (
        re.compile(rf"{_SERVICE}/[^\s/,]{{1,255}}:[0-9]{{1,5}}"),
        "service/host:port",
    ),
    RowKind.ROUTE: (
        re.compile(rf"{_SERVICE}/[^\s,]{{1,255}}"),
        "service/route",
    ),
    RowKind.ACCOUNT: (
        re.compile(rf"{_SERVICE}/[^\s,]{{1,255}}"),
        "service/account",
    ),
}


def check_key(row_id: RowId) -> None:
    """Check the key of a row.

    :raises TableError: if it is malformed.
    """
    pattern, allowed = _KEY_PATTERNS[row_id.kind]
    if not pattern.fullmatch(row_id.key):
        kind = row_id.kind.value
        raise TableError(f"row {kind} {row_id.key!r}: key must be {allowed}")


def check_row(row_id: RowId, row: Row) -> None:
    """Check the key of a row and the range of each column.

    :raises TableError: if one is invalid, with row, column, value and allowed range.
    """
    check_key(row_id)
    if getattr(row, attrs.fields(type(row))[0].name) != row_id.key:
        raise TableError(
            f"row {row_id}: the key in the row differs from the key of the edit"
        )
    for column in row_id.kind.columns:
        if RANGE_KEY not in column.metadata:
            continue
        low, high = column.metadata[RANGE_KEY]
        value = getattr(row, column.name)
        if not low <= value <= high:
            raise TableError(
                f"row {row_id}, column {column.name}: {value!r} is out of range, "
                f"allowed is {low:g} to {high:g}"
            )


def check_services(table: Table, services: Iterable[str]) -> None:
    """Check the consistency of all rows of some services.

    :raises TableError: if rows have no service row, or a floor can't be met.
    """
    for service in services:
        if service not in table.services:
            _check_no_rows(table, service)
            continue
        _check_floor(table, service)


def _check_no_rows(table: Table, service: str) -> None:
    for kind in (RowKind.BACKEND_SERVER, RowKind.ROUTE, RowKind.ACCOUNT):
        row = next(table.rows_of_service(kind, service), None)
        if row is not None:
            key = getattr(row, attrs.fields(type(row))[0].name)
            raise TableError(
                f"row {kind.value} {key}: there is no row service {service}; "
                f"allowed are services with a row, so add it, or remove this row"
            )


def _check_floor(table: Table, service: str) -> None:
    floor = table.services[service].floor_weight
    available = table.listed_weight(service)
    if floor > available:
        raise TableError(
            f"row service {service}, column floor_weight: {floor:g} can't be met, "
            f"allowed is at most {available:g}, the weight of its backend servers; "
            f"list more of them or raise unlisted_servers"
        )
