"""The gate: hands requests of entries to the backend server beside this daemon."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any

import attrs
import msgspec

from wagtailstep.controllers.gate import GateController
from wagtailstep.exceptions import (
    BadRequestError,
    DeadlineExceededError,
    NoTargetError,
    OverloadedError,
    RequestError,
)
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.gate import (
    AttemptRevocationRequested,
    GateRequest,
    GateRequestAbandoned,
    GateRequestArrived,
    GateRequestEnded,
    RefuseRequest,
    ResponseWaitEnded,
    RunResult,
    StartRequest,
    WakeQueue,
    WorkEnded,
    WorkResult,
    WorkStarted,
)
from wagtailstep.models.headers import (
    CALLER_SERVICE,
    DAEMON_ANSWER_HEADERS,
    EXPECTED_INSTANCE,
    GATE_ID,
    LOAD,
    QUEUEING_MS,
    REQUEST_ID,
    TIMEOUT_MS,
    VERDICT,
    build_forwarded_headers,
    find_header,
    remove_fleet_headers,
    remove_headers,
)
from wagtailstep.models.server_notices import StartsDue
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.suspects import SuspectAnswered
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.connection_watch import REVOCATION_PATH, AttemptStateAnswer
from wagtailstep.network.crash_watch import CrashWatch, check_not_deadly
from wagtailstep.network.deadlines import limit_time
from wagtailstep.network.gate_answers import (
    assess_failure,
    assess_work,
    blame_backend_server,
    build_call_headers,
    read_gate_request,
    validate_answer,
)
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.network.server_notices import is_news, read_received_notices
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
MILLISECOND = timedelta(milliseconds=1)
# Factor on the queue timeout after which a queued request is rejected. Requests are
# admitted by their expected wait; rejecting one that waits longer would waste the time
# it has waited. A leaving backend server must get no new work after 2 s.
MAX_WAIT_FACTOR = 1.8
FIRST_ERROR_STATUS = HTTPStatus.BAD_REQUEST
OVERLOAD_STATUSES = frozenset({429, 503})


class GateService:
    """Handle requests for the backend servers beside this daemon.

    :param settings: settings of the daemon.
    :param controller: decides which requests start, wait or are rejected.
    :param client: sends requests to the backend servers over loopback.
    :param clock: source of monotonic time.
    :param dispatch: receives events on the work of the backend servers.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        controller: GateController,
        client: HttpClient,
        clock: Clock,
        dispatch: Callable[[Any], None] = do_nothing,
    ) -> None:
        self.settings = settings.requests
        self.controller = controller
        self.client = client
        self.clock = clock
        self.serials = itertools.count(1)
        self.dispatch = dispatch
        self.crash_watch = CrashWatch(client, clock, dispatch)
        self.waiters: dict[int, asyncio.Future[None]] = {}
        self.start_times: dict[int, timedelta] = {}
        member = controller.blackboard.this_member
        # Unique per process: a restarted gate does not know its predecessor's requests.
        self.gate_id = f"{member.daemon_id}.{member.incarnation}"

    async def handle_revocation(self, incoming: IncomingRequest) -> Answer:
        """Return the state of an attempt; block it if it has not arrived yet.

        :raises BadRequestError: if the attempt was sent to an earlier process.
        """
        if find_header(incoming.headers, GATE_ID) != self.gate_id:
            raise BadRequestError(
                "the attempt was sent to another process of this gate",
                HTTPStatus.CONFLICT,
            )
        attempt_id = incoming.path.removeprefix(REVOCATION_PATH)
        (effect,) = self.controller.handle(AttemptRevocationRequested(attempt_id))
        data = msgspec.json.encode(AttemptStateAnswer(effect.state))
        headers = (
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
        )
        return Answer(HTTPStatus.OK, headers, yield_body(data), Verdict.RUN)

    async def handle(self, incoming: IncomingRequest) -> Answer:
        """Run one request as soon as its backend server has a free slot.

        :raises RequestError: ``NOT_RUN`` only if nothing was sent to the backend
            server.
        """
        if incoming.path.startswith(REVOCATION_PATH):
            return await self.handle_revocation(incoming)
        arrived_at = self.clock.monotonic()
        request = read_gate_request(incoming, next(self.serials), arrived_at)
        check_not_deadly(self.controller.blackboard, request.fingerprint, arrived_at)
        await self.wait_for_slot(request)
        queueing = self.clock.monotonic() - arrived_at
        self.start_times[request.serial] = self.clock.monotonic()
        self.dispatch(WorkStarted(request.serial, request.target_id, request.route))
        try:
            answer = await self.run(request, incoming)
        except BaseException:
            self.start_times.pop(request.serial, None)
            raise
        finally:
            self.dispatch(ResponseWaitEnded(request.serial))
        daemon_headers = (
            (VERDICT, Verdict.RUN.value),
            (REQUEST_ID, request.request_id),
            (GATE_ID, self.gate_id),
            (QUEUEING_MS, f"{queueing / MILLISECOND:.1f}"),
            (LOAD, f"{self.controller.queues[request.target_id].load:.2f}"),
            *build_call_headers(
                self.controller.blackboard, request.route, answer.status, self.clock
            ),
        )
        return attrs.evolve(answer, headers=(*answer.headers, *daemon_headers))

    async def wait_for_slot(self, request: GateRequest) -> None:
        """Wait until the request has a slot.

        :raises RequestError: if the request is rejected; it was not run.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiters[request.serial] = future
        max_wait = (
            timedelta(milliseconds=self.settings.queue_timeout_ms) * MAX_WAIT_FACTOR
        )
        max_wait = min(max_wait, request.deadline - self.clock.monotonic())
        try:
            self.apply_effects(self.controller.handle(GateRequestArrived(request)))
            if future.done():
                return future.result()
            async with limit_time(max_wait):
                await future
        except TimeoutError as error:
            self.abandon_request(request)
            raise self.build_expiry_error(request) from error
        except asyncio.CancelledError:
            self.abandon_request(request)
            raise
        finally:
            del self.waiters[request.serial]

    def build_expiry_error(self, request: GateRequest) -> RequestError:
        """Return the error for a request that got no slot in time."""
        if request.deadline <= self.clock.monotonic():
            message = "deadline exceeded while the request was queued at the gate"
            return DeadlineExceededError(message, Verdict.NOT_RUN)
        retry_after = timedelta(milliseconds=self.settings.queue_timeout_ms)
        return OverloadedError(
            f"no slot of {request.target_id} became free in time", retry_after
        )

    async def run(self, request: GateRequest, incoming: IncomingRequest) -> Answer:
        """Send the request to its backend server, without a retry."""
        try:
            sent = self.build_backend_request(request, incoming)
            answer = await self.send_watched(request, sent)
            self.record_notices(request, answer)
            if self.settings.caller_request_ids:
                await validate_answer(request, answer)
        except RequestError as error:
            self.crash_watch.end(request)
            executed = error.verdict is not Verdict.NOT_RUN
            self.release_slot(request, assess_failure(error), executed)
            self.report_work_result(request, error)
            raise blame_backend_server(error) from error
        except BaseException:
            self.crash_watch.end(request)
            self.abandon_request(request)
            raise
        return self.track_answer(request, answer)

    async def send_watched(self, request: GateRequest, sent: HttpRequest) -> Answer:
        """Send the request; find out whether the server ended if that fails.

        :raises RequestError: if there is no response.
        """
        self.crash_watch.start(request, sent.address)
        try:
            return await self.client.send(sent)
        except RequestError as error:
            raise await self.crash_watch.assess(request, error) from error

    def record_notices(self, request: GateRequest, answer: Answer) -> None:
        """Follow what the backend server says of itself in a response."""
        event = read_received_notices(request, answer, self.settings.caller_request_ids)
        if event is None:
            return
        self.apply_effects(self.controller.handle(event))
        target = self.controller.blackboard.targets.get(request.target_id)
        if target is not None and is_news(target, event.notices):
            self.dispatch(event)

    def build_backend_request(
        self, request: GateRequest, incoming: IncomingRequest
    ) -> HttpRequest:
        """Return the request for the backend server, with its remaining timeout.

        :raises NoTargetError: if the backend server has left the fleet.
        """
        target = self.controller.blackboard.targets.get(request.target_id)
        if target is None:
            raise NoTargetError(
                f"backend server {request.target_id} has left the fleet"
            )
        time_left = request.deadline - self.clock.monotonic()
        daemon_headers = [
            (REQUEST_ID, request.request_id),
            (TIMEOUT_MS, str(max(1, int(time_left / MILLISECOND)))),
        ]
        if target.address:
            daemon_headers.append((EXPECTED_INSTANCE, target.instance_id))
        caller_service = find_header(incoming.headers, CALLER_SERVICE)
        if caller_service is not None:
            daemon_headers.append((CALLER_SERVICE, caller_service))
        return HttpRequest(
            address=target.dial_address,
            method=incoming.method,
            path=incoming.path,
            headers=remove_fleet_headers(build_forwarded_headers(incoming.headers))
            + tuple(daemon_headers),
            body=incoming.body,
            idempotent=request.idempotent,
            time_left=time_left,
            expected_request_id=request.request_id
            if self.settings.caller_request_ids
            else "",
        )

    def track_answer(self, request: GateRequest, answer: Answer) -> Answer:
        """Return the response with a ``close`` that frees the slot."""
        result = RunResult.ANSWERED
        if answer.status in OVERLOAD_STATUSES:
            result = RunResult.REFUSED
        body = answer.body

        async def close() -> None:
            complete = body.complete
            await answer.close()
            self.report_suspect(request, answer.status, complete)
            if body.failed:
                self.crash_watch.check_later(request)
            else:
                self.crash_watch.end(request)
            self.release_slot(request, result if complete else RunResult.ABANDONED)
            self.report_work_result(request, None, answer.status, complete, body.failed)

        headers = remove_headers(answer.headers, DAEMON_ANSWER_HEADERS)
        return Answer(answer.status, headers, body, Verdict.RUN, close)

    def report_suspect(self, request: GateRequest, status: int, complete: bool) -> None:
        """Report that a suspected request was answered and ended no server."""
        if not complete or status >= FIRST_ERROR_STATUS:
            return
        if request.fingerprint in self.controller.blackboard.suspects:
            self.dispatch(SuspectAnswered(request.fingerprint))

    def report_work_result(
        self,
        request: GateRequest,
        error: RequestError | None,
        status: int = 0,
        complete: bool = True,
        truncated: bool = False,
    ) -> None:
        """Report to the controllers how the backend server handled a request.

        :param complete: whether the complete response was read.
        :param truncated: whether the backend server truncated the response.
        """
        work = assess_work(error, status, complete, truncated)
        started_at = self.start_times.pop(request.serial, None)
        if work is None or started_at is None:
            return
        now = self.clock.monotonic()
        log_event(
            LOGGER,
            "work-ended",
            routine=work is WorkResult.DONE,
            request_id=request.request_id,
            target=request.target_id,
            route=request.route,
            result=work.value,
            status=status,
            took_ms=(now - started_at) // MILLISECOND,
            error=error or "",
        )
        self.dispatch(
            WorkEnded(
                request.target_id,
                request.route,
                request.idempotent,
                work,
                now - started_at,
            )
        )

    def release_slot(
        self, request: GateRequest, result: RunResult, executed: bool = True
    ) -> None:
        """Free the slot of a request."""
        event = GateRequestEnded(request.serial, result, executed)
        self.apply_effects(self.controller.handle(event))

    def abandon_request(self, request: GateRequest) -> None:
        """Remove a cancelled request from the queue or free its slot."""
        event = GateRequestAbandoned(request.serial)
        self.apply_effects(self.controller.handle(event))

    def apply_effects(self, effects: list[Any]) -> None:
        """Wake the requests that the controller started or rejected."""
        for effect in effects:
            self.apply(effect)

    @singledispatchmethod
    def apply(self, effect: Any) -> None:
        """Apply one effect.

        :raises TypeError: if it is none of the gate's effects.
        """
        raise TypeError(f"not an effect of the gate: {effect!r}")

    @apply.register
    def apply_start(self, effect: StartRequest) -> None:
        """Let a queued request proceed; a cancelled one frees its slot itself."""
        future = self.waiters.get(effect.serial)
        if future is not None and not future.done():
            future.set_result(None)

    @apply.register
    def apply_wake(self, effect: WakeQueue) -> None:
        """Let the queue start requests once its rate limit permits one."""
        asyncio.get_running_loop().call_later(
            effect.delay.total_seconds(), self.wake_queue, effect.target_id
        )

    def wake_queue(self, target_id: str) -> None:
        """Start the requests that may start now."""
        self.apply_effects(self.controller.handle(StartsDue(target_id)))

    @apply.register
    def apply_refusal(self, effect: RefuseRequest) -> None:
        """Reject a queued request."""
        future = self.waiters.get(effect.serial)
        if future is not None and not future.done():
            future.set_exception(effect.error)
