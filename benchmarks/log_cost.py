"""Measure the cost of log lines about requests: processor time and bytes.

Run as ``python -m benchmarks.log_cost --seed=1``. Writes
``docs/measurements/log_cost.md``. The lines are those of a daemon that is the entry of
some requests and the gate of equally many; one in twenty fails and is retried.
"""

import logging
import os
import pathlib
import random
import time

import attrs
import fire

from benchmarks.report import Report
from wagtailstep.utils.logging import BoundedHandler, configure_logging, log_event

REPORT_PATH = pathlib.Path(__file__).parent.parent / "docs/measurements/log_cost.md"
REQUEST_RATES = (1, 50, 500)
FAILED_FRACTION = 0.05
DURATION_S = 60
LOGGER = logging.getLogger("benchmarks.log_cost")
TARGET = "contracts/i-7f3a91c2"


@attrs.define
class Cost:
    """Cost of the log lines at one rate of requests.

    :param rate: requests per second.
    :param cpu: fraction of a core.
    :param bytes_per_s: bytes written per second.
    :param lines_per_s: lines written per second.
    :param omitted: lines about successful requests that were not written.
    """

    rate: int
    cpu: float = 0.0
    bytes_per_s: float = 0.0
    lines_per_s: float = 0.0
    omitted: int = 0


class CountingHandler(BoundedHandler):
    """A log handler that counts the lines that it writes and omits."""

    def __init__(self, fd: int) -> None:
        self.now_s = 0.0
        self.bytes = 0
        self.lines = 0
        self.omitted = 0
        super().__init__(fd, lambda: self.now_s)

    def try_acquire_routine_line(self) -> bool:
        """Return whether a routine line may be written; count it if not."""
        is_written = super().try_acquire_routine_line()
        self.omitted += not is_written
        return is_written

    def write(self, line: str) -> bool:
        """Write and count a line."""
        self.lines += 1
        self.bytes += len(line) + 1
        return super().write(line)


def log_request(request_id: str, failed: bool) -> None:
    """Log the lines of an entry and of a gate about one request."""
    log_event(
        LOGGER,
        "work-ended",
        routine=not failed,
        request_id=request_id,
        target=TARGET,
        route="sign",
        result="failed" if failed else "done",
        status=500 if failed else 200,
        took_ms=254,
        error="",
    )
    if failed:
        log_event(
            LOGGER,
            "request-resent",
            request_id=request_id,
            service="contracts",
            target=TARGET,
            reason="status-500",
            attempts=1,
            sent=1,
        )
    log_event(
        LOGGER,
        "request-ended",
        routine=not failed,
        request_id=request_id,
        service="contracts",
        route="sign",
        outcome="status-500" if failed else "status-200",
        target=TARGET,
        standing="good",
        tried=TARGET,
        attempts=1,
        sent=1,
        gates_full=0,
        left_ms=4_700,
        table_version=12,
    )


def measure_rate(rate: int, seed: int) -> Cost:
    """Log ``DURATION_S`` seconds of requests at a rate, in simulated time."""
    rng = random.Random(seed)
    fd = os.open(os.devnull, os.O_WRONLY)
    handler = CountingHandler(fd)
    handler.setFormatter(logging.getLogger().handlers[0].formatter)
    LOGGER.handlers, LOGGER.propagate = [handler], False
    LOGGER.setLevel(logging.INFO)
    started = time.process_time()
    for second in range(DURATION_S):
        handler.now_s = float(second)
        for number in range(rate):
            log_request(f"{second:08x}{number:08x}", rng.random() < FAILED_FRACTION)
    cpu_s = time.process_time() - started
    os.close(fd)
    return Cost(
        rate,
        cpu_s / DURATION_S,
        handler.bytes / DURATION_S,
        handler.lines / DURATION_S,
        handler.omitted,
    )


def main(seed: int = 1) -> None:
    """Measure all rates and write the page of results."""
    configure_logging("INFO")
    report = Report("What the log lines of requests cost", "log_cost", seed)
    costs = [measure_rate(rate, seed) for rate in REQUEST_RATES]
    rows = [
        [
            str(cost.rate),
            f"{100 * cost.cpu:.3f} %",
            f"{cost.bytes_per_s:.0f}",
            f"{cost.lines_per_s:.1f}",
            f"{cost.omitted / DURATION_S:.1f}",
        ]
        for cost in costs
    ]
    report.add_table(
        ["requests/s", "of a core", "bytes/s", "lines/s", "left out/s"], rows
    )
    last = " ".join(f"cpu_{c.rate}={100 * c.cpu:.3f}%" for c in costs)
    report.write(REPORT_PATH, last)
    print(last)


if __name__ == "__main__":
    fire.Fire(main)
