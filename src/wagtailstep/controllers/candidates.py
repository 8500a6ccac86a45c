"""Candidates for the next attempt at a request, and draws among them."""

import itertools
import random
from collections.abc import Sequence
from datetime import timedelta

import attrs

from wagtailstep.models.fleet import Target, TargetHealth, TargetStanding
from wagtailstep.models.server_notices import NO_RATE_LIMIT

# Fraction of the repeatable requests that try a doubted target while there is one, so
# that a target doubted for a random failure is cleared in a fraction of a second.
MIN_PROBE_RATIO = 0.25
# The rest shows by its success that the service works.
MAX_PROBE_RATIO = 0.7
# Doubted targets get this many times their proportional part of these requests.
PROBE_SHARE_FACTOR = 1.6


@attrs.frozen
class Candidate:
    """A target that may be picked.

    :param target: the target.
    :param weight: its weight in the table.
    :param effective_weight: weight in use; below ``weight`` during slow start, and if
        the target takes fewer requests a second than the others get.
    :param health: this daemon's assessment of its health.
    :param is_avoided: whether that assessment was to avoid it.
    :param rate_limit: requests a second that it takes; ``NO_RATE_LIMIT`` if it named
        no limit.
    """

    target: Target
    weight: float
    effective_weight: float
    health: TargetHealth
    is_avoided: bool
    rate_limit: float = NO_RATE_LIMIT

    @property
    def is_doubted(self) -> bool:
        """Return whether one more outcome would decide the standing at its gate."""
        return self.target.standing is TargetStanding.DOUBTED


class CandidatePool:
    """The candidates of one service, prepared for repeated draws.

    :param candidates: the candidates, at least one.
    :param created_at: monotonic time when they were collected.
    :param doubted: targets in doubted standing, for requests that can be retried.
    :param draw_weights: weights by which candidates are drawn; the effective weights
        if empty.
    """

    def __init__(
        self,
        candidates: list[Candidate],
        created_at: timedelta,
        doubted: Sequence[Candidate] = (),
        draw_weights: Sequence[float] = (),
    ) -> None:
        self.candidates = candidates
        self.doubted = doubted
        self.created_at = created_at
        weights = [c.effective_weight for c in candidates]
        self.cumulative_weights = list(itertools.accumulate(draw_weights or weights))
        self.mean_weight = sum(weights) / len(weights)

    @property
    def doubted_share(self) -> float:
        """Return the part of the targets that are doubted."""
        return len(self.doubted) / (len(self.doubted) + len(self.candidates))

    def compute_probe_ratio(self) -> float:
        """Return the fraction of the repeatable requests that try a doubted target.

        It grows with the part of the service that is doubted, so that the rate at which
        each target is tried doesn't fall with their number. It takes repeatable
        requests whose failure could be retried; where these are too few, others make
        trials (:class:`~wagtailstep.controllers.trials.ServiceTrials`).
        """
        ratio = PROBE_SHARE_FACTOR * self.doubted_share
        return min(MAX_PROBE_RATIO, max(MIN_PROBE_RATIO, ratio))

    def draw(self, rng: random.Random) -> tuple[Candidate, Candidate]:
        """Draw two candidates by weight; they may be the same one."""
        first, second = rng.choices(
            self.candidates, cum_weights=self.cumulative_weights, k=2
        )
        return first, second


def exclude_avoided(candidates: list[Candidate], floor: float) -> list[Candidate]:
    """Exclude avoided targets as far as the floor permits.

    A path is avoided by this daemon alone, for at most ``MAX_AVOIDANCE``. Targets in
    doubted standing are excluded from the rest (:func:`exclude_doubted`).

    :param floor: total weight that is kept, if all candidates together have that much.
    :return: at least one candidate.
    """
    kept = [candidate for candidate in candidates if not candidate.is_avoided]
    weight = sum(candidate.weight for candidate in kept)
    avoided = [candidate for candidate in candidates if candidate.is_avoided]
    for candidate in sorted(avoided, key=get_avoidance_order):
        if kept and weight >= floor:
            break
        kept.append(candidate)
        weight += candidate.weight
    return kept


def get_avoidance_order(candidate: Candidate) -> tuple[float, str]:
    """Return the order in which avoided targets are used nevertheless."""
    return candidate.health.penalty, candidate.target.target_id


def exclude_doubted(candidates: list[Candidate]) -> list[Candidate]:
    """Exclude targets in doubted or failing standing, unless there is no better one.

    A gate judges only by failures at its own backend server, so load on other targets
    never counts against one, and a healthy target soon returns to good standing. A
    few good targets that refuse excess load serve more than many that fail it.

    What is excluded here is limited in time, not in number. Requests of any kind try
    each doubted target within seconds: retryable ones
    (:meth:`CandidatePool.compute_probe_ratio`) and, while the service leaves requests
    unserved, others (:class:`~wagtailstep.controllers.trials.ServiceTrials`). Its gate
    refuses all for at most ``FAILING_HOLD``, the others for ``TRIAL_DELAY``, and
    without any request the log odds decay within six seconds. Avoided paths
    (``MAX_AVOIDANCE``, for one daemon) and targets that declined
    (``DECLINE_RETENTION``) come on top.
    """
    for limit in (TargetStanding.DOUBTED, TargetStanding.FAILING):
        kept = [c for c in candidates if c.target.standing < limit]
        if kept:
            return kept
    return candidates
