"""Steps for entry, gate and backend server together, with everything but the table.

All parts are the real ones; the network is in memory and time is virtual.
"""

import asyncio
import random
from datetime import timedelta

import detangle
from behave import given, then, when
from http_client_steps import CLIENT_FAULTS

from wagtailstep.controllers.gate import GateController
from wagtailstep.exceptions import RequestError
from wagtailstep.fakes.backend_server import BackendServer, BackendServerSettings
from wagtailstep.fakes.faults import Faults
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Member, Target, TargetState
from wagtailstep.models.gate import (
    AttemptRevocationRequested,
    AttemptState,
    ReportAttemptState,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.exchange_app import ExchangeApp
from wagtailstep.network.forwarder import HttpForwarder
from wagtailstep.network.gate import GateService
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_server import HttpServer
from wagtailstep.utils.clock import LoopClock

UPLOAD_CHUNK = b"x" * 16_384
MILLISECOND = timedelta(milliseconds=1)


class ForgetfulGate(GateController):
    """Planted fault: says that an attempt is barred and does not bar it."""

    def handle(self, event):
        effects = super().handle(event)
        if any(isinstance(effect, ReportAttemptState) for effect in effects):
            self.history.revoked.added_at.clear()
            return [ReportAttemptState(AttemptState.REVOKED)]
        return effects


class PathWorld:
    """One backend server, its gate, and the forwarder of another daemon."""

    def __init__(self, gate_class=GateController, client_class=HttpClient):
        self.client_class = client_class
        self.clock = LoopClock()
        self.results = {}
        self.refused = set()
        self.upload_chunks_taken = 0
        self.settings = DaemonSettings(
            "gate-1", "bole", "a:1", "a:2", "a:3", "127.0.0.1:4"
        )
        self.blackboard = Blackboard(Member("gate-1", 1, "", "", "bole"))
        self.controller = gate_class(
            self.settings, self.blackboard, self.clock, random.Random(1)
        )
        self.gate = GateService(
            self.settings, self.controller, self.make_client(), self.clock
        )
        self.app = ExchangeApp(self.gate.handle)
        self.server = HttpServer(self.app, self.app.announce_closing)
        entry_board = Blackboard(Member("entry-1", 1, "", "", "bole"))
        self.forwarder = HttpForwarder(entry_board, self.make_client(), self.gate)

    def make_client(self):
        return self.client_class(self.settings.requests, self.clock)

    async def start(self, **changes):
        """Start the backend server and the gate."""
        settings = BackendServerSettings("contracts", "127.0.0.1:9000", **changes)
        self.backend = BackendServer(settings)
        address = await self.backend.start()
        self.target_id = f"contracts/{address}"
        self.set_state(TargetState.SERVING)
        gate_address = await self.server.start("127.0.0.1:8000")
        self.member = Member("gate-1", 1, "", gate_address, "bole")

    def set_state(self, state):
        target = Target(self.target_id, "contracts", "gate-1", "bole", state=state)
        self.blackboard.targets[self.target_id] = target

    async def call(self, key, body=None, length=0, time_left_ms=60_000, **options):
        """Send one request and keep how it ended."""
        time_left = time_left_ms * MILLISECOND
        idempotent = options.get("idempotent", False)
        headers = (
            ("fake-key", key),
            ("fake-work-ms", str(options.get("work_ms", 10))),
            ("content-length", str(length)),
        )
        request = RequestContext(
            request_id=options.get("request_id", key),
            service="contracts",
            route="sign",
            account="",
            method="POST",
            path="/sign",
            idempotent=idempotent,
            idempotency_key=None,
            deadline=self.clock.monotonic() + time_left,
        )
        incoming = IncomingRequest("POST", "/sign", headers, body or yield_nothing())
        try:
            answer = await self.forwarder.forward(
                request, self.member, self.target_id, incoming, time_left
            )
            data = b"".join([chunk async for chunk in answer.body])
            await answer.close()
            self.results[key] = (answer.status, data.decode())
            self.uploaded = dict(answer.headers).get("fake-body-bytes")
        except RequestError as error:
            self.results[key] = error

    async def make_upload(self, chunks, pause_s):
        for _ in range(chunks):
            self.upload_chunks_taken += 1
            yield UPLOAD_CHUNK
            await asyncio.sleep(pause_s)

    def silence(self):
        """Have the gate hear nothing on the connections that are open now."""
        self.silent = list(self.server.state.connections)
        for connection in self.silent:
            connection.transport.pause_reading()

    def deliver_after_revocation(self):
        """Have the silent connections deliver what they were sent, just too late."""
        handle = self.controller.handle

        def handle_and_deliver(event):
            effects = handle(event)
            if isinstance(event, AttemptRevocationRequested):
                for connection in self.silent:
                    connection.transport.resume_reading()
            return effects

        self.controller.handle = handle_and_deliver

    def runs(self, key):
        return self.backend.counts.runs[key]


async def yield_nothing():
    return
    yield b""


def run_path(context, scenario, seed=1, net=None, **backend_changes):
    """Run a scenario in virtual time."""

    async def main():
        world = PathWorld(context.gate_class, context.client_class)
        context.path = world
        await world.start(**backend_changes)
        await scenario(world)
        await asyncio.sleep(5)
        await world.server.close()
        await world.backend.stop()

    detangle.run(main, seed=seed, net=net or {})


@given("a backend server behind its gate, and an entry")
def use_path(context):
    context.gate_class = GateController
    context.client_class = HttpClient


@given('the same with the planted client fault "{name}"')
def use_faulty_path_client(context, name):
    context.gate_class = GateController
    context.client_class = CLIENT_FAULTS[name]


@given("a backend server behind a gate that forgets what it barred, and an entry")
def use_forgetful_gate(context):
    context.gate_class = ForgetfulGate
    context.client_class = HttpClient


@when("the kept connection goes silent before a non-idempotent request")
def go_silent(context):
    async def scenario(world):
        await world.call("warm")
        world.silence()
        world.deliver_after_revocation()
        await world.call("lost")
        await world.call("again", request_id="lost")

    run_path(context, scenario)


@when("a request takes {time_ms:d} ms on a kept connection that works")
def run_slowly(context, time_ms):
    async def scenario(world):
        await world.call("warm")
        await world.call("slow", work_ms=time_ms)

    run_path(context, scenario)


@when("an answer is lost on a kept connection")
def lose_answer(context):
    async def scenario(world):
        await world.call("warm")
        running = asyncio.create_task(world.call("unheard", work_ms=500))
        await asyncio.sleep(0.1)
        for connection in world.server.state.connections:
            connection.transport.write = lambda data: None
        await running

    run_path(context, scenario)


@when("a caller cancels a request that the backend server is running")
def cancel_running(context):
    async def scenario(world):
        task = asyncio.create_task(world.call("cancelled", work_ms=10_000))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.1)
        context.held = len(world.controller.queues[world.target_id].running)

    run_path(context, scenario)


