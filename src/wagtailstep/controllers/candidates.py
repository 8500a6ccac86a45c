"""Candidates for the next attempt at a request, and draws among them."""

import itertools
import random
from collections.abc import Sequence
from datetime import timedelta

import attrs

from wagtailstep.models.fleet import Target, TargetHealth, TargetStanding
from wagtailstep.models.server_notices import NO_RATE_LIMIT


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

    def draw(self, rng: random.Random) -> tuple[Candidate, Candidate]:
        """Draw two candidates by weight; they may be the same one."""
        first, second = rng.choices(
            self.candidates, cum_weights=self.cumulative_weights, k=2
        )
        return first, second


def exclude_doubted(candidates: list[Candidate]) -> list[Candidate]:
    """Exclude targets in doubted or failing standing, unless there is no better one.

    A gate judges only by failures at its own backend server, so load on other targets
    never counts against one, and a healthy target soon returns to good standing. A
    few good targets that refuse excess load serve more than many that fail it.
    """
    for limit in (TargetStanding.DOUBTED, TargetStanding.FAILING):
        kept = [c for c in candidates if c.target.standing < limit]
        if kept:
            return kept
    return candidates
