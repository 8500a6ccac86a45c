"""Measure the memory of daemons that forward large bodies.

A 1 GiB upload and a large response to a slow reader pass an entry and another daemon's
gate. ``python -m benchmarks.streams --seed=1`` writes ``docs/measurements/streams.md``.
"""

import asyncio
import os
import pathlib
import platform
import subprocess
import tempfile
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

import attrs
import fire
import xxhash

from benchmarks.requests_fleet import Fleet, Program
from benchmarks.requests_load import SERVICE_NAME
from wagtailstep.models.headers import SERVICE, TIMEOUT_MS
from wagtailstep.network.http_connection import HttpRequest

REPORT_PATH = pathlib.Path("docs/measurements/streams.md")
MIB = 1_048_576
UPLOAD_MIB = 1_024
ANSWER_MIB = 256
SLOW_READS = 200
SLOW_READ_PAUSE_S = 0.02
TIMEOUT_S = 300
MEMORY_BUDGET_MB = 64


@attrs.define
class Step:
    """Peak memory of both daemons after one step.

    :param name: name of the step.
    :param entry_mb: peak resident memory of the entry's daemon so far.
    :param gate_mb: peak resident memory of the gate's daemon so far.
    :param seconds: duration of the step.
    """

    name: str
    entry_mb: float
    gate_mb: float
    seconds: float


async def generate_upload(digest: xxhash.xxh64) -> AsyncIterator[bytes]:
    """Yield the chunks of the upload, each with different content."""
    for number in range(UPLOAD_MIB * 16):
        chunk = number.to_bytes(8, "big") * (MIB // 16 // 8)
        digest.update(chunk)
        yield chunk


def build_request(
    address: str, *headers: tuple[str, str], **changes: Any
) -> HttpRequest:
    """Build a request with a deadline that is long enough for large bodies."""
    arguments = {
        "address": address,
        "method": "GET",
        "path": "/lookup/large",
        "body": None,
        "idempotent": True,
        "time_left": timedelta(seconds=TIMEOUT_S),
    }
    required_headers = ((SERVICE, SERVICE_NAME), (TIMEOUT_MS, str(TIMEOUT_S * 1_000)))
    return HttpRequest(
        headers=(*required_headers, *headers), **{**arguments, **changes}
    )


async def upload(fleet: Fleet, address: str) -> None:
    """Send the upload and compare its digest with the backend server's.

    :raises RuntimeError: if it did not arrive unchanged.
    """
    digest = xxhash.xxh64()
    request = build_request(
        address,
        ("content-length", str(UPLOAD_MIB * MIB)),
        method="POST",
        path="/upload",
        body=generate_upload(digest),
        idempotent=False,
    )
    answer = await fleet.client.send(request)
    async for _ in answer.body:
        pass
    headers = dict(answer.headers)
    if headers.get("fake-body-digest") != digest.hexdigest():
        raise RuntimeError(f"upload arrived incomplete or changed: {headers}")


async def read_slowly(fleet: Fleet, address: str) -> None:
    """Read a large response, the first chunks slowly.

    :raises RuntimeError: if it is incomplete.
    """
    size = ANSWER_MIB * MIB
    request = build_request(address, ("fake-answer-bytes", str(size)))
    answer = await fleet.client.send(request)
    received = 0
    reads = 0
    async for chunk in answer.body:
        received += len(chunk)
        reads += 1
        if reads < SLOW_READS:
            await asyncio.sleep(SLOW_READ_PAUSE_S)
    if received < size:
        raise RuntimeError(f"response truncated: got {received} of {size} bytes")


async def measure(seed: int) -> list[Step]:
    """Run the upload and the slow read; return the peak memory after each step."""
    loop = asyncio.get_running_loop()
    steps = []
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(pathlib.Path(name), 2, seed, backends=1)
        try:
            await fleet.start()
            by_name = {program.name: program for program in fleet.programs}
            gate, entry = [by_name[d.daemon_id] for d in fleet.daemons]
            address = fleet.entries[1]
            steps.append(record_step("start", entry, gate, 0.0))
            for text, run_stream in (("upload", upload), ("slow reader", read_slowly)):
                started = loop.time()
                await run_stream(fleet, address)
                steps.append(record_step(text, entry, gate, loop.time() - started))
        finally:
            await fleet.stop()
    return steps


def record_step(name: str, entry: Program, gate: Program, seconds: float) -> Step:
    """Return and print the peak memory after a step."""
    step = Step(name, entry.peak_memory_mb(), gate.peak_memory_mb(), seconds)
    print(attrs.asdict(step), flush=True)
    return step


def main(seed: int = 1) -> None:
    """Measure and report.

    :param seed: seed of the daemons.
    """
    steps = asyncio.run(measure(seed))
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    lines = [
        "# Memory under large bodies",
        "",
        f"- machine: {platform.machine()}, {os.cpu_count()} cores, Python "
        f"{platform.python_version()}; seed {seed}, commit {commit}",
        f"- upload of {UPLOAD_MIB} MiB, then a response of {ANSWER_MIB} MiB whose "
        f"first {SLOW_READS} chunks are read {SLOW_READ_PAUSE_S * 1000:g} ms apart",
        "- peak resident memory of each daemon process; the budget is "
        f"{MEMORY_BUDGET_MB} MB for control",
        "",
        "| after | entry MB | gate MB | seconds |",
        "|---|---|---|---|",
        *(
            f"| {s.name} | {s.entry_mb:.1f} | {s.gate_mb:.1f} | {s.seconds:.1f} |"
            for s in steps
        ),
    ]
    REPORT_PATH.parent.mkdir(parents=True, exist_ok=True)
    REPORT_PATH.write_text("\n".join(lines) + "\n")
    first, last = steps[0], steps[-1]
    print(
        f"entry_growth_mb={last.entry_mb - first.entry_mb:.1f} "
        f"gate_growth_mb={last.gate_mb - first.gate_mb:.1f}"
    )


if __name__ == "__main__":
    fire.Fire(main)
