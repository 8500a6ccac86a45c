"""Sends a request to one target after the other until one responds."""

import asyncio
import functools
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.attempt_timeout import (
    RecentRefusals,
    compute_attempt_timeout,
)
from wagtailstep.controllers.retries import RetryDenial, RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.controllers.server_notices import get_rate_limit
from wagtailstep.exceptions import (
    AttemptAbandonedError,
    DeadlineExceededError,
    LeavingError,
    RequestError,
    ServerCrashedError,
)
from wagtailstep.hedging.policy import HedgePolicy
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer, Forwarder
from wagtailstep.models.fleet import Target
from wagtailstep.models.headers import CALL_REFUSED, CALLS, find_header
from wagtailstep.models.request import Blame, RequestContext
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.attempt_log import CALLER_LEFT, INTERNAL_ERROR, AttemptLog
from wagtailstep.network.attempts import Attempt, determine_blame, read_calls
from wagtailstep.network.bodies import AnswerStream, discard_answer
from wagtailstep.network.crash_watch import check_not_blocked
from wagtailstep.network.deadlines import SettledTimer, limit_time
from wagtailstep.network.declined_wait import DeclinedWait
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.hedged_attempts import HedgedAttempts
from wagtailstep.network.server_notices import find_changed_notices
from wagtailstep.utils.cancellation import is_cancelled
from wagtailstep.utils.clock import Clock

LOGGER = logging.getLogger(__name__)
FIRST_FAILURE_STATUS = 500
DEADLINE_GRACE_MS = 20
GATES_BEFORE_QUEUEING = 3  # Rarely all full, at four slots each and a load of 3/4.
ZERO = timedelta()
DISCOVERY_POLL_INTERVAL = timedelta(milliseconds=20)


