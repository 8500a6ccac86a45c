"""Steps for time limits that fall due while the event loop stands still."""

import asyncio
import contextlib
from datetime import timedelta

from behave import given, then, when
from caller_connections_steps import STALL_S, StallingLoop

from wagtailstep.exceptions import RequestError
from wagtailstep.models.request import Blame
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.utils.clock import LoopClock

TIME_LEFT = timedelta(seconds=10)
MANY_TURNS = 50
MAX_CONNECT_TURNS = 8


def run_on_stalling_loop(scenario):
    with asyncio.Runner(loop_factory=StallingLoop) as runner:
        runner.run(scenario())


async def run_turns(count=MANY_TURNS):
    for _ in range(count):
        await asyncio.sleep(0)


class SteeredServer:
    """Reads one request per connection and sends only what the test writes."""

    def __init__(self):
        self.writers = []
        self.received = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self.received.append(await reader.readuntil(b"\r\n\r\n"))

    async def wait_for_request(self, number=1):
        while len(self.received) < number:
            await asyncio.sleep(0.001)
        # The client has nothing left to do for the request.
        await run_turns()
        return self.writers[number - 1]

    async def close(self):
        for writer in self.writers:
            writer.close()
        self.server.close()
        await run_turns()


async def yield_body():
    yield b"body"


def build_request(address, method="GET", time_left=TIME_LEFT):
    return HttpRequest(
        address=address,
        method=method,
        path="/",
        headers=(("content-length", "4" if method == "POST" else "0"),),
        body=yield_body(),
        idempotent=method == "GET",
        time_left=time_left,
    )


def build_answer(size):
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n"
    return head.encode(), b"x" * size


class StallHarness:
    """A client and a server on sockets in one event loop whose clock can jump."""

    async def run(self, scenario):
        self.loop = asyncio.get_running_loop()
        self.server = SteeredServer()
        self.address = await self.server.start()
        self.client = HttpClient(RequestSettings(), LoopClock())
        self.results = []
        try:
            await scenario()
        finally:
            self.client.close()
            await self.server.close()

    @property
    def result(self):
        (result,) = self.results
        return result

    async def call(self, method, time_left=TIME_LEFT):
        """Send a request and record the body of its answer, or the error."""
        request = build_request(self.address, method, time_left)
        try:
            answer = await self.client.send(request)
            body = b"".join([chunk async for chunk in answer.body])
            self.results.append(body)
        except RequestError as error:
            self.results.append(error)

    async def start_call(self, method):
        """Start a request whose deadline is ahead by the length of a stall."""
        task = asyncio.create_task(self.call(method))
        writer = await self.server.wait_for_request()
        self.loop.offset_s += TIME_LEFT.total_seconds() - STALL_S
        await run_turns()
        return task, writer

    def stall(self):
        self.loop.offset_s += STALL_S


def run_harness(context, scenario):
    context.harness = StallHarness()
    run_on_stalling_loop(lambda: context.harness.run(lambda: scenario(context.harness)))
    context.server = context.harness.server


@given("a server on sockets and an HTTP client with a deadline")
def use_sockets(context):
    context.size = 6


@when("the {part} of the answer to a {method} arrives in a stall past the deadline")
def stall_with_answer(context, part, method):
    part, _, size = part.removesuffix(" B").partition(", of ")
    context.size = int(size or context.size)
    head, body = build_answer(context.size)

    async def scenario(harness):
        task, writer = await harness.start_call(method)
        if part == "rest":
            writer.write(head + body[:3])
            await run_turns()
        writer.write(body[3:] if part == "rest" else head + body)
        harness.stall()
        await task

    run_harness(context, scenario)


@when("{part} of the answer to a GET arrive in a stall past the deadline")
def stall_without_answer(context, part):
    head, body = build_answer(context.size)

    async def scenario(harness):
        task, writer = await harness.start_call("GET")
        if part != "none":
            writer.write(head + body[:3])
        harness.stall()
        await run_turns()
        context.ended = task.done()
        task.cancel()

    run_harness(context, scenario)


@when("the server goes on sending the answer to a GET after the deadline")
def send_without_end(context):
    head, _ = build_answer(1_000_000)

    async def scenario(harness):
        task, writer = await harness.start_call("GET")
        writer.write(head)
        harness.stall()
        for _ in range(MANY_TURNS):
            writer.write(b"x")
            harness.loop.offset_s += 0.01
            await run_turns(3)
        context.ended = task.done()
        task.cancel()

    run_harness(context, scenario)


@when("the process stands still past the connect timeout while it connects")
def stall_while_connecting(context):
    async def scenario(harness):
        for turns in range(MAX_CONNECT_TURNS):
            task = asyncio.create_task(harness.call("POST"))
            await run_turns(turns)
            harness.loop.offset_s += harness.client.settings.connect_timeout_ms / 1000
            await run_turns()
            task.cancel()
        context.results = harness.results

    run_harness(context, scenario)


@then("each request reaches the server")
def check_reached(context):
    assert context.results == [], context.results
    assert len(context.server.received) == MAX_CONNECT_TURNS


@when("the deadline of a GET passes before it is sent over a {kind} connection")
def stall_before_sending(context, kind):
    time_left = timedelta() if kind == "kept" else timedelta(seconds=STALL_S)

    async def scenario(harness):
        if kind == "kept":
            task = asyncio.create_task(harness.call("GET"))
            (await harness.server.wait_for_request()).write(
                b"".join(build_answer(context.size))
            )
            await task
            harness.results.clear()
        task = asyncio.create_task(harness.call("GET", time_left))
        await run_turns(1)
        harness.stall()
        await run_turns()
        context.ended = task.done()
        task.cancel()

    run_harness(context, scenario)


@then("the server is not to blame")
def check_blame(context):
    assert context.harness.result.blame is Blame.CALLER, context.harness.result.blame


@then("the complete answer is received")
def check_complete(context):
    result = context.harness.result
    assert result == build_answer(context.size)[1], repr(result)[:200]


@then('it ends at once as "{reason}" with verdict "{verdict}"')
def check_ended(context, reason, verdict):
    assert context.ended
    error = context.harness.result
    assert isinstance(error, RequestError), error
    found = (error.reason, error.verdict.value)
    assert found == (reason, verdict), found
