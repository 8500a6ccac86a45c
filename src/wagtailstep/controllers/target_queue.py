"""What runs and waits at one backend server, and how long a wait will be."""

import heapq
from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.controllers.concurrency import ConcurrencyLimit
from wagtailstep.models.gate import GateRequest

# Share of a request's aim after which it is due. 0 is the order of arrival and 1 that
# of the aims, which makes long requests late; docs/design/queueing.md has the figures.
DUE_SHARE = 0.75


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

    def has_waiting_before(self, request: GateRequest) -> bool:
        """Tell whether a request waits that goes before a new one."""
        order = find_order(request)
        return any(find_order(other) <= order for other in self.waiting.values())

    def take_next(self) -> tuple[int, GateRequest]:
        """Take the first request out of the queue."""
        serial = min(self.waiting, key=lambda name: find_order(self.waiting[name]))
        return serial, self.waiting.pop(serial)

    def expected_wait(self, now: timedelta, request: GateRequest) -> timedelta:
        """Return how long a request that joins the queue now will wait for a slot.

        Requests that it goes before are passed.

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
        order = find_order(request)
        for other in self.waiting.values():
            if find_order(other) > order:
                continue
            start = free_after[0]
            heapq.heapreplace(free_after, start + self.time_of(other))
        return free_after[0]

    def time_left_of(self, entry: RunningRequest, now: timedelta) -> timedelta:
        """Return the time until a running request is expected to end.

        One that takes longer than usual is expected to take half as long again.
        """
        usual = self.time_of(entry.request)
        return max(usual - (now - entry.started_at), usual / 2)


def find_order(request: GateRequest) -> tuple[int, timedelta]:
    """Return what a queue is ordered by: rank, then the time by which it is due.

    Requests whose use ends soon are mostly short ones. If they go first, more are
    answered than in order of arrival; others only wait until their time has come.
    """
    useful_until = request.aim_deadline or request.deadline
    useful_for = useful_until - request.arrived_at
    return request.priority, request.arrived_at + DUE_SHARE * useful_for