@when("the backend server never answers a request with {time_ms:d} ms left")
def never_answer(context, time_ms):
    async def scenario(world):
        world.backend.faults = Faults(hang_share=1.0)
        await world.call("hanging", time_left_ms=time_ms)

    run_path(context, scenario)


@when("the deadline of a request passes while it waits for a slot")
def wait_past_deadline(context):
    async def scenario(world):
        running = [
            asyncio.create_task(world.call(f"running-{n}", work_ms=1_000))
            for n in range(4)
        ]
        await asyncio.sleep(0.1)
        await world.call("waiting", time_left_ms=200)
        await asyncio.gather(*running)

    run_path(context, scenario)


@when('the backend server has the fault "{name}"')
def have_fault(context, name):
    async def scenario(world):
        world.backend.faults = Faults(**{name: 1.0})
        await world.call("faulty")

    run_path(context, scenario)


@when("the backend server has crashed")
def crash(context):
    async def scenario(world):
        await world.backend.stop()
        await world.call("unsent")

    run_path(context, scenario)


@when("a large upload is sent to a gate that refuses it")
def refuse_upload(context):
    async def scenario(world):
        world.set_state(TargetState.LEAVING)
        chunks = 100
        body = world.make_upload(chunks, 0)
        await world.call("upload", body, chunks * len(UPLOAD_CHUNK))

    run_path(context, scenario)


@when("the backend server leaves under load with a long upload running")
def leave_under_load(context):
    context.leaving_s = 5.0

    async def keep_calling(world, caller):
        for number in range(100):
            await world.call(f"{caller}-{number}", work_ms=20)
            await asyncio.sleep(0.05)

    async def scenario(world):
        chunks = 200
        body = world.make_upload(chunks, 0.1)
        upload = asyncio.create_task(
            world.call("upload", body, chunks * len(UPLOAD_CHUNK))
        )
        callers = [asyncio.create_task(keep_calling(world, n)) for n in range(8)]
        await asyncio.sleep(1)
        world.set_state(TargetState.LEAVING)
        await world.backend.drain()
        context.uploads_run = world.runs("upload")
        await asyncio.gather(upload, *callers)

    run_path(context, scenario)


