"""Count false ejections in long simulations without faulty targets.

Run as ``python -m benchmarks.detection_noise --seed=1 --minutes=3``. Simulates the
larger service of Hokkaido with random latencies, pauses and background errors for the
given wall-clock time, and prints one line of key=value pairs.
"""

import multiprocessing
import time

import attrs
import fire

from benchmarks.detection_faults import Fault
from benchmarks.detection_simulation import Simulation
from benchmarks.detection_users import HOKKAIDO

WORKERS = 4
RUN_S = 300.0
DAEMON_COUNT = 10
MAX_RUNS = 10_000


def simulate_seed(seed: int) -> tuple[float, int, int, int]:
    """Run the simulation with a seed.

    :return: target-hours, false ejections, false avoidances by single daemons, and
        samples below the floor.
    """
    scenario = attrs.evolve(
        HOKKAIDO[0], fault=Fault.NONE, daemons=DAEMON_COUNT, end_s=RUN_S
    )
    simulation = Simulation(scenario, seed).run()
    hours = simulation.now * len(simulation.targets) / 3_600
    return (
        hours,
        simulation.false_ejections,
        simulation.false_avoidances_by_one_daemon,
        simulation.floor_violations,
    )


def main(seed: int = 1, minutes: float = 3.0) -> None:
    """Simulate seeds until the time has passed, and print the totals.

    :param seed: determines the seeds, which count up from ``seed * 1_000_000``.
    :param minutes: wall-clock time after which no more results are collected.
    """
    started = time.monotonic()
    totals = [0.0, 0, 0, 0]
    runs = 0
    seeds = range(seed * 1_000_000, seed * 1_000_000 + MAX_RUNS)
    with multiprocessing.Pool(WORKERS) as pool:
        for result in pool.imap(simulate_seed, seeds):
            runs += 1
            totals = [sum(pair) for pair in zip(totals, result, strict=True)]
            if runs % 8 == 0:
                print(f"{runs} runs, {totals[0]:.0f} target-hours", flush=True)
            if time.monotonic() - started > minutes * 60:
                break
        pool.terminate()
    hours, false_ejections, avoidances, floor_violations = totals
    print(
        f"runs={runs} target_hours={hours:.1f} false_ejections={false_ejections} "
        f"avoidances_by_one_daemon={avoidances} floor_broken={floor_violations}"
    )


if __name__ == "__main__":
    fire.Fire(main)
