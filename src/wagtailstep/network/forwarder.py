"""Forwards requests from the entry to the gate beside a target.

The gate may be on this instance or on another one.
"""

import itertools
from datetime import timedelta

import msgspec

from wagtailstep.exceptions import (
    BadRequestError,
    ConnectionFailedError,
    CrashingRequestError,
    DeadlineExceededError,
    DoubtedTargetError,
    DuplicateRequestError,
    InvalidAnswerError,
    LeavingError,
    NoTargetError,
    NotExecutedError,
    OverloadedError,
    RequestError,
    ServerCrashedError,
    TruncatedAnswerError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import (
    AIM_MS,
    ATTEMPT_ID,
    BLAME,
    CALLER_SERVICE,
    FINGERPRINT,
    IDEMPOTENT,
    KNOWN_RATE_LIMIT,
    MAY_WAIT,
    PRIORITY,
    REASON,
    REQUEST_ID,
    RETRY_AFTER,
    RETRY_AFTER_MS,
    ROUTE,
    STANDING,
    TARGET,
    TIMEOUT_MS,
    VERDICT,
    Headers,
    build_forwarded_headers,
    find_header,
    read_int_header,
    remove_fleet_headers,
)
from wagtailstep.models.request import Blame, RequestContext
from wagtailstep.models.server_notices import NO_RATE_LIMIT
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.account_headers import build_account_headers
from wagtailstep.network.gate import GateService
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.utils.codec import DECODE_FAILURES

MILLISECOND = timedelta(milliseconds=1)
GATE_DEADLINE_MARGIN = timedelta(milliseconds=20)
MAX_PROBLEM_BYTES = 16_384
# Larger bodies use "Expect: 100-continue", which costs a round trip.
SMALL_BODY_BYTES = 16_384

ERROR_TYPES: dict[str, type[RequestError]] = {
    error_type.reason: error_type
    for error_type in (
        BadRequestError,
        ConnectionFailedError,
        CrashingRequestError,
        DeadlineExceededError,
        DoubtedTargetError,
        DuplicateRequestError,
        InvalidAnswerError,
        LeavingError,
        NotExecutedError,
        NoTargetError,
        OverloadedError,
        RequestError,
        ServerCrashedError,
        TruncatedAnswerError,
    )
}


class HttpForwarder:
    """Send attempts to gates over HTTP, or by a method call within this daemon.

    :param blackboard: provides this daemon's identifier.
    :param client: sends requests to the gates of other daemons.
    :param gate: the gate of this daemon.
    :param caller_service: service of the instance that the callers run on, if known.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        client: HttpClient,
        gate: GateService,
        caller_service: str = "",
    ) -> None:
        self.blackboard = blackboard
        self.client = client
        self.gate = gate
        self.caller_service = caller_service
        self.attempt_serials = itertools.count(1)

    async def forward(
        self,
        request: RequestContext,
        gate: Member,
        target_id: str,
        incoming: IncomingRequest,
        time_left: timedelta,
    ) -> Answer:
        """Send the request once, without a retry, and return its response.

        :raises RequestError: with the verdict; ``NOT_RUN`` only if it is certain.
        """
        attempt_id = f"{request.request_id}.{next(self.attempt_serials)}"
        headers = build_gate_headers(request, target_id, incoming, time_left)
        headers += (
            (ATTEMPT_ID, attempt_id),
            *build_scheduling_headers(request, self.client.clock.monotonic()),
        )
        if self.caller_service:
            headers += ((CALLER_SERVICE, self.caller_service),)
        if gate.daemon_id == self.blackboard.this_member.daemon_id:
            local = IncomingRequest(
                incoming.method, request.path, headers, incoming.body
            )
            return await self.gate.handle(local)
        sent = HttpRequest(
            address=gate.gate_address,
            method=incoming.method,
            path=request.path,
            headers=add_expect_continue(headers),
            body=incoming.body,
            idempotent=request.idempotent,
            time_left=time_left,
            attempt_id=attempt_id,
        )
        try:
            answer = await self.client.send(sent)
        except DeadlineExceededError as error:
            # A reachable gate reports an exceeded deadline itself, slightly earlier.
            if error.verdict is not Verdict.NOT_RUN:
                error.blame = Blame.PATH
            raise
        return await validate_answer(answer, request.request_id)


def build_scheduling_headers(request: RequestContext, now: timedelta) -> Headers:
    """Return the headers by which the gate queues a request.

    :param now: monotonic time.
    """
    headers: Headers = ()
    if request.priority:
        headers += ((PRIORITY, str(request.priority)),)
    if request.aim_deadline is not None:
        time_to_aim = max(timedelta(), request.aim_deadline - now)
        headers += ((AIM_MS, str(time_to_aim // MILLISECOND)),)
    if not request.may_wait:
        headers += ((MAY_WAIT, "?0"),)
    if request.known_rate_limit != NO_RATE_LIMIT:
        headers += ((KNOWN_RATE_LIMIT, f"{request.known_rate_limit:f}"),)
    if request.fingerprint:
        headers += ((FINGERPRINT, request.fingerprint),)
    headers += build_account_headers(request)
    return (*headers, (STANDING, str(int(request.expected_standing))))


def build_gate_headers(
    request: RequestContext,
    target_id: str,
    incoming: IncomingRequest,
    time_left: timedelta,
) -> Headers:
    """Return the headers for the gate.

    The gate gets an earlier deadline, so that its report of an exceeded deadline
    arrives before this daemon times out.
    """
    margin = min(GATE_DEADLINE_MARGIN, time_left / 10)
    gate_headers = (
        (REQUEST_ID, request.request_id),
        (TARGET, target_id),
        (ROUTE, request.route),
        (IDEMPOTENT, "?1" if request.idempotent else "?0"),
        (TIMEOUT_MS, str(max(0, int((time_left - margin) / MILLISECOND)))),
    )
    return (
        remove_fleet_headers(build_forwarded_headers(incoming.headers)) + gate_headers
    )


def add_expect_continue(headers: Headers) -> Headers:
    """Add ``Expect: 100-continue`` if the body is large.

    A gate that rejects the request then leaves the body unread, so that it can be
    sent to another gate. Small bodies are buffered by the entry and can be resent.
    """
    length = find_header(headers, "content-length") or "0"
    chunked = find_header(headers, "transfer-encoding") is not None
    if chunked or int(length) > SMALL_BODY_BYTES:
        return (*headers, ("expect", "100-continue"))
    return headers


async def validate_answer(answer: Answer, request_id: str) -> Answer:
    """Return the response if it is the backend server's response to this request.

    :raises RequestError: if the gate rejected the request, or if the response
        belongs to another request.
    """
    if find_header(answer.headers, REASON) is not None:
        raise await read_refusal(answer)
    if find_header(answer.headers, REQUEST_ID) == request_id:
        return answer
    await answer.close()
    error = ConnectionFailedError(
        "received a response to another request; it was dropped", Verdict.MAY_HAVE_RUN
    )
    error.blame = Blame.CONNECTION
    raise error


async def read_refusal(answer: Answer) -> RequestError:
    """Rebuild the error from the gate's problem document and headers."""
    detail = await read_detail(answer)
    headers = answer.headers
    error_type = ERROR_TYPES.get(find_header(headers, REASON) or "", RequestError)
    error = error_type.__new__(error_type)
    RequestError.__init__(
        error,
        detail,
        read_verdict(headers),
        answer.status,
        read_retry_after(headers),
    )
    blame = find_header(headers, BLAME)
    if blame in {member.value for member in Blame}:
        error.blame = Blame(blame)
    return error


async def read_detail(answer: Answer) -> str:
    """Return the detail of a problem document, or a default text."""
    data = b""
    try:
        async for chunk in answer.body:
            data += chunk
            if len(data) > MAX_PROBLEM_BYTES:
                break
        return msgspec.json.decode(data, type=Problem).detail
    except (TruncatedAnswerError, *DECODE_FAILURES):
        return "the gate rejected the request without a readable reason"
    finally:
        await answer.close()


class Problem(msgspec.Struct):
    """The part of a problem document that the entry reads."""

    detail: str


def read_verdict(headers: Headers) -> Verdict:
    """Return the gate's verdict, or ``MAY_HAVE_RUN`` if it is missing or unknown."""
    value = find_header(headers, VERDICT)
    known = {verdict.value for verdict in Verdict}
    return Verdict(value) if value in known else Verdict.MAY_HAVE_RUN


def read_retry_after(headers: Headers) -> timedelta | None:
    """Return the time after which a retry at the gate makes sense, if it tells one."""
    exact_ms = read_int_header(headers, RETRY_AFTER_MS)
    if exact_ms is not None:
        return exact_ms * MILLISECOND
    seconds = read_int_header(headers, RETRY_AFTER)
    return None if seconds is None else timedelta(seconds=seconds)
