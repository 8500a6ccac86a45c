"""Standings of all targets, and the judgement that routing reads from them."""

from datetime import timedelta

from wagtailstep.controllers.avoidance import AvoidanceState, Phase
from wagtailstep.controllers.evidence_state import SLOT_CAP, TargetEvidence
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import TargetHealth

CANDIDATE_LIFETIME_S = 10.0
PENALTY_PER_THRESHOLD = 8.0
# Doubt below this share of the threshold costs a target no work: with less work
# there would be less evidence, and the decision would come later.
PENALTY_FREE_FRACTION = 1.0


class HealthTracker:
    """Keep the standing of each target and write ``health`` to the blackboard.

    :param blackboard: ``health`` is written.
    """

    def __init__(self, blackboard: Blackboard) -> None:
        self.blackboard = blackboard
        self.states: dict[str, AvoidanceState] = {}

    def get_state(self, target_id: str) -> AvoidanceState:
        """Return the standing of a target, made on first use."""
        found = self.states.get(target_id)
        if found is None:
            found = self.states[target_id] = AvoidanceState()
        return found

    def remove_target(self, target_id: str) -> None:
        """Drop what is known of a target that left."""
        self.states.pop(target_id, None)
        self.blackboard.health.pop(target_id, None)
        self.blackboard.ejection_candidates.pop(target_id, None)

    def expire_candidates(self, now: timedelta) -> None:
        """Drop candidates that no new evidence was seen against."""
        oldest = now - timedelta(seconds=CANDIDATE_LIFETIME_S)
        candidates = self.blackboard.ejection_candidates
        for target_id in [t for t, c in candidates.items() if c.since < oldest]:
            del candidates[target_id]

    def start_ramp(
        self, target: TargetEvidence, threshold: float, now: timedelta, phase: Phase
    ) -> None:
        """Forget what speaks against a target and start to use it slowly.

        :param phase: whether it returns or has just started.
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
        """Write the judgement of a target to the blackboard."""
        state = self.get_state(target.target_id)
        suspicion = compute_suspicion_score(target) / threshold
        latency = target.latency_s
        self.blackboard.health[target.target_id] = TargetHealth(
            penalty=1.0
            + PENALTY_PER_THRESHOLD * max(0.0, suspicion - PENALTY_FREE_FRACTION),
            latency=None if latency is None else timedelta(seconds=latency),
            steer_away=state.avoided,
            ramp=state.advance_ramp(now),
        )


def compute_suspicion_score(target: TargetEvidence) -> float:
    """Return the largest sum of this daemon's own tests of a target, in nats."""
    return max(
        (
            test.value(SLOT_CAP[symptom])
            for tests in target.routes.values()
            for symptom, test in tests.local.items()
        ),
        default=0.0,
    )
