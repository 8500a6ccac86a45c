"""Compare the request path with plain round robin under the same load.

``python -m benchmarks.requests --seed=1`` starts real daemons, fake backend servers and
round-robin proxies on loopback, sends the same arrivals to both systems, and writes
``docs/measurements/requests.md``.
"""

import asyncio
import pathlib
import tempfile

import attrs
import fire

from benchmarks.requests_fleet import SLOTS, Fleet
from benchmarks.requests_load import LoadSpec, Outcome
from benchmarks.requests_report import (
    ADDED_WORK_MS,
    DESIGN_RATE,
    FLEET_SIZE,
    SATURATING_CALLERS,
    STRAGGLER_CELL_FACTOR,
    STRAGGLER_FACTOR,
    STRAGGLER_LOAD,
    STRAGGLER_WORK_MS,
    TIMEOUT_MS,
    WARMUP_FRACTION,
    WORK_MS,
    Cell,
    CorrectnessCounts,
    PathCost,
    compare,
    write_report,
)
from wagtailstep.fakes.faults import Faults

LOADS = (0.5, 0.9, 1.5, 3.0)
CALLER_PROCESSES = 2
SHED_STATUS = 503


def compute_quantile(values: list[float], fraction: float) -> float:
    """Return a quantile by nearest rank; 0 without values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def build_specs(name: str, addresses: list[str], plan: "CellPlan") -> list[LoadSpec]:
    """Build the load specifications of a cell, one for each caller process."""
    return [
        LoadSpec(
            name=f"{name}-{part}",
            groups=[addresses],
            rate=plan.load * plan.capacity / CALLER_PROCESSES,
            concurrency=0,
            seconds=plan.seconds,
            warmup_s=plan.warmup_s,
            work_ms=plan.work_ms,
            timeout_ms=TIMEOUT_MS,
            seed=plan.seed * 100 + part,
        )
        for part in range(CALLER_PROCESSES)
    ]


@attrs.frozen
class CellPlan:
    """Load of one cell of the results; both systems get it one after the other.

    :param load: offered load as a multiple of the capacity.
    :param straggler: whether one backend server is slow.
    :param work_ms: mean service time of a request at its backend server.
    :param seconds: how long requests are sent.
    :param seed: seed of arrivals and work.
    """

    load: float
    straggler: bool
    work_ms: float
    seconds: float
    seed: int

    @property
    def capacity(self) -> float:
        """Return the requests per second that all slots together can run."""
        return FLEET_SIZE * SLOTS / (self.work_ms / 1_000)

    @property
    def warmup_s(self) -> float:
        """Return the time at the start that is not measured."""
        return self.seconds * WARMUP_FRACTION


def plan_cells(seed: int, seconds: float) -> list[CellPlan]:
    """Return all cells, those without a straggler first.

    The last one has shorter work, so that enough requests are sent for a 99th
    percentile, and runs for longer.
    """
    cells = [
        CellPlan(load, straggler, WORK_MS, seconds, seed * 10 + index)
        for straggler in (False, True)
        for index, load in enumerate(LOADS)
    ]
    long_s = seconds * STRAGGLER_CELL_FACTOR
    last = CellPlan(STRAGGLER_LOAD, True, STRAGGLER_WORK_MS, long_s, seed * 10)
    return [*cells, last]


def summarize_cell(system: str, plan: CellPlan, outcomes: list[Outcome]) -> Cell:
    """Summarize the outcomes of a system in one row of the table."""
    measured = [outcome for outcome in outcomes if outcome.measured]
    good = [o for o in measured if o.status == 200 and not o.wrong]
    in_time = [
        o
        for o in outcomes
        if o.status == 200 and not o.wrong and plan.warmup_s <= o.ended_s < plan.seconds
    ]
    # Refusals are fast; counting their latency would favour a system that refuses more.
    times = [o.latency_ms for o in measured if o.status != SHED_STATUS]
    return Cell(
        system=system,
        load=plan.load,
        straggler=plan.straggler,
        work_ms=plan.work_ms,
        goodput=len(in_time) / (plan.seconds - plan.warmup_s),
        p50_ms=compute_quantile(times, 0.5),
        p99_ms=compute_quantile(times, 0.99),
        refused=1 - len(good) / max(1, len(measured)),
    )


async def measure_cells(
    fleet: Fleet, plans: list[CellPlan]
) -> tuple[list[Cell], list[Outcome]]:
    """Run each cell with both systems.

    :return: all cells, and the outcomes of wagtailstep only.
    """
    systems = {"wagtailstep": fleet.entries, "round-robin": fleet.proxies}
    cells = []
    fleet_outcomes = []
    for number, plan in enumerate(plans):
        factor = STRAGGLER_FACTOR if plan.straggler else 1.0
        await fleet.set_faults(0, Faults(slow_factor=factor))
        for system, addresses in systems.items():
            specs = build_specs(f"{system}-{number}", addresses, plan)
            outcomes = await fleet.run_load(*specs)
            cells.append(summarize_cell(system, plan, outcomes))
            print(attrs.asdict(cells[-1]), flush=True)
            if system == "wagtailstep":
                fleet_outcomes.extend(outcomes)
    return cells, fleet_outcomes


async def count_violations(fleet: Fleet, outcomes: list[Outcome]) -> CorrectnessCounts:
    """Count violations, by comparing outcomes with the backend servers' counts."""
    starts = await fleet.count_starts()
    correctness = CorrectnessCounts()
    for outcome in outcomes:
        count = starts.get(outcome.key, 0)
        correctness.wrong_answers += outcome.wrong
        correctness.doubled += not outcome.idempotent and count > 1
        correctness.false_not_run += outcome.verdict == "not-run" and count > 0
    return correctness


async def measure_path_cost(
    folder: pathlib.Path, seed: int, seconds: float
) -> PathCost:
    """Measure added latency at the design rate, then processor time per request.

    There are two daemons and only the first has a backend server, so each request to
    the second daemon passes its entry and the first daemon's gate.
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
            warmup_s=seconds * WARMUP_FRACTION,
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
    through_daemons, direct = times
    return PathCost(
        added_ms_p50=compute_quantile(through_daemons, 0.5)
        - compute_quantile(direct, 0.5),
        added_ms_p99=compute_quantile(through_daemons, 0.99)
        - compute_quantile(direct, 0.99),
        direct_p50_ms=compute_quantile(direct, 0.5),
        direct_p99_ms=compute_quantile(direct, 0.99),
        entry_cpu_ms=used[0] / answered * 1_000,
        gate_cpu_ms=used[1] / answered * 1_000,
        saturated_rate=answered / seconds,
    )


async def measure(seed: int, seconds: float) -> None:
    """Run all measurements, write the report and print the figures."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        path_cost = await measure_path_cost(folder, seed, seconds)
        print(attrs.asdict(path_cost), flush=True)
        fleet = Fleet(folder, FLEET_SIZE, seed)
        try:
            await fleet.start()
            cells, outcomes = await measure_cells(fleet, plan_cells(seed, seconds))
            correctness = await count_violations(fleet, outcomes)
        finally:
            await fleet.stop()
    figures = compare(cells, path_cost, correctness)
    line = " ".join(f"{key}={value}" for key, value in figures.items())
    write_report(cells, path_cost, line, seed, seconds)
    print(line)


def main(seed: int = 1, seconds: float = 10.0) -> None:
    """Measure and report.

    :param seed: seed of arrivals, service times and daemons.
    :param seconds: duration of each cell.
    """
    asyncio.run(measure(seed, seconds))


if __name__ == "__main__":
    fire.Fire(main)
