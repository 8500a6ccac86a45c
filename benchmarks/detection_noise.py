"""Count false ejections over long runs in which no target is at fault.

Run as ``python -m benchmarks.detection_noise --seed=1 --minutes=3``. Simulates the
larger service of Hokkaido with noise of latencies, pauses and background errors, as
long as the given wall-clock time allows, and prints one line of key=value pairs.
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
    """Run one seed.

    :return: target-hours, false ejections, avoidances by one daemon, floor breaches.
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
    """Run seeds until the time is over.

    :param seed: first seed.
    :param minutes: wall-clock time after which no more results are awaited.
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
