"""Measure the time until accepted table edits are in force, and their cost.

Table controllers of whole fleets run in virtual time over a lossy network. Loading and
memory at the design size are measured in real time.
``python -m benchmarks.table --seed=1``
"""

import os
import pathlib
import platform
import random
import subprocess
from datetime import timedelta

import attrs
import fire

from benchmarks.table_fleet import TableFleet
from benchmarks.table_histories import Oracle, build_change
from benchmarks.table_size import SizeFigures, measure_size
from wagtailstep.models.settings import LogSettings
from wagtailstep.models.table_edits import TableEdit

FLEET_SIZES = (8, 52, 200, 600, 1_800)
CURRENT_SIZE = 52
DESIGN_SIZE = 1_800
CURRENT_BOUND_MS = 5_000
DESIGN_BOUND_MS = 9_000
EDIT_COUNT = 12
EDIT_INTERVAL = timedelta(seconds=2)
IDLE_DURATION = timedelta(seconds=20)
CONVERGENCE_DURATION = timedelta(seconds=20)
DROP_FRACTION = 0.01
MAX_LATENCY_MS = 20.0
CHANGES_PER_DAY = 1_500
DAY_S = 86_400
RARE_POLL_MS = 10_000
SNAPSHOT_SIZES = (8, 52, 200)
SNAPSHOT_RETENTION_S = 300.0
SNAPSHOT_RETENTIONS = 3
REPORT_PATH = pathlib.Path("docs/measurements/table.md")


