"""Callers of the request benchmark, run as a process of their own.

``python -m benchmarks.requests_load SPEC RESULT`` reads a :class:`LoadSpec` as JSON,
sends its requests, and writes a JSON list of :class:`Outcome`. Arrivals depend only on
the seed, so that two systems can get the same ones.
"""

import asyncio
import pathlib
import random
import sys
from collections.abc import AsyncIterator
from datetime import timedelta

import attrs
import msgspec

from wagtailstep.exceptions import RequestError
from wagtailstep.models.headers import REASON, SERVICE, TIMEOUT_MS, VERDICT, find_header
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.utils.clock import LoopClock

UNSAFE_FRACTION = 0.3
WORK_SIGMA = 0.3
MAX_IN_FLIGHT = 4_000
SERVICE_NAME = "contracts"


@attrs.frozen
class LoadSpec:
    """Load that one process of callers generates.

    :param name: prefix of all request keys.
    :param groups: groups of addresses, ``host:port`` each; requests go to the groups in
        turn, and to a random address of the group.
    :param rate: requests per second over all groups (open loop); 0 for a closed loop of
        ``concurrency`` callers.
    :param concurrency: number of callers of a closed loop, each with one request in
        flight.
    :param seconds: how long requests are sent.
    :param warmup_s: requests due before this time are not measured.
    :param work_ms: mean service time of a request at its backend server.
    :param timeout_ms: deadline of each request.
    :param seed: seed of arrivals, service times and choices of address.
    """

    name: str
    groups: list[list[str]]
    rate: float
    concurrency: int
    seconds: float
    warmup_s: float
    work_ms: float
    timeout_ms: int
    seed: int


@attrs.define
class Outcome:
    """Outcome of one request, as its caller saw it.

    :param key: key of the request.
    :param group: index of the group of addresses.
    :param idempotent: whether it was sent as idempotent.
    :param status: HTTP status; 0 without a complete response.
    :param verdict: verdict in the response; empty without one.
    :param reason: reason of a failure, from a daemon or from the caller's client.
    :param latency_ms: time from when the request was due until it ended.
    :param wrong: whether the response belongs to another request.
    :param measured: whether it was due after the warm-up.
    :param ended_s: when it ended, in seconds from the start of the load.
    """

    key: str
    group: int
    idempotent: bool
    status: int = 0
    verdict: str = ""
    reason: str = ""
    latency_ms: float = 0.0
    wrong: bool = False
    measured: bool = True
    ended_s: float = 0.0


class Load:
    """Send the requests of one specification."""

    def __init__(self, spec: LoadSpec) -> None:
        self.spec = spec
        self.rng = random.Random(spec.seed)
        self.client = HttpClient(RequestSettings(), LoopClock())
        self.outcomes: list[Outcome] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.number = 0

    async def run(self) -> list[Outcome]:
        """Send all requests and return their outcomes."""
        self.started = asyncio.get_running_loop().time()
        if self.spec.rate:
            await self.run_open_loop()
        else:
            callers = [self.run_closed_loop() for _ in range(self.spec.concurrency)]
            await asyncio.gather(*callers)
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        self.client.close()
        return self.outcomes

    async def run_open_loop(self) -> None:
        """Send requests with Poisson arrivals, regardless of those in flight.

        Above ``MAX_IN_FLIGHT`` requests are dropped.
        """
        loop = asyncio.get_running_loop()
        due = self.started
        while due - self.started < self.spec.seconds:
            due += self.rng.expovariate(self.spec.rate)
            request, outcome = self.build_request()
            await asyncio.sleep(due - loop.time())
            if len(self.tasks) < MAX_IN_FLIGHT:
                task = asyncio.create_task(self.send(request, outcome, due))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def run_closed_loop(self) -> None:
        """Send one request after the other."""
        loop = asyncio.get_running_loop()
        while loop.time() - self.started < self.spec.seconds:
            request, outcome = self.build_request()
            await self.send(request, outcome, loop.time())

    def build_request(self) -> tuple[HttpRequest, Outcome]:
        """Build the next random request, independent of earlier responses."""
        spec = self.spec
        group = self.number % len(spec.groups)
        self.number += 1
        key = f"{spec.name}-{self.number}"
        idempotent = self.rng.random() >= UNSAFE_FRACTION
        work_ms = spec.work_ms * self.rng.lognormvariate(
            -WORK_SIGMA * WORK_SIGMA / 2, WORK_SIGMA
        )
        address = self.rng.choice(spec.groups[group])
        headers = (
            (SERVICE, SERVICE_NAME),
            (TIMEOUT_MS, str(spec.timeout_ms)),
            ("fake-key", key),
            ("fake-work-ms", f"{work_ms:.2f}"),
        )
        request = HttpRequest(
            address=address,
            method="GET" if idempotent else "POST",
            path="/lookup/1" if idempotent else "/sign/1",
            headers=headers if idempotent else (*headers, ("content-length", "2")),
            body=None if idempotent else yield_body(),
            idempotent=idempotent,
            time_left=timedelta(milliseconds=spec.timeout_ms + 200),
        )
        return request, Outcome(key, group, idempotent)

    async def send(self, request: HttpRequest, outcome: Outcome, due: float) -> None:
        """Send one request and record its outcome."""
        loop = asyncio.get_running_loop()
        try:
            answer = await self.client.send(request)
            data = b"".join([chunk async for chunk in answer.body])
            await answer.close()
            outcome.status = answer.status
            outcome.verdict = find_header(answer.headers, VERDICT) or ""
            is_expected_answer = data == f"{outcome.key}\n".encode()
            outcome.wrong = answer.status == 200 and not is_expected_answer
            outcome.reason = find_header(answer.headers, REASON) or ""
        except RequestError as error:
            outcome.reason = f"{error.reason} ({error.verdict.value})"
        outcome.latency_ms = (loop.time() - due) * 1_000
        outcome.ended_s = loop.time() - self.started
        outcome.measured = due - self.started >= self.spec.warmup_s
        self.outcomes.append(outcome)


async def yield_body() -> AsyncIterator[bytes]:
    """Yield the small body of a non-idempotent request."""
    yield b"{}"


def main(spec_path: str, result_path: str) -> None:
    """Run one specification and write the outcomes."""
    spec = msgspec.json.decode(pathlib.Path(spec_path).read_bytes(), type=LoadSpec)
    outcomes = asyncio.run(Load(spec).run())
    pathlib.Path(result_path).write_bytes(msgspec.json.encode(outcomes))


if __name__ == "__main__":
    main(*sys.argv[1:])
