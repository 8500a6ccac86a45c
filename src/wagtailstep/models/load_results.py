"""Results of a load test, as its callers observed them."""

import math
import statistics

import attrs
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000
# 95 % of a normal distribution lie within this many standard errors of the mean. With
# fewer than ten slices the resulting interval is too narrow.
Z_SCORE_95 = 1.96


@attrs.define
class ClassResult:
    """How the requests of one class ended.

    :param asked: number of requests.
    :param served: successful responses.
    :param in_aim: successful responses that met the latency objective.
    :param refused: refusals which guarantee that the request was not run.
    :param failed: failures, including truncated and missing responses.
    :param gave_up: requests whose callers disconnected.
    :param latencies: time to the end of successful responses, in microseconds.
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
        """Return the fraction that met the objective, of requests not given up."""
        stayed = self.asked - self.gave_up
        return self.in_aim / stayed if stayed else 0.0

    def add_served(self, latency_ms: float, aim_ms: float) -> None:
        """Record a successful response."""
        self.served += 1
        self.in_aim += latency_ms <= aim_ms
        self.latencies.record_value(max(MIN_LATENCY_US, round(latency_ms * US_PER_MS)))

    def latency_ms(self, percent: float) -> float:
        """Return a percentile of the latency of successful responses."""
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
    """Results of one side of a comparison.

    :param name: name of the side.
    :param slices: results by class, for each slice.
    """

    name: str
    slices: list[dict[str, ClassResult]] = attrs.field(factory=list)

    def total(self) -> dict[str, ClassResult]:
        """Return the results by class, added up over all slices."""
        totals: dict[str, ClassResult] = {}
        for results in self.slices:
            for name, result in results.items():
                totals.setdefault(name, ClassResult()).add(result)
        return totals

    def goodputs(self) -> list[float]:
        """Return the goodput of each slice, over all classes."""
        return [combine_results(results).goodput for results in self.slices]


def combine_results(results: dict[str, ClassResult]) -> ClassResult:
    """Return the results added up over all classes."""
    total = ClassResult()
    for result in results.values():
        total.add(result)
    return total


@attrs.frozen
class GoodputDifference:
    """Difference in goodput between the second side and the first.

    :param mean: mean of the difference over the slices.
    :param margin: half of the 95 % interval around it; infinite for one slice.
    """

    mean: float
    margin: float

    @property
    def is_significant(self) -> bool:
        """Return whether the interval excludes zero."""
        return abs(self.mean) > self.margin


def compare_sides(first: SideResult, second: SideResult) -> GoodputDifference:
    """Compare two sides slice by slice, since both got the same arrivals."""
    pairs = zip(first.goodputs(), second.goodputs(), strict=True)
    differences = [after - before for before, after in pairs]
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return GoodputDifference(mean, math.inf)
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return GoodputDifference(mean, Z_SCORE_95 * error)
