"""Concurrency limit that follows what one backend server sustains."""

from datetime import timedelta

from wagtailstep.models.gate import RunResult

DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.25
AVERAGE_WEIGHT = 0.1
SLOW_FACTOR = 3.0


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease within 1 and the slots.

    It falls when the backend server refuses requests, or takes a multiple of the
    usual time and still misses the deadline. It rises while it is used up and all is
    well. The time alone decides nothing: a route's requests differ, and a backend
    server may answer as many requests a second side by side as one by one.

    :param slots: requests that the backend server says it can run at once.
    :param trust_slots: whether it runs as many whenever it works at all.
    """

    def __init__(self, slots: int, trust_slots: bool = False) -> None:
        self.slots = slots
        self.trust_slots = trust_slots
        self.value = float(slots)
        self.average_s: dict[str, float] = {}
        self.decreased_at = timedelta.min

    @property
    def max_running(self) -> int:
        """Return the number of requests that may run at once."""
        return max(1, int(self.value))

    def resize(self, slots: int) -> None:
        """Follow a changed number of slots; a rise is tried at once."""
        if slots != self.slots:
            self.slots = slots
            self.value = float(slots)

    def typical_time(self, route: str) -> timedelta:
        """Return the time that a request of a route takes; zero if unknown."""
        return timedelta(seconds=self.average_s.get(route, 0.0))

    def record(
        self,
        route: str,
        result: RunResult,
        started_at: timedelta,
        ended_at: timedelta,
        concurrent_others: int,
    ) -> None:
        """Learn from one request.

        :param route: its route.
        :param result: how the backend server dealt with it.
        :param started_at: monotonic time when it was sent.
        :param ended_at: monotonic time when it ended.
        :param concurrent_others: most other requests that ran at the same time.
        """
        seconds = (ended_at - started_at).total_seconds()
        if self.is_overload(route, result, seconds, concurrent_others):
            self.decrease(started_at, ended_at)
        if result is not RunResult.ANSWERED:
            return
        average_s = self.average_s.get(route, seconds)
        self.average_s[route] = average_s + AVERAGE_WEIGHT * (seconds - average_s)
        if concurrent_others + 1 >= self.max_running:
            self.value = min(self.slots, self.value + INCREASE_STEP / self.value)

    def is_overload(
        self, route: str, result: RunResult, seconds: float, concurrent_others: int
    ) -> bool:
        """Tell whether a request shows that too many ran at once.

        A missed deadline shows it only if the request had a multiple of the usual
        time, so a caller in a hurry takes no capacity from the others. A refusal
        with slots free, by a number that can be trusted, shows a fault instead.
        """
        if result is RunResult.REFUSED:
            return not self.trust_slots or concurrent_others + 1 >= self.slots
        typical_s = self.average_s.get(route, 0.0)
        return result is RunResult.TIMED_OUT and seconds > SLOW_FACTOR * typical_s

    def decrease(self, started_at: timedelta, ended_at: timedelta) -> None:
        """Lower the limit once for all requests that ran at the same time."""
        if started_at < self.decreased_at:
            return
        self.decreased_at = ended_at
        self.value = max(1.0, self.value * DECREASE_FACTOR)
