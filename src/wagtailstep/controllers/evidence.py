"""Judge targets by the outcomes of real requests.

Three blames are kept apart. What speaks against the backend server counts in the
tests of its target and route; what speaks against the path or a connection counts
in a test of this daemon's own path to the target, which never leads to an
ejection; overload and mistakes of the caller count against nobody.
"""

import random
from collections.abc import Iterator
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.evidence_judge import Judgement, judge_target
from wagtailstep.controllers.evidence_sharing import EvidenceSharing
from wagtailstep.controllers.evidence_state import (
    CONNECTION_SHARE,
    HEALTHY_FAILED,
    SLOT_CAP,
    ServiceEvidence,
    TargetEvidence,
    hypotheses_for,
    symptoms_of,
)
from wagtailstep.controllers.health import Standings
from wagtailstep.controllers.sequential_test import TestLimits
from wagtailstep.controllers.stall_watch import StallWatch
from wagtailstep.controllers.standing import PROBE_TIMEOUT_MS, Phase
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    PeerMessageReceived,
    ProbeFinished,
    ProbeTarget,
    RecordEvent,
    Tick,
)
from wagtailstep.models.evidence import (
    STALL_ROUTE,
    EjectionCandidate,
    EvidenceDigest,
    EvidenceRequest,
    RouteEvidence,
    Symptom,
    UnhealthyNotice,
    unpack_evidence,
)
from wagtailstep.models.request import AttemptEnded, Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

SCAN_INTERVAL_S = 1.0


