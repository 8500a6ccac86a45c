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
    HEALTHY_FAILED,
    SLOT_CAP,
    ServiceEvidence,
    TargetEvidence,
    hypotheses_for,
)
from wagtailstep.controllers.sequential_test import TestLimits
from wagtailstep.controllers.standing import PROBE_TIMEOUT_MS, Phase, Standing
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    PeerMessageReceived,
    ProbeFinished,
    ProbeTarget,
    RecordEvent,
    Tick,
)
from wagtailstep.models.evidence import (
    EjectionCandidate,
    EvidenceDigest,
    EvidenceRequest,
    RouteEvidence,
    SickNotice,
    Symptom,
)
from wagtailstep.models.fleet import TargetHealth
from wagtailstep.models.request import Blame, RequestOutcome
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

PENALTY_PER_THRESHOLD = 8.0
CANDIDATE_LIFETIME_S = 10.0
FORGET_INTERVAL_S = 5.0


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
        self.standings: dict[str, Standing] = {}
        self.were_ejected: set[str] = set()
        self.next_forget = timedelta()
        self.sharing = EvidenceSharing(blackboard, rng)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Take one event and return effects; unknown events are ignored."""
        return []

    @handle.register
    def _(self, event: RequestOutcome) -> list[Any]:
        target = self.find_target(event.target_id)
        if target is None:
            return []
        if event.blame in (Blame.PATH, Blame.CONNECTION):
            return self.take_path_outcome(target, failed=True)
        if event.blame in (Blame.OVERLOAD, Blame.CALLER):
            return []
        return self.take_outcome(target, event)

    @handle.register
    def _(self, event: ProbeFinished) -> list[Any]:
        standing = self.standings.get(event.target_id)
        target = self.find_target(event.target_id)
        if standing is None or target is None:
            return []
        standing.take_probe(event.succeeded, self.clock.monotonic())
        if standing.phase is not Phase.RAMPING:
            return []
        target.clear()
        self.write_health(target)
        return [RecordEvent("target-returns", {"target": event.target_id})]

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.take_message(event.message)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects: list[Any] = list(self.advance_standings(now))
        self.expire_candidates(now)
        for service in self.services.values():
            service.change_limits(self.read_limits(service.service), now)
            effects += self.sharing.share(service, now)
        if now >= self.next_forget:
            self.forget_departed(now)
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
    def _(self, message: SickNotice) -> list[Any]:
        target = self.find_target(message.target_id)
        if target is None or self.standing_of(message.target_id).avoided:
            return []
        judgement = Judgement(Symptom(message.symptom), message.route, 1.0, False)
        return self.avoid(target, judgement)

    @take_message.register
    def _(self, message: EvidenceDigest) -> list[Any]:
        effects = []
        for entry in message.entries:
            effects += self.take_report(message.daemon_id, entry)
        return effects

    def take_report(self, reporter: str, entry: RouteEvidence) -> list[Any]:
        """Add what another daemon saw at one target and route."""
        target = self.find_target(entry.target_id)
        if target is None:
            return []
        now = self.clock.monotonic()
        service = self.services[target.service]
        slot = service.limits.slot_at(now)
        for symptom, count, bad in (
            (Symptom.FAILING, entry.count, entry.failed),
            (Symptom.SLOW, entry.timed, entry.slow),
        ):
            good = max(0, count - bad)
            service.add_report(target, entry.route, symptom, good, bad, slot)
        if not entry.failed and not entry.slow:
            return []
        target.complaints[reporter] = now
        return self.judge(target)

    def take_outcome(self, target: TargetEvidence, outcome: RequestOutcome) -> list:
        """Count an outcome that speaks for or against the backend server."""
        now = self.clock.monotonic()
        service = self.services[target.service]
        failed = outcome.blame is Blame.BACKEND_SERVER
        latency = outcome.latency - outcome.queueing
        slow = self.time_outcome(service, target, outcome, latency, failed)
        route = outcome.request.route
        service.add_outcome(target, route, failed, slow, service.limits.slot_at(now))
        self.take_path_outcome(target, failed=False)
        if failed or slow:
            target.complaints[self.blackboard.this_member.daemon_id] = now
            return self.judge(target)
        return []

    def time_outcome(
        self,
        service: ServiceEvidence,
        target: TargetEvidence,
        outcome: RequestOutcome,
        latency: timedelta,
        failed: bool,
    ) -> bool | None:
        """Compare a latency with the service's others and learn from it.

        :return: whether it was slow, or ``None`` if that can't be told.
        """
        if failed:
            return None
        reference = service.comparison(outcome.request.route).reference
        slow = reference.is_slow(latency)
        latency_s = latency.total_seconds()
        target.add_latency(latency_s)
        if not self.standing_of(target.target_id).avoided:
            reference.add(latency_s)
        health = self.blackboard.health.get(target.target_id)
        if health is None:
            self.write_health(target)
        else:
            health.latency = timedelta(seconds=target.latency_s or 0.0)
        return slow

    def take_path_outcome(self, target: TargetEvidence, failed: bool) -> list[Any]:
        """Count an outcome for or against this daemon's path to a target."""
        if not failed and not target.path.score and not target.path.gain:
            return []
        limits = self.services[target.service].limits
        hypotheses = hypotheses_for(Symptom.UNREACHABLE, HEALTHY_FAILED)
        ratio = hypotheses.bad if failed else hypotheses.good
        slot = limits.slot_at(self.clock.monotonic())
        cap = SLOT_CAP[Symptom.UNREACHABLE]
        target.path.add(ratio, cap, slot, limits.score_decay)
        return self.judge(target) if failed else []

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
        if not self.standing_of(target.target_id).avoided:
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
        notice = SickNotice(
            daemon_id=self.blackboard.this_member.daemon_id,
            service=target.service,
            target_id=target.target_id,
            symptom=judgement.symptom.value,
            route=judgement.route,
        )
        return list(self.sharing.notify(notice, now))

    def avoid(self, target: TargetEvidence, judgement: Judgement) -> list[Any]:
        """Steer this daemon's picks away from a target for a while."""
        standing = self.standing_of(target.target_id)
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
            self.resume(target_id, now)
        self.were_ejected = set(self.blackboard.ejected)
        for target_id, standing in self.standings.items():
            if target_id in self.were_ejected or standing.phase is Phase.GOOD:
                continue
            if standing.probe_due(now):
                yield ProbeTarget(target_id, timedelta(milliseconds=PROBE_TIMEOUT_MS))
            target = self.find_target(target_id)
            if target is not None:
                self.write_health(target)

    def resume(self, target_id: str, now: timedelta) -> None:
        """Start to use a target that is no longer ejected."""
        self.blackboard.ejection_candidates.pop(target_id, None)
        target = self.find_target(target_id)
        if target is None:
            return
        target.clear()
        self.standing_of(target_id).start_ramp(now)
        self.write_health(target)

    def expire_candidates(self, now: timedelta) -> None:
        """Drop candidates that no new evidence was seen against."""
        oldest = now - timedelta(seconds=CANDIDATE_LIFETIME_S)
        candidates = self.blackboard.ejection_candidates
        for target_id in [t for t, c in candidates.items() if c.since < oldest]:
            del candidates[target_id]

    def forget_departed(self, now: timedelta) -> None:
        """Drop the evidence on targets that are no longer known."""
        self.next_forget = now + timedelta(seconds=FORGET_INTERVAL_S)
        known = self.blackboard.targets
        for service in self.services.values():
            for target_id in [t for t in service.targets if t not in known]:
                del service.targets[target_id]
                self.standings.pop(target_id, None)
                self.blackboard.health.pop(target_id, None)
                self.blackboard.ejection_candidates.pop(target_id, None)

    def write_health(self, target: TargetEvidence) -> None:
        """Write the judgement of a target to the blackboard."""
        now = self.clock.monotonic()
        standing = self.standing_of(target.target_id)
        service = self.services[target.service]
        worst = max(
            (
                test.value(SLOT_CAP[symptom])
                for tests in target.routes.values()
                for symptom, test in tests.own.items()
            ),
            default=0.0,
        )
        latency = target.latency_s
        self.blackboard.health[target.target_id] = TargetHealth(
            penalty=1.0 + PENALTY_PER_THRESHOLD * worst / service.limits.threshold,
            latency=None if latency is None else timedelta(seconds=latency),
            steer_away=standing.avoided,
            ramp=standing.ramp(now),
        )

    def standing_of(self, target_id: str) -> Standing:
        """Return the standing of a target, made on first use."""
        found = self.standings.get(target_id)
        if found is None:
            found = self.standings[target_id] = Standing()
        return found

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
        return service.target(target_id, known.availability_zone)

    def read_limits(self, service: str) -> TestLimits:
        """Return how the table wants the targets of a service judged."""
        return TestLimits.from_row(self.blackboard.table.service_row(service))
