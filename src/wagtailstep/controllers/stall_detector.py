"""Noticing targets that hold requests without ending any.

An outcome is known only when a request ends, and a request at a hanging backend
server ends only at its deadline. While one is in flight and none ends, the oldest
one has waited at least since the latest end, which is evidence of its own.
"""

from collections.abc import Mapping
from datetime import timedelta

import attrs

from wagtailstep.controllers.evidence_state import ServiceEvidence, TargetEvidence
from wagtailstep.models.blackboard import InFlight
from wagtailstep.models.evidence import STALL_ROUTE

STALL_FACTOR = 2.0
STALL_MARGIN_S = 0.05
MAX_DOUBLINGS = 8


def compute_stall_limit(service: ServiceEvidence, in_use: set[str]) -> timedelta | None:
    """Return how long a target may end no request, or ``None`` if unknown.

    It follows the slowest route. While a route without known latencies is in use,
    nothing can be told.

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
    """How long one target has ended no request.

    :param last_completion_at: monotonic time of the latest end.
    :param stalls_reported: times that this was found too long.
    """

    last_completion_at: timedelta
    stalls_reported: int = 0


@attrs.define
class StallDetector:
    """Targets with requests in flight.

    :param waits: by ``target_id``.
    """

    waits: dict[str, TargetWait] = attrs.field(factory=dict)

    def record_completion(self, target_id: str, now: timedelta) -> None:
        """Take note that a request at a target has ended."""
        if target_id in self.waits:
            self.waits[target_id] = TargetWait(now)

    def update_watched(self, in_flight: Mapping[str, int], now: timedelta) -> None:
        """Begin to watch targets with requests in flight, and drop the others."""
        busy = {target_id for target_id, count in in_flight.items() if count > 0}
        for target_id in [t for t in self.waits if t not in busy]:
            del self.waits[target_id]
        for target_id in busy:
            self.waits.setdefault(target_id, TargetWait(now))

    def check_stalled(self, target_id: str, limit: timedelta, now: timedelta) -> bool:
        """Tell whether a target has ended nothing for too long.

        That is told once when ``limit`` has passed, and again whenever the wait
        has doubled.
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
        """Return the targets that are stalled now, and whether not for the first time.

        :param services: evidence by service; targets without any are not judged.
        :param in_flight: requests that have not ended.
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