class EvidenceController:
    """Turn outcomes and reports into judgements on the blackboard.

    :param settings: settings of the daemon.
    :param blackboard: ``health`` and ``ejection_candidates`` are written.
    :param clock: tells the monotonic time.
    :param rng: spreads digests and probes.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.services: dict[str, ServiceEvidence] = {}
        self.standings = Standings(blackboard)
        self.were_ejected: set[str] = set()
        self.next_scan = timedelta()
        self.sharing = EvidenceSharing(blackboard, rng)
        self.stalls = StallWatch()

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Take one event and return effects; unknown events are ignored."""
        return []

    @handle.register
    def _(self, event: AttemptEnded) -> list[Any]:
        target = self.find_target(event.target_id)
        if target is None:
            return []
        self.stalls.note_outcome(event.target_id, self.clock.monotonic())
        if event.blame in (Blame.PATH, Blame.CONNECTION):
            return self.take_path_failure(target, event.blame)
        if event.blame in (Blame.OVERLOAD, Blame.CALLER):
            return []
        if event.blame is Blame.NONE and event.verdict is not Verdict.RUN:
            return []
        return self.take_outcome(target, event)

    @handle.register
    def _(self, event: ProbeFinished) -> list[Any]:
        standing = self.standings.by_target.get(event.target_id)
        target = self.find_target(event.target_id)
        if standing is None or target is None:
            return []
        if not standing.take_probe(event.succeeded, self.clock.monotonic()):
            return []
        self.restart(target, Phase.RAMPING)
        return [RecordEvent("target-returns", {"target": event.target_id})]

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.take_message(event.message)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects: list[Any] = list(self.advance_standings(now))
        effects += self.judge_stalls(now)
        self.standings.expire_candidates(now)
        for service in self.services.values():
            service.change_limits(self.read_limits(service.service), now)
            effects += self.sharing.share(service, now)
        if now >= self.next_scan:
            self.scan_targets(now)
        return effects

    @singledispatchmethod
    def take_message(self, message: Any) -> list[Any]:
        """Take a message of another daemon; other messages are ignored."""
        return []

    @take_message.register
    def _(self, message: EvidenceRequest) -> list[Any]:
        self.sharing.note_request(message, self.clock.monotonic())
        return []

    @take_message.register
    def _(self, message: UnhealthyNotice) -> list[Any]:
        target = self.find_target(message.target_id)
        if target is None or self.standings.of(message.target_id).avoided:
            return []
        judgement = Judgement(Symptom(message.symptom), message.route, 1.0, False)
        return self.avoid(target, judgement)

    @take_message.register
    def _(self, message: EvidenceDigest) -> list[Any]:
        effects = []
        for row in message.answers:
            entry = unpack_evidence(message.service, row)
            effects += self.take_report(message.daemon_id, entry, True)
        for row in message.alerts:
            entry = unpack_evidence(message.service, row)
            self.sharing.alert(message.service, entry.target_id)
            effects += self.take_report(message.daemon_id, entry, False)
        return effects

    def take_report(
        self, reporter: str, entry: RouteEvidence, asked: bool
    ) -> list[Any]:
        """Add what another daemon saw at one target and route.

        Who tells unasked does so because outcomes were bad. Counting slow ones
        among these would make healthy targets look slow.

        :param asked: whether the report would have come if all had been good.
        """
        target = self.find_target(entry.target_id)
        if target is None:
            return []
        now = self.clock.monotonic()
        service = self.services[target.service]
        slot = service.limits.slot_at(now)
        for symptom in symptoms_of(entry.route):
            failing = symptom is Symptom.FAILING
            bad = entry.failed if failing else entry.slow
            good = max(0, (entry.count if failing else entry.timed) - bad)
            if asked or symptom is not Symptom.SLOW:
                service.add_report(target, entry.route, symptom, good, bad, slot)
        if entry.count > entry.failed and entry.route != STALL_ROUTE:
            target.note_success(now, own=False)
        if not entry.failed and not entry.slow:
            return []
        target.complaints[reporter] = now
        return self.judge(target)

    def take_outcome(self, target: TargetEvidence, outcome: AttemptEnded) -> list:
        """Count an outcome that speaks for or against the backend server."""
        now = self.clock.monotonic()
        service = self.services[target.service]
        failed = outcome.blame is Blame.BACKEND_SERVER
        latency = outcome.latency - outcome.queueing
        slow = self.time_outcome(service, target, outcome, latency, failed)
        route = outcome.request.route
        service.add_outcome(target, route, failed, slow, service.limits.slot_at(now))
        if not failed:
            target.note_success(now, own=True)
        self.take_path_success(target)
        self.count_stall(target, False, now)
        if failed or slow:
            target.complaints[self.blackboard.this_member.daemon_id] = now
            return self.judge(target)
        return []

    def time_outcome(
        self,
        service: ServiceEvidence,
        target: TargetEvidence,
        outcome: AttemptEnded,
        latency: timedelta,
        failed: bool,
    ) -> bool | None:
        """Compare a latency with the service's others and learn from it.

        :return: whether it was slow, or ``None`` if that can't be told.
        """
        if failed:
            return None
        warming = self.standings.of(target.target_id).phase is Phase.WARMING
        reference = service.comparison(outcome.request.route).reference
        slow = reference.is_slow(latency)
        latency_s = latency.total_seconds()
        target.add_latency(latency_s)
        if not warming and not self.standings.of(target.target_id).avoided:
            reference.add(latency_s)
        health = self.blackboard.health.get(target.target_id)
        if health is None:
            self.write_health(target)
        else:
            health.latency = timedelta(seconds=target.latency_s or 0.0)
        return None if warming else slow

    def take_path_failure(self, target: TargetEvidence, blame: Blame) -> list[Any]:
        """Count an outcome against this daemon's path to a target.

        A connection that went silent says little of the path: a new one may work.
        """
        ratio = hypotheses_for(Symptom.UNREACHABLE, HEALTHY_FAILED).bad
        if blame is Blame.CONNECTION:
            ratio *= CONNECTION_SHARE
        self.add_to_path(target, ratio)
        return self.judge(target)

    def take_path_success(self, target: TargetEvidence) -> None:
        """Count an outcome for this daemon's path to a target."""
        if target.path.score or target.path.gain:
            ratio = hypotheses_for(Symptom.UNREACHABLE, HEALTHY_FAILED).good
            self.add_to_path(target, ratio)

    def add_to_path(self, target: TargetEvidence, ratio: float) -> None:
        """Add a log-likelihood ratio to the test of the path to a target."""
        limits = self.services[target.service].limits
        slot = limits.slot_at(self.clock.monotonic())
        cap = SLOT_CAP[Symptom.UNREACHABLE]
        target.path.add(ratio, cap, slot, limits.score_decay)

    def judge_stalls(self, now: timedelta) -> list[Any]:
        """Count targets that hold requests and end none as hanging."""
        effects = []
        in_flight = self.blackboard.in_flight
        for target, again in self.stalls.find(self.services, in_flight, now):
            if self.standings.of(target.target_id).phase is Phase.WARMING:
                continue
            self.count_stall(target, True, now, again)
            effects += self.judge(target)
        return effects

    def count_stall(
        self, target: TargetEvidence, stalled: bool, now: timedelta, again: bool = False
    ) -> None:
        """Count a stall, or the end of a request without one.

        :param again: whether the same wait was counted before; it then tells more
            of this daemon's path, but nothing new of the backend server.
        """
        service = self.services[target.service]
        slot = service.limits.slot_at(now)
        if again:
            service.add_own_stall(target, slot)
            return
        service.add_outcome(target, STALL_ROUTE, False, stalled, slot)
        if stalled:
            target.complaints[self.blackboard.this_member.daemon_id] = now

    def judge(self, target: TargetEvidence) -> list[Any]:
        """Judge a target after something bad was seen of it."""
        service = self.services[target.service]
        sharing = self.sharing.sharing_of(target.service)
        now = self.clock.monotonic()
        daemons = max(1, len(sharing.members))
        judgement = judge_target(service, target, now, daemons)
        if judgement is None:
            self.write_health(target)
            return []
        effects = [] if not judgement.shared else self.propose(target, judgement)
        if not self.standings.of(target.target_id).avoided:
            effects += self.avoid(target, judgement)
        return effects

    def propose(self, target: TargetEvidence, judgement: Judgement) -> list[Any]:
        """Make a target a candidate for ejection and tell the other daemons."""
        now = self.clock.monotonic()
        known = target.target_id in self.blackboard.ejection_candidates
        self.blackboard.ejection_candidates[target.target_id] = EjectionCandidate(
            target_id=target.target_id,
            symptom=judgement.symptom,
            route=judgement.route,
            severity=judgement.severity,
            since=now,
        )
        if known or target.target_id in self.blackboard.ejected:
            return []
        notice = UnhealthyNotice(
            daemon_id=self.blackboard.this_member.daemon_id,
            service=target.service,
            target_id=target.target_id,
            symptom=judgement.symptom.value,
            route=judgement.route,
        )
        return list(self.sharing.notify(notice, now))

    def avoid(self, target: TargetEvidence, judgement: Judgement) -> list[Any]:
        """Steer this daemon's picks away from a target for a while."""
        standing = self.standings.of(target.target_id)
        standing.strike(self.clock.monotonic())
        self.write_health(target)
        fields = {
            "target": target.target_id,
            "symptom": judgement.symptom.value,
            "route": judgement.route,
            "shared": str(judgement.shared).lower(),
            "strikes": str(standing.strikes),
        }
        return [RecordEvent("target-avoided", fields)]

    def advance_standings(self, now: timedelta) -> Iterator[Any]:
        """Follow ejections, send the probes that are due, and advance ramps."""
        for target_id in self.were_ejected - self.blackboard.ejected:
            target = self.find_target(target_id)
            if target is not None:
                self.restart(target, Phase.RAMPING)
        self.were_ejected = set(self.blackboard.ejected)
        for target_id, standing in self.standings.by_target.items():
            if target_id in self.were_ejected or standing.phase is Phase.GOOD:
                continue
            if standing.probe_due(now):
                yield ProbeTarget(target_id, timedelta(milliseconds=PROBE_TIMEOUT_MS))
            target = self.find_target(target_id)
            if target is not None:
                self.write_health(target)

    def scan_targets(self, now: timedelta) -> None:
        """Drop evidence on targets that left; warm up those that started."""
        self.next_scan = now + timedelta(seconds=SCAN_INTERVAL_S)
        known = self.blackboard.targets
        for service in self.services.values():
            for target_id in [t for t in service.targets if t not in known]:
                del service.targets[target_id]
                self.standings.forget(target_id)
            for target in service.targets.values():
                incarnation = known[target.target_id].incarnation
                if incarnation > target.incarnation:
                    target.incarnation = incarnation
                    self.restart(target, Phase.WARMING)

    def write_health(self, target: TargetEvidence) -> None:
        """Write the judgement of a target to the blackboard."""
        threshold = self.services[target.service].limits.threshold
        self.standings.write(target, threshold, self.clock.monotonic())

    def restart(self, target: TargetEvidence, phase: Phase) -> None:
        """Forget what speaks against a target and start to use it slowly."""
        threshold = self.services[target.service].limits.threshold
        self.standings.start(target, threshold, self.clock.monotonic(), phase)

    def find_target(self, target_id: str) -> TargetEvidence | None:
        """Return the evidence on a known target, or ``None`` if it is unknown."""
        known = self.blackboard.targets.get(target_id)
        if known is None:
            return None
        service = self.services.get(known.service)
        if service is None:
            limits = self.read_limits(known.service)
            service = ServiceEvidence(known.service, limits)
            self.services[known.service] = service
        if target_id in service.targets:
            return service.targets[target_id]
        target = service.target(target_id, known.availability_zone)
        target.incarnation = known.incarnation
        return target

    def read_limits(self, service: str) -> TestLimits:
        """Return how the table wants the targets of a service judged."""
        return TestLimits.from_row(self.blackboard.table.service_row(service))
