"""Soak test with real daemon processes, signals and sockets, in real time.

Faults come in series and overlap: signals, kills, late heartbeats, late writes of the
store and changes of the configuration, beside callers that keep their connections until
the daemon is gone, and uploads that arrive slowly. The simulated soak
(:mod:`benchmarks.platform_soak`) plays more kinds of faults; here the daemons are what
the platform starts. The seed determines the plan, not the exact course of a run.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

import attrs
import fire

from benchmarks.platform_soak import (
    PLANNED_OPERATIONS,
    RECOVERY_S,
    change_table,
    disrupt_store,
    find_interrupted_requests,
    find_violations,
    inject_faults,
    lose_power,
    print_result,
    restart,
)
from benchmarks.soak.callers import AttemptEnded, CallerGroup
from benchmarks.soak.departures import (
    find_ignored_leaves,
    find_late_work,
    leave_before_late_heartbeats,
    leave_during_partial_outage,
    send_odd_heartbeats,
)
from benchmarks.soak.fleet import Host, SoakFleet
from benchmarks.soak.heads import change_head_limit
from benchmarks.soak.processes import GRACE_S, ProcessFleet, ProcessHost

WARMUP_S = 4.0
FINAL_PHASE_S = 3.0
SLOW_SHARE = 0.3
PLANNED = PLANNED_OPERATIONS | {"hup", "grace", "heads"}
LONG_GRACE_S = 10.0
# Longer than a shutdown within ``GRACE_S`` leaves 1.3 s after SIGTERM.
LONG_WORK_MS = 4_600
SIGNALLED_SHARE = 0.7


async def reload_settings(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Send SIGHUP to a daemon, at times in series."""
    for _ in range(rng.randint(1, 3)):
        fleet.reload_settings(host)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def change_grace(
    fleet: ProcessFleet, host: ProcessHost, rng: random.Random
) -> None:
    """Change the grace in the settings of a daemon, and shut it down later.

    Beside the longer grace, a request needs more time than the shorter one leaves.
    """
    if host.daemon is None:
        return
    host.grace_s = LONG_GRACE_S if host.grace_s == GRACE_S else GRACE_S
    fleet.write_settings(host)
    if rng.random() < SIGNALLED_SHARE:
        fleet.reload_settings(host)
    await asyncio.sleep(rng.uniform(0.0, 6.0))
    restarting = asyncio.create_task(fleet.restart_daemon(host))
    await asyncio.sleep(rng.uniform(1.3, 2.2))
    if host.grace_s == LONG_GRACE_S:
        key = f"long{rng.getrandbits(32):08x}"
        await fleet.callers.send_request(key, host.name, True, work_ms=LONG_WORK_MS)
    await restarting


FAULTS = {
    "kill": lose_power,
    "restart": restart,
    "hup": reload_settings,
    "table": change_table,
    "store": disrupt_store,
    "departure": leave_before_late_heartbeats,
    "odd-heartbeats": send_odd_heartbeats,
    "partial-outage": leave_during_partial_outage,
    "grace": change_grace,
    "heads": change_head_limit,
}


@attrs.frozen
class ProcessSoakSize:
    """Size of one run.

    :param host_count: number of daemons.
    :param rate_per_s: mean number of requests a second.
    :param fault_phase_s: seconds during which faults are injected.
    """

    host_count: int = 4
    rate_per_s: float = 20.0
    fault_phase_s: float = 20.0


@attrs.define
class ProcessSoakResult:
    """Result of one run.

    :param outcomes: outcomes of all requests.
    :param violations: violated guarantees.
    """

    outcomes: list[AttemptEnded] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)


def run_process_soak(
    seed: int,
    fault_names: tuple[str, ...],
    size: ProcessSoakSize | None = None,
    folder: pathlib.Path | None = None,
) -> ProcessSoakResult:
    """Run daemons beside faults and check the guarantees.

    :param fault_names: names of the faults, which run side by side; one that is named
        twice overlaps with itself.
    :param folder: where settings and output of the daemons are kept; ``None`` for a
        folder that is removed.
    """
    size = size or ProcessSoakSize()
    if folder is not None:
        return asyncio.run(play(seed, fault_names, size, folder))
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(play(seed, fault_names, size, pathlib.Path(temporary)))


async def play(
    seed: int,
    fault_names: tuple[str, ...],
    size: ProcessSoakSize,
    folder: pathlib.Path,
) -> ProcessSoakResult:
    """Play one run."""
    rng = random.Random(seed)
    fleet = ProcessFleet(size.host_count, random.Random(rng.random()), folder)
    result = ProcessSoakResult()
    try:
        await fleet.start()
        await asyncio.sleep(WARMUP_S)
        callers = CallerGroup(
            fleet,
            size.rate_per_s,
            random.Random(rng.random()),
            slow_share=SLOW_SHARE,
        )
        fleet.callers = callers
        calls = asyncio.create_task(callers.run())
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + size.fault_phase_s
        faults = [
            inject_faults(FAULTS[name], fleet, random.Random(rng.random()), ends_at)
            for name in fault_names
        ]
        await asyncio.gather(*faults)
        final_phase_start = loop.time() + RECOVERY_S
        callers.stop_at = final_phase_start + FINAL_PHASE_S
        await calls
        result.outcomes = callers.outcomes
        result.violations = find_all_violations(
            fleet, callers.outcomes, final_phase_start, set(fault_names)
        )
    finally:
        await fleet.close()
    return result


def find_all_violations(
    fleet: ProcessFleet,
    outcomes: list[AttemptEnded],
    final_phase_start: float,
    fault_names: set[str],
) -> list[str]:
    """Return the violated guarantees of a run."""
    runs = fleet.count_runs()
    violations = find_violations(outcomes, runs, final_phase_start)
    violations += find_late_work(fleet, outcomes)
    violations += find_ignored_leaves(fleet)
    violations += fleet.unexpected_ends + fleet.wrong_refusals
    if fault_names <= PLANNED:
        violations += find_interrupted_requests(outcomes, runs)
    return violations


def main(
    seed: int = 1, runs: int = 10, faults: str = "", hosts: int = 4, rate: float = 20.0
) -> None:
    """Run daemons beside faults and print the violations.

    Run number i has the seed ``seed * 1_000 + i``.

    :param runs: number of runs, one after the other.
    :param faults: names of the faults, separated by ``+``; empty for three by the seed.
    :param hosts: number of daemons.
    :param rate: requests a second.
    """
    size = ProcessSoakSize(hosts, rate)
    violations = 0
    for index in range(runs):
        number = seed * 1_000 + index
        drawn = random.Random(number).choices(sorted(FAULTS), k=3)
        names = tuple(faults.split("+")) if faults else tuple(drawn)
        result = run_process_soak(number, names, size)
        label = f"seed={number} faults={'+'.join(names)}"
        print_result(label, result.outcomes, result.violations)
        violations += len(result.violations)
    print(f"runs={runs} violations={violations}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
