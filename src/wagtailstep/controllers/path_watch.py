"""This daemon's own paths to the gates of targets.

A path that failed is avoided for a while, longer each time, until a request gets
through. What speaks against the backend server itself is its gate's affair.
"""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import GateUnresponsive, RecordEvent, Tick
from wagtailstep.models.fleet import TargetHealth
from wagtailstep.models.request import AttemptEnded, Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

# A lost packet delays a connection by about a retransmission; a cut lasts seconds.
FIRST_AVOIDANCE = timedelta(seconds=1)
LONGEST_AVOIDANCE = timedelta(seconds=4)
# Weight of the newest latency in the usual one.
LATENCY_WEIGHT = 0.1


@attrs.define
class Path:
    """The path to one target.

    :param avoided_until: monotonic time until which it is avoided.
    :param avoidance: how long it was avoided last.
    :param latency: typical time to the head of an answer.
    """

    avoided_until: timedelta | None = None
    avoidance: timedelta = timedelta()
    latency: timedelta | None = None

    def fail(self, now: timedelta) -> None:
        """Avoid the path, twice as long as the last time."""
        if self.avoided_until is not None and now < self.avoided_until:
            return
        doubled = max(FIRST_AVOIDANCE, 2 * self.avoidance)
        self.avoidance = min(LONGEST_AVOIDANCE, doubled)
        self.avoided_until = now + self.avoidance

    def learn(self, latency: timedelta) -> None:
        """Take the latency of an answer."""
        if self.latency is None:
            self.latency = latency
        self.latency += LATENCY_WEIGHT * (latency - self.latency)


class PathWatch:
    """Write ``health`` of targets, as far as this daemon's path to them decides it.

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
        self.paths: dict[str, Path] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that paths do not depend on."""
        return []

    @handle.register
    def _(self, event: AttemptEnded) -> list[Any]:
        if event.target_id not in self.blackboard.targets:
            return []
        if event.blame is Blame.PATH:
            return self.fail(event.target_id)
        path = self.paths.setdefault(event.target_id, Path())
        if event.blame is Blame.NONE and event.verdict is Verdict.RUN:
            path.avoidance = timedelta()
            path.avoided_until = None
            path.learn(event.latency - event.queueing)
            self.write(event.target_id, path)
        return []

    @handle.register
    def _(self, event: GateUnresponsive) -> list[Any]:
        effects: list[Any] = []
        for target_id, target in self.blackboard.targets.items():
            member = self.blackboard.members.get(target.daemon_id)
            if member is not None and member.gate_address == event.gate_address:
                effects += self.fail(target_id)
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
                self.write(target_id, path)
        return []

    def fail(self, target_id: str) -> list[Any]:
        """Avoid the path to a target."""
        path = self.paths.setdefault(target_id, Path())
        was_avoided = path.avoided_until is not None
        path.fail(self.clock.monotonic())
        self.write(target_id, path)
        if was_avoided:
            return []
        avoided_ms = path.avoidance // timedelta(milliseconds=1)
        fields = {"target": target_id, "avoided_ms": str(avoided_ms)}
        return [RecordEvent("path-avoided", fields)]

    def write(self, target_id: str, path: Path) -> None:
        """Write the judgement of a path to the blackboard."""
        self.blackboard.health[target_id] = TargetHealth(
            latency=path.latency, avoided=path.avoided_until is not None
        )
