"""Results of the request benchmark: rows, comparisons and the written report."""

import os
import pathlib
import platform
import subprocess

import attrs

from benchmarks.requests_fleet import PROXIES, SLOTS

REPORT_PATH = pathlib.Path("docs/measurements/requests.md")
FLEET_SIZE = 20
WORK_MS = 800.0
TIMEOUT_MS = 8_000
WARMUP_FRACTION = 0.4
STRAGGLER_FACTOR = 10.0
STRAGGLER_LOAD = 0.5
STRAGGLER_WORK_MS = 200.0
STRAGGLER_CELL_FACTOR = 2.5
DESIGN_RATE = 185.0
ADDED_WORK_MS = 2.0
SATURATING_CALLERS = 16
ADDED_P99_TARGET_MS = 6.4
MIN_GOODPUT_RATIO = 0.95
MAX_STRAGGLER_RATIO = 0.3


@attrs.define
class Cell:
    """Results of one system at one load.

    :param system: name of the system.
    :param load: offered load as a multiple of the capacity.
    :param straggler: whether one backend server was slow.
    :param work_ms: mean service time of a request at its backend server.
    :param goodput: correct and complete responses per second, by completion time.
    :param p50_ms: median latency of requests that were not refused because of overload;
        failed requests are included.
    :param p99_ms: 99th percentile of the same latencies.
    :param refused: fraction of requests that were refused or failed.
    """

    system: str
    load: float
    straggler: bool
    work_ms: float
    goodput: float
    p50_ms: float
    p99_ms: float
    refused: float


@attrs.define
class CorrectnessCounts:
    """Counts of violated guarantees; all must be zero.

    :param doubled: non-idempotent requests that were started more than once.
    :param false_not_run: requests with the verdict "not run" that were started.
    :param wrong_answers: responses that belong to another request.
    """

    doubled: int = 0
    false_not_run: int = 0
    wrong_answers: int = 0


@attrs.define
class PathCost:
    """Cost of the path through an entry and a gate.

    :param added_ms_p50: median latency minus that of direct requests.
    :param added_ms_p99: 99th percentile of the latency minus that of direct requests.
    :param direct_p50_ms: median latency of direct requests.
    :param direct_p99_ms: 99th percentile of the latency of direct requests.
    :param entry_cpu_ms: processor time of the entry per request.
    :param gate_cpu_ms: processor time of the gate per request.
    :param saturated_rate: requests per second that one entry served at saturation.
    """

    added_ms_p50: float
    added_ms_p99: float
    direct_p50_ms: float
    direct_p99_ms: float
    entry_cpu_ms: float
    gate_cpu_ms: float
    saturated_rate: float

    @property
    def rate_per_core(self) -> float:
        """Return the requests per second for which entry and gate use one core."""
        return 1_000 / (self.entry_cpu_ms + self.gate_cpu_ms)


def get_cell(
    cells: list[Cell], system: str, load: float, work_ms: float = WORK_MS
) -> Cell:
    """Return the first cell of one system at one load.

    :param work_ms: service time of the cell. Cells without a straggler come first.
    """
    key = (system, load, work_ms)
    return next(c for c in cells if (c.system, c.load, c.work_ms) == key)


def compare_straggler(cells: list[Cell]) -> float:
    """Return the 99th percentile with a straggler, relative to round robin."""
    wagtailstep_value, round_robin_value = (
        get_cell(cells, system, STRAGGLER_LOAD, STRAGGLER_WORK_MS).p99_ms
        for system in ("wagtailstep", "round-robin")
    )
    return wagtailstep_value / max(round_robin_value, 1e-9)


def compare_goodput(cells: list[Cell], load: float) -> float:
    """Return the goodput without a straggler, relative to round robin."""
    wagtailstep_value, round_robin_value = (
        get_cell(cells, system, load).goodput
        for system in ("wagtailstep", "round-robin")
    )
    return wagtailstep_value / max(round_robin_value, 1e-9)


