"""Callers of the soak test and the outcomes of their requests."""

import asyncio
import math
import random
from collections.abc import AsyncIterator
from datetime import timedelta

import attrs
import detangle

from benchmarks.soak.fleet import ROUTE_HOST, SoakFleet
from wagtailstep.exceptions import RequestError
from wagtailstep.models.headers import (
    REASON,
    SERVER_LEAVING,
    SERVER_LIMIT,
    Headers,
    find_header,
)
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock

TIMEOUT_MS = 5_000
WORK_MS = 100
# Slow bodies arrive over up to this time.
MAX_BODY_S = 3.0
UNSAFE_SHARE = 0.5
NO_ANSWER = 0
# Paths that the requests of each type share.
RESOURCE_COUNT = 40


@attrs.frozen
class AttemptEnded:
    """Outcome of one request for its caller.

    :param key: identifier of the request.
    :param unsafe: whether the request must not run twice.
    :param at_s: when it was sent, in seconds of the event loop's time.
    :param status: HTTP status; ``NO_ANSWER`` without a complete response.
    :param is_expected_answer: whether the body is the response to this request.
    :param interrupted: whether the exchange failed when the request may have run.
    :param took_s: seconds until the response or failure.
    :param host: host of the daemon that the request was sent to.
    :param server: address of the backend server that answered.
    :param rate_limit: text of the limit that the server named in its answer.
    :param server_leaves: whether the server said in its answer that it leaves.
    :param reason: why a daemon gave an answer of its own; empty for a server's answer.
    """

    key: str
    unsafe: bool
    at_s: float
    status: int
    is_expected_answer: bool
    interrupted: bool = False
    took_s: float = 0.0
    host: str = ""
    server: str = ""
    rate_limit: str = ""
    server_leaves: bool = False
    reason: str = ""

    @property
    def ended_at_s(self) -> float:
        """Return when the response was complete or the exchange had failed."""
        return self.at_s + self.took_s


class CallerGroup:
    """Send requests to random daemons of a fleet.

    :param fleet: fleet whose daemons get the requests.
    :param rate_per_s: mean number of requests a second.
    :param rng: source of arrival times, request types and daemons.
    :param unsafe_share: fraction of the requests that must not run twice.
    :param slow_share: fraction of those whose bodies arrive slowly.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        rate_per_s: float,
        rng: random.Random,
        unsafe_share: float = UNSAFE_SHARE,
        slow_share: float = 0.0,
    ) -> None:
        self.fleet = fleet
        self.slow_share = slow_share
        self.rate_per_s = rate_per_s
        self.unsafe_share = unsafe_share
        self.rng = rng
        self.sent_count = 0
        self.outcomes: list[AttemptEnded] = []
        # In seconds of the event loop's time.
        self.stop_at = math.inf

    async def run(self) -> None:
        """Send requests until ``stop_at``, then wait until all have ended."""
        self.client = HttpClient(RequestSettings(), LoopClock())
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while loop.time() < self.stop_at:
                await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
                host = self.rng.choice(self.fleet.hosts).name
                unsafe = self.rng.random() < self.unsafe_share
                self.sent_count += 1
                group.create_task(
                    self.send_request(
                        f"k{self.sent_count}",
                        host,
                        unsafe,
                        str(self.sent_count % RESOURCE_COUNT),
                    )
                )

    async def send_request(
        self,
        key: str,
        host: str,
        unsafe: bool,
        resource: str = "1",
        work_ms: int = WORK_MS,
    ) -> None:
        """Send one request and record its outcome.

        :param resource: last part of the path.
        :param work_ms: how long a backend server works on it.
        """
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        headers = (
            ("host", ROUTE_HOST),
            ("fake-key", key),
            ("fake-work-ms", str(work_ms)),
            ("wagtailstep-timeout-ms", str(TIMEOUT_MS)),
        )
        request = HttpRequest(
            address=f"{host}:8001",
            method="POST" if unsafe else "GET",
            path=f"/sign/{resource}" if unsafe else f"/lookup/{resource}",
            headers=(*headers, ("content-length", "2")) if unsafe else headers,
            body=self.build_body() if unsafe else None,
            idempotent=not unsafe,
            time_left=timedelta(milliseconds=TIMEOUT_MS + 500),
        )
        status, is_expected_answer, interrupted = NO_ANSWER, True, False
        found: Headers = ()
        try:
            answer = await self.client.send(request)
            data = await read_complete_body(answer)
            found = answer.headers
            status, is_expected_answer = answer.status, data == f"{key}\n".encode()
        except RequestError as error:
            interrupted = error.verdict is not Verdict.NOT_RUN
        took_s = loop.time() - at_s
        self.outcomes.append(
            AttemptEnded(
                key,
                unsafe,
                at_s,
                status,
                is_expected_answer,
                interrupted,
                took_s,
                host=host,
                server=find_header(found, "fake-address") or "",
                rate_limit=find_header(found, SERVER_LIMIT) or "",
                server_leaves=find_header(found, SERVER_LEAVING) == "1",
                reason=find_header(found, REASON) or "",
            )
        )

    def build_body(self) -> AsyncIterator[bytes]:
        """Return a body of two bytes, which may arrive slowly."""
        if not self.slow_share or self.rng.random() >= self.slow_share:
            return yield_body(b"{}")
        return yield_slowly(b"{}", self.rng.uniform(0.0, MAX_BODY_S))


async def yield_slowly(body: bytes, time_s: float) -> AsyncIterator[bytes]:
    """Yield a body byte by byte, evenly over a time."""
    for byte in body:
        await asyncio.sleep(time_s / len(body))
        yield bytes([byte])


def start_callers(callers: CallerGroup) -> "asyncio.Task[None]":
    """Run the callers on a simulated host of their own."""
    return detangle.spawn(callers.run(), host="callers")
