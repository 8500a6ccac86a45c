"""Run formatter, linter, layer and import checks and behave; print a summary.

Scenarios listed in ``KNOWN-RED.txt`` are run, and their failures are printed but do
not fail the run. A listed scenario that passes is reported as fixed.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = ["src", "features", "benchmarks", "examples"]
MAX_JOBS = 7
# Started first, so that none of them runs alone at the end.
SLOW_FEATURES = ("process_soak", "sound_servers", "soak")


def run_checks():
    """Run the formatter, the linter, the layer check and the import check.

    :return: a list of (name, passed) pairs.
    """
    ruff = [sys.executable, "-m", "ruff"]
    commands = {
        "format": [*ruff, "format", "--check", *SOURCES],
        "lint": [*ruff, "check", *SOURCES],
        "layers": [sys.executable, "features/check_layers.py"],
        "imports": [sys.executable, "features/check_imports.py"],
    }
    results = []
    for name, command in commands.items():
        passed = subprocess.run(command, cwd=ROOT).returncode == 0
        results.append((name, passed))
    return results


def run_features():
    """Run each feature in a process of its own, several at a time.

    :return: a list of (scenario, passed) pairs of all features.
    """
    features = sorted(
        ROOT.glob("features/*.feature"),
        key=lambda feature: (not feature.stem.startswith(SLOW_FEATURES), feature.stem),
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ThreadPoolExecutor(count_jobs()) as pool,
    ):
        runs = pool.map(lambda feature: run_feature(feature, folder), features)
        return [result for results in runs for result in results]


def count_jobs():
    """Return how many features run at a time; one processor stays free."""
    return max(1, min(MAX_JOBS, (os.cpu_count() or 1) - 1))


def run_feature(feature, folder):
    """Run a feature, and print its output if a scenario failed.

    :param folder: where the report is written.
    :return: a list of (scenario, passed) pairs; a failed entry names the feature if it
        ended early.
    """
    report = pathlib.Path(folder, f"{feature.stem}.json")
    started = time.monotonic()
    process = subprocess.run(
        [
            *[sys.executable, "-m", "behave", "--logging-level", "WARNING"],
            *["--format", "json", "--outfile", str(report)],
            *["--format", "progress"],
            str(feature.relative_to(ROOT)),
        ],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": "0"},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    seconds = time.monotonic() - started
    results = read_report(report)
    if not results or any(passed is None for _, passed in results):
        results.append((f"{feature.name} ended early", False))
    failed = [name for name, passed in results if not passed]
    if process.returncode or failed:
        print(process.stdout)
    print(f"{feature.name}: {len(results)} run, {len(failed)} failed, {seconds:.0f} s")
    sys.stdout.flush()
    return [(name, bool(passed)) for name, passed in results]


def read_report(report):
    """Read from behave's JSON report which scenarios passed.

    :return: a list of (scenario, passed) pairs; ``None`` stands for a scenario without
        a status. Empty if the report is missing or incomplete, which happens if behave
        ended early.
    """
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return []
    results = []
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            name = f"{feature['name']}: {element['name']}".strip()
            status = element.get("status")
            results.append((name, None if status is None else status == "passed"))
    return results


def read_known_red():
    """Read the names of scenarios that are known to fail."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def main():
    """Print each failure and the totals.

    :return: the exit code: 0 if only known failures occurred.
    """
    results = [*run_checks(), *run_features()]
    known_red = read_known_red()
    failed = [name for name, passed in results if not passed]
    for name in failed:
        print(f"{'KNOWN RED' if name in known_red else 'FAILED'}: {name}")
    fixed = [name for name, passed in results if passed and name in known_red]
    for name in fixed:
        print(f"FIXED, remove from KNOWN-RED.txt: {name}")
    new = [name for name in failed if name not in known_red]
    passed = len(results) - len(failed)
    print(f"{len(failed) - len(new)} known red")
    print(f"{passed} passed, {len(new)} failed")
    return 1 if new else 0


if __name__ == "__main__":
    sys.exit(main())
