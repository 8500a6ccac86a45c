"""Adaptive concurrency limit of one backend server."""

from datetime import timedelta

from wagtailstep.models.gate import RunResult

DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.25
# Weight of the newest sample in the moving average of durations.
AVERAGE_WEIGHT = 0.1
# A missed deadline counts as overload above this multiple of the typical duration.
SLOW_FACTOR = 3.0


class ConcurrencyLimit:
    """Limit with additive increase and multiplicative decrease, from 1 to the slots.

    It falls when the backend server refuses a request, or when a request misses its
    deadline after a multiple of the typical duration. It rises when a request is
    answered while the limit is fully used. Duration alone never lowers it: requests
    of one route differ, and a backend server may reach the same throughput with
    parallel requests as with sequential ones.

    :param slots: number of parallel requests that the backend server announces.
    :param trust_slots: whether a working backend server always runs that many.
    """

    def __init__(self, slots: int, trust_slots: bool = False) -> None:
        self.slots = slots
        self.trust_slots = trust_slots
        self.value = float(slots)
        self.average_s: dict[str, float] = {}
        self.decreased_at = timedelta.min

    @property
    def max_running(self) -> int:
        """Return the number of requests that may run in parallel."""
        return max(1, int(self.value))

    def resize(self, slots: int) -> None:
        """Reset the limit to a changed number of slots, also if that is higher."""
        if slots != self.slots:
            self.slots = slots
            self.value = float(slots)

    def typical_time(self, route: str) -> timedelta:
        """Return the mean duration of a route's requests; zero if unknown."""
        return timedelta(seconds=self.average_s.get(route, 0.0))

    def record_result(
        self,
        route: str,
        result: RunResult,
        started_at: timedelta,
        ended_at: timedelta,
        concurrent_others: int,
    ) -> None:
        """Update the limit and the mean duration by one ended request.

        :param route: its route.
        :param result: how it ended at the backend server.
        :param started_at: monotonic time when it was sent.
        :param ended_at: monotonic time when it ended.
        :param concurrent_others: highest number of other requests that ran at the
            same time.
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
        """Return whether the end of a request indicates too many parallel requests.

        A missed deadline does so only after a multiple of the typical duration, so
        that callers with short deadlines don't reduce the capacity of the others. A
        refusal while trusted slots are free indicates a fault of the server instead.
        """
        if result is RunResult.REFUSED:
            return not self.trust_slots or concurrent_others + 1 >= self.slots
        typical_s = self.average_s.get(route, 0.0)
        return result is RunResult.TIMED_OUT and seconds > SLOW_FACTOR * typical_s

    def decrease(self, started_at: timedelta, ended_at: timedelta) -> None:
        """Lower the limit, but only once for requests that ran at the same time."""
        if started_at < self.decreased_at:
            return
        self.decreased_at = ended_at
        self.value = max(1.0, self.value * DECREASE_FACTOR)