def compare(
    cells: list[Cell], path_cost: PathCost, correctness: CorrectnessCounts
) -> dict[str, float]:
    """Return the figures of the summary line."""
    return {
        "goodput_ratio_0_9x": round(compare_goodput(cells, 0.9), 3),
        "goodput_ratio_3x": round(compare_goodput(cells, 3.0), 3),
        "p99_ratio_straggler": round(compare_straggler(cells), 3),
        "added_ms_p50": round(path_cost.added_ms_p50, 2),
        "added_ms_p99": round(path_cost.added_ms_p99, 2),
        "requests_per_s_per_core": round(path_cost.rate_per_core, 1),
        "doubled": correctness.doubled,
        "false_not_run": correctness.false_not_run,
        "wrong_answers": correctness.wrong_answers,
    }


def describe_goals(cells: list[Cell], path_cost: PathCost) -> list[str]:
    """Return table rows that compare the figures with the stated goals."""
    goodput_ratio = (
        get_cell(cells, "wagtailstep", 3.0).goodput
        / get_cell(cells, "wagtailstep", 0.9).goodput
    )
    straggler = compare_straggler(cells)
    rows = [
        ("goodput at 3x against 0.9x", goodput_ratio, ">=", MIN_GOODPUT_RATIO),
        ("p99 with a straggler at 0.5x", straggler, "<=", MAX_STRAGGLER_RATIO),
        ("added p99 in ms", path_cost.added_ms_p99, "<=", ADDED_P99_TARGET_MS),
    ]
    return [
        f"| {name} | {value:.2f} | {sign} {bound} | "
        f"{describe_verdict(value, sign, bound)} |"
        for name, value, sign, bound in rows
    ]


def describe_verdict(value: float, sign: str, bound: float) -> str:
    """Return "met" or "missed" for a measured value and its bound."""
    is_met = value >= bound if sign == ">=" else value <= bound
    return "met" if is_met else "missed"


def write_report(
    cells: list[Cell], path_cost: PathCost, line: str, seed: int, seconds: float
) -> None:
    """Write the page of results with machine, seed and commit."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    lines = [
        "# Requests against round robin",
        "",
        f"- machine: {platform.machine()}, {os.cpu_count()} cores, Python "
        f"{platform.python_version()}, load average {load} (shared with other work)",
        f"- seed {seed}, commit {commit}, {seconds:g} s for each cell, the first "
        f"{WARMUP_FRACTION:.0%} not counted",
        f"- {FLEET_SIZE} daemons and backend servers with {SLOTS} slots, "
        f"deadline {TIMEOUT_MS} ms, 30% of the requests non-idempotent",
        f"- straggler: one backend server in {FLEET_SIZE} takes "
        f"{STRAGGLER_FACTOR:g} times as long; its last row runs "
        f"{STRAGGLER_CELL_FACTOR:g} times as long as the others",
        "- latencies exclude refusals (503) and include failures and timeouts; goodput "
        "counts complete and correct responses by completion time",
        f"- round robin runs as {PROXIES} proxies, one for each instance",
        "",
        "| system | load | straggler | work ms | goodput/s | p50 ms | p99 ms "
        "| refused |",
        "|---|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {c.system} | {c.load}x | {'yes' if c.straggler else 'no'} | "
        f"{c.work_ms:g} | "
        f"{c.goodput:.1f} | {c.p50_ms:.0f} | {c.p99_ms:.0f} | {c.refused:.1%} |"
        for c in cells
    ]
    lines += [
        "",
        "| target | measured | bound | verdict |",
        "|---|---|---|---|",
        *describe_goals(cells, path_cost),
        "",
        f"Cost of the path at {DESIGN_RATE:g} requests a second at one daemon, "
        f"compared with direct requests (work {ADDED_WORK_MS:g} ms): direct p50 "
        f"{path_cost.direct_p50_ms:.2f} ms, p99 {path_cost.direct_p99_ms:.2f} ms; "
        f"added p50 {path_cost.added_ms_p50:.2f} ms, p99 "
        f"{path_cost.added_ms_p99:.2f} ms.",
        "",
        f"Processor time for one request: entry {path_cost.entry_cpu_ms:.2f} ms, gate "
        f"{path_cost.gate_cpu_ms:.2f} ms, control included. One entry with "
        f"{SATURATING_CALLERS} callers at once: {path_cost.saturated_rate:.0f} "
        "requests/s.",
        "",
        f"    {line}",
    ]
    REPORT_PATH.parent.mkdir(parents=True, exist_ok=True)
    REPORT_PATH.write_text("\n".join(lines) + "\n")