@attrs.frozen
class FleetFigures:
    """Figures of one fleet.

    :param scenario: which daemons read the log and how often.
    :param size: number of daemons.
    :param edits: distinct edits that were appended.
    :param accepted: edits that were accepted.
    :param in_force_ms: sorted times from acceptance until in force, for each edit and
        daemon.
    :param reverted: number of times that a daemon went back to an older version.
    :param lost: pairs of an accepted edit and a daemon where it never got in force.
    :param applied_twice: versions beyond the accepted ones, summed over daemons.
    :param idle_bytes_s: bytes per second that a daemon sends without edits.
    :param edit_bytes: additional bytes that a daemon sends per accepted edit.
    :param idle_cpu: fraction of a core that the controller uses without edits.
    :param edit_cpu_us: additional processor time of a daemon per accepted edit.
    :param reads_per_s: reads of the log by the whole fleet.
    :param appends_per_s: appends to the log by operators and the whole fleet.
    """

    scenario: str
    size: int
    edits: int
    accepted: int
    in_force_ms: tuple[float, ...]
    reverted: int
    lost: int
    applied_twice: int
    idle_bytes_s: float
    edit_bytes: float
    idle_cpu: float
    edit_cpu_us: float
    reads_per_s: float
    appends_per_s: float

    def quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the times from acceptance until in force."""
        last = len(self.in_force_ms) - 1
        return self.in_force_ms[round(last * fraction)]


def start_idle_fleet(seed: int, size: int, poll_ms: int) -> TableFleet:
    """Start a fleet and run it until its daemons have the empty table."""
    fleet = TableFleet(seed, size, LogSettings(poll_ms=poll_ms))
    fleet.network.max_latency_ms = MAX_LATENCY_MS
    fleet.network.drop = DROP_FRACTION
    fleet.run(timedelta(milliseconds=2 * poll_ms) + timedelta(seconds=5))
    return fleet


def restrict_reads_to_one_daemon(fleet: TableFleet) -> None:
    """Make the log unreadable for all daemons but one."""
    for daemon in list(fleet.daemons.values())[1:]:
        daemon.reads_log = False


def append_edits(fleet: TableFleet, oracle: Oracle, rng: random.Random) -> list:
    """Append edits, some of them twice or with an outdated base version.

    :return: time and version of each acceptance.
    """
    accepted_at: list[tuple[timedelta, int]] = []
    for index in range(EDIT_COUNT):
        utc = fleet.clock.utc()
        change = build_change(f"s{rng.randrange(4)}", index)
        base = max(0, oracle.version - rng.choice((0, 0, 1)))
        edit = TableEdit(f"e{index}", base, "operator", "benchmark", utc, change)
        version = oracle.version
        for _ in range(rng.choice((1, 1, 2))):
            fleet.append_edit(edit)
            oracle.apply_edit(edit)
        if oracle.version > version:
            accepted_at.append((fleet.clock.monotonic(), oracle.version))
        fleet.run(EDIT_INTERVAL)
    fleet.run(CONVERGENCE_DURATION)
    return accepted_at


def compute_in_force_times_ms(fleet: TableFleet, accepted_at: list) -> list[float]:
    """Return the sorted times until each version was in force at each daemon."""
    times: list[float] = []
    for daemon in fleet.daemons.values():
        for when, version in accepted_at:
            times_in_force = (
                at
                for at, version_in_force in daemon.versions
                if version_in_force >= version
            )
            at = next(times_in_force, None)
            if at is not None:
                times.append((at - when).total_seconds() * 1e3)
    return sorted(times)


def measure_fleet(
    seed: int, size: int, scenario: str, poll_ms: int = 500
) -> FleetFigures:
    """Run one fleet, first idle, then with edits."""
    fleet = start_idle_fleet(seed, size, poll_ms)
    if scenario == "one daemon reads the log":
        restrict_reads_to_one_daemon(fleet)
    idle = measure_idle(fleet)
    bytes_before = count_bytes(fleet)
    cpu_before = fleet.handling_s
    appends_before = fleet.log.append_count
    started = fleet.clock.monotonic()
    oracle = Oracle()
    accepted_at = append_edits(fleet, oracle, random.Random(seed))
    duration = (fleet.clock.monotonic() - started).total_seconds()
    times = compute_in_force_times_ms(fleet, accepted_at)
    versions = [d.blackboard.table.version for d in fleet.daemons.values()]
    edit_bytes = (count_bytes(fleet) - bytes_before) / size - idle[0] * duration
    edit_cpu = (fleet.handling_s - cpu_before) / size - idle[1] * duration
    return FleetFigures(
        scenario,
        size,
        EDIT_COUNT,
        oracle.version,
        tuple(times),
        len(fleet.find_reverts()),
        len(accepted_at) * size - len(times),
        sum(max(0, version - oracle.version) for version in versions),
        idle[0],
        edit_bytes / oracle.version,
        idle[1],
        edit_cpu * 1e6 / oracle.version,
        idle[2],
        (fleet.log.append_count - appends_before) / duration,
    )


def measure_idle(fleet: TableFleet) -> tuple[float, float, float]:
    """Run a fleet without edits.

    :return: bytes per second and fraction of a core of one daemon, and reads of the log
        per second by all.
    """
    size = len(fleet.daemons)
    bytes_before = count_bytes(fleet)
    cpu_before, reads_before = fleet.handling_s, fleet.log.read_count
    fleet.run(IDLE_DURATION)
    seconds = IDLE_DURATION.total_seconds()
    return (
        (count_bytes(fleet) - bytes_before) / size / seconds,
        (fleet.handling_s - cpu_before) / size / seconds,
        (fleet.log.read_count - reads_before) / seconds,
    )


def count_bytes(fleet: TableFleet) -> int:
    """Return the number of bytes that all daemons have sent."""
    return sum(daemon.bytes_sent for daemon in fleet.daemons.values())


@attrs.frozen
class SnapshotFigures:
    """Number of snapshots that a fleet wrote.

    :param size: number of daemons.
    :param due: how often a snapshot was due.
    :param written: how many snapshots were appended.
    """

    size: int
    due: int
    written: int


def measure_snapshots(seed: int, size: int) -> SnapshotFigures:
    """Run a fleet for a multiple of the log's retention and count its snapshots."""
    log_settings = LogSettings(retention_s=SNAPSHOT_RETENTION_S)
    fleet = TableFleet(seed, size, log_settings)
    fleet.network.max_latency_ms = MAX_LATENCY_MS
    fleet.network.drop = DROP_FRACTION
    utc = fleet.clock.utc()
    edit = TableEdit("e", 0, "operator", "benchmark", utc, build_change("s", 1))
    fleet.append_edit(edit)
    fleet.run(timedelta(seconds=SNAPSHOT_RETENTION_S * SNAPSHOT_RETENTIONS))
    # A snapshot is written shortly after half of the retention time.
    due = 2 * SNAPSHOT_RETENTIONS - 1
    return SnapshotFigures(size, due, fleet.log.append_count - 1)


def describe_fleet(figures: FleetFigures) -> str:
    """Format the figures of a fleet as a row of the table."""
    day_bytes = figures.idle_bytes_s + figures.edit_bytes * CHANGES_PER_DAY / DAY_S
    day_cpu = figures.idle_cpu + figures.edit_cpu_us / 1e6 * CHANGES_PER_DAY / DAY_S
    return (
        f"| {figures.size} | {figures.scenario} | {figures.quantile_ms(0.5):.0f} | "
        f"{figures.quantile_ms(0.99):.0f} | {figures.quantile_ms(1):.0f} | "
        f"{figures.reverted} | {figures.lost} | {figures.applied_twice} | "
        f"{figures.idle_bytes_s:.0f} | {figures.edit_bytes:.0f} | {day_bytes:.0f} | "
        f"{day_cpu * 100:.3f} | {figures.reads_per_s:.0f} |"
    )


