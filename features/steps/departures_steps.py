"""Steps for servers whose daemon is killed after they have left, in virtual time."""

import asyncio
import random
from datetime import timedelta

import detangle
import msgspec
from behave import given, then, when
from benchmarks.soak.fleet import SERVICE, SoakClock, SoakFleet

from wagtailstep.exceptions import RequestError
from wagtailstep.models.departures import MAX_ANNOUNCEMENT_DELAY
from wagtailstep.models.fleet import TargetState
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.platform.stand_in import LATE_APPEND_S, StoreFaults
from wagtailstep.platform.store import TOPICS, Collection, parse_keyed_record
from wagtailstep.utils.clock import LoopClock

FLEET_SIZE = 3
WARMUP_S = 6.0
DOWN_S = 1.0
WATCH_S = 8.0
POLL_S = 0.02
SLOW_STORE_S = 0.9
REPEAT_S = 0.2
DRAIN_MS = 2_000
CALL_TIMEOUT = timedelta(seconds=1)
DEPARTURES = TOPICS[Collection.DEPARTURES]


class DepartureRun:
    """A fleet, and one server of it whose announcements the test sends itself."""

    def __init__(self):
        self.offers = []
        # Daemons with a table, and those of them that send the server requests.
        self.choices = []
        self.acknowledged_at_s = None
        self.late_heartbeat = None

    async def start(self):
        self.fleet = SoakFleet(FLEET_SIZE, random.Random(1))
        await self.fleet.start()
        await asyncio.sleep(WARMUP_S)
        self.host = self.fleet.hosts[0]
        self.target_id = f"{SERVICE}/i-{self.host.name}"
        # The server's own heartbeats end here.
        self.host.backend = None
        await asyncio.sleep(2)
        self.born = int(SoakClock().utc().timestamp() * 1_000)
        self.sequence = 0
        await self.call("PUT", self.build_heartbeat("ready"))
        await asyncio.sleep(1)

    def build_heartbeat(self, state):
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": f"{self.host.name}:9000",
            "zone": self.host.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmup-left": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }

    async def call(self, method, content):
        data = msgspec.json.encode(content) if content else b""
        request = HttpRequest(
            address=f"{self.host.name}:8004",
            method=method,
            path=f"/v1/instances/i-{self.host.name}",
            headers=(("host", "a"), ("content-length", str(len(data)))),
            body=yield_body(data),
            idempotent=True,
            time_left=CALL_TIMEOUT,
        )
        try:
            # A pooled connection would not survive a kill of the daemon.
            client = HttpClient(RequestSettings(), LoopClock())
            answer = await client.send(request)
            await read_complete_body(answer)
            return answer.status
        except RequestError:
            return 0

    async def leave(self, kind):
        assert await self.ask_to_leave(kind), kind

    async def ask_to_leave(self, kind):
        """Send a message by which the server leaves; return whether it succeeded."""
        if kind == "DELETE":
            status = await self.call("DELETE", None)
        else:
            status = await self.call("PUT", self.build_heartbeat("draining"))
        self.answered_at_s = asyncio.get_running_loop().time()
        if status == 200 and self.acknowledged_at_s is None:
            self.acknowledged_at_s = self.answered_at_s
        return status == 200

    def start_trouble(self, kind):
        faults = self.fleet.store.faults
        if kind == "refuses calls":
            faults.status = 503
        elif kind == "gives no answers":
            faults.silent = True
        elif kind == "loses an answer":
            faults.lost_answers = 1
        else:
            assert kind == "applies a write late"
            faults.late_appends = 1

    def end_trouble(self):
        self.fleet.store.faults = StoreFaults()

    async def kill(self, hosts):
        """Kill the daemons of hosts and start them again."""
        for host in hosts:
            self.fleet.power_off(host)
        await asyncio.sleep(DOWN_S)
        for host in hosts:
            detangle.network().restart(host.name)
            detangle.spawn(self.fleet.run_daemon(host), host=host.name)
            if host is not self.host:
                detangle.spawn(self.fleet.run_backend(host), host=host.name)

    def offered_by(self):
        return [
            host.name
            for host in self.fleet.hosts
            if host.daemon is not None and self.is_offered_at(host.daemon)
        ]

    def is_offered_at(self, daemon):
        target = daemon.blackboard.targets.get(self.target_id)
        return target is not None and target.state is TargetState.SERVING

    def chosen_by(self):
        daemons = [host.daemon for host in self.fleet.hosts if host.daemon is not None]
        able = [daemon for daemon in daemons if daemon.blackboard.table_known]
        names = [daemon.settings.daemon_id for daemon in able]
        choosing = [
            daemon.settings.daemon_id
            for daemon in able
            if any(
                candidate.target.target_id == self.target_id
                for candidate in daemon.routing.find_candidates(SERVICE)
            )
        ]
        return names, choosing

    async def watch(self):
        loop = asyncio.get_running_loop()
        while True:
            self.offers.append((loop.time(), self.offered_by()))
            self.choices.append((loop.time(), *self.chosen_by()))
            await asyncio.sleep(POLL_S)

    def start_partial_outage(self, kind):
        """Let the store refuse the daemon beside the server, and no other one."""
        assert kind in ("refuses", "gives no answer to"), kind
        self.fleet.start_outage(self.host, silent=kind != "refuses")

    async def disrupt(self, kind):
        faults = self.fleet.store.faults
        if kind == "nothing happens":
            return
        hosts = self.choose_hosts(kind)
        if kind.endswith("store slow"):
            faults.silent = True
            asyncio.get_running_loop().call_later(
                DOWN_S + SLOW_STORE_S, setattr, faults, "silent", False
            )
        await self.kill(hosts)

    def choose_hosts(self, disruption):
        return self.fleet.hosts if disruption.startswith("all") else [self.host]

    def play(self, scenario):
        async def main():
            await self.start()
            watching = asyncio.ensure_future(self.watch())
            await detangle.spawn(scenario(), host="servers")
            watching.cancel()
            records = self.fleet.store.get_topic(DEPARTURES).records
            self.newest = dict(parse_keyed_record(record) for _, record in records)
            self.known = [
                host.daemon.blackboard.departures
                for host in self.fleet.hosts
                if host.daemon is not None
            ]

        detangle.run(main, seed=1)


