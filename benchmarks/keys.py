"""Measure what a ticket and a plain idempotency key cost a request.

One entry with the real runtime and log client over loopback HTTP to the stand-in of
the log service, and a forwarder that answers at once; unkeyed requests, tickets and
plain keys are paired in the same run. ``python -m benchmarks.keys --seed=1``
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
KINDS = ("unkeyed", "ticket", "key")
REPORT = pathlib.Path("docs/measurements/keys.md")


class SilentChannel:
    """A control channel that nobody listens to."""

    async def start(self, receive: Any) -> None:
        """Receive nothing."""

    async def close(self) -> None:
        """Close nothing."""


class InstantForwarder:
    """Answers each attempt at once."""

    async def forward(self, *attempt: Any) -> Answer:
        """Return a small answer."""
        return Answer(200, (), yield_body(b"signed"), Verdict.RUN)


class CountingLog(HttpLogService):
    """The real log client; counts appends."""

    appends = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record."""
        self.appends += 1
        return await super().append(stream, data)


@attrs.define
class Bench:
    """One entry and what it needs.

    :param entry: the entry.
    :param runtime: its runtime.
    :param log: its log client.
    """

    entry: EntryService
    runtime: Runtime
    log: CountingLog


@attrs.frozen
class Cell:
    """Figures of one kind of request at one concurrency and log delay."""

    kind: str
    log_delay_ms: int
    concurrency: int
    requests: int
    p50_ms: float
    p99_ms: float
    appends: int
    cpu_us: float


async def make_bench(seed: int, log_address: str) -> Bench:
    """Wire one entry to the log service."""
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
    runtime = Runtime(*parts, RuntimeAdapters(log, SilentChannel(), None))
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
    return Bench(entry, runtime, log)


async def send(bench: Bench, kind: str, number: str) -> float:
    """Send one request and return its time in milliseconds."""
    made = [(headers.SERVICE, SERVICE)]
    if kind == "ticket":
        ticket = await bench.entry.issue_ticket(SERVICE)
        made.append((headers.IDEMPOTENCY_KEY, ticket))
    elif kind == "key":
        made.append((headers.IDEMPOTENCY_KEY, f"key-{number}"))
    started = time.perf_counter()
    incoming = IncomingRequest("POST", "/sign", tuple(made), yield_body(b"body"))
    answer = await bench.entry.handle(incoming)
    body = b"".join([chunk async for chunk in answer.body])
    await answer.close()
    if answer.status != 200 or body != b"signed":
        raise RuntimeError(f"{kind} request failed: {answer.status} {body!r}")
    return (time.perf_counter() - started) * 1_000


async def run_cell(
    bench: Bench, kind: str, delay_ms: int, concurrency: int, requests: int
) -> Cell:
    """Send requests of one kind from some callers at once."""
    appends = bench.log.appends
    cpu = time.process_time()

    async def call(caller: int) -> list[float]:
        prefix = f"{delay_ms}-{concurrency}-{caller}"
        count = requests // concurrency
        return [await send(bench, kind, f"{prefix}-{n}") for n in range(count)]

    results = await asyncio.gather(*map(call, range(concurrency)))
    times = sorted(latency for latencies in results for latency in latencies)
    cpu_us = (time.process_time() - cpu) * 1e6 / len(times)
    made = bench.log.appends - appends
    p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
    return Cell(kind, delay_ms, concurrency, len(times), p50, p99, made, cpu_us)


async def measure(seed: int, requests: int) -> list[Cell]:
    """Measure all kinds, delays and concurrencies."""
    cells = []
    faults, stop, ports = LogFaults(), asyncio.Event(), asyncio.Queue()
    server = asyncio.create_task(serve("127.0.0.1", 0, faults, ports.put_nowait, stop))
    bench = await make_bench(seed, f"127.0.0.1:{await ports.get()}")
    await run_cell(bench, "key", 0, 2, 20)
    for faults.delay_ms in LOG_DELAYS_MS:
        for concurrency in CONCURRENCIES:
            for kind in KINDS:
                cell = await run_cell(
                    bench, kind, faults.delay_ms, concurrency, requests
                )
                print(cell, flush=True)
                cells.append(cell)
    await bench.runtime.close()
    stop.set()
    await server
    return cells


def add_cells(report: Report, cells: list[Cell]) -> None:
    """Add the table of all cells to the page."""
    report.add_text(
        "Entry, runtime, log client and the stand-in of the log service share one "
        "process and one core, so the processor time of a keyed request includes the "
        "stand-in's."
    )
    headings = ["log delay ms", "callers", "kind", "requests", "p50 ms", "p99 ms"]
    headings += ["appends per 1,000 requests", "CPU us per request"]
    rows = [
        [
            str(cell.log_delay_ms),
            str(cell.concurrency),
            cell.kind,
            str(cell.requests),
            f"{cell.p50_ms:.2f}",
            f"{cell.p99_ms:.2f}",
            f"{1_000 * cell.appends / cell.requests:.0f}",
            f"{cell.cpu_us:.0f}",
        ]
        for cell in cells
    ]
    report.add_table(headings, rows)


def find(cells: list[Cell], kind: str, delay_ms: int, concurrency: int) -> Cell:
    """Return one cell."""
    wanted = (kind, delay_ms, concurrency)
    return next(c for c in cells if (c.kind, c.log_delay_ms, c.concurrency) == wanted)


def main(seed: int = 1, requests: int = 960) -> None:
    """Measure, write the table and print the figures.

    :param requests: requests in each cell.
    """
    report = Report("Cost of tickets and idempotency keys", "keys", seed)
    cells = asyncio.run(measure(seed, requests))
    add_cells(report, cells)
    plain = find(cells, "unkeyed", 5, 16)
    ticket, key = find(cells, "ticket", 5, 16), find(cells, "key", 5, 16)
    last_line = (
        f"ticket_added_ms_p50={ticket.p50_ms - plain.p50_ms:.2f} "
        f"key_added_ms_p50={key.p50_ms - plain.p50_ms:.2f} "
        f"key_added_ms_p99={key.p99_ms - plain.p99_ms:.2f} "
        f"appends_per_1000_keys={1_000 * key.appends / key.requests:.0f} "
        f"unkeyed_cpu_us={plain.cpu_us:.0f} ticket_cpu_us={ticket.cpu_us:.0f}"
    )
    report.write(REPORT, last_line)
    print(last_line)


if __name__ == "__main__":
    fire.Fire(main)
