"""Decides which requests that backend servers declined wait for a retry."""

import random
from collections.abc import Collection
from datetime import timedelta

import attrs

from wagtailstep.controllers.retry_forecast import RetryForecast
from wagtailstep.controllers.shared_budget import SharedRetryBudget
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.declined_requests import WaitEnd
from wagtailstep.models.fleet import TargetState
from wagtailstep.models.request import RequestContext
from wagtailstep.models.retry_lending import RetriesMissing
from wagtailstep.utils.clock import Clock

FIRST_BACKOFF = timedelta(milliseconds=10)
MAX_BACKOFF = timedelta(milliseconds=160)
# A server that declined this recently is likely to decline the next request too.
DECLINE_RETENTION = timedelta(milliseconds=500)
# Equals ASK_INTERVAL of controllers.retry_lending, which ignores earlier requests.
LOAN_REQUEST_INTERVAL = timedelta(milliseconds=250)
# A loan arrives within a round trip between zones, or not at all.
LOAN_ARRIVAL_TIME = timedelta(milliseconds=40)
LENDERS_PER_REQUEST = 3
# Predictions of all waits are renewed this often, and when a request joins.
PREDICTION_INTERVAL = timedelta(milliseconds=100)
# Part of the budget that the replacement of slow attempts leaves to other retries.
KEPT_RATIO = 0.25


@attrs.define(eq=False)
class WaitingRequest:
    """A declined request that waits for a retry.

    :param request: the request.
    :param costs: what sending it again costs, by service.
    :param latest_at: monotonic time until which a retry would be in time.
    :param since: monotonic time when it began to wait.
    :param end: how the wait ended, or ``None``.
    """

    request: RequestContext
    costs: dict[str, float]
    latest_at: timedelta
    since: timedelta
    end: WaitEnd | None = None

    @property
    def order(self) -> tuple[tuple[int, int], timedelta]:
        """Return the sort key: the rank, then the due time."""
        request = self.request
        return request.rank, request.aim_deadline or request.deadline


