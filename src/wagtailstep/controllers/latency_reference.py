"""The latency that targets of one service mostly stay below, per route."""

import math
from datetime import timedelta

import attrs

BUCKET_RATIO = 1.15
MIN_LATENCY_S = 0.0005
BUCKET_COUNT = 100
MAX_SAMPLES = 2_048
MIN_SAMPLES = 25
REFRESH_SAMPLES = 16
SLOW_QUANTILE = 0.9
SLOW_MARGIN_S = 0.003

_LOG_RATIO = math.log(BUCKET_RATIO)


def get_bucket(latency_s: float) -> int:
    """Return the bucket that a latency in seconds falls into."""
    if latency_s <= MIN_LATENCY_S:
        return 0
    return min(
        BUCKET_COUNT - 1, 1 + int(math.log(latency_s / MIN_LATENCY_S) / _LOG_RATIO)
    )


@attrs.define
class LatencyReference:
    """Distribution of the latencies of a service's targets in good standing.

    Old samples fade: all counts are halved whenever there are
    :data:`MAX_SAMPLES`.

    :param counts: samples by bucket; bucket sizes rise by :data:`BUCKET_RATIO`.
    :param total: number of samples.
    :param slow_above_s: latency in seconds above which an outcome is slow, or
        ``None`` while there are too few samples to tell.
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
        """Recompute the quantile and let old samples fade."""
        self.samples_until_refresh = REFRESH_SAMPLES
        self.slow_above_s = self.quantile(SLOW_QUANTILE) + SLOW_MARGIN_S
        if self.total >= MAX_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, fraction: float) -> float:
        """Return the upper edge in seconds of the bucket with the quantile."""
        samples_below = 0.0
        for bucket, count in enumerate(self.counts):
            samples_below += count
            if samples_below >= fraction * self.total:
                return MIN_LATENCY_S * BUCKET_RATIO**bucket
        return MIN_LATENCY_S * BUCKET_RATIO**BUCKET_COUNT

    def is_slow(self, latency: timedelta) -> bool | None:
        """Tell whether a latency is slow, or ``None`` if that can't be told yet."""
        if self.slow_above_s is None:
            return None
        return latency.total_seconds() > self.slow_above_s
