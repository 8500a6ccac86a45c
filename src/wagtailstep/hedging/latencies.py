"""Recent latencies of each route, and how those of a whole service compare to them."""

import statistics
from collections import OrderedDict, deque
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from wagtailstep.utils.clock import Clock

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

MILLISECOND = timedelta(milliseconds=1)
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 2
# A histogram of this range and precision takes 5 KB.
COUNTER_BYTES = 4
# Percentiles are those of the last one to two periods.
PERIOD = timedelta(seconds=15)
HEDGE_PERCENTILE = 95
# Below this, a high percentile is little more than the maximum.
MIN_SAMPLES = 25
# Reading percentiles takes 0.2 ms, 80 times as long as recording one sample.
REFRESH_SAMPLES = 16
MAX_ROUTES = 128
MAX_SERVICES = 128
# Samples of a service that show whether it is slow as a whole.
RECENT_SAMPLES = 15
MIN_RECENT_SAMPLES = 5
RECENT_TIME = timedelta(seconds=5)
SLOW_SERVICE_FACTOR = 2.0


def create_histogram() -> "HdrHistogram":
    """Return an empty histogram of latencies in milliseconds."""
    # Imported here because the module takes 0.7 MB, which daemons without hedging save.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES)


@attrs.define
class RouteLatencies:
    """Latencies of one route within the last one to two periods.

    Each sample is added to two histograms. The older one is read; after a period it is
    replaced by the newer one.

    :param renewed_at: monotonic time at which the histograms were last exchanged.
    :param older: histogram of the previous period and this one.
    :param newer: histogram of this period.
    :param unread: samples since the percentiles were last read.
    :param median: median latency; ``None`` with too few samples.
    :param high: 95th percentile; ``None`` with too few samples.
    """

    renewed_at: timedelta
    older: "HdrHistogram" = attrs.field(factory=create_histogram)
    newer: "HdrHistogram" = attrs.field(factory=create_histogram)
    unread: int = 0
    median: timedelta | None = None
    high: timedelta | None = None

    def record(self, latency: timedelta, now: timedelta) -> None:
        """Add one latency."""
        # The percentiles of a period with fewer samples would never be read.
        is_full = self.newer.get_total_count() >= MIN_SAMPLES
        if is_full and now - self.renewed_at >= PERIOD:
            self.renewed_at = now
            self.older, self.newer = self.newer, create_histogram()
        latency_ms = min(MAX_LATENCY_MS, max(1, round(latency / MILLISECOND)))
        self.older.record_value(latency_ms)
        self.newer.record_value(latency_ms)
        self.unread += 1
        is_due = self.high is None or self.unread >= REFRESH_SAMPLES
        if is_due and self.older.get_total_count() >= MIN_SAMPLES:
            self.read_percentiles()

    def read_percentiles(self) -> None:
        """Read the median and the 95th percentile from the older histogram."""
        self.unread = 0
        values = self.older.get_percentile_to_value_dict([50, HEDGE_PERCENTILE])
        self.median = values[50] * MILLISECOND
        self.high = values[HEDGE_PERCENTILE] * MILLISECOND


class LatencyTracker:
    """Track the latencies of routes and services, a bounded number of each.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.routes: OrderedDict[tuple[str, str], RouteLatencies] = OrderedDict()
        self.recent_ratios: OrderedDict[str, deque[tuple[timedelta, float]]] = (
            OrderedDict()
        )

    def record(self, service: str, route: str, latency: timedelta) -> None:
        """Add the latency of one request."""
        now = self.clock.monotonic()
        latencies = self.routes.get((service, route))
        if latencies is None:
            latencies = self.routes[service, route] = RouteLatencies(now)
            if len(self.routes) > MAX_ROUTES:
                self.routes.popitem(last=False)
        self.routes.move_to_end((service, route))
        if latencies.median is not None:
            self.record_ratio(service, latency / latencies.median, now)
        latencies.record(latency, now)

    def record_ratio(self, service: str, ratio: float, now: timedelta) -> None:
        """Add a latency, divided by the median of its route."""
        ratios = self.recent_ratios.get(service)
        if ratios is None:
            ratios = self.recent_ratios[service] = deque(maxlen=RECENT_SAMPLES)
            if len(self.recent_ratios) > MAX_SERVICES:
                self.recent_ratios.popitem(last=False)
        self.recent_ratios.move_to_end(service)
        ratios.append((now, ratio))

    def get_high_latency(self, service: str, route: str) -> timedelta | None:
        """Return the recent 95th percentile of a route, if it is known."""
        latencies = self.routes.get((service, route))
        return None if latencies is None else latencies.high

    def is_service_slow(self, service: str) -> bool:
        """Return whether the recent requests of a service in general were slow.

        Each latency is compared with the median of its own route, so that a change of
        the mix of routes is not taken for a change of the service.
        """
        oldest = self.clock.monotonic() - RECENT_TIME
        ratios = self.recent_ratios.get(service, ())
        recent = [ratio for at, ratio in ratios if at >= oldest]
        if len(recent) < MIN_RECENT_SAMPLES:
            return False
        return statistics.median(recent) > SLOW_SERVICE_FACTOR
