"""ASGI application that proxies requests and responses without changing them.

BlackSheep only serves the daemon's own endpoints, since it would alter proxied
responses: it adds a content type and length of its own, ends a response at its first
empty chunk, and turns a failure within a response into a second response.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import Any

import attrs
import h11
from uvicorn.protocols.http.h11_impl import STATUS_PHRASES

from wagtailstep.exceptions import (
    BadRequestError,
    InvalidAnswerError,
    RequestError,
    TruncatedAnswerError,
)
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.headers import (
    BLAME,
    REQUEST_ID,
    Headers,
    find_header,
    read_int_header,
)
from wagtailstep.network.bodies import hold_to_length
from wagtailstep.network.early_answers import CLOSE_HEADER
from wagtailstep.network.http_connection import encode_headers
from wagtailstep.network.http_protocol import CONNECTION_KEY, ServerConnection
from wagtailstep.network.problems import (
    build_error_answer,
    build_internal_error,
    yield_body,
)
from wagtailstep.network.response_matching import decode_headers
from wagtailstep.utils.cancellation import is_own_cancellation
from wagtailstep.utils.logging import log_event

logger = logging.getLogger(__name__)

Handler = Callable[[IncomingRequest], Awaitable[Answer]]

# RFC 9110: a response with one of these has no body.
BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class FramingError(BadRequestError):
    """It is ambiguous where the request ends; its connection can't be reused."""


class ExchangeApp:
    """Pass each request to a handler and stream its response back.

    :param handle: handles the request and returns a response or raises
        :class:`wagtailstep.exceptions.RequestError`.
    """

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.closing = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request; abort the connection if its response is truncated."""
        connection: ServerConnection = scope[CONNECTION_KEY]
        answer = await self.call_handler(scope, receive)
        try:
            await self.send_answer(answer, send)
        except (InvalidAnswerError, TruncatedAnswerError) as error:
            log_event(logger, "answer-truncated", path=scope["path"], error=str(error))
            connection.abort_response()
        finally:
            await answer.close()

    def announce_closing(self) -> None:
        """Send ``Connection: close`` with every response from now on."""
        self.closing = True

    async def call_handler(self, scope: Any, receive: Any) -> Answer:
        """Return the handler's response, or a problem document on its failure.

        The head of the returned response can be written, and its body, if one is
        allowed, has the announced length or is truncated.
        """
        request_id = ""
        try:
            answer = await self.handle(read_request(scope, receive))
            request_id = find_header(answer.headers, REQUEST_ID) or ""
            return await prepare_answer(answer, scope["method"])
        except RequestError as error:
            log_event(
                logger,
                "request-failed",
                path=scope["path"],
                reason=error.reason,
                verdict=error.verdict.value,
                error=str(error),
            )
            return add_failure_headers(build_error_answer(error, request_id), error)
        except (Exception, asyncio.CancelledError) as error:
            if is_own_cancellation(error):
                raise
            logger.exception("event=handler-failed path=%s", scope["path"])
            return build_error_answer(build_internal_error())

    async def send_answer(self, answer: Answer, send: Any) -> None:
        """Write a response chunk by chunk, at the pace of the connection."""
        headers = encode_headers(answer.headers)
        if self.closing:
            headers.append(CLOSE_HEADER)
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        async for chunk in answer.body:
            if chunk:
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def prepare_answer(answer: Answer, method: str) -> Answer:
    """Return a response as it can be written; close it if it can't.

    :param method: method of the request.
    :raises InvalidAnswerError: if the response is not valid HTTP.
    """
    try:
        check_head(answer)
        body = answer.body
        length = read_int_header(answer.headers, "content-length")
        if method == "HEAD" or answer.status in BODILESS_STATUSES:
            body = drop_chunks(body)
        elif length is not None:
            body = hold_to_length(body, length)
        if length == 0:
            # Once the head is written, the response looks complete.
            body = yield_body(b"".join([chunk async for chunk in body]))
    except BaseException:
        await answer.close()
        raise
    return attrs.evolve(answer, body=body)


def check_head(answer: Answer) -> None:
    """Check that the head of a response is valid HTTP.

    uvicorn counts a response as started before it checks the head, and could then only
    drop the connection.

    :raises InvalidAnswerError: if the head can't be written.
    """
    try:
        headers = encode_headers(answer.headers)
        h11.Response(status_code=answer.status, headers=headers)
        if answer.status in STATUS_PHRASES:
            return
        fault = f"status {answer.status}"
    except (h11.LocalProtocolError, UnicodeError) as error:
        fault = str(error)
    raise InvalidAnswerError(f"the response is not valid HTTP: {fault}")


async def drop_chunks(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Read a body to its end without yielding anything."""
    async for _ in chunks:
        pass
    return
    yield b""


def add_failure_headers(answer: Answer, error: RequestError) -> Answer:
    """Return the response with the blame for the failure.

    After a request with an ambiguous end, the connection is closed.
    """
    added = [(BLAME, error.blame.value)]
    if isinstance(error, FramingError):
        added.append(("connection", "close"))
    return attrs.evolve(answer, headers=(*answer.headers, *added))


def read_request(scope: Any, receive: Any) -> IncomingRequest:
    """Convert an ASGI scope into a request.

    :raises FramingError: if it has two announced lengths, or its method is
        ``CONNECT``.
    """
    if scope["method"] == "CONNECT":
        status = HTTPStatus.METHOD_NOT_ALLOWED
        raise FramingError("method CONNECT is not supported", status)
    headers = decode_headers(scope["headers"])
    check_framing(headers)
    path = scope["raw_path"].decode("ascii")
    if scope["query_string"]:
        path += "?" + scope["query_string"].decode("ascii")
    peer = scope["client"][0] if scope.get("client") else ""
    return IncomingRequest(scope["method"], path, headers, read_body(receive), peer)


def check_framing(headers: Headers) -> None:
    """Reject a request with two announced lengths, a means of request smuggling.

    :raises FramingError: if both headers are present.
    """
    chunked = find_header(headers, "transfer-encoding") is not None
    if chunked and find_header(headers, "content-length") is not None:
        raise FramingError(
            "request has both content-length and transfer-encoding; send only one"
        )


async def read_body(receive: Any) -> AsyncIterator[bytes]:
    """Yield the body of a request; the caller is held back while it is not read.

    :raises BadRequestError: if the caller disconnects before its end.
    """
    more_body = True
    while more_body:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BadRequestError(
                "caller disconnected before the end of the request body"
            )
        if message["body"]:
            yield message["body"]
        more_body = message["more_body"]
