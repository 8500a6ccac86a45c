"""Check the promises on histories of seeded schedules.

``python -m benchmarks.check_histories --seed=1 --runs=200``
"""

import collections
import logging
import pathlib
import sys

import fire

from benchmarks.histories.schedule import RunResult, run_schedule
from benchmarks.report import Report

PROGRESS_RUNS = 50
REPORT = pathlib.Path("docs/measurements/histories.md")


def count_ends(result: RunResult, ends: collections.Counter) -> None:
    """Count how the sendings of a run ended, by kind and verdict."""
    for sending in result.history.sendings:
        ends[f"{sending.kind.value}/{sending.verdict or 'no-answer'}"] += 1


def main(seed: int = 1, runs: int = 200, report: bool = False) -> None:
    """Run schedules with the seeds that follow from one seed and print the verdict.

    :param seed: first seed.
    :param runs: number of schedules.
    :param report: whether to write the page with the counts.
    """
    logging.disable(logging.CRITICAL)
    page = Report("Histories", "check_histories", seed)
    violations = 0
    ends = collections.Counter()
    faults = collections.Counter()
    for index in range(runs):
        result = run_schedule(seed * 1_000_000 + index)
        count_ends(result, ends)
        faults.update(result.faults)
        violations += len(result.violations)
        for violation in result.violations:
            print(
                f"seed={result.seed} faults={'+'.join(result.faults)} "
                f"promise={violation.promise} {violation.detail}"
            )
        if (index + 1) % PROGRESS_RUNS == 0:
            print(f"runs={index + 1} violations={violations}", flush=True)
    for name, count in sorted({**ends, **faults}.items()):
        print(f"count {name}={count}")
    verdict = f"histories={runs} violations={violations}"
    if report:
        page.add_text(
            "Sendings by kind and verdict, and schedules by fault, one or two in each."
        )
        rows = sorted({**ends, **faults}.items())
        page.add_table(["count of", "number"], [[n, str(c)] for n, c in rows])
        page.write(REPORT, verdict)
    print(verdict)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
