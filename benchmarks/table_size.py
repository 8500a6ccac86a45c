"""Measure the cost of a table of the design size to one daemon."""

import gc
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from datetime import UTC, datetime

import attrs

from wagtailstep.models.table import RouteRow, ServiceRow, Table
from wagtailstep.models.table_edits import TableChanges, TableEdit
from wagtailstep.models.table_fold import TableFold, hash_table
from wagtailstep.models.table_snapshot import (
    decode_snapshot,
    encode_snapshot,
)

SERVICE_COUNT = 460
ROUTE_COUNT = 10_000
ACCOUNT_COUNT = 47_000
BACKEND_SERVER_COUNT = 19_000
EDIT_COUNT = 200
REMEMBERED_EDIT_COUNT = 1_024

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.frozen
class SizeFigures:
    """Measured cost of a table.

    :param rows: number of rows.
    :param snapshot_bytes: size of the encoded snapshot.
    :param encode_ms: time to encode it.
    :param load_ms: time to decode and verify it.
    :param held_mb: memory held by the loaded fold, as ``tracemalloc`` counts it.
    :param resident_mb: growth of the resident memory of a new process that loads it.
    :param edit_us: time to decide one edit of one backend server.
    """

    rows: int
    snapshot_bytes: int
    encode_ms: float
    load_ms: float
    held_mb: float
    resident_mb: float
    edit_us: float


def build_snapshot(rng: random.Random) -> bytes:
    """Build an encoded snapshot of a random table of the design size."""
    services = [f"service-{index:03d}" for index in range(SERVICE_COUNT)]
    table = Table()
    for name in services:
        limit = rng.randrange(1_000)
        table.services[name] = ServiceRow(name, 3.0, concurrency_limit=limit)
    for index in range(ROUTE_COUNT):
        key = f"{rng.choice(services)}/route-{index}"
        table.routes[key] = RouteRow(key, rng.randrange(100), rng.randrange(100, 9_000))
    for index in range(BACKEND_SERVER_COUNT):
        host = f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}"
        key = f"{services[index % SERVICE_COUNT]}/{host}:{rng.randrange(1024, 65_536)}"
        table.backend_servers[key] = table.backend_servers.make_row(
            key, round(rng.uniform(0.1, 2), 2)
        )
    for _ in range(ACCOUNT_COUNT):
        key = f"{rng.choice(services)}/account-{rng.getrandbits(40):010x}"
        rate = float(rng.randrange(1, 50))
        table.accounts[key] = table.accounts.make_row(key, rate)
    fold = TableFold(table, content_hash=hash_table(table))
    for index in range(REMEMBERED_EDIT_COUNT):
        edit_server(fold, index, rng)
    return encode_snapshot(fold)


def edit_server(fold: TableFold, index: int, rng: random.Random) -> None:
    """Apply an edit of one random backend server to the fold."""
    rows = fold.table.backend_servers
    key = rows.packed_keys[rng.randrange(len(rows.packed_keys))].decode()
    row = rows.make_row(key, round(rng.uniform(0.1, 2), 2))
    utc = datetime(2026, 1, 1, tzinfo=UTC)
    changes = TableChanges(backend_servers={key: row})
    edit_id = f"e{rng.getrandbits(64):016x}"
    edit = TableEdit(edit_id, fold.version, "operator", f"edit {index}", utc, changes)
    fold.decide(edit, index)


def read_resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


def measure_size(seed: int) -> SizeFigures:
    """Measure loading, memory and edits at the design size."""
    rng = random.Random(seed)
    data = build_snapshot(rng)
    resident_mb = measure_resident(data)
    started = time.perf_counter()
    fold = decode_snapshot(data)
    load_ms = (time.perf_counter() - started) * 1e3
    started = time.perf_counter()
    encode_snapshot(fold)
    encode_ms = (time.perf_counter() - started) * 1e3
    started = time.perf_counter()
    for index in range(EDIT_COUNT):
        edit_server(fold, index, rng)
    edit_us = (time.perf_counter() - started) * 1e6 / EDIT_COUNT
    rows = SERVICE_COUNT + ROUTE_COUNT + ACCOUNT_COUNT + BACKEND_SERVER_COUNT
    held_mb = measure_held(data)
    return SizeFigures(
        rows, len(data), encode_ms, load_ms, held_mb, resident_mb, edit_us
    )


def measure_resident(data: bytes) -> float:
    """Return the growth in MB of a new process that loads a snapshot."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "snapshot")
        path.write_bytes(data)
        command = [sys.executable, "-m", "benchmarks.table_size", str(path)]
        return float(subprocess.run(command, capture_output=True, check=True).stdout)


def print_growth(path: str) -> None:
    """Load a snapshot and print the growth of the resident memory in MB."""
    data = pathlib.Path(path).read_bytes()
    gc.collect()
    before = read_resident_mb()
    fold = decode_snapshot(data)
    gc.collect()
    print(read_resident_mb() - before)
    assert fold.version


def measure_held(data: bytes) -> float:
    """Return the memory that a loaded fold holds, in MB."""
    tracemalloc.start()
    fold = decode_snapshot(data)
    gc.collect()
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    assert fold.version
    return held_mb


if __name__ == "__main__":
    print_growth(sys.argv[1])
