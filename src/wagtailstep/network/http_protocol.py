"""Server side of one HTTP/1.1 connection, based on uvicorn's protocol.

uvicorn parses and frames messages. This class adds what a proxy needs: the handler is
cancelled when the caller disconnects, a malformed request gets a verdict, and a
response that can't be completed ends the connection so that no client takes it for
complete.
"""

import asyncio
import logging
import re
import sys
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
import h11
from uvicorn.protocols.http.h11_impl import H11Protocol, RequestResponseCycle

from wagtailstep.models.connection import (
    DEFAULT_HEAD_BYTES,
    ConnectionEnd,
    ConnectionLimits,
)
from wagtailstep.models.headers import REQUEST_ID
from wagtailstep.network.early_answers import EarlyAnswer
from wagtailstep.network.head_limits import (
    HeadLimiter,
    LargeHeadMemory,
    LimitedConnection,
    build_refusal_headers,
    send_refusal,
)
from wagtailstep.network.sockets import reset_transport
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.cancellation import is_own_cancellation
from wagtailstep.utils.logging import log_event

logger = logging.getLogger(__name__)

# Pipelined requests that are read ahead; beyond that the caller is held back.
MAX_PIPELINED_BYTES = 65_536
CONNECTION_KEY = "wagtailstep.connection"
MS_PER_S = 1_000
# "illegal header line: bytearray(b'...')"
QUOTED_BYTES = re.compile(r":? *(bytearray\()?\bb['\"].*", re.DOTALL)
# The second one follows a request that offers to change to another protocol.
READ_REQUEST_STATES = frozenset({h11.DONE, h11.MIGHT_SWITCH_PROTOCOL})

# Silenced: uvicorn also logs malformed requests and unfinished responses, which this
# package already logs as key=value lines.
uvicorn_logger = logging.getLogger("wagtailstep.network.uvicorn")
uvicorn_logger.setLevel(logging.CRITICAL)


@attrs.define
class Wait:
    """A time during which a connection waits for its client.

    :param ended_by: what ends the connection if the wait takes too long.
    :param started_s: time of the event loop at its start.
    :param limit_s: the time that the connection may wait.
    """

    ended_by: ConnectionEnd
    started_s: float
    limit_s: float

    @property
    def ends_at_s(self) -> float:
        """Return the time of the event loop at which it has taken too long."""
        return self.started_s + self.limit_s


