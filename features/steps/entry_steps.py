"""Steps for the entry service, with a scripted forwarder in virtual time."""

import asyncio
import json
import random
from datetime import timedelta

import attrs
import detangle
from behave import given, then, when
from routing_steps import make_member, make_settings, make_target

from wagtailstep import exceptions
from wagtailstep.controllers.guard import DuplicateGuard
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.models import headers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import AppendToLog
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import TargetHealth
from wagtailstep.models.headers import find_header
from wagtailstep.models.idempotency import RequestDecided
from wagtailstep.models.request import AttemptEnded, RequestEnded
from wagtailstep.models.table import RouteRow
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import ReplayableBody
from wagtailstep.network.entry import EntryService
from wagtailstep.utils.clock import LoopClock

NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


async def yield_chunks(chunks, error=None, delay=0):
    for chunk in chunks:
        await asyncio.sleep(delay)
        yield chunk
    if error is not None:
        raise error


class ScriptedForwarder:
    """Ends the first attempts as ``script`` lists and later ones as ``default_end``.

    The method ``end_X_Y`` implements the end that steps call "X Y".
    """

    def __init__(self, board):
        self.board = board
        self.script = []
        self.default_end = "answer"
        self.bodies = []
        self.times_left = []
        self.cancelled = 0
        self.closed = 0

    async def forward(self, request, gate, target_id, incoming, time_left):
        end = self.script.pop(0) if self.script else self.default_end
        self.times_left.append(time_left)
        method = getattr(self, "end_" + end.replace(" ", "_"))
        return await method(request, incoming)

    async def read_body(self, incoming):
        index = len(self.bodies)
        self.bodies.append(None)
        self.bodies[index] = b"".join([chunk async for chunk in incoming.body])

    async def close(self):
        self.closed += 1

    def build_answer(self, status, text, error=None):
        body = yield_chunks([text.encode()], error)
        return Answer(status, (), body, Verdict.RUN, self.close)

    async def end_answer(self, request, incoming):
        await self.read_body(incoming)
        return self.build_answer(200, f"answer of {request.method} {request.path}")

    async def end_truncated_answer(self, request, incoming):
        error = exceptions.TruncatedAnswerError("short")
        return self.build_answer(200, "begin", error=error)

    async def end_server_error(self, request, incoming):
        return self.build_answer(500, "failed")

    async def end_connect_refused(self, request, incoming):
        raise exceptions.ConnectionFailedError("refused", NOT_RUN)

    async def end_connect_refused_after_reading_the_body(self, request, incoming):
        await self.read_body(incoming)
        raise exceptions.ConnectionFailedError("refused", NOT_RUN)

    async def end_connection_lost(self, request, incoming):
        raise exceptions.ConnectionFailedError("lost", MAY_HAVE_RUN)

    async def end_connection_lost_as_all_targets_go(self, request, incoming):
        self.board.ejected.update(self.board.targets)
        raise exceptions.ConnectionFailedError("lost", MAY_HAVE_RUN)

    async def end_gate_overloaded(self, request, incoming):
        raise exceptions.OverloadedError("no free slot", timedelta(seconds=2))

    async def end_gate_overloaded_while_the_body_is_on_its_way(self, request, incoming):
        reading = asyncio.create_task(self.read_body(incoming))
        await asyncio.sleep(0.015)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        return await self.end_gate_overloaded(request, incoming)

    async def end_server_declines_while_the_body_is_on_its_way(self, request, incoming):
        reading = asyncio.create_task(self.read_body(incoming))
        await asyncio.sleep(0.025)
        # The reader ends in a later turn of the event loop.
        reading.cancel()
        raise exceptions.NotExecutedError("full", timedelta(seconds=2))

    async def end_server_declines_while_a_read_of_the_body_ends(
        self, request, incoming
    ):
        reading = asyncio.create_task(self.read_body(incoming))
        # The next chunk arrives in the same turn as the cancellation.
        await asyncio.sleep(0.02)
        reading.cancel()
        raise exceptions.NotExecutedError("full", timedelta(seconds=2))

    async def end_gate_leaving(self, request, incoming):
        raise exceptions.LeavingError("leaving")

    async def end_hang(self, request, incoming):
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def end_a_cancelled_future(self, request, incoming):
        shared = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(shared.cancel)
        await shared

    async def end_a_programming_error(self, request, incoming):
        raise KeyError("bug")


