"""Measure the cost of a ticket and of an idempotency key to a request.

One entry uses the real runtime and log client, over loopback HTTP to the fake log
service, and a fake forwarder that responds at once. Requests without a key, with a
ticket and with a key are measured in the same run.
``python -m benchmarks.keys --seed=1``
"""

import asyncio
import pathlib
import random
import time
from typing import Any

import attrs
import fire

from benchmarks.report import Report
from wagtailstep.controllers.guard import DuplicateGuard
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.fakes.log_server import serve
from wagtailstep.fakes.log_service import LogFaults
from wagtailstep.models import headers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.idempotency import RequestDecided
from wagtailstep.models.settings import DaemonSettings, LogSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.entry import EntryService
from wagtailstep.network.log_client import HttpLogService
from wagtailstep.network.problems import yield_body
from wagtailstep.network.runtime import Runtime, RuntimeAdapters
from wagtailstep.utils.clock import LoopClock

SERVICE = "contracts"
ADDRESS = "127.0.0.1:0"
TARGETS = 20
LOG_DELAYS_MS = (0, 5)
CONCURRENCIES = (1, 16, 64)
REQUEST_TYPES = ("unkeyed", "ticket", "key")
REPORT_PATH = pathlib.Path("docs/measurements/keys.md")


class NullChannel:
    """A control channel that never receives a message."""

    async def start(self, receive: Any) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""


class InstantForwarder:
    """A forwarder that responds to each attempt at once."""

    async def forward(self, *attempt: Any) -> Answer:
        """Return a small response."""
        return Answer(200, (), yield_body(b"signed"), Verdict.RUN)


