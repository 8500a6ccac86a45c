"""Waits for retries: declined requests for any, failed ones briefly for a loan."""

import asyncio
import logging
import statistics
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import Any

from wagtailstep.controllers.retries import RetryDenial, RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import NotExecutedError, OverloadedError, RequestError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.declined_requests import DeclinedWaitEnded, WaitEnd
from wagtailstep.models.fleet import Target
from wagtailstep.models.request import RequestContext
from wagtailstep.models.retry_lending import RetriesMissing
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.exchanges import Exchange
from wagtailstep.scheduling.declined_requests import (
    KEPT_RATIO,
    DeclinedRequests,
    WaitingRequest,
    compute_backoff,
)
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# Loans arrive within a round trip between zones, or not at all.
LOAN_TIMEOUT = timedelta(milliseconds=40)
LOAN_POLL_INTERVAL = timedelta(milliseconds=4)
MIN_TIME_TO_BORROW = timedelta(milliseconds=100)
DECISION_INTERVAL = timedelta(milliseconds=10)
ZERO = timedelta()


class DeclinedWait:
    """Obtain retries for declined requests, which wait for one if necessary.

    Without a shared retry budget or a queue length, no request is treated as declined
    and only :meth:`borrow_retry` has an effect.

    :param routing: knows the usable targets.
    :param retries: decides whether a further attempt is allowed.
    :param dispatch: passes requests for loans, and the ends of waits.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        routing: RoutingController,
        retries: RetryPolicy,
        dispatch: Callable[[Any], None],
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.routing = routing
        self.retries = retries
        self.dispatch = dispatch
        self.queue: DeclinedRequests | None = None
        length = retries.settings.declined_queue_length
        if retries.shared_budget is not None and length:
            self.queue = DeclinedRequests(
                blackboard, clock, retries.shared_budget, length
            )
        self.futures: dict[WaitingRequest, asyncio.Future[None]] = {}
        self.timer: asyncio.TimerHandle | None = None

    @property
    def kept_ratio(self) -> float:
        """Return the part of the budget that replacing slow attempts leaves."""
        return KEPT_RATIO if self.queue is not None else 0.0

    def record_failure(
        self, exchange: Exchange, target: Target, error: RequestError
    ) -> None:
        """Record an attempt without a response before its verdict is combined."""
        if self.queue is None or not isinstance(error, NotExecutedError):
            return
        if error.verdict is Verdict.NOT_RUN:
            exchange.declined += 1
            exchange.last_declined = target.target_id
            # It got a slot there, so the announced wait no longer applies.
            exchange.expected_waits.pop(target.target_id, None)
            self.queue.record_decline(target.target_id)

    def record_answer(self, target: Target) -> None:
        """Record that a backend server answered."""
        if self.queue is not None:
            self.queue.record_answer(target.target_id)

    def find_excluded(self, exchange: Exchange) -> Collection[str]:
        """Return the targets that the next attempt avoids."""
        if self.queue is None or not exchange.declined:
            return exchange.tried
        pool = self.routing.get_pool(exchange.request.service, fresh=True)
        candidates = [each.target.target_id for each in pool.candidates]
        return self.queue.find_excluded(
            candidates, exchange.tried, exchange.last_declined
        )

    def applies_to(self, exchange: Exchange, error: RequestError) -> bool:
        """Return whether a failed attempt is handled here.

        That is so if a server declined the request, now or before a gate that was full.
        """
        return exchange.declined > 0 and isinstance(error, OverloadedError)

    async def try_acquire_retry(self, exchange: Exchange, error: RequestError) -> bool:
        """Return whether to send a request again, once it has got a retry.

        The retry is charged before the backoff, so that a request never waits for a
        refusal. One that was charged but ended at a full gate, before it arrived at a
        server, serves for the next attempt.
        """
        request = exchange.request
        if not exchange.body.replayable:
            return self.retries.deny(RetryDenial.BODY_NOT_KEPT)
        gates_asked = exchange.attempts - exchange.declined
        if not self.retries.may_resend_declined(
            request, error, gates_asked, exchange.executions
        ):
            return False
        if exchange.retries_charged >= exchange.sent:
            return True
        assert self.queue is not None
        expected_duration = self.estimate_duration(request.service)
        time_left = request.deadline - self.clock.monotonic()
        backoff = compute_backoff(
            exchange.declined, time_left - expected_duration, self.routing.rng
        )
        if backoff is None:
            return self.retries.deny(RetryDenial.NO_TIME)
        waiting = self.queue.add(request, expected_duration)
        self.decide()
        if waiting.end is None:
            await self.wait(waiting)
        waited = self.clock.monotonic() - waiting.since
        self.record_end(waiting, waited)
        if waiting.end is not WaitEnd.WOKEN:
            return self.retries.deny(RetryDenial.NO_BUDGET)
        exchange.retries_charged += 1
        if isinstance(error, NotExecutedError) and backoff > waited:
            await asyncio.sleep((backoff - waited).total_seconds())
        return True

    async def borrow_retry(self, request: RequestContext) -> bool:
        """Borrow a retry from other daemons if only the budget forbids one.

        :return: whether the budget suffices now.
        """
        budget = self.retries.shared_budget
        if budget is None or self.retries.denial is not RetryDenial.NO_BUDGET:
            return False
        if request.deadline - self.clock.monotonic() < MIN_TIME_TO_BORROW:
            return False
        costs = budget.compute_costs(request)
        self.dispatch(RetriesMissing(costs))
        for _ in range(LOAN_TIMEOUT // LOAN_POLL_INTERVAL):
            if budget.can_afford(costs):
                return True
            await asyncio.sleep(LOAN_POLL_INTERVAL.total_seconds())
        return budget.can_afford(costs)

    def estimate_duration(self, service: str) -> timedelta:
        """Return the median of the typical latencies of a service's targets."""
        latencies = [
            health.latency
            for target_id in self.blackboard.targets.of_service(service)
            if (health := self.blackboard.health.get(target_id)) is not None
            and health.latency is not None
        ]
        return statistics.median_low(latencies) if latencies else ZERO

    async def wait(self, waiting: WaitingRequest) -> None:
        """Wait until the queue has decided about a request."""
        assert self.queue is not None
        future = asyncio.get_running_loop().create_future()
        self.futures[waiting] = future
        self.start_timer()
        try:
            await future
        except asyncio.CancelledError:
            waiting.end = WaitEnd.CANCELLED
            self.record_end(waiting, self.clock.monotonic() - waiting.since)
            raise
        finally:
            self.futures.pop(waiting, None)
            self.queue.remove(waiting)

    def start_timer(self) -> None:
        """Start the timer of the next decision while requests wait."""
        if self.timer is None and self.futures:
            delay = DECISION_INTERVAL.total_seconds()
            self.timer = asyncio.get_running_loop().call_later(delay, self.on_timer)

    def on_timer(self) -> None:
        """Decide about all waiting requests."""
        self.timer = None
        self.decide()
        self.start_timer()

    def decide(self) -> None:
        """End the waits that the queue has decided about, and ask for loans."""
        assert self.queue is not None
        for waiting in self.queue.decide():
            future = self.futures.pop(waiting, None)
            if future is not None and not future.done():
                future.set_result(None)
        missing = self.queue.request_loans()
        if missing is not None:
            self.dispatch(missing)

    def record_end(self, waiting: WaitingRequest, waited: timedelta) -> None:
        """Log and count the end of a wait, unless a retry was available at once."""
        if waiting.end is None or (waiting.end is WaitEnd.WOKEN and not waited):
            return
        request = waiting.request
        log_event(
            LOGGER,
            "declined-wait-ended",
            request_id=request.request_id,
            service=request.service,
            reason=waiting.end,
            waited_ms=waited // timedelta(milliseconds=1),
            left_ms=(request.deadline - self.clock.monotonic())
            // timedelta(milliseconds=1),
        )
        self.dispatch(DeclinedWaitEnded(request.service, waiting.end, waited))
