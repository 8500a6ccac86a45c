"""Callers of the soak, and what they were told."""

import asyncio
import math
import random
from datetime import timedelta

import attrs
import detangle

from benchmarks.soak.fleet import ROUTE_HOST, SoakFleet
from wagtailstep.exceptions import RequestError
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock

TIMEOUT_MS = 5_000
WORK_MS = 100
UNSAFE_SHARE = 0.5
NO_ANSWER = 0


@attrs.frozen
class Told:
    """What a caller was told of one request.

    :param at_s: when it was sent, in seconds since the loop began.
    :param status: HTTP status; 0 if there was no whole answer.
    :param is_own: whether the body is the answer to this request.
    :param cut: whether the exchange ended after the request was sent.
    :param took_s: seconds until its end.
    """

    key: str
    unsafe: bool
    at_s: float
    status: int
    is_own: bool
    cut: bool = False
    took_s: float = 0.0


class Callers:
    """Send requests to daemons at random.

    :param fleet: whose daemons are asked.
    :param rate_per_s: requests a second.
    :param rng: draws arrivals, kinds and daemons.
    """

    def __init__(self, fleet: SoakFleet, rate_per_s: float, rng: random.Random) -> None:
        self.fleet = fleet
        self.rate_per_s = rate_per_s
        self.rng = rng
        self.asked = 0
        self.told: list[Told] = []
        # Time of the loop.
        self.stop_at = math.inf

    async def run(self) -> None:
        """Send until ``stop_at`` and wait for the last answer."""
        self.client = HttpClient(RequestSettings(), LoopClock())
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while loop.time() < self.stop_at:
                await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
                host = self.rng.choice(self.fleet.hosts).name
                unsafe = self.rng.random() < UNSAFE_SHARE
                self.asked += 1
                group.create_task(self.ask(f"k{self.asked}", host, unsafe))

    async def ask(self, key: str, host: str, unsafe: bool) -> None:
        """Send one request and note what its caller is told."""
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        headers = (
            ("host", ROUTE_HOST),
            ("fake-key", key),
            ("fake-work-ms", str(WORK_MS)),
            ("wagtailstep-timeout-ms", str(TIMEOUT_MS)),
        )
        request = HttpRequest(
            address=f"{host}:8001",
            method="POST" if unsafe else "GET",
            path="/sign/1" if unsafe else "/lookup/1",
            headers=(*headers, ("content-length", "2")) if unsafe else headers,
            body=yield_body(b"{}") if unsafe else None,
            idempotent=not unsafe,
            time_left=timedelta(milliseconds=TIMEOUT_MS + 500),
        )
        status, is_own, cut = NO_ANSWER, True, False
        try:
            answer = await self.client.send(request)
            data = await read_complete_body(answer)
            status, is_own = answer.status, data == f"{key}\n".encode()
        except RequestError as error:
            cut = error.verdict is not Verdict.NOT_RUN
        took_s = loop.time() - at_s
        self.told.append(Told(key, unsafe, at_s, status, is_own, cut, took_s))


def start_callers(callers: Callers) -> "asyncio.Task[None]":
    """Run the callers on a host of their own."""
    return detangle.spawn(callers.run(), host="callers")