@when("the daemon of the gate drains under load with a long upload running")
def drain_under_load(context):
    async def keep_calling(world, caller):
        for number in range(40):
            await world.call(f"{caller}-{number}", work_ms=20)
            await asyncio.sleep(0.05)

    async def scenario(world):
        chunks = 100
        body = world.make_upload(chunks, 0.1)
        upload = asyncio.create_task(
            world.call("upload", body, chunks * len(UPLOAD_CHUNK))
        )
        callers = [asyncio.create_task(keep_calling(world, n)) for n in range(8)]
        await asyncio.sleep(1)
        world.server.stop_accepting()
        context.drained = await world.server.drain(timedelta(seconds=60))
        context.uploads_run = world.runs("upload")
        await world.server.close()
        await asyncio.gather(upload, *callers)

    run_path(context, scenario)


@when("{count:d} schedules run with split and delayed bytes, faults and cancellations")
def run_schedules(context, count):
    context.worlds = []

    async def keep_calling(world, caller, rng):
        for number in range(6):
            idempotent = rng.random() < 0.5
            call = world.call(
                f"{caller}-{number}",
                idempotent=idempotent,
                time_left_ms=rng.choice((50, 2_000, 20_000)),
                work_ms=rng.choice((0, 10, 200)),
            )
            task = asyncio.create_task(call)
            if rng.random() < 0.2:
                await asyncio.sleep(rng.random() * 0.3)
                task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(rng.choice((0, 0, 1)))

    for seed in range(count):

        async def scenario(world, seed=seed):
            context.worlds.append(world)
            rng = random.Random(seed)
            world.backend.faults = Faults(
                truncate_share=0.1, lose_share=0.1, hang_share=0.05
            )
            callers = [keep_calling(world, n, rng) for n in range(6)]
            await asyncio.gather(*callers)

        net = {"latency": (0.0005, 0.02), "fragment": 0.3}
        run_path(context, scenario, seed=seed, net=net)


@then('"{key}" ended as "{reason}" with verdict "{verdict}" and blame "{blame}"')
def check_error(context, key, reason, verdict, blame):
    error = context.path.results[key]
    assert isinstance(error, RequestError), error
    found = (error.reason, error.verdict.value, error.blame.value)
    assert found == (reason, verdict, blame), (found, str(error))


@then('"{key}" got its own whole answer')
def check_answered(context, key):
    assert context.path.results[key] == (200, f"{key}\n"), context.path.results[key]


@then('the backend server ran "{key}" {count:d} times')
def check_runs(context, key, count):
    assert context.path.runs(key) == count, context.path.backend.counts


@then('the backend server was sent "{key}" {count:d} times')
def check_started(context, key, count):
    counts = context.path.backend.counts
    assert counts.started[key] == count, counts


@then("the backend server was told of the cancellation and its slot is free")
def check_cancellation(context):
    assert context.path.backend.counts.cancelled == 1, context.path.backend.counts
    assert context.held == 0, context.held


@then("the body of the upload was not touched")
def check_untouched(context):
    assert context.path.upload_chunks_taken == 0, context.path.upload_chunks_taken


@then("the upload arrived whole before the end of the drain")
def check_upload(context):
    assert context.uploads_run == 1
    assert context.path.results["upload"] == (200, "upload\n")
    assert context.path.upload_chunks_taken >= 100


@then("every request was answered whole, once, or truly not run")
def check_outcomes(context):
    answered = 0
    for key, result in context.path.results.items():
        if isinstance(result, RequestError):
            assert result.verdict.value == "not-run", (key, str(result))
            assert context.path.runs(key) == 0, key
        else:
            answered += 1
            assert result == (200, f"{key}\n"), (key, result)
            assert context.path.runs(key) == 1, key
    assert 50 < answered < len(context.path.results), answered


@then("no new work reached the backend server more than {limit_ms:d} ms after that")
def check_late_work(context, limit_ms):
    late_ms = context.path.backend.counts.late_work_ms
    assert late_ms <= limit_ms, late_ms


def find_violations(worlds):
    """Return every ending that was not true, and the kinds of endings."""
    kinds = set()
    violations = []
    for seed, world in enumerate(worlds):
        for key, result in world.results.items():
            started = world.backend.counts.started[key]
            is_error = isinstance(result, RequestError)
            kind = result.verdict.value if is_error else "answered"
            kinds.add(kind)
            is_lie = kind == "not-run" and started
            is_wrong = kind == "answered" and result != (200, f"{key}\n")
            if started > 1 or is_lie or is_wrong:
                violations.append((seed, key, started, str(result)))
    return violations, kinds


@then("in no schedule a caller was told a lie or a request ran twice")
def check_schedules(context):
    violations, kinds = find_violations(context.worlds)
    assert not violations, violations
    assert kinds == {"answered", "not-run", "may-have-run"}, kinds


@then("some schedule shows a lie or a request that ran twice")
def check_schedules_catch(context):
    violations, _ = find_violations(context.worlds)
    assert violations
