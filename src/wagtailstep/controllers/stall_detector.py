"""Detect targets that have requests in flight but complete none.

The outcome of a request is known only when it ends, and at a hanging backend server
that is at its deadline. While requests are in flight and none completes, the oldest
has waited at least since the latest completion, which is evidence of a hang.
"""

from collections.abc import Mapping
from datetime import timedelta

import attrs

from wagtailstep.controllers.evidence_state import ServiceEvidence, TargetEvidence
from wagtailstep.models.blackboard import InFlight
from wagtailstep.models.evidence import STALL_ROUTE

# The limit is this multiple of the slow latency of the slowest route, plus the margin.
STALL_FACTOR = 2.0
STALL_MARGIN_S = 0.05
MAX_DOUBLINGS = 8


def compute_stall_limit(service: ServiceEvidence, in_use: set[str]) -> timedelta | None:
    """Return how long a target may complete no request, or ``None`` if unknown.

    The limit depends on the slowest route. It is unknown while a route without known
    latencies is in use.

    :param in_use: routes with requests in flight.
    """
    limits_s = {
        route: baseline.reference.slow_above_s
        for route, baseline in service.baselines.items()
        if route != STALL_ROUTE
    }
    if not limits_s or any(limits_s.get(route) is None for route in in_use):
        return None
    slowest_s = max(limit_s or 0.0 for limit_s in limits_s.values())
    return timedelta(seconds=STALL_FACTOR * slowest_s + STALL_MARGIN_S)


@attrs.define
class TargetWait:
    """Time for which one target with requests in flight has completed none.

    :param last_completion_at: monotonic time of the latest completion, or when the
        target was first watched.
    :param stalls_reported: number of stalls reported since then.
    """

    last_completion_at: timedelta
    stalls_reported: int = 0


@attrs.define
class StallDetector:
    """Detector of stalls at targets with requests in flight.

    :param waits: current waits by ``target_id``.
    """

    waits: dict[str, TargetWait] = attrs.field(factory=dict)

    def record_completion(self, target_id: str, now: timedelta) -> None:
        """Record that a request at a target has completed."""
        if target_id in self.waits:
            self.waits[target_id] = TargetWait(now)

    def update_watched(self, in_flight: Mapping[str, int], now: timedelta) -> None:
        """Watch exactly the targets with requests in flight."""
        busy = {target_id for target_id, count in in_flight.items() if count > 0}
        for target_id in [t for t in self.waits if t not in busy]:
            del self.waits[target_id]
        for target_id in busy:
            self.waits.setdefault(target_id, TargetWait(now))

    def check_stalled(self, target_id: str, limit: timedelta, now: timedelta) -> bool:
        """Return whether a target has newly exceeded its limit without a completion.

        A stall is reported once ``limit`` has passed, and again whenever the wait has
        doubled.
        """
        wait = self.waits[target_id]
        doublings = min(wait.stalls_reported, MAX_DOUBLINGS)
        if now - wait.last_completion_at <= limit * 2**doublings:
            return False
        wait.stalls_reported += 1
        return True

    def find_stalls(
        self,
        services: Mapping[str, ServiceEvidence],
        in_flight: InFlight,
        now: timedelta,
    ) -> list[tuple[TargetEvidence, bool]]:
        """Return newly stalled targets, each with whether its stall is a repeated one.

        :param services: evidence by service; targets without evidence are skipped.
        :param in_flight: requests in flight.
        """
        self.update_watched(in_flight.by_target, now)
        found: list[tuple[TargetEvidence, bool]] = []
        if not self.waits:
            return found
        for service in services.values():
            busy = [t for t in service.targets.values() if t.target_id in self.waits]
            if not busy:
                continue
            limit = compute_stall_limit(
                service, routes_in_use(in_flight, service.service)
            )
            for target in busy:
                if limit and self.check_stalled(target.target_id, limit, now):
                    again = self.waits[target.target_id].stalls_reported > 1
                    found.append((target, again))
        return found


def routes_in_use(in_flight: InFlight, service: str) -> set[str]:
    """Return the routes of a service with requests in flight."""
    prefix = f"{service}/"
    routes = in_flight.by_route
    return {r.removeprefix(prefix) for r in routes if r.startswith(prefix)}
