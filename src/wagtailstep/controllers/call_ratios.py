"""How many calls the backend server beside this daemon makes for each run of a route.

A run that is repeated makes its calls again. The ratio travels with the answers, so
that an entry which repeats a request can charge the budgets of the called services.
"""

import random
from collections import Counter
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.gate import LocalCall, ResponseWaitEnded, WorkStarted
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# Counts lose half their weight in this time, so that the ratio follows the traffic.
HALF_LIFE = timedelta(seconds=10)
LEAST_RUNS = 3.0
# Calls per run that a route is taken to make before anything is known of it.
UNKNOWN_RATIO = 0.1


@attrs.define
class RouteCalls:
    """Runs of one route and the calls that are laid to them.

    :param runs: runs, old ones for less.
    :param calls: calls by service.
    """

    runs: float = 0.0
    calls: dict[str, float] = attrs.field(factory=dict)

    def ratio(self, service: str) -> float:
        """Return the calls to a service for each run, with a little for the unknown."""
        calls = self.calls.get(service, 0.0) + UNKNOWN_RATIO
        return calls / (self.runs + 1.0)

    def halve(self) -> None:
        """Let all counts lose half their weight."""
        self.runs /= 2
        self.calls = {name: count / 2 for name, count in self.calls.items()}


class CallRatios:
    """Write ``calls_per_run`` to the blackboard.

    Which run makes a call can't be seen if several run at once. A call is laid to the
    routes that run, by the ratios found so far; runs that are alone or beside other
    routes at other times make these ratios true.

    :param blackboard: ``calls_per_run`` is written.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.running: dict[int, str] = {}
        self.routes: dict[str, RouteCalls] = {}
        self.halve_at = clock.monotonic() + HALF_LIFE

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the ratios do not depend on."""
        return []

    @handle.register
    def _(self, event: WorkStarted) -> list[Any]:
        self.running[event.serial] = event.route
        self.routes.setdefault(event.route, RouteCalls()).runs += 1
        return []

    @handle.register
    def _(self, event: ResponseWaitEnded) -> list[Any]:
        self.running.pop(event.serial, None)
        return []

    @handle.register
    def _(self, event: LocalCall) -> list[Any]:
        running = Counter(self.running.values())
        weights = {
            route: count * self.routes[route].ratio(event.service)
            for route, count in running.items()
        }
        total = sum(weights.values())
        for route, weight in weights.items():
            calls = self.routes[route].calls
            calls[event.service] = calls.get(event.service, 0.0) + weight / total
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        if now >= self.halve_at:
            self.halve_at = now + HALF_LIFE
            for route in self.routes.values():
                route.halve()
        self.blackboard.calls_per_run = {
            name: {
                service: count / route.runs for service, count in route.calls.items()
            }
            for name, route in self.routes.items()
            if route.calls and route.runs >= LEAST_RUNS
        }
        return []
