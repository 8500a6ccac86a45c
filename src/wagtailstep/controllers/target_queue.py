"""Queue of one backend server, with estimates of waiting times."""

import heapq
from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.controllers.concurrency import ConcurrencyLimit
from wagtailstep.controllers.rate_limit import RateLimit
from wagtailstep.models.gate import GateRequest

# Fraction of a request's aim after which it is due. 0 orders by arrival; 1 orders by
# the end of the aim, which makes long requests late. The figures are in
# docs/design/queueing.md.
DUE_TIME_RATIO = 0.75


@attrs.define
class RunningRequest:
    """A request that was sent to the backend server.

    :param request: the request.
    :param started_at: monotonic time when it was sent.
    :param concurrent_others: highest number of other requests that ran at the same
        time.
    """

    request: GateRequest
    started_at: timedelta
    concurrent_others: int


@attrs.define
class TargetQueue:
    """Running and waiting requests of one backend server.

    :param limit: limit on the requests that run in parallel.
    :param running: requests that were sent, by serial.
    :param waiting: requests that wait for a slot, by serial, oldest first.
    :param rate_limit: limit on the requests sent a second.
    :param wake_at: monotonic time at which the next request may be sent within
        ``rate_limit``, if a timer is set for it.
    :param process_started: start time of the server's process; 0 if unknown.
    """

    limit: ConcurrencyLimit
    running: dict[int, RunningRequest] = attrs.field(factory=dict)
    waiting: OrderedDict[int, GateRequest] = attrs.field(factory=OrderedDict)
    rate_limit: RateLimit = attrs.field(factory=RateLimit)
    wake_at: timedelta | None = None
    process_started: int = 0

    @property
    def has_free_slot(self) -> bool:
        """Return whether one more request may run now."""
        return len(self.running) < self.limit.max_running

    def may_start(self, now: timedelta, request: GateRequest) -> bool:
        """Return whether a request may start beside what runs, as far as limits go."""
        if not self.has_free_slot or self.rate_limit.compute_wait(now):
            return False
        if request.exclusive:
            return not self.running
        return not any(running.request.exclusive for running in self.running.values())

    @property
    def load(self) -> float:
        """Return the ratio of running and waiting requests to the concurrency limit."""
        return (len(self.running) + len(self.waiting)) / self.limit.max_running

    def expected_duration(self, request: GateRequest) -> timedelta:
        """Return the expected duration of a request at the backend server."""
        return self.limit.typical_time(request.route)

    def has_earlier_waiting(self, request: GateRequest) -> bool:
        """Return whether a waiting request has precedence over a new one."""
        order = compute_order(request)
        return any(compute_order(other) <= order for other in self.waiting.values())

    def find_next(self) -> tuple[int, GateRequest]:
        """Return the first request of the queue, with its serial."""
        return min(self.waiting.items(), key=lambda item: compute_order(item[1]))

    def estimate_wait(self, now: timedelta, request: GateRequest) -> timedelta:
        """Return how long a request that joins the queue now would wait to start.

        Waiting requests that come after it in the queue's order are ignored, and so is
        the request itself if it waits already.

        The estimate assigns each slot, when it becomes free, to the next request of
        the queue. One long request thus adds no wait while other slots become free.
        """
        free_after = sorted(
            self.estimate_time_left(running, now) for running in self.running.values()
        )
        is_exclusive = request.exclusive or any(
            running.request.exclusive for running in self.running.values()
        )
        idle_after = (
            max(free_after, default=timedelta()) if is_exclusive else timedelta()
        )
        # If more requests run than the limit allows, the first to end free no slot.
        free_after = free_after[max(0, len(free_after) - self.limit.max_running) :]
        if len(free_after) < self.limit.max_running:
            free_after.insert(0, timedelta())
        order = compute_order(request)
        ahead = 0
        arrived_later = False
        for other in self.waiting.values():
            if other is request:
                arrived_later = True
                continue
            other_order = compute_order(other)
            if other_order > order or (arrived_later and other_order == order):
                continue
            ahead += 1
            start = free_after[0]
            heapq.heapreplace(free_after, start + self.expected_duration(other))
        rate_wait = self.rate_limit.compute_wait(now, ahead)
        return max(free_after[0], idle_after, rate_wait)

    def estimate_time_left(self, running: RunningRequest, now: timedelta) -> timedelta:
        """Return the time until a running request is expected to end.

        At least half of its expected duration is returned, also when it has already
        run for longer than expected.
        """
        expected = self.expected_duration(running.request)
        return max(expected - (now - running.started_at), expected / 2)


def compute_order(request: GateRequest) -> tuple[int, timedelta]:
    """Return the sort key of a request: its priority, then its due time.

    Requests with an early aim or deadline are mostly short. If they go first, more
    requests are answered than in order of arrival. Others of the same priority don't
    starve, since their due times do not move.
    """
    useful_until = request.aim_deadline or request.deadline
    useful_for = useful_until - request.arrived_at
    return request.priority, request.arrived_at + DUE_TIME_RATIO * useful_for
