"""Steps for requests at a daemon that shuts down, in virtual time."""

import asyncio
import random
from datetime import timedelta

import attrs
import detangle
from behave import given, then, when
from benchmarks.soak.fleet import ROUTE_HOST, SoakFleet

from wagtailstep.commands.reload_settings import SettingsReloader
from wagtailstep.controllers.shutdown import ShutdownAdmission
from wagtailstep.exceptions import RequestError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member
from wagtailstep.models.request import AttemptEnded, Blame, RequestContext
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock, ManualClock
from wagtailstep.utils.durations import parse_duration

FLEET_SIZE = 3
WARMUP_S = 6.0
MILLISECOND = timedelta(milliseconds=1)
NOTICE_MS = 2_600
TIMEOUT_MS = 5_000
NO_ANSWER = 0
REFUSED = 503
BODY_PARTS = 20
UPLOADS = 46
UPLOAD_INTERVAL_S = 0.2
UPLOADS_BEFORE_S = 5.0


@attrs.define
class SentRequest:
    """A request and how it ended.

    :param key: its identifier.
    :param status: HTTP status; ``NO_ANSWER`` without a complete response.
    :param at_s: when it was sent, in seconds of the event loop's time.
    :param status: HTTP status; ``NO_ANSWER`` without a complete response.
    :param body: body of the response.
    :param connected: whether it may have reached the daemon.
    """

    key: str
    at_s: float
    status: int = NO_ANSWER
    body: bytes = b""
    connected: bool = True


class ShutdownRun:
    """A fleet of which one daemon shuts down, and requests to that daemon."""

    def __init__(self, grace):
        self.grace = grace
        self.grace_s = parse_duration(grace).total_seconds()
        self.requests = []
        self.runs = {}
        self.stopped_at_s = 0.0
        self.exiting = None
        self.reloader = None
        self.changed_grace = None

    async def start(self):
        self.fleet = SoakFleet(FLEET_SIZE, random.Random(1))
        self.fleet.bounds = {"grace": self.grace}
        self.fleet.shutdown_notice_ms = NOTICE_MS
        await self.fleet.start()
        await asyncio.sleep(WARMUP_S)
        self.host = self.fleet.hosts[0]
        self.client = HttpClient(RequestSettings(), LoopClock())
        if self.changed_grace is not None:
            self.change_grace(*self.changed_grace)

    async def send(self, key, work_ms, body=None, length=2):
        sent = SentRequest(key, asyncio.get_running_loop().time())
        self.requests.append(sent)
        headers = (
            ("host", ROUTE_HOST),
            ("fake-key", key),
            ("fake-work-ms", str(work_ms)),
            ("wagtailstep-timeout-ms", str(TIMEOUT_MS)),
            ("content-length", str(length)),
        )
        request = HttpRequest(
            address=f"{self.host.name}:8001",
            method="POST",
            path="/sign/1",
            headers=headers,
            body=body or yield_body(b"{}"),
            idempotent=False,
            time_left=timedelta(milliseconds=2 * TIMEOUT_MS),
        )
        try:
            answer = await self.client.send(request)
            sent.body = await read_complete_body(answer)
            sent.status = answer.status
        except RequestError as error:
            sent.connected = error.verdict is not Verdict.NOT_RUN

    def shut_down(self):
        """Start to shut the daemon down, as SIGTERM does."""
        if self.reloader is not None:
            self.reloader.reload_if_changed()
        return detangle.spawn(self.host.daemon.shut_down(), host=self.host.name)

    def change_grace(self, grace, has_signal):
        """Change the settings file of the daemon."""

        def reread_settings():
            return self.fleet.build_settings(self.host)

        self.reloader = SettingsReloader(
            reread_settings(), reread_settings, self.host.daemon.apply_settings
        )
        self.fleet.bounds = {"grace": grace}
        if has_signal:
            self.reloader.reload()

    def play(self, scenario):
        async def main():
            await self.start()
            await detangle.spawn(scenario(), host="callers")
            self.runs = self.fleet.count_runs()

        detangle.run(main, seed=1)


@given("a fleet whose platform gives a grace of {grace}")
def create_run(context, grace):
    context.run = ShutdownRun(grace)


@when("the settings file of a daemon changes to a grace of {grace} {signal} SIGHUP")
def change_grace(context, grace, signal):
    context.run.changed_grace = (grace, signal == "with")