class ServerConnection(H11Protocol):
    """A connection from a caller or another daemon.

    uvicorn's keep-alive timer is the only one. It also limits the time for a head.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.logger = uvicorn_logger
        self.inner_app = self.app
        self.app = self.run_handler
        self.handler: asyncio.Task[None] | None = None
        self.ended_by: ConnectionEnd | None = None
        self.quiet_since_s = self.loop.time()
        self.get_limits: Callable[[], ConnectionLimits] = ConnectionLimits
        self.wait: Wait | None = None
        self.on_change: Callable[[], None] = do_nothing
        self.conn = LimitedConnection(h11.SERVER, DEFAULT_HEAD_BYTES)
        self.head_limiter = HeadLimiter(self, self.conn, LargeHeadMemory())
        self.received_bytes = 0

    @property
    def is_responding(self) -> bool:
        """Return whether a request was read whose response is incomplete."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def has_partial_head(self) -> bool:
        """Return whether a part of the next request's head has arrived."""
        return self.head_limiter.incomplete_bytes > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        super().connection_made(transport)
        self.update_wait()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; no time limit applies to a request once it is read."""
        self.received_bytes = len(data)
        super().data_received(data)
        self.update_wait()

    def on_response_complete(self) -> None:
        """Go on with the next request, or start to wait for it."""
        self.quiet_since_s = self.loop.time()
        self.head_limiter.release()
        self.received_bytes = 0
        super().on_response_complete()
        self.update_wait()
        self.on_change()

    def update_wait(self) -> None:
        """Wait for what the state of the connection asks for, or for nothing.

        A limit may fall due in the same turn of the event loop in which a request is
        read. It has to be stopped right then: the handler starts one turn later.
        """
        if self.transport.is_closing() or self.is_responding:
            self.stop_waiting()
        elif not self.has_partial_head:
            self.start_waiting(ConnectionEnd.IDLE_TIMEOUT)
        elif self.wait is None or self.wait.ended_by is ConnectionEnd.IDLE_TIMEOUT:
            self.start_waiting(ConnectionEnd.HEAD_TIMEOUT)
        else:
            # uvicorn stops its timer with each byte; the limit for a head goes on.
            self.start_timer(self.wait)

    def start_waiting(self, ended_by: ConnectionEnd) -> None:
        """Start to wait under the limit that is in force now."""
        limit_s = self.read_limit_s(ended_by)
        self.wait = Wait(ended_by, self.loop.time(), limit_s)
        self.start_timer(self.wait)

    def stop_waiting(self) -> None:
        """Stop the time limit of the connection, if any."""
        self.wait = None
        self._unset_keepalive_if_required()

    def start_timer(self, wait: Wait) -> None:
        """Start the timer in place of the one that runs, if any."""
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_at(
            wait.ends_at_s, self.timeout_keep_alive_handler
        )

    def read_limit_s(self, ended_by: ConnectionEnd) -> float:
        """Return the limit that is in force, in seconds."""
        return self.get_limits().get_timeout(ended_by).total_seconds()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection if it has waited for too long.

        Clients rely on a limit that became longer meanwhile. One that became shorter
        has not moved the timer, so that no wait is shorter than was allowed.
        """
        wait = self.wait
        if self.transport.is_closing() or wait is None:
            return
        wait.limit_s = self.read_limit_s(wait.ended_by)
        if self.loop.time() < wait.ends_at_s:
            self.start_timer(wait)
            return
        self.record_end(wait.ended_by)
        if wait.ended_by is ConnectionEnd.HEAD_TIMEOUT:
            self.refuse_late_head(wait)
        else:
            self.transport.close()

    def record_end(self, ended_by: ConnectionEnd) -> None:
        """Record what ended the connection; what follows from that is not recorded."""
        if self.ended_by is None:
            self.ended_by = ended_by

    async def run_handler(self, scope: Any, receive: Any, send: Any) -> None:
        """Run the application; cancellation by a disconnect is not an error."""
        self.handler = asyncio.current_task()
        started_s = self.loop.time()
        quiet_s = started_s - self.quiet_since_s
        scope[CONNECTION_KEY] = self
        answer = EarlyAnswer(self.conn, scope, receive, send)
        cycle = self.cycle
        try:
            # The connection may have ended in the turn that read the request.
            if not self.transport.is_closing():
                refusal = self.head_limiter.check_complete(scope)
                if refusal is None:
                    await self.inner_app(scope, receive, answer.send)
                else:
                    await send_refusal(refusal, answer.send)
                return
            self.log_interruption(scope, started_s, quiet_s)
        except (Exception, asyncio.CancelledError) as error:
            if not is_own_cancellation(error):
                self.handle_failure(scope, cycle)
                if not cycle.response_started:
                    raise
            elif answer.written:
                self.transport.close()
            else:
                self.log_interruption(scope, started_s, quiet_s)
                self.reset_connection()
        finally:
            # The handler of a pipelined request starts with the end of the response
            # before it, while the handler of that one may still be ending.
            if self.handler is asyncio.current_task():
                self.handler = None

    def handle_failure(self, scope: Any, cycle: RequestResponseCycle) -> None:
        """Log the error of a handler and end the connection within a response.

        Behind a complete response, the connection may already serve the next request.
        """
        request_id = read_request_id(scope)
        path = scope["path"]
        if cycle.response_complete:
            logger.exception(
                "event=response-end-failed request_id=%s path=%s", request_id, path
            )
            return
        self.record_end(ConnectionEnd.RESPONSE_FAILED)
        logger.exception(
            "event=response-failed request_id=%s path=%s ended_by=%s",
            request_id,
            path,
            self.ended_by.value,
        )
        if cycle.response_started:
            self.abort_response()

    def log_interruption(self, scope: Any, started_s: float, quiet_s: float) -> None:
        """Log that a request ended without its response, and what ended it.

        :param started_s: time of the event loop at which its handler started.
        :param quiet_s: time from the response before it until then, in seconds.
        """
        self.record_end(ConnectionEnd.CANCELLED)
        log_event(
            logger,
            "request-cancelled",
            request_id=read_request_id(scope),
            path=scope["path"],
            client=self.client,
            ended_by=self.ended_by.value,
            handled_ms=round((self.loop.time() - started_s) * MS_PER_S),
            quiet_before_ms=round(quiet_s * MS_PER_S),
        )

    def handle_events(self) -> None:
        """Handle parsed events, and go on to read behind a pipelined request.

        uvicorn stops to read there, and would not notice that the caller disconnects.
        """
        self.head_limiter.start_head(self.get_limits().max_head_bytes)
        super().handle_events()
        refusal = self.head_limiter.measure_incomplete(self.received_bytes)
        if refusal is not None:
            self.send_error_response(refusal.status, refusal.detail)
        if self.flow.read_paused and self.conn.their_state in READ_REQUEST_STATES:
            pipelined_bytes, _ = self.conn.trailing_data
            if len(pipelined_bytes) < MAX_PIPELINED_BYTES:
                self.flow.resume_reading()

    def eof_received(self) -> None:
        """Record that the caller ended its side; the transport then closes."""
        self.record_end(ConnectionEnd.CALLER_CLOSED)

    def shutdown(self) -> None:
        """Close the connection when it is idle, since the server stops."""
        super().shutdown()
        if self.transport.is_closing():
            self.record_end(ConnectionEnd.SERVER_STOPPED)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler if its response is incomplete: the caller has gone."""
        if exc is not None:
            self.record_end(ConnectionEnd.CONNECTION_FAILED)
        self.record_end(ConnectionEnd.CLOSED_BEHIND_RESPONSE)
        self.stop_waiting()
        self.head_limiter.release()
        was_responding = self.is_responding
        super().connection_lost(exc)
        if self.handler is not None and was_responding:
            self.handler.cancel()
        self.on_change()

    def abort_response(self) -> None:
        """End the connection so that its truncated response can't look complete.

        HTTP/1.1 frames responses, so closing the connection shows the truncation and
        still delivers what was written. An HTTP/1.0 response ends with its connection,
        so only a reset shows the truncation.
        """
        self.record_end(ConnectionEnd.RESPONSE_TRUNCATED)
        if self.scope["http_version"] == "1.0":
            self.reset_connection()
        else:
            self.transport.close()

    def reset_connection(self) -> None:
        """Reset the connection and drop undelivered data."""
        reset_transport(self.transport)

    def send_400_response(self, msg: str) -> None:
        """Reject a malformed request, or reset the connection within an exchange."""
        error = sys.exc_info()[1]
        status = getattr(error, "error_status_hint", 400)
        detail = remove_quoted_bytes(str(error or msg))
        log_event(
            logger,
            "malformed-request",
            level=logging.WARNING,
            client=self.client,
            status=status,
            error=detail,
        )
        self.record_end(ConnectionEnd.MALFORMED_REQUEST)
        if self.conn.our_state is not h11.IDLE or self.is_responding:
            self.reset_connection()
            return
        self.send_error_response(status, detail)

    def refuse_late_head(self, wait: Wait) -> None:
        """Reject a request whose head is still incomplete, so that it never runs."""
        log_event(
            logger,
            wait.ended_by.value,
            level=logging.WARNING,
            client=self.client,
            limit_ms=round(wait.limit_s * MS_PER_S),
        )
        self.send_error_response(408, "the head of the request took too long")

    def send_error_response(self, status: int, detail: str) -> None:
        """Write an error response without running a handler, and close."""
        events = [
            h11.Response(
                status_code=status,
                headers=build_refusal_headers(status),
                reason=HTTPStatus(status).phrase,
            ),
            h11.Data(data=f"{detail}\n".encode()),
            h11.EndOfMessage(),
        ]
        for event in events:
            self.transport.write(self.conn.send(event))
        self.transport.close()


def remove_quoted_bytes(text: str) -> str:
    """Return an error text of h11 without the part of the request that it quotes.

    The quoted header may hold the key of a client account.
    """
    return QUOTED_BYTES.sub("", text)


def read_request_id(scope: Any) -> str:
    """Return the identifier that the caller gave its request, or ``""``."""
    value = dict(scope["headers"]).get(REQUEST_ID.encode(), b"")
    return value.decode("latin-1")
