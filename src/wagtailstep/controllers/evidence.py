"""Evaluate targets by the outcomes of real requests.

Outcomes are divided by blame. Failures of the backend server count in the tests of
its target and route. Failures of the path or a connection count in a test of this
daemon's own path to the target, which never leads to an ejection. Overload and
errors of the caller count against no target.
"""

import random
from collections.abc import Iterator
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.avoidance import PROBE_TIMEOUT_MS, Phase
from wagtailstep.controllers.evidence_evaluation import Finding, evaluate_target
from wagtailstep.controllers.evidence_sharing import EvidenceSharing
from wagtailstep.controllers.evidence_state import (
    CONNECTION_FAILURE_WEIGHT,
    HEALTHY_FAILURE_RATE,
    SLOT_CAP,
    ServiceEvidence,
    TargetEvidence,
    get_tested_symptoms,
    likelihood_ratios,
)
from wagtailstep.controllers.health import HealthTracker
from wagtailstep.controllers.sequential_test import TestLimits
from wagtailstep.controllers.stall_detector import StallDetector
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
from wagtailstep.models.hedging import SlowCopyLost
from wagtailstep.models.request import AttemptEnded, Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

SCAN_INTERVAL_S = 1.0


class EvidenceController:
    """Turn outcomes and reports into health and ejection candidates.

    :param settings: settings of the daemon.
    :param blackboard: ``health`` and ``ejection_candidates`` are written.
    :param clock: source of the monotonic time.
    :param rng: adds jitter to digests and samples their rows and receivers.
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
        self.health_tracker = HealthTracker(blackboard)
        self.previously_ejected: set[str] = set()
        self.next_scan_at = timedelta()
        self.sharing = EvidenceSharing(blackboard, rng)
        self.stalls = StallDetector()

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event and return effects; unknown events are ignored."""
        return []

    @handle.register
    def _(self, event: AttemptEnded) -> list[Any]:
        target = self.get_target_evidence(event.target_id)
        if target is None:
            return []
        self.stalls.record_completion(event.target_id, self.clock.monotonic())
        if event.blame in (Blame.PATH, Blame.CONNECTION):
            return self.record_path_failure(target, event.blame)
        unfinished = event.blame is Blame.NONE and event.verdict is not Verdict.RUN
        if unfinished or event.blame in (Blame.OVERLOAD, Blame.CALLER):
            return []
        return self.record_outcome(target, event)

    @handle.register
    def _(self, event: SlowCopyLost) -> list[Any]:
        if (target := self.get_target_evidence(event.target_id)) is None:
            return []
        self.services[target.service].record_slow_copy(target, event, self.clock)
        return self.evaluate(target)

    @handle.register
    def _(self, event: ProbeFinished) -> list[Any]:
        state = self.health_tracker.states.get(event.target_id)
        target = self.get_target_evidence(event.target_id)
        if state is None or target is None:
            return []
        if not state.record_probe(event.succeeded, self.clock.monotonic()):
            return []
        self.restart_target(target, Phase.RAMPING)
        return [RecordEvent("target-returns", {"target": event.target_id})]

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.handle_message(event.message)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects: list[Any] = list(self.advance_avoidance(now))
        effects += self.evaluate_stalls(now)
        self.health_tracker.expire_candidates(now)
        for service in self.services.values():
            service.update_limits(self.get_limits(service.service), now)
            effects += self.sharing.build_due_messages(service, now)
        if now >= self.next_scan_at:
            self.scan_targets(now)
        return effects

    @singledispatchmethod
    def handle_message(self, message: Any) -> list[Any]:
        """Handle a message of another daemon; other messages are ignored."""
        return []

    @handle_message.register
    def _(self, message: EvidenceRequest) -> list[Any]:
        self.sharing.record_request(message, self.clock.monotonic())
        return []

    @handle_message.register
    def _(self, message: UnhealthyNotice) -> list[Any]:
        target = self.get_target_evidence(message.target_id)
        if target is None or self.health_tracker.get_state(message.target_id).avoided:
            return []
        finding = Finding(Symptom(message.symptom), message.route, 1.0, False)
        return self.avoid_target(target, finding)

    @handle_message.register
    def _(self, message: EvidenceDigest) -> list[Any]:
        effects = []
        for row in message.answers:
            entry = unpack_evidence(message.service, row)
            effects += self.handle_report(message.daemon_id, entry, True)
        for row in message.alerts:
            entry = unpack_evidence(message.service, row)
            self.sharing.record_alert(message.service, entry.target_id)
            effects += self.handle_report(message.daemon_id, entry, False)
        return effects

    def handle_report(
        self, reporter: str, entry: RouteEvidence, requested: bool
    ) -> list[Any]:
        """Record the outcomes that another daemon reports for one target and route.

        Unrequested reports are sent only after bad outcomes. Their slow outcomes are
        not counted, as this biased sample would make healthy targets look slow.

        :param requested: whether the report was requested, and so is unbiased.
        """
        target = self.get_target_evidence(entry.target_id)
        if target is None:
            return []
        now = self.clock.monotonic()
        service = self.services[target.service]
        slot = service.limits.slot_at(now)
        for symptom in get_tested_symptoms(entry.route):
            failing = symptom is Symptom.FAILING
            bad = entry.failed if failing else entry.slow
            good = max(0, (entry.count if failing else entry.timed) - bad)
            if requested or symptom is not Symptom.SLOW:
                service.record_report(target, entry.route, symptom, good, bad, slot)
        if entry.count > entry.failed and entry.route != STALL_ROUTE:
            target.record_success(now, local=False)
        if not entry.failed and not entry.slow:
            return []
        target.bad_reports[reporter] = now
        return self.evaluate(target)

    def record_outcome(self, target: TargetEvidence, outcome: AttemptEnded) -> list:
        """Record an outcome that says something about the backend server."""
        now = self.clock.monotonic()
        service = self.services[target.service]
        failed = outcome.blame is Blame.BACKEND_SERVER
        latency = outcome.latency - outcome.queueing
        slow = self.record_latency(service, target, outcome, latency, failed)
        route = outcome.request.route
        service.record_outcome(target, route, failed, slow, service.limits.slot_at(now))
        if not failed:
            target.record_success(now, local=True)
        self.record_path_success(target)
        self.record_stall(target, False, now)
        if failed or slow:
            target.bad_reports[self.blackboard.this_member.daemon_id] = now
            return self.evaluate(target)
        return []

    def record_latency(
        self,
        service: ServiceEvidence,
        target: TargetEvidence,
        outcome: AttemptEnded,
        latency: timedelta,
        failed: bool,
    ) -> bool | None:
        """Record a latency and compare it with the service's targets in general.

        :return: whether it was slow, or ``None`` if it can't be assessed.
        """
        if failed:
            return None
        warming = self.health_tracker.get_state(target.target_id).phase is Phase.WARMING
        reference = service.get_baseline(outcome.request.route).reference
        slow = reference.is_slow(latency)
        latency_s = latency.total_seconds()
        target.add_latency(latency_s)
        if not warming and not self.health_tracker.get_state(target.target_id).avoided:
            reference.add(latency_s)
        health = self.blackboard.health.get(target.target_id)
        if health is None:
            self.write_health(target)
        else:
            health.latency = timedelta(seconds=target.latency_s or 0.0)
        return None if warming else slow

    def record_path_failure(self, target: TargetEvidence, blame: Blame) -> list[Any]:
        """Record a failure of this daemon's path to a target.

        An unresponsive connection is weaker evidence: a new connection may work.
        """
        ratio = likelihood_ratios(Symptom.UNREACHABLE, HEALTHY_FAILURE_RATE).bad
        if blame is Blame.CONNECTION:
            ratio *= CONNECTION_FAILURE_WEIGHT
        self.update_path_test(target, ratio)
        return self.evaluate(target)

    def record_path_success(self, target: TargetEvidence) -> None:
        """Record that this daemon's path to a target worked."""
        if target.path.score or target.path.slot_gain:
            ratio = likelihood_ratios(Symptom.UNREACHABLE, HEALTHY_FAILURE_RATE).good
            self.update_path_test(target, ratio)

    def update_path_test(self, target: TargetEvidence, ratio: float) -> None:
        """Add a log-likelihood ratio to the test of the path to a target."""
        limits = self.services[target.service].limits
        slot = limits.slot_at(self.clock.monotonic())
        target.path.add(ratio, SLOT_CAP[Symptom.UNREACHABLE], slot, limits.score_decay)

    def evaluate_stalls(self, now: timedelta) -> list[Any]:
        """Record stalls of targets that have requests in flight and complete none."""
        effects = []
        in_flight = self.blackboard.in_flight
        for target, again in self.stalls.find_stalls(self.services, in_flight, now):
            if self.health_tracker.get_state(target.target_id).phase is Phase.WARMING:
                continue
            self.record_stall(target, True, now, again)
            effects += self.evaluate(target)
        return effects

    def record_stall(
        self, target: TargetEvidence, stalled: bool, now: timedelta, again: bool = False
    ) -> None:
        """Record a stall, or that a request completed.

        :param again: whether the same wait was recorded before; it then is further
            evidence on this daemon's path, but not on the backend server.
        """
        service = self.services[target.service]
        slot = service.limits.slot_at(now)
        if again:
            service.record_local_stall(target, slot)
            return
        service.record_outcome(target, STALL_ROUTE, False, stalled, slot)
        if stalled:
            target.bad_reports[self.blackboard.this_member.daemon_id] = now

    def evaluate(self, target: TargetEvidence) -> list[Any]:
        """Evaluate a target after a bad outcome or report."""
        service, now = self.services[target.service], self.clock.monotonic()
        sharing = self.sharing.get_sharing(target.service)
        finding = evaluate_target(service, target, now, max(1, len(sharing.members)))
        if finding is None:
            self.write_health(target)
            return []
        effects = [] if not finding.pooled else self.propose_ejection(target, finding)
        if not self.health_tracker.get_state(target.target_id).avoided:
            effects += self.avoid_target(target, finding)
        return effects

    def propose_ejection(self, target: TargetEvidence, finding: Finding) -> list[Any]:
        """Make a target a candidate for ejection and notify the other daemons."""
        now = self.clock.monotonic()
        known = target.target_id in self.blackboard.ejection_candidates
        self.blackboard.ejection_candidates[target.target_id] = EjectionCandidate(
            target_id=target.target_id,
            symptom=finding.symptom,
            route=finding.route,
            severity=finding.severity,
            since=now,
        )
        if known or target.target_id in self.blackboard.ejected:
            return []
        notice = UnhealthyNotice(
            daemon_id=self.blackboard.this_member.daemon_id,
            service=target.service,
            target_id=target.target_id,
            symptom=finding.symptom.value,
            route=finding.route,
        )
        return list(self.sharing.send_notice(notice, now))

    def avoid_target(self, target: TargetEvidence, finding: Finding) -> list[Any]:
        """Avoid a target in this daemon's routing for a limited time."""
        state = self.health_tracker.get_state(target.target_id)
        state.start_avoidance(self.clock.monotonic())
        self.write_health(target)
        fields = {
            "target": target.target_id,
            "symptom": finding.symptom.value,
            "route": finding.route,
            "shared": str(finding.pooled).lower(),
            "strikes": str(state.consecutive_avoidances),
        }
        return [RecordEvent("target-avoided", fields)]

    def advance_avoidance(self, now: timedelta) -> Iterator[Any]:
        """Ramp up returned targets, send due probes and advance ramps."""
        for target_id in self.previously_ejected - self.blackboard.ejected:
            target = self.get_target_evidence(target_id)
            if target is not None:
                self.restart_target(target, Phase.RAMPING)
        self.previously_ejected = set(self.blackboard.ejected)
        for target_id, state in self.health_tracker.states.items():
            if target_id in self.previously_ejected or state.phase is Phase.GOOD:
                continue
            if state.try_start_probe(now):
                yield ProbeTarget(target_id, timedelta(milliseconds=PROBE_TIMEOUT_MS))
            target = self.get_target_evidence(target_id)
            if target is not None:
                self.write_health(target)

    def scan_targets(self, now: timedelta) -> None:
        """Discard evidence on targets that left; warm up those that restarted."""
        self.next_scan_at = now + timedelta(seconds=SCAN_INTERVAL_S)
        known = self.blackboard.targets
        for service in self.services.values():
            for target_id in [t for t in service.targets if t not in known]:
                del service.targets[target_id]
                self.health_tracker.remove_target(target_id)
            for target in service.targets.values():
                incarnation = known[target.target_id].incarnation
                if incarnation > target.incarnation:
                    target.incarnation = incarnation
                    self.restart_target(target, Phase.WARMING)

    def write_health(self, target: TargetEvidence) -> None:
        """Write the health of a target to the blackboard."""
        threshold = self.services[target.service].limits.threshold
        self.health_tracker.write_health(target, threshold, self.clock.monotonic())

    def restart_target(self, target: TargetEvidence, phase: Phase) -> None:
        """Clear the evidence on a target and start ramping up its traffic."""
        threshold = self.services[target.service].limits.threshold
        self.health_tracker.start_ramp(target, threshold, self.clock.monotonic(), phase)

    def get_target_evidence(self, target_id: str) -> TargetEvidence | None:
        """Return the evidence on a known target, or ``None`` if it is unknown."""
        known = self.blackboard.targets.get(target_id)
        if known is None:
            return None
        service = self.services.get(known.service)
        if service is None:
            service = ServiceEvidence(known.service, self.get_limits(known.service))
            self.services[known.service] = service
        if target_id in service.targets:
            return service.targets[target_id]
        target = service.get_target(target_id, known.availability_zone)
        target.incarnation = known.incarnation
        return target

    def get_limits(self, service: str) -> TestLimits:
        """Return the test limits of a service according to the table."""
        return TestLimits.from_row(self.blackboard.table.service_row(service))
