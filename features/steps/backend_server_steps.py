"""Steps for a fake backend server, in memory and in virtual time."""

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
TIMEOUT = timedelta(seconds=60)


class FakeBackendServerHarness:
    """A fake backend server, and a caller that records the answers."""

    def __init__(self, settings):
        self.backend = BackendServer(settings)
        self.client = HttpClient(RequestSettings(), LoopClock())
        self.events = []
        self.answers = []
        self.durations_ms = []

    async def listen_for_announcements(self):
        """Accept announcements as a daemon does."""
        addresses = ("a:1", "a:2", "a:3", ANNOUNCE_ADDRESS)
        settings = DaemonSettings("daemon-1", "bole", *addresses)
        app = Application()
        add_announcement_routes(app, self.events.append, settings, LoopClock())
        await app.start()
        self.announcements = HttpServer(app, lambda: None)
        await self.announcements.start(ANNOUNCE_ADDRESS)

    async def send_request(self, method, path, data=b"", timeout=TIMEOUT):
        """Send one request; record status, body and duration."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        request = HttpRequest(
            address=self.backend.address,
            method=method,
            path=path,
            headers=(("content-length", str(len(data))), ("fake-key", path)),
            body=yield_body(data),
            idempotent=True,
            time_left=timeout,
        )
        answer = await self.client.send(request)
        body = b"".join([chunk async for chunk in answer.body])
        self.answers.append((answer.status, body))
        self.durations_ms.append(round((loop.time() - started) * 1_000))

    def get_events(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]


def run_scenario(context, scenario, **changes):
    """Run a scenario with a fake backend server that has these settings."""
    values = {"service": "contracts", "work_ms": 100.0, **changes}

    async def main():
        context.harness = harness = FakeBackendServerHarness(
            BackendServerSettings(**values)
        )
        await harness.listen_for_announcements()
        await harness.backend.start()
        await scenario(harness)
        await harness.backend.stop()
        await harness.announcements.close()

    detangle.run(main, seed=1)


@given("a fake backend server")
def configure_backend_server(context):
    context.faults = {}


@when("it runs for {seconds:d} s beside a daemon and leaves with a request in flight")
def run_and_leave(context, seconds):
    async def scenario(harness):
        await asyncio.sleep(seconds)
        request = asyncio.create_task(harness.send_request("GET", "/lookup"))
        await asyncio.sleep(0.05)
        await harness.backend.drain()
        context.answered_before_leaving = harness.backend.counts.runs["/lookup"] == 1
        await request

    run_scenario(context, scenario, announce_address=ANNOUNCE_ADDRESS)


@when("it has the faults {faults} and is asked for {paths}")
def send_with_faults(context, faults, paths):
    async def scenario(harness):
        await harness.send_request("PUT", "/faults", faults.encode())
        for path in paths.split(","):
            await harness.send_request("GET", path)

    run_scenario(context, scenario)


@when("{count:d} requests reach it at once")
def send_concurrently(context, count):
    async def scenario(harness):
        requests = [harness.send_request("GET", f"/lookup/{n}") for n in range(count)]
        await asyncio.gather(*requests)

    run_scenario(context, scenario, slots=4, queue_length=2)


@when("it is asked right after its cold start and {seconds:d} s later")
def send_cold_and_warm(context, seconds):
    async def scenario(harness):
        await harness.send_request("GET", "/lookup")
        await asyncio.sleep(seconds)
        await harness.send_request("GET", "/lookup")

    run_scenario(context, scenario, cold_start_ms=10_000, cold_factor=4.0)


@when("its open connections stop responding and requests use an old and a new one")
def send_on_unresponsive_connection(context):
    async def scenario(harness):
        await harness.send_request("GET", "/lookup")
        harness.backend.silence_open_connections()
        caller = Caller(harness.client)
        for _ in range(2):
            await caller.call("/old", address=harness.backend.address)
        context.results = caller.results

    run_scenario(context, scenario)


@then("it has announced itself at least {count:d} times and then withdrawn")
def check_announced(context, count):
    announced = context.harness.get_events(TargetAnnounced)
    assert len(announced) >= count, context.harness.events
    assert isinstance(context.harness.events[-1], TargetWithdrawn)
    target_id = announced[0].target.target_id
    assert context.harness.events[-1].target_id == target_id


@then("the request in flight was answered before it left")
def check_answered_before(context):
    assert context.answered_before_leaving
    assert context.harness.answers[-1][0] == 200


@then("the answers have the statuses {statuses}")
def check_statuses(context, statuses):
    expected = [int(status) for status in statuses.split(",")]
    found = [status for status, _ in context.harness.answers]
    assert found == expected, context.harness.answers


@then("the last request took {time_ms:d} ms")
def check_duration(context, time_ms):
    assert abs(context.harness.durations_ms[-1] - time_ms) <= 20, (
        context.harness.durations_ms
    )


@then("the first request took about {factor:d} times as long as the last")
def check_cold_start(context, factor):
    first, last = context.harness.durations_ms
    assert factor - 0.5 < first / last < factor + 0.5, context.harness.durations_ms


@then("its health is ok")
def check_health(context):
    status, body = context.harness.answers[-1]
    assert (status, json.loads(body)) == (200, {"status": "ok"})


@then("it ran {count:d} requests and shed {shed:d}")
def check_shed(context, count, shed):
    counts = context.harness.backend.counts
    assert (sum(counts.runs.values()), counts.shed) == (count, shed), counts


@then("the old connection brings no answer and the new one does")
def check_unresponsive_connection(context):
    (_, verdict, reason), (_, status, _) = context.results
    assert (verdict, reason) == ("may-have-run", "deadline-exceeded")
    assert status == 200
