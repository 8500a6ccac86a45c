"""Steps for time limits that fall due while the event loop stands still."""

import asyncio
import contextlib
import itertools
import random
import socket
from datetime import timedelta

import attrs
from behave import given, then, when
from blacksheep import Application, Router
from caller_connections_steps import STALL_S, StallingLoop
from entry_steps import EntryHarness
from routing_steps import make_member, make_settings
from scripted_servers import start_scripted_server

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.attempt_timeout import ATTEMPT_TIMEOUT_FRACTION
from wagtailstep.controllers.gate import GateController
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import RequestError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Target
from wagtailstep.models.headers import REQUEST_ID, TARGET, TIMEOUT_MS
from wagtailstep.models.idempotency import Replay, RequestDecided, StoredAnswer
from wagtailstep.models.request import Blame, RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.announcements import add_announcement_routes
from wagtailstep.network.bodies import ReplayableBody
from wagtailstep.network.deadlines import limit_time
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.forwarder import HttpForwarder
from wagtailstep.network.gate import MAX_WAIT_FACTOR, GateService
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.http_server import HttpServer
from wagtailstep.network.memory_channel import InMemoryPeerChannel, MemoryNetwork
from wagtailstep.network.runtime import Runtime, RuntimeAdapters
from wagtailstep.network.sender import AttemptSender
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.clock import LoopClock

TIME_LEFT = timedelta(seconds=10)
AIM = timedelta(seconds=1)
ENDED = b'{"state":"ended"}'
TARGET_ID = "contracts/i-1"
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
        self.server = await start_scripted_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self.received.append(await reader.readuntil(b"\r\n\r\n"))

    async def wait_for_requests(self, count):
        while len(self.received) < count:
            await asyncio.sleep(0.001)
        # The client has nothing left to do for these requests.
        await run_turns()

    async def wait_for_request(self):
        await self.wait_for_requests(1)
        return self.writers[0]

    async def close(self):
        for writer in self.writers:
            writer.close()
        self.server.close()
        await run_turns()


async def yield_body():
    yield b"body"


async def yield_from(reader):
    while data := await reader.read(100):
        yield data


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
        await self.record(self.client.send(request))

    async def record(self, answering):
        """Record the body of an answer, or the error."""
        try:
            answer = await answering
            self.results.append(b"".join([chunk async for chunk in answer.body]))
            await answer.close()
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


