"""The table that operators edit, as the fleet holds it in memory."""

import enum
from datetime import timedelta

import attrs

DEFAULT_WEIGHT = 1.0


class LogAwayPolicy(enum.Enum):
    """What happens to keyed non-idempotent requests while the log is away."""

    REFUSE = "refuse"
    SEND_ONCE = "send-once"


@attrs.frozen
class ServiceRow:
    """Limits of one service.

    :param service: name of the service; the key of the row.
    :param floor_weight: weight that must always stay in service.
    :param drain_limit_s: how long a leaving backend server may finish its work.
    :param concurrency_limit: requests at once at one daemon's entry; 0 is no limit.
    :param account_rate_limit: requests per second of one client account at one
        daemon; 0 is no limit.
    :param detection_window_ms: evidence older than this counts little.
    :param false_ejection_risk: accepted probability that one judgement takes a
        healthy target for a sick one; smaller needs more evidence.
    :param log_away: what happens to keyed requests while the log is away.
    """

    service: str
    floor_weight: float = 0.0
    drain_limit_s: float = 30.0
    concurrency_limit: int = 0
    account_rate_limit: float = 0.0
    detection_window_ms: int = 2_000
    false_ejection_risk: float = 1e-6
    log_away: LogAwayPolicy = LogAwayPolicy.REFUSE

    @property
    def drain_limit(self) -> timedelta:
        """Return ``drain_limit_s`` as a standard time type."""
        return timedelta(seconds=self.drain_limit_s)


@attrs.frozen
class BackendServerRow:
    """Weight of one backend server.

    :param target_id: ``service/host:port``; the key of the row.
    :param weight: share of the service's work; 0 takes no new work.
    """

    target_id: str
    weight: float = DEFAULT_WEIGHT


@attrs.frozen
class RouteRow:
    """Limits of one route of one service.

    :param route_id: ``service/route``; the key of the row.
    :param concurrency_limit: requests at once at one daemon's entry; 0 is no limit.
    :param timeout_ms: longest time a request of this route may take.
    """

    route_id: str
    concurrency_limit: int = 0
    timeout_ms: int = 30_000


@attrs.frozen
class AccountRow:
    """Limit of one client account, where it differs from its service's.

    :param account_id: ``service/account``; the key of the row.
    :param rate_limit: requests per second at one daemon; 0 is no limit.
    """

    account_id: str
    rate_limit: float = 0.0


Row = ServiceRow | BackendServerRow | RouteRow | AccountRow


@attrs.define
class Table:
    """The table in force: rows by their keys.

    :param version: number of accepted edits; only rises.
    """

    version: int = 0
    services: dict[str, ServiceRow] = attrs.field(factory=dict)
    backend_servers: dict[str, BackendServerRow] = attrs.field(factory=dict)
    routes: dict[str, RouteRow] = attrs.field(factory=dict)
    accounts: dict[str, AccountRow] = attrs.field(factory=dict)

    def service_row(self, service: str) -> ServiceRow:
        """Return the row of a service, or one of defaults if it has none."""
        return self.services.get(service) or ServiceRow(service)

    def weight(self, target_id: str) -> float:
        """Return the weight of a target; one without a row has weight 1."""
        row = self.backend_servers.get(target_id)
        return DEFAULT_WEIGHT if row is None else row.weight

    def route_row(self, service: str, route: str) -> RouteRow:
        """Return the row of a route, or one of defaults if it has none."""
        route_id = f"{service}/{route}"
        return self.routes.get(route_id) or RouteRow(route_id)
