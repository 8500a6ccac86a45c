"""Concurrency limit that follows what one backend server sustains."""

from datetime import timedelta

import attrs

from wagtailstep.models.gate import RunResult

DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.25
DECREASE_SLOWDOWN = 2.5
INCREASE_SLOWDOWN = 1.5
AVERAGE_WEIGHT = 0.1


def move_average(average: float | None, sample: float) -> float:
    """Return an exponentially weighted average with one more sample."""
    if average is None:
        return sample
    return average + AVERAGE_WEIGHT * (sample - average)


@attrs.define
class RouteTimes:
    """Times in seconds that requests of one route took at the backend server.

    :param alone: average of those that ran alone from start to end.
    :param shared: average of the others.
    :param overall: average of all.
    """

    alone: float | None = None
    shared: float | None = None
    overall: float | None = None

    @property
    def slowdown(self) -> float:
        """Return how much longer requests take beside others than alone."""
        if not self.alone or self.shared is None:
            return 1.0
        return self.shared / self.alone


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease within 1 and the slots.

    It falls when the backend server refuses or times out, and when requests take
    much longer side by side than alone. It rises while it is used up and requests
    take about as long as alone.

    :param slots: requests that the backend server says it can run at once.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.value = float(slots)
        self.routes: dict[str, RouteTimes] = {}
        self.decreased_at = timedelta.min

    @property
    def whole(self) -> int:
        """Return the number of requests that may run at once."""
        return max(1, int(self.value))

    def resize(self, slots: int) -> None:
        """Follow a changed number of slots; a rise is tried at once."""
        if slots != self.slots:
            self.slots = slots
            self.value = float(slots)

    def typical_time(self, route: str) -> timedelta:
        """Return the time that a request of a route takes; zero if unknown."""
        times = self.routes.get(route)
        return timedelta(seconds=times.overall or 0.0) if times else timedelta()

    def record(
        self,
        route: str,
        result: RunResult,
        started_at: timedelta,
        ended_at: timedelta,
        beside: int,
    ) -> None:
        """Learn from one request.

        :param route: its route.
        :param result: how the backend server dealt with it.
        :param started_at: monotonic time when it was sent.
        :param ended_at: monotonic time when it ended.
        :param beside: most other requests that ran at the same time.
        """
        if result is RunResult.ABANDONED:
            return
        if result is RunResult.OVERLOADED:
            self.decrease(started_at, ended_at)
            return
        times = self.routes.setdefault(route, RouteTimes())
        learn_time(times, (ended_at - started_at).total_seconds(), beside)
        if beside and times.slowdown > DECREASE_SLOWDOWN:
            self.decrease(started_at, ended_at)
            times.shared = None
        elif beside + 1 >= self.whole and times.slowdown <= INCREASE_SLOWDOWN:
            self.value = min(self.slots, self.value + INCREASE_STEP / self.value)

    def decrease(self, started_at: timedelta, ended_at: timedelta) -> None:
        """Lower the limit once for all requests that ran at the same time."""
        if started_at < self.decreased_at:
            return
        self.decreased_at = ended_at
        self.value = max(1.0, self.value * DECREASE_FACTOR)


def learn_time(times: RouteTimes, seconds: float, beside: int) -> None:
    """Add one sample to the averages that it belongs to."""
    times.overall = move_average(times.overall, seconds)
    if beside:
        times.shared = move_average(times.shared, seconds)
    else:
        times.alone = move_average(times.alone, seconds)
