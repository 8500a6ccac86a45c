"""Measure the request path against plain round robin, paired in one run.

``python -m benchmarks.requests --seed=1`` starts real daemons, backend server
stand-ins and round-robin proxies on loopback, gives both systems the same arrivals,
and writes ``docs/measurements/requests.md``.
"""

import asyncio
import os
import pathlib
import platform
import subprocess
import tempfile

import attrs
import fire

from benchmarks.requests_fleet import PROXIES, SLOTS, Fleet
from benchmarks.requests_load import LoadSpec, Outcome
from wagtailstep.fakes.faults import Faults

REPORT = pathlib.Path("docs/measurements/requests.md")
FLEET_SIZE = 20
WORK_MS = 800.0
TIMEOUT_MS = 8_000
LOADS = (0.5, 0.9, 1.5, 3.0)
CALLER_PROCESSES = 2
WARMUP_SHARE = 0.4
SHED_STATUS = 503
STRAGGLER_FACTOR = 10.0
DESIGN_RATE = 185.0
ADDED_WORK_MS = 2.0
SATURATING_CALLERS = 16
ADDED_P99_TARGET_MS = 6.4
MIN_GOODPUT_KEPT = 0.95
MAX_STRAGGLER_RATIO = 0.3


@attrs.define
class Cell:
    """One system at one load.

    :param system: name of the system.
    :param load: offered load as a multiple of the capacity.
    :param straggler: whether one backend server was slow.
    :param goodput: whole own answers a second, by the time when they were whole.
    :param p50_ms: median time of all requests that were not refused as overload; a
        failed one counts as it took.
    :param p99_ms: 99th percentile of the same.
    :param refused: share of requests that were refused or failed.
    """

    system: str
    load: float
    straggler: bool
    goodput: float
    p50_ms: float
    p99_ms: float
    refused: float


@attrs.define
class Truth:
    """What must be zero.

    :param doubled: unrepeatable requests that were started more than once.
    :param false_not_run: requests told as not run that were started.
    :param wrong_answers: answers of another request.
    """

    doubled: int = 0
    false_not_run: int = 0
    wrong_answers: int = 0


@attrs.define
class Price:
    """What the path costs.

    :param added_ms_p50: added milliseconds, difference of the medians.
    :param added_ms_p99: added milliseconds, difference of the 99th percentiles.
    :param direct_p50_ms: median of the direct calls.
    :param direct_p99_ms: 99th percentile of the direct calls.
    :param entry_cpu_ms: processor time of the entry for one request.
    :param gate_cpu_ms: processor time of the gate for one request.
    :param saturated_rate: requests a second that one entry served.
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
        """Return requests a second for which entry and gate use one core."""
        return 1_000 / (self.entry_cpu_ms + self.gate_cpu_ms)


def find_quantile(values: list[float], share: float) -> float:
    """Return a quantile by the nearest rank; 0 if there is no value."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def make_specs(
    name: str, addresses: list[str], rate: float, seconds: float, seed: int
) -> list[LoadSpec]:
    """Divide a load between processes of callers."""
    return [
        LoadSpec(
            name=f"{name}-{part}",
            groups=[addresses],
            rate=rate / CALLER_PROCESSES,
            concurrency=0,
            seconds=seconds,
            warmup_s=seconds * WARMUP_SHARE,
            work_ms=WORK_MS,
            timeout_ms=TIMEOUT_MS,
            seed=seed * 100 + part,
        )
        for part in range(CALLER_PROCESSES)
    ]


def judge_cell(
    system: str, load: float, straggler: bool, outcomes: list[Outcome], seconds: float
) -> Cell:
    """Reduce outcomes to one row of the table."""
    warmup_s = seconds * WARMUP_SHARE
    measured = [outcome for outcome in outcomes if outcome.measured]
    good = [o for o in measured if o.status == 200 and not o.wrong]
    in_time = [
        o
        for o in outcomes
        if o.status == 200 and not o.wrong and warmup_s <= o.ended_s < seconds
    ]
    # A refusal is quick; counting its time would flatter a system that refuses.
    times = [o.latency_ms for o in measured if o.status != SHED_STATUS]
    return Cell(
        system=system,
        load=load,
        straggler=straggler,
        goodput=len(in_time) / (seconds - warmup_s),
        p50_ms=find_quantile(times, 0.5),
        p99_ms=find_quantile(times, 0.99),
        refused=1 - len(good) / max(1, len(measured)),
    )