class EntryHarness:
    """One entry with its controllers and a minimal runtime."""

    def __init__(self, target_count):
        self.settings = make_settings()
        self.board = Blackboard(make_member("d1"), table_known=True)
        for number in range(1, target_count + 1):
            target = make_target(number)
            self.board.targets[target.target_id] = target
            self.board.members[target.daemon_id] = make_member(target.daemon_id)
        self.forwarder = ScriptedForwarder(self.board)
        self.events = []
        self.late_targets = {}
        self.late_targets_delay = 0
        self.appends = []

    def create_entry(self):
        rng = random.Random(1)
        arguments = (self.settings, self.board, LoopClock(), rng)
        self.entry = EntryService(
            *arguments,
            routing=RoutingController(*arguments),
            guard=DuplicateGuard(*arguments),
            forwarder=self.forwarder,
            relay=None,
            dispatch=self.events.append,
            apply=self.apply,
        )
        return self.entry

    def get_events(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]

    def add_late_targets(self):
        self.board.targets.update(self.late_targets)

    def apply(self, effects):
        for effect in effects:
            if isinstance(effect, RequestDecided):
                self.entry.deliver_decision(effect)
            elif isinstance(effect, AppendToLog):
                self.appends.append(effect)


@given('an entry that knows {count:d} targets of service "contracts"')
def create_entry_harness(context, count):
    context.harness = EntryHarness(count)
    context.error = None


@given('the first attempt ends as "{end}"')
def set_first_end(context, end):
    context.harness.forwarder.script = [end]


@when('the first attempt ends as "{end}" again')
def set_first_end_again(context, end):
    context.harness.forwarder.script = [end]


@given('the first {count:d} attempts end as "{end}"')
def set_first_ends(context, count, end):
    context.harness.forwarder.script = [end] * count


@given('every attempt ends as "{end}"')
@given('every later attempt ends as "{end}"')
def set_default_end(context, end):
    context.harness.forwarder.default_end = end


@given("the targets become known {time:d} ms after the first request")
def set_late_targets(context, time):
    harness = context.harness
    harness.late_targets = dict(harness.board.targets)
    harness.late_targets_delay = time / 1000
    harness.board.targets.clear()


@given("the retries of the fleet are used up")
def use_up_retries(context):
    settings = context.harness.settings
    requests = attrs.evolve(settings.requests, retry_ratio=0.0, retry_slack=1e-6)
    context.harness.settings = attrs.evolve(settings, requests=requests)


@given("all targets are ejected")
def eject_all(context):
    context.harness.board.ejected.update(context.harness.board.targets)


@then("all {count:d} retries are left")
def check_budget(context, count):
    retries = context.harness.entry.sender.retries
    assert retries.get_budget("contracts").tokens == count


@given("every attempt hangs")
def set_hanging(context):
    context.harness.forwarder.default_end = "hang"


@given("this daemon has not read the table yet")
def mark_table_unknown(context):
    context.harness.board.table_known = False


@given("callers may send bodies of {size:d} bytes")
def limit_bodies(context, size):
    context.harness.board.table.max_body_bytes = size


@given("the entry keeps at most {size:d} byte of a body")
def limit_kept_body(context, size):
    settings = context.harness.settings
    requests = attrs.evolve(settings.requests, replay_body_bytes=size)
    context.harness.settings = attrs.evolve(settings, requests=requests)


