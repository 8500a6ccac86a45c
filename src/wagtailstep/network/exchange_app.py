"""ASGI application that carries requests and answers without changing them.

BlackSheep serves the daemon's own endpoints. Requests that are passed on go through
this thin layer instead: BlackSheep adds a content type and length of its own, ends
an answer at its first empty chunk, and turns a failure in the middle of an answer
into a second one, each of which would alter what the backend server said.
"""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import Any

import attrs

from wagtailstep.exceptions import (
    BadRequestError,
    RequestError,
    TruncatedAnswerError,
)
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.headers import BLAME, Headers, find_header
from wagtailstep.network.http_connection import decode_headers, encode_headers
from wagtailstep.network.http_protocol import CONNECTION_KEY, ServerConnection
from wagtailstep.network.problems import describe_error, make_internal_error
from wagtailstep.utils.logging import log_event

logger = logging.getLogger(__name__)

Handler = Callable[[IncomingRequest], Awaitable[Answer]]

CLOSE_HEADER = (b"connection", b"close")


class FramingError(BadRequestError):
    """It is in doubt where the request ends."""


class ExchangeApp:
    """Pass each request to a handler and stream its answer back.

    :param handle: takes the request and returns an answer or raises
        :class:`wagtailstep.exceptions.RequestError`.
    """

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.closing = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one exchange."""
        connection: ServerConnection = scope[CONNECTION_KEY]
        answer = await self.find_answer(scope, receive)
        try:
            await self.send_answer(answer, send)
        except TruncatedAnswerError as error:
            log_event(logger, "answer-truncated", path=scope["path"], error=str(error))
            connection.abort_response()
        finally:
            await answer.close()

    def announce_closing(self) -> None:
        """Have every answer from now on close its connection."""
        self.closing = True

    async def find_answer(self, scope: Any, receive: Any) -> Answer:
        """Return the handler's answer, or one that describes its failure."""
        try:
            return await self.handle(read_request(scope, receive))
        except RequestError as error:
            log_event(
                logger,
                "request-failed",
                path=scope["path"],
                reason=error.reason,
                verdict=error.verdict.value,
                error=str(error),
            )
            return add_headers(describe_error(error), error)
        except Exception:
            logger.exception("event=handler-failed path=%s", scope["path"])
            return describe_error(make_internal_error())

    async def send_answer(self, answer: Answer, send: Any) -> None:
        """Write an answer, chunk by chunk, as fast as the connection takes it."""
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


def add_headers(answer: Answer, error: RequestError) -> Answer:
    """Return the answer with what the failure speaks against.

    After a request whose end is in doubt the connection can't be used again.
    """
    added = [(BLAME, error.blame.value)]
    if isinstance(error, FramingError):
        added.append(("connection", "close"))
    return attrs.evolve(answer, headers=(*answer.headers, *added))


def read_request(scope: Any, receive: Any) -> IncomingRequest:
    """Turn an ASGI scope into a request.

    :raises BadRequestError: if its length is announced twice, or it asks for a
        tunnel.
    """
    if scope["method"] == "CONNECT":
        status = HTTPStatus.METHOD_NOT_ALLOWED
        raise FramingError("tunnels (CONNECT) are not served", status)
    headers = decode_headers(scope["headers"])
    check_framing(headers)
    path = scope["raw_path"].decode("ascii")
    if scope["query_string"]:
        path += "?" + scope["query_string"].decode("ascii")
    peer = scope["client"][0] if scope.get("client") else ""
    return IncomingRequest(scope["method"], path, headers, read_body(receive), peer)


def check_framing(headers: Headers) -> None:
    """Refuse a request with two announced lengths, which hides a second request.

    :raises FramingError: if both kinds of framing are present.
    """
    chunked = find_header(headers, "transfer-encoding") is not None
    if chunked and find_header(headers, "content-length") is not None:
        raise FramingError(
            "a request may have content-length or transfer-encoding, not both"
        )


async def read_body(receive: Any) -> AsyncIterator[bytes]:
    """Yield the body of a request; not reading it holds the caller back.

    :raises BadRequestError: if the caller cut it.
    """
    more_body = True
    while more_body:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BadRequestError("the caller closed the connection within the body")
        if message["body"]:
            yield message["body"]
        more_body = message["more_body"]
