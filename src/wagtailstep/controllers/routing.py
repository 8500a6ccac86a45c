"""Selection of a target for each attempt at a request, and admission limits.

The cost of a target rises with this daemon's outstanding requests there, with its
health penalty and with its distance. Two targets are drawn by weight and the cheaper
one is selected (power of two choices). Idle targets thus get requests in proportion
to their weights, and busy ones get fewer.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.candidates import (
    Candidate,
    CandidatePool,
    exclude_avoided,
    exclude_doubted,
)
from wagtailstep.controllers.departure_discovery import may_have_departed
from wagtailstep.controllers.exclusions import ExclusionLog, ExclusionReason
from wagtailstep.controllers.limits import AccountLimiter, check_concurrency
from wagtailstep.controllers.request_rates import compute_rate_share
from wagtailstep.controllers.requested_services import RequestedServices
from wagtailstep.controllers.server_notices import get_rate_limit, has_said_leaving
from wagtailstep.controllers.trials import ServiceTrials
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
from wagtailstep.models.server_notices import NO_RATE_LIMIT
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# Lowest fraction of its weight that a target has in use during slow start.
MIN_RAMP = 0.05
CANDIDATES_LIFETIME = timedelta(milliseconds=50)
# A cold backend server takes about twice as long for a request; a doubted one is
# likely to fail it, which costs a second attempt.
STANDING_COST_FACTORS = {
    TargetStanding.GOOD: 1.0,
    TargetStanding.WARMING: 2.0,
    TargetStanding.DOUBTED: 4.0,
    TargetStanding.FAILING: 16.0,
}

_HEALTHY = TargetHealth()
_USABLE_MEMBERS = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class RoutingController:
    """Admits requests, picks targets and maintains the in-flight counts.

    The candidates of a service are cached for ``CANDIDATES_LIFETIME``. Each pick
    checks whether the drawn candidates may still be used, so a leaving or ejected
    target is never picked. Only new targets and changes of the slow start take
    effect with that delay.
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
        self.requested_services = RequestedServices(blackboard, clock)
        self.exclusions = ExclusionLog(clock)
        self.trials: dict[str, ServiceTrials] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event; most are ignored, as picks read the blackboard."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        self.requested_services.expire()
        for service in self.trials.keys() - self.requested_services.by_name.keys():
            del self.trials[service]
        return self.exclusions.create_events(self.requested_services.by_name)

    def admit(self, request: RequestContext) -> None:
        """Count a request as in flight; each admitted one needs one :meth:`release`.

        :raises OverloadedError: if a limit of its service, route or client
            account is reached; the request is not counted then.
        :raises NoTargetError: if its service is unknown and this daemon already
            tracks too many requested services.
        """
        self.requested_services.record_request(request.service)
        check_concurrency(self.blackboard, request)
        self.account_limiter.acquire_token(self.blackboard.table, request)
        in_flight = self.blackboard.in_flight
        _increment(in_flight.by_service, request.service)
        _increment(in_flight.by_route, f"{request.service}/{request.route}")

    def release(self, request: RequestContext) -> None:
        """Remove an admitted request from the in-flight counts."""
        in_flight = self.blackboard.in_flight
        _decrement(in_flight.by_service, request.service)
        _decrement(in_flight.by_route, f"{request.service}/{request.route}")

    def start_attempt(self, target_id: str) -> None:
        """Count an attempt at a target as in flight."""
        _increment(self.blackboard.in_flight.by_target, target_id)

    def end_attempt(self, target_id: str) -> None:
        """Remove an attempt at a target from the in-flight count."""
        _decrement(self.blackboard.in_flight.by_target, target_id)

    def pick(
        self,
        service: str,
        tried: Collection[str] = (),
        may_probe: Callable[[], bool] = lambda: True,
    ) -> Target:
        """Pick the target of the next attempt.

        :param service: the requested service.
        :param tried: ``target_id`` of targets where this request already failed;
            picked again only if there is no other.
        :param may_probe: returns whether the request could be retried after a
            failure. More of these requests go to doubted targets than of others, so
            that the doubt is soon resolved. Only called if there is a doubted target.
        :raises NoTargetError: if no target accepts requests.
        """
        if tried:
            return self.pick_untried(service, tried)
        while True:
            pool = self.get_pool(service)
            if pool.doubted and self.rng.random() < self.compute_try_ratio(
                service, pool, may_probe()
            ):
                trials = self.trials[service]
                first = second = trials.choose_target(pool.doubted, self.rng)
            else:
                first, second = pool.draw(self.rng)
            if self.is_current(first) and self.is_current(second):
                return self.choose_cheaper(first, second, pool.mean_weight).target
            del self.pools[service]

    def compute_try_ratio(
        self, service: str, pool: CandidatePool, is_retryable: bool
    ) -> float:
        """Return the probability that a request tries a doubted target.

        :param is_retryable: whether the request could be retried after a failure.
        """
        trials = self.trials.setdefault(service, ServiceTrials())
        now = self.clock.monotonic()
        trials.record_request(is_retryable, now)
        probe_ratio = pool.compute_probe_ratio()
        if is_retryable:
            return probe_ratio
        target_rate = self.requested_services.estimate_target_rate(service)
        return trials.compute_ratio(pool.doubted_share, probe_ratio, target_rate, now)

    def record_outcome(self, service: str, served: bool) -> None:
        """Record how a request ended, other than by the caller's doing."""
        trials = self.trials.setdefault(service, ServiceTrials())
        trials.record_outcome(served, self.clock.monotonic())

    def pick_untried(self, service: str, tried: Collection[str]) -> Target:
        """Pick a target that was not tried, or any target if all were.

        One without a rate limit goes first, since a limited one has little to spare.
        """
        candidates = self.get_pool(service, fresh=True).candidates
        untried = [c for c in candidates if c.target.target_id not in tried]
        unlimited = [c for c in untried if c.rate_limit == NO_RATE_LIMIT]
        pool = CandidatePool(unlimited or untried or candidates, self.clock.monotonic())
        return self.choose_cheaper(*pool.draw(self.rng), pool.mean_weight).target

    def pick_doubted(self, service: str, tried: Collection[str]) -> Target | None:
        """Pick an untried target in doubted standing, else in failing standing."""
        doubted = [
            c.target
            for c in self.find_candidates(service)
            if c.target.standing >= TargetStanding.DOUBTED
            and c.target.target_id not in tried
        ]
        if not doubted:
            return None
        best_standing = min(target.standing for target in doubted)
        return self.rng.choice([t for t in doubted if t.standing is best_standing])

    def get_expected_standing(
        self, target: Target, is_last_resort: bool = False
    ) -> TargetStanding:
        """Return the worst standing in which a gate should accept a request.

        :param is_last_resort: whether the gates of all better targets are full.
        """
        if target.standing < TargetStanding.DOUBTED:
            return target.standing
        candidates = self.get_pool(target.service).candidates
        best = min(candidate.target.standing for candidate in candidates)
        has_better = best < TargetStanding.DOUBTED and not is_last_resort
        return target.standing if has_better else TargetStanding.FAILING

    def get_pool(self, service: str, fresh: bool = False) -> CandidatePool:
        """Return the candidates of a service, from the cache while it is valid.

        :param fresh: whether to bypass the cache.
        :raises NoTargetError: if no target accepts requests.
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
        excluded: Counter[ExclusionReason] = Counter()
        candidates = self.find_candidates(service, excluded)
        if not candidates:
            self.exclusions.record(service, 0, excluded)
            raise NoTargetError(
                f"no backend server of service {service!r} currently accepts requests; "
                "retry after the time in Retry-After"
            )
        usable = self.exclude_avoided(service, candidates)
        kept = exclude_doubted(usable)
        worst_kept = max(c.target.standing for c in kept)
        worse = [c for c in usable if c.target.standing > worst_kept]
        doubted = [c for c in worse if c.is_doubted]
        excluded[ExclusionReason.PATH_AVOIDED] += len(candidates) - len(usable)
        excluded[ExclusionReason.DOUBTED] += len(doubted)
        excluded[ExclusionReason.FAILING] += len(worse) - len(doubted)
        self.exclusions.record(service, len(kept), excluded)
        weights = [self.compute_draw_weight(c) for c in kept]
        pool = self.pools[service] = CandidatePool(kept, now, doubted, weights)
        return pool

    def compute_draw_weight(self, candidate: Candidate) -> float:
        """Return the weight by which a candidate is drawn for a first attempt.

        Traffic between zones is charged, so the local zone gets more than its
        proportional part. A gate without a free slot refuses immediately, and further
        attempts consider all zones alike.
        """
        if candidate.target.availability_zone == self.settings.availability_zone:
            return candidate.effective_weight
        return candidate.effective_weight * self.settings.requests.other_zone_share

    def is_current(self, candidate: Candidate) -> bool:
        """Return whether a cached candidate is unchanged and may still be picked."""
        board = self.blackboard
        target_id = candidate.target.target_id
        target = board.targets.by_id.get(target_id)
        if target is None or target.state is not TargetState.SERVING:
            return False
        if has_said_leaving(board, target):
            return False
        if get_rate_limit(board, target) != candidate.rate_limit:
            return False
        if target.standing is not candidate.target.standing:
            return False
        if target_id in board.ejected or not self.has_live_gate(target):
            return False
        health = board.health.get(target_id, _HEALTHY)
        same_avoidance = health.avoided == candidate.is_avoided
        return same_avoidance and board.table.weight(target_id) == candidate.weight

    def find_candidates(
        self, service: str, excluded: Counter[ExclusionReason] | None = None
    ) -> list[Candidate]:
        """Return the targets of a service that accept requests.

        :param excluded: counts the others by reason.
        """
        board = self.blackboard
        found = []
        for target_id, target in board.targets.of_service(service).items():
            weight = board.table.weight(target_id)
            reason = self.find_exclusion(target, weight)
            if reason is not None:
                if excluded is not None:
                    excluded[reason] += 1
                continue
            health = board.health.get(target_id, _HEALTHY)
            effective_weight = weight * max(health.ramp, MIN_RAMP)
            rate_limit = get_rate_limit(board, target)
            if rate_limit != NO_RATE_LIMIT:
                usual_rate = self.requested_services.estimate_target_rate(service)
                effective_weight *= compute_rate_share(rate_limit, usual_rate)
            found.append(
                Candidate(
                    target, weight, effective_weight, health, health.avoided, rate_limit
                )
            )
        return found

    def find_exclusion(self, target: Target, weight: float) -> ExclusionReason | None:
        """Return why a target accepts no requests, or ``None`` if it does.

        :param weight: its weight in the table.
        """
        board = self.blackboard
        if target.state is not TargetState.SERVING or has_said_leaving(board, target):
            return ExclusionReason.NOT_SERVING
        if target.target_id in board.ejected:
            return ExclusionReason.EJECTED
        if weight <= 0:
            return ExclusionReason.WITHOUT_WEIGHT
        if not self.has_live_gate(target):
            return ExclusionReason.GATE_GONE
        if may_have_departed(board, target):
            return ExclusionReason.DEPARTURES_UNKNOWN
        return None

    def has_live_gate(self, target: Target) -> bool:
        """Return whether the daemon beside a target is known and alive or suspect."""
        member = self.blackboard.members.get(target.daemon_id)
        return member is not None and member.state in _USABLE_MEMBERS

    def exclude_avoided(
        self, service: str, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Exclude avoided targets as far as the service's floor permits."""
        if not any(candidate.is_avoided for candidate in candidates):
            return candidates
        floor = self.blackboard.table.service_row(service).floor_weight
        return exclude_avoided(candidates, floor)

    def choose_cheaper(
        self, first: Candidate, second: Candidate, mean_weight: float
    ) -> Candidate:
        """Return the cheaper of two candidates, or the first one at equal costs.

        :param mean_weight: mean effective weight of all candidates.
        """
        if first is second:
            return first
        if self.compute_cost(second, mean_weight) < self.compute_cost(
            first, mean_weight
        ):
            return second
        return first

    def compute_cost(self, candidate: Candidate, mean_weight: float) -> float:
        """Return the cost of picking a candidate; lower is better.

        :param mean_weight: mean effective weight of all candidates, by which the
            candidate's own one is normalized.
        """
        target = candidate.target
        outstanding = self.blackboard.in_flight.by_target.get(target.target_id, 0)
        cost = 1 + outstanding * mean_weight / candidate.effective_weight
        if target.availability_zone != self.settings.availability_zone:
            cost *= self.settings.requests.other_zone_cost
        return cost * candidate.health.penalty * STANDING_COST_FACTORS[target.standing]


def _increment(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1


def _decrement(counts: dict[str, int], key: str) -> None:
    remaining = counts[key] - 1
    if remaining:
        counts[key] = remaining
    else:
        del counts[key]
