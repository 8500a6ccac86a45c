"""Watch this daemon's paths to the gates of targets.

A path that failed is avoided for a time that doubles with each further failure until a
request succeeds. Faults of the backend server itself are detected by its gate.
"""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import GateUnresponsive, RecordEvent, Tick
from wagtailstep.models.fleet import TargetHealth
from wagtailstep.models.hedging import SlowCopyLost
from wagtailstep.models.request import AttemptEnded, Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

# A lost packet delays a connection by about one retransmission timeout; a network
# partition lasts seconds.
INITIAL_AVOIDANCE = timedelta(seconds=1)
MAX_AVOIDANCE = timedelta(seconds=4)
# Weight of the newest sample in the smoothed latency.
LATENCY_WEIGHT = 0.1


@attrs.define
class PathState:
    """State of the path to one target.

    :param avoided_until: monotonic time until which the path is avoided.
    :param avoidance: duration of the last avoidance; zero after a success.
    :param latency: smoothed time until the head of a response.
    """

    avoided_until: timedelta | None = None
    avoidance: timedelta = timedelta()
    latency: timedelta | None = None

    def record_failure(self, now: timedelta) -> None:
        """Avoid the path, twice as long as last time, up to a limit."""
        if self.avoided_until is not None and now < self.avoided_until:
            return
        doubled = max(INITIAL_AVOIDANCE, 2 * self.avoidance)
        self.avoidance = min(MAX_AVOIDANCE, doubled)
        self.avoided_until = now + self.avoidance

    def record_latency(self, latency: timedelta) -> None:
        """Add the latency of a response to the smoothed latency."""
        if self.latency is None:
            self.latency = latency
        self.latency += LATENCY_WEIGHT * (latency - self.latency)


class PathWatch:
    """Write ``health`` of targets according to this daemon's paths to them.

    :param blackboard: ``health`` is written.
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
        self.paths: dict[str, PathState] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore events that do not affect paths."""
        return []

    @handle.register
    def _(self, event: AttemptEnded) -> list[Any]:
        if event.target_id not in self.blackboard.targets:
            return []
        if event.blame is Blame.PATH:
            return self.record_failure(event.target_id)
        path = self.paths.setdefault(event.target_id, PathState())
        if event.blame is Blame.NONE and event.verdict is Verdict.RUN:
            path.avoidance = timedelta()
            path.avoided_until = None
            path.record_latency(event.latency - event.queueing)
            self.write_health(event.target_id, path)
        return []

    @handle.register
    def _(self, event: SlowCopyLost) -> list[Any]:
        if event.target_id in self.blackboard.targets:
            path = self.paths.setdefault(event.target_id, PathState())
            path.record_latency(event.waited)
            self.write_health(event.target_id, path)
        return []

    @handle.register
    def _(self, event: GateUnresponsive) -> list[Any]:
        effects: list[Any] = []
        for target_id, target in self.blackboard.targets.items():
            member = self.blackboard.members.get(target.daemon_id)
            if member is not None and member.gate_address == event.gate_address:
                effects += self.record_failure(target_id)
        return effects

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        for target_id, path in list(self.paths.items()):
            if target_id not in self.blackboard.targets:
                del self.paths[target_id]
                self.blackboard.health.pop(target_id, None)
            elif path.avoided_until is not None and now >= path.avoided_until:
                path.avoided_until = None
                self.write_health(target_id, path)
        return []

    def record_failure(self, target_id: str) -> list[Any]:
        """Record a failure of the path to a target and avoid it."""
        path = self.paths.setdefault(target_id, PathState())
        was_avoided = path.avoided_until is not None
        path.record_failure(self.clock.monotonic())
        self.write_health(target_id, path)
        if was_avoided:
            return []
        avoided_ms = path.avoidance // timedelta(milliseconds=1)
        fields = {"target": target_id, "avoided_ms": str(avoided_ms)}
        return [RecordEvent("path-avoided", fields)]

    def write_health(self, target_id: str, path: PathState) -> None:
        """Write the health of a target to the blackboard."""
        self.blackboard.health[target_id] = TargetHealth(
            latency=path.latency, avoided=path.avoided_until is not None
        )