class DeclinedRequests:
    """Queue of the requests that wait for a retry, and the servers that declined.

    :param blackboard: knows the targets, and whether the daemon shuts down.
    :param budget: this daemon's part of the fleet's retries.
    :param max_waiting: highest number of waiting requests.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        budget: SharedRetryBudget,
        max_waiting: int,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.budget = budget
        self.max_waiting = max_waiting
        self.waiting: list[WaitingRequest] = []
        self.declined_at: dict[str, timedelta] = {}
        self.loans_requested_at: dict[str, timedelta] = {}
        self.predict_at = timedelta()
        self.forecasts: dict[str, RetryForecast] = {}

    def record_decline(self, target_id: str) -> None:
        """Record that a backend server declined a request."""
        now = self.clock.monotonic()
        self.declined_at = {
            name: at
            for name, at in self.declined_at.items()
            if now - at < DECLINE_RETENTION
        }
        self.declined_at[target_id] = now

    def record_answer(self, target_id: str) -> None:
        """Record that a backend server executed a request, so it no longer declines."""
        self.declined_at.pop(target_id, None)

    def find_excluded(
        self, candidates: Collection[str], tried: Collection[str], last: str
    ) -> set[str]:
        """Return the targets that the next attempt of a declined request avoids.

        :param candidates: ``target_id`` of all usable targets.
        :param tried: targets that the request was sent to.
        :param last: the last one of them.
        :return: as many of the tried and the recently declining targets as leave at
            least one candidate, if possible.
        """
        now = self.clock.monotonic()
        recent = {
            name
            for name, at in self.declined_at.items()
            if now - at < DECLINE_RETENTION
        }
        choices = ({*tried, *recent}, {*recent, last}, {*tried}, {last})
        for excluded in choices:
            if any(name not in excluded for name in candidates):
                return excluded
        return {last}

    def add(
        self, request: RequestContext, expected_duration: timedelta
    ) -> WaitingRequest:
        """Add a request; :meth:`decide` then tells whether it waits.

        :param expected_duration: expected time from sending to the response.
        """
        waiting = WaitingRequest(
            request,
            self.budget.compute_costs(request),
            request.deadline - expected_duration,
            self.clock.monotonic(),
        )
        self.waiting.append(waiting)
        self.waiting.sort(key=lambda each: each.order)
        self.predict_at = self.clock.monotonic()
        return waiting

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request whose caller left, if it still waits."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)

    def decide(self) -> list[WaitingRequest]:
        """Give the available retries to the first requests, give up hopeless ones.

        What the requests that still wait need is kept for them; those behind them get
        what is left.

        :return: the requests whose wait has ended.
        """
        ahead: dict[str, float] = {}
        now = self.clock.monotonic()
        self.forecasts = {}
        is_prediction_due = now >= self.predict_at
        if is_prediction_due:
            self.predict_at = now + PREDICTION_INTERVAL
        kept: list[WaitingRequest] = []
        ended: list[WaitingRequest] = []
        for waiting in self.waiting:
            waiting.end = self._find_end(waiting, ahead, len(kept))
            if waiting.end is None and is_prediction_due:
                in_time = self._is_in_time(waiting, ahead)
                waiting.end = None if in_time else WaitEnd.TOO_LATE
            if waiting.end is not None:
                ended.append(waiting)
                continue
            kept.append(waiting)
            ahead = add_costs(ahead, waiting.costs)
        self.waiting = kept
        return ended

    def _find_end(
        self, waiting: WaitingRequest, ahead: dict[str, float], position: int
    ) -> WaitEnd | None:
        if not self._has_target(waiting.request.service):
            return WaitEnd.NO_TARGET
        needed = {
            name: cost + ahead.get(name, 0.0) for name, cost in waiting.costs.items()
        }
        if self.budget.can_afford(needed) and self.budget.try_acquire(waiting.request):
            return WaitEnd.WOKEN
        if self.blackboard.draining:
            return WaitEnd.DRAINING
        if position >= self.max_waiting:
            return WaitEnd.QUEUE_FULL
        if self.clock.monotonic() >= waiting.latest_at:
            return WaitEnd.TOO_LATE
        return None

    def _has_target(self, service: str) -> bool:
        targets = self.blackboard.targets.of_service(service).values()
        return any(target.state is not TargetState.LEAVING for target in targets)

    def _is_in_time(self, waiting: WaitingRequest, ahead: dict[str, float]) -> bool:
        """Return whether a retry is expected in time, or a loan may still arrive."""
        latest = waiting.latest_at - self.clock.monotonic()
        for name, cost in waiting.costs.items():
            if cost > self.budget.compute_allowed(name):
                # Its own part never covers the request.
                return self._may_get_loan(waiting.request.service)
            if name not in self.forecasts:
                self.forecasts[name] = self.budget.forecast(name)
            wait = self.forecasts[name].compute_wait(cost + ahead.get(name, 0.0))
            if wait is None or wait > latest:
                return self._may_get_loan(waiting.request.service)
        return True

    def _may_get_loan(self, service: str) -> bool:
        if self._may_request_loans(service):
            return True
        arrives_by = self.loans_requested_at[service] + LOAN_ARRIVAL_TIME
        if self.clock.monotonic() >= arrives_by:
            return False
        self.predict_at = min(self.predict_at, arrives_by)
        return True

    def _may_request_loans(self, service: str) -> bool:
        requested_at = self.loans_requested_at.get(service)
        if requested_at is None:
            return True
        return self.clock.monotonic() - requested_at >= LOAN_REQUEST_INTERVAL

    def request_loans(self) -> RetriesMissing | None:
        """Return a request for the retries that waiting requests need, if one is due.

        Several daemons are asked, so each is asked for a part of the sum.
        """
        totals: dict[str, float] = {}
        largest: dict[str, float] = {}
        for waiting in self.waiting:
            if self._may_request_loans(waiting.request.service):
                totals = add_costs(totals, waiting.costs)
                for name, cost in waiting.costs.items():
                    largest[name] = max(largest.get(name, 0.0), cost)
        if not totals:
            return None
        now = self.clock.monotonic()
        for name in totals:
            self.loans_requested_at[name] = now
        # A request that only a loan can serve is refused when none has arrived.
        self.predict_at = min(self.predict_at, now + LOAN_ARRIVAL_TIME)
        return RetriesMissing(
            {
                name: max(largest[name], total / LENDERS_PER_REQUEST)
                for name, total in totals.items()
            }
        )

    def count_waiting(self) -> dict[str, float]:
        """Return the number of waiting requests by service."""
        counts: dict[str, float] = {}
        for waiting in self.waiting:
            service = waiting.request.service
            counts[service] = counts.get(service, 0) + 1
        return counts


def add_costs(first: dict[str, float], second: dict[str, float]) -> dict[str, float]:
    """Return the sums of two costs by service."""
    names = first.keys() | second.keys()
    return {name: first.get(name, 0.0) + second.get(name, 0.0) for name in names}


def compute_backoff(
    declined: int, time_to_spare: timedelta, rng: random.Random
) -> timedelta | None:
    """Return how long a request waits before it is sent again.

    :param declined: how many servers have declined it, at least 1.
    :param time_to_spare: time until it must be sent to be in time.
    :return: a random time between half the backoff and the whole one, so that requests
        declined at the same time don't return at the same time; ``None`` if there is
        too little time. The first retry is made in any case, since the expected
        duration is that of a typical request of the service.
    """
    backoff = min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** min(declined - 1, 10))
    backoff *= rng.uniform(0.5, 1.0)
    if backoff <= time_to_spare:
        return backoff
    return max(timedelta(), time_to_spare) if declined == 1 else None