def write_report(
    figures: list[FleetFigures],
    size: SizeFigures,
    snapshots: list[SnapshotFigures],
    seed: int,
    commit: str,
) -> None:
    """Write all figures as a Markdown page."""
    lines = [
        "# The table: time to in force, and cost",
        "",
        f"Machine: {platform.machine()}, {os.cpu_count()} cores, shared with other "
        f"work; Python {platform.python_version()}; seed {seed}; code of commit "
        f"{commit}.",
        "",
        "Fleets of table controllers in virtual time. Messages take 0.5 ms to "
        f"{MAX_LATENCY_MS:g} ms and {DROP_FRACTION:.0%} of them are lost; each daemon "
        "knows all others and reads the log every 0.5 s, or every "
        f"{RARE_POLL_MS / 1e3:g} s in the scenario of rare reads. Times run from the "
        "append that was accepted until a daemon has the version in force, over all "
        "edits and daemons. Bytes are those sent, with 40 bytes of overhead for each "
        "message; about as many are received. The bytes and the fraction of a core "
        f"over a day include {CHANGES_PER_DAY} changes. Processor time is that of the "
        "controller alone.",
        "",
        f"Bounds: {CURRENT_BOUND_MS} ms up to {CURRENT_SIZE} daemons, "
        f"{DESIGN_BOUND_MS} ms at the design size.",
        "",
        "| daemons | scenario | p50 ms | p99 ms | worst ms | reverted | lost | "
        "applied twice | quiet B/s | B per edit | B/s over a day | % of a core | "
        "log reads/s of all |",
        f"|{'---|' * 13}",
        *(describe_fleet(item) for item in figures),
        "",
        "## At the design size",
        "",
        "460 services, 10,000 routes, 47,000 client accounts and 19,000 backend "
        "servers, 1,024 edits remembered.",
        "",
        "| rows | snapshot bytes | encode ms | load ms | held MB | resident MB | "
        "decide one edit us |",
        "|---|---|---|---|---|---|---|",
        f"| {size.rows} | {size.snapshot_bytes} | {size.encode_ms:.0f} | "
        f"{size.load_ms:.0f} | {size.held_mb:.1f} | {size.resident_mb:.1f} | "
        f"{size.edit_us:.0f} |",
        "",
        "## Snapshots",
        "",
        f"Retention {SNAPSHOT_RETENTION_S:g} s; fleets ran {SNAPSHOT_RETENTIONS} times "
        "as long. A snapshot is due after half of the retention, and each daemon "
        "delays it by a random time of at most "
        f"{SNAPSHOT_RETENTION_S / 8:g} s (3 hours with a retention of a day).",
        "",
        "| daemons | due | written |",
        "|---|---|---|",
        *(f"| {item.size} | {item.due} | {item.written} |" for item in snapshots),
    ]
    REPORT_PATH.parent.mkdir(parents=True, exist_ok=True)
    REPORT_PATH.write_text("\n".join(lines) + "\n")


def main(seed: int = 1, largest: int = DESIGN_SIZE) -> None:
    """Measure, write the page of results and print the figures.

    :param seed: seed of all random choices.
    :param largest: largest number of daemons of a fleet to run.
    """
    git = ["git", "rev-parse", "--short", "HEAD"]
    commit = subprocess.run(git, capture_output=True, text=True).stdout.strip()
    results: list[FleetFigures] = []
    for size in (size for size in FLEET_SIZES if size <= largest):
        for scenario in ("all daemons read the log", "one daemon reads the log"):
            results.append(measure_fleet(seed, size, scenario))
            print(describe_fleet(results[-1]), flush=True)
    rare_reads = "all read the log rarely"
    results.append(
        measure_fleet(seed, min(largest, DESIGN_SIZE), rare_reads, RARE_POLL_MS)
    )
    print(describe_fleet(results[-1]), flush=True)
    size_figures = measure_size(seed)
    print(size_figures, flush=True)
    snapshots = [measure_snapshots(seed, count) for count in SNAPSHOT_SIZES]
    print(snapshots, flush=True)
    write_report(results, size_figures, snapshots, seed, commit)
    print_summary(results)


def print_summary(results: list[FleetFigures]) -> None:
    """Print the summary; latencies are those of the largest fleet."""
    all_read_log = [r for r in results if r.scenario.startswith("all daemons")]
    one_reads_log = [r for r in results if r.scenario.startswith("one")]
    largest = all_read_log[-1]
    print(
        f"edits={sum(r.edits for r in results)} "
        f"accepted={sum(r.accepted for r in results)} "
        f"in_force_p50_ms={largest.quantile_ms(0.5):.0f} "
        f"in_force_p99_ms={largest.quantile_ms(0.99):.0f} "
        f"in_force_max_ms={max(r.quantile_ms(1) for r in all_read_log):.0f} "
        f"in_force_max_log_away_ms={max(r.quantile_ms(1) for r in one_reads_log):.0f} "
        f"reverted={sum(r.reverted for r in results)} "
        f"lost={sum(r.lost for r in results)} "
        f"applied_twice={sum(r.applied_twice for r in results)} "
        f"appends_per_s={largest.appends_per_s:.2f}"
    )


if __name__ == "__main__":
    fire.Fire(main)