async def measure_cells(
    fleet: Fleet, seed: int, seconds: float
) -> tuple[list[Cell], list[Outcome]]:
    """Measure both systems at each load, without and with a straggler."""
    capacity = FLEET_SIZE * SLOTS / (WORK_MS / 1_000)
    systems = {"wagtailstep": fleet.entries, "round-robin": fleet.proxies}
    cells = []
    own_outcomes = []
    for straggler in (False, True):
        if straggler:
            await fleet.set_faults(0, Faults(slow_factor=STRAGGLER_FACTOR))
        for index, load in enumerate(LOADS):
            for system, addresses in systems.items():
                name = f"{system}-{load}-{straggler}"
                rate = load * capacity
                specs = make_specs(name, addresses, rate, seconds, seed * 10 + index)
                outcomes = await fleet.run_load(*specs)
                cells.append(judge_cell(system, load, straggler, outcomes, seconds))
                print(attrs.asdict(cells[-1]), flush=True)
                if system == "wagtailstep":
                    own_outcomes.extend(outcomes)
    await fleet.set_faults(0, Faults())
    return cells, own_outcomes


async def check_truth(fleet: Fleet, outcomes: list[Outcome]) -> Truth:
    """Compare what callers were told with what the backend servers counted."""
    starts = await fleet.count_starts()
    truth = Truth()
    for outcome in outcomes:
        count = starts.get(outcome.key, 0)
        truth.wrong_answers += outcome.wrong
        truth.doubled += not outcome.repeatable and count > 1
        truth.false_not_run += outcome.verdict == "not-run" and count > 0
    return truth


async def measure_price(folder: pathlib.Path, seed: int, seconds: float) -> Price:
    """Measure added time at the design's rate, then processor time a request.

    Two daemons; only the first one has a backend server, so each request of the
    second one's callers takes both an entry and another daemon's gate.
    """
    fleet = Fleet(folder, 2, seed, backends=1)
    try:
        await fleet.start()
        entry = fleet.entries[1]
        paired = LoadSpec(
            name="paired",
            groups=[[entry], fleet.backends],
            rate=2 * DESIGN_RATE,
            concurrency=0,
            seconds=seconds,
            warmup_s=seconds * WARMUP_SHARE,
            work_ms=ADDED_WORK_MS,
            timeout_ms=TIMEOUT_MS,
            seed=seed,
        )
        outcomes = await fleet.run_load(paired)
        closed = attrs.evolve(
            paired,
            name="closed",
            groups=[[entry]],
            rate=0,
            concurrency=SATURATING_CALLERS,
            work_ms=0.1,
        )
        by_name = {program.name: program for program in fleet.programs}
        gate, entry_daemon = [by_name[d.daemon_id] for d in fleet.daemons]
        daemons = [entry_daemon, gate]
        before = [daemon.cpu_s() for daemon in daemons]
        served = await fleet.run_load(closed)
        used = [d.cpu_s() - cpu for d, cpu in zip(daemons, before, strict=True)]
    finally:
        await fleet.stop()
    answered = sum(outcome.status == 200 for outcome in served)
    times = [
        [o.latency_ms for o in outcomes if o.group == group and o.measured]
        for group in (0, 1)
    ]
    via, direct = times
    return Price(
        added_ms_p50=find_quantile(via, 0.5) - find_quantile(direct, 0.5),
        added_ms_p99=find_quantile(via, 0.99) - find_quantile(direct, 0.99),
        direct_p50_ms=find_quantile(direct, 0.5),
        direct_p99_ms=find_quantile(direct, 0.99),
        entry_cpu_ms=used[0] / answered * 1_000,
        gate_cpu_ms=used[1] / answered * 1_000,
        saturated_rate=answered / seconds,
    )


def find_cell(cells: list[Cell], system: str, load: float, straggler: bool) -> Cell:
    """Return the row of one system at one load."""
    return next(
        cell
        for cell in cells
        if (cell.system, cell.load, cell.straggler) == (system, load, straggler)
    )


def compare(cells: list[Cell], price: Price, truth: Truth) -> dict[str, float]:
    """Return the figures of the last line."""

    def ratio(load: float, straggler: bool, field: str) -> float:
        own = getattr(find_cell(cells, "wagtailstep", load, straggler), field)
        other = getattr(find_cell(cells, "round-robin", load, straggler), field)
        return round(own / max(other, 1e-9), 3)

    return {
        "goodput_ratio_0_9x": ratio(0.9, False, "goodput"),
        "goodput_ratio_3x": ratio(3.0, False, "goodput"),
        "p99_ratio_straggler": ratio(0.5, True, "p99_ms"),
        "added_ms_p50": round(price.added_ms_p50, 2),
        "added_ms_p99": round(price.added_ms_p99, 2),
        "requests_per_s_per_core": round(price.rate_per_core, 1),
        "doubled": truth.doubled,
        "false_not_run": truth.false_not_run,
        "wrong_answers": truth.wrong_answers,
    }


