"""State of one daemon that its controllers and its runtime share."""

from datetime import datetime, timedelta

import attrs

from wagtailstep.models.departures import Departure
from wagtailstep.models.evidence import EjectionCandidate
from wagtailstep.models.fleet import Member, Target, TargetHealth
from wagtailstep.models.server_notices import RememberedNotices
from wagtailstep.models.suspects import SuspectState
from wagtailstep.models.table import Table
from wagtailstep.models.targets import TargetMap


@attrs.define
class InFlight:
    """Counts of the unfinished requests of this daemon's entry.

    :param by_target: attempts by ``target_id``.
    :param by_service: requests by service.
    :param by_route: requests by ``service/route``.
    """

    by_target: dict[str, int] = attrs.field(factory=dict)
    by_service: dict[str, int] = attrs.field(factory=dict)
    by_route: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Blackboard:
    """The shared state of one daemon.

    Each field has a single writer, which is named below.

    :param this_member: this daemon; written by the membership controller.
    :param table: the table in force; written by the table controller.
    :param table_known: whether ``table`` came from the fleet; until then no request
        may be accepted; written by the table controller.
    :param table_since: wall-clock time at which ``table`` came into force; written
        by the table controller.
    :param table_known_at: monotonic time before which all published versions of the
        table are known; ``None`` if tables are not published; written by the table
        controller.
    :param members: known daemons by ``daemon_id``, including this one; written by the
        membership controller.
    :param targets: known targets by ``target_id``, indexed by service; written by
        the dissemination controller.
    :param local_targets: ``target_id`` of backend servers beside this daemon;
        written by the announcement controller.
    :param departures: processes of local backend servers that have just left, by
        ``target_id``; written by the announcement controller.
    :param departures_unknown: whether earlier processes of this daemon may have
        acknowledged departures that it doesn't know of; written by the departure
        discovery.
    :param health: assessment by ``target_id``; written by the evidence controller.
    :param ejection_candidates: targets that are unhealthy by the evidence of several
        daemons, by ``target_id``; written by the evidence controller.
    :param ejected: ``target_id`` of targets ejected for the whole fleet; written by the
        ejection controller from the log of ejections.
    :param server_notices: what backend servers said of themselves in responses that
        this daemon passed on, by ``target_id``; written by the notice controller.
    :param suspects: requests under which backend servers ended, by fingerprint;
        written by the controller of suspects.
    :param requested_services: services that callers of this daemon requested;
        written by the routing controller.
    :param in_flight: unfinished requests; written by the routing controller.
    :param calls_per_run: calls that the backend server beside this daemon makes for
        each request that it runs, by route and called service; written by the call
        ratio controller.
    :param call_refused_at: monotonic time of the last refused call made by the backend
        server beside this daemon; written by the controller that assesses it.
    :param last_failures: monotonic time of the last failure held against each local
        backend server that was judged; written by the target judge.
    :param log_reachable: whether the log service can be reached; written by the
        runtime.
    :param store_era: the newest era of the platform's store that the fleet is known to
        have seen; -1 before the first read; written by the table controller.
    :param draining: whether this daemon is shutting down; written by the runtime.
    :param stopping_since: monotonic time at which the daemon began to shut down.
    :param stops_at: monotonic time at which a daemon that shuts down ends requests that
        are still in flight; ``None`` before; written by the runtime.
    """

    this_member: Member
    table: Table = attrs.field(factory=Table)
    table_known: bool = False
    table_since: datetime | None = None
    table_known_at: timedelta | None = None
    members: dict[str, Member] = attrs.field(factory=dict)
    targets: TargetMap = attrs.field(factory=TargetMap, converter=TargetMap)
    local_targets: set[str] = attrs.field(factory=set)
    departures: dict[str, Departure] = attrs.field(factory=dict)
    departures_unknown: bool = False
    health: dict[str, TargetHealth] = attrs.field(factory=dict)
    ejection_candidates: dict[str, EjectionCandidate] = attrs.field(factory=dict)
    ejected: set[str] = attrs.field(factory=set)
    server_notices: dict[str, RememberedNotices] = attrs.field(factory=dict)
    suspects: dict[str, SuspectState] = attrs.field(factory=dict)
    requested_services: set[str] = attrs.field(factory=set)
    in_flight: InFlight = attrs.field(factory=InFlight)
    calls_per_run: dict[str, dict[str, float]] = attrs.field(factory=dict)
    call_refused_at: timedelta | None = None
    last_failures: dict[str, timedelta] = attrs.field(factory=dict)
    log_reachable: bool = False
    store_era: int = -1
    draining: bool = False
    stopping_since: timedelta | None = None
    stops_at: timedelta | None = None

    @property
    def local_services(self) -> set[str]:
        """Return the services of the backend servers beside this daemon."""
        return {self.targets[name].service for name in self.local_targets}

    def targets_of(self, service: str) -> list[Target]:
        """Return all known targets of a service, in the order of their names."""
        found = self.targets.of_service(service)
        return [found[target_id] for target_id in sorted(found)]