class CountingLog(HttpLogService):
    """The real log client with a count of appends."""

    appends = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record."""
        self.appends += 1
        return await super().append(stream, data)


@attrs.define
class EntryFixture:
    """An entry with its runtime and log client.

    :param entry: the entry.
    :param runtime: its runtime.
    :param log: its log client.
    """

    entry: EntryService
    runtime: Runtime
    log: CountingLog


@attrs.frozen
class Measurement:
    """Measured cost of one request type at one concurrency and log delay.

    :param kind: member of ``REQUEST_TYPES``.
    :param log_delay_ms: delay that the log service adds to each call.
    :param concurrency: number of concurrent callers.
    :param requests: number of requests.
    :param p50_ms: median latency.
    :param p99_ms: 99th percentile of the latency.
    :param appends: appends to the log.
    :param cpu_us: processor time per request in microseconds.
    """

    kind: str
    log_delay_ms: int
    concurrency: int
    requests: int
    p50_ms: float
    p99_ms: float
    appends: int
    cpu_us: float


async def create_entry_fixture(seed: int, log_address: str) -> EntryFixture:
    """Create an entry that uses the log service at an address."""
    settings = DaemonSettings("d1", "z", ADDRESS, ADDRESS, ADDRESS, ADDRESS)
    settings = attrs.evolve(settings, log=LogSettings(address=log_address))
    member = Member("d1", 1, ADDRESS, ADDRESS, "z")
    board = Blackboard(
        member, members={"d1": member}, table_known=True, log_reachable=True
    )
    for number in range(TARGETS):
        target_id = f"{SERVICE}/10.0.0.{number}:80"
        board.targets[target_id] = Target(target_id, SERVICE, "d1", "z")
    parts = (settings, board, LoopClock(), random.Random(seed))
    log = CountingLog(settings.log)
    runtime = Runtime(*parts, RuntimeAdapters(log, NullChannel(), None))
    routing, guard = RoutingController(*parts), DuplicateGuard(*parts)
    entry = EntryService(
        *parts,
        routing=routing,
        guard=guard,
        forwarder=InstantForwarder(),
        relay=None,
        dispatch=runtime.dispatch,
        apply=runtime.apply_all,
    )
    runtime.controllers = (routing, guard)
    runtime.effect_handlers[RequestDecided] = entry.deliver_decision
    await runtime.start()
    return EntryFixture(entry, runtime, log)


async def send(fixture: EntryFixture, kind: str, number: str) -> float:
    """Send one request and return its latency in milliseconds.

    The time to get a ticket is not included.
    """
    request_headers = [(headers.SERVICE, SERVICE)]
    if kind == "ticket":
        ticket = await fixture.entry.issue_ticket(SERVICE)
        request_headers.append((headers.IDEMPOTENCY_KEY, ticket))
    elif kind == "key":
        request_headers.append((headers.IDEMPOTENCY_KEY, f"key-{number}"))
    started = time.perf_counter()
    incoming = IncomingRequest(
        "POST", "/sign", tuple(request_headers), yield_body(b"body")
    )
    answer = await fixture.entry.handle(incoming)
    body = b"".join([chunk async for chunk in answer.body])
    await answer.close()
    if answer.status != 200 or body != b"signed":
        raise RuntimeError(f"{kind} request failed: {answer.status} {body!r}")
    return (time.perf_counter() - started) * 1_000


async def measure_case(
    fixture: EntryFixture, kind: str, delay_ms: int, concurrency: int, requests: int
) -> Measurement:
    """Send requests of one type from concurrent callers and measure them."""
    appends = fixture.log.appends
    cpu = time.process_time()

    async def call(caller: int) -> list[float]:
        prefix = f"{delay_ms}-{concurrency}-{caller}"
        count = requests // concurrency
        return [await send(fixture, kind, f"{prefix}-{n}") for n in range(count)]

    results = await asyncio.gather(*map(call, range(concurrency)))
    times = sorted(latency for latencies in results for latency in latencies)
    cpu_us = (time.process_time() - cpu) * 1e6 / len(times)
    append_count = fixture.log.appends - appends
    p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
    return Measurement(
        kind, delay_ms, concurrency, len(times), p50, p99, append_count, cpu_us
    )


async def measure(seed: int, requests: int) -> list[Measurement]:
    """Measure all request types, log delays and concurrencies."""
    measurements = []
    faults, stop, ports = LogFaults(), asyncio.Event(), asyncio.Queue()
    server = asyncio.create_task(serve("127.0.0.1", 0, faults, ports.put_nowait, stop))
    fixture = await create_entry_fixture(seed, f"127.0.0.1:{await ports.get()}")
    await measure_case(fixture, "key", 0, 2, 20)
    for faults.delay_ms in LOG_DELAYS_MS:
        for concurrency in CONCURRENCIES:
            for kind in REQUEST_TYPES:
                measurement = await measure_case(
                    fixture, kind, faults.delay_ms, concurrency, requests
                )
                print(measurement, flush=True)
                measurements.append(measurement)
    await fixture.runtime.close()
    stop.set()
    await server
    return measurements


def add_measurements(report: Report, measurements: list[Measurement]) -> None:
    """Add the table of all measurements to the report."""
    report.add_text(
        "The entry, its runtime, its log client and the fake log service share one "
        "process and one core, so the processor time of a keyed request includes that "
        "of the fake log service."
    )
    headings = ["log delay ms", "callers", "kind", "requests", "p50 ms", "p99 ms"]
    headings += ["appends per 1,000 requests", "CPU us per request"]
    rows = [
        [
            str(measurement.log_delay_ms),
            str(measurement.concurrency),
            measurement.kind,
            str(measurement.requests),
            f"{measurement.p50_ms:.2f}",
            f"{measurement.p99_ms:.2f}",
            f"{1_000 * measurement.appends / measurement.requests:.0f}",
            f"{measurement.cpu_us:.0f}",
        ]
        for measurement in measurements
    ]
    report.add_table(headings, rows)


def get_measurement(
    measurements: list[Measurement], kind: str, delay_ms: int, concurrency: int
) -> Measurement:
    """Return the measurement of one case."""
    requested = (kind, delay_ms, concurrency)
    return next(
        c for c in measurements if (c.kind, c.log_delay_ms, c.concurrency) == requested
    )


def main(seed: int = 1, requests: int = 960) -> None:
    """Measure all cases, write the page of results and print the figures.

    :param seed: seed of the entry.
    :param requests: requests in each case.
    """
    report = Report("Cost of tickets and idempotency keys", "keys", seed)
    measurements = asyncio.run(measure(seed, requests))
    add_measurements(report, measurements)
    unkeyed = get_measurement(measurements, "unkeyed", 5, 16)
    ticket, key = (
        get_measurement(measurements, "ticket", 5, 16),
        get_measurement(measurements, "key", 5, 16),
    )
    last_line = (
        f"ticket_added_ms_p50={ticket.p50_ms - unkeyed.p50_ms:.2f} "
        f"key_added_ms_p50={key.p50_ms - unkeyed.p50_ms:.2f} "
        f"key_added_ms_p99={key.p99_ms - unkeyed.p99_ms:.2f} "
        f"appends_per_1000_keys={1_000 * key.appends / key.requests:.0f} "
        f"unkeyed_cpu_us={unkeyed.cpu_us:.0f} ticket_cpu_us={ticket.cpu_us:.0f}"
    )
    report.write(REPORT_PATH, last_line)
    print(last_line)


if __name__ == "__main__":
    fire.Fire(main)
