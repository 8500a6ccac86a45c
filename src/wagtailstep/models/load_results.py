"""What callers got from a load."""

import math
import statistics

import attrs
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000
# 95 % of a normal distribution lie within this many standard errors; below ten slices
# the interval is too narrow.
Z_SCORE_95 = 1.96


@attrs.define
class ClassResult:
    """How the requests of one class ended.

    :param served: answers with success, and ``in_aim`` those of them in time.
    :param refused: refusals that promise that nothing was run.
    :param failed: failures, and answers that were cut or did not come.
    :param gave_up: requests whose callers left.
    :param latencies: time to the end of served answers, in microseconds.
    """

    asked: int = 0
    served: int = 0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0
    gave_up: int = 0
    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )

    @property
    def goodput(self) -> float:
        """Return the share answered in aim of those whose callers stayed."""
        stayed = self.asked - self.gave_up
        return self.in_aim / stayed if stayed else 0.0

    def add_served(self, latency_ms: float, aim_ms: float) -> None:
        """Count an answer with success."""
        self.served += 1
        self.in_aim += latency_ms <= aim_ms
        self.latencies.record_value(max(MIN_LATENCY_US, round(latency_ms * US_PER_MS)))

    def latency_ms(self, percent: float) -> float:
        """Return a percentile of the latency of served requests."""
        return self.latencies.get_value_at_percentile(percent) / US_PER_MS

    def add(self, other: "ClassResult") -> None:
        """Add the requests of another result."""
        self.asked += other.asked
        self.served += other.served
        self.in_aim += other.in_aim
        self.refused += other.refused
        self.failed += other.failed
        self.gave_up += other.gave_up
        self.latencies.add(other.latencies)


@attrs.define
class SideResult:
    """What one side answered.

    :param name: name of the side.
    :param slices: results by class, for each slice.
    """

    name: str
    slices: list[dict[str, ClassResult]] = attrs.field(factory=list)

    def total(self) -> dict[str, ClassResult]:
        """Return the results of all slices together, by class."""
        totals: dict[str, ClassResult] = {}
        for results in self.slices:
            for name, result in results.items():
                totals.setdefault(name, ClassResult()).add(result)
        return totals

    def goodputs(self) -> list[float]:
        """Return the goodput of each slice, over all classes."""
        return [combine_results(results).goodput for results in self.slices]


def combine_results(results: dict[str, ClassResult]) -> ClassResult:
    """Return the results of all classes together."""
    whole = ClassResult()
    for result in results.values():
        whole.add(result)
    return whole


@attrs.frozen
class GoodputDifference:
    """By how much the second side is better than the first.

    :param mean: mean difference of goodput over the slices.
    :param margin: half of the 95 % interval around it; infinite for one slice.
    """

    mean: float
    margin: float

    @property
    def is_significant(self) -> bool:
        """Tell whether the interval leaves out zero."""
        return abs(self.mean) > self.margin


def compare_sides(first: SideResult, second: SideResult) -> GoodputDifference:
    """Compare two sides slice by slice, as both had the same arrivals."""
    pairs = zip(first.goodputs(), second.goodputs(), strict=True)
    differences = [after - before for before, after in pairs]
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return GoodputDifference(mean, math.inf)
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return GoodputDifference(mean, Z_SCORE_95 * error)
