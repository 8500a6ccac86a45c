"""Steps for requests from an entry through a gate to a backend server.

The components are the real ones, without a table; the network is in memory and time
is virtual.
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


class UnenforcedRevocationGate(GateController):
    """Planted fault: reports an attempt as revoked but still accepts it."""

    def handle(self, event):
        effects = super().handle(event)
        if any(isinstance(effect, ReportAttemptState) for effect in effects):
            self.history.revoked.added_at.clear()
            return [ReportAttemptState(AttemptState.REVOKED)]
        return effects


class RequestPathHarness:
    """One backend server, its gate, and the forwarder of another daemon."""

    def __init__(self, gate_class=GateController, client_class=HttpClient):
        self.client_class = client_class
        self.clock = LoopClock()
        self.results = {}
        self.refused = set()
        self.upload_chunks_read = 0
        self.settings = DaemonSettings(
            "gate-1", "bole", "a:1", "a:2", "a:3", "127.0.0.1:4"
        )
        self.blackboard = Blackboard(Member("gate-1", 1, "", "", "bole"))
        self.controller = gate_class(
            self.settings, self.blackboard, self.clock, random.Random(1)
        )
        self.gate = GateService(
            self.settings, self.controller, self.create_client(), self.clock
        )
        self.app = ExchangeApp(self.gate.handle)
        self.server = HttpServer(self.app, self.app.announce_closing)
        entry_board = Blackboard(Member("entry-1", 1, "", "", "bole"))
        self.forwarder = HttpForwarder(entry_board, self.create_client(), self.gate)

    def create_client(self):
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
        """Send one request and record its outcome."""
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

    async def generate_upload(self, chunks, pause_s):
        for _ in range(chunks):
            self.upload_chunks_read += 1
            yield UPLOAD_CHUNK
            await asyncio.sleep(pause_s)

    def stop_reading(self):
        """Stop the gate from reading on the connections that are open now."""
        self.unresponsive_connections = list(self.server.state.connections)
        for connection in self.unresponsive_connections:
            connection.transport.pause_reading()

    def deliver_after_revocation(self):
        """Let the gate read these connections again, just after the revocation."""
        handle = self.controller.handle

        def handle_and_deliver(event):
            effects = handle(event)
            if isinstance(event, AttemptRevocationRequested):
                for connection in self.unresponsive_connections:
                    connection.transport.resume_reading()
            return effects

        self.controller.handle = handle_and_deliver

    def count_runs(self, key):
        return self.backend.counts.runs[key]


async def yield_nothing():
    return
    yield b""


def run_harness(context, scenario, seed=1, net=None, **backend_changes):
    """Run a scenario in virtual time."""

    async def main():
        harness = RequestPathHarness(context.gate_class, context.client_class)
        context.harness = harness
        await harness.start(**backend_changes)
        await scenario(harness)
        await asyncio.sleep(5)
        await harness.server.close()
        await harness.backend.stop()

    detangle.run(main, seed=seed, net=net or {})


@given("a backend server behind its gate, and an entry")
def use_gate_and_entry(context):
    context.gate_class = GateController
    context.client_class = HttpClient


@given('the same with the planted client fault "{name}"')
def use_faulty_client(context, name):
    context.gate_class = GateController
    context.client_class = CLIENT_FAULTS[name]


@given("a backend server behind a gate that forgets what it barred, and an entry")
def use_unenforced_revocation_gate(context):
    context.gate_class = UnenforcedRevocationGate
    context.client_class = HttpClient


@when("the kept-alive connection stops responding before a non-idempotent request")
def stop_responding(context):
    async def scenario(harness):
        await harness.call("warm")
        harness.stop_reading()
        harness.deliver_after_revocation()
        await harness.call("lost")
        await harness.call("again", request_id="lost")

    run_harness(context, scenario)


@when("a request takes {time_ms:d} ms on a working kept-alive connection")
def run_slowly(context, time_ms):
    async def scenario(harness):
        await harness.call("warm")
        await harness.call("slow", work_ms=time_ms)

    run_harness(context, scenario)


@when("an answer is lost on a kept-alive connection")
def lose_answer(context):
    async def scenario(harness):
        await harness.call("warm")
        running = asyncio.create_task(harness.call("unheard", work_ms=500))
        await asyncio.sleep(0.1)
        for connection in harness.server.state.connections:
            connection.transport.write = lambda data: None
        await running

    run_harness(context, scenario)


@when("a caller cancels a request that the backend server is running")
def cancel_running(context):
    async def scenario(harness):
        task = asyncio.create_task(harness.call("cancelled", work_ms=10_000))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.1)
        context.occupied_slots = len(
            harness.controller.queues[harness.target_id].running
        )

    run_harness(context, scenario)


@when("the backend server never answers a request with {time_ms:d} ms left")
def never_answer(context, time_ms):
    async def scenario(harness):
        harness.backend.faults = Faults(hang_share=1.0)
        await harness.call("hanging", time_left_ms=time_ms)

    run_harness(context, scenario)


@when("the deadline of a request passes while it waits for a slot")
def wait_past_deadline(context):
    async def scenario(harness):
        running = [
            asyncio.create_task(harness.call(f"running-{n}", work_ms=1_000))
            for n in range(4)
        ]
        await asyncio.sleep(0.1)
        await harness.call("waiting", time_left_ms=200)
        await asyncio.gather(*running)

    run_harness(context, scenario)


@when('the backend server has the fault "{name}"')
def set_backend_fault(context, name):
    async def scenario(harness):
        harness.backend.faults = Faults(**{name: 1.0})
        await harness.call("faulty")

    run_harness(context, scenario)


@when("the backend server has crashed")
def crash(context):
    async def scenario(harness):
        await harness.backend.stop()
        await harness.call("unsent")

    run_harness(context, scenario)


@when("a large upload is sent to a gate that refuses it")
def refuse_upload(context):
    async def scenario(harness):
        harness.set_state(TargetState.LEAVING)
        chunks = 100
        body = harness.generate_upload(chunks, 0)
        await harness.call("upload", body, chunks * len(UPLOAD_CHUNK))

    run_harness(context, scenario)


@when("the backend server leaves under load with a long upload running")
def remove_under_load(context):
    context.leaving_s = 5.0

    async def keep_calling(harness, caller):
        for number in range(100):
            await harness.call(f"{caller}-{number}", work_ms=20)
            await asyncio.sleep(0.05)

    async def scenario(harness):
        chunks = 200
        body = harness.generate_upload(chunks, 0.1)
        upload = asyncio.create_task(
            harness.call("upload", body, chunks * len(UPLOAD_CHUNK))
        )
        callers = [asyncio.create_task(keep_calling(harness, n)) for n in range(8)]
        await asyncio.sleep(1)
        harness.set_state(TargetState.LEAVING)
        await harness.backend.drain()
        context.uploads_run = harness.count_runs("upload")
        await asyncio.gather(upload, *callers)

    run_harness(context, scenario)


@when("the daemon of the gate drains under load with a long upload running")
def drain_under_load(context):
    async def keep_calling(harness, caller):
        for number in range(40):
            await harness.call(f"{caller}-{number}", work_ms=20)
            await asyncio.sleep(0.05)

    async def scenario(harness):
        chunks = 100
        body = harness.generate_upload(chunks, 0.1)
        upload = asyncio.create_task(
            harness.call("upload", body, chunks * len(UPLOAD_CHUNK))
        )
        callers = [asyncio.create_task(keep_calling(harness, n)) for n in range(8)]
        await asyncio.sleep(1)
        harness.server.stop_accepting()
        context.drained = await harness.server.drain(timedelta(seconds=60))
        context.uploads_run = harness.count_runs("upload")
        await harness.server.close()
        await asyncio.gather(upload, *callers)

    run_harness(context, scenario)


@when("{count:d} schedules run with split and delayed bytes, faults and cancellations")
def run_schedules(context, count):
    context.harnesses = []

    async def keep_calling(harness, caller, rng):
        for number in range(6):
            idempotent = rng.random() < 0.5
            call = harness.call(
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

        async def scenario(harness, seed=seed):
            context.harnesses.append(harness)
            rng = random.Random(seed)
            harness.backend.faults = Faults(
                truncate_share=0.1, lose_share=0.1, hang_share=0.05
            )
            callers = [keep_calling(harness, n, rng) for n in range(6)]
            await asyncio.gather(*callers)

        net = {"latency": (0.0005, 0.02), "fragment": 0.3}
        run_harness(context, scenario, seed=seed, net=net)


@then('"{key}" ended as "{reason}" with verdict "{verdict}" and blame "{blame}"')
def check_error(context, key, reason, verdict, blame):
    error = context.harness.results[key]
    assert isinstance(error, RequestError), error
    found = (error.reason, error.verdict.value, error.blame.value)
    assert found == (reason, verdict, blame), (found, str(error))


@then('"{key}" received its own complete answer')
def check_answered(context, key):
    assert context.harness.results[key] == (200, f"{key}\n"), context.harness.results[
        key
    ]


@then('the backend server ran "{key}" {count:d} times')
def check_runs(context, key, count):
    assert context.harness.count_runs(key) == count, context.harness.backend.counts


@then('the backend server received "{key}" {count:d} times')
def check_received_count(context, key, count):
    counts = context.harness.backend.counts
    assert counts.started[key] == count, counts


@then("the backend server was notified of the cancellation and its slot is free")
def check_cancellation(context):
    assert context.harness.backend.counts.cancelled == 1, context.harness.backend.counts
    assert context.occupied_slots == 0, context.occupied_slots


@then("the body of the upload was not read")
def check_unread(context):
    assert context.harness.upload_chunks_read == 0, context.harness.upload_chunks_read


@then("the complete upload arrived before the end of the drain")
def check_upload(context):
    assert context.uploads_run == 1
    assert context.harness.results["upload"] == (200, "upload\n")
    assert context.harness.upload_chunks_read >= 100


@then(
    "every request was answered completely and run once, or reported as not run and "
    "not run"
)
def check_outcomes(context):
    answered = 0
    for key, result in context.harness.results.items():
        if isinstance(result, RequestError):
            assert result.verdict.value == "not-run", (key, str(result))
            assert context.harness.count_runs(key) == 0, key
        else:
            answered += 1
            assert result == (200, f"{key}\n"), (key, result)
            assert context.harness.count_runs(key) == 1, key
    assert 50 < answered < len(context.harness.results), answered


@then(
    "no new work reached the backend server more than {limit_ms:d} ms after it began "
    "to leave"
)
def check_no_late_work(context, limit_ms):
    late_ms = context.harness.backend.counts.late_work_ms
    assert late_ms <= limit_ms, late_ms


def find_violations(harnesses):
    """Return all wrong outcomes, and the set of outcome types that occurred."""
    outcomes = set()
    violations = []
    for seed, harness in enumerate(harnesses):
        for key, result in harness.results.items():
            started = harness.backend.counts.started[key]
            is_error = isinstance(result, RequestError)
            outcome = result.verdict.value if is_error else "answered"
            outcomes.add(outcome)
            is_wrong_not_run = outcome == "not-run" and started
            is_wrong_answer = outcome == "answered" and result != (200, f"{key}\n")
            if started > 1 or is_wrong_not_run or is_wrong_answer:
                violations.append((seed, key, started, str(result)))
    return violations, outcomes


@then("no schedule shows a wrong outcome or a request that ran twice")
def check_schedules(context):
    violations, outcomes = find_violations(context.harnesses)
    assert not violations, violations
    assert outcomes == {"answered", "not-run", "may-have-run"}, outcomes


@then("some schedule shows a wrong outcome or a request that ran twice")
def check_schedules_catch(context):
    violations, _ = find_violations(context.harnesses)
    assert violations
