"""Decides which candidates are left out of the draw, for all reasons together."""

from collections import Counter
from collections.abc import Collection, Sequence
from datetime import timedelta

import attrs

from wagtailstep.controllers.candidates import Candidate, exclude_doubted
from wagtailstep.controllers.exclusions import ExclusionReason

# Longer than the doubt of a target whose gate sees no further failure.
MAX_LEFT_OUT = timedelta(seconds=6)


@attrs.frozen
class CandidateSplit:
    """The candidates of a service by what becomes of them.

    :param kept: those in the draw, at least one.
    :param doubted: those left out in doubted standing, which some requests try.
    :param overdue: those left out for ``MAX_LEFT_OUT``; each gets the next request.
    :param excluded: the number of those left out, by reason.
    """

    kept: list[Candidate]
    doubted: list[Candidate]
    overdue: list[Candidate]
    excluded: Counter[ExclusionReason]


def split_candidates(
    candidates: list[Candidate], floor: float, overdue: Collection[str]
) -> CandidateSplit:
    """Decide which candidates are left out.

    The mechanisms only propose: paths that this daemon avoids first, as far as the
    floor permits, then doubted and failing standings, unless there is no better one.
    Each proposal ends by itself. What they add up to is bounded here: a candidate that
    was left out for ``MAX_LEFT_OUT``, whatever the reasons in turn, gets the next
    request that may go there. While it is doubted, that is one that can be retried, or
    any other if the service is short of servers; without requests the doubt decays.

    :param candidates: targets that accept requests, at least one.
    :param floor: total weight below which no path is avoided.
    :param overdue: ``target_id`` of targets that were left out too long.
    """
    usable = exclude_avoided(candidates, floor)
    kept = exclude_doubted(usable)
    worst_kept = max(candidate.target.standing for candidate in kept)
    worse = [c for c in usable if c.target.standing > worst_kept]
    doubted = [candidate for candidate in worse if candidate.is_doubted]
    excluded = Counter(
        {
            ExclusionReason.PATH_AVOIDED: len(candidates) - len(usable),
            ExclusionReason.DOUBTED: len(doubted),
            ExclusionReason.FAILING: len(worse) - len(doubted),
        }
    )
    return CandidateSplit(
        kept,
        doubted,
        [c for c in candidates if c.target.target_id in overdue],
        excluded,
    )


def exclude_avoided(candidates: list[Candidate], floor: float) -> list[Candidate]:
    """Exclude avoided targets as far as the floor permits.

    A path is avoided by this daemon alone, for at most ``MAX_AVOIDANCE`` at a time.

    :param floor: total weight that is kept, if all candidates have that much.
    :return: at least one candidate.
    """
    kept = [c for c in candidates if not c.is_avoided]
    if len(kept) == len(candidates):
        return candidates
    weight = sum(c.weight for c in kept)
    avoided = [c for c in candidates if c.is_avoided]
    for candidate in sorted(avoided, key=get_avoidance_order):
        if kept and weight >= floor:
            break
        kept.append(candidate)
        weight += candidate.weight
    return kept


def get_avoidance_order(candidate: Candidate) -> tuple[float, str]:
    """Return the order in which avoided targets are used nevertheless."""
    return candidate.health.penalty, candidate.target.target_id


class LeftOutTimes:
    """How long the targets of a service have been left out by this daemon."""

    def __init__(self) -> None:
        # Monotonic times by ``target_id``.
        self.since: dict[str, timedelta] = {}

    def find_overdue(
        self, candidates: Sequence[Candidate], now: timedelta
    ) -> frozenset[str]:
        """Return the targets that were left out too long.

        :param candidates: the candidates; what is known of others is forgotten.
        """
        names = [candidate.target.target_id for candidate in candidates]
        self.since = {name: self.since[name] for name in names if name in self.since}
        return frozenset(
            name for name, since in self.since.items() if now - since >= MAX_LEFT_OUT
        )

    def update(
        self, candidates: Sequence[Candidate], split: CandidateSplit, now: timedelta
    ) -> None:
        """Record which candidates are in the draw from now on."""
        kept = {candidate.target.target_id for candidate in split.kept}
        for candidate in candidates:
            name = candidate.target.target_id
            if name in kept:
                self.since.pop(name, None)
            else:
                self.since.setdefault(name, now)

    def record_request(self, target_id: str, now: timedelta) -> None:
        """Record that a target that is left out got a request."""
        if target_id in self.since:
            self.since[target_id] = now
