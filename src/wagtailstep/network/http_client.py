"""HTTP/1.1 client that sends each request at most once.

The client itself never retries. A connection whose response timed out, was cancelled,
was truncated or failed is closed and not reused.
"""

import asyncio
import functools
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

import h11

from wagtailstep.exceptions import (
    ConnectionFailedError,
    DeadlineExceededError,
    RequestError,
    TruncatedAnswerError,
)
from wagtailstep.models.exchange import Answer
from wagtailstep.models.headers import (
    GATE_ID,
    find_header,
    read_keep_alive,
    remove_hop_by_hop,
)
from wagtailstep.models.request import Blame
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.connection_watch import ConnectionWatch
from wagtailstep.network.deadlines import Deadline, limit_time
from wagtailstep.network.http_connection import (
    HttpConnection,
    HttpRequest,
    open_connection,
)
from wagtailstep.network.response_matching import decode_headers
from wagtailstep.network.sockets import reset_transport
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.clock import Clock

MAX_IDLE_PER_ADDRESS = 8
# A request must not cross the close of its connection.
USED_KEEP_ALIVE_SHARE = 0.8


class ResponseBody:
    """Streamed response body; releases its connection when it is complete.

    :param client: client whose pool the connection is released to.
    :param connection: connection that the body is read from.
    :param deadline: limits each read of the body.
    :param status: status of the response.
    """

    def __init__(
        self,
        client: "HttpClient",
        connection: HttpConnection,
        deadline: Deadline,
        status: int,
    ) -> None:
        self.client = client
        self.connection = connection
        self.deadline = deadline
        self.status = status
        self.ended = False
        self.complete = False
        self.failed = False

    def __aiter__(self) -> "ResponseBody":
        """Return this iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        :raises TruncatedAnswerError: if the response ends before it is complete.
        """
        if self.ended:
            raise StopAsyncIteration
        event = await self.read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self.ended = True
        self.complete = True
        self.client.release(self.connection)
        raise StopAsyncIteration

    @property
    def needs_confirmation(self) -> bool:
        """Return whether the end of the connection may have cut the response short.

        An early rejection is passed on at once: the rest of the request is not wanted.
        """
        return self.status < HTTPStatus.BAD_REQUEST and self.connection.ends_with_close

    async def read_event(self) -> h11.Event:
        """Read one event; close the connection on failure."""
        address = self.connection.address
        try:
            async with self.deadline:
                event = await self.connection.read_event()
                if isinstance(event, h11.EndOfMessage) and self.needs_confirmation:
                    await self.connection.confirm_close()
                return event
        except TimeoutError as error:
            await self.close()
            self.failed = True
            message = f"the response from {address} was incomplete at its deadline"
            raise TruncatedAnswerError(message) from error
        except h11.RemoteProtocolError as error:
            await self.close()
            self.failed = True
            message = f"the response from {address} was truncated: {error}"
            raise TruncatedAnswerError(message) from error
        except OSError as error:
            await self.close()
            self.failed = True
            message = f"the connection to {address} failed during a response: {error}"
            truncation = TruncatedAnswerError(message)
            truncation.blame = Blame.PATH
            raise truncation from error
        except BaseException:
            await self.close()
            raise

    async def close(self) -> None:
        """Close the connection unless the body was read completely."""
        if not self.ended:
            self.ended = True
            self.connection.close()


