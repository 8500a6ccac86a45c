"""What the gate reads from requests, and what answers tell of backend servers."""

from datetime import timedelta
from http import HTTPStatus

from wagtailstep.exceptions import (
    BadRequestError,
    ConnectionFailedError,
    DeadlineExceededError,
    NotExecutedError,
    RequestError,
)
from wagtailstep.models.exchange import Answer
from wagtailstep.models.fleet import TargetStanding
from wagtailstep.models.gate import GateRequest, RunResult, WorkResult
from wagtailstep.models.headers import (
    NOT_EXECUTED,
    REQUEST_ID,
    STANDING,
    TIMEOUT_MS,
    Headers,
    find_header,
    read_number,
)
from wagtailstep.models.request import Blame
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import discard_answer

MILLISECOND = timedelta(milliseconds=1)
# A backend server that turns a request away is full for about as long as one runs.
NOT_EXECUTED_RETRY_AFTER = timedelta(milliseconds=300)


async def validate_answer(request: GateRequest, answer: Answer) -> None:
    """Refuse what is no answer to this request, or says that it was not run.

    :raises RequestError: with the verdict that the answer allows.
    """
    headers = answer.headers
    misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
    if misdirected or find_header(headers, NOT_EXECUTED) is not None:
        await discard_answer(answer)
        message = f"{request.target_id} turned the request away ({answer.status})"
        error = NotExecutedError(message, NOT_EXECUTED_RETRY_AFTER)
        if misdirected:
            error.blame = Blame.BACKEND_SERVER
        raise error
    if find_header(headers, REQUEST_ID) != request.request_id:
        fault = "an answer without the identifier of the request"
    elif find_header(headers, "content-encoding") is not None:
        fault = "an encoded answer that nobody asked for"
    else:
        return
    await answer.close()
    raise ConnectionFailedError(
        f"{request.target_id} sent {fault}", Verdict.MAY_HAVE_RUN
    )


def require_header(headers: Headers, name: str) -> str:
    """Return the value of a header.

    :raises BadRequestError: if it is missing.
    """
    value = find_header(headers, name)
    if not value:
        raise BadRequestError(f"a request to the gate needs the header {name}")
    return value


def read_timeout(headers: Headers) -> timedelta:
    """Return the time left to a request.

    :raises BadRequestError: if the header is missing or no number.
    """
    text = require_header(headers, TIMEOUT_MS)
    time_ms = read_number(headers, TIMEOUT_MS)
    if time_ms is None:
        raise BadRequestError(f"{TIMEOUT_MS} is {text!r}, not a number of ms")
    return time_ms * MILLISECOND


def read_standing(headers: Headers) -> TargetStanding:
    """Return the standing that the entry knew; the worst one if it tells none."""
    value = read_number(headers, STANDING)
    if value is None or value >= len(TargetStanding):
        return TargetStanding.FAILING
    return TargetStanding(value)


def assess_work(
    error: RequestError | None, status: int, complete: bool, truncated: bool
) -> WorkResult | None:
    """Say what the end of a request tells of its backend server.

    :return: ``None`` if it tells nothing.
    """
    if error is not None and error.blame is Blame.CALLER:
        return None
    if isinstance(error, NotExecutedError):
        return WorkResult.TURNED_AWAY
    if isinstance(error, DeadlineExceededError):
        return WorkResult.LATE
    if error is not None:
        return WorkResult.BROKEN if error.counts_as_sent else WorkResult.UNREACHABLE
    if truncated:
        return WorkResult.BROKEN
    if status == HTTPStatus.GATEWAY_TIMEOUT:
        return WorkResult.LATE
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return WorkResult.FAILED
    return WorkResult.DONE if complete else None


def assess_failure(error: RequestError) -> RunResult:
    """Say what a failed exchange tells of the backend server's capacity."""
    if isinstance(error, NotExecutedError):
        return RunResult.REFUSED
    if isinstance(error, DeadlineExceededError):
        return RunResult.TIMED_OUT
    return RunResult.ABANDONED


def blame_backend_server(error: RequestError) -> RequestError:
    """Return the error; over loopback there is nothing else to blame."""
    if error.blame in (Blame.PATH, Blame.CONNECTION):
        error.blame = Blame.BACKEND_SERVER
    return error
