"""Estimate how many calls the local backend server makes per run of each route.

A request that is retried makes its calls again. The ratios are sent with the responses,
so that an entry that retries a request can charge the retry budgets of the called
services.
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

# Counts are halved at this interval, so that the ratios follow changes in traffic.
HALF_LIFE = timedelta(seconds=10)
# Weighted runs that a route needs before its ratios are published.
MIN_RUNS = 3.0
# Calls per run that are assumed for a route without data.
PRIOR_CALLS_PER_RUN = 0.1


@attrs.define
class RouteCalls:
    """Decayed counts of the runs of one route and of the calls attributed to them.

    :param runs: decayed number of runs.
    :param calls: decayed number of calls, by called service.
    """

    runs: float = 0.0
    calls: dict[str, float] = attrs.field(factory=dict)

    def ratio(self, service: str) -> float:
        """Return the estimated calls to a service per run, smoothed by a prior."""
        calls = self.calls.get(service, 0.0) + PRIOR_CALLS_PER_RUN
        return calls / (self.runs + 1.0)

    def halve(self) -> None:
        """Halve all counts."""
        self.runs /= 2
        self.calls = {name: count / 2 for name, count in self.calls.items()}


class CallRatios:
    """Controller that writes ``calls_per_run`` to the blackboard.

    While several requests run at once, the one that makes a call is unknown. The call
    is divided among the running routes in proportion to their estimated ratios. The
    estimates converge because a route also runs alone or beside other routes.

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
        """Ignore events that do not affect the ratios."""
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
            if route.calls and route.runs >= MIN_RUNS
        }
        return []
