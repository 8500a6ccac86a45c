"""Client side of one HTTP/1.1 connection, without pipelining."""

import asyncio
import select
from collections.abc import AsyncIterator, Callable
from datetime import timedelta

import attrs
import h11

from wagtailstep.exceptions import BadRequestError, RequestError
from wagtailstep.models.headers import Headers, find_header
from wagtailstep.network.response_matching import ResponseMatcher, decode_headers
from wagtailstep.network.sockets import is_reset, poll_socket, reset_transport
from wagtailstep.utils.callbacks import retrieve_exception

READ_SIZE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Interim responses (1xx) of one exchange, and bytes of a late response, that are read
# before the connection is given up.
MAX_INTERIM_RESPONSES = 32
MAX_SKIPPED_BYTES = 1_048_576
CONTINUE = 100
MAX_STATUS = 599
# Time for the reset that follows bytes sent to a closed socket.
RESET_DELAY = timedelta(milliseconds=20)


@attrs.frozen
class HttpRequest:
    """A request to send once over one connection.

    :param address: ``host:port`` of the server.
    :param method: HTTP method in capitals.
    :param path: path and query string.
    :param headers: pairs of lower-case name and value. A body is sent only with a
        ``content-length`` other than 0 or with ``transfer-encoding``.
    :param body: chunks of the body, read with back-pressure from the connection.
    :param idempotent: whether it is safe to run the request twice.
    :param time_left: time until the complete response must have arrived.
    :param attempt_id: identifier of this attempt at the gate; empty for requests
        that are not sent to a gate.
    :param expected_request_id: request identifier that the response echoes; responses
        to earlier requests are skipped. Empty disables the check.
    :param silence_timeout: time without a response after which the gate is queried,
        over a new connection, for the state of the attempt.
    """

    address: str
    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes] | None
    idempotent: bool
    time_left: timedelta
    attempt_id: str = ""
    expected_request_id: str = ""
    silence_timeout: timedelta = timedelta(seconds=1)

    @property
    def expects_continue(self) -> bool:
        """Return whether to wait for ``100 Continue`` before sending the body."""
        return find_header(self.headers, "expect") is not None

    @property
    def has_body(self) -> bool:
        """Return whether the headers declare a body."""
        length = find_header(self.headers, "content-length")
        chunked = find_header(self.headers, "transfer-encoding")
        return length not in (None, "0") or chunked is not None


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes received.

    An idle connection that has received bytes can't be reused: they would be parsed
    as the response to the next request.

    Attributes: ``on_unasked``, called when bytes arrive on an idle connection.
    """

    def __init__(self) -> None:
        super().__init__(limit=READ_SIZE_BYTES)
        self.bytes_received = 0
        self.on_unasked: Callable[[], None] | None = None

    def feed_data(self, data: bytes) -> None:
        """Count and buffer received bytes."""
        self.bytes_received += len(data)
        super().feed_data(data)
        if self.on_unasked is not None:
            self.on_unasked()


class HttpConnection:
    """A client connection and the state of the exchange on it.

    :param address: ``host:port`` of the server.
    :param reader: stream from the server.
    :param writer: stream to the server.
    :param now: monotonic time.
    """

    def __init__(
        self,
        address: str,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        now: timedelta,
    ) -> None:
        self.address = address
        self.reader = reader
        self.writer = writer
        self.last_response_at = now
        self.idle_since = now
        self.keep_alive: timedelta | None = None
        self.reused = False
        self.bytes_sent = False
        self.gate_id = ""
        self.failure: RequestError | None = None
        self.bytes_consumed = 0
        self.body_sender: asyncio.Task[None] | None = None
        self.matcher = ResponseMatcher()
        self.state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    @property
    def is_clean(self) -> bool:
        """Return whether the idle connection is open and has no unread bytes."""
        if self.writer.is_closing() or self.reader.at_eof():
            return False
        return self.bytes_consumed == self.reader.bytes_received

    @property
    def has_unseen_input(self) -> bool:
        """Return whether the socket holds bytes, or an end, not read from it yet.

        After the process stood still, a server that closed the connection meanwhile is
        noticed by this at once, by the event loop only in its next turn.
        """
        return bool(poll_socket(self.writer.transport, select.POLLIN))

    def write_event(self, event: h11.Event) -> None:
        """Write one event of the request.

        :raises h11.LocalProtocolError: if the event is invalid; nothing was sent.
        """
        data = self.state.send(event)
        if data:
            self.bytes_sent = True
            self.writer.write(data)

    def start_request(self, request: HttpRequest) -> None:
        """Write the request head, and the end of the message if there is no body.

        :raises BadRequestError: if the head is not valid HTTP; nothing was sent.
        """
        headers = request.headers
        if find_header(headers, "host") is None:
            headers = (("host", request.address), *headers)
        try:
            self.write_event(
                h11.Request(
                    method=request.method,
                    target=request.path,
                    headers=encode_headers(headers),
                )
            )
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise BadRequestError(f"the request is not valid HTTP: {error}") from error
        if not request.has_body:
            self.write_event(h11.EndOfMessage())

    async def send_body(self, body: AsyncIterator[bytes]) -> None:
        """Write the body with back-pressure.

        If the body fails after the response has started, the connection is aborted,
        since the server would wait for the rest.
        """
        try:
            async for chunk in body:
                if chunk:
                    self.write_event(h11.Data(data=chunk))
                    await self.writer.drain()
            self.write_event(h11.EndOfMessage())
        except BaseException:
            if self.state.their_state is not h11.SEND_RESPONSE:
                self.writer.transport.abort()
            raise

    async def read_event(self) -> h11.Event:
        """Read one event of the response.

        :raises h11.RemoteProtocolError: if the server sends invalid HTTP or closes the
            connection within a message.
        :raises OSError: if the connection failed.
        """
        event = self.state.next_event()
        while event is h11.NEED_DATA:
            data = await self.reader.read(READ_SIZE_BYTES)
            self.bytes_consumed += len(data)
            self.state.receive_data(data)
            event = self.state.next_event()
        return event

    async def read_head(self, awaited_status: int | None = None) -> h11.Response | None:
        """Read the head of the final response and skip informational ones (1xx).

        :param awaited_status: status of the informational response to wait for.
        :return: ``None`` if that came first.
        :raises ConnectionResetError: if there are too many informational ones.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            event = await self.read_event()
            if not isinstance(event, h11.InformationalResponse):
                return self.require_head(event)
            if event.status_code == awaited_status:
                return None
        raise ConnectionResetError("the server sends interim responses without end")

    def require_head(self, event: h11.Event) -> h11.Response:
        """Return the event if it is the head of a response.

        :raises ConnectionResetError: if the server closed the connection instead, or
            sent a status that HTTP doesn't define.
        """
        if not isinstance(event, h11.Response):
            raise ConnectionResetError(
                "the server closed the connection without a response"
            )
        if event.status_code > MAX_STATUS:
            raise ConnectionResetError(f"the server sent status {event.status_code}")
        return event

    async def exchange_heads(self, request: HttpRequest) -> h11.Response:
        """Send the request and return the head of the response.

        The server may respond before it has read the body, so the body may still be
        being sent when this returns.
        """
        self.bytes_sent = False
        self.matcher.start(request.expected_request_id)
        self.start_request(request)
        if request.body is None or not request.has_body:
            return await self.accept_head(await self.read_head())
        if request.expects_continue:
            final_head = await self.read_head(CONTINUE)
            if final_head is not None:
                return await self.accept_head(final_head)
        self.body_sender = asyncio.create_task(self.send_body(request.body))
        head_task = asyncio.create_task(self.read_head())
        head_task.add_done_callback(retrieve_exception)
        try:
            await asyncio.wait(
                {self.body_sender, head_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not head_task.done():
                self.raise_body_error()
            return await self.accept_head(await head_task)
        finally:
            head_task.cancel()

    async def accept_head(self, head: h11.Response) -> h11.Response:
        """Return the head of the response to this request; skip earlier responses.

        :param head: the first head that was read.
        :raises ConnectionResetError: if an earlier response can't be skipped.
        """
        while self.matcher.is_stale(decode_headers(head.headers)) and self.reused:
            if self.body_sender is not None:
                await self.body_sender
            await self.skip_response()
            head = await self.read_head()
        return head

    async def skip_response(self) -> None:
        """Read a response to its end and prepare to read another one."""
        event = await self.read_event()
        skipped = 0
        while isinstance(event, h11.Data):
            skipped += len(event.data)
            if skipped > MAX_SKIPPED_BYTES:
                raise ConnectionResetError("a stale response is too long to skip")
            event = await self.read_event()
        if not isinstance(event, h11.EndOfMessage) or self.state.our_state is not (
            h11.DONE
        ):
            raise ConnectionResetError("the connection ended with a stale response")
        rest, closed = self.state.trailing_data
        if closed:
            raise ConnectionResetError("the connection ended with a stale response")
        # A new parser that awaits a response: its request is not written anywhere.
        self.state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.state.send(
            h11.Request(method="GET", target="/", headers=[("host", "leftover")])
        )
        self.state.send(h11.EndOfMessage())
        if rest:
            self.state.receive_data(rest)

    def raise_body_error(self) -> None:
        """Raise the error that ended the body early, unless the connection failed.

        A server may respond and close while the body is still being sent; then writing
        fails, but the response can still be read.
        """
        error = self.body_sender.exception()
        if error is not None and not isinstance(error, OSError):
            raise error

    @property
    def ends_with_close(self) -> bool:
        """Return whether the end of the connection is the end of the response."""
        return self.state.trailing_data[1]

    async def confirm_close(self) -> None:
        """Wait until a server that has ended its side has received the whole request.

        If it closed the connection instead, the response that ends so may be a part of
        one: the rest of the request is answered with a reset.

        :raises OSError: if the request can't be written.
        :raises RequestError: if the body of the request ended early.
        """
        sender = self.body_sender
        if sender is None:
            return
        is_sending = not sender.done()
        await asyncio.wait({sender})
        if sender.cancelled():
            raise ConnectionResetError("the request was given up")
        sender.result()
        self.writer.transport.set_write_buffer_limits(0)
        await self.writer.drain()
        if is_sending:
            await asyncio.sleep(RESET_DELAY.total_seconds())
        if is_reset(self.writer.transport):
            raise ConnectionResetError("the server closed it within the request")

    def finish_exchange(self, now: timedelta) -> bool:
        """Prepare for the next request after a complete response.

        :param now: monotonic time.
        :return: whether the connection can be reused.
        """
        if self.body_sender is not None:
            sender = self.body_sender
            if not sender.done() or sender.cancelled() or sender.exception():
                return False
            self.body_sender = None
        self.last_response_at = now
        self.idle_since = now
        if self.state.our_state is not h11.DONE or not self.matcher.may_match_more:
            return False
        if self.state.their_state is not h11.DONE or self.state.trailing_data[0]:
            return False
        self.state.start_next_cycle()
        self.reused = True
        return self.is_clean

    def fail(self, failure: RequestError) -> None:
        """Abort the exchange on this connection with a known error."""
        self.failure = failure
        reset_transport(self.writer.transport)

    def close(self) -> None:
        """Close immediately and drop buffered data; may be called repeatedly."""
        if self.body_sender is not None:
            self.body_sender.cancel()
            self.body_sender.add_done_callback(retrieve_exception)
            self.body_sender = None
        reset_transport(self.writer.transport)


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers encoded for the wire."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


async def open_connection(address: str, now: timedelta) -> HttpConnection:
    """Open a connection to ``host:port``.

    :raises OSError: if the connection can't be established.
    """
    host, _, port = address.rpartition(":")
    reader = CountingReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(lambda: protocol, host, int(port))
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return HttpConnection(address, reader, writer, now)
