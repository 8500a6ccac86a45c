"""Queue of one backend server, with estimates of waiting times."""

import heapq
from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.controllers.concurrency import ConcurrencyLimit
from wagtailstep.controllers.rate_limit import RateLimit
from wagtailstep.models.gate import GateRequest
from wagtailstep.scheduling.fair_order import FairOrder


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
    :param last_started_at: monotonic time at which a request was last sent.
    :param process_started: start time of the server's process; 0 if unknown.
    :param fair_order: order of the waiting requests.
    """

    limit: ConcurrencyLimit
    running: dict[int, RunningRequest] = attrs.field(factory=dict)
    waiting: OrderedDict[int, GateRequest] = attrs.field(factory=OrderedDict)
    rate_limit: RateLimit = attrs.field(factory=RateLimit)
    wake_at: timedelta | None = None
    last_started_at: timedelta = timedelta.min
    process_started: int = 0
    fair_order: FairOrder = attrs.field(factory=FairOrder)

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

    def join(self, request: GateRequest) -> None:
        """Add a request to those that wait."""
        self.waiting[request.serial] = request
        self.fair_order.record_waiting(request)

    def leave(self, serial: int) -> GateRequest:
        """Remove a request from those that wait."""
        request = self.waiting.pop(serial)
        self.fair_order.record_left(request)
        return request

    def start(self, request: GateRequest, now: timedelta) -> None:
        """Assign a slot to a request; one that waits leaves the queue."""
        self.last_started_at = now
        # The account is charged first: it keeps its tag while it has requests.
        self.fair_order.record_started(request, self.expected_duration(request))
        if request.serial in self.waiting:
            self.leave(request.serial)
        self.rate_limit.record_sent(now)
        concurrent_others = len(self.running)
        for running in self.running.values():
            running.concurrent_others = max(
                running.concurrent_others, concurrent_others
            )
        self.running[request.serial] = RunningRequest(request, now, concurrent_others)

    def end(self, serial: int, now: timedelta) -> RunningRequest:
        """Free the slot of a request."""
        running = self.running.pop(serial)
        self.fair_order.record_ended(running.request, now - running.started_at)
        return running

    def has_accounts(self, request: GateRequest) -> bool:
        """Return whether a new or a waiting request belongs to a client account."""
        return bool(request.account) or any(
            other.account for other in self.waiting.values()
        )

    def sort_waiting(self, new: GateRequest | None = None) -> list[GateRequest]:
        """Return the waiting requests, and a new one if given, in their order."""
        requests = list(self.waiting.values())
        if new is not None and new.serial not in self.waiting:
            requests.append(new)
        return self.fair_order.sort(requests, self.expected_duration)

    def has_earlier_waiting(self, request: GateRequest) -> bool:
        """Return whether a waiting request has precedence over a new one."""
        return bool(self.waiting) and self.sort_waiting(request)[0] is not request

    def find_next(self) -> GateRequest:
        """Return the first request of the queue."""
        return self.sort_waiting()[0]

    def estimate_wait(self, now: timedelta, request: GateRequest) -> timedelta:
        """Return how long a request that joins the queue now would wait to start.

        Waiting requests that come after it in the queue's order are ignored, and so is
        the request itself if it waits already.
        """
        ordered = self.sort_waiting(request)
        ahead = ordered[: ordered.index(request)]
        if not self.has_accounts(request):
            # Adding them by arrival keeps refusals unchanged without client accounts.
            serials = {other.serial for other in ahead}
            ahead = [
                other for other in self.waiting.values() if other.serial in serials
            ]
        estimate = self.create_wait_estimate(now)
        for other in ahead:
            estimate.add(other)
        return estimate.compute_wait(request)

    def create_wait_estimate(self, now: timedelta) -> "WaitEstimate":
        """Return an estimate with the running requests and no waiting ones."""
        free_after = sorted(
            self.estimate_time_left(running, now) for running in self.running.values()
        )
        all_free_after = max(free_after, default=timedelta())
        # If more requests run than the limit allows, the first to end free no slot.
        free_after = free_after[max(0, len(free_after) - self.limit.max_running) :]
        if len(free_after) < self.limit.max_running:
            free_after.insert(0, timedelta())
        return WaitEstimate(self, now, free_after, all_free_after)

    def estimate_time_left(self, running: RunningRequest, now: timedelta) -> timedelta:
        """Return the time until a running request is expected to end.

        At least half of its expected duration is returned, also when it has already
        run for longer than expected.
        """
        expected = self.expected_duration(running.request)
        return max(expected - (now - running.started_at), expected / 2)


@attrs.define
class WaitEstimate:
    """Waiting times of the requests of a queue, which are added in their order.

    The estimate assigns each slot, when it becomes free, to the next request of the
    queue. One long request thus adds no wait while other slots become free.

    :param queue: the queue.
    :param now: monotonic time.
    :param free_after: heap of the times from now until each slot is free.
    :param all_free_after: time until all running requests have ended.
    :param ahead: number of requests added.
    """

    queue: TargetQueue
    now: timedelta
    free_after: list[timedelta]
    all_free_after: timedelta
    ahead: int = 0

    def compute_wait(self, request: GateRequest) -> timedelta:
        """Return how long a request waits to start after those that were added."""
        running = self.queue.running.values()
        is_exclusive = request.exclusive or any(
            other.request.exclusive for other in running
        )
        idle_after = self.all_free_after if is_exclusive else timedelta()
        rate_wait = self.queue.rate_limit.compute_wait(self.now, self.ahead)
        return max(self.free_after[0], idle_after, rate_wait)

    def add(self, request: GateRequest) -> None:
        """Add a request that starts before those that follow."""
        ends_after = self.free_after[0] + self.queue.expected_duration(request)
        heapq.heapreplace(self.free_after, ends_after)
        self.ahead += 1
