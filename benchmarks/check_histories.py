"""Check the guarantees of the proxy on histories of simulated runs with faults.

Each run is reproducible from its seed:
``python -m benchmarks.check_histories --seed=1 --runs=200``
"""

import collections
import logging
import pathlib
import sys

import fire

from benchmarks.histories.schedule import RunResult, run_schedule
from benchmarks.report import Report

PROGRESS_INTERVAL_RUNS = 50
REPORT = pathlib.Path("docs/measurements/histories.md")


def count_outcomes(result: RunResult, outcomes: collections.Counter) -> None:
    """Count the outcomes of all sends of a run, by operation type and verdict."""
    for sending in result.history.sendings:
        outcomes[f"{sending.kind.value}/{sending.verdict or 'no-answer'}"] += 1


def main(seed: int = 1, runs: int = 200, report: bool = False) -> None:
    """Run simulated schedules, check their histories and print all violations.

    Run number i has the seed ``seed * 1_000_000 + i``.

    :param seed: determines the seeds of the runs.
    :param runs: number of schedules.
    :param report: whether to write the counts to docs/measurements/histories.md.
    """
    logging.disable(logging.CRITICAL)
    markdown_report = Report("Histories", "check_histories", seed)
    violations = 0
    outcomes = collections.Counter()
    faults = collections.Counter()
    for index in range(runs):
        result = run_schedule(seed * 1_000_000 + index)
        count_outcomes(result, outcomes)
        faults.update(result.faults)
        violations += len(result.violations)
        for violation in result.violations:
            print(
                f"seed={result.seed} faults={'+'.join(result.faults)} "
                f"promise={violation.promise} {violation.detail}"
            )
        if (index + 1) % PROGRESS_INTERVAL_RUNS == 0:
            print(f"runs={index + 1} violations={violations}", flush=True)
    for name, count in sorted({**outcomes, **faults}.items()):
        print(f"count {name}={count}")
    verdict = f"histories={runs} violations={violations}"
    if report:
        markdown_report.add_text(
            "Sends by operation type and verdict, and schedules by fault; each "
            "schedule has one or two faults."
        )
        rows = sorted({**outcomes, **faults}.items())
        markdown_report.add_table(
            ["count of", "number"], [[n, str(c)] for n, c in rows]
        )
        markdown_report.write(REPORT, verdict)
    print(verdict)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
