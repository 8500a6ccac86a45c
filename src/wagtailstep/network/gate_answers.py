"""Reading of the gate's request headers and assessment of responses."""

from datetime import timedelta
from http import HTTPStatus

from wagtailstep.controllers.target_judge import FAILED_CALL_WINDOW
from wagtailstep.exceptions import (
    BadRequestError,
    ConnectionFailedError,
    DeadlineExceededError,
    NotExecutedError,
    RequestError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import TargetStanding
from wagtailstep.models.gate import GateRequest, RunResult, WorkResult
from wagtailstep.models.headers import (
    ACCOUNT,
    ACCOUNT_PRIORITY,
    AIM_MS,
    ATTEMPT_ID,
    CALL_REFUSED,
    CALLS,
    FINGERPRINT,
    IDEMPOTENT,
    KNOWN_RATE_LIMIT,
    MAY_WAIT,
    NOT_EXECUTED,
    PRIORITY,
    REQUEST_ID,
    ROUTE,
    STANDING,
    TARGET,
    TIMEOUT_MS,
    Headers,
    decode_text,
    find_header,
    read_int_header,
)
from wagtailstep.models.request import Blame
from wagtailstep.models.server_notices import NO_RATE_LIMIT
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import discard_answer
from wagtailstep.network.server_notices import parse_rate
from wagtailstep.utils.clock import Clock

MILLISECOND = timedelta(milliseconds=1)
# A backend server that rejects a request is full for about the time one request runs.
NOT_EXECUTED_RETRY_AFTER = timedelta(milliseconds=300)


def build_call_headers(
    board: Blackboard, route: str, status: int, clock: Clock
) -> Headers:
    """Return headers on the calls to other services that a run makes.

    A failure soon after a rejected call is marked as caused by it.
    """
    ratios = board.calls_per_run.get(route, {})
    text = ",".join(f"{name}={ratio:.2f}" for name, ratio in ratios.items())
    headers: Headers = ((CALLS, text),) if text else ()
    refused_at = board.call_refused_at
    failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if failed and refused_at is not None:
        if clock.monotonic() - refused_at < FAILED_CALL_WINDOW:
            headers += ((CALL_REFUSED, "?1"),)
    return headers


async def validate_answer(request: GateRequest, answer: Answer) -> None:
    """Check that a response belongs to the request and that the request was run.

    :raises RequestError: otherwise, with the verdict that the response allows.
    """
    headers = answer.headers
    answered_id = find_header(headers, REQUEST_ID)
    misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
    is_refusal = misdirected or find_header(headers, NOT_EXECUTED) is not None
    # Refusals may lack the identifier, but only those with it are matched to requests.
    if is_refusal and answered_id in (None, request.request_id):
        await discard_answer(answer)
        message = f"{request.target_id} rejected the request (status {answer.status})"
        error = NotExecutedError(message, NOT_EXECUTED_RETRY_AFTER)
        if misdirected:
            error.blame = Blame.BACKEND_SERVER
        raise error
    if answered_id != request.request_id:
        fault = "a response without the identifier of the request"
    elif find_header(headers, "content-encoding") is not None:
        fault = "a response with a content-encoding that was not requested"
    else:
        return
    await answer.close()
    raise ConnectionFailedError(
        f"{request.target_id} sent {fault}", Verdict.MAY_HAVE_RUN
    )


def read_gate_request(
    incoming: IncomingRequest, serial: int, now: timedelta
) -> GateRequest:
    """Read the entry's headers of a request.

    :param serial: number of the request at its gate.
    :param now: monotonic time.
    :raises BadRequestError: if a header is missing or invalid.
    """
    headers = incoming.headers
    request_id = require_header(headers, REQUEST_ID)
    aim_ms = read_int_header(headers, AIM_MS)
    return GateRequest(
        serial=serial,
        request_id=request_id,
        attempt_id=find_header(headers, ATTEMPT_ID) or request_id,
        target_id=require_header(headers, TARGET),
        route=find_header(headers, ROUTE) or "",
        idempotent=find_header(headers, IDEMPOTENT) == "?1",
        deadline=now + read_timeout(headers),
        priority=read_int_header(headers, PRIORITY) or 0,
        aim_deadline=None if aim_ms is None else now + aim_ms * MILLISECOND,
        arrived_at=now,
        may_wait=find_header(headers, MAY_WAIT) != "?0",
        expected_standing=read_standing(headers),
        known_rate_limit=read_known_rate_limit(headers),
        fingerprint=find_header(headers, FINGERPRINT) or "",
        account=decode_text(find_header(headers, ACCOUNT) or ""),
        account_priority=read_int_header(headers, ACCOUNT_PRIORITY),
    )


def read_known_rate_limit(headers: Headers) -> float:
    """Return the rate limit of the target as known to the entry."""
    text = find_header(headers, KNOWN_RATE_LIMIT)
    rates = [] if text is None else parse_rate(text)
    return rates[0] if rates else NO_RATE_LIMIT


def require_header(headers: Headers, name: str) -> str:
    """Return the value of a header.

    :raises BadRequestError: if it is missing.
    """
    value = find_header(headers, name)
    if not value:
        raise BadRequestError(f"header {name} is missing; requests to the gate need it")
    return value


def read_timeout(headers: Headers) -> timedelta:
    """Return the remaining timeout of a request.

    :raises BadRequestError: if the header is missing or not a number.
    """
    text = require_header(headers, TIMEOUT_MS)
    time_ms = read_int_header(headers, TIMEOUT_MS)
    if time_ms is None:
        raise BadRequestError(
            f"header {TIMEOUT_MS} is {text!r}; allowed: a number of milliseconds"
        )
    return time_ms * MILLISECOND


def read_standing(headers: Headers) -> TargetStanding:
    """Return the target's standing as known to the entry.

    The worst standing is assumed if the header is missing or out of range.
    """
    value = read_int_header(headers, STANDING)
    if value is None or value >= len(TargetStanding):
        return TargetStanding.FAILING
    return TargetStanding(value)


def assess_work(
    error: RequestError | None, status: int, complete: bool, truncated: bool
) -> WorkResult | None:
    """Return how a backend server handled a request.

    :param error: why there is no response, or ``None``.
    :param status: HTTP status of the response.
    :param complete: whether the complete response was read.
    :param truncated: whether the backend server truncated the response.
    :return: the result, or ``None`` if the end says nothing about the server.
    """
    if error is not None and error.blame is Blame.CALLER:
        return None
    if isinstance(error, NotExecutedError):
        return WorkResult.TURNED_AWAY
    if isinstance(error, DeadlineExceededError):
        return WorkResult.LATE
    if error is not None:
        return (
            WorkResult.BROKEN
            if error.may_have_been_received
            else WorkResult.UNREACHABLE
        )
    if truncated:
        return WorkResult.BROKEN
    if status == HTTPStatus.GATEWAY_TIMEOUT:
        return WorkResult.LATE
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return WorkResult.FAILED
    return WorkResult.DONE if complete else None


def assess_failure(error: RequestError) -> RunResult:
    """Return the result of a failed request, for the target's concurrency limit."""
    if isinstance(error, NotExecutedError):
        return RunResult.REFUSED
    if isinstance(error, DeadlineExceededError):
        return RunResult.TIMED_OUT
    return RunResult.ABANDONED


def blame_backend_server(error: RequestError) -> RequestError:
    """Blame the backend server, not the path or connection: they are loopback."""
    if error.blame in (Blame.PATH, Blame.CONNECTION):
        error.blame = Blame.BACKEND_SERVER
    return error