class AttemptSender:
    """Send requests to targets and retry them where that is allowed.

    :param routing: selects the targets.
    :param retries: decides whether a further attempt is allowed.
    :param forwarder: sends one attempt.
    :param dispatch: passes the outcome of each attempt to the controllers.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        routing: RoutingController,
        retries: RetryPolicy,
        forwarder: Forwarder,
        dispatch: Callable[[Any], None],
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.routing = routing
        self.retries = retries
        self.forwarder = forwarder
        self.dispatch = dispatch
        self.refusals = RecentRefusals(clock)
        self.log = AttemptLog(blackboard, clock)
        self.declined = DeclinedWait(blackboard, clock, routing, retries, dispatch)
        self.hedges: HedgedAttempts | None = None
        if retries.settings.hedge_ratio:
            policy = HedgePolicy(retries.settings, clock, retries, self.refusals)
            self.hedges = HedgedAttempts(
                routing, policy, dispatch, self.attempt, self.declined.record_failure
            )

    def time_left(self, request: RequestContext) -> timedelta:
        """Return the time until a request's deadline, at least zero."""
        return max(timedelta(), request.deadline - self.clock.monotonic())

    async def run(self, exchange: Exchange) -> Answer:
        """Send a request until it gets a response or may not be retried.

        :raises RequestError: if it gets no response; its verdict covers all attempts.
        """
        exchange.identify()
        request = exchange.request
        check_not_blocked(self.blackboard, request.fingerprint, self.clock.monotonic())
        await self.wait_for_discovery(request)
        self.retries.record_first_attempt(request.service)
        while True:
            target = self.select_target(exchange)
            exchange.attempts += 1
            try:
                if self.hedges is None:
                    answer = await self.attempt(exchange, target)
                else:
                    target, answer = await self.hedges.attempt(exchange, target)
            except RequestError as exc:
                exchange.sent += exc.may_have_been_received
                exchange.crashes += isinstance(exc, ServerCrashedError)
                self.declined.record_failure(exchange, target, exc)
                exchange.include_earlier_attempts(exc)
                if exc.is_full_gate:
                    exchange.expected_waits[target.target_id] = exc.retry_after or ZERO
                if not await self.may_continue(exchange, exc):
                    self.log.record_end(
                        exchange, exc.reason, denial=self.retries.denial
                    )
                    raise
                if not exc.is_full_gate:
                    self.log.record_resend(exchange, target, exc.reason)
                continue
            exchange.sent += 1
            self.declined.record_answer(target)
            self.record_calls(request.route, answer)
            if not await self.may_replace(exchange, answer):
                is_failure = answer.status >= FIRST_FAILURE_STATUS
                denial = self.retries.denial if is_failure else None
                self.log.record_end(exchange, f"status-{answer.status}", target, denial)
                return answer
            await discard_answer(answer)
            self.log.record_resend(exchange, target, f"status-{answer.status}")

    async def may_continue(self, exchange: Exchange, error: RequestError) -> bool:
        """Return whether to try another target after an attempt without a response."""
        if self.declined.applies_to(exchange, error):
            if await self.declined.try_acquire_retry(exchange, error):
                return True
        elif self.may_resend(exchange, error):
            return True
        elif await self.declined.borrow_retry(exchange.request) and self.may_resend(
            exchange, error
        ):
            return True
        if not error.is_full_gate:
            return False
        self.refusals.record_refusal(exchange.request.service)
        return self.try_select_last_resort(exchange)

    def may_resend(self, exchange: Exchange, error: RequestError) -> bool:
        """Return whether to retry after an attempt without a response."""
        if isinstance(error, AttemptAbandonedError):
            return True
        if isinstance(error, ServerCrashedError) and self.is_suspect(exchange):
            return self.retries.deny(RetryDenial.CRASHES_SERVERS)
        if not exchange.body.replayable:
            return self.retries.deny(RetryDenial.BODY_NOT_KEPT)
        return self.retries.try_acquire_retry(
            exchange.request,
            error,
            exchange.attempts,
            exchange.sent,
            exchange.declined,
        )

    def is_suspect(self, exchange: Exchange) -> bool:
        """Return whether more than one backend server crashed running a request."""
        known = self.blackboard.suspects.get(exchange.request.fingerprint)
        return exchange.crashes > 1 or (known is not None and known.crashes > 1)

    def try_select_last_resort(self, exchange: Exchange) -> bool:
        """Select a doubted target before rejecting; return whether there is one.

        A failing server still handles some requests: for repeatable ones that is better
        than a rejection. Others are rejected, which promises that nothing was run.
        """
        request = exchange.request
        if exchange.last_resort is not None:
            return False
        if not request.idempotent or not exchange.body.replayable:
            return False
        target = self.routing.pick_doubted(request.service, exchange.tried)
        if target is None or not self.retries.has_time_left(request):
            return False
        if exchange.sent and not self.retries.try_acquire_replacement(
            request, exchange.executions
        ):
            return False
        exchange.last_resort = target
        return True

    async def may_replace(self, exchange: Exchange, answer: Answer) -> bool:
        """Return whether to retry after an error response of a backend server.

        An error that follows from a rejected call to another service is not retried:
        the second run would call the same overloaded service again.
        """
        if answer.status < FIRST_FAILURE_STATUS:
            return False
        if not exchange.body.replayable:
            return self.retries.deny(RetryDenial.BODY_NOT_KEPT)
        if find_header(answer.headers, CALL_REFUSED) is not None:
            return self.retries.deny(RetryDenial.CALL_REFUSED)
        request = exchange.request
        if self.retries.try_acquire_replacement(request, exchange.executions):
            return True
        try:
            borrowed = await self.declined.borrow_retry(exchange.request)
        except BaseException:
            await answer.close()
            raise
        return borrowed and self.retries.try_acquire_replacement(
            request, exchange.executions
        )

    def record_calls(self, route: str, answer: Answer) -> None:
        """Record the calls per run of a route, as reported by the gate."""
        text = find_header(answer.headers, CALLS)
        if text is not None:
            self.retries.record_calls(route, read_calls(text))

    def select_target(self, exchange: Exchange) -> Target:
        """Select the target of the next attempt.

        :raises RequestError: without a target or time; its verdict covers all attempts.
        """
        request = exchange.request
        try:
            if self.time_left(request) <= timedelta():
                raise DeadlineExceededError(
                    "deadline exceeded before the request was sent",
                    Verdict.NOT_RUN,
                )
            if not self.retries.may_start(request):
                raise LeavingError(
                    "this daemon is shutting down; send the request to another one"
                )
            last_resort = exchange.last_resort
            if last_resort is not None and last_resort.target_id not in exchange.tried:
                return last_resort
            if len(exchange.expected_waits) >= GATES_BEFORE_QUEUEING:
                return self.select_shortest_wait(exchange)
            may_probe = functools.partial(self.retries.can_retry_failure, request)
            excluded = self.declined.find_excluded(exchange)
            return self.routing.pick(request.service, excluded, may_probe)
        except RequestError as error:
            exchange.include_earlier_attempts(error)
            self.log.record_end(exchange, error.reason)
            raise

    def select_shortest_wait(self, exchange: Exchange) -> Target:
        """Select the target with the shortest expected wait of those asked so far.

        :raises NoTargetError: if they have all left and there is no other target.
        """
        targets = self.blackboard.targets
        known = [name for name in exchange.expected_waits if name in targets]
        if not known:
            return self.routing.pick(exchange.request.service, exchange.tried)
        return targets[min(known, key=exchange.expected_waits.__getitem__)]

    def may_wait(self, exchange: Exchange, target: Target) -> bool:
        """Return whether a request may be queued at a gate; a few are asked first."""
        if (
            self.retries.shared_budget is None
            or target.target_id in exchange.expected_waits
        ):
            return True
        return len(exchange.expected_waits) >= GATES_BEFORE_QUEUEING

    async def wait_for_discovery(self, request: RequestContext) -> None:
        """Wait while the targets of a newly requested service are being discovered."""
        while self.routing.requested_services.is_being_discovered(request.service):
            if self.time_left(request) < DISCOVERY_POLL_INTERVAL:
                return
            await asyncio.sleep(DISCOVERY_POLL_INTERVAL.total_seconds())

    async def attempt(self, exchange: Exchange, target: Target) -> Answer:
        """Send a request to one target and account for the attempt.

        :raises RequestError: if there is no response.
        """
        request = attrs.evolve(
            exchange.request,
            may_wait=self.may_wait(exchange, target),
            expected_standing=self.routing.get_expected_standing(
                target, is_last_resort=target is exchange.last_resort
            ),
            known_rate_limit=get_rate_limit(self.blackboard, target),
        )
        exchange.tried.add(target.target_id)
        attempt = Attempt(
            request, target.target_id, self.routing, self.dispatch, self.clock
        )
        attempt.start()
        try:
            answer = await self.forward(exchange, target, request)
        except RequestError as error:
            attempt.end(error.verdict, determine_blame(error, attempt, self.blackboard))
            raise
        except BaseException:
            attempt.end(Verdict.MAY_HAVE_RUN, Blame.CALLER)
            reason = CALLER_LEFT if is_cancelled() else INTERNAL_ERROR
            self.log.record_end(exchange, reason)
            raise
        attempt.record_answer(answer)
        news = find_changed_notices(self.blackboard, target, answer)
        if news is not None:
            self.dispatch(news)
        exchange.verdict = Verdict.MAY_HAVE_RUN
        return self.track_end(answer, attempt, exchange)

    async def forward(
        self, exchange: Exchange, target: Target, request: RequestContext
    ) -> Answer:
        """Send a request to the gate of a target, within the request's deadline.

        :raises RequestError: with the attempt's verdict.
        """
        gate = self.blackboard.members[target.daemon_id]
        left = self.time_left(exchange.request)
        grace = timedelta(milliseconds=DEADLINE_GRACE_MS)
        exchange.attempt_in_progress = True
        exchange.abandoned = False
        timer: SettledTimer | None = None
        try:
            async with limit_time(left, grace) as deadline:
                timer = self.start_attempt_timeout(
                    exchange, target, left, deadline.timeout
                )
                answer = await self.forwarder.forward(
                    request, gate, target.target_id, exchange.build_incoming(), left
                )
        except TimeoutError:
            if exchange.abandoned:
                raise AttemptAbandonedError(
                    f"attempt timeout exceeded at {target.target_id}",
                    Verdict.MAY_HAVE_RUN,
                ) from None
            raise DeadlineExceededError(
                "backend server did not respond before the deadline",
                Verdict.MAY_HAVE_RUN,
            ) from None
        except RequestError as error:
            raise exchange.correct_verdict(error) from error
        finally:
            if timer is not None:
                timer.cancel()
        exchange.attempt_in_progress = False
        return answer

    def start_attempt_timeout(
        self,
        exchange: Exchange,
        target: Target,
        time_left: timedelta,
        timeout: asyncio.Timeout,
    ) -> SettledTimer | None:
        """Start the timer of the hedge; without hedging, one that abandons attempts."""
        if exchange.start_hedge_timer is not None:
            return exchange.start_hedge_timer(timeout)
        health = self.blackboard.health.get(target.target_id)
        expected_latency = health.latency if health is not None else None
        delay = compute_attempt_timeout(exchange.request, time_left, expected_latency)
        if delay is None:
            return None
        due_at = asyncio.get_running_loop().time() + delay.total_seconds()
        return SettledTimer(due_at, self.abandon_attempt, exchange, timeout)

    def abandon_attempt(self, exchange: Exchange, timeout: asyncio.Timeout) -> None:
        """Abandon an attempt that takes too long, if another one may be made.

        While the daemon shuts down or slots are short, the next attempt might be
        rejected and the work be lost, so the attempt is left running.
        """
        request = exchange.request
        is_short = self.blackboard.draining or self.refusals.has_recent(request.service)
        if is_short or timeout.expired() or not exchange.body.replayable:
            return
        if self.retries.try_acquire_replacement(
            request, exchange.executions + 1, self.declined.kept_ratio
        ):
            exchange.abandoned = True
            timeout.reschedule(asyncio.get_running_loop().time())

    def track_end(self, answer: Answer, attempt: Attempt, exchange: Exchange) -> Answer:
        """Return the response with a body that ends the attempt at its end."""

        def end(verdict: Verdict, error: RequestError | None) -> None:
            attempt.end_with_answer(verdict, error)
            if exchange.on_end is None:
                exchange.release()

        return AnswerStream(answer, end).build_answer()