@given("the targets typically take {usual:d} ms")
def set_typical_latency(context, usual):
    board = context.harness.board
    for target_id in board.targets:
        health = TargetHealth(latency=timedelta(milliseconds=usual))
        board.health[target_id] = health


@given('the table allows route "{route}" of "contracts" {timeout:d} ms')
def set_route_timeout(context, route, timeout):
    route_id = f"contracts/{route}"
    row = RouteRow(route_id, timeout_ms=timeout)
    context.harness.board.table.routes[route_id] = row


async def read_answer(context, answer):
    context.answer = answer
    try:
        context.body = b"".join([chunk async for chunk in answer.body])
    except exceptions.RequestError as error:
        context.error = error
    finally:
        await answer.close()


def build_incoming(method, path, extra=(), body=None, service="contracts"):
    given_headers = [(headers.SERVICE, service)] if service else []
    given_headers += extra
    names = {name: value for name, value in given_headers}
    return IncomingRequest(method, path, tuple(names.items()), body or yield_chunks([]))


def send(context, method, path, extra=(), body=None, count=1, service="contracts"):
    async def call():
        entry = context.harness.create_entry()
        asyncio.get_running_loop().call_later(
            context.harness.late_targets_delay, context.harness.add_late_targets
        )
        started = asyncio.get_running_loop().time()
        for _ in range(count):
            incoming = build_incoming(method, path, extra, body, service)
            await read_answer(context, await entry.handle(incoming))
        context.duration = asyncio.get_running_loop().time() - started

    detangle.run(call)


@when('a caller sends {method:w} "{path:S}"')
def send_plain(context, method, path):
    send(context, method, path)


@when('a caller sends {method:w} "{path:S}" with header {name:S} "{value}"')
@when('a caller sends {method:w} "{path:S}" with header {name:S} ""')
def send_with_header(context, method, path, name, value=""):
    send(context, method, path, [(name, value)])


@when('a caller sends {method:w} "{path:S}" that names no service')
def send_without_service(context, method, path):
    send(context, method, path, service=None)


@when('{count:d} callers send {method:w} "{path:S}" one after the other')
def send_many(context, count, method, path):
    send(context, method, path, count=count)