class PathHarness(StallHarness):
    """An entry and its own gate before the server, which serves two targets."""

    def start_path(self, aim=timedelta()):
        self.aim = aim
        board = Blackboard(make_member("d1"), members={"d1": make_member("d1")})
        for name in (TARGET_ID, "contracts/i-2"):
            board.targets[name] = Target(
                name, "contracts", "d1", "bole", slots=1, address=self.address
            )
        settings = attrs.evolve(
            make_settings(),
            requests=RequestSettings(retry_slack=60 if aim else 0),
        )
        clock = LoopClock()
        arguments = (settings, board, clock, random.Random(1))
        self.routing = RoutingController(*arguments)
        self.gate = GateService(
            settings, GateController(*arguments), self.client, clock
        )
        self.sender = AttemptSender(
            board,
            clock,
            self.routing,
            RetryPolicy(settings.requests, clock, lambda: 1),
            HttpForwarder(board, self.client, self.gate),
            do_nothing,
        )
        self.serials = itertools.count(1)

    async def call(self, method="GET", time_left=TIME_LEFT):
        """Send a request and record the body of its answer, or the error."""
        request = RequestContext(
            request_id=f"r{next(self.serials)}",
            service="contracts",
            route="sign",
            account="",
            method=method,
            path="/",
            idempotent=True,
            idempotency_key=None,
            deadline=self.sender.clock.monotonic() + time_left,
            aim=self.aim,
        )
        headers = (("content-length", "4"),) if method == "POST" else ()
        incoming = IncomingRequest(method, "/", headers, yield_body())
        self.routing.admit(request)
        exchange = Exchange(
            request, incoming, ReplayableBody(incoming.body, 100), self.routing
        )
        await self.record(self.sender.run(exchange))

    async def call_gate(self, request_id, time_left):
        """Send a request to the gate; record its body or the error."""
        headers = (
            (REQUEST_ID, request_id),
            (TARGET, TARGET_ID),
            (TIMEOUT_MS, str(time_left // timedelta(milliseconds=1))),
        )
        incoming = IncomingRequest("GET", "/", headers, yield_body())
        await self.record(self.gate.handle(incoming))


class SocketRelay:
    """Relays requests to the server."""

    def __init__(self, client, address):
        self.client = client
        self.address = address

    async def relay(self, member, incoming, time_left):
        return await self.client.send(build_request(self.address, "POST", time_left))


class WaitingEntryHarness(StallHarness):
    """An entry that waits for one thing, which arrives over a socket."""

    async def start(self, what, expected):
        self.near, far = socket.socketpair()
        reader, self.writer = await asyncio.open_connection(sock=far)
        self.entry = EntryHarness(1).create_entry()
        self.entry.relay = SocketRelay(self.client, self.address)
        request = RequestContext(
            request_id="r1",
            service="contracts",
            route="sign",
            account="",
            method="POST",
            path="/",
            idempotent=False,
            idempotency_key="k1",
            deadline=self.entry.clock.monotonic() + TIME_LEFT,
            first_sending=True,
        )
        incoming = IncomingRequest("POST", "/", (), yield_from(reader))
        body = ReplayableBody(incoming.body, 100)
        exchange = Exchange(request, incoming, body, self.entry.routing)
        start = {
            "the rest of a body": self.start_reading,
            "a decision on a key": self.start_deciding,
            "the answer of a relay": self.start_relaying,
        }[what]
        return await start(exchange, expected)

    async def start_reading(self, exchange, expected):
        """Return the task that reads a body, and what delivers the body."""
        reading = self.entry.within_deadline(exchange, exchange.body.prefetch())
        return self.start_task(reading), lambda: self.near.send(expected)

    async def start_deciding(self, exchange, expected):
        """Return the task that waits for a decision, and what delivers it."""
        decision = Replay(StoredAnswer(200, (), expected))

        def receive():
            self.near.recv(1)
            self.entry.deliver_decision(RequestDecided("r1", decision))

        async def wait():
            found = await self.entry.wait_for_decision(exchange.request, ())
            return found.answer.body

        self.loop.add_reader(self.near, receive)
        return self.start_task(wait()), lambda: self.writer.write(b"x")

    async def start_relaying(self, exchange, expected):
        """Return the task that relays a request, and what answers it."""

        async def relay():
            answer = await self.entry.relay_request(exchange, make_member("d2"))
            return b"".join([chunk async for chunk in answer.body])

        task = self.start_task(relay())
        writer = await self.server.wait_for_request()
        return task, lambda: writer.write(b"".join(build_answer(len(expected))))

    def start_task(self, waiting):
        async def record():
            try:
                self.results.append(await waiting)
            except RequestError as error:
                self.results.append(error)

        return asyncio.create_task(record())

    def close(self):
        self.loop.remove_reader(self.near)
        self.near.close()
        self.writer.close()


def run_harness(context, scenario):
    context.harness = context.harness_class()
    run_on_stalling_loop(lambda: context.harness.run(lambda: scenario(context.harness)))
    context.server = context.harness.server


@given("a server on sockets and an HTTP client with a deadline")
def use_sockets(context):
    context.size = 6
    context.harness_class = StallHarness


@given("a server on sockets and an entry with its gate")
def use_entry(context):
    context.size = 6
    context.harness_class = PathHarness


@when("{part} answer to a {method} arrives in a stall past its {limit}")
def stall_attempt(context, part, method, limit):
    aim, limit_s = timedelta(), TIME_LEFT.total_seconds()
    if limit == "attempt timeout":
        aim, limit_s = AIM, ATTEMPT_TIMEOUT_FRACTION * AIM.total_seconds()

    async def scenario(harness):
        harness.start_path(aim)
        task = asyncio.create_task(harness.call(method))
        writer = await harness.server.wait_for_request()
        harness.loop.offset_s += limit_s - STALL_S
        await run_turns()
        if part == "the":
            writer.write(b"".join(build_answer(context.size)))
        harness.loop.offset_s += 2 * STALL_S
        await run_turns()
        task.cancel()
        await asyncio.wait({task})

    run_harness(context, scenario)


@when("the process stands still past the deadline of a request that {waits}")
def stall_without_answer(context, waits):
    running = 2 if waits == "waits for a slot" else 0

    async def scenario(harness):
        harness.start_path()
        tasks = [asyncio.create_task(harness.call()) for _ in range(running)]
        await harness.server.wait_for_requests(running)
        task = asyncio.create_task(harness.call("GET", TIME_LEFT / 2))
        await run_turns()
        harness.loop.offset_s += TIME_LEFT.total_seconds() / 2 + STALL_S
        await run_turns()
        context.ended = task.done()
        for task in tasks:
            task.cancel()
        await run_turns()

    run_harness(context, scenario)


async def start_watched_call(harness):
    """Start a request over a kept connection to a gate."""
    harness.unreachable = []
    harness.client.on_unreachable = harness.unreachable.append
    first = asyncio.create_task(harness.call("GET"))
    writer = await harness.server.wait_for_request()
    writer.write(
        b"HTTP/1.1 200 OK\r\nwagtailstep-gate-id: g\r\ncontent-length: 0\r\n\r\n"
    )
    await first
    harness.results.clear()
    request = attrs.evolve(
        build_request(harness.address, "GET", timedelta(seconds=30)),
        attempt_id="r1.1",
    )
    task = asyncio.create_task(harness.record(harness.client.send(request)))
    await harness.server.wait_for_requests(2)
    harness.loop.offset_s += request.silence_timeout.total_seconds()
    return task, writer


@when(
    "an answer of {size:d} B and the news that its request has ended arrive in a stall"
)
def stall_with_answer_and_news(context, size):
    context.size = size
    stall_with_news(context, b"".join(build_answer(size)))


@when("only the news that its request has ended arrives in a stall")
def stall_with_news(context, answer=b""):
    head, body = build_answer(len(ENDED))

    async def scenario(harness):
        task, writer = await start_watched_call(harness)
        await harness.server.wait_for_requests(3)
        harness.server.writers[1].write(head + ENDED)
        writer.write(answer)
        await run_turns()
        context.ended = task.done()
        task.cancel()
        await asyncio.wait({task})

    run_harness(context, scenario)


@when("an answer arrives in a stall past the silence timeout")
def stall_past_silence(context):
    async def scenario(harness):
        task, writer = await start_watched_call(harness)
        writer.write(b"".join(build_answer(context.size)))
        await run_turns()
        task.cancel()
        await asyncio.wait({task})
        context.unreachable = harness.unreachable

    run_harness(context, scenario)


def close_now(writer):
    # The transport would wait for the next turn of the event loop.
    writer.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)


ENDS = {
    "closes": close_now,
    "writes on": lambda writer: writer.write(b"HTTP/1.1 408 Timeout\r\n\r\n"),
}


@when("the server {ends} a kept connection in a stall before a {method}")
def stall_before_reuse(context, ends, method):
    answer = b"".join(build_answer(context.size))

    async def scenario(harness):
        first = asyncio.create_task(harness.call("GET"))
        writer = await harness.server.wait_for_request()
        writer.write(answer)
        await first
        harness.results.clear()
        ENDS[ends](writer)
        task = asyncio.create_task(harness.call(method))
        # The request is sent in the turn in which the process goes on.
        await run_turns()
        if len(harness.server.writers) > 1:
            harness.server.writers[1].write(answer)
        await run_turns()
        context.ended = task.done()
        task.cancel()
        await asyncio.wait({task})

    run_harness(context, scenario)


@then("the gate counts as reachable")
def check_reachable(context):
    assert context.unreachable == [], context.unreachable


@when("a request gets no answer while each turn of the event loop takes {time_ms:d} ms")
def wait_slowly(context, time_ms):
    async def scenario(harness):
        harness.start_path()
        task = asyncio.create_task(harness.call())
        await harness.server.wait_for_request()
        harness.loop.offset_s += TIME_LEFT.total_seconds()
        noticed_at_s = harness.loop.offset_s
        for _ in range(MANY_TURNS):
            await asyncio.sleep(0)
            if task.done():
                break
            harness.loop.offset_s += time_ms / 1_000
        context.ended = task.done()
        context.late_ms = 1_000 * (harness.loop.offset_s - noticed_at_s)
        task.cancel()

    run_harness(context, scenario)


@then("it ended within {time_ms:d} ms of its deadline")
def check_lateness(context, time_ms):
    assert context.late_ms <= time_ms, context.late_ms


@given("a server on sockets and an entry that waits for {what}")
def use_waiting_entry(context, what):
    context.size = 100
    context.harness_class = WaitingEntryHarness
    context.what = what


@when("it {arrives} in a stall past the deadline")
def stall_entry(context, arrives):
    _, expected = build_answer(context.size)

    async def scenario(harness):
        task, deliver = await harness.start(context.what, expected)
        await run_turns()
        if arrives == "arrives":
            deliver()
        harness.loop.offset_s += TIME_LEFT.total_seconds()
        await run_turns(2 * MANY_TURNS)
        context.ended = task.done()
        harness.close()
        task.cancel()
        await asyncio.wait({task})

    run_harness(context, scenario)


@when("a slot becomes free in a stall past the {limit} of a request")
def stall_in_queue(context, limit):
    limit_s = TIME_LEFT.total_seconds() / 2
    if limit == "queueing time":
        limit_s = MAX_WAIT_FACTOR * RequestSettings().queue_timeout_ms / 1_000

    async def scenario(harness):
        harness.start_path()
        running = asyncio.create_task(harness.call_gate("r1", TIME_LEFT))
        writer = await harness.server.wait_for_request()
        task = asyncio.create_task(harness.call_gate("r2", TIME_LEFT / 2))
        await run_turns()
        answer = b"".join(build_answer(context.size))
        writer.write(answer)
        harness.loop.offset_s += limit_s
        await run_turns()
        assert running.done()
        harness.results.remove(build_answer(context.size)[1])
        if len(harness.server.received) > 1:
            writer.write(answer)
            await task
        context.ended = task.done()
        context.occupied = len(harness.gate.controller.queues[TARGET_ID].running)

    run_harness(context, scenario)


@then("no slot is occupied")
def check_slots(context):
    assert context.occupied == 0, context.occupied


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
def stall_with_a_part(context, part):
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


@when("what a deadline limits waits again and again, each time for one turn")
def wait_in_short_steps(context):
    async def scenario():
        loop = asyncio.get_running_loop()
        deadline = limit_time(TIME_LEFT)
        loop.offset_s += TIME_LEFT.total_seconds() + STALL_S
        context.ended = False
        for _ in range(MANY_TURNS):
            loop.offset_s += 0.01
            try:
                async with deadline:
                    await asyncio.sleep(0)
            except TimeoutError:
                context.ended = True

    run_on_stalling_loop(scenario)


@when("a deadline passes while what it limits ends an earlier cancellation slowly")
def cancel_twice(context):
    context.errors = []

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, details: context.errors.append(details))
        context.ended = False
        try:
            async with limit_time(TIME_LEFT) as deadline:
                deadline.timeout.reschedule(loop.time())
                try:
                    await asyncio.Event().wait()
                finally:
                    loop.offset_s += TIME_LEFT.total_seconds() + STALL_S
                    for _ in range(MANY_TURNS):
                        await asyncio.sleep(0)
        except TimeoutError:
            context.ended = True

    run_on_stalling_loop(scenario)