@given("a fleet of daemons with a backend server each")
def create_run(context):
    context.run = DepartureRun()
    context.steps = []


@when(
    "a server leaves by {call} and {disruption} {delay:d} ms after the acknowledgement"
)
def leave(context, call, disruption, delay):
    run = context.run

    async def step():
        await run.leave(call)
        await asyncio.sleep(delay / 1_000)
        await run.disrupt(disruption)

    context.steps.append(step)


@when("a server leaves by {call} {times:d} times while the store {trouble}")
def leave_in_trouble(context, call, times, trouble):
    run = context.run

    async def step():
        run.start_trouble(trouble)
        for _ in range(times):
            await run.ask_to_leave(call)
            await asyncio.sleep(REPEAT_S)

    context.steps.append(step)


@when(
    "a server leaves by {call} every {interval:d} ms while the store {trouble} for "
    "{time:d} ms"
)
def leave_until_acknowledged(context, call, interval, trouble, time):
    run = context.run

    async def step():
        run.start_trouble(trouble)
        loop = asyncio.get_running_loop()
        run.trouble_ends_at_s = loop.time() + time / 1_000
        loop.call_at(run.trouble_ends_at_s, run.end_trouble)
        while run.acknowledged_at_s is None:
            assert loop.time() < run.trouble_ends_at_s + WATCH_S
            await run.ask_to_leave(call)
            await asyncio.sleep(interval / 1_000)

    context.steps.append(step)


@when("a server leaves and its next process leaves while the record is removed late")
def leave_beside_late_removal(context):
    run = context.run

    async def step():
        await run.leave("DELETE")
        await asyncio.sleep(MAX_ANNOUNCEMENT_DELAY.total_seconds() - 0.5)
        run.start_trouble("applies a write late")
        run.born = int(SoakClock().utc().timestamp() * 1_000)
        run.sequence = 0
        assert await run.call("PUT", run.build_heartbeat("ready")) == 200
        while run.fleet.store.faults.late_appends:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(LATE_APPEND_S - 1)
        run.acknowledged_at_s = None
        run.late_heartbeat = run.build_heartbeat("ready")
        while not await run.ask_to_leave("DELETE"):
            await asyncio.sleep(REPEAT_S)
        await asyncio.sleep(2)

    context.steps.append(step)


@when(
    "a server leaves by {call} and {killed} killed {delay:d} ms after that while the "
    "store {trouble} its daemon"
)
def kill_during_outage(context, call, killed, delay, trouble):
    run = context.run

    async def step():
        await run.leave(call)
        await asyncio.sleep(delay / 1_000)
        run.start_partial_outage(trouble)
        await run.kill(run.choose_hosts(killed))

    context.steps.append(step)


@when(
    "a server leaves by {call} at {phase:d} ms of a tick, and its daemon ends at once"
)
def end_after_leave(context, call, phase):
    run = context.run

    async def step():
        await asyncio.sleep(phase / 1_000)
        await run.leave(call)
        run.fleet.power_off(run.host)
        await asyncio.sleep(WATCH_S)

    run.play(step)


@when("{killed} killed {delay:d} ms after that, and the store is back")
def kill_after_leave(context, killed, delay):
    run = context.run
    first = context.steps.pop()

    async def step():
        await first()
        await asyncio.sleep(delay / 1_000)
        await run.kill(run.choose_hosts(killed))
        run.end_trouble()

    context.steps.append(step)


@when("a heartbeat of it without a start time arrives {delay:d} ms after that")
def deliver_odd(context, delay):
    deliver_late(context, delay, without=("born",), status=400)