@when('a caller sends {method:w} "{path:S}" with a body of {size:d} bytes')
def send_body(context, method, path, size):
    chunks = [b"x" * 1000] * (size // 1000)
    send(context, method, path, body=yield_chunks(chunks))


@when('a caller sends {method:w} "{path:S}" and announces a body of {size:d} bytes')
def send_announced_body(context, method, path, size):
    length = [("content-length", str(size))]
    send(context, method, path, length, yield_chunks([b"x" * size]))


@when('a caller sends {method:w} "{path:S}" with a slow body of {count:d} chunks')
def send_slow_body(context, method, path, count):
    send(context, method, path, body=yield_chunks([b"x"] * count, delay=0.01))


@when(
    "a body of {count:d} chunks of which {size:d} byte is kept is read and opened again"
)
def open_again(context, count, size):
    async def read_and_open():
        body = ReplayableBody(yield_chunks([b"x"] * count), size)
        assert b"".join([chunk async for chunk in body.open()]) == b"x" * count
        try:
            body.open()
        except exceptions.RequestError as error:
            context.error = error

    context.error = None
    detangle.run(read_and_open)


@then('that is rejected as not run with reason "{reason}"')
def check_open_rejected(context, reason):
    assert context.error is not None and context.error.reason == reason, context.error
    assert context.error.verdict is NOT_RUN


@when('a caller sends {method:w} "{path:S}" and interrupts its body')
def send_interrupted_body(context, method, path):
    error = exceptions.BadRequestError("the caller interrupted the body")
    send(context, method, path, body=yield_chunks([b"x"], error))


@when('a caller sends {method:w} "{path:S}" and disconnects after {time:d} ms')
def send_and_disconnect(context, method, path, time):
    async def call():
        entry = context.harness.create_entry()
        task = asyncio.create_task(entry.handle(build_incoming(method, path)))
        await asyncio.sleep(time / 1000)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()

    detangle.run(call)


@when('a caller sends {method:w} "{path:S}" and closes the answer unread')
def send_and_close(context, method, path):
    async def call():
        entry = context.harness.create_entry()
        answer = await entry.handle(build_incoming(method, path))
        await answer.close()

    detangle.run(call)


@then('the answer is {status:d} with verdict "{verdict}" and the body "{body}"')
def check_complete_answer(context, status, verdict, body):
    check_answer(context, status, verdict)
    assert context.body.decode() == body, context.body
    assert context.harness.forwarder.closed == 1


@then('the answer is {status:d} with verdict "{verdict}" and a problem about "{text}"')
def check_problem(context, status, verdict, text):
    check_answer(context, status, verdict)
    check_problem_text(context, text)


@then('the problem mentions "{text}"')
def check_problem_text(context, text):
    assert text in json.loads(context.body)["detail"], context.body


@then('the answer is {status:d} with verdict "{verdict}"')
def check_answer(context, status, verdict):
    answer = context.answer
    assert answer.status == status, (answer.status, context.body)
    verdict_header = find_header(answer.headers, headers.VERDICT)
    assert verdict_header == verdict == answer.verdict.value, verdict_header
    assert find_header(answer.headers, headers.REQUEST_ID)


@then("{count:d} attempt was made")
@then("{count:d} attempts were made")
def check_attempts(context, count):
    made = len(context.harness.forwarder.times_left)
    assert made == count, made
    ended = [e for e in context.harness.events if isinstance(e, AttemptEnded)]
    assert len(ended) == count, ended


@then("at most {count:d} attempts were made")
def check_max_attempts(context, count):
    made = len(context.harness.forwarder.times_left)
    assert 200 <= made <= count, made


@then("the answer has a Retry-After header")
def check_retry_after(context):
    assert int(find_header(context.answer.headers, headers.RETRY_AFTER)) >= 1


@then("nothing is in flight")
def check_nothing_in_flight(context):
    in_flight = context.harness.board.in_flight
    assert not in_flight.by_target, in_flight
    assert not in_flight.by_service, in_flight
    assert not in_flight.by_route, in_flight


@then("the last attempt got a body of {size:d} bytes")
def check_body(context, size):
    assert len(context.harness.forwarder.bodies[-1]) == size


@then("no attempt got a body that looked complete and was not")
def check_complete_bodies(context):
    bodies = context.harness.forwarder.bodies
    assert bodies and all(body in (None, b"x" * 5) for body in bodies), bodies


@then('reading the answer fails with verdict "{verdict}"')
def check_reading_fails(context, verdict):
    assert context.error is not None
    assert context.error.verdict.value == verdict


@then("the attempt was sent with at most {time:d} ms left")
def check_time_left(context, time):
    left = context.harness.forwarder.times_left[0]
    assert timedelta() < left <= timedelta(milliseconds=time), left


@then("it took at most {time:d} ms")
def check_duration(context, time):
    assert context.duration <= time / 1000, context.duration


@then("the answer of the backend server was closed")
def check_closed(context):
    assert context.harness.forwarder.closed == 1


@then("the hanging attempt was cancelled")
def check_cancelled(context):
    assert context.harness.forwarder.cancelled == 1


@then('the outcome blames "{blame}" with verdict "{verdict}"')
def check_outcome(context, blame, verdict):
    (outcome,) = context.harness.get_events(AttemptEnded)
    assert outcome.blame.value == blame, outcome
    assert outcome.verdict.value == verdict, outcome


@then('one request of route "{route}" is counted as "{outcome}"')
def check_counted(context, route, outcome):
    (event,) = context.harness.get_events(RequestEnded)
    assert (event.route, event.outcome) == (route, outcome), event
