"""Standings of all targets, and the judgement that routing reads from them."""

from datetime import timedelta

from wagtailstep.controllers.evidence_state import SLOT_CAP, TargetEvidence
from wagtailstep.controllers.standing import Phase, Standing
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import TargetHealth

CANDIDATE_LIFETIME_S = 10.0
PENALTY_PER_THRESHOLD = 8.0
# Doubt below this share of the threshold costs a target no work: with less work
# there would be less evidence, and the decision would come later.
PENALTY_FREE_SHARE = 1.0


class Standings:
    """Keep the standing of each target and write ``health`` to the blackboard.

    :param blackboard: ``health`` is written.
    """

    def __init__(self, blackboard: Blackboard) -> None:
        self.blackboard = blackboard
        self.by_target: dict[str, Standing] = {}

    def of(self, target_id: str) -> Standing:
        """Return the standing of a target, made on first use."""
        found = self.by_target.get(target_id)
        if found is None:
            found = self.by_target[target_id] = Standing()
        return found

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that left."""
        self.by_target.pop(target_id, None)
        self.blackboard.health.pop(target_id, None)
        self.blackboard.ejection_candidates.pop(target_id, None)

    def expire_candidates(self, now: timedelta) -> None:
        """Drop candidates that no new evidence was seen against."""
        oldest = now - timedelta(seconds=CANDIDATE_LIFETIME_S)
        candidates = self.blackboard.ejection_candidates
        for target_id in [t for t, c in candidates.items() if c.since < oldest]:
            del candidates[target_id]

    def start(
        self, target: TargetEvidence, threshold: float, now: timedelta, phase: Phase
    ) -> None:
        """Forget what speaks against a target and start to use it slowly.

        :param phase: whether it returns or has just started.
        """
        target.clear()
        self.blackboard.ejection_candidates.pop(target.target_id, None)
        if phase is Phase.WARMING:
            self.by_target[target.target_id] = Standing()
        self.of(target.target_id).start_ramp(now, phase)
        self.write(target, threshold, now)

    def write(self, target: TargetEvidence, threshold: float, now: timedelta) -> None:
        """Write the judgement of a target to the blackboard."""
        standing = self.of(target.target_id)
        doubt = strongest_doubt(target) / threshold
        latency = target.latency_s
        self.blackboard.health[target.target_id] = TargetHealth(
            penalty=1.0 + PENALTY_PER_THRESHOLD * max(0.0, doubt - PENALTY_FREE_SHARE),
            latency=None if latency is None else timedelta(seconds=latency),
            avoided=standing.avoided,
            ramp=standing.ramp(now),
        )


def strongest_doubt(target: TargetEvidence) -> float:
    """Return the largest sum of this daemon's own tests of a target, in nats."""
    return max(
        (
            test.value(SLOT_CAP[symptom])
            for tests in target.routes.values()
            for symptom, test in tests.own.items()
        ),
        default=0.0,
    )
