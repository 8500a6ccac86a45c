"""Steps for the HTTP server: callers that send raw bytes to the real server."""

import asyncio
import json
import logging
import socket
from datetime import timedelta

import attrs
import detangle
import h11
from behave import given, then, when

from wagtailstep.exceptions import TruncatedAnswerError
from wagtailstep.models.exchange import Answer
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.exchange_app import ExchangeApp
from wagtailstep.network.http_server import HttpServer

CHUNK = b"#" * 65_536
HUGE_CHUNKS = 400
SMALL_BUFFER_BYTES = 4_096
GOOD_REQUEST = b"GET /good HTTP/1.1\r\nhost: a\r\n\r\n"
BAD_REQUESTS = {
    "no HTTP": b"what is this\r\n\r\n",
    "oversized header": b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"x" * 200_000,
    "two lengths": b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
    b"content-length: 6\r\n\r\nhello",
    "length and chunks": b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "tunnel": b"CONNECT b:1 HTTP/1.1\r\nhost: a\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
}


class LogCapture(logging.Handler):
    """Collects the messages that were logged."""

    def __init__(self):
        super().__init__()
        self.messages = []
        self.errors = []

    def emit(self, record):
        self.messages.append(record.getMessage())
        if record.exc_info:
            self.errors.append(record.exc_info[1])


async def close_slowly():
    await asyncio.sleep(0.05)


async def fail_to_close():
    await asyncio.sleep(0.05)
    raise KeyError("a bug at the end of the response")


async def await_cancelled_future():
    """Await what somebody else cancels."""
    shared = asyncio.get_running_loop().create_future()
    asyncio.get_running_loop().call_soon(shared.cancel)
    await shared


async def generate_body(data):
    yield data


def build_answer(data, *headers):
    length = ("content-length", str(len(data)))
    return Answer(200, (length, *headers), generate_body(data), Verdict.RUN)


class ServerFixture:
    """The server with a handler whose behaviour is selected by the path."""

    def __init__(self):
        self.handled = []
        self.cancelled = []
        self.chunks_produced = 0
        self.proceed = asyncio.Event()
        self.app = ExchangeApp(self.handle)
        self.server = HttpServer(self.app, self.app.announce_closing)
        self.address = "server:80"

    async def handle(self, incoming):
        self.handled.append(incoming.path)
        try:
            return await self.answer(incoming)
        except asyncio.CancelledError:
            self.cancelled.append(incoming.path)
            raise

    async def answer(self, incoming):
        name = incoming.path.strip("/")
        if name in ("wait", "upgrade"):
            await self.proceed.wait()
        if name == "read":
            async for _ in incoming.body:
                pass
        if name == "huge":
            return Answer(200, (), self.generate_huge_body(), Verdict.RUN)
        if name.startswith("truncated"):
            headers = (("content-length", "100"),) if name.endswith("length") else ()
            return Answer(200, headers, self.generate_truncated_body(), Verdict.RUN)
        if name == "large":
            return build_answer(CHUNK[:60_000])
        if name.startswith("echo"):
            return build_answer(name.encode())
        if name == "close":
            return build_answer(b"good", ("connection", "close"))
        if name == "slow-end":
            return attrs.evolve(build_answer(b"good"), close=close_slowly)
        if name == "unwritable":
            return build_answer(b"good", ("x-broken", "line\nbreak"))
        if name == "unwritable-name":
            return build_answer(b"good", ("x broken", "1"))
        if name == "unencodable":
            return build_answer(b"good", ("x-broken", "\N{HIRAGANA LETTER A}"))
        if name.startswith("status-"):
            status = int(name.removeprefix("status-"))
            return attrs.evolve(build_answer(b"good"), status=status)
        if name.startswith("length-"):
            headers = (("content-length", name.removeprefix("length-")),)
            return Answer(200, headers, self.generate_halves(), Verdict.RUN)
        if name == "chunked":
            return Answer(200, (), self.generate_small_body(), Verdict.RUN)
        if name == "broken-body":
            return Answer(200, (), self.generate_broken_body(), Verdict.RUN)
        if name == "failing-end":
            return attrs.evolve(build_answer(b"good"), close=fail_to_close)
        if name == "cancelled":
            await await_cancelled_future()
        if name == "cancelled-body":
            return Answer(200, (), self.generate_cancelled_body(), Verdict.RUN)
        if name == "broken":
            raise KeyError("a bug of the handler")
        return Answer(
            200, (("content-length", "4"),), self.generate_small_body(), Verdict.RUN
        )

    async def generate_small_body(self):
        yield b"good"

    async def generate_broken_body(self):
        yield b"half"
        raise KeyError("a bug of the handler")

    async def generate_cancelled_body(self):
        yield b"half"
        await await_cancelled_future()

    async def generate_halves(self):
        yield b"half"
        yield b"half"

    async def generate_truncated_body(self):
        yield b"half"
        raise TruncatedAnswerError("the backend server stopped")

    async def generate_huge_body(self):
        for _ in range(HUGE_CHUNKS):
            self.chunks_produced += 1
            yield CHUNK