@when("a heartbeat that it sent before arrives {delay:d} ms after that")
def deliver_late(context, delay, without=(), status=200):
    run = context.run
    first = context.steps.pop()

    async def step():
        late = run.build_heartbeat("ready")
        await first()
        late = run.late_heartbeat or late
        late = {name: value for name, value in late.items() if name not in without}
        at_s = run.answered_at_s + delay / 1_000
        await asyncio.sleep(at_s - asyncio.get_running_loop().time())
        assert await run.call("PUT", late) == status
        await asyncio.sleep(WATCH_S)

    run.play(step)


@when("a new process of the server sends a heartbeat {delay:d} ms after that")
def start_again(context, delay):
    run = context.run
    first = context.steps.pop()

    async def step():
        await first()
        await asyncio.sleep(delay / 1_000)
        run.born = int(SoakClock().utc().timestamp() * 1_000)
        run.sequence = 0
        await announce_and_wait(run)

    run.play(step)


async def announce_and_wait(run):
    assert await run.call("PUT", run.build_heartbeat("ready")) == 200
    run.announced_at_s = asyncio.get_running_loop().time()
    await asyncio.sleep(WATCH_S)


@when("{disruption} beside a sound server")
def kill_beside_sound(context, disruption):
    run = context.run

    async def step():
        await run.disrupt(disruption)
        while run.host.daemon is None or await run.call("GET", None) == 0:
            await asyncio.sleep(POLL_S)
        await announce_and_wait(run)

    run.play(step)


@when("{killed} killed beside a sound server while the store {trouble} its daemon")
def kill_during_outage_beside_sound(context, killed, trouble):
    run = context.run

    async def step():
        run.start_partial_outage(trouble)
        await run.kill(run.choose_hosts(killed))
        run.started_at_s = asyncio.get_running_loop().time()
        while run.host.daemon is None or await run.call("GET", None) == 0:
            await asyncio.sleep(POLL_S)
        await announce_and_wait(run)

    run.play(step)


@when("{time:d} ms pass after its departure")
def wait(context, time):
    first = context.steps.pop()

    async def step():
        await first()
        await asyncio.sleep(time / 1_000)

    context.run.play(step)


@then("no leave was acknowledged that a daemon forgot")
def check_remembered(context):
    if context.run.acknowledged_at_s is not None:
        check_not_offered(context, DRAIN_MS, context.run.acknowledged_at_s)


@then("its leave was acknowledged")
def check_acknowledged(context):
    assert context.run.acknowledged_at_s is not None


@then("its leave was acknowledged {time:d} ms after the trouble at the latest")
def check_acknowledged_soon(context, time):
    run = context.run
    assert run.acknowledged_at_s is not None
    after_s = run.acknowledged_at_s - run.trouble_ends_at_s
    assert after_s <= time / 1_000, after_s


@then("no daemon offers it from {time:d} ms after the acknowledgement on")
def check_not_offered_since(context, time):
    check_not_offered(context, time, context.run.acknowledged_at_s)


@then("no daemon offers it from {time:d} ms after the last answer on")
def check_not_offered_after_answer(context, time):
    check_not_offered(context, time, context.run.answered_at_s)


def check_not_offered(context, time, since_s):
    run = context.run
    start_s = since_s + time / 1_000
    offers = [
        (round(at_s - since_s, 2), names)
        for at_s, names in run.offers
        if at_s >= start_s and names
    ]
    assert not offers, offers[:3]


@then("all daemons offer it {time:d} ms after its heartbeat")
def check_offered(context, time):
    run = context.run
    due_s = run.announced_at_s + time / 1_000
    names = next(names for at_s, names in run.offers if at_s >= due_s)
    assert len(names) == FLEET_SIZE, names


@then("no daemon sends it requests from {time:d} ms after the acknowledgement on")
def check_not_chosen(context, time):
    run = context.run
    choices = [
        (round(at_s - run.acknowledged_at_s, 2), names)
        for at_s, _, names in run.choices
        if at_s >= run.acknowledged_at_s + time / 1_000 and names
    ]
    assert not choices, choices[:3]
    running = [host.name for host in run.fleet.hosts if host.daemon is not None]
    assert run.choices[-1][1] == running


@then("its daemon has a table {time:d} ms after its start")
def check_able(context, time):
    run = context.run
    due_s = run.started_at_s + time / 1_000
    _, able, _ = next(choice for choice in run.choices if choice[0] >= due_s)
    assert run.host.name in able, able


@then("its daemon sends it requests {time:d} ms after it has a table")
def check_chosen(context, time):
    run = context.run
    name = run.host.name
    later = [choice for choice in run.choices if choice[0] >= run.started_at_s]
    able_at_s = next(at_s for at_s, able, _ in later if name in able)
    due_s = able_at_s + time / 1_000
    _, _, choosing = next(choice for choice in later if choice[0] >= due_s)
    assert name in choosing, (able_at_s - run.started_at_s, choosing)


@then("neither the store nor a daemon knows of a departure")
def check_forgotten(context):
    run = context.run
    assert run.newest and not any(run.newest.values()), run.newest
    assert not any(run.known), run.known
