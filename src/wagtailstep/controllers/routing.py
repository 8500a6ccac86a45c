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
CHOICE_LIFETIME = timedelta(milliseconds=50)
# Share of the idempotent requests that go to a doubted target while there is one. A
# doubt by a mere chance failure then ends in a fraction of a second.
PROBE_SHARE = 0.25
# Cost factors. A cold backend server takes about twice as long for its work; a
# doubted one is likely to fail it, which costs a second attempt.
STANDING_COST = {
    TargetStanding.GOOD: 1.0,
    TargetStanding.WARMING: 2.0,
    TargetStanding.DOUBTED: 4.0,
    TargetStanding.FAILING: 16.0,
}

_IN_GOOD_STANDING = TargetHealth()
_USABLE_MEMBERS = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@attrs.frozen
class Candidate:
    """A target that may be picked.

    :param target: the target.
    :param weight: its weight in the table.
    :param share: its weight in use, smaller than ``weight`` during slow start.
    :param health: this daemon's judgement of it.
    :param steered: whether that judgement was to avoid it.
    """

    target: Target
    weight: float
    share: float
    health: TargetHealth
    steered: bool

    @property
    def is_doubted(self) -> bool:
        """Tell whether one more outcome would decide what its gate thinks of it."""
        return self.target.standing is TargetStanding.DOUBTED


