"""The gate: from other daemons' requests to the backend server beside this one."""

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
from wagtailstep.controllers.target_judge import FAILED_CALL_WINDOW
from wagtailstep.exceptions import (
    BadRequestError,
    DeadlineExceededError,
    NoTargetError,
    OverloadedError,
    RequestError,
)
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.gate import (
    AttemptRevoked,
    GateRequest,
    GateRequestAbandoned,
    GateRequestArrived,
    GateRequestEnded,
    RefuseRequest,
    RunResult,
    StartRequest,
    WorkEnded,
    WorkResult,
    WorkStarted,
    WorkStopped,
)
from wagtailstep.models.headers import (
    AIM_MS,
    ATTEMPT_ID,
    CALL_REFUSED,
    CALLER_SERVICE,
    CALLS,
    DAEMON_ANSWER_HEADERS,
    EXPECTED_INSTANCE,
    GATE_ID,
    IDEMPOTENT,
    LOAD,
    MAY_WAIT,
    PRIORITY,
    QUEUEING_MS,
    REQUEST_ID,
    ROUTE,
    TARGET,
    TIMEOUT_MS,
    VERDICT,
    Headers,
    find_header,
    pass_on_headers,
    read_number,
    remove_fleet_headers,
    remove_headers,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.gate_answers import (
    blame_backend_server,
    check_answer,
    judge_failure,
    judge_work,
    read_standing,
    read_timeout,
    require_header,
)
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.network.silence import REVOCATION_PATH, AttemptStateAnswer
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
MILLISECOND = timedelta(milliseconds=1)
# What was queued for an expected wait may wait longer, since giving it up would waste
# the time that it has waited; a leaving backend server must get no work after 2 s.
MAX_WAIT = 1.8
OVERLOAD_STATUSES = frozenset({429, 503})


class GateService:
    """Take requests for the backend servers beside this daemon.

    :param settings: settings of the daemon.
    :param controller: decides on admission.
    :param client: reaches the backend servers over loopback.
    :param clock: source of monotonic time.
    :param dispatch: is told of the work of the backend servers.
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
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.started: dict[int, timedelta] = {}
        member = controller.blackboard.this_member
        # A restarted gate knows nothing of what its predecessor took.
        self.gate_id = f"{member.daemon_id}.{member.incarnation}"

    async def handle_revocation(self, incoming: IncomingRequest) -> Answer:
        """Tell an entry what became of an attempt, and bar it if it never came.

        :raises BadRequestError: if the attempt was sent to an earlier process.
        """
        if find_header(incoming.headers, GATE_ID) != self.gate_id:
            raise BadRequestError("another gate is asked for", HTTPStatus.CONFLICT)
        attempt_id = incoming.path.removeprefix(REVOCATION_PATH)
        (effect,) = self.controller.handle(AttemptRevoked(attempt_id))
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
        request = self.read_request(incoming)
        arrived_at = self.clock.monotonic()
        await self.wait_for_slot(request)
        queueing = self.clock.monotonic() - arrived_at
        self.started[request.serial] = self.clock.monotonic()
        self.dispatch(WorkStarted(request.serial, request.target_id, request.route))
        try:
            answer = await self.run(request, incoming)
        except BaseException:
            self.started.pop(request.serial, None)
            raise
        finally:
            self.dispatch(WorkStopped(request.serial))
        own_headers = (
            (VERDICT, Verdict.RUN.value),
            (REQUEST_ID, request.request_id),
            (GATE_ID, self.gate_id),
            (QUEUEING_MS, f"{queueing / MILLISECOND:.1f}"),
            (LOAD, f"{self.controller.queues[request.target_id].load:.2f}"),
            *self.describe_calls(request.route, answer.status),
        )
        return attrs.evolve(answer, headers=(*answer.headers, *own_headers))

    def describe_calls(self, route: str, status: int) -> Headers:
        """Return headers on the calls that a run makes, and whether one was refused."""
        board = self.controller.blackboard
        ratios = board.calls_per_run.get(route, {})
        text = ",".join(f"{name}={ratio:.2f}" for name, ratio in ratios.items())
        headers: Headers = ((CALLS, text),) if text else ()
        refused_at = board.call_refused_at
        failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and refused_at is not None:
            if self.clock.monotonic() - refused_at < FAILED_CALL_WINDOW:
                headers += ((CALL_REFUSED, "?1"),)
        return headers

    def read_request(self, incoming: IncomingRequest) -> GateRequest:
        """Read what the entry says of a request.

        :raises BadRequestError: if a header is missing or wrong.
        """
        headers = incoming.headers
        request_id = require_header(headers, REQUEST_ID)
        now = self.clock.monotonic()
        aim_ms = read_number(headers, AIM_MS)
        return GateRequest(
            serial=next(self.serials),
            request_id=request_id,
            attempt_id=find_header(headers, ATTEMPT_ID) or request_id,
            target_id=require_header(headers, TARGET),
            route=find_header(headers, ROUTE) or "",
            idempotent=find_header(headers, IDEMPOTENT) == "?1",
            deadline=now + read_timeout(headers),
            priority=read_number(headers, PRIORITY) or 0,
            aim_at=None if aim_ms is None else now + aim_ms * MILLISECOND,
            arrived_at=now,
            may_wait=find_header(headers, MAY_WAIT) != "?0",
            chosen_standing=read_standing(headers),
        )

    async def wait_for_slot(self, request: GateRequest) -> None:
        """Return when the request has a slot.

        :raises RequestError: if it is refused; it was not run.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiting[request.serial] = future
        longest = timedelta(milliseconds=self.settings.queue_timeout_ms) * MAX_WAIT
        longest = min(longest, request.deadline - self.clock.monotonic())
        try:
            self.apply_effects(self.controller.handle(GateRequestArrived(request)))
            if future.done():
                return future.result()
            async with asyncio.timeout(longest.total_seconds()):
                await future
        except TimeoutError as error:
            self.abandon(request)
            raise self.describe_expiry(request) from error
        except asyncio.CancelledError:
            self.abandon(request)
            raise
        finally:
            del self.waiting[request.serial]

    def describe_expiry(self, request: GateRequest) -> RequestError:
        """Describe why a request left the queue without a slot."""
        if request.deadline <= self.clock.monotonic():
            message = "the deadline passed while the request waited"
            return DeadlineExceededError(message, Verdict.NOT_RUN)
        longest = timedelta(milliseconds=self.settings.queue_timeout_ms)
        return OverloadedError(f"no slot of {request.target_id} was free", longest)

    async def run(self, request: GateRequest, incoming: IncomingRequest) -> Answer:
        """Send the request to its backend server, once."""
        try:
            sent = self.make_request(request, incoming)
            answer = await self.client.send(sent)
            if self.settings.caller_request_ids:
                await check_answer(request, answer)
        except RequestError as error:
            executed = error.verdict is not Verdict.NOT_RUN
            self.end(request, judge_failure(error), executed)
            self.tell(request, error)
            raise blame_backend_server(error) from error
        except BaseException:
            self.abandon(request)
            raise
        return self.track_answer(request, answer)

    def make_request(
        self, request: GateRequest, incoming: IncomingRequest
    ) -> HttpRequest:
        """Return the request for the backend server, with the time left to it.

        :raises NoTargetError: if the backend server has left meanwhile.
        """
        target = self.controller.blackboard.targets.get(request.target_id)
        if target is None:
            raise NoTargetError(f"{request.target_id} has left")
        time_left = request.deadline - self.clock.monotonic()
        own_headers = [
            (REQUEST_ID, request.request_id),
            (TIMEOUT_MS, str(max(1, int(time_left / MILLISECOND)))),
        ]
        if target.address:
            own_headers.append((EXPECTED_INSTANCE, target.instance_id))
        caller_service = find_header(incoming.headers, CALLER_SERVICE)
        if caller_service is not None:
            own_headers.append((CALLER_SERVICE, caller_service))
        return HttpRequest(
            address=target.dial_address,
            method=incoming.method,
            path=incoming.path,
            headers=remove_fleet_headers(pass_on_headers(incoming.headers))
            + tuple(own_headers),
            body=incoming.body,
            idempotent=request.idempotent,
            time_left=time_left,
            expected_request_id=request.request_id
            if self.settings.caller_request_ids
            else "",
        )

    def track_answer(self, request: GateRequest, answer: Answer) -> Answer:
        """Return the answer; the slot is free when its body has ended."""
        result = RunResult.ANSWERED
        if answer.status in OVERLOAD_STATUSES:
            result = RunResult.REFUSED
        body = answer.body

        async def close() -> None:
            whole = body.complete
            await answer.close()
            self.end(request, result if whole else RunResult.ABANDONED)
            self.tell(request, None, answer.status, whole, body.failed)

        headers = remove_headers(answer.headers, DAEMON_ANSWER_HEADERS)
        return Answer(answer.status, headers, body, Verdict.RUN, close)

    def tell(
        self,
        request: GateRequest,
        error: RequestError | None,
        status: int = 0,
        whole: bool = True,
        cut: bool = False,
    ) -> None:
        """Tell the controllers what the backend server made of a request.

        :param whole: whether the whole answer was read.
        :param cut: whether the backend server broke the answer off.
        """
        work = judge_work(error, status, whole, cut)
        started_at = self.started.pop(request.serial, None)
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

    def end(
        self, request: GateRequest, result: RunResult, executed: bool = True
    ) -> None:
        """Free the slot of a request."""
        event = GateRequestEnded(request.serial, result, executed)
        self.apply_effects(self.controller.handle(event))

    def abandon(self, request: GateRequest) -> None:
        """Take a request out of the queue or free its slot."""
        event = GateRequestAbandoned(request.serial)
        self.apply_effects(self.controller.handle(event))

    def apply_effects(self, effects: list[Any]) -> None:
        """Wake the requests that the controller started or refused."""
        for effect in effects:
            self.apply(effect)

    @singledispatchmethod
    def apply(self, effect: Any) -> None:
        """Apply one effect; kinds that are not the gate's are an error."""
        raise TypeError(f"not an effect of the gate: {effect!r}")

    @apply.register
    def apply_start(self, effect: StartRequest) -> None:
        """Let a request go on; one that has just gone gives its slot back."""
        future = self.waiting.get(effect.serial)
        if future is not None and not future.done():
            future.set_result(None)

    @apply.register
    def apply_refusal(self, effect: RefuseRequest) -> None:
        """End a request that waits."""
        future = self.waiting.get(effect.serial)
        if future is not None and not future.done():
            future.set_exception(effect.error)
