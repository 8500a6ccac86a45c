"""Steps for requests at a daemon that shuts down, in virtual time."""

import asyncio
import random
from datetime import timedelta

import attrs
import detangle
from behave import given, then, when
from benchmarks.soak.fleet import ROUTE_HOST, SoakFleet

from wagtailstep.exceptions import RequestError
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock

FLEET_SIZE = 3
WARMUP_S = 6.0
TIMEOUT_MS = 5_000
NO_ANSWER = 0


@attrs.define
class SentRequest:
    """A request and how it ended.

    :param key: its identifier.
    :param status: HTTP status; ``NO_ANSWER`` without a complete response.
    :param body: body of the response.
    """

    key: str
    status: int = NO_ANSWER
    body: bytes = b""


class ShutdownRun:
    """A fleet of which one daemon shuts down, and requests to that daemon."""

    def __init__(self, grace):
        self.grace = grace
        self.requests = []
        self.runs = {}

    async def start(self):
        self.fleet = SoakFleet(FLEET_SIZE, random.Random(1))
        self.fleet.bounds = {"grace": self.grace}
        await self.fleet.start()
        await asyncio.sleep(WARMUP_S)
        self.host = self.fleet.hosts[0]
        self.client = HttpClient(RequestSettings(), LoopClock())

    async def send(self, key, work_ms, body=None, length=2):
        sent = SentRequest(key)
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
        except RequestError:
            pass

    def shut_down(self):
        """Start to shut the daemon down, as SIGTERM does."""
        return detangle.spawn(self.host.daemon.shut_down(), host=self.host.name)

    def play(self, scenario):
        async def main():
            await self.start()
            await detangle.spawn(scenario(), host="callers")
            self.runs = self.fleet.count_runs()

        detangle.run(main, seed=1)


@given("a fleet whose platform gives a grace of {grace}")
def create_run(context, grace):
    context.run = ShutdownRun(grace)


@when("a request that takes {work:d} ms reaches a daemon {delay:d} ms after SIGTERM")
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
