"""Steps for callers' connections while the event loop stands still or time passes."""

import asyncio
import logging
import random
import socket
from datetime import timedelta

import h11
from behave import given, then, when
from http_server_steps import (
    CHUNK,
    GOOD_REQUEST,
    HUGE_CHUNKS,
    LogCapture,
    ServerFixture,
)

from wagtailstep.models.connection import (
    HEAD_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    ConnectionLimits,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import Table
from wagtailstep.network.early_answers import LINGER_S
from wagtailstep.network.log_daemon import LogDaemon
from wagtailstep.network.sockets import reset_transport
from wagtailstep.utils.clock import LoopClock

STALL_S = 0.1
ADDRESS = "127.0.0.1:0"
SERVERS = (
    "caller_server",
    "gate_server",
    "announce_server",
    "ready_server",
    "metrics_server",
)
DRAIN_LIMIT = timedelta(seconds=10)


class StallingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can jump, as it does when the process stands still."""

    def __init__(self):
        super().__init__()
        self.offset_s = 0.0

    def time(self):
        return super().time() + self.offset_s


def run_on_stalling_loop(context, scenario):
    """Run a scenario with a server on sockets in the same event loop."""
    log_capture = LogCapture()
    logging.getLogger().addHandler(log_capture)
    logging.getLogger().setLevel(logging.INFO)
    context.log = log_capture.messages

    async def main():
        fixture = context.fixture = ServerFixture()
        fixture.address = await fixture.server.start("127.0.0.1:0")
        await scenario(fixture, asyncio.get_running_loop())
        await fixture.server.close()

    try:
        with asyncio.Runner(loop_factory=StallingLoop) as runner:
            runner.run(main())
    finally:
        logging.getLogger().removeHandler(log_capture)


class KeptConnection:
    """A caller's connection on which a request was answered."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open_new(cls, address):
        host, _, port = address.partition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    @classmethod
    async def open(cls, address):
        connection = await cls.open_new(address)
        assert (await connection.exchange(GOOD_REQUEST)).endswith(b"good")
        return connection

    async def exchange(self, request):
        self.writer.write(request)
        return await self.read_response()

    async def read_response(self):
        """Return all bytes up to the end of a response or of the connection."""
        try:
            return await self.reader.readuntil(b"good")
        except asyncio.IncompleteReadError as error:
            return error.partial
        except ConnectionResetError:
            return b"<reset>"


def build_request(path, request_id="", method="GET"):
    headers = f"host: a\r\nwagtailstep-request-id: {request_id}\r\n"
    if method == "POST":
        headers += "transfer-encoding: chunked\r\n"
    return f"{method} {path} HTTP/1.1\r\n{headers}\r\n".encode()


async def close_connection(fixture, connection):
    connection.writer.close()


async def reset_connection(fixture, connection):
    reset_transport(connection.writer.transport)


async def stop_server(fixture, connection):
    await fixture.server.close()


async def send_malformed_bytes(fixture, connection):
    connection.writer.write(b"not a chunk\r\n")


async def cancel_handler(fixture, connection):
    (task,) = fixture.server.state.tasks
    task.cancel()


async def break_body(fixture, connection):
    """The response breaks off on its own."""


ENDS = {
    "the caller closes it": ("GET", "/wait", close_connection),
    "the caller resets it": ("GET", "/wait", reset_connection),
    "the server stops": ("GET", "/wait", stop_server),
    "malformed bytes follow": ("POST", "/read", send_malformed_bytes),
    "the handler is cancelled": ("GET", "/wait", cancel_handler),
    "the response can't be written": ("GET", "/broken-body", break_body),
}


@given("a kept connection to an HTTP server on sockets")
def use_sockets(context):
    context.open = KeptConnection.open
    context.limits_s = {"idle": IDLE_TIMEOUT_S, "head": HEAD_TIMEOUT_S}


@given("a new connection to an HTTP server on sockets")
def use_new_connection(context):
    use_sockets(context)
    context.open = KeptConnection.open_new


async def run_turns(count=3):
    for _ in range(count):
        await asyncio.sleep(0)


async def start_waiting(connection, limit):
    """Send what makes a limit apply, and return what completes the request."""
    if limit == "idle":
        return ""
    connection.writer.write(b"GET ")
    await run_turns()
    return "GET "


@when('a request for "{path}" arrives in a stall past the {limit} limit')
def stall(context, path, limit):
    async def scenario(fixture, loop):
        connection = await KeptConnection.open(fixture.address)
        sent = await start_waiting(connection, limit)
        # The rest of the limit passes while the process stands still.
        loop.offset_s += context.limits_s[limit] - STALL_S
        await run_turns()
        connection.writer.write(build_request(path).removeprefix(sent.encode()))
        loop.offset_s += STALL_S
        await run_turns()
        fixture.proceed.set()
        context.received = await connection.read_response()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


async def send_in_stalls(connection, loop, rng, limits_s):
    """Send one request in two segments, each perhaps in a stall, and read its answer.

    Pauses are chosen around the limits, where they fall due in the turn of a segment.
    """
    data = build_request(rng.choice(("/good", "/wait")))
    cut = rng.choice((0, rng.randrange(1, len(data))))
    for segment in (data[:cut], data[cut:]):
        limit_s = rng.choice(list(limits_s.values()))
        loop.offset_s += max(0.0, limit_s * rng.choice((0, 1)) - rng.choice((1, 1e-3)))
        await run_turns(rng.randrange(3))
        connection.writer.write(segment)
        loop.offset_s += rng.choice((0, 1e-3, 0.1, 2))
        await run_turns(rng.randrange(4))


@then(
    "each handled request is answered in {count:d} random series of requests and stalls"
)
def check_random_stalls(context, count):
    unanswered = []

    async def scenario(fixture, loop):
        for seed in range(count):
            rng = random.Random(seed)
            fixture.handled.clear()
            connection = await KeptConnection.open(fixture.address)
            answered = 1
            received = b"good"
            while received.endswith(b"good") and answered < 8:
                fixture.proceed.clear()
                await send_in_stalls(connection, loop, rng, context.limits_s)
                fixture.proceed.set()
                received = await connection.read_response()
                answered += received.endswith(b"good")
            connection.writer.close()
            if len(fixture.handled) != answered:
                unanswered.append((seed, fixture.handled, answered))

    run_on_stalling_loop(context, scenario)
    assert not unanswered, unanswered


@when("the connection waits past the {limit} limit")
def wait_past_limit(context, limit):
    async def scenario(fixture, loop):
        connection = await context.open(fixture.address)
        fixture.handled.clear()
        await start_waiting(connection, limit)
        loop.offset_s += context.limits_s[limit] + STALL_S
        context.received = await connection.read_response()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when("a request arrives with a part of the next head, which waits past its limit")
def wait_behind_request(context):
    async def scenario(fixture, loop):
        connection = await context.open(fixture.address)
        connection.writer.write(build_request("/wait") + b"GET ")
        await run_turns()
        loop.offset_s += context.limits_s["head"] + STALL_S
        await run_turns()
        fixture.proceed.set()
        context.first_received = await connection.read_response()
        loop.offset_s += context.limits_s["head"] + STALL_S
        context.received = await connection.read_response()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when(
    "the server closes the connection within a head, but its data is not read in time"
)
def close_unread(context):
    async def scenario(fixture, loop):
        connection = await context.open(fixture.address)
        await start_waiting(connection, "head")
        (at_server,) = fixture.server.state.connections
        at_server.transport.write(CHUNK * HUGE_CHUNKS)
        at_server.shutdown()
        await pass_time(loop, context.limits_s["head"] + 1)
        assert at_server.transport.get_write_buffer_size()
        connection.writer.transport.abort()

    run_on_stalling_loop(context, scenario)


def build_limits(idle_s, head_s):
    return ConnectionLimits(
        head_timeout=timedelta(seconds=head_s), idle_timeout=timedelta(seconds=idle_s)
    )


async def pass_time(loop, seconds):
    for _ in range(seconds):
        loop.offset_s += 1
        await run_turns()


@given("the operator allows {idle_s:d} s between requests and {head_s:d} s for a head")
def allow_time(context, idle_s, head_s):
    context.limits = build_limits(idle_s, head_s)


async def open_limited(context, fixture):
    """Open a connection to a server with limits that a step may change."""
    fixture.server.get_limits = lambda: context.limits
    return await KeptConnection.open(fixture.address)


def count_connections(context, fixture):
    context.connections = len(fixture.server.state.connections)


@when("the connection waits on the {limit} limit for {wait_s:d} s")
def wait_on_limit(context, limit, wait_s):
    async def scenario(fixture, loop):
        connection = await open_limited(context, fixture)
        await start_waiting(connection, limit)
        await pass_time(loop, wait_s)
        count_connections(context, fixture)
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when(
    "the connection waits on the {limit} limit for {wait_s:d} s and it becomes "
    "{after_s:d} s"
)
def wait_on_changing_limit(context, limit, wait_s, after_s):
    async def scenario(fixture, loop):
        connection = await open_limited(context, fixture)
        await start_waiting(connection, limit)
        await pass_time(loop, 1)
        context.limits = build_limits(after_s, after_s)
        await pass_time(loop, wait_s - 1)
        count_connections(context, fixture)
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when(
    "the limits become {after_s:d} s, a request comes after {first_s:d} s, and "
    "{wait_s:d} s pass"
)
def wait_twice(context, after_s, first_s, wait_s):
    async def scenario(fixture, loop):
        connection = await open_limited(context, fixture)
        context.limits = build_limits(after_s, after_s)
        await pass_time(loop, first_s)
        assert (await connection.exchange(GOOD_REQUEST)).endswith(b"good")
        await pass_time(loop, wait_s)
        count_connections(context, fixture)
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when("a caller sends one byte of a head every {pause_s:d} s")
def trickle(context, pause_s):
    async def scenario(fixture, loop):
        connection = await open_limited(context, fixture)
        context.bytes_sent = 0
        for byte in GOOD_REQUEST[:-1]:
            connection.writer.write(bytes([byte]))
            context.bytes_sent += 1
            await pass_time(loop, pause_s)
            if not fixture.server.state.connections:
                break
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@given("a daemon whose table allows callers {idle_s:d} s between requests")
def use_daemon(context, idle_s):
    context.limits = build_limits(idle_s, idle_s)


@when("a connection to each of its ports has been idle for {idle_s:d} s")
def wait_at_all_ports(context, idle_s):
    async def main():
        loop = asyncio.get_running_loop()
        addresses = (ADDRESS,) * 4
        daemon = LogDaemon(DaemonSettings("one", "bole", *addresses), LoopClock())
        daemon.blackboard.table = Table(connection_limits=context.limits)
        writers = []
        for name in SERVERS:
            bound = await getattr(daemon, name).start(ADDRESS)
            host, _, port = bound.partition(":")
            writers.append((await asyncio.open_connection(host, int(port)))[1])
        await run_turns()
        await pass_time(loop, idle_s)
        context.open_at = [
            name for name in SERVERS if getattr(daemon, name).state.connections
        ]
        for writer in writers:
            writer.close()
        await daemon.close()

    with asyncio.Runner(loop_factory=StallingLoop) as runner:
        runner.run(main())


@then('only the connection to its "{name}" is open')
def check_open_at(context, name):
    assert context.open_at == [name], context.open_at


@then("the server holds {count:d} connections")
def check_connections(context, count):
    assert context.connections == count, (context.connections, context.log)


@then("the connection ended after {count:d} bytes")
def check_bytes_sent(context, count):
    assert context.bytes_sent == count, context.bytes_sent


@when('the next request arrives while the handler of "{path}" is still ending')
def overlap(context, path):
    context.first_requests = build_request(path) + GOOD_REQUEST


@when("a request every {pause_s:d} s follows, and one that lasts beyond the idle limit")
def follow(context, pause_s):
    async def scenario(fixture, loop):
        connection = await KeptConnection.open(fixture.address)
        started_s = loop.time()
        connection.writer.write(context.first_requests)
        for _ in range(2):
            assert (await connection.read_response()).endswith(b"good")
        # The handler of the first request needs some time to end.
        await asyncio.sleep(0.1)
        for _ in range(context.limits_s["idle"] // pause_s):
            loop.offset_s += pause_s
            assert (await connection.exchange(GOOD_REQUEST)).endswith(b"good")
        loop.offset_s += started_s + context.limits_s["idle"] - STALL_S - loop.time()
        connection.writer.write(build_request("/wait"))
        await run_turns()
        loop.offset_s += 1
        await run_turns()
        fixture.proceed.set()
        context.received = await connection.read_response()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when('request "{request_id}" arrives in one segment with malformed bytes in its body')
def send_malformed(context, request_id):
    async def scenario(fixture, loop):
        connection = await KeptConnection.open(fixture.address)
        fixture.handled.clear()
        request = build_request("/wait", request_id, "POST")
        connection.writer.write(request + b"not a chunk\r\n")
        await connection.read_response()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when('the connection of request "{request_id}" ends because {end}')
def end_connection(context, request_id, end):
    method, path, act = ENDS[end]

    async def scenario(fixture, loop):
        connection = await KeptConnection.open(fixture.address)
        connection.writer.write(build_request(path, request_id, method))
        while path not in fixture.handled:
            await asyncio.sleep(0.001)
        await act(fixture, connection)
        while fixture.server.state.tasks:
            await asyncio.sleep(0.001)
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when("a new connection sends a request {turns:d} turns before the server drains")
def connect_before_drain(context, turns):
    async def scenario(fixture, loop):
        host, _, port = fixture.address.partition(":")
        fixture.handled.clear()
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(build_request("/wait"))
            await run_turns(turns)
            await wait_for_timer(loop)
            fixture.server.stop_accepting()
            loop.call_later(0.05, fixture.proceed.set)
            await fixture.server.drain(DRAIN_LIMIT)
            # The daemon leaves the registry between its drain and its end.
            await run_turns(10)
            await fixture.server.close()
            await run_turns()
            context.received = await asyncio.to_thread(receive_all, caller)

    run_on_stalling_loop(context, scenario)


async def wait_for_timer(loop):
    """Wait as a daemon does before it closes its listener: behind what was read."""
    due = loop.create_future()
    loop.call_at(loop.time(), due.set_result, None)
    await due


def receive_all(caller):
    caller.settimeout(5)
    received = b""
    try:
        while data := caller.recv(65_536):
            received += data
    except ConnectionResetError:
        pass
    return received


@then('the request is answered with "{text}" or was never read')
def check_answered_or_unread(context, text):
    answered = context.received.endswith(text.encode())
    assert answered or not context.fixture.handled, (context.received, context.log)


async def start_upload(fixture):
    """Return a connection with an upload whose answer came before its last byte."""
    connection = await KeptConnection.open(fixture.address)
    fixture.server.stop_accepting()
    head = "POST /good HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n"
    connection.writer.write(head.encode() + b"half")
    while len(fixture.handled) < 2:
        await asyncio.sleep(0)
    await run_turns(10)
    return connection


@when("the server stops to accept and answers an upload before its end")
def answer_early(context):
    async def scenario(fixture, loop):
        connection = await start_upload(fixture)
        for byte in b"rest":
            connection.writer.write(bytes([byte]))
            await run_turns(10)
        context.could_send = not connection.writer.is_closing()
        context.received = await connection.read_response()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when("the server stops to accept and answers an upload that never ends")
def answer_endless_upload(context):
    async def scenario(fixture, loop):
        connection = await start_upload(fixture)
        loop.offset_s += LINGER_S + STALL_S
        context.received = await connection.read_response()
        context.behind = await connection.reader.read()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@when("the server stops to accept and answers an upload whose caller then leaves")
def leave_after_answer(context):
    async def scenario(fixture, loop):
        connection = await start_upload(fixture)
        context.received = await connection.read_response()
        connection.writer.close()
        while fixture.server.state.tasks:
            await asyncio.sleep(0.001)

    run_on_stalling_loop(context, scenario)


@when("the server stops within the linger time of a chunked answer to an upload")
def stop_while_lingering(context):
    async def scenario(fixture, loop):
        connection = await KeptConnection.open(fixture.address)
        head = "POST /chunked HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n"
        connection.writer.write(f"{head}connection: close\r\n\r\nhalf".encode())
        while "/chunked" not in fixture.handled:
            await asyncio.sleep(0)
        await run_turns(10)
        fixture.server.stop_accepting()
        await fixture.server.drain(timedelta(milliseconds=200))
        await fixture.server.close()
        context.received = await connection.reader.read()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


@then("the chunked answer is complete")
def check_last_chunk(context):
    assert context.received.endswith(b"good\r\n0\r\n\r\n"), context.received


@then("the caller could send all of its upload")
def check_could_send(context):
    assert context.could_send, context.log


@then("the connection is closed behind the answer")
def check_closed_behind(context):
    assert context.received.endswith(b"good"), context.received
    assert context.behind == b"", context.behind


@then("no request was reported as interrupted")
def check_nothing_reported(context):
    assert context.received.endswith(b"good"), context.received
    assert context.log == [], context.log


@when("the server stops while a request is in progress and others are unread")
def stop_with_unread(context):
    async def scenario(fixture, loop):
        busy, *idle = [await KeptConnection.open(fixture.address) for _ in range(6)]
        busy.writer.write(build_request("/wait"))
        while "/wait" not in fixture.handled:
            await asyncio.sleep(0)
        fixture.handled.clear()
        for connection in idle:
            connection.writer.write(build_request("/wait"))
        await fixture.server.close()
        for connection in (busy, *idle):
            connection.writer.transport.abort()

    run_on_stalling_loop(context, scenario)


@then('one line tells that request "{request_id}" was ended by "{ended_by}"')
def check_ended_by(context, request_id, ended_by):
    lines = [line for line in context.log if f"request_id={request_id}" in line]
    assert len(lines) == 1, context.log
    assert f"ended_by={ended_by}" in lines[0], lines


@then('the request is answered with "{text}"')
def check_answered(context, text):
    assert context.received.endswith(text.encode()), (context.received, context.log)


@then("the connection is closed without an answer")
def check_closed(context):
    assert context.received == b"", (context.received, context.log)


def check_not_run(received, log):
    """Check that a complete answer 408 with verdict not-run is all that follows."""
    assert received, log
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    parser.receive_data(received)
    parser.receive_data(b"")
    response = parser.next_event()
    assert type(response) is h11.Response, (received, log)
    assert response.status_code == 408, received
    headers = dict(response.headers)
    assert headers[b"wagtailstep-verdict"] == b"not-run", headers
    assert headers[b"connection"] == b"close", headers
    while type(event := parser.next_event()) is h11.Data:
        pass
    assert type(event) is h11.EndOfMessage, (event, received)
    assert parser.trailing_data == (b"", True), parser.trailing_data


@then("the connection is closed behind an answer 408 with verdict not-run")
def check_request_timeout(context):
    check_not_run(context.received, context.log)
    check_not_handled(context)


@then("the request is answered, then 408 with verdict not-run")
def check_answers(context):
    assert context.first_received.endswith(b"good"), context.first_received
    check_not_run(context.received, context.log)


@then('one line tells of "{event}"')
def check_line(context, event):
    (line,) = context.log
    assert f"event={event} " in line, line


@then("no line was logged")
def check_no_line(context):
    assert context.log == [], context.log


@then("the request is not handled")
def check_not_handled(context):
    assert context.fixture.handled == [], context.fixture.handled


@then("no request was cancelled")
def check_not_cancelled(context):
    assert context.fixture.cancelled == [], context.fixture.cancelled
