"""Choice of a target for each attempt at a request, and admission limits.

The cost of a target rises with the work that this daemon has outstanding there,
with its health penalty and with distance. Two targets are drawn by weight and the
cheaper one is taken, so that idle targets share the work by weight and busy ones
are relieved.
"""

import itertools
import random
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.controllers.limits import AccountLimiter, check_concurrency
from wagtailstep.controllers.wanted import WantedServices
from wagtailstep.exceptions import NoTargetError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.fleet import (
    MemberState,
    Target,
    TargetHealth,
    TargetStanding,
    TargetState,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

MIN_RAMP = 0.05
CANDIDATES_LIFETIME = timedelta(milliseconds=50)
# Share of the idempotent requests that go to a doubted target while there is one. A
# doubt by a mere chance failure then ends in a fraction of a second.
DOUBTED_PROBE_RATIO = 0.25
# Cost factors. A cold backend server takes about twice as long for its work; a
# doubted one is likely to fail it, which costs a second attempt.
STANDING_COST_FACTORS = {
    TargetStanding.GOOD: 1.0,
    TargetStanding.WARMING: 2.0,
    TargetStanding.DOUBTED: 4.0,
    TargetStanding.FAILING: 16.0,
}

_HEALTHY = TargetHealth()
_USABLE_MEMBERS = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@attrs.frozen
class Candidate:
    """A target that may be picked.

    :param target: the target.
    :param weight: its weight in the table.
    :param effective_weight: weight in use; below ``weight`` during slow start.
    :param health: this daemon's judgement of it.
    :param is_avoided: whether that judgement was to avoid it.
    """

    target: Target
    weight: float
    effective_weight: float
    health: TargetHealth
    is_avoided: bool

    @property
    def is_doubted(self) -> bool:
        """Tell whether one more outcome would decide what its gate thinks of it."""
        return self.target.standing is TargetStanding.DOUBTED


class CandidatePool:
    """The candidates of one service, ready for many draws.

    :param candidates: the candidates, at least one.
    :param created_at: monotonic time when they were found.
    :param doubted: targets that their gates doubt, for requests that may fail.
    :param draw_weights: the shares by which candidates are drawn; none takes those of
        the candidates.
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
        """Draw two candidates, perhaps the same one twice, by their shares."""
        first, second = rng.choices(
            self.candidates, cum_weights=self.cumulative_weights, k=2
        )
        return first, second


class RoutingController:
    """Admit requests and pick targets; keep the in-flight counts.

    The candidates of a service are kept for a moment. Whether the two that are drawn
    may still take work is looked up at each pick, so a leaving or ejected target is
    never picked; only a new target or a changed ramp is seen that moment later.
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
        self.pools: dict[str, CandidatePool] = {}
        self.account_limiter = AccountLimiter(settings.requests, clock)
        self.requested_services = WantedServices(blackboard, clock)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Take one event; most are ignored, the blackboard is read at each pick."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        self.requested_services.expire()
        return []

    def admit(self, request: RequestContext) -> None:
        """Count a request in; each admitted request needs one :meth:`release`.

        :raises OverloadedError: if a limit of its service, route or client
            account is reached; the request is not counted then.
        :raises NoTargetError: if its service is unknown and too many are wanted.
        """
        self.requested_services.note_request(request.service)
        check_concurrency(self.blackboard, request)
        self.account_limiter.acquire_token(self.blackboard.table, request)
        in_flight = self.blackboard.in_flight
        _increment(in_flight.by_service, request.service)
        _increment(in_flight.by_route, f"{request.service}/{request.route}")

    def release(self, request: RequestContext) -> None:
        """Count an admitted request out."""
        in_flight = self.blackboard.in_flight
        _decrement(in_flight.by_service, request.service)
        _decrement(in_flight.by_route, f"{request.service}/{request.route}")

    def start_attempt(self, target_id: str) -> None:
        """Count an attempt at a target in."""
        _increment(self.blackboard.in_flight.by_target, target_id)

    def end_attempt(self, target_id: str) -> None:
        """Count an attempt at a target out."""
        _decrement(self.blackboard.in_flight.by_target, target_id)

    def pick(
        self,
        service: str,
        tried: Collection[str] = (),
        may_probe: Callable[[], bool] = lambda: True,
    ) -> Target:
        """Pick the target of the next attempt.

        :param service: the service asked for.
        :param tried: ``target_id`` of targets that failed this request before;
            picked again only if there is no other.
        :param may_probe: tells whether a failure could be made good. Such requests go
            to doubted targets now and then, so that the doubt is soon resolved. Only
            asked if there is a doubted target.
        :raises NoTargetError: if no target may take new work.
        """
        if tried:
            return self.pick_untried(service, tried)
        while True:
            pool = self.get_pool(service)
            if pool.doubted and may_probe() and self.rng.random() < DOUBTED_PROBE_RATIO:
                first = second = self.rng.choice(pool.doubted)
            else:
                first, second = pool.draw(self.rng)
            if self.is_current(first) and self.is_current(second):
                return self.choose_cheaper(first, second, pool.mean_weight).target
            del self.pools[service]

    def pick_untried(self, service: str, tried: Collection[str]) -> Target:
        """Pick a target that was not tried, or any one if all were."""
        candidates = self.get_pool(service, fresh=True).candidates
        untried = [c for c in candidates if c.target.target_id not in tried]
        pool = CandidatePool(untried or candidates, self.clock.monotonic())
        return self.choose_cheaper(*pool.draw(self.rng), pool.mean_weight).target

    def pick_doubted(self, service: str, tried: Collection[str]) -> Target | None:
        """Return an untried target that its gate doubts, the least doubted first."""
        doubted = [
            c.target
            for c in self.find_candidates(service)
            if c.target.standing >= TargetStanding.DOUBTED
            and c.target.target_id not in tried
        ]
        if not doubted:
            return None
        least = min(target.standing for target in doubted)
        return self.rng.choice([t for t in doubted if t.standing is least])

    def get_pool(self, service: str, fresh: bool = False) -> CandidatePool:
        """Return the candidates of a service, as found not long ago.

        :param fresh: whether to look at the targets now.
        :raises NoTargetError: if no target may take new work.
        """
        now = self.clock.monotonic()
        pool = self.pools.get(service)
        if (
            pool is not None
            and not fresh
            and now < pool.created_at + CANDIDATES_LIFETIME
        ):
            return pool
        self.pools.pop(service, None)
        candidates = self.find_candidates(service)
        if not candidates:
            raise NoTargetError(
                f"no backend server of service {service!r} takes requests now; "
                "come back after the time in Retry-After"
            )
        usable = self.exclude_avoided(service, candidates)
        kept = exclude_doubted(usable)
        doubted = [c for c in usable if c.is_doubted and c not in kept]
        weights = [self.compute_draw_weight(c) for c in kept]
        pool = self.pools[service] = CandidatePool(kept, now, doubted, weights)
        return pool

    def compute_draw_weight(self, candidate: Candidate) -> float:
        """Return the share by which a candidate is drawn for a first attempt.

        Bytes between zones cost, so the own zone gets more than its part. A gate
        without a free slot says so at once, and further attempts look everywhere.
        """
        if candidate.target.availability_zone == self.settings.availability_zone:
            return candidate.effective_weight
        return candidate.effective_weight * self.settings.requests.other_zone_share

    def is_current(self, candidate: Candidate) -> bool:
        """Tell whether a candidate found not long ago may still be picked."""
        board = self.blackboard
        target_id = candidate.target.target_id
        target = board.targets.by_id.get(target_id)
        if target is None or target.state is not TargetState.SERVING:
            return False
        if target.standing is not candidate.target.standing:
            return False
        if target_id in board.ejected or not self.has_live_gate(target):
            return False
        health = board.health.get(target_id, _HEALTHY)
        same_avoidance = health.steer_away == candidate.is_avoided
        return same_avoidance and board.table.weight(target_id) == candidate.weight

    def find_candidates(self, service: str) -> list[Candidate]:
        """Return the targets that may take new work."""
        board = self.blackboard
        found = []
        for target_id, target in board.targets.of_service(service).items():
            if target.state is not TargetState.SERVING or target_id in board.ejected:
                continue
            weight = board.table.weight(target_id)
            if weight <= 0 or not self.has_live_gate(target):
                continue
            health = board.health.get(target_id, _HEALTHY)
            effective_weight = weight * max(health.ramp, MIN_RAMP)
            is_avoided = health.steer_away
            found.append(
                Candidate(target, weight, effective_weight, health, is_avoided)
            )
        return found

    def has_live_gate(self, target: Target) -> bool:
        """Tell whether the daemon beside a target is known and not gone."""
        member = self.blackboard.members.get(target.daemon_id)
        return member is not None and member.state in _USABLE_MEMBERS

    def exclude_avoided(
        self, service: str, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Leave out targets in bad standing as far as the floor permits.

        :return: candidates with at least the floor's weight if there is so much,
            never none.
        """
        kept = [c for c in candidates if not c.is_avoided]
        if len(kept) == len(candidates):
            return candidates
        floor = self.blackboard.table.service_row(service).floor_weight
        weight = sum(c.weight for c in kept)
        avoided = [c for c in candidates if c.is_avoided]
        for candidate in sorted(avoided, key=_avoidance_order):
            if kept and weight >= floor:
                break
            kept.append(candidate)
            weight += candidate.weight
        return kept

    def choose_cheaper(
        self, first: Candidate, second: Candidate, mean_weight: float
    ) -> Candidate:
        """Return the cheaper one of two candidates, the first one if both cost alike.

        :param mean_weight: mean weight in use of all candidates.
        """
        if first is second:
            return first
        if self.compute_cost(second, mean_weight) < self.compute_cost(
            first, mean_weight
        ):
            return second
        return first

    def compute_cost(self, candidate: Candidate, mean_weight: float) -> float:
        """Return the cost of picking a candidate; smaller is better.

        :param mean_weight: mean weight in use of all candidates; it makes a weight
            count relative to the others.
        """
        target = candidate.target
        outstanding = self.blackboard.in_flight.by_target.get(target.target_id, 0)
        cost = 1 + outstanding * mean_weight / candidate.effective_weight
        if target.availability_zone != self.settings.availability_zone:
            cost *= self.settings.requests.other_zone_cost
        return cost * candidate.health.penalty * STANDING_COST_FACTORS[target.standing]


def exclude_doubted(candidates: list[Candidate]) -> list[Candidate]:
    """Leave out targets that their gates doubt, unless there is no better one.

    Gates judge by what fails at their own backend server, so that the others' work
    never counts against one; a sound target is soon back. Few good ones that refuse
    what is too much serve more than many that fail it.
    """
    for limit in (TargetStanding.DOUBTED, TargetStanding.FAILING):
        kept = [c for c in candidates if c.target.standing < limit]
        if kept:
            return kept
    return candidates


def _avoidance_order(candidate: Candidate) -> tuple[float, str]:
    return candidate.health.penalty, candidate.target.target_id


def _increment(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1


def _decrement(counts: dict[str, int], key: str) -> None:
    left = counts[key] - 1
    if left:
        counts[key] = left
    else:
        del counts[key]