def run_server(context, scenario, on_sockets=False):
    """Run a scenario beside the server, in virtual time or on real sockets.

    The in-memory network has neither flow control nor connection resets, so scenarios
    that depend on these run on sockets.
    """
    log_capture = LogCapture()
    logging.getLogger().addHandler(log_capture)
    logging.getLogger().setLevel(logging.INFO)
    context.log = log_capture.messages
    context.logged_errors = log_capture.errors

    async def serve(fixture):
        await fixture.server.start("server:80")
        await asyncio.Event().wait()

    async def main():
        context.fixture = ServerFixture()
        detangle.spawn(serve(context.fixture), host="server")
        await asyncio.sleep(0.01)
        await scenario(context.fixture)
        await context.fixture.server.close()

    async def main_on_sockets():
        fixture = context.fixture = ServerFixture()
        fixture.address = await fixture.server.start("127.0.0.1:0")
        await scenario(fixture)
        await fixture.server.close()

    try:
        if on_sockets:
            asyncio.run(main_on_sockets())
        else:
            detangle.run(main, seed=1)
    finally:
        logging.getLogger().removeHandler(log_capture)


async def connect(address="server:80"):
    host, _, port = address.partition(":")
    return await asyncio.open_connection(host, int(port))


async def send_and_receive(data, address="server:80"):
    """Send bytes and return all bytes received until a long pause or the end."""
    reader, writer = await connect(address)
    writer.write(data)
    received = await read_all(reader)
    writer.close()
    return received


async def read_all(reader):
    received = b""
    try:
        async with asyncio.timeout(20):
            while data := await reader.read(65_536):
                received += data
    except TimeoutError:
        pass
    except ConnectionResetError:
        received += b"<reset>"
    return received


@given("an HTTP server in memory")
def use_server(context):
    context.received = b""


