"""Server side of one HTTP/1.1 connection: uvicorn's protocol, made strict.

uvicorn parses and frames; this class adds what a proxy needs: a caller that goes
away cancels the handler, a malformed request gets a verdict, and an answer that
can't be completed breaks the connection in a way no client takes for its end.
"""

import asyncio
import logging
import sys
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from wagtailstep.models.headers import REASON, VERDICT
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.http_connection import reset_transport
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.logging import log_event

logger = logging.getLogger(__name__)

HEAD_TIMEOUT_S = 75
CONNECTION_KEY = "wagtailstep.connection"

# uvicorn logs a malformed request and an unfinished answer on its own; each is
# logged once, by this package, as a key=value line.
uvicorn_logger = logging.getLogger("wagtailstep.network.uvicorn")
uvicorn_logger.setLevel(logging.CRITICAL)


class ServerConnection(H11Protocol):
    """One connection of a caller or of another daemon."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.logger = uvicorn_logger
        self.inner_app = self.app
        self.app = self.run_handler
        self.handler: asyncio.Task[None] | None = None
        self.on_connection_lost: Callable[[], None] = do_nothing
        self.head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        super().connection_made(transport)
        self.start_head_timer()

    def start_head_timer(self) -> None:
        """Close the connection if no whole head of a request arrives in time.

        uvicorn's own limit begins anew with each byte.
        """
        self.head_timer = self.loop.call_later(HEAD_TIMEOUT_S, self.transport.close)

    def cancel_head_timer(self) -> None:
        """Leave the connection open for as long as its request takes."""
        if self.head_timer is not None:
            self.head_timer.cancel()

    async def run_handler(self, scope: Any, receive: Any, send: Any) -> None:
        """Run the application; being cancelled by the caller's leaving is no error."""
        self.handler = asyncio.current_task()
        self.cancel_head_timer()
        scope[CONNECTION_KEY] = self
        try:
            await self.inner_app(scope, receive, send)
        except asyncio.CancelledError:
            log_event(
                logger, "request-cancelled", path=scope["path"], client=self.client
            )
            self.reset_connection()
        finally:
            self.handler = None
            if not self.transport.is_closing():
                self.start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler: nobody waits for its answer any more."""
        self.cancel_head_timer()
        answered = self.cycle is None or self.cycle.response_complete
        super().connection_lost(exc)
        if self.handler is not None and not answered:
            self.handler.cancel()
        self.on_connection_lost()

    def abort_response(self) -> None:
        """End the connection so that the answer on it can't look whole.

        HTTP/1.1 frames its answers, so the end of the connection shows that this one
        is cut, and what was written still arrives. An answer of HTTP/1.0 ends with
        its connection; only a reset shows that it is cut.
        """
        if self.scope["http_version"] == "1.0":
            self.reset_connection()
        else:
            self.transport.close()

    def reset_connection(self) -> None:
        """Reset the connection; what was not delivered yet is dropped."""
        reset_transport(self.transport)

    def send_400_response(self, msg: str) -> None:
        """Answer a malformed request, or break the exchange it is part of."""
        error = sys.exc_info()[1]
        status = getattr(error, "error_status_hint", 400)
        log_event(
            logger,
            "malformed-request",
            level=logging.WARNING,
            client=self.client,
            status=status,
            error=error or msg,
        )
        if self.conn.our_state is not h11.IDLE or self.handler is not None:
            self.reset_connection()
            return
        self.send_error_response(status, str(error or msg))

    def send_error_response(self, status: int, detail: str) -> None:
        """Write a final answer without any handler, and close."""
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"connection", b"close"),
            (VERDICT.encode(), Verdict.NOT_RUN.value.encode()),
            (REASON.encode(), b"bad-request"),
        ]
        events = [
            h11.Response(
                status_code=status, headers=headers, reason=HTTPStatus(status).phrase
            ),
            h11.Data(data=f"{detail}\n".encode()),
            h11.EndOfMessage(),
        ]
        for event in events:
            self.transport.write(self.conn.send(event))
        self.transport.close()
