"""Predicts when the retry budget of one service covers a cost."""

import math
from collections.abc import Iterator
from datetime import timedelta

import attrs

# Waits are predicted this far; the longest deadline is 40 s.
MAX_WINDOWS_PREDICTED = 4
# Sums of many fractions of a retry are inexact.
ROUNDING_ERROR = 1e-9


@attrs.define
class RetryForecast:
    """The retries that become available, from one moment on.

    Each retry is assumed to be used at once when it becomes available, so that it is
    available again a window later.

    :param available: retries that are available now; negative if overdrawn.
    :param releases: when amounts become available again, as time from now, and the
        amounts; soonest first.
    :param windows: how many windows ahead they are repeated.
    :param window: length of the window.
    :param growth: retries per second that further requests add until the window is
        full.
    :param growth_time: time until the window is full.
    :param loan_rate: borrowed retries per second.
    """

    available: float
    releases: list[tuple[timedelta, float]]
    windows: int
    window: timedelta
    growth: float
    growth_time: timedelta
    loan_rate: float
    pending: Iterator[tuple[timedelta, float]] = attrs.field(init=False)
    next_release: tuple[timedelta, float] | None = attrs.field(init=False)
    released: float = attrs.field(init=False)
    reached: timedelta = attrs.field(init=False)
    last_cost: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start at the first release."""
        self.restart()

    def restart(self) -> None:
        """Go back to the present."""
        self.pending = self.iterate_releases()
        self.next_release = next(self.pending, None)
        self.released = self.available
        self.reached = timedelta()
        self.last_cost = 0.0

    def iterate_releases(self) -> Iterator[tuple[timedelta, float]]:
        """Yield the releases of all windows."""
        for windows in range(self.windows):
            for wait, amount in self.releases:
                yield wait + windows * self.window, amount

    def compute_wait(self, cost: float) -> timedelta | None:
        """Return after what time a cost is covered, or ``None`` if never.

        A sequence of rising costs takes one pass over the releases.
        """
        if cost < self.last_cost:
            self.restart()
        self.last_cost = cost
        while True:
            wait = self.compute_growth_wait(cost - self.released - ROUNDING_ERROR)
            release = self.next_release
            if release is None or (wait is not None and wait <= release[0]):
                return None if wait is None else max(wait, self.reached)
            self.reached = release[0]
            self.released += release[1]
            self.next_release = next(self.pending, None)

    def compute_growth_wait(self, missing: float) -> timedelta | None:
        """Return after what time requests and loans add an amount, or ``None``."""
        if missing <= 0:
            return timedelta()
        rate = self.growth + self.loan_rate
        added = rate * self.growth_time.total_seconds()
        if missing <= added:
            return timedelta(seconds=missing / rate)
        if self.loan_rate <= 0:
            return None
        seconds = (missing - added) / self.loan_rate
        return self.growth_time + timedelta(seconds=min(seconds, math.pow(10, 6)))
