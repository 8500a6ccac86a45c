"""Write Markdown pages of measurements, with machine, seed and commit."""

import datetime
import os
import pathlib
import platform
import subprocess
from collections.abc import Sequence

import attrs


def fit_slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Fit a straight line by least squares.

    :return: intercept and slope.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_x = sum((x - mean_x) ** 2 for x, _ in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / variance_x if variance_x else 0.0
    return mean_y - slope * mean_x, slope


def describe_machine() -> str:
    """Return processors, memory, Python version and load of this machine."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return (
        f"{os.cpu_count()} cores, {memory:.0f} GiB, {platform.machine()}, "
        f"Python {platform.python_version()}, load {os.getloadavg()[0]:.1f}"
    )


def read_commit() -> str:
    """Return the abbreviated commit, marked as dirty if files differ from it."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=10"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.stdout.strip() or "unknown"


@attrs.define
class Report:
    """A page under ``docs/measurements``.

    :param title: heading of the page.
    :param name: name of the module under ``benchmarks``.
    :param seed: seed of the run.
    :param blocks: paragraphs and tables added so far.
    :param commit: the commit at the start of the run.
    :param machine: description of the machine, with its load at the start of the run.
    """

    title: str
    name: str
    seed: int
    blocks: list[str] = attrs.field(factory=list)
    commit: str = attrs.field(factory=read_commit)
    machine: str = attrs.field(factory=describe_machine)

    def add_text(self, text: str) -> None:
        """Add a paragraph."""
        self.blocks.append(text)

    def add_table(self, headings: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
        """Add a table."""
        lines = ["| " + " | ".join(headings) + " |", "| --- " * len(headings) + "|"]
        lines += ["| " + " | ".join(row) + " |" for row in rows]
        self.blocks.append("\n".join(lines))

    def write(self, path: pathlib.Path, last_line: str) -> None:
        """Write the page to a file, with a summary as its last line."""
        today = datetime.datetime.now(datetime.UTC).date()
        head = (
            f"# {self.title}\n\n`python -m benchmarks.{self.name} --seed={self.seed}` "
            f"on {today}, commit {self.commit}; {self.machine}."
        )
        path.parent.mkdir(parents=True, exist_ok=True)
        text = "\n\n".join([head, *self.blocks, f"    {last_line}"])
        path.write_text(text + "\n")
