"""How many calls the backend servers beside this daemon make for each run.

A run that is repeated makes its calls again. The ratio travels with the answers, so
that an entry which repeats a request can charge the budgets of the called services.
"""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.gate import LocalCall, WorkStarted
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# Counts lose half their weight in this time, so that the ratio follows the traffic.
HALF_LIFE = timedelta(seconds=10)
LEAST_RUNS = 3.0


class CallRatios:
    """Write ``calls_per_run`` to the blackboard.

    Only runs that may be repeated count, since only they are; calls of other runs
    make the ratio too high, which errs on the side of fewer retries.

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
        self.runs = 0.0
        self.calls: dict[str, float] = {}
        self.halve_at = clock.monotonic() + HALF_LIFE

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the ratios do not depend on."""
        return []

    @handle.register
    def _(self, event: WorkStarted) -> list[Any]:
        self.runs += event.idempotent
        return []

    @handle.register
    def _(self, event: LocalCall) -> list[Any]:
        self.calls[event.service] = self.calls.get(event.service, 0.0) + 1
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        if now >= self.halve_at:
            self.halve_at = now + HALF_LIFE
            self.runs /= 2
            self.calls = {name: count / 2 for name, count in self.calls.items()}
        if self.calls and self.runs >= LEAST_RUNS:
            self.blackboard.calls_per_run = {
                name: count / self.runs for name, count in self.calls.items()
            }
        return []
