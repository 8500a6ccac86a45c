"""Steps for the HTTP server: raw callers against the real server, in memory."""

import asyncio
import logging
from datetime import timedelta

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


class Records(logging.Handler):
    """Keeps what was logged."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


class ServerWorld:
    """The server with a handler that does what the path says."""

    def __init__(self):
        self.handled = []
        self.cancelled = []
        self.chunks_made = 0
        self.proceed = asyncio.Event()
        self.app = ExchangeApp(self.handle)
        self.server = HttpServer(self.app, self.app.announce_closing)

    async def handle(self, incoming):
        self.handled.append(incoming.path)
        try:
            return await self.answer(incoming)
        except asyncio.CancelledError:
            self.cancelled.append(incoming.path)
            raise

    async def answer(self, incoming):
        name = incoming.path.strip("/")
        if name == "wait":
            await self.proceed.wait()
        if name == "read":
            async for _ in incoming.body:
                pass
        if name == "huge":
            return Answer(200, (), self.make_huge(), Verdict.RUN)
        if name.startswith("truncated"):
            headers = (("content-length", "100"),) if name.endswith("length") else ()
            return Answer(200, headers, self.make_truncated(), Verdict.RUN)
        if name == "broken":
            raise KeyError("a bug of the handler")
        return Answer(200, (("content-length", "4"),), self.make_small(), Verdict.RUN)

    async def make_small(self):
        yield b"good"

    async def make_truncated(self):
        yield b"half"
        raise TruncatedAnswerError("the backend server stopped")

    async def make_huge(self):
        for _ in range(HUGE_CHUNKS):
            self.chunks_made += 1
            yield CHUNK


def run_server(context, scenario, on_sockets=False):
    """Run a scenario beside the server, in virtual time or on real sockets.

    The network in memory has no limit on what is under way and no reset, so what
    depends on these runs on sockets.
    """
    records = Records()
    logging.getLogger().addHandler(records)
    logging.getLogger().setLevel(logging.INFO)
    context.log = records.messages

    async def serve(world):
        await world.server.start("server:80")
        await asyncio.Event().wait()

    async def main():
        context.world = ServerWorld()
        detangle.spawn(serve(context.world), host="server")
        await asyncio.sleep(0.01)
        await scenario(context.world)
        await context.world.server.close()

    async def main_on_sockets():
        world = context.world = ServerWorld()
        world.address = await world.server.start("127.0.0.1:0")
        await scenario(world)
        await world.server.close()

    try:
        if on_sockets:
            asyncio.run(main_on_sockets())
        else:
            detangle.run(main, seed=1)
    finally:
        logging.getLogger().removeHandler(records)


async def connect(address="server:80"):
    host, _, port = address.partition(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(data, address="server:80"):
    """Send bytes and return all bytes that come back before a pause or the end."""
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


@when('a caller sends a bad request "{kind}" beside a good one in progress')
def send_bad_request(context, kind):
    async def scenario(world):
        good = asyncio.create_task(exchange(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n"))
        await asyncio.sleep(0.1)
        context.received = await exchange(BAD_REQUESTS[kind])
        world.proceed.set()
        context.good = await good

    run_server(context, scenario)


@when("a caller cuts the body of a request")
def cut_body(context):
    async def scenario(world):
        _, writer = await connect()
        writer.write(b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf")
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        context.good = await exchange(GOOD_REQUEST)

    run_server(context, scenario)


@when("a caller sends a chunk that is not one within a body")
def send_bad_chunk(context):
    async def scenario(world):
        context.received = await exchange(
            b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"4\r\nhalf\r\nnot a chunk\r\n"
        )

    run_server(context, scenario)


@when('a caller asks over "{version}" for "{path}"')
def ask_for(context, version, path):
    async def scenario(world):
        request = f"GET {path} HTTP/{version}\r\nhost: a\r\nconnection: close\r\n\r\n"
        context.received = await exchange(request.encode(), world.address)

    run_server(context, scenario, on_sockets=True)


@when("a caller sends the head of a request one byte every {pause_s:d} s")
def send_slowly(context, pause_s):
    async def scenario(world):
        reader, writer = await connect()
        closing = asyncio.create_task(reader.read())
        context.bytes_taken = 0
        for byte in GOOD_REQUEST:
            if closing.done():
                break
            writer.write(bytes([byte]))
            context.bytes_taken += 1
            await asyncio.sleep(pause_s)
        closing.cancel()
        writer.close()

    run_server(context, scenario)


@when("a caller goes away while its request is handled")
def go_away(context):
    async def scenario(world):
        _, writer = await connect()
        writer.write(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)

    run_server(context, scenario)


@when("a caller reads nothing of a huge answer")
def read_nothing(context):
    async def scenario(world):
        reader, writer = await connect(world.address)
        writer.write(b"GET /huge HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        while not is_stalled(world) and world.chunks_made < HUGE_CHUNKS:
            await asyncio.sleep(0)
        context.made_before_reading = world.chunks_made
        received = await read_all(reader)
        context.huge_bytes = received.count(b"#")
        writer.close()

    run_server(context, scenario, on_sockets=True)


def is_stalled(world):
    """Tell whether the server waits for its caller to read."""
    return any(
        connection.flow.write_paused for connection in world.server.state.connections
    )


@when("a caller sends a huge body to a handler that does not read")
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

    async def scenario(world):
        _, writer = await connect(world.address)
        sending = asyncio.create_task(send(writer))
        while not holds_back(world, writer) and not sending.done():
            await asyncio.sleep(0)
        context.buffered = max(
            len(connection.cycle.body) for connection in world.server.state.connections
        )
        sending.cancel()
        writer.transport.abort()

    run_server(context, scenario, on_sockets=True)


def holds_back(world, writer):
    """Tell whether the server has stopped reading and its caller can't write."""
    paused = any(c.flow.read_paused for c in world.server.state.connections)
    return paused and writer.transport.get_write_buffer_size() > 0


