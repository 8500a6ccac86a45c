"""Distribution of the latencies of a service on a route, to detect slow outcomes."""

import math
from datetime import timedelta

import attrs

# Ratio of the upper edges of adjacent buckets.
BUCKET_RATIO = 1.15
# Upper edge of the first bucket.
MIN_LATENCY_S = 0.0005
BUCKET_COUNT = 100
MAX_SAMPLES = 2_048
# Samples until the quantile is first computed, and between updates.
MIN_SAMPLES = 25
REFRESH_SAMPLES = 16
# An outcome is slow if it exceeds this quantile by more than the margin.
SLOW_QUANTILE = 0.9
SLOW_MARGIN_S = 0.003

_LOG_RATIO = math.log(BUCKET_RATIO)


def get_bucket(latency_s: float) -> int:
    """Return the index of the bucket for a latency in seconds."""
    if latency_s <= MIN_LATENCY_S:
        return 0
    return min(
        BUCKET_COUNT - 1, 1 + int(math.log(latency_s / MIN_LATENCY_S) / _LOG_RATIO)
    )


@attrs.define
class LatencyReference:
    """Histogram of the latencies of a service's targets on one route.

    Old samples lose weight: all counts are halved when their total reaches
    :data:`MAX_SAMPLES`.

    :param counts: samples by bucket; bucket sizes grow by :data:`BUCKET_RATIO`.
    :param total: sum of the counts.
    :param slow_above_s: latency in seconds above which an outcome is slow, or
        ``None`` while there are too few samples.
    :param samples_until_refresh: samples until the next update of ``slow_above_s``.
    """

    counts: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    total: float = 0.0
    slow_above_s: float | None = None
    samples_until_refresh: int = MIN_SAMPLES

    def add(self, latency_s: float) -> None:
        """Add one sample in seconds."""
        self.counts[get_bucket(latency_s)] += 1
        self.total += 1
        self.samples_until_refresh -= 1
        if self.samples_until_refresh <= 0:
            self.refresh()

    def refresh(self) -> None:
        """Recompute the quantile; halve the counts if there are too many samples."""
        self.samples_until_refresh = REFRESH_SAMPLES
        self.slow_above_s = self.quantile(SLOW_QUANTILE) + SLOW_MARGIN_S
        if self.total >= MAX_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, fraction: float) -> float:
        """Return the upper edge in seconds of the bucket containing a quantile."""
        samples_below = 0.0
        for bucket, count in enumerate(self.counts):
            samples_below += count
            if samples_below >= fraction * self.total:
                return MIN_LATENCY_S * BUCKET_RATIO**bucket
        return MIN_LATENCY_S * BUCKET_RATIO**BUCKET_COUNT

    def is_slow(self, latency: timedelta) -> bool | None:
        """Return whether a latency is slow, or ``None`` with too few samples."""
        if self.slow_above_s is None:
            return None
        return latency.total_seconds() > self.slow_above_s
