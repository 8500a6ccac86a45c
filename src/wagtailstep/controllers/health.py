"""Track which targets this daemon avoids, and write their health for routing."""

from datetime import timedelta

from wagtailstep.controllers.avoidance import AvoidanceState, Phase
from wagtailstep.controllers.evidence_state import SLOT_CAP, TargetEvidence
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import TargetHealth

CANDIDATE_LIFETIME_S = 10.0
# Routing penalty per multiple of the threshold by which a suspicion score exceeds
# PENALTY_FREE_FRACTION.
PENALTY_PER_THRESHOLD = 8.0
# Scores below this fraction of the threshold incur no penalty: less traffic would mean
# less evidence and a later decision.
PENALTY_FREE_FRACTION = 1.0


class HealthTracker:
    """Keep the avoidance state of each target and write ``health``.

    :param blackboard: ``health`` is written; outdated candidates are removed.
    """

    def __init__(self, blackboard: Blackboard) -> None:
        self.blackboard = blackboard
        self.states: dict[str, AvoidanceState] = {}

    def get_state(self, target_id: str) -> AvoidanceState:
        """Return the avoidance state of a target, created on first use."""
        found = self.states.get(target_id)
        if found is None:
            found = self.states[target_id] = AvoidanceState()
        return found

    def remove_target(self, target_id: str) -> None:
        """Remove the state of a target that left."""
        self.states.pop(target_id, None)
        self.blackboard.health.pop(target_id, None)
        self.blackboard.ejection_candidates.pop(target_id, None)

    def expire_candidates(self, now: timedelta) -> None:
        """Remove candidates without recent evidence."""
        oldest = now - timedelta(seconds=CANDIDATE_LIFETIME_S)
        candidates = self.blackboard.ejection_candidates
        for target_id in [t for t, c in candidates.items() if c.since < oldest]:
            del candidates[target_id]

    def start_ramp(
        self, target: TargetEvidence, threshold: float, now: timedelta, phase: Phase
    ) -> None:
        """Clear the evidence on a target and start ramping up its traffic.

        :param phase: ``RAMPING`` after a return, ``WARMING`` after a restart.
        """
        target.clear()
        self.blackboard.ejection_candidates.pop(target.target_id, None)
        if phase is Phase.WARMING:
            self.states[target.target_id] = AvoidanceState()
        self.get_state(target.target_id).start_ramp(now, phase)
        self.write_health(target, threshold, now)

    def write_health(
        self, target: TargetEvidence, threshold: float, now: timedelta
    ) -> None:
        """Write the health of a target to the blackboard."""
        state = self.get_state(target.target_id)
        suspicion = compute_suspicion_score(target) / threshold
        latency = target.latency_s
        self.blackboard.health[target.target_id] = TargetHealth(
            penalty=1.0
            + PENALTY_PER_THRESHOLD * max(0.0, suspicion - PENALTY_FREE_FRACTION),
            latency=None if latency is None else timedelta(seconds=latency),
            avoided=state.avoided,
            ramp=state.advance_ramp(now),
        )


def compute_suspicion_score(target: TargetEvidence) -> float:
    """Return the highest score of the local tests of a target, in nats."""
    return max(
        (
            test.value(SLOT_CAP[symptom])
            for tests in target.routes.values()
            for symptom, test in tests.local.items()
        ),
        default=0.0,
    )