@when("the server drains with one request in flight and one kept connection")
def drain_server(context):
    async def scenario(world):
        waiting = asyncio.create_task(
            exchange(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        )
        reader, writer = await connect()
        writer.write(GOOD_REQUEST)
        await reader.readuntil(b"good")
        world.server.stop_accepting()
        try:
            await connect()
            context.refused = False
        except OSError:
            context.refused = True
        draining = asyncio.create_task(world.server.drain(timedelta(seconds=60)))
        writer.write(GOOD_REQUEST)
        context.kept = await read_all(reader)
        context.drained_early = draining.done()
        world.proceed.set()
        context.good = await waiting
        context.drained = await draining

    run_server(context, scenario)


@then('the bad request is answered with status "{status}" and verdict not-run')
def check_bad(context, status):
    head = context.received.decode("latin-1")
    assert head.startswith(f"HTTP/1.1 {status} "), head
    assert "wagtailstep-verdict: not-run" in head.lower(), head


@then("its handler was not called")
def check_not_handled(context):
    assert context.world.handled == ["/wait"], context.world.handled


@then("the good request was answered")
def check_good(context):
    assert context.good.endswith(b"good"), context.good


@then("exactly one line was logged")
def check_one_line(context):
    assert len(context.log) == 1, context.log


@then("no verdict not-run was given")
def check_no_not_run(context):
    assert b"not-run" not in context.received, context.received


@then("the answer is broken off visibly")
def check_broken(context):
    if context.received.endswith(b"<reset>"):
        return
    assert b"half" in context.received, context.received
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    parser.receive_data(context.received)
    parser.receive_data(b"")
    try:
        while parser.next_event() is not h11.PAUSED:
            assert parser.their_state is not h11.DONE, context.received
    except h11.RemoteProtocolError:
        return
    raise AssertionError("an HTTP client takes the answer for a whole one")


@then('the answer has status "{status}" and verdict may-have-run')
def check_internal_error(context, status):
    head = context.received.decode("latin-1")
    assert head.startswith(f"HTTP/1.1 {status} "), head
    assert "wagtailstep-verdict: may-have-run" in head.lower(), head


@then('the handler of "{path}" was cancelled')
def check_cancelled(context, path):
    assert context.world.cancelled == [path], context.world.cancelled


@then("fewer than {count:d} chunks of it were made before it was read")
def check_made(context, count):
    assert context.made_before_reading < count, context.made_before_reading


@then("the server closes the connection before the head is whole")
def check_slow_head(context):
    assert context.bytes_taken < len(GOOD_REQUEST), context.bytes_taken
    assert context.world.handled == [], context.world.handled


@then("the whole huge answer arrived")
def check_huge(context):
    assert context.huge_bytes == HUGE_CHUNKS * len(CHUNK), context.huge_bytes


@then("the server held back the caller with at most {size:d} bytes in memory")
def check_held_back(context, size):
    assert context.chunks_accepted < HUGE_CHUNKS, context.chunks_accepted
    assert context.buffered <= size, context.buffered


@then("a new connection was refused")
def check_refused(context):
    assert context.refused


@then("the kept connection was answered and told to close")
def check_kept(context):
    assert context.kept.endswith(b"good"), context.kept
    assert b"connection: close" in context.kept.lower(), context.kept


@then("the drain ended only after the request in flight")
def check_drained(context):
    assert not context.drained_early
    assert context.drained
    assert context.good.endswith(b"good"), context.good
