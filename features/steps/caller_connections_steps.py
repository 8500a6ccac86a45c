"""Steps for callers' connections while the event loop stands still or time passes."""

import asyncio
import logging

from behave import given, then, when
from http_server_steps import GOOD_REQUEST, LogCapture, ServerFixture

from wagtailstep.network.http_connection import reset_transport
from wagtailstep.network.http_protocol import HEAD_TIMEOUT_S
from wagtailstep.network.http_server import KEEP_ALIVE_S

STALL_S = 0.1


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
    async def open(cls, address):
        host, _, port = address.partition(":")
        connection = cls(*await asyncio.open_connection(host, int(port)))
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
    context.limits_s = {"idle": KEEP_ALIVE_S, "head": HEAD_TIMEOUT_S}


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


@when("the connection waits past the {limit} limit")
def wait_past_limit(context, limit):
    async def scenario(fixture, loop):
        connection = await KeptConnection.open(fixture.address)
        await start_waiting(connection, limit)
        loop.offset_s += context.limits_s[limit] + STALL_S
        context.received = await connection.read_response()
        connection.writer.close()

    run_on_stalling_loop(context, scenario)


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


@then("the request is not handled")
def check_not_handled(context):
    assert context.fixture.handled == [], context.fixture.handled


@then("no request was cancelled")
def check_not_cancelled(context):
    assert context.fixture.cancelled == [], context.fixture.cancelled
