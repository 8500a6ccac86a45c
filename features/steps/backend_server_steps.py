"""Steps for the stand-in of a backend server, in memory and in virtual time."""

import asyncio
import json
from datetime import timedelta

import detangle
from behave import given, then, when
from blacksheep import Application
from http_client_steps import Caller

from wagtailstep.fakes.backend_server import BackendServer, BackendServerSettings
from wagtailstep.models.events import TargetAnnounced, TargetWithdrawn
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.network.announcements import add_announcement_routes
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.http_server import HttpServer
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock

ANNOUNCE_ADDRESS = "127.0.0.1:4000"
PATIENCE = timedelta(seconds=60)


class StandInWorld:
    """A stand-in, and a caller that keeps what it was answered."""

    def __init__(self, settings):
        self.backend = BackendServer(settings)
        self.client = HttpClient(RequestSettings(), LoopClock())
        self.events = []
        self.answers = []
        self.times = []

    async def listen_for_announcements(self):
        """Take announcements as a daemon does."""
        addresses = ("a:1", "a:2", "a:3", ANNOUNCE_ADDRESS)
        settings = DaemonSettings("daemon-1", "bole", *addresses)
        app = Application()
        add_announcement_routes(app, self.events.append, settings, LoopClock())
        await app.start()
        self.announcements = HttpServer(app, lambda: None)
        await self.announcements.start(ANNOUNCE_ADDRESS)

    async def ask(self, method, path, data=b"", patience=PATIENCE):
        """Send one request; keep status, body and time."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        request = HttpRequest(
            address=self.backend.address,
            method=method,
            path=path,
            headers=(("content-length", str(len(data))), ("fake-key", path)),
            body=yield_body(data),
            idempotent=True,
            time_left=patience,
        )
        answer = await self.client.send(request)
        body = b"".join([chunk async for chunk in answer.body])
        self.answers.append((answer.status, body))
        self.times.append(round((loop.time() - started) * 1_000))

    def kinds(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]


def run_stand_in(context, scenario, **changes):
    """Run a scenario with a stand-in of some settings."""
    values = {"service": "contracts", "work_ms": 100.0, **changes}

    async def main():
        context.stand_in = world = StandInWorld(BackendServerSettings(**values))
        await world.listen_for_announcements()
        await world.backend.start()
        await scenario(world)
        await world.backend.stop()
        await world.announcements.close()

    detangle.run(main, seed=1)


@given("the stand-in of a backend server")
def use_stand_in(context):
    context.faults = {}


@when("it runs for {seconds:d} s beside a daemon and leaves with a request in flight")
def run_and_leave(context, seconds):
    async def scenario(world):
        await asyncio.sleep(seconds)
        request = asyncio.create_task(world.ask("GET", "/lookup"))
        await asyncio.sleep(0.05)
        await world.backend.drain()
        context.left_after_answer = world.backend.counts.runs["/lookup"] == 1
        await request

    run_stand_in(context, scenario, announce_address=ANNOUNCE_ADDRESS)


@when("it has the faults {faults} and is asked for {paths}")
def ask_with_faults(context, faults, paths):
    async def scenario(world):
        await world.ask("PUT", "/faults", faults.encode())
        for path in paths.split(","):
            await world.ask("GET", path)

    run_stand_in(context, scenario)


@when("{count:d} requests reach it at once")
def ask_at_once(context, count):
    async def scenario(world):
        requests = [world.ask("GET", f"/lookup/{n}") for n in range(count)]
        await asyncio.gather(*requests)

    run_stand_in(context, scenario, slots=4, queue_length=2)


@when("it is asked right after its cold start and {seconds:d} s later")
def ask_cold_and_warm(context, seconds):
    async def scenario(world):
        await world.ask("GET", "/lookup")
        await asyncio.sleep(seconds)
        await world.ask("GET", "/lookup")

    run_stand_in(context, scenario, cold_start_ms=10_000, cold_factor=4.0)


@when("its open connections are silenced and it is asked over an old and a new one")
def ask_silenced(context):
    async def scenario(world):
        await world.ask("GET", "/lookup")
        world.backend.silence_open_connections()
        caller = Caller(world.client)
        for _ in range(2):
            await caller.call("/old", address=world.backend.address)
        context.results = caller.results

    run_stand_in(context, scenario)


@then("it had announced itself at least {count:d} times and then left")
def check_announced(context, count):
    announced = context.stand_in.kinds(TargetAnnounced)
    assert len(announced) >= count, context.stand_in.events
    assert isinstance(context.stand_in.events[-1], TargetWithdrawn)
    target_id = announced[0].target.target_id
    assert context.stand_in.events[-1].target_id == target_id


@then("the request in flight was answered before it had left")
def check_answered_before(context):
    assert context.left_after_answer
    assert context.stand_in.answers[-1][0] == 200


@then("the answers have the statuses {statuses}")
def check_statuses(context, statuses):
    expected = [int(status) for status in statuses.split(",")]
    found = [status for status, _ in context.stand_in.answers]
    assert found == expected, context.stand_in.answers


@then("the last request took {time_ms:d} ms")
def check_time(context, time_ms):
    assert abs(context.stand_in.times[-1] - time_ms) <= 20, context.stand_in.times


@then("the first request took about {factor:d} times as long as the last")
def check_cold(context, factor):
    first, last = context.stand_in.times
    assert factor - 0.5 < first / last < factor + 0.5, context.stand_in.times


@then("its health is ok")
def check_health(context):
    status, body = context.stand_in.answers[-1]
    assert (status, json.loads(body)) == (200, {"status": "ok"})


@then("it ran {count:d} requests and shed {shed:d}")
def check_shed(context, count, shed):
    counts = context.stand_in.backend.counts
    assert (sum(counts.runs.values()), counts.shed) == (count, shed), counts


@then("the old connection brings nothing and the new one an answer")
def check_silenced(context):
    (_, verdict, reason), (_, status, _) = context.results
    assert (verdict, reason) == ("may-have-run", "deadline-exceeded")
    assert status == 200