@then("the event loop reported no error")
def check_no_error(context):
    assert context.errors == [], context.errors


@then("the deadline ends it")
def check_deadline_ended(context):
    assert context.ended


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


@then("{count:d} retries are spent")
def check_spent(context, count):
    spent = context.harness.sender.retries.shared_budget.retries
    assert sum(window.total for window in spent.values()) == count, spent


@then("the error says that {text}")
def check_error_text(context, text):
    assert text in str(context.harness.result), str(context.harness.result)


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


class AnnouncementHarness:
    """The controller of announcements in a ticking runtime with its HTTP server."""

    def __init__(self):
        self.states = []
        self.sockets = []

    def handle(self, event):
        """Note each new state of the announced target, as the last controller."""
        for target in self.board.targets.values():
            if self.states[-1:] != [target.state.value]:
                self.states.append(target.state.value)
        return []

    async def run(self, scenario):
        self.loop = asyncio.get_running_loop()
        settings, clock, rng = make_settings(), LoopClock(), random.Random(1)
        self.lease_s = settings.membership.announce_lease_ms / 1_000
        self.board = Blackboard(make_member("d1"))
        channel = InMemoryPeerChannel(MemoryNetwork(rng), "d1", "d1")
        adapters = RuntimeAdapters(log=None, channel=channel, probe=None)
        self.runtime = Runtime(settings, self.board, clock, rng, adapters)
        announcements = AnnouncementController(settings, self.board, clock, rng)
        self.runtime.controllers = (announcements, self)
        app = Application(router=Router())
        add_announcement_routes(app, self.runtime.dispatch, settings, clock)
        await app.start()
        server = HttpServer(app, do_nothing)
        self.address = await server.start("127.0.0.1:0")
        await self.runtime.start()
        await scenario()
        for sock in self.sockets:
            sock.close()
        await self.runtime.close()
        await server.close()

    def announce(self):
        """Announce the backend server without a turn of the event loop."""
        body = b'{"address": "127.0.0.1:8000"}'
        head = f"PUT /v1/targets/contracts HTTP/1.1\r\ncontent-length: {len(body)}\r\n"
        host, _, port = self.address.partition(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(head.encode() + b"connection: close\r\nhost: a\r\n\r\n" + body)
        self.sockets.append(sock)


@given("a daemon to which a backend server announces itself over sockets")
def use_announcements(context):
    context.harness_class = AnnouncementHarness


@when("{which} announcement arrives in a stall past its lease")
def stall_past_lease(context, which):
    async def scenario(harness):
        harness.announce()
        while not harness.states:
            await asyncio.sleep(0.001)
        if which == "its next":
            harness.announce()
        harness.loop.offset_s += harness.lease_s
        await run_turns()
        # Some ticks, however late they come.
        await asyncio.sleep(1)

    context.harness = context.harness_class()
    run_on_stalling_loop(lambda: context.harness.run(lambda: scenario(context.harness)))


@then('the target was always "{state}"')
@then('the target was first "{state}" and then "{later}"')
def check_states(context, state, later=None):
    expected = [state] if later is None else [state, later]
    assert context.harness.states == expected, context.harness.states
