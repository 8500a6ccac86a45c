"""Steps for requests that crash backend servers."""

import asyncio
import contextlib
import random
from datetime import timedelta

import attrs
import detangle
from asking_gates_steps import EntryWithGates
from behave import given, then, when
from scripted_servers import start_scripted_server
from target_answers_steps import ADDRESS, SETTINGS, create_gate

from wagtailstep.controllers.suspects import MAX_SUSPECTS, CrashSuspects
from wagtailstep.exceptions import (
    ConnectionFailedError,
    RequestError,
    ServerCrashedError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Member
from wagtailstep.models.gate import GateRequest
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.suspects import (
    InterruptedRun,
    ServerCrashed,
    SuspectAnswered,
    SuspectState,
)
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.crash_watch import CrashWatch
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.interpret import fingerprint_work
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock, ManualClock

MILLISECOND = timedelta(milliseconds=1)
TICK = 100 * MILLISECOND
RUN_TIME = 80 * MILLISECOND
DELAY = 10 * MILLISECOND
PAUSE = 300 * MILLISECOND


class SuspectFleet:
    """Controllers of several daemons with a network that loses and repeats messages."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.loss = 0.0
        self.copies = 1
        self.ever_blocked = set()
        self.members = {
            f"d{i}": Member(f"d{i}", 1, f"d{i}", "", "bole")
            for i in range(1, count + 1)
        }
        self.controllers = {}
        for name in self.members:
            self.start(name)

    def start(self, name):
        settings = DaemonSettings(name, "bole", "h:1", "h:2", "h:3", "h:4")
        board = Blackboard(self.members[name], members=self.members)
        self.controllers[name] = CrashSuspects(settings, board, self.clock, self.rng)

    def dispatch(self, name, event):
        for effect in self.controllers[name].handle(event):
            if not isinstance(effect, SendToPeer) or self.rng.random() < self.loss:
                continue
            for _ in range(self.copies):
                received = PeerMessageReceived(name, effect.message)
                self.controllers[effect.address].handle(received)
        self.ever_blocked |= {
            fingerprint
            for controller in self.controllers.values()
            for fingerprint, state in controller.blackboard.suspects.items()
            if state.blocked_until is not None
        }

    def crash_server(self, name, fingerprints, started_at):
        runs = tuple(InterruptedRun(each, started_at) for each in fingerprints)
        self.dispatch(name, ServerCrashed(f"contracts/{name}", runs))

    def crash_in_turn(self, name, fingerprints):
        started_at = self.clock.monotonic()
        self.clock.advance(RUN_TIME)
        self.crash_server(name, fingerprints, started_at)
        self.clock.advance(PAUSE)

    def pass_time(self, duration):
        for _ in range(duration // TICK):
            self.clock.advance(TICK)
            for name in self.controllers:
                self.dispatch(name, Tick())

    def count_blocking(self, fingerprint):
        states = [
            controller.blackboard.suspects.get(fingerprint)
            for controller in self.controllers.values()
        ]
        return sum(s is not None and s.blocked_until is not None for s in states)


@given("{count:d} daemons that exchange crashes of their servers")
def create_fleet(context, count):
    context.fleet = SuspectFleet(count)


@given("1 message in {count:d} is lost")
def lose_messages(context, count):
    context.fleet.loss = 1 / count


@given("each message is delivered three times")
def repeat_messages(context):
    context.fleet.copies = 3


@when('servers crash running request "{name}" at daemons {daemons} in turn')
def crash_in_turn(context, name, daemons):
    for number in daemons.split(", "):
        context.fleet.crash_in_turn(f"d{number}", [name])


@when('servers crash running requests "{names}" at daemon {number:d}')
def crash_running_several(context, names, number):
    context.fleet.crash_in_turn(f"d{number}", names.split(","))


@when('the servers of daemons {daemons} crash simultaneously running request "{name}"')
def crash_simultaneously(context, daemons, name):
    fleet = context.fleet
    started_at = fleet.clock.monotonic()
    fleet.clock.advance(RUN_TIME)
    for number in daemons.split(", "):
        fleet.crash_server(f"d{number}", [name], started_at)
        fleet.clock.advance(DELAY)


@when("servers crash running {count:d} other requests at daemon {number:d}")
def crash_running_many(context, count, number):
    for index in range(count):
        context.fleet.crash_in_turn(f"d{number}", [f"other-{index}"])


@when("request {serial:d} arrives, during which {count:d} servers crashed before")
def arrive_as_suspect(context, serial, count):
    context.gate.blackboard.suspects["a"] = SuspectState(count)
    context.gate.arrive(serial, fingerprint="a")


@when('daemon {number:d} answers request "{name}"')
def answer_request(context, number, name):
    context.fleet.dispatch(f"d{number}", SuspectAnswered(name))


@when("daemon {number:d} restarts")
def restart_daemon(context, number):
    context.fleet.start(f"d{number}")


@when("{seconds:d} s pass for the daemons")
def pass_time(context, seconds):
    context.fleet.pass_time(timedelta(seconds=seconds))


@when(
    "{crashes:d} servers crash within {seconds:d} s running {running:d} requests each, "
    "of {rate:d} a second for {count:d} resources"
)
def play_crashes(context, crashes, seconds, running, rate, count):
    fleet = context.fleet
    names = list(fleet.controllers)
    total = rate * seconds
    crashing = set(fleet.rng.sample(range(total), crashes))
    for number in range(total):
        started_at = fleet.clock.monotonic()
        fleet.clock.advance(timedelta(seconds=1 / rate))
        name = fleet.rng.choice(names)
        if number in crashing:
            found = [f"r{fleet.rng.randrange(count)}" for _ in range(running)]
            fleet.crash_server(name, found, started_at)
        answered = f"r{fleet.rng.randrange(count)}"
        if answered in fleet.controllers[name].blackboard.suspects:
            fleet.dispatch(name, SuspectAnswered(answered))


@then('request "{name}" is blocked at all daemons')
def check_blocked(context, name):
    found = context.fleet.count_blocking(name)
    assert found == len(context.fleet.controllers), found


@then('request "{name}" is blocked at none')
def check_not_blocked(context, name):
    assert context.fleet.count_blocking(name) == 0


@then('nothing is known of request "{name}"')
def check_unknown(context, name):
    for controller in context.fleet.controllers.values():
        assert name not in controller.suspects, controller.suspects
        assert name not in controller.blackboard.suspects


@then("each daemon knows at most {count:d} suspects")
def check_bound(context, count):
    assert count == MAX_SUSPECTS
    for controller in context.fleet.controllers.values():
        assert len(controller.suspects) <= count
        assert len(controller.blackboard.suspects) <= count


@then("no request was ever blocked")
def check_never_blocked(context):
    assert not context.fleet.ever_blocked, context.fleet.ever_blocked


def build_fingerprint(
    service="contracts",
    method="POST",
    path="/sign/1",
    host="book.example",
    account="band",
    authorization="Bearer 1",
    body=b"{}",
    identifier="r1",
    timeout="4000",
):
    request = RequestContext(
        request_id=identifier,
        service=service,
        route="sign",
        account=account,
        method=method,
        path=path,
        idempotent=False,
        idempotency_key=None,
        deadline=timedelta(milliseconds=int(timeout)),
    )
    headers = (
        ("host", host),
        ("authorization", authorization),
        ("wagtailstep-request-id", identifier),
        ("wagtailstep-timeout-ms", timeout),
        ("content-length", str(len(body))),
    )
    incoming = IncomingRequest(method, path, headers, yield_body(body))
    return fingerprint_work(request, incoming, body)


CHANGES = {
    "service": {"service": "archive"},
    "method": {"method": "PUT"},
    "path": {"path": "/sign/2"},
    "query": {"path": "/sign/1?a=1"},
    "host": {"host": "other.example"},
    "client account": {"account": "choir"},
    "authorization": {"authorization": "Bearer 2"},
    "body": {"body": b"[]"},
    "identifier": {"identifier": "r2"},
    "timeout": {"timeout": "2000"},
}


@then("a request with another {part} has {relation} fingerprint")
def check_fingerprint(context, part, relation):
    is_same = build_fingerprint() == build_fingerprint(**CHANGES[part])
    assert is_same == (relation == "the same")


async def run_at_gate(gate, name):
    headers = (
        ("host", "a.test"),
        ("wagtailstep-request-id", name),
        ("wagtailstep-target", "contracts/i-1"),
        ("wagtailstep-fingerprint", name),
        ("wagtailstep-timeout-ms", "2000"),
    )
    incoming = IncomingRequest("GET", "/lookup/", headers, yield_body(b""))
    try:
        answer = await gate.handle(incoming)
        await answer.close()
        return "answered"
    except RequestError as error:
        return f"{error.reason} {error.verdict.value}"


@when("a backend server {fate} while 2 requests run there")
def break_running_server(context, fate):
    async def main():
        clock = LoopClock()
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await reader.read()

        client = HttpClient(SETTINGS.requests, clock)
        gate = create_gate(client, clock)
        context.reported = []
        gate.dispatch = context.reported.append
        gate.crash_watch.dispatch = context.reported.append
        host, _, port = ADDRESS.rpartition(":")
        server = await start_scripted_server(serve, host, int(port))
        running = [asyncio.create_task(run_at_gate(gate, n)) for n in ("one", "two")]
        await asyncio.sleep(0.2)
        if fate == "crashes":
            server.close()
        for writer in list(writers):
            writer.transport.abort()
        context.ends = await asyncio.gather(*running)
        client.close()
        server.close()

    detangle.run(main, seed=1)


@when("a backend server crashes running a request and one of an older release")
def crash_with_older_release(context):
    context.reported = []
    requests = [
        GateRequest(
            1, "r1", "a1", "contracts/i-1", "", True, RUN_TIME, fingerprint="a"
        ),
        GateRequest(2, "r2", "a2", "contracts/i-1", "", True, RUN_TIME),
    ]

    async def main():
        watch = CrashWatch(
            HttpClient(SETTINGS.requests, LoopClock()),
            LoopClock(),
            context.reported.append,
        )
        for request in requests:
            watch.start(request, ADDRESS)
        error = ConnectionFailedError("reset", Verdict.MAY_HAVE_RUN)
        await watch.assess(requests[0], error)

    detangle.run(main, seed=1)


@then("the request was not reported as exclusive")
def check_not_exclusive(context):
    (crash,) = context.reported
    assert not crash.was_exclusive, crash


class UncheckedClient:
    """Breaks each exchange, and never tells whether the server listens."""

    async def send(self, request):
        raise ConnectionFailedError("reset", Verdict.MAY_HAVE_RUN)

    async def is_listening(self, address, timeout):
        await asyncio.Event().wait()


@when("a backend server crashes and its caller leaves before the check is done")
def leave_during_check(context):
    async def main():
        context.gate = create_gate(UncheckedClient(), LoopClock())
        task = asyncio.create_task(run_at_gate(context.gate, "one"))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait({task})
        assert task.cancelled()
        for check in context.gate.crash_watch.checks.values():
            check.cancel()

    detangle.run(main, seed=1)


@then("{count:d} requests are reported as in progress at its crash")
def check_reported(context, count):
    crashes = [e for e in context.reported if isinstance(e, ServerCrashed)]
    assert len(crashes) == (1 if count else 0), crashes
    found = {run.fingerprint for crash in crashes for run in crash.runs}
    assert len(found) == count, found


@then('they end as "{reason}" with verdict "{verdict}"')
def check_ends(context, reason, verdict):
    assert context.ends == [f"{reason} {verdict}"] * 2, context.ends


class CrashingServers:
    """An entry whose targets' servers crash at each request."""

    def __init__(self):
        self.entry = EntryWithGates(12, self.answer)
        board = self.entry.board
        self.suspects = CrashSuspects(
            DaemonSettings("d0", "bole", "h:1", "h:2", "h:3", "h:4"),
            board,
            self.entry.clock,
            random.Random(1),
        )

    def answer(self, request, target_id):
        run = InterruptedRun(request.fingerprint, self.entry.clock.monotonic())
        self.entry.clock.advance(RUN_TIME)
        self.suspects.handle(ServerCrashed(target_id, (run,)))
        raise ServerCrashedError("the server crashed", Verdict.MAY_HAVE_RUN)

    def send(self, serial):
        self.entry.errors.clear()
        self.entry.send(serial, idempotent=True)
        self.entry.clock.advance(PAUSE)


@when("each server that gets a request crashes")
def create_crashing_servers(context):
    context.servers = CrashingServers()
    context.serial = 0


@then(
    "an idempotent request was sent to {count:d} servers and ended with status "
    "{status:d}"
)
@then(
    "the next arrival of it was sent to {count:d} servers and ended with status "
    "{status:d}"
)
def check_sent(context, count, status):
    context.serial += 1
    context.servers.send(context.serial)
    entry = context.servers.entry
    assert len(entry.sent) == count, entry.sent
    (error,) = entry.errors
    assert error.status == status, attrs.asdict(error) if attrs.has(error) else error
