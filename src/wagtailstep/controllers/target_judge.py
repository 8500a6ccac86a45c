"""Assess a backend server at the gate beside it.

Every request to a backend server passes its gate, so the gate sees all outcomes and
needs no agreement with other daemons. The log odds that the backend server is failing
rise with each failure, fall with each complete response, and decay over time once no
failure has occurred for a while. The resulting standing is sent to all entries together
with the target.
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

# Log odds in nats, as derived in docs/design/platform.md. A server without any evidence
# is failing with a probability of 5 %.
PRIOR_LOG_ODDS = -3.0
# Failing is more likely than not.
DOUBTED_ABOVE = 0.0
# Failing with a probability of 95 %.
FAILING_ABOVE = 3.0
# A failing server is only doubted again once it has not failed for this time, so that a
# repeatable request can try it before it may be sound again.
FAILING_HOLD = timedelta(seconds=1)
# Makes recovery after a long failure as fast as after a short one.
MAX_LOG_ODDS = 6.0
EVIDENCE_NATS = {
    # ln(0.5 / 0.012): 50 % of work fails at a failing server, 1.2 % at a healthy one.
    WorkResult.FAILED: 3.7,
    WorkResult.BROKEN: 3.7,
    WorkResult.LATE: 3.7,
    WorkResult.UNREACHABLE: 7.0,
    # The server reports that it is full: weak evidence, as its gate counts its slots.
    WorkResult.TURNED_AWAY: 0.5,
    # ln(0.5 / 0.988) = -0.7, increased so that three successes offset one failure.
    WorkResult.DONE: -1.2,
}
# A success of work that began after the last failure counts as many times while the
# server is doubted: failures come in bursts, and it shows that the burst is over.
LATER_SUCCESS_FACTOR = 2.0
# Log odds do not decay for this time after a failure, and then by DECAY_PER_S nats per
# second: an idle server is tried again within 4 s, as faults mostly last seconds.
DECAY_DELAY = timedelta(seconds=1.5)
DECAY_PER_S = 1.5
# Work is overdue once it takes this many times the typical duration of its route and at
# least this long. Healthy servers have a tail of about five times the typical duration.
OVERDUE_FACTOR = 5.0
MIN_OVERDUE_TIME = timedelta(milliseconds=600)
# Late work that had less time than this many typical durations does not count, since
# its deadline was too short.
SHORT_DEADLINE_FACTOR = 3.0
# Weight of the newest sample in the typical duration.
DURATION_WEIGHT = 0.1
# A request fails soon after a call that it depends on has failed: within this time the
# failure is attributed to the call.
FAILED_CALL_WINDOW = timedelta(milliseconds=200)
MAX_FAILED_CALLS = 256


@attrs.define
class RunningWork:
    """Work that the backend server has not completed yet.

    :param started_at: monotonic time when it was sent.
    :param counted_overdue: whether it was recorded as overdue.
    """

    target_id: str
    route: str
    started_at: timedelta
    counted_overdue: bool = False


@attrs.define
class Suspicion:
    """Suspicion that one backend server is failing.

    :param log_odds: log odds that it is failing, in nats.
    :param failed_at: monotonic time of the last failure.
    :param updated_at: monotonic time up to which ``log_odds`` is decayed.
    """

    log_odds: float = PRIOR_LOG_ODDS
    failed_at: timedelta = timedelta.min
    updated_at: timedelta = timedelta()

    def decay(self, now: timedelta) -> None:
        """Decay the log odds if the last failure is long enough ago."""
        since = max(self.updated_at, self.failed_at + DECAY_DELAY)
        if now > since:
            decayed = (now - since).total_seconds() * DECAY_PER_S
            self.log_odds = max(PRIOR_LOG_ODDS, self.log_odds - decayed)
        self.updated_at = now

    def record_result(
        self, result: WorkResult, now: timedelta, started_at: timedelta
    ) -> None:
        """Update the log odds with one outcome.

        :param started_at: monotonic time when the work began.
        """
        self.decay(now)
        evidence = EVIDENCE_NATS[result]
        if result is WorkResult.TURNED_AWAY:
            # A full server isn't failing: this prepares a doubt, and never causes or
            # prolongs one.
            raised = min(DOUBTED_ABOVE, self.log_odds + evidence)
            self.log_odds = max(self.log_odds, raised)
            return
        is_later = started_at > self.failed_at
        if evidence < 0 and is_later and self.log_odds > DOUBTED_ABOVE:
            evidence *= LATER_SUCCESS_FACTOR
        if evidence > 0:
            self.failed_at = now
        self.log_odds = min(MAX_LOG_ODDS, max(PRIOR_LOG_ODDS, self.log_odds + evidence))

    @property
    def standing(self) -> TargetStanding:
        """Return the standing that corresponds to the evidence."""
        has_just_failed = self.updated_at < self.failed_at + FAILING_HOLD
        if self.log_odds > FAILING_ABOVE and has_just_failed:
            return TargetStanding.FAILING
        if self.log_odds > DOUBTED_ABOVE:
            return TargetStanding.DOUBTED
        return TargetStanding.GOOD


class TargetJudge:
    """Controller that writes the standing of the local backend servers.

    :param blackboard: ``standing`` of local targets and ``last_failures`` are written.
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
        self.running: dict[int, RunningWork] = {}
        self.typical_s: dict[str, float] = {}
        self.failed_calls: deque[timedelta] = deque(maxlen=MAX_FAILED_CALLS)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore events that do not affect the standing."""
        return []

    @handle.register
    def _(self, event: WorkStarted) -> list[Any]:
        now = self.clock.monotonic()
        self.running[event.serial] = RunningWork(event.target_id, event.route, now)
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
            self.record_duration(event)
        if event.result is WorkResult.FAILED and self.is_explained_by_failed_call():
            return []
        if event.result is WorkResult.LATE and self.had_short_deadline(event):
            return []
        started_at = self.clock.monotonic() - event.duration
        return self.record_result(event.target_id, event.result, started_at)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects = self.record_overdue_work()
        now = self.clock.monotonic()
        for target_id, suspicion in list(self.suspicions.items()):
            if target_id not in self.blackboard.local_targets:
                del self.suspicions[target_id]
                self.blackboard.last_failures.pop(target_id, None)
                continue
            suspicion.decay(now)
            effects += self.write_standing(target_id, suspicion)
        return effects

    def had_short_deadline(self, event: WorkEnded) -> bool:
        """Return whether late work had too short a deadline to count as a failure.

        This is assumed for a route without completed work, whose typical duration is
        unknown.
        """
        typical_s = self.typical_s.get(event.route)
        if typical_s is None:
            return True
        return event.duration < timedelta(seconds=typical_s * SHORT_DEADLINE_FACTOR)

    def is_explained_by_failed_call(self) -> bool:
        """Return whether a failed call explains a failure; consume that call."""
        oldest = self.clock.monotonic() - FAILED_CALL_WINDOW
        while self.failed_calls and self.failed_calls[0] < oldest:
            self.failed_calls.popleft()
        if not self.failed_calls:
            return False
        self.failed_calls.popleft()
        return True

    def record_duration(self, event: WorkEnded) -> None:
        """Add a sample to the typical duration of a route."""
        seconds = event.duration.total_seconds()
        typical_s = self.typical_s.get(event.route, seconds)
        self.typical_s[event.route] = typical_s + DURATION_WEIGHT * (
            seconds - typical_s
        )

    def record_overdue_work(self) -> list[Any]:
        """Record overdue work as late, once for each piece of work."""
        effects: list[Any] = []
        now = self.clock.monotonic()
        for running in self.running.values():
            typical_s = self.typical_s.get(running.route)
            if running.counted_overdue or typical_s is None:
                continue
            limit = timedelta(seconds=typical_s * OVERDUE_FACTOR)
            if now - running.started_at > max(limit, MIN_OVERDUE_TIME):
                running.counted_overdue = True
                effects += self.record_result(
                    running.target_id, WorkResult.LATE, running.started_at
                )
        return effects

    def record_result(
        self, target_id: str, result: WorkResult, started_at: timedelta
    ) -> list[Any]:
        """Record one outcome of a local backend server."""
        if target_id not in self.blackboard.local_targets:
            return []
        suspicion = self.suspicions.setdefault(target_id, Suspicion())
        suspicion.record_result(result, self.clock.monotonic(), started_at)
        self.blackboard.last_failures[target_id] = suspicion.failed_at
        return self.write_standing(target_id, suspicion)

    def write_standing(self, target_id: str, suspicion: Suspicion) -> list[Any]:
        """Write the standing to the blackboard if it changed."""
        target = self.blackboard.targets[target_id]
        standing = suspicion.standing
        if standing is TargetStanding.GOOD and target.standing < TargetStanding.DOUBTED:
            return []
        if standing is target.standing:
            return []
        updated = attrs.evolve(target, standing=standing)
        self.blackboard.targets[target_id] = updated
        fields = {
            "target": target_id,
            "standing": standing.name.lower(),
            "odds_nats": f"{suspicion.log_odds:.1f}",
        }
        return [RecordEvent("target-standing", fields)]
