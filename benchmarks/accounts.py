"""Measure how long the client accounts of a large table hold up the event loop.

A table controller reads documents of the design scale (47,000 accounts with two keys
each) on a real event loop, first in one step, then in steps as daemons do. A second
version replaces the first one, whose memory is then freed.
``python -m benchmarks.accounts --seed=1``
"""

import asyncio
import gc
import pathlib
import random
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import attrs
import fire
import msgspec

from benchmarks.report import Report
from benchmarks.soak.fleet import build_configuration
from wagtailstep.controllers import table_build
from wagtailstep.controllers.published_table import PublishedTableController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member
from wagtailstep.models.keyed_store import KeyedRecords
from wagtailstep.models.peer import StampedMessage
from wagtailstep.models.published_table import (
    ContinueTableBuild,
    TableBuildDue,
    TableDocument,
    TablePublished,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.platform.configuration import build_table, find_document
from wagtailstep.utils.clock import LoopClock
from wagtailstep.utils.codec import decode_message, encode_message

ADDRESS = "127.0.0.1:1"
KEYS_PER_ACCOUNT = 2
LOOKUPS = 100_000
COLUMNS = ["name", "api-keys", "priority", "rate-per-s", "burst"]
REPORT_PATH = pathlib.Path("docs/measurements/accounts.md")


@attrs.frozen
class Measurement:
    """One version of the table that was put in force.

    :param way: how it was built.
    :param total_ms: time from the arrival of the document until it was in force.
    :param longest_step_ms: longest time that the controller held the event loop.
    :param longest_stall_ms: longest delay of another task that runs all the time.
    """

    way: str
    total_ms: float
    longest_step_ms: float
    longest_stall_ms: float


def build_document(version: int, accounts: int, rng: random.Random) -> bytes:
    """Build a configuration with random keys."""
    rows = [
        [
            f"account-{number}",
            [f"{rng.getrandbits(128):032x}" for _ in range(KEYS_PER_ACCOUNT)],
            number % 4,
            50.0,
            100.0,
        ]
        for number in range(accounts)
    ]
    configuration = msgspec.json.decode(build_configuration(version))
    configuration["tenants"] = {"columns": COLUMNS, "rows": rows}
    return msgspec.json.encode(configuration)


class LoopProbe:
    """A task that always wants to run, and the longest time that it could not."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.longest_s = max(self.longest_s, now - last)
            last = now


class TableFixture:
    """A table controller on the running event loop."""

    def __init__(self, seed: int) -> None:
        settings = DaemonSettings("d1", "z", ADDRESS, ADDRESS, ADDRESS, ADDRESS)
        self.board = Blackboard(Member("d1", 1, ADDRESS, ADDRESS, "z"))
        parts = (settings, self.board, LoopClock(), random.Random(seed))
        self.controller = PublishedTableController(*parts, build_table)
        self.longest_step_s = 0.0

    def handle(self, event: Any) -> None:
        """Handle an event and schedule the next step if there is one."""
        started = time.perf_counter()
        effects = self.controller.handle(event)
        self.longest_step_s = max(self.longest_step_s, time.perf_counter() - started)
        for effect in effects:
            if isinstance(effect, ContinueTableBuild):
                pause_s = effect.pause.total_seconds()
                asyncio.get_running_loop().call_later(
                    pause_s, self.handle, TableBuildDue()
                )

    async def publish(self, way: str, data: bytes) -> Measurement:
        """Put a document in force, as the table follower does."""
        self.longest_step_s = 0.0
        probe = LoopProbe()
        probing = asyncio.ensure_future(probe.run())
        await asyncio.sleep(0.05)
        started = time.perf_counter()
        document = find_document(KeyedRecords({"config": data}, 1))
        self.handle(TablePublished(document, "store"))
        while self.board.table.version != document.version:
            await asyncio.sleep(0)
        total_s = time.perf_counter() - started
        await asyncio.sleep(0.05)
        probing.cancel()
        return Measurement(
            way, total_s * 1e3, self.longest_step_s * 1e3, probe.longest_s * 1e3
        )


@contextmanager
def build_at_once(accounts: int) -> Iterator[None]:
    """Make daemons build a table in one step."""
    with mock.patch.object(table_build, "ACCOUNTS_PER_STEP", accounts + 1):
        yield


async def measure_builds(seed: int, documents: list[bytes]) -> list[Measurement]:
    """Measure both ways to build the tables."""
    measurements = []
    for way, context in (
        ("in one step", build_at_once(len(documents[0]))),
        ("in steps", build_at_once(table_build.ACCOUNTS_PER_STEP - 1)),
    ):
        with context:
            fixture = TableFixture(seed)
            for number, data in enumerate(documents):
                name = f"{way}, {'replacing a table' if number else 'first table'}"
                measurement = await fixture.publish(name, data)
                print(measurement, flush=True)
                measurements.append(measurement)
    return measurements


def measure_memory(data: bytes) -> tuple[float, float]:
    """Return the memory of a complete table and the peak of its build, in MB.

    The document itself, which is kept as well, is not included.
    """
    document = TableDocument(1, data)
    gc.collect()
    tracemalloc.start()
    table = build_table(document)
    while not table.client_accounts.complete:
        table.client_accounts.add_next(table_build.ACCOUNTS_PER_STEP)
    _, peak = tracemalloc.get_traced_memory()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept / 1e6, peak / 1e6


async def measure_passing(seed: int, data: bytes) -> tuple[float, float, float]:
    """Measure how a document in force is passed to another daemon.

    :return: milliseconds to send it, milliseconds to decode it, and megabytes sent.
    """
    fixture = TableFixture(seed)
    await fixture.publish("to pass it on", data)
    started = time.perf_counter()
    message = StampedMessage.from_message(1, fixture.controller.document_message)
    sent = encode_message(message)
    sent_at = time.perf_counter()
    decode_message(sent).decode_body()
    decoded_at = time.perf_counter()
    return (sent_at - started) * 1e3, (decoded_at - sent_at) * 1e3, len(sent) / 1e6


def measure_lookups(data: bytes, accounts: int) -> tuple[float, float]:
    """Return the mean time to find a known and an unknown key, in microseconds."""
    table = build_table(TableDocument(1, data))
    directory = table.client_accounts
    directory.add_next(accounts + 1)
    rows = msgspec.json.decode(data)["tenants"]["rows"]
    known = [rows[number % accounts][1][0] for number in range(LOOKUPS)]
    times = []
    for keys in (known, [f"{key[:-1]}x" for key in known]):
        started = time.perf_counter()
        for key in keys:
            directory.find(key)
        times.append((time.perf_counter() - started) * 1e6 / LOOKUPS)
    return times[0], times[1]


def main(seed: int = 1, accounts: int = 47_000) -> None:
    """Measure, write the page of results and print the figures.

    :param seed: seed of the keys.
    :param accounts: number of client accounts.
    """
    report = Report("Client accounts of a large table", "accounts", seed)
    rng = random.Random(seed)
    documents = [build_document(version, accounts, rng) for version in (1, 2)]
    measurements = asyncio.run(measure_builds(seed, documents))
    kept_mb, peak_mb = measure_memory(documents[0])
    known_us, unknown_us = measure_lookups(documents[0], accounts)
    sent_ms, decoded_ms, sent_mb = asyncio.run(measure_passing(seed, documents[0]))
    size_mb = len(documents[0]) / 1e6
    report.add_text(
        f"{accounts} accounts with {KEYS_PER_ACCOUNT} keys of 32 characters; the "
        f"document has {size_mb:.1f} MB. The stall is what another task of the event "
        "loop saw; it includes the read of the version in the table follower."
    )
    headings = ["build", "until in force ms", "longest step ms", "longest stall ms"]
    rows = [[m.way, *(f"{v:.1f}" for v in attrs.astuple(m)[1:])] for m in measurements]
    report.add_table(headings, rows)
    report.add_text(
        f"Memory (tracemalloc): {kept_mb:.1f} MB for the accounts, {peak_mb:.1f} MB at "
        f"the peak of the build, besides the document. Lookup: {known_us:.2f} us of a "
        f"known key, {unknown_us:.2f} us of an unknown one. Passing the document on: "
        f"{sent_mb:.1f} MB in one message, {sent_ms:.1f} ms at the sender, "
        f"{decoded_ms:.1f} ms at the receiver before it reads the table."
    )
    in_steps = [m for m in measurements if m.way.startswith("in steps")]
    last_line = (
        f"accounts={accounts} longest_stall_ms="
        f"{max(m.longest_stall_ms for m in in_steps):.1f} "
        f"until_in_force_ms={max(m.total_ms for m in in_steps):.0f} "
        f"memory_mb={kept_mb:.1f} peak_mb={peak_mb:.1f} find_us={known_us:.2f}"
    )
    report.write(REPORT_PATH, last_line)
    print(last_line)


if __name__ == "__main__":
    fire.Fire(main)
