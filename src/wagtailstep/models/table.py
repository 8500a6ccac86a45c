"""In-memory form of the table, which is the configuration that operators edit."""

import enum
import operator
from collections.abc import Iterator, Mapping, MutableMapping
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.accounts.directory import AccountDirectory
from wagtailstep.models.connection import ConnectionLimits
from wagtailstep.models.host_routes import HostRoutes
from wagtailstep.models.packed_rows import PackedRows

DEFAULT_WEIGHT = 1.0
RANGE_KEY = "range"

MAX_WEIGHT = 1_000.0
MAX_FLOOR_WEIGHT = 1_000_000.0
MAX_DRAIN_LIMIT_S = 3_600.0
MAX_CONCURRENCY = 1_000_000
MAX_RATE_PER_S = 1_000_000.0
MIN_DETECTION_WINDOW_MS = 50
MAX_DETECTION_WINDOW_MS = 600_000
MIN_FALSE_EJECTION_RISK = 1e-12
MAX_FALSE_EJECTION_RISK = 0.5
MAX_SERVERS = 1_000_000
MIN_TIMEOUT_MS = 1
MAX_TIMEOUT_MS = 3_600_000


class LogUnavailablePolicy(enum.Enum):
    """How to treat keyed non-idempotent requests while the log is unavailable."""

    REFUSE = "refuse"
    SEND_ONCE = "send-once"


def _column(default: Any, low: float, high: float) -> Any:
    """Declare a numeric column with its default and its inclusive range."""
    return attrs.field(default=default, metadata={RANGE_KEY: (low, high)})


@attrs.frozen
class ServiceRow:
    """Limits of one service.

    :param service: name of the service; the key of the row.
    :param floor_weight: total weight that must always stay in service.
    :param drain_limit_s: time that a leaving backend server has to finish its work.
    :param concurrency_limit: concurrent requests at one daemon's entry; 0 for no
        limit.
    :param account_rate_limit: requests per second of one client account at one
        daemon; 0 for no limit.
    :param detection_window_ms: evidence older than this has little weight.
    :param false_ejection_risk: accepted probability that one assessment finds a
        healthy target unhealthy; smaller values require more evidence.
    :param log_away: how to treat keyed requests while the log is unavailable.
    :param unlisted_servers: number of backend servers without a row; each counts
        with weight 1 when the floor is checked.
    """

    service: str
    floor_weight: float = _column(0.0, 0, MAX_FLOOR_WEIGHT)
    drain_limit_s: float = _column(30.0, 0, MAX_DRAIN_LIMIT_S)
    concurrency_limit: int = _column(0, 0, MAX_CONCURRENCY)
    account_rate_limit: float = _column(0.0, 0, MAX_RATE_PER_S)
    detection_window_ms: int = _column(
        2_000, MIN_DETECTION_WINDOW_MS, MAX_DETECTION_WINDOW_MS
    )
    false_ejection_risk: float = _column(
        1e-6, MIN_FALSE_EJECTION_RISK, MAX_FALSE_EJECTION_RISK
    )
    log_away: LogUnavailablePolicy = LogUnavailablePolicy.REFUSE
    unlisted_servers: int = _column(0, 0, MAX_SERVERS)

    @property
    def drain_limit(self) -> timedelta:
        """Return ``drain_limit_s`` as a :class:`~datetime.timedelta`."""
        return timedelta(seconds=self.drain_limit_s)


@attrs.frozen
class BackendServerRow:
    """Weight of one backend server.

    :param target_id: ``service/host:port``; the key of the row.
    :param weight: share of the service's requests, relative to other servers; 0 for
        no new requests.
    """

    target_id: str
    weight: float = _column(DEFAULT_WEIGHT, 0, MAX_WEIGHT)


@attrs.frozen
class RouteRow:
    """Limits of one route of one service.

    :param route_id: ``service/route``; the key of the row.
    :param concurrency_limit: concurrent requests at one daemon's entry; 0 for no
        limit.
    :param timeout_ms: longest time that a request of this route may take.
    """

    route_id: str
    concurrency_limit: int = _column(0, 0, MAX_CONCURRENCY)
    timeout_ms: int = _column(30_000, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)


@attrs.frozen
class AccountRow:
    """Limit of one client account that replaces the default of the service.

    :param account_id: ``service/account``; the key of the row.
    :param rate_limit: requests per second at one daemon; 0 for no limit.
    """

    account_id: str
    rate_limit: float = _column(0.0, 0, MAX_RATE_PER_S)


Row = ServiceRow | BackendServerRow | RouteRow | AccountRow


