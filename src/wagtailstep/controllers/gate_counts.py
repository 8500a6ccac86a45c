"""Numbers of requests that wait, run or were refused at the gate, for metrics."""

import enum
from collections import Counter
from collections.abc import Callable

from wagtailstep.controllers.target_queue import TargetQueue
from wagtailstep.models.gate import GateRequest
from wagtailstep.utils.clock import Clock

# Ranks from this one on are counted together, which bounds the number of series.
LAST_RANK = 3


class WaitCause(enum.Enum):
    """Why the requests of a queue wait.

    ``SLOTS`` means that all slots are in use, ``RATE_LIMIT`` that the backend server
    takes fewer requests a second, and ``EXCLUSIVE`` that a request suspected of
    crashing servers has to run alone.
    """

    SLOTS = "slots"
    RATE_LIMIT = "rate-limit"
    EXCLUSIVE = "exclusive"


class RefusalCause(enum.Enum):
    """Why the gate refused a request for lack of capacity.

    On arrival: ``NO_SLOT`` means that it may not wait, so its entry asks another gate;
    ``FULL`` that it would be the last of a full queue; ``LATE`` that its expected wait
    is too long. While it waited: ``DISPLACED`` means that it was the last of a full
    queue that another joined; ``OVERTAKEN`` that another joined ahead of it and made it
    too late; ``RATE_LIMIT`` that its backend server lowered its rate limit.
    """

    NO_SLOT = "no-slot"
    FULL = "full"
    LATE = "late"
    DISPLACED = "displaced"
    OVERTAKEN = "overtaken"
    RATE_LIMIT = "rate-limit"


class GateCounts:
    """Counts requests at the gate by service, rank and cause.

    Client accounts are not told apart, since there may be thousands.

    :param queues: queues of the gate, by target.
    :param clock: source of monotonic time.
    :param refused: refused requests by service, rank and cause.
    """

    def __init__(self, queues: dict[str, TargetQueue], clock: Clock) -> None:
        self.queues = queues
        self.clock = clock
        self.refused: Counter[tuple[str, str, str]] = Counter()

    def record_refusal(self, request: GateRequest, cause: RefusalCause) -> None:
        """Count a request that was refused for lack of capacity."""
        service = find_service(request.target_id)
        self.refused[service, find_rank_label(request), cause.value] += 1

    def count_waiting(self) -> dict[str, int]:
        """Return the number of requests that wait for a slot, by service."""
        return self.count_by_service(lambda queue: len(queue.waiting))

    def count_running(self) -> dict[str, int]:
        """Return the number of requests that occupy a slot, by service."""
        return self.count_by_service(lambda queue: len(queue.running))

    def count_by_service(self, count: Callable[[TargetQueue], int]) -> dict[str, int]:
        """Return the sum of a number over the queues of each service."""
        counts: Counter[str] = Counter()
        for target_id, queue in self.queues.items():
            counts[find_service(target_id)] += count(queue)
        return counts

    def count_waiting_by_rank(self) -> dict[tuple[str, str, str], int]:
        """Return the number of waiting requests by service, rank and cause."""
        counts: Counter[tuple[str, str, str]] = Counter()
        for target_id, queue in self.queues.items():
            cause = self.find_wait_cause(queue).value
            for request in queue.waiting.values():
                counts[find_service(target_id), find_rank_label(request), cause] += 1
        return counts

    def find_wait_cause(self, queue: TargetQueue) -> WaitCause:
        """Return why the requests of a queue wait."""
        if not queue.has_free_slot:
            return WaitCause.SLOTS
        if queue.rate_limit.compute_wait(self.clock.monotonic()):
            return WaitCause.RATE_LIMIT
        return WaitCause.EXCLUSIVE


def find_service(target_id: str) -> str:
    """Return the service of a target."""
    return target_id.partition("/")[0]


def find_rank_label(request: GateRequest) -> str:
    """Return the first part of a request's rank, from 0 to 3, as a metric label."""
    rank = max(0, request.rank[0])
    return f"{LAST_RANK}+" if rank >= LAST_RANK else str(rank)
