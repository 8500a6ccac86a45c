"""Error responses of wagtailstep itself, as ``application/problem+json``."""

import math
from collections.abc import AsyncIterator
from datetime import timedelta
from http import HTTPStatus

import attrs
import msgspec

from wagtailstep.exceptions import RequestError
from wagtailstep.models import headers
from wagtailstep.models.exchange import Answer
from wagtailstep.models.headers import Headers
from wagtailstep.models.verdict import Verdict

INTERNAL_SERVER_ERROR = 500
DEFAULT_RETRY_AFTER = timedelta(seconds=1)
CONTENT_TYPE = "application/problem+json"


@attrs.frozen
class Problem:
    """A problem document according to RFC 9457.

    :param type: type of the problem, as a relative URI.
    :param title: short name of the type.
    :param status: HTTP status code.
    :param detail: what happened and what to do about it.
    :param verdict: whether a backend server may have run the request.
    :param request_id: identifier of the request.
    """

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    request_id: str


async def yield_body(data: bytes) -> AsyncIterator[bytes]:
    """Yield a complete body as one chunk, or nothing if it is empty."""
    if data:
        yield data


def build_error_answer(error: RequestError, request_id: str = "") -> Answer:
    """Return the error response for a failed request.

    :param error: how the request failed.
    :param request_id: identifier of the request, or ``""`` if it has none yet.
    """
    problem = Problem(
        type=f"/problems/{error.reason}",
        title=error.reason,
        status=error.status,
        detail=str(error),
        verdict=error.verdict.value,
        request_id=request_id,
    )
    body = msgspec.json.encode(problem)
    return Answer(
        status=error.status,
        headers=_build_headers(error, request_id, len(body)),
        body=yield_body(body),
        verdict=error.verdict,
    )


def _build_headers(error: RequestError, request_id: str, length: int) -> Headers:
    result = [
        ("content-type", CONTENT_TYPE),
        ("content-length", str(length)),
        (headers.VERDICT, error.verdict.value),
        (headers.REASON, error.reason),
        (headers.REQUEST_ID, request_id),
    ]
    if error.status == HTTPStatus.UNAUTHORIZED:
        # RFC 9110 section 15.5.2: the response has to name a scheme.
        result.append(("www-authenticate", "Wagtailstep-Credential"))
    retry_after = choose_retry_after(error)
    if retry_after is not None:
        seconds = max(1, math.ceil(retry_after.total_seconds()))
        result.append((headers.RETRY_AFTER, str(seconds)))
        exact_ms = max(0, retry_after // timedelta(milliseconds=1))
        result.append((headers.RETRY_AFTER_MS, str(exact_ms)))
    return tuple(result)


def choose_retry_after(error: RequestError) -> timedelta | None:
    """Return after which time the caller may retry; a 5xx rejection always has one."""
    if error.retry_after is not None:
        return error.retry_after
    refused = error.verdict is Verdict.NOT_RUN
    if refused and error.status >= INTERNAL_SERVER_ERROR:
        return DEFAULT_RETRY_AFTER
    return None


def build_internal_error() -> RequestError:
    """Return the error for an unexpected exception in the daemon."""
    return RequestError(
        "internal error in the daemon while it handled the request; see its log",
        Verdict.MAY_HAVE_RUN,
        INTERNAL_SERVER_ERROR,
    )