@when("a request that takes {work:d} ms reaches a daemon {delay:d} ms after SIGTERM")
@when("a request that takes {work:d} ms reaches it {delay:d} ms after SIGTERM")
def send_long_request(context, work, delay):
    async def scenario():
        exiting = context.run.shut_down()
        await asyncio.sleep(delay / 1_000)
        await context.run.send("long", work)
        await asyncio.wait({exiting})

    context.run.play(scenario)


@then("it gets its own answer")
def check_answered(context):
    (sent,) = context.run.requests
    assert (sent.status, sent.body) == (200, f"{sent.key}\n".encode()), sent


async def generate_body(size, duration_s):
    part = b"x" * (size // BODY_PARTS)
    for _ in range(BODY_PARTS):
        await asyncio.sleep(duration_s / BODY_PARTS)
        yield part


@when(
    "uploads of {size:d} bytes that take {body:d} ms to arrive and {work:d} ms to run "
    "reach a daemon around SIGTERM"
)
def send_slow_uploads(context, size, body, work):
    run = context.run

    async def send(number):
        source = generate_body(size, body / 1_000)
        await run.send(f"u{number}", work, source, size)

    async def scenario():
        loop = asyncio.get_running_loop()
        run.stopped_at_s = loop.time() + UPLOADS_BEFORE_S
        async with asyncio.TaskGroup() as group:
            for number in range(UPLOADS):
                if run.exiting is None and loop.time() >= run.stopped_at_s:
                    run.exiting = run.shut_down()
                group.create_task(send(number))
                await asyncio.sleep(UPLOAD_INTERVAL_S)
        await asyncio.wait({run.exiting})

    run.play(scenario)


@then(
    "each one that began more than {body:d} ms before the end of the grace has a "
    "complete answer"
)
def check_none_cut(context, body):
    run = context.run
    last_s = run.stopped_at_s + run.grace_s - body / 1_000
    # A connection that the daemon no longer accepts has taken no request.
    cut = [
        (sent.key, round(sent.at_s - run.stopped_at_s, 2))
        for sent in run.requests
        if sent.status == NO_ANSWER and sent.connected and sent.at_s < last_s
    ]
    assert not cut, cut


@then("those that were refused as not run have not run")
def check_refused(context):
    run = context.run
    found = [s for s in run.requests if s.status == REFUSED and run.runs[s.key]]
    assert not found, found


@then("at least {count:d} of them are served")
def check_served(context, count):
    statuses = [sent.status for sent in context.run.requests]
    assert statuses.count(200) >= count, statuses


@given("requests of a route with an aim of {aim:d} ms that recently took {recent} ms")
def record_durations(context, aim, recent):
    settings = DaemonSettings("d1", "bole", "a:1", "a:2", "a:3", "a:4")
    context.board = Blackboard(Member("d1", 1, "", "", "bole"))
    context.clock = ManualClock()
    context.admission = ShutdownAdmission(
        settings, context.board, context.clock, random.Random(1)
    )
    context.request = RequestContext(
        request_id="r1",
        service="contracts",
        route="sign",
        account="",
        method="POST",
        path="/sign",
        idempotent=False,
        idempotency_key=None,
        deadline=timedelta(),
        aim=aim * MILLISECOND,
    )
    durations = [] if recent == "nothing" else recent.split()
    for text in durations:
        duration = int(text) * MILLISECOND
        event = AttemptEnded(
            context.request,
            "contracts/i-1",
            Verdict.RUN,
            200,
            Blame.NONE,
            latency=timedelta(),
            duration=duration,
        )
        context.admission.handle(event)


@given("the last one ended {age:d} s ago")
def let_time_pass(context, age):
    context.clock.advance(timedelta(seconds=age))


@when("a request with {timeout:d} ms until its deadline is to be sent")
def decide(context, timeout):
    deadline = context.clock.monotonic() + timeout * MILLISECOND
    request = attrs.evolve(context.request, deadline=deadline)
    context.decision = context.admission.may_start(request)


@when(
    "a request with {timeout:d} ms until its deadline is to be sent {left:d} ms before "
    "the end of a shutdown"
)
def decide_in_shutdown(context, timeout, left):
    context.board.stops_at = context.clock.monotonic() + left * MILLISECOND
    decide(context, timeout)


@when(
    "a request with {timeout:d} ms until its deadline is to be sent {left:d} ms before "
    "the end of a shutdown of {length:d} ms"
)
def decide_late_in_shutdown(context, timeout, left, length):
    board = context.board
    board.stopping_since = context.clock.monotonic() - (length - left) * MILLISECOND
    decide_in_shutdown(context, timeout, left)


@then("it is {decision}")
def check_decision(context, decision):
    assert context.decision is (decision == "sent"), context.decision
