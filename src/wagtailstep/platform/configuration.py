"""The operator's configuration, turned into a table."""

import re
from datetime import timedelta
from typing import Any

import msgspec

from wagtailstep.exceptions import DecodeError
from wagtailstep.models.host_routes import (
    HostRoute,
    HostRoutes,
    RouteKind,
    RoutePart,
)
from wagtailstep.models.keyed_store import KeyedRecords
from wagtailstep.models.published_table import TableDocument
from wagtailstep.models.table import Table

CONFIG_KEY = "config"
VERSION_PATTERN = re.compile(r"r([0-9]+)")
DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
DURATION_UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1)}


class Columns(msgspec.Struct):
    """A list of objects, written as the names of their fields and rows of values."""

    columns: list[str]
    rows: list[list[Any]]

    def to_dicts(self) -> list[dict[str, Any]]:
        """Return the objects; fields without a value are left out."""
        return [
            {
                name: value
                for name, value in zip(self.columns, row, strict=False)
                if value is not None
            }
            for row in self.rows
        ]


class SplitPart(msgspec.Struct):
    """One part of ``traffic-split``."""

    service: str
    weight: float


class RouteRow(msgspec.Struct, rename="kebab"):
    """One route.

    :param aim: time within which an answer earns its full credit.
    :param service: the only service, where there is no ``traffic_split``.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout: str
    aim: str = "0ms"
    priority: int = 0
    service: str | None = None
    max_attempts: int = 1
    traffic_split: list[SplitPart] | None = None


class Limits(msgspec.Struct, rename="kebab", frozen=True):
    """What a client may send.

    :param max_body_bytes: longest body; 0 for any.
    """

    max_body_bytes: int = 0


class Configuration(msgspec.Struct):
    """The record ``config`` of the operator."""

    version: str
    routes: Columns
    limits: Limits = Limits()


def find_document(records: KeyedRecords) -> TableDocument | None:
    """Return the configuration among the operator's records.

    :raises DecodeError: if it can't be read.
    """
    data = records.values.get(CONFIG_KEY)
    if not data:
        return None
    return TableDocument(parse_version(decode_configuration(data).version), data)


def build_table(document: TableDocument) -> Table:
    """Return the table of a configuration.

    :raises DecodeError: if it can't be read.
    """
    configuration = decode_configuration(document.data)
    try:
        rows = msgspec.convert(configuration.routes.to_dicts(), list[RouteRow])
        routes = HostRoutes(build_route(row) for row in rows)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DecodeError(f"a route can't be read: {error}") from error
    return Table(
        version=document.version,
        host_routes=routes,
        max_body_bytes=configuration.limits.max_body_bytes,
    )


def decode_configuration(data: bytes) -> Configuration:
    """Decode the record ``config``.

    :raises DecodeError: if it is something else.
    """
    try:
        return msgspec.json.decode(data, type=Configuration)
    except msgspec.MsgspecError as error:
        raise DecodeError(f"the configuration can't be read: {error}") from error


def parse_version(text: str) -> int:
    """Return the number of a version.

    :raises DecodeError: if it is not written as one.
    """
    match = VERSION_PATTERN.fullmatch(text)
    if match is None:
        raise DecodeError(f"{text!r} is not a version of the configuration")
    return int(match[1])


def parse_duration(text: str) -> timedelta:
    """Return a time that is written as a number and its unit.

    :raises DecodeError: if it is not written so.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise DecodeError(f"{text!r} is not a time")
    return float(match[1]) * DURATION_UNITS[match[2]]


def build_route(row: RouteRow) -> HostRoute:
    """Return the route of a row.

    :raises DecodeError: if a time can't be read.
    :raises ValueError: if its kind is unknown or it leads nowhere.
    """
    parts = tuple(
        RoutePart(part.service, part.weight) for part in row.traffic_split or ()
    )
    if not parts:
        if row.service is None:
            raise ValueError(f"route {row.name!r} leads to no service")
        parts = (RoutePart(row.service),)
    return HostRoute(
        name=row.name,
        host=row.host.lower(),
        path_prefix=row.path_prefix,
        kind=RouteKind(row.kind),
        timeout=parse_duration(row.timeout),
        aim=parse_duration(row.aim),
        priority=row.priority,
        max_attempts=row.max_attempts,
        parts=parts,
    )
