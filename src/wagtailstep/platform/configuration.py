"""Converts the operator's configuration into a table."""

import re
from typing import Annotated, Any

import msgspec

from wagtailstep.accounts.directory import (
    AccountDirectory,
    AccountRow,
    ClientAccount,
    UnreadableAccount,
)
from wagtailstep.exceptions import DecodeError
from wagtailstep.models.connection import DEFAULT_HEAD_BYTES, ConnectionLimits
from wagtailstep.models.host_routes import (
    HostRoute,
    HostRoutes,
    RouteKind,
    UnreadableRoute,
    WeightedService,
)
from wagtailstep.models.keyed_store import KeyedRecords
from wagtailstep.models.published_table import TableDocument
from wagtailstep.models.table import Table
from wagtailstep.utils.codec import DECODE_FAILURES
from wagtailstep.utils.columns import ColumnarList
from wagtailstep.utils.durations import parse_duration, parse_positive_duration

CONFIG_KEY = "config"
VERSION_PATTERN = re.compile(r"r([0-9]{1,18})")
ROW_DECODER = msgspec.json.Decoder(list[Any])
# The name is sent in a header.
ACCOUNT_NAME = r"\A[^\x00-\x20\x7f]([^\x00-\x1f\x7f]{0,126}[^\x00-\x20\x7f])?\Z"


class SplitPart(msgspec.Struct):
    """One part of ``traffic-split``."""

    service: str
    weight: float


class RouteRow(msgspec.Struct, rename="kebab"):
    """One route.

    :param aim: latency objective; a response within it earns full credit.
    :param service: the only service, if there is no ``traffic_split``.
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
    public: bool = False


class TenantList(msgspec.Struct):
    """The client accounts; each row is decoded when its account is added."""

    columns: list[str]
    rows: list[msgspec.Raw]


class TenantRow(msgspec.Struct, rename="kebab"):
    """One client account, without its keys."""

    name: Annotated[str, msgspec.Meta(pattern=ACCOUNT_NAME)]
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Limits(msgspec.Struct, rename="kebab", frozen=True):
    """Limits on requests and connections of clients.

    :param max_header_bytes: maximum size of a request's head; 0 is the default.
    :param max_body_bytes: maximum size of a body; 0 is unlimited.
    :param header_timeout: longest duration from the first byte of a head to its end.
    :param idle_timeout: longest duration between a response and the next request.
    """

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout: str | None = None
    idle_timeout: str | None = None


class Configuration(msgspec.Struct):
    """The operator's record ``config``."""

    version: str
    routes: ColumnarList
    limits: Limits = Limits()
    tenants: TenantList | None = None


def find_document(records: KeyedRecords) -> TableDocument | None:
    """Return the configuration among the operator's records, if any.

    :raises DecodeError: if it is malformed.
    """
    data = records.values.get(CONFIG_KEY)
    if not data:
        return None
    return TableDocument(parse_version(decode_configuration(data).version), data)


def build_table(document: TableDocument) -> Table:
    """Build the table from a configuration.

    :raises DecodeError: if the configuration is malformed.
    """
    configuration = decode_configuration(document.data)
    return Table(
        version=document.version,
        host_routes=HostRoutes(map(read_route, configuration.routes.to_dicts())),
        max_body_bytes=configuration.limits.max_body_bytes,
        connection_limits=build_connection_limits(configuration.limits),
        client_accounts=build_accounts(configuration.tenants),
    )


def decode_configuration(data: bytes) -> Configuration:
    """Decode the record ``config``.

    :raises DecodeError: if it is malformed.
    """
    try:
        return msgspec.json.decode(data, type=Configuration)
    except DECODE_FAILURES as error:
        raise DecodeError(f"the configuration is malformed: {error}") from error


def parse_version(text: str) -> int:
    """Parse a version such as ``r12`` into its number.

    :raises DecodeError: if it is malformed.
    """
    match = VERSION_PATTERN.fullmatch(text)
    if match is None:
        raise DecodeError(
            f"{text!r} is not a version of the configuration, which has the form r12"
        )
    return int(match[1])


def build_connection_limits(limits: Limits) -> ConnectionLimits:
    """Build the limits of connections; one that is left out has its default.

    :raises DecodeError: if a duration is malformed or not positive.
    """
    texts = {"head_timeout": limits.header_timeout, "idle_timeout": limits.idle_timeout}
    given = {
        name: parse_positive_duration(text)
        for name, text in texts.items()
        if text is not None
    }
    max_head_bytes = limits.max_header_bytes or DEFAULT_HEAD_BYTES
    return ConnectionLimits(max_head_bytes=max_head_bytes, **given)


def read_route(fields: dict[str, Any]) -> HostRoute | UnreadableRoute:
    """Read a route from the fields of its row.

    The platform accepts only valid configurations, so a row that can't be read was
    written for a newer release. It must not keep all other routes out of service.
    """
    try:
        return build_route(msgspec.convert(fields, RouteRow))
    except (msgspec.MsgspecError, DecodeError, ValueError) as error:
        host, prefix = (str(fields.get(name, "")) for name in ("host", "path-prefix"))
        return UnreadableRoute(host.lower(), prefix, str(error))


def build_route(row: RouteRow) -> HostRoute:
    """Build a route from its row.

    A kind that this release does not know is treated as not idempotent and gets a
    single attempt.

    :raises DecodeError: if a duration is malformed.
    :raises ValueError: if it has no service.
    """
    parts = tuple(
        WeightedService(part.service, part.weight) for part in row.traffic_split or ()
    )
    if not parts:
        if row.service is None:
            raise ValueError(f"route {row.name!r} has no service")
        parts = (WeightedService(row.service),)
    kind = RouteKind(row.kind)
    return HostRoute(
        name=row.name,
        host=row.host.lower(),
        path_prefix=row.path_prefix,
        kind=kind,
        timeout=parse_duration(row.timeout),
        aim=parse_duration(row.aim),
        priority=row.priority,
        max_attempts=1 if kind is RouteKind.UNKNOWN else row.max_attempts,
        parts=parts,
        public=row.public,
    )


def build_accounts(tenants: TenantList | None) -> AccountDirectory | None:
    """Return the directory of the client accounts, to which none was added yet."""
    if tenants is None:
        return None
    return AccountDirectory(read_account(tenants.columns, row) for row in tenants.rows)


def read_account(columns: list[str], data: msgspec.Raw) -> AccountRow:
    """Read a client account and its keys from its row."""
    keys: tuple[str, ...] = ()
    try:
        (fields,) = ColumnarList(columns, [ROW_DECODER.decode(data)]).to_dicts()
        given = fields.get("api-keys")
        if isinstance(given, list):
            keys = tuple(key for key in given if isinstance(key, str))
        row = msgspec.convert(fields, TenantRow)
    except DECODE_FAILURES as error:
        return UnreadableAccount(str(error)), keys
    return ClientAccount(row.name, row.priority, row.rate_per_s, row.burst), keys