def describe_targets(cells: list[Cell], price: Price) -> list[str]:
    """Compare the figures with the stated targets."""
    kept = (
        find_cell(cells, "wagtailstep", 3.0, False).goodput
        / find_cell(cells, "wagtailstep", 0.9, False).goodput
    )
    straggler = (
        find_cell(cells, "wagtailstep", 0.5, True).p99_ms
        / find_cell(cells, "round-robin", 0.5, True).p99_ms
    )
    rows = [
        ("goodput at 3x against 0.9x", kept, ">=", MIN_GOODPUT_KEPT),
        ("p99 with a straggler at 0.5x", straggler, "<=", MAX_STRAGGLER_RATIO),
        ("added p99 in ms", price.added_ms_p99, "<=", ADDED_P99_TARGET_MS),
    ]
    return [
        f"| {name} | {value:.2f} | {sign} {bound} | {judge(value, sign, bound)} |"
        for name, value, sign, bound in rows
    ]


def judge(value: float, sign: str, bound: float) -> str:
    """Say whether a target is met."""
    is_met = value >= bound if sign == ">=" else value <= bound
    return "met" if is_met else "missed"


def write_report(
    cells: list[Cell], price: Price, line: str, seed: int, seconds: float
) -> None:
    """Write the tables with machine, seed and commit."""
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
        f"{WARMUP_SHARE:.0%} not counted",
        f"- {FLEET_SIZE} daemons and backend servers with {SLOTS} slots, work "
        f"{WORK_MS:g} ms on average, {TIMEOUT_MS} ms allowed, 30% unrepeatable",
        f"- straggler: one backend server in {FLEET_SIZE} takes "
        f"{STRAGGLER_FACTOR:g} times as long",
        "- times leave out quick refusals (503) and take in failures and timeouts; "
        "goodput counts whole own answers by the time when they were whole",
        f"- round robin runs as {PROXIES} proxies, one for each instance",
        "",
        "| system | load | straggler | goodput/s | p50 ms | p99 ms | refused |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {c.system} | {c.load}x | {'yes' if c.straggler else 'no'} | "
        f"{c.goodput:.1f} | {c.p50_ms:.0f} | {c.p99_ms:.0f} | {c.refused:.1%} |"
        for c in cells
    ]
    lines += [
        "",
        "| target | measured | bound | verdict |",
        "|---|---|---|---|",
        *describe_targets(cells, price),
        "",
        f"Price of the path at {DESIGN_RATE:g} requests a second at one daemon, "
        f"paired with direct calls (work {ADDED_WORK_MS:g} ms): direct p50 "
        f"{price.direct_p50_ms:.2f} ms, p99 {price.direct_p99_ms:.2f} ms; added p50 "
        f"{price.added_ms_p50:.2f} ms, p99 {price.added_ms_p99:.2f} ms.",
        "",
        f"Processor time for one request: entry {price.entry_cpu_ms:.2f} ms, gate "
        f"{price.gate_cpu_ms:.2f} ms, control included. One entry with "
        f"{SATURATING_CALLERS} callers at once: {price.saturated_rate:.0f} requests/s.",
        "",
        f"    {line}",
    ]
    REPORT.parent.mkdir(parents=True, exist_ok=True)
    REPORT.write_text("\n".join(lines) + "\n")


async def measure(seed: int, seconds: float) -> None:
    """Run all measurements."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        price = await measure_price(folder, seed, seconds)
        print(attrs.asdict(price), flush=True)
        fleet = Fleet(folder, FLEET_SIZE, seed)
        try:
            await fleet.start()
            cells, outcomes = await measure_cells(fleet, seed, seconds)
            truth = await check_truth(fleet, outcomes)
        finally:
            await fleet.stop()
    figures = compare(cells, price, truth)
    line = " ".join(f"{key}={value}" for key, value in figures.items())
    write_report(cells, price, line, seed, seconds)
    print(line)


def main(seed: int = 1, seconds: float = 10.0) -> None:
    """Measure and report.

    :param seed: seed of arrivals, work and daemons.
    :param seconds: length of each cell.
    """
    asyncio.run(measure(seed, seconds))


if __name__ == "__main__":
    fire.Fire(main)
