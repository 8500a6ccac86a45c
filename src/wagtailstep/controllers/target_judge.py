"""Judgement of a backend server by the gate beside it.

Every request to a backend server passes its gate, so one judge sees all its
outcomes and needs no agreement. The log odds that the backend server is failing
rise with each failure and fall with each whole answer and, after a quiet time, with
time. The standing that follows travels with the target to all entries.
"""

import random
from collections import deque
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import RecordEvent, Tick
from wagtailstep.models.fleet import TargetStanding
from wagtailstep.models.gate import (
    LocalCallFailed,
    ResponseWaitEnded,
    WorkEnded,
    WorkResult,
    WorkStarted,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# Log odds in nats, as worked out in docs/design/platform.md. A server that has shown
# nothing is failing with a probability of 5 %.
PRIOR = -3.0
# Failing is more likely than not.
DOUBTED_ABOVE = 0.0
# Failing with a probability of 95 %.
FAILING_ABOVE = 3.0
# Keeps the way back from a long failure as short as from a brief one.
HIGHEST = 6.0
EVIDENCE = {
    # ln(0.5 / 0.012): half of the work of a failing server fails, 1.2 % of a sound one.
    WorkResult.FAILED: 3.7,
    WorkResult.BROKEN: 3.7,
    WorkResult.LATE: 3.7,
    WorkResult.UNREACHABLE: 7.0,
    # Says that it is full, which is weak evidence, since its gate counts its slots.
    WorkResult.TURNED_AWAY: 0.5,
    # ln(0.5 / 0.988), a little more, so that three good answers undo one bad one.
    WorkResult.DONE: -1.2,
}
# Suspicion stays this long after a failure and then fades by as many nats a second: a
# server that gets no work is tried again within 4 s, as faults mostly last seconds.
QUIET_TIME = timedelta(seconds=1.5)
DECAY_PER_S = 1.5
# Work that takes this many times as long as usual, and this long, is held up. Work of
# sound servers has a tail of about five times the usual.
HELD_UP_FACTOR = 5.0
HELD_UP_LEAST = timedelta(milliseconds=600)
# Work that is late after less than this many times the usual had too little time.
HURRIED_FACTOR = 3.0
# Weight of the newest time in the usual one.
AVERAGE_WEIGHT = 0.1
# A request fails as soon as a call that it needs has failed.
CALL_EXCUSES = timedelta(milliseconds=200)
MAX_FAILED_CALLS = 256


@attrs.define
class Running:
    """Work that has not been answered yet.

    :param started_at: monotonic time when it was sent.
    :param counted: whether it was counted as held up.
    """

    target_id: str
    route: str
    started_at: timedelta
    counted: bool = False


@attrs.define
class Suspicion:
    """What speaks against one backend server.

    :param odds: log odds that it is failing, in nats.
    :param failed_at: monotonic time of the last failure.
    :param updated_at: monotonic time when ``odds`` was right.
    """

    odds: float = PRIOR
    failed_at: timedelta = timedelta.min
    updated_at: timedelta = timedelta()

    def decay(self, now: timedelta) -> None:
        """Let suspicion fade after a quiet time."""
        since = max(self.updated_at, self.failed_at + QUIET_TIME)
        if now > since:
            faded = (now - since).total_seconds() * DECAY_PER_S
            self.odds = max(PRIOR, self.odds - faded)
        self.updated_at = now

    def add(self, result: WorkResult, now: timedelta) -> None:
        """Take one outcome."""
        self.decay(now)
        evidence = EVIDENCE[result]
        if evidence > 0:
            self.failed_at = now
        self.odds = min(HIGHEST, max(PRIOR, self.odds + evidence))

    @property
    def standing(self) -> TargetStanding:
        """Return the standing that the odds amount to."""
        if self.odds > FAILING_ABOVE:
            return TargetStanding.FAILING
        if self.odds > DOUBTED_ABOVE:
            return TargetStanding.DOUBTED
        return TargetStanding.GOOD


class TargetJudge:
    """Write the standing of the backend servers beside this daemon.

    :param blackboard: ``standing`` of local targets is written.
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
        self.suspicions: dict[str, Suspicion] = {}
        self.running: dict[int, Running] = {}
        self.average_s: dict[str, float] = {}
        self.failed_calls: deque[timedelta] = deque(maxlen=MAX_FAILED_CALLS)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the judgement does not depend on."""
        return []

    @handle.register
    def _(self, event: WorkStarted) -> list[Any]:
        now = self.clock.monotonic()
        self.running[event.serial] = Running(event.target_id, event.route, now)
        return []

    @handle.register
    def _(self, event: ResponseWaitEnded) -> list[Any]:
        self.running.pop(event.serial, None)
        return []

    @handle.register
    def _(self, event: LocalCallFailed) -> list[Any]:
        now = self.clock.monotonic()
        self.failed_calls.append(now)
        if event.refused:
            self.blackboard.call_refused_at = now
        return []

    @handle.register
    def _(self, event: WorkEnded) -> list[Any]:
        if event.result is WorkResult.DONE:
            self.learn_time(event)
        if event.result is WorkResult.FAILED and self.take_failed_call():
            return []
        if event.result is WorkResult.LATE and self.was_hurried(event):
            return []
        return self.count(event.target_id, event.result)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects = self.count_held_up()
        now = self.clock.monotonic()
        for target_id, suspicion in list(self.suspicions.items()):
            if target_id not in self.blackboard.local_targets:
                del self.suspicions[target_id]
                continue
            suspicion.decay(now)
            effects += self.write(target_id, suspicion)
        return effects

    def was_hurried(self, event: WorkEnded) -> bool:
        """Tell whether work that was late had too little time to be judged by.

        Where no work of a route was ever done nothing tells how long it takes.
        """
        usual_s = self.average_s.get(event.route)
        if usual_s is None:
            return True
        return event.duration < timedelta(seconds=usual_s * HURRIED_FACTOR)

    def take_failed_call(self) -> bool:
        """Tell whether a failure follows from that of a call that was needed for it."""
        oldest = self.clock.monotonic() - CALL_EXCUSES
        while self.failed_calls and self.failed_calls[0] < oldest:
            self.failed_calls.popleft()
        if not self.failed_calls:
            return False
        self.failed_calls.popleft()
        return True

    def learn_time(self, event: WorkEnded) -> None:
        """Follow the usual time of a route."""
        seconds = event.duration.total_seconds()
        average_s = self.average_s.get(event.route, seconds)
        self.average_s[event.route] = average_s + AVERAGE_WEIGHT * (seconds - average_s)

    def count_held_up(self) -> list[Any]:
        """Count work that should have been answered long ago, once each."""
        effects: list[Any] = []
        now = self.clock.monotonic()
        for running in self.running.values():
            usual_s = self.average_s.get(running.route)
            if running.counted or usual_s is None:
                continue
            limit = timedelta(seconds=usual_s * HELD_UP_FACTOR)
            if now - running.started_at > max(limit, HELD_UP_LEAST):
                running.counted = True
                effects += self.count(running.target_id, WorkResult.LATE)
        return effects

    def count(self, target_id: str, result: WorkResult) -> list[Any]:
        """Take one outcome of a backend server."""
        if target_id not in self.blackboard.local_targets:
            return []
        suspicion = self.suspicions.setdefault(target_id, Suspicion())
        suspicion.add(result, self.clock.monotonic())
        return self.write(target_id, suspicion)

    def write(self, target_id: str, suspicion: Suspicion) -> list[Any]:
        """Put a changed standing on the blackboard."""
        target = self.blackboard.targets[target_id]
        standing = suspicion.standing
        if standing is TargetStanding.GOOD and target.standing < TargetStanding.DOUBTED:
            return []
        if standing is target.standing:
            return []
        changed = attrs.evolve(target, standing=standing)
        self.blackboard.targets[target_id] = changed
        fields = {
            "target": target_id,
            "standing": standing.name.lower(),
            "odds_nats": f"{suspicion.odds:.1f}",
        }
        return [RecordEvent("target-standing", fields)]
