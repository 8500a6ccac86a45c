"""Baseline failure detectors, as most proxies have them by default."""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import ProbeFinished, ProbeTarget, Tick
from wagtailstep.models.fleet import TargetHealth
from wagtailstep.models.request import AttemptEnded, Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

MIN_CONSECUTIVE_FAILURES = 5
AVOIDANCE_S = 30.0
HEALTH_INTERVAL_S = 2.0
UNHEALTHY_AFTER = 3
HEALTHY_AFTER = 2
HEALTH_TIMEOUT_MS = 500


class ConsecutiveFailures:
    """Avoid a target for 30 s after 5 failures in a row seen by this daemon."""

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.failures: dict[str, int] = {}
        self.until: dict[str, timedelta] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event; other types are ignored."""
        return []

    @handle.register
    def _(self, event: AttemptEnded) -> list[Any]:
        if event.blame is Blame.NONE:
            self.failures[event.target_id] = 0
            return []
        count = self.failures.get(event.target_id, 0) + 1
        self.failures[event.target_id] = count
        if count >= MIN_CONSECUTIVE_FAILURES:
            now = self.clock.monotonic()
            self.until[event.target_id] = now + timedelta(seconds=AVOIDANCE_S)
            self.blackboard.health[event.target_id] = TargetHealth(avoided=True)
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        for target_id in [t for t, until in self.until.items() if until <= now]:
            del self.until[target_id]
            self.failures[target_id] = 0
            self.blackboard.health[target_id] = TargetHealth()
        return []


class HealthEndpoint:
    """Avoid a target whose health endpoint failed 3 times in a row."""

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        first = rng.random() * HEALTH_INTERVAL_S
        self.next_check = clock.monotonic() + timedelta(seconds=first)
        self.streaks: dict[str, int] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event; other types are ignored."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        if self.clock.monotonic() < self.next_check:
            return []
        self.next_check += timedelta(seconds=HEALTH_INTERVAL_S)
        timeout = timedelta(milliseconds=HEALTH_TIMEOUT_MS)
        return [ProbeTarget(name, timeout) for name in self.blackboard.targets]

    @handle.register
    def _(self, event: ProbeFinished) -> list[Any]:
        streak = self.streaks.get(event.target_id, 0)
        if event.succeeded:
            streak = max(1, streak + 1)
        else:
            streak = min(-1, streak - 1)
        self.streaks[event.target_id] = streak
        if streak <= -UNHEALTHY_AFTER:
            self.blackboard.health[event.target_id] = TargetHealth(avoided=True)
        if streak >= HEALTHY_AFTER:
            self.blackboard.health[event.target_id] = TargetHealth()
        return []
