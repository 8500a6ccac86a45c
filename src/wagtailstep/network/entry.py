"""The entry: handles callers' requests and returns one response for each.

It opens no sockets: an HTTP server calls :meth:`EntryService.handle`, and requests are
sent by the :class:`~wagtailstep.models.exchange.Forwarder` and the
:class:`~wagtailstep.models.exchange.Relay`.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any

from wagtailstep.controllers.guard import DuplicateGuard
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.controllers.runs import build_unknown_outcome_error
from wagtailstep.controllers.shutdown import ShutdownAdmission
from wagtailstep.exceptions import DeadlineExceededError, LeavingError, RequestError
from wagtailstep.models import headers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer, Forwarder, IncomingRequest, Relay
from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import find_header, remove_headers, replace_headers
from wagtailstep.models.idempotency import (
    Decision,
    Refuse,
    RelayToDaemon,
    Replay,
    RequestDecided,
    RunLocally,
    Wait,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.account_headers import replace_account_headers
from wagtailstep.network.answer_buffer import buffer_answer, track_end
from wagtailstep.network.arriving_bodies import ArrivingBodies
from wagtailstep.network.attempt_log import CALLER_LEFT, INTERNAL_ERROR
from wagtailstep.network.bodies import ReplayableBody, limit_body
from wagtailstep.network.deadlines import limit_time
from wagtailstep.network.entry_notes import EntryReporter
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.interpret import fingerprint_request
from wagtailstep.network.problems import (
    build_error_answer,
    build_internal_error,
    yield_body,
)
from wagtailstep.network.quota_wait import QuotaWait
from wagtailstep.network.request_reader import RequestReader
from wagtailstep.network.sender import AttemptSender
from wagtailstep.utils.cancellation import is_own_cancellation
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.ids import make_id

MAX_RELAY_ATTEMPTS = 2

_LOGGER = logging.getLogger(__name__)


class EntryService:
    """Handle callers' requests at one daemon.

    :param routing: the daemon's routing controller.
    :param guard: decides whether requests with an idempotency key may run.
    :param forwarder: sends attempts to gates.
    :param relay: sends requests with an idempotency key to other daemons' entries.
    :param dispatch: passes an event to all controllers and applies their effects.
    :param apply: applies effects that the guard or ``quotas`` returned; it passes each
        :class:`~wagtailstep.models.idempotency.RequestDecided` to
        :meth:`deliver_decision`, and effects of ``quotas`` to it.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        routing: RoutingController,
        guard: DuplicateGuard,
        forwarder: Forwarder,
        relay: Relay,
        dispatch: Callable[[Any], None],
        apply: Callable[[list[Any]], None],
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.routing = routing
        self.guard = guard
        self.relay = relay
        self.apply = apply
        self.admission = ShutdownAdmission(settings, blackboard, clock, rng)
        self.arriving_bodies = ArrivingBodies(self.admission, clock)
        retries = RetryPolicy(
            settings.requests,
            clock,
            lambda: len(blackboard.members),
            self.admission.may_start,
        )
        self.reader = RequestReader(settings.requests, blackboard, clock, rng)
        self.sender = AttemptSender(
            blackboard, clock, routing, retries, forwarder, dispatch
        )
        self.reporter = EntryReporter(settings, blackboard, clock, dispatch)
        self.quotas = QuotaWait(blackboard, clock, rng, apply)
        self.pending_decisions: dict[str, asyncio.Future[Decision]] = {}

    async def handle(self, incoming: IncomingRequest) -> Answer:
        """Handle one request; failures become problem documents.

        :return: the response; the receiver may read its body and must close it.
        """
        request_id = make_id(self.rng)
        request: RequestContext | None = None
        started_at = self.clock.monotonic()
        outcome = CALLER_LEFT
        try:
            request_id = self.reader.read_request_id(incoming) or request_id
            request = self.reader.read(incoming, request_id)
            self.reporter.record_request(incoming, request)
            answer = await self.serve(request, incoming)
            outcome = f"status-{answer.status}"
            served = answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
            self.routing.record_outcome(request.service, served)
        except RequestError as error:
            outcome = error.reason
            if request is not None and error.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                self.routing.record_outcome(request.service, served=False)
            self.reporter.record_failure(incoming, request_id, error)
            return build_error_answer(error, request_id)
        except (Exception, asyncio.CancelledError) as error:
            if is_own_cancellation(error):
                raise
            outcome = INTERNAL_ERROR
            _LOGGER.exception("event=request-failed request_id=%s", request_id)
            return build_error_answer(build_internal_error(), request_id)
        finally:
            self.reporter.record_end(request, outcome, started_at)
        self.reporter.record_answer(incoming, answer.status)
        answer.headers = replace_headers(
            remove_headers(answer.headers, headers.GATE_ANSWER_HEADERS),
            (headers.VERDICT, answer.verdict.value),
            (headers.REQUEST_ID, request_id),
        )
        return answer

    async def issue_ticket(self, service: str) -> str:
        """Return a new ticket for one request to a service.

        :raises LeavingError: if this daemon is about to exit.
        """
        return str(self.guard.tickets.issue(service))

    def deliver_decision(self, effect: RequestDecided) -> None:
        """Pass the guard's decision to the request that waits for it."""
        future = self.pending_decisions.pop(effect.request_id, None)
        if future is not None and not future.done():
            future.set_result(effect.decision)
        else:
            self.release_run(effect.decision)

    async def serve(self, request: RequestContext, incoming: IncomingRequest) -> Answer:
        """Check that a request may be admitted, then serve it.

        :raises RequestError: if the request gets no response.
        """
        limit = self.settings.requests.replay_body_bytes
        # A Content-Length was checked with the head; this covers chunked bodies.
        source = limit_body(incoming.body, self.blackboard.table.max_body_bytes)
        body = ReplayableBody(source, limit)
        try:
            self.reader.check_ready()
            self.routing.admit(request)
        except RequestError as error:
            raise self.downgrade_unproven_not_run(request, error) from error
        exchange = Exchange(request, incoming, body, self.routing)
        try:
            return await self.serve_admitted(exchange)
        except BaseException:
            exchange.release()
            raise

    async def serve_admitted(self, exchange: Exchange) -> Answer:
        """Send a request, or first ask the guard if it has an idempotency key."""
        if exchange.request.needs_duplicate_guard:
            return await self.serve_guarded(exchange)
        if exchange.has_small_body:
            await self.within_deadline(exchange, exchange.body.prefetch())
        # A token that is held while a slow body arrives would be used much later than
        # it was granted, together with others.
        async with self.quotas.hold_token(exchange):
            return await self.sender.run(exchange)

    def downgrade_unproven_not_run(
        self, request: RequestContext, error: RequestError
    ) -> RequestError:
        """Replace ``NOT_RUN`` if it only holds for this copy of a request.

        An earlier copy with the same key may have run at another daemon.

        :return: the error, its verdict changed if needed.
        """
        known = (
            not request.needs_duplicate_guard
            or request.first_sending
            or self.guard.is_known_not_run(request)
        )
        if error.verdict is Verdict.NOT_RUN and not known:
            error.verdict = Verdict.MAY_HAVE_RUN
        return error

    async def serve_guarded(self, exchange: Exchange) -> Answer:
        """Serve a request with an idempotency key as the guard decides.

        :raises RequestError: if the request gets no response.
        """
        request = exchange.request
        body_start = await self.within_deadline(exchange, exchange.body.prefetch())
        length = find_header(exchange.incoming.headers, "content-length") or ""
        fingerprint = fingerprint_request(request, body_start, length)
        outcome = self.guard.decide_request(request, fingerprint)
        decision = outcome.decision
        if isinstance(decision, Wait):
            decision = await self.wait_for_decision(request, outcome.effects)
        else:
            self.apply(list(outcome.effects))
        return await self.execute_decision(decision, exchange)

    async def within_deadline(
        self, exchange: Exchange, reading: Awaitable[bytes]
    ) -> bytes:
        """Await a read of the request body until the request's deadline.

        :raises RequestError: if the caller aborted the body or was too slow.
        """
        request = exchange.request
        try:
            async with limit_time(self.sender.time_left(request)) as deadline:
                with self.arriving_bodies.track(request, deadline):
                    return await reading
        except TimeoutError:
            if self.blackboard.draining and self.sender.time_left(request):
                raise LeavingError(
                    "this daemon is shutting down and the request body has not "
                    "arrived; send the request to another one"
                ) from None
            error = DeadlineExceededError(
                "request body did not arrive before the deadline; send the request "
                "again with a longer timeout",
                Verdict.NOT_RUN,
            )
            raise self.downgrade_unproven_not_run(request, error) from None

    async def wait_for_decision(
        self, request: RequestContext, effects: tuple[Any, ...]
    ) -> Decision:
        """Wait until :meth:`deliver_decision` passes on the guard's decision.

        :raises RequestError: if the deadline passes first.
        """
        future = asyncio.get_running_loop().create_future()
        self.pending_decisions[request.request_id] = future
        self.apply(list(effects))
        decision = None
        try:
            async with limit_time(self.sender.time_left(request)):
                decision = await future
            return decision
        except TimeoutError:
            error = DeadlineExceededError(
                "deadline exceeded before the duplicate check of the idempotency key "
                "finished; send the request again with the same key",
                Verdict.NOT_RUN,
            )
            raise self.downgrade_unproven_not_run(request, error) from None
        finally:
            if decision is None:
                self.cancel_wait(request, future)

    def cancel_wait(
        self, request: RequestContext, future: asyncio.Future[Decision]
    ) -> None:
        """Withdraw a request from the guard, or decline what it has just decided.

        The decision may arrive in the same event loop step as the cancellation.
        """
        if self.pending_decisions.pop(request.request_id, None) is not None:
            self.guard.cancel_wait(request)
        elif future.done() and not future.cancelled():
            self.release_run(future.result())

    def release_run(self, decision: Decision) -> None:
        """Release the permission to run a request that is not waited for any more."""
        if isinstance(decision, RunLocally):
            self.apply(self.guard.finish_run(decision.run_id, Verdict.NOT_RUN))

    @singledispatchmethod
    async def execute_decision(self, decision: Decision, exchange: Exchange) -> Answer:
        """Carry out the guard's decision about a request.

        :raises RequestError: if the request gets no response.
        """
        raise TypeError(f"unknown decision of the duplicate guard: {decision!r}")

    @execute_decision.register
    async def _(self, decision: Refuse, exchange: Exchange) -> Answer:
        raise decision.error

    @execute_decision.register
    async def _(self, decision: Replay, exchange: Exchange) -> Answer:
        exchange.release()
        stored = decision.answer
        body = yield_body(stored.body)
        return Answer(stored.status, stored.headers, body, Verdict.RUN)

    @execute_decision.register
    async def _(self, decision: RelayToDaemon, exchange: Exchange) -> Answer:
        member = self.blackboard.members.get(decision.daemon_id)
        if member is None:
            raise build_unknown_outcome_error(
                "the daemon that may run it is no longer a known member"
            )
        answer = await self.relay_request(exchange, member)
        return track_end(answer, lambda verdict, _: exchange.release())

    @execute_decision.register
    async def _(self, decision: RunLocally, exchange: Exchange) -> Answer:
        exchange.on_end = lambda verdict, answer: self.apply(
            self.guard.finish_run(decision.run_id, verdict, answer)
        )
        try:
            async with self.quotas.hold_token(exchange):
                answer = await self.sender.run(exchange)
            limit = self.settings.requests.answer_bytes
            return await buffer_answer(answer, exchange, limit)
        except RequestError as error:
            exchange.end(error.verdict)
            raise
        except BaseException:
            exchange.end(exchange.verdict_if_cancelled)
            raise

    async def relay_request(self, exchange: Exchange, member: Member) -> Answer:
        """Have another daemon serve a request with an idempotency key.

        A retry is safe, since the other daemon recognises the key.

        :raises RequestError: ``MAY_HAVE_RUN`` if there is no response.
        """
        attempts_left = MAX_RELAY_ATTEMPTS
        while True:
            attempts_left -= 1
            try:
                return await self.relay_once(exchange, member)
            except (RequestError, TimeoutError) as error:
                if attempts_left == 0 or not exchange.body.replayable:
                    raise build_unknown_outcome_error(
                        f"daemon {member.daemon_id} may have run it but is unreachable"
                    ) from error

    async def relay_once(self, exchange: Exchange, member: Member) -> Answer:
        """Relay a request to another daemon once.

        :raises RequestError: if there is no response.
        :raises TimeoutError: if there is none before the deadline.
        """
        time_left = self.sender.time_left(exchange.request)
        incoming = self.build_relayed_request(exchange, time_left)
        async with limit_time(time_left):
            return await self.relay.relay(member, incoming, time_left)

    def build_relayed_request(
        self, exchange: Exchange, time_left: timedelta
    ) -> IncomingRequest:
        """Return the request as it is sent to the other daemon's entry."""
        time_left_ms = max(1, int(time_left.total_seconds() * 1_000))
        marked = replace_headers(
            replace_account_headers(exchange.incoming.headers, exchange.request),
            (headers.TIMEOUT_MS, str(time_left_ms)),
            (headers.RELAYED, self.settings.daemon_id),
        )
        incoming = exchange.incoming
        return IncomingRequest(
            incoming.method, incoming.path, marked, exchange.body.open()
        )