class Choice:
    """The candidates of one service, ready for many draws.

    :param candidates: the candidates, at least one.
    :param made: monotonic time when they were found.
    :param doubted: targets that their gates doubt, for requests that may fail.
    :param draw_shares: the shares by which candidates are drawn; none takes those of
        the candidates.
    """

    def __init__(
        self,
        candidates: list[Candidate],
        made: timedelta,
        doubted: Sequence[Candidate] = (),
        draw_shares: Sequence[float] = (),
    ) -> None:
        self.candidates = candidates
        self.doubted = doubted
        self.made = made
        shares = [c.share for c in candidates]
        self.shares = list(itertools.accumulate(draw_shares or shares))
        self.mean_share = sum(shares) / len(shares)

    def draw(self, rng: random.Random) -> tuple[Candidate, Candidate]:
        """Draw two candidates, perhaps the same one twice, by their shares."""
        first, second = rng.choices(self.candidates, cum_weights=self.shares, k=2)
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
        self.choices: dict[str, Choice] = {}
        self.accounts = AccountLimiter(settings.requests, clock)
        self.wanted = WantedServices(blackboard, clock)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Take one event; most are ignored, the blackboard is read at each pick."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        self.wanted.expire()
        return []

    def admit(self, request: RequestContext) -> None:
        """Count a request in; each admitted request needs one :meth:`release`.

        :raises OverloadedError: if a limit of its service, route or client
            account is reached; the request is not counted then.
        :raises NoTargetError: if its service is unknown and too many are wanted.
        """
        self.wanted.note_request(request.service)
        check_concurrency(self.blackboard, request)
        self.accounts.take(self.blackboard.table, request)
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
            choice = self.find_choice(service)
            if choice.doubted and may_probe() and self.rng.random() < PROBE_SHARE:
                first = second = self.rng.choice(choice.doubted)
            else:
                first, second = choice.draw(self.rng)
            if self.is_current(first) and self.is_current(second):
                return self.cheaper(first, second, choice.mean_share).target
            del self.choices[service]

    def pick_untried(self, service: str, tried: Collection[str]) -> Target:
        """Pick a target that was not tried, or any one if all were."""
        candidates = self.find_choice(service, fresh=True).candidates
        untried = [c for c in candidates if c.target.target_id not in tried]
        choice = Choice(untried or candidates, self.clock.monotonic())
        return self.cheaper(*choice.draw(self.rng), choice.mean_share).target

    def find_doubted(self, service: str, tried: Collection[str]) -> Target | None:
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

    def find_choice(self, service: str, fresh: bool = False) -> Choice:
        """Return the candidates of a service, as found not long ago.

        :param fresh: whether to look at the targets now.
        :raises NoTargetError: if no target may take new work.
        """
        now = self.clock.monotonic()
        choice = self.choices.get(service)
        if choice is not None and not fresh and now < choice.made + CHOICE_LIFETIME:
            return choice
        self.choices.pop(service, None)
        candidates = self.find_candidates(service)
        if not candidates:
            raise NoTargetError(
                f"no backend server of service {service!r} takes requests now; "
                "come back after the time in Retry-After"
            )
        usable = self.steer(service, candidates)
        kept = leave_out_doubted(usable)
        doubted = [c for c in usable if c.is_doubted and c not in kept]
        shares = [self.find_draw_share(c) for c in kept]
        choice = self.choices[service] = Choice(kept, now, doubted, shares)
        return choice

    def find_draw_share(self, candidate: Candidate) -> float:
        """Return the share by which a candidate is drawn for a first attempt.

        Bytes between zones cost, so the own zone gets more than its part. A gate
        without a free slot says so at once, and further attempts look everywhere.
        """
        if candidate.target.availability_zone == self.settings.availability_zone:
            return candidate.share
        return candidate.share * self.settings.requests.other_zone_share

    def is_current(self, candidate: Candidate) -> bool:
        """Tell whether a candidate found not long ago may still be picked."""
        board = self.blackboard
        target_id = candidate.target.target_id
        target = board.targets.by_id.get(target_id)
        if target is None or target.state is not TargetState.SERVING:
            return False
        if target.standing is not candidate.target.standing:
            return False
        if target_id in board.ejected or not self.has_gate(target):
            return False
        health = board.health.get(target_id, _IN_GOOD_STANDING)
        same_standing = health.avoided == candidate.steered
        return same_standing and board.table.weight(target_id) == candidate.weight

    def find_candidates(self, service: str) -> list[Candidate]:
        """Return the targets that may take new work."""
        board = self.blackboard
        found = []
        for target_id, target in board.targets.of_service(service).items():
            if target.state is not TargetState.SERVING or target_id in board.ejected:
                continue
            weight = board.table.weight(target_id)
            if weight <= 0 or not self.has_gate(target):
                continue
            health = board.health.get(target_id, _IN_GOOD_STANDING)
            share = weight * max(health.ramp, MIN_RAMP)
            steered = health.avoided
            found.append(Candidate(target, weight, share, health, steered))
        return found

    def has_gate(self, target: Target) -> bool:
        """Tell whether the daemon beside a target is known and not gone."""
        member = self.blackboard.members.get(target.daemon_id)
        return member is not None and member.state in _USABLE_MEMBERS

    def steer(self, service: str, candidates: list[Candidate]) -> list[Candidate]:
        """Leave out targets in bad standing as far as the floor permits.

        :return: candidates with at least the floor's weight if there is so much,
            never none.
        """
        kept = [c for c in candidates if not c.steered]
        if len(kept) == len(candidates):
            return candidates
        floor = self.blackboard.table.service_row(service).floor_weight
        weight = sum(c.weight for c in kept)
        avoided = [c for c in candidates if c.steered]
        for candidate in sorted(avoided, key=_standing):
            if kept and weight >= floor:
                break
            kept.append(candidate)
            weight += candidate.weight
        return kept

    def cheaper(
        self, first: Candidate, second: Candidate, mean_share: float
    ) -> Candidate:
        """Return the cheaper one of two candidates, the first one if both cost alike.

        :param mean_share: mean weight in use of all candidates.
        """
        if first is second:
            return first
        if self.cost(second, mean_share) < self.cost(first, mean_share):
            return second
        return first

    def cost(self, candidate: Candidate, mean_share: float) -> float:
        """Return the cost of picking a candidate; smaller is better.

        :param mean_share: mean weight in use of all candidates; it makes a weight
            count relative to the others.
        """
        target = candidate.target
        outstanding = self.blackboard.in_flight.by_target.get(target.target_id, 0)
        cost = 1 + outstanding * mean_share / candidate.share
        if target.availability_zone != self.settings.availability_zone:
            cost *= self.settings.requests.other_zone_cost
        return cost * candidate.health.penalty * STANDING_COST[target.standing]


def leave_out_doubted(candidates: list[Candidate]) -> list[Candidate]:
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


def _standing(candidate: Candidate) -> tuple[float, str]:
    return candidate.health.penalty, candidate.target.target_id


def _increment(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1


def _decrement(counts: dict[str, int], key: str) -> None:
    left = counts[key] - 1
    if left:
        counts[key] = left
    else:
        del counts[key]
