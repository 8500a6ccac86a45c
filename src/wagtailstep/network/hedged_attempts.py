"""Races two copies of a request and delivers the response of the faster one."""

import asyncio
import functools
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import (
    AttemptAbandonedError,
    RequestError,
    ServerCrashedError,
)
from wagtailstep.hedging.policy import HedgePolicy
from wagtailstep.hedging.targets import select_hedge_target
from wagtailstep.models.exchange import Answer
from wagtailstep.models.fleet import Target
from wagtailstep.models.headers import find_header
from wagtailstep.models.hedging import (
    HedgeDenial,
    HedgeOutcome,
    HedgeRecorded,
    SlowCopyLost,
)
from wagtailstep.models.verdict import Verdict, combine_verdicts
from wagtailstep.network.bodies import AnswerStream
from wagtailstep.network.deadlines import SettledTimer
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.hedge_race import CopyResult, HedgeRace, is_full_gate
from wagtailstep.utils.cancellation import is_own_cancellation
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
MIN_FAILURE_STATUS = 500
# A full gate refuses within a round trip, and nothing has run by then.
MAX_GATES_ASKED = 3
ZERO = timedelta()


class HedgedAttempts:
    """Sends an attempt, and a second copy of it if the response takes too long.

    The first copy runs in the task of its request, as without hedging. The second one
    runs in a task of its own, which is cancelled as soon as its result is not needed.

    :param routing: selects the target of the second copy.
    :param policy: decides when it is sent.
    :param dispatch: passes outcomes to the controllers.
    :param send: sends one copy and accounts for it.
    :param record_failure: records a copy without a response before its verdict is
        combined with that of the other one.
    """

    def __init__(
        self,
        routing: RoutingController,
        policy: HedgePolicy,
        dispatch: Callable[[Any], None],
        send: Callable[[Exchange, Target], Awaitable[Answer]],
        record_failure: Callable[[Exchange, Target, RequestError], None],
    ) -> None:
        self.routing = routing
        self.blackboard = routing.blackboard
        self.clock = policy.clock
        self.policy = policy
        self.dispatch = dispatch
        self.send = send
        self.record_failure = record_failure
        self.closing: set[asyncio.Task[None]] = set()

    async def attempt(
        self, exchange: Exchange, target: Target
    ) -> tuple[Target, Answer]:
        """Send a request to a target and perhaps to a second one.

        :return: the response and the target that it is from.
        :raises RequestError: if no copy gets a response. The caller of this method
            accounts for the error; the other copy is accounted for here.
        """
        delay = None
        if not exchange.sent and not exchange.hedged:
            delay = self.policy.compute_delay(exchange.request)
        if delay is not None and not has_body(exchange):
            # Reading the end of an empty body does not wait.
            await exchange.body.prefetch()
        race = HedgeRace(exchange, target, self.clock.monotonic(), delay)
        exchange.start_hedge_timer = functools.partial(self.start_timer, race)
        try:
            answer = await self.send(exchange, target)
        except RequestError as error:
            race.stop_waiting()
            return await self.settle_error(race, error)
        except BaseException:
            race.stop_waiting()
            self.cancel_hedge(race)
            raise
        race.stop_waiting()
        return await self.settle_answer(race, answer)

    def start_timer(
        self, race: HedgeRace, timeout: asyncio.Timeout
    ) -> SettledTimer | None:
        """Start the timer of the hedge when the first copy is sent.

        A hedge that the limit denies is considered again after the same time.

        :param timeout: cancels the first copy.
        """
        race.timeout = timeout
        if race.delay is None:
            return None
        due_at = asyncio.get_running_loop().time() + race.delay.total_seconds()
        race.timer = SettledTimer(due_at, self.start_hedge, race)
        return race.timer

    def start_hedge(self, race: HedgeRace) -> None:
        """Send the second copy if that is permitted."""
        exchange = race.exchange
        if race.delay is None or race.timeout is None or race.timeout.expired():
            return
        denial = self.find_denial(race, race.delay)
        if denial is not None:
            if not race.denied:
                self.record(race, HedgeOutcome.DENIED, denial)
            race.denied = True
            if denial is HedgeDenial.OVER_LIMIT:
                self.start_timer(race, race.timeout)
            return
        assert race.hedge_target is not None
        exchange.attempts += 1
        exchange.hedged = True
        self.record(race, HedgeOutcome.SENT)
        race.hedge = asyncio.create_task(self.run_hedge(race, race.hedge_target))
        race.hedge.add_done_callback(functools.partial(self.finish_hedge, race))

    def find_denial(self, race: HedgeRace, delay: timedelta) -> HedgeDenial | None:
        """Return why a request is not hedged, or select the target and charge it."""
        exchange = race.exchange
        request = exchange.request
        if self.blackboard.draining:
            return HedgeDenial.DRAINING
        # A body that is still being read can't be read by a second copy.
        replayable = exchange.body.replayable and exchange.body.complete
        full_gates = len(exchange.expected_waits)
        denial = self.policy.find_denial(
            request, delay, exchange.sent + 1, replayable, full_gates
        )
        if denial is not None:
            return denial
        race.hedge_target = self.select_target(race)
        if race.hedge_target is None:
            return HedgeDenial.NO_TARGET
        return None if self.policy.try_charge(request) else HedgeDenial.LOW_BUDGET

    async def run_hedge(self, race: HedgeRace, target: Target) -> CopyResult:
        """Send the second copy, asking a few gates for a free slot.

        It uses a copy of the exchange that is marked as released, so that the request
        stays admitted until the response that is delivered has ended.
        """
        exchange = race.exchange
        second = attrs.evolve(
            exchange,
            attempt_in_progress=False,
            abandoned=False,
            released=True,
            is_hedge=True,
            start_hedge_timer=start_no_timer,
        )
        result = await self.send_copy(second, target)
        for _ in range(MAX_GATES_ASKED - 1):
            if not is_full_gate(result):
                break
            following = self.select_target(race)
            if following is None:
                break
            race.hedge_target = following
            result = await self.send_copy(second, following)
        return result

    async def send_copy(self, second: Exchange, target: Target) -> CopyResult:
        """Send the second copy to one target and return its response or error."""
        try:
            return await self.send(second, target)
        except RequestError as error:
            return error
        except (Exception, asyncio.CancelledError) as error:
            if is_own_cancellation(error):
                raise
            request_id = second.request.request_id
            LOGGER.exception("event=hedge-error request_id=%s", request_id)
            return RequestError(
                "the second copy of the request failed by an internal error",
                Verdict.MAY_HAVE_RUN,
            )

    def select_target(self, race: HedgeRace) -> Target | None:
        """Return an untried target for the second copy, or ``None``."""
        exchange = race.exchange
        return select_hedge_target(
            self.routing, exchange.request.service, exchange.tried, race.target
        )

    def finish_hedge(self, race: HedgeRace, hedge: asyncio.Task[CopyResult]) -> None:
        """Cancel the first copy if the second one has a response without a failure."""
        if hedge.cancelled():
            return
        result = hedge.result()
        if isinstance(result, RequestError):
            self.record(race, HedgeOutcome.FAILED, result.reason)
            return
        if result.status >= MIN_FAILURE_STATUS:
            self.record(race, HedgeOutcome.FAILED, f"status-{result.status}")
            return
        if race.timeout is not None and not race.timeout.expired():
            race.exchange.abandoned = True
            race.timeout.reschedule(asyncio.get_running_loop().time())

    async def settle_answer(
        self, race: HedgeRace, answer: Answer
    ) -> tuple[Target, Answer]:
        """Deliver the response of the first copy, unless only the second succeeds."""
        exchange = race.exchange
        failed = answer.status >= MIN_FAILURE_STATUS
        if not failed:
            waited = self.clock.monotonic() - race.started
            self.policy.record_latency(exchange.request, waited)
        if not failed or race.hedge is None:
            self.cancel_hedge(race)
            return race.target, answer
        try:
            result = await self.wait_for_hedge(race)
        except BaseException:
            await answer.close()
            raise
        if isinstance(result, Answer) and result.status < MIN_FAILURE_STATUS:
            exchange.sent += 1
            async with exchange.keep_admitted():
                await answer.close()
            return self.deliver_hedge(race, result)
        if isinstance(result, Answer):
            exchange.sent += 1
            await result.close()
        else:
            self.add_failed_copy(exchange, race.hedge_target, result)
        return race.target, answer

    async def settle_error(
        self, race: HedgeRace, error: RequestError
    ) -> tuple[Target, Answer]:
        """Deliver the response of the second copy after the first one has failed.

        :raises RequestError: the error of the first copy if both failed.
        """
        if race.hedge is None:
            raise error
        result = await self.wait_for_hedge(race)
        exchange = race.exchange
        if isinstance(result, RequestError):
            self.add_failed_copy(exchange, race.hedge_target, result)
            raise error
        if isinstance(error, AttemptAbandonedError):
            request, waited = exchange.request, self.clock.monotonic() - race.started
            self.policy.record_latency(request, waited)
            self.dispatch(SlowCopyLost(request, race.target.target_id, waited))
        self.add_failed_copy(exchange, race.target, error)
        return self.deliver_hedge(race, result)

    async def wait_for_hedge(self, race: HedgeRace) -> CopyResult:
        """Return the result of the second copy; it ends by the request's deadline."""
        hedge = race.hedge
        assert hedge is not None
        try:
            if not hedge.done():
                await asyncio.wait({hedge})
        except BaseException:
            self.cancel_hedge(race)
            raise
        return hedge.result()

    def deliver_hedge(self, race: HedgeRace, answer: Answer) -> tuple[Target, Answer]:
        """Return the response of the second copy; its end releases the request."""
        exchange = race.exchange
        exchange.attempt_in_progress = False
        exchange.verdict = Verdict.MAY_HAVE_RUN
        if answer.status < MIN_FAILURE_STATUS:
            self.record(race, HedgeOutcome.WON)
        stream = AnswerStream(answer, lambda verdict, error: exchange.release())
        assert race.hedge_target is not None
        return race.hedge_target, stream.build_answer()

    def add_failed_copy(
        self, exchange: Exchange, target: Target | None, error: RequestError
    ) -> None:
        """Account for a copy that failed while the other one decides the request."""
        exchange.sent += error.may_have_been_received
        exchange.crashes += isinstance(error, ServerCrashedError)
        if target is not None:
            self.record_failure(exchange, target, error)
        exchange.verdict = combine_verdicts(exchange.verdict, error.verdict)
        if is_full_gate(error) and target is not None:
            exchange.expected_waits[target.target_id] = error.retry_after or ZERO

    def cancel_hedge(self, race: HedgeRace) -> None:
        """Cancel the second copy, if any, and close a response that it already has.

        Nothing waits for the end of that, so it delays no response.
        """
        hedge = race.hedge
        if hedge is None:
            return
        race.hedge = None
        result = hedge.result() if hedge.done() and not hedge.cancelled() else None
        if isinstance(result, RequestError):
            self.add_failed_copy(race.exchange, race.hedge_target, result)
            return
        race.exchange.sent += 1
        race.exchange.verdict = Verdict.MAY_HAVE_RUN
        if result is None or result.status < MIN_FAILURE_STATUS:
            self.record(race, HedgeOutcome.CANCELLED)
        hedge.cancel()
        closing = asyncio.create_task(close_copy(hedge))
        self.closing.add(closing)
        closing.add_done_callback(self.closing.discard)

    def record(self, race: HedgeRace, outcome: HedgeOutcome, reason: str = "") -> None:
        """Log the outcome of a hedge and pass it to the metrics."""
        request = race.exchange.request
        target = race.hedge_target
        delay = race.delay or ZERO
        log_event(
            LOGGER,
            f"hedge-{outcome.value}",
            routine=outcome is HedgeOutcome.DENIED,
            request_id=request.request_id,
            service=request.service,
            route=request.route,
            slow_target=race.target.target_id,
            target=target.target_id if target is not None else "",
            delay_ms=delay // timedelta(milliseconds=1),
            reason=str(reason),
        )
        self.dispatch(HedgeRecorded(request.service, outcome, str(reason)))


def has_body(exchange: Exchange) -> bool:
    """Return whether the head of a request announces a body."""
    headers = exchange.incoming.headers
    length = find_header(headers, "content-length") or "0"
    return length != "0" or find_header(headers, "transfer-encoding") is not None


def start_no_timer(timeout: asyncio.Timeout) -> None:
    """Start no timer for a second copy, which is never hedged itself."""


async def close_copy(hedge: asyncio.Task[CopyResult]) -> None:
    """Wait for the end of a cancelled copy; close the response if it has one."""
    await asyncio.wait({hedge})
    if hedge.cancelled():
        return
    result = hedge.result()
    if isinstance(result, Answer):
        await result.close()
