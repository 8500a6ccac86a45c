"""What runs and waits at one backend server, and how long a wait will be."""

import heapq
from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.controllers.concurrency import ConcurrencyLimit
from wagtailstep.models.gate import GateRequest


@attrs.define
class RunningRequest:
    """A request that was sent to the backend server.

    :param request: the request.
    :param started_at: monotonic time when it was sent.
    :param beside: most other requests that ran at the same time.
    """

    request: GateRequest
    started_at: timedelta
    beside: int


@attrs.define
class TargetQueue:
    """What runs and waits at one backend server.

    :param limit: how many may run at once.
    :param running: requests that were sent, by serial.
    :param waiting: requests that wait, by serial, oldest first.
    """

    limit: ConcurrencyLimit
    running: dict[int, RunningRequest] = attrs.field(factory=dict)
    waiting: OrderedDict[int, GateRequest] = attrs.field(factory=OrderedDict)

    @property
    def has_free_slot(self) -> bool:
        """Tell whether one more request may run now."""
        return len(self.running) < self.limit.whole

    @property
    def load(self) -> float:
        """Return running and waiting requests per request that may run."""
        return (len(self.running) + len(self.waiting)) / self.limit.whole

    def time_of(self, request: GateRequest) -> timedelta:
        """Return the time that a request is expected to take."""
        return self.limit.typical_time(request.route)

    def has_waiting(self, priority: int) -> bool:
        """Tell whether a request waits that goes before a new one of a priority."""
        return any(request.priority <= priority for request in self.waiting.values())

    def take_next(self) -> tuple[int, GateRequest]:
        """Take the first request of the best priority out of the queue."""
        serial = min(self.waiting, key=lambda name: self.waiting[name].priority)
        return serial, self.waiting.pop(serial)

    def expected_wait(self, now: timedelta, priority: int) -> timedelta:
        """Return how long a request that joins the queue now will wait for a slot.

        Requests of a lower priority, which is a greater number, are passed.

        The slots are filled in order of the queue, each as it becomes free, so that
        one long request does not make a queue long whose other slots move on.
        """
        free_after = sorted(
            self.time_left_of(entry, now) for entry in self.running.values()
        )
        # With more running than allowed, the first to end free no slot.
        free_after = free_after[max(0, len(free_after) - self.limit.whole) :]
        if len(free_after) < self.limit.whole:
            free_after.insert(0, timedelta())
        for request in self.waiting.values():
            if request.priority > priority:
                continue
            start = free_after[0]
            heapq.heapreplace(free_after, start + self.time_of(request))
        return free_after[0]

    def time_left_of(self, entry: RunningRequest, now: timedelta) -> timedelta:
        """Return the time until a running request is expected to end.

        One that takes longer than usual is expected to take half as long again.
        """
        usual = self.time_of(entry.request)
        return max(usual - (now - entry.started_at), usual / 2)