class RowKind(enum.Enum):
    """The kinds of rows, under the names that operators use."""

    SERVICE = "service"
    BACKEND_SERVER = "backend_server"
    ROUTE = "route"
    ACCOUNT = "account"

    @property
    def row_type(self) -> type[Row]:
        """Return the class of the rows of this kind."""
        return _ROW_TYPES[self]

    @property
    def field_name(self) -> str:
        """Return the name of the field that holds rows of this kind."""
        return f"{self.value}s"

    @property
    def columns(self) -> tuple[attrs.Attribute, ...]:
        """Return all columns except the key."""
        return attrs.fields(self.row_type)[1:]


_ROW_TYPES: dict[RowKind, type[Row]] = {
    RowKind.SERVICE: ServiceRow,
    RowKind.BACKEND_SERVER: BackendServerRow,
    RowKind.ROUTE: RouteRow,
    RowKind.ACCOUNT: AccountRow,
}


# Rows of these kinds are numerous and hold one number each, so they are stored packed.
PACKED_KINDS = frozenset({RowKind.BACKEND_SERVER, RowKind.ACCOUNT})


def pack_backend_servers(
    rows: Mapping[str, float] | None = None,
) -> PackedRows[BackendServerRow]:
    """Build a compact mapping of backend servers from weights by ``target_id``."""
    weight_of = operator.attrgetter("weight")
    return PackedRows(BackendServerRow, weight_of, (rows or {}).items())


def pack_accounts(rows: Mapping[str, float] | None = None) -> PackedRows[AccountRow]:
    """Build a compact mapping of client accounts from rates by ``account_id``."""
    rate_of = operator.attrgetter("rate_limit")
    return PackedRows(AccountRow, rate_of, (rows or {}).items())


@attrs.define
class Table:
    """One version of the table: rows by their keys.

    :param version: number of accepted edits, or version of the published document;
        never decreases.
    :param host_routes: routes by host and path, if the table is a published document.
    :param max_body_bytes: size limit of request bodies; 0 for no limit.
    :param connection_limits: time limits of callers' connections.
    :param client_accounts: the client accounts, or ``None`` if the table lists none.
    """

    version: int = 0
    services: MutableMapping[str, ServiceRow] = attrs.field(factory=dict)
    backend_servers: MutableMapping[str, BackendServerRow] = attrs.field(
        factory=pack_backend_servers
    )
    routes: MutableMapping[str, RouteRow] = attrs.field(factory=dict)
    accounts: MutableMapping[str, AccountRow] = attrs.field(factory=pack_accounts)
    host_routes: HostRoutes = attrs.field(factory=HostRoutes, eq=False)
    max_body_bytes: int = attrs.field(default=0, eq=False)
    connection_limits: ConnectionLimits = attrs.field(
        default=ConnectionLimits(), eq=False
    )
    client_accounts: AccountDirectory | None = attrs.field(default=None, eq=False)

    def service_row(self, service: str) -> ServiceRow:
        """Return the row of a service, or one with default values."""
        return self.services.get(service) or ServiceRow(service)

    def weight(self, target_id: str) -> float:
        """Return the weight of a target; one without a row has weight 1."""
        row = self.backend_servers.get(target_id)
        return DEFAULT_WEIGHT if row is None else row.weight

    def route_row(self, service: str, route: str) -> RouteRow:
        """Return the row of a route, or one with default values."""
        route_id = f"{service}/{route}"
        return self.routes.get(route_id) or RouteRow(route_id)

    def rows(self, kind: RowKind) -> MutableMapping[str, Row]:
        """Return the rows of one kind by their keys."""
        return getattr(self, kind.field_name)

    def rows_of_service(self, kind: RowKind, service: str) -> Iterator[Row]:
        """Yield the rows of one kind whose keys begin with a service's name."""
        rows = self.rows(kind)
        prefix = f"{service}/"
        if isinstance(rows, PackedRows):
            yield from (
                rows.make_row(*pair) for pair in rows.numbers_with_prefix(prefix)
            )
            return
        yield from (row for key, row in rows.items() if key.startswith(prefix))

    def listed_weight(self, service: str) -> float:
        """Return the total weight of a service's backend servers.

        It includes ``unlisted_servers``, each with the default weight.
        """
        rows = self.backend_servers
        if isinstance(rows, PackedRows):
            listed = sum(
                weight for _, weight in rows.numbers_with_prefix(f"{service}/")
            )
        else:
            found = self.rows_of_service(RowKind.BACKEND_SERVER, service)
            listed = sum(row.weight for row in found)
        return listed + self.service_row(service).unlisted_servers * DEFAULT_WEIGHT