@when('a caller sends a bad request "{kind}" while a good one is in progress')
def send_bad_request(context, kind):
    async def scenario(fixture):
        good = asyncio.create_task(
            send_and_receive(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        )
        await asyncio.sleep(0.1)
        context.received = await send_and_receive(BAD_REQUESTS[kind])
        fixture.proceed.set()
        context.good_response = await good

    run_server(context, scenario)


@when("a caller disconnects in the middle of a request body")
def disconnect_during_body(context):
    async def scenario(fixture):
        _, writer = await connect()
        writer.write(b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf")
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        context.good_response = await send_and_receive(GOOD_REQUEST)

    run_server(context, scenario)


@when("a caller sends a malformed chunk within a body")
def send_bad_chunk(context):
    async def scenario(fixture):
        context.received = await send_and_receive(
            b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"4\r\nhalf\r\nnot a chunk\r\n"
        )

    run_server(context, scenario)


@when('a caller requests "{path}" over HTTP "{version}"')
def request_path(context, version, path):
    async def scenario(fixture):
        request = f"GET {path} HTTP/{version}\r\nhost: a\r\nconnection: close\r\n\r\n"
        context.received = await send_and_receive(request.encode(), fixture.address)

    run_server(context, scenario, on_sockets=True)


@when('a caller requests "{path}" and "/good" on one connection')
def request_both(context, path):
    request_after(context, "GET", path)


@when('a caller requests "{path}" and then "/wait" on one connection')
def request_next(context, path):
    async def scenario(fixture):
        reader, writer = await connect(fixture.address)
        writer.write(f"GET {path} HTTP/1.1\r\nhost: a\r\n\r\n".encode())
        context.received = await reader.readuntil(b"good")
        writer.write(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        while len(fixture.server.state.tasks) != 1 or "/wait" not in fixture.handled:
            await asyncio.sleep(0.001)
        fixture.proceed.set()
        try:
            context.good_response = await reader.readuntil(b"good")
        except asyncio.IncompleteReadError as error:
            context.good_response = error.partial
        writer.close()

    run_server(context, scenario, on_sockets=True)


@when('a caller sends {method} for "{path}" and "/good" on one connection')
def request_after(context, method, path):
    async def scenario(fixture):
        request = f"{method} {path} HTTP/1.1\r\nhost: a\r\n\r\n"
        last_request = b"GET /good HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        received = await send_and_receive(
            request.encode() + last_request, fixture.address
        )
        head, separator, rest = received.partition(b"\r\n\r\n")
        body, _, context.good_response = rest.partition(b"HTTP/1.1 200 ")
        context.received = head + separator + body

    run_server(context, scenario, on_sockets=True)


@when("a caller sends the head of a request one byte every {pause_s:d} s")
def send_slowly(context, pause_s):
    async def scenario(fixture):
        reader, writer = await connect()
        closing = asyncio.create_task(reader.read())
        context.bytes_sent = 0
        for byte in GOOD_REQUEST:
            if closing.done():
                break
            writer.write(bytes([byte]))
            context.bytes_sent += 1
            await asyncio.sleep(pause_s)
        closing.cancel()
        writer.close()

    run_server(context, scenario)


@when("a caller disconnects while its request is handled")
def disconnect_caller(context):
    disconnect(context, "")


@when('a caller that offers an upgrade to "{name}" disconnects while it is handled')
def disconnect_upgrading_caller(context, name):
    headers = f"connection: upgrade\r\nupgrade: {name}\r\n"
    disconnect(context, headers, on_sockets=True)


def disconnect(context, headers, on_sockets=False):
    async def scenario(fixture):
        _, writer = await connect(fixture.address)
        writer.write(f"GET /wait HTTP/1.1\r\nhost: a\r\n{headers}\r\n".encode())
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)

    run_server(context, scenario, on_sockets)


@when("a caller reads nothing of a huge response")
def read_nothing(context):
    async def scenario(fixture):
        reader, writer = await connect(fixture.address)
        writer.write(b"GET /huge HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        while not is_writing_paused(fixture) and fixture.chunks_produced < HUGE_CHUNKS:
            await asyncio.sleep(0)
        context.produced_before_reading = fixture.chunks_produced
        received = await read_all(reader)
        context.huge_bytes = received.count(b"#")
        writer.close()

    run_server(context, scenario, on_sockets=True)


def is_writing_paused(fixture):
    """Return whether the server waits for its caller to read."""
    return any(
        connection.flow.write_paused for connection in fixture.server.state.connections
    )


@when("a caller sends a huge body to a handler that does not read it")
def send_to_slow_handler(context):
    context.chunks_accepted = 0

    async def send(writer):
        size = HUGE_CHUNKS * len(CHUNK)
        head = f"POST /wait HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n"
        writer.write(head.encode())
        for _ in range(HUGE_CHUNKS):
            writer.write(CHUNK)
            await writer.drain()
            context.chunks_accepted += 1

    async def scenario(fixture):
        _, writer = await connect(fixture.address)
        sending = asyncio.create_task(send(writer))
        while not is_reading_paused(fixture, writer) and not sending.done():
            await asyncio.sleep(0)
        context.buffered = max(
            len(connection.cycle.body)
            for connection in fixture.server.state.connections
        )
        sending.cancel()
        writer.transport.abort()

    run_server(context, scenario, on_sockets=True)


def is_reading_paused(fixture, writer):
    """Return whether the server stopped reading and its caller can't write more."""
    paused = any(c.flow.read_paused for c in fixture.server.state.connections)
    return paused and writer.transport.get_write_buffer_size() > 0


@when("the server drains with one request in flight and one kept-alive connection")
def drain_server(context):
    async def scenario(fixture):
        waiting = asyncio.create_task(
            send_and_receive(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        )
        reader, writer = await connect()
        writer.write(GOOD_REQUEST)
        await reader.readuntil(b"good")
        fixture.server.stop_accepting()
        try:
            await connect()
            context.refused = False
        except OSError:
            context.refused = True
        draining = asyncio.create_task(fixture.server.drain(timedelta(seconds=60)))
        writer.write(GOOD_REQUEST)
        context.kept_alive_response = await read_all(reader)
        context.drained_early = draining.done()
        fixture.proceed.set()
        context.good_response = await waiting
        context.drained = await draining

    run_server(context, scenario)


@when(
    "the server drains for {limit:d} s with one request in flight, and a kept-alive "
    "connection waits until {rest:d} ms before the limit"
)
def drain_up_to_limit(context, limit, rest):
    async def scenario(fixture):
        waiting = asyncio.create_task(
            send_and_receive(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        )
        reader, writer = await connect()
        writer.write(GOOD_REQUEST)
        await reader.readuntil(b"good")
        fixture.server.stop_accepting()
        draining = asyncio.create_task(fixture.server.drain(timedelta(seconds=limit)))
        await asyncio.sleep(limit - rest / 1_000)
        context.closed_before = reader.at_eof()
        writer.write(b"GET /wait?late HTTP/1.1\r\nhost: a\r\n\r\n")
        assert not await draining
        await fixture.server.close()
        await waiting

    run_server(context, scenario)


@when("the server drains for {limit:d} ms without a request")
def drain_idle_server(context, limit):
    async def scenario(fixture):
        _, writer = await connect()
        fixture.server.stop_accepting()
        context.drained = await fixture.server.drain(timedelta(milliseconds=limit))
        writer.close()

    run_server(context, scenario)


@then("the kept-alive connection was closed before")
def check_closed_before(context):
    assert context.closed_before, context.fixture.handled


@then('only the handler of "{path}" was cancelled')
def check_only_cancelled(context, path):
    assert context.fixture.cancelled == [path], context.fixture.cancelled


@when("the server drains while a caller has not read the end of its answer")
def drain_unread_answer(context):
    async def scenario(fixture):
        host, _, port = fixture.address.partition(":")
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            caller.connect((host, int(port)))
            while not fixture.server.state.connections:
                await asyncio.sleep(0)
            (connection,) = fixture.server.state.connections
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
            )
            caller.sendall(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
            while not fixture.handled or fixture.server.state.tasks:
                await asyncio.sleep(0)
            fixture.server.stop_accepting()
            context.drained = await fixture.server.drain(timedelta(milliseconds=200))

    run_server(context, scenario, on_sockets=True)


@then("the drain had not ended in time")
def check_not_drained(context):
    assert not context.drained


@then("the drain had ended in time")
def check_drained_in_time(context):
    assert context.drained


@then('the bad request is answered with status "{status}" and verdict not-run')
def check_bad(context, status):
    head = context.received.decode("latin-1")
    assert head.startswith(f"HTTP/1.1 {status} "), head
    assert "wagtailstep-verdict: not-run" in head.lower(), head


@then("its handler was not called")
def check_not_handled(context):
    assert context.fixture.handled == ["/wait"], context.fixture.handled


@then("the good request was answered")
def check_good(context):
    assert context.good_response.endswith(b"good"), context.good_response


@then("exactly one line was logged")
def check_one_line(context):
    assert len(context.log) == 1, context.log


@then("exactly one line was logged, with a traceback")
def check_traceback(context):
    check_one_line(context)
    assert len(context.logged_errors) == 1, context.logged_errors


@then("both requests were answered")
def check_both(context):
    assert context.received.endswith(b"good"), context.received
    check_good(context)


@then("no verdict not-run was given")
def check_no_not_run(context):
    assert b"not-run" not in context.received, context.received


@then("a client can tell that the response was interrupted")
def check_interrupted(context):
    if not context.received.endswith(b"<reset>"):
        assert b"half" in context.received, context.received
    check_incomplete(context)


@then("no client takes the response for complete")
def check_incomplete(context):
    if context.received.endswith(b"<reset>"):
        return
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    parser.receive_data(context.received)
    parser.receive_data(b"")
    try:
        while parser.next_event() is not h11.PAUSED:
            ended = parser.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
            assert not ended, context.received
    except h11.RemoteProtocolError:
        return
    raise AssertionError("an HTTP client accepts the truncated response as complete")


@then('the response has status "{status}" and verdict may-have-run')
def check_internal_error(context, status):
    head = context.received.decode("latin-1")
    assert head.startswith(f"HTTP/1.1 {status} "), head
    assert "wagtailstep-verdict: may-have-run" in head.lower(), head


@then('it is a complete problem with reason "{reason}"')
def check_problem(context, reason):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert f"wagtailstep-reason: {reason}" in head.decode("latin-1").lower(), head
    assert json.loads(body)["verdict"] == "may-have-run", body


@then('the response has status "{status}" and no body')
def check_no_body(context, status):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode()), context.received
    assert body == b"", body


@then('the handler of "{path}" was cancelled')
def check_cancelled(context, path):
    assert context.fixture.cancelled == [path], context.fixture.cancelled


@then("fewer than {count:d} of its chunks were produced before it was read")
def check_produced(context, count):
    assert context.produced_before_reading < count, context.produced_before_reading


@then("the server closes the connection before the head is complete")
def check_slow_head(context):
    assert context.bytes_sent < len(GOOD_REQUEST), context.bytes_sent
    assert context.fixture.handled == [], context.fixture.handled


@then("the complete huge response arrived")
def check_huge(context):
    assert context.huge_bytes == HUGE_CHUNKS * len(CHUNK), context.huge_bytes


@then(
    "the server stopped reading from the caller with at most {size:d} bytes in memory"
)
def check_backpressure(context, size):
    assert context.chunks_accepted < HUGE_CHUNKS, context.chunks_accepted
    assert context.buffered <= size, context.buffered


@then("a new connection was refused")
def check_refused(context):
    assert context.refused


@then("the kept-alive connection got a response that closes it")
def check_kept_alive(context):
    assert context.kept_alive_response.endswith(b"good"), context.kept_alive_response
    assert b"connection: close" in context.kept_alive_response.lower(), (
        context.kept_alive_response
    )


@then("the drain ended only after the request in flight had completed")
def check_drained(context):
    assert not context.drained_early
    assert context.drained
    assert context.good_response.endswith(b"good"), context.good_response
