"""The gate: hands requests of entries to the backend server beside this daemon."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from datetime import timedelta
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
    GateRequestEnded,
    ResponseWaitEnded,
    RunResult,
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
    TENANT,
    TIMEOUT_MS,
    VERDICT,
    build_forwarded_headers,
    encode_text,
    find_header,
    remove_fleet_headers,
    remove_headers,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.suspects import SuspectAnswered
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.connection_watch import REVOCATION_PATH, AttemptStateAnswer
from wagtailstep.network.crash_watch import CrashWatch, check_not_blocked
from wagtailstep.network.gate_admission import GateAdmission
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
from wagtailstep.network.server_notices import changes_target, read_received_notices
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
        self.admission = GateAdmission(controller)
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
        check_not_blocked(self.controller.blackboard, request.fingerprint, arrived_at)
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
        max_wait = (
            timedelta(milliseconds=self.settings.queue_timeout_ms) * MAX_WAIT_FACTOR
        )
        max_wait = min(max_wait, request.deadline - self.clock.monotonic())
        try:
            await self.admission.wait_for_start(request, max_wait)
        except TimeoutError as error:
            self.abandon_request(request)
            raise self.build_expiry_error(request) from error
        except asyncio.CancelledError:
            self.abandon_request(request)
            raise

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
        """Send the request; if that fails, find out whether the server crashed.

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
        self.admission.dispatch(event)
        target = self.controller.blackboard.targets.get(request.target_id)
        if target is not None and changes_target(target, event.notices):
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
        if request.account:
            daemon_headers.append((TENANT, encode_text(request.account)))
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
        """Report a successful response to a suspected request."""
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
        self.admission.dispatch(event)

    def abandon_request(self, request: GateRequest) -> None:
        """Remove a cancelled request from the queue or free its slot."""
        event = GateRequestAbandoned(request.serial)
        self.admission.dispatch(event)