class HttpClient:
    """Send requests over a small pool of persistent connections per address.

    :param settings: time limits of connections.
    :param clock: source of monotonic time.
    """

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.pools: dict[str, deque[HttpConnection]] = {}
        self.idle_limit = timedelta(milliseconds=settings.connection_idle_ms)
        self.on_unreachable: Callable[[str], None] = do_nothing
        self.closed = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def send(self, request: HttpRequest) -> Answer:
        """Send one request once and return its response as soon as the head arrives.

        :raises RequestError: with the verdict ``NOT_RUN`` only if no byte of the
            request was written.
        """
        deadline = limit_time(request.time_left)
        connection = await self.acquire(request)
        if deadline.has_passed:
            connection.close()
            message = f"no time was left to send the request to {request.address}"
            error = DeadlineExceededError(message, Verdict.NOT_RUN)
            error.blame = Blame.CALLER
            raise error
        watch = self.create_silence_watch(connection, request)
        try:
            async with deadline:
                head = await connection.exchange_heads(request)
        except (OSError, h11.ProtocolError) as error:
            connection.close()
            raise build_failure(error, connection) from error
        except BaseException as error:
            connection.close()
            if isinstance(error, RequestError):
                error.verdict = get_failure_verdict(connection)
            raise
        finally:
            if watch is not None:
                watch.stop()
        body = ResponseBody(self, connection, deadline, head.status_code)
        all_headers = decode_headers(head.headers)
        connection.keep_alive = read_keep_alive(all_headers)
        headers = remove_hop_by_hop(all_headers)
        # Refusals of a gate lack its identifier; the connection keeps the known one.
        connection.gate_id = find_header(headers, GATE_ID) or connection.gate_id
        return Answer(head.status_code, headers, body, Verdict.RUN, body.close)

    def create_silence_watch(
        self, connection: HttpConnection, request: HttpRequest
    ) -> ConnectionWatch | None:
        """Return a watch for an unresponsive reused connection to a gate."""
        if connection.gate_id and request.attempt_id:
            return ConnectionWatch(connection, request, self.send, self.on_unreachable)
        return None

    async def acquire(self, request: HttpRequest) -> HttpConnection:
        """Return an idle connection from the pool or open a new one.

        A non-idempotent request reuses a connection only if it delivered a response
        recently.

        :raises RequestError: if no connection can be opened; nothing was sent.
        """
        connection = self.pop_idle(request)
        if connection is not None:
            return connection
        connect_timeout = timedelta(milliseconds=self.settings.connect_timeout_ms)
        limit = min(connect_timeout, request.time_left)
        try:
            async with limit_time(limit):
                return await open_connection(request.address, self.clock.monotonic())
        except OSError as error:
            message = f"could not connect to {request.address}: {error or 'timeout'}"
            if isinstance(error, TimeoutError) and limit < connect_timeout:
                raise DeadlineExceededError(message, Verdict.NOT_RUN) from error
            raise ConnectionFailedError(message, Verdict.NOT_RUN) from error

    def compute_max_age(self, request: HttpRequest) -> timedelta:
        """Return the maximum time since the last response for reusing a connection."""
        if request.idempotent:
            return self.idle_limit
        return timedelta(milliseconds=self.settings.unsafe_idle_ms)

    async def is_listening(self, address: str, timeout: timedelta) -> bool:
        """Return whether a server accepts connections; the connection is kept.

        A server that doesn't respond in time may be listening.
        """
        try:
            async with limit_time(timeout):
                connection = await open_connection(address, self.clock.monotonic())
        except TimeoutError:
            return True
        except OSError:
            return False
        if self.closed:
            connection.close()
        else:
            self.keep_idle(connection)
        return True

    def pop_idle(self, request: HttpRequest) -> HttpConnection | None:
        """Return the most recently used connection that is fit for a request."""
        pool = self.pools.get(request.address, deque())
        max_age = self.compute_max_age(request)
        now = self.clock.monotonic()
        for connection in reversed(tuple(pool)):
            if not connection.is_clean or self.is_near_close(connection, now):
                pool.remove(connection)
                connection.close()
            elif now - connection.last_response_at > max_age:
                return None
            elif not connection.matcher.may_match(request.expected_request_id):
                continue
            elif connection.has_unseen_input:
                pool.remove(connection)
                connection.close()
            else:
                connection.reader.on_unasked = None
                pool.remove(connection)
                return connection
        return None

    def is_near_close(self, connection: HttpConnection, now: timedelta) -> bool:
        """Return whether the server said that it closes a connection about now."""
        if connection.keep_alive is None:
            return False
        limit = connection.keep_alive * USED_KEEP_ALIVE_SHARE
        return now - connection.last_response_at > limit

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool after a complete response, or close it."""
        now = self.clock.monotonic()
        if not connection.finish_exchange(now) or self.closed:
            connection.close()
            return
        self.keep_idle(connection)

    def keep_idle(self, connection: HttpConnection) -> None:
        """Add a connection to the pool; it is closed if bytes arrive meanwhile."""
        connection.reader.on_unasked = functools.partial(
            reset_transport, connection.writer.transport
        )
        pool = self.pools.setdefault(connection.address, deque())
        pool.append(connection)
        if len(pool) > MAX_IDLE_PER_ADDRESS:
            pool.popleft().close()
        if self.sweep_timer is None:
            self.start_sweep_timer()

    def start_sweep_timer(self) -> None:
        """Schedule the next sweep of idle connections."""
        loop = asyncio.get_running_loop()
        delay = self.idle_limit.total_seconds()
        self.sweep_timer = loop.call_later(delay, self.close_expired)

    def close_expired(self) -> None:
        """Close connections past the idle limit and schedule the next sweep."""
        now = self.clock.monotonic()
        for address, pool in list(self.pools.items()):
            while pool and now - pool[0].idle_since > self.idle_limit:
                pool.popleft().close()
            if not pool:
                del self.pools[address]
        self.sweep_timer = None
        if self.pools:
            self.start_sweep_timer()

    def close(self) -> None:
        """Close all idle connections; those in use are closed on release."""
        self.closed = True
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for pool in self.pools.values():
            for connection in list(pool):
                connection.close()
        self.pools.clear()


def get_failure_verdict(connection: HttpConnection) -> Verdict:
    """Return whether a request whose exchange failed may have been run."""
    return Verdict.MAY_HAVE_RUN if connection.bytes_sent else Verdict.NOT_RUN


def build_failure(error: Exception, connection: HttpConnection) -> RequestError:
    """Return the error for a failed exchange, with its verdict and blame."""
    if connection.failure is not None:
        return connection.failure
    verdict = get_failure_verdict(connection)
    address = connection.address
    if isinstance(error, TimeoutError):
        return DeadlineExceededError(
            f"no response from {address} within the time limit", verdict
        )
    message = f"the connection to {address} failed: {error}"
    failure = ConnectionFailedError(message, verdict)
    if connection.reused:
        failure.blame = Blame.CONNECTION
    return failure
