"""Admission to the backend servers beside this daemon.

Every request to a backend server passes its gate, so slot limit, refusal of new
work while it leaves, and the statement that a request was not run need no
agreement with anybody.
"""

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any

from wagtailstep.controllers.concurrency import ConcurrencyLimit
from wagtailstep.controllers.request_memory import RequestMemory
from wagtailstep.controllers.target_queue import RunningRequest, TargetQueue
from wagtailstep.exceptions import (
    ConnectionFailedError,
    DeadlineExceededError,
    DoubtedTargetError,
    DuplicateRequestError,
    LeavingError,
    NoTargetError,
    OverloadedError,
    RequestError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Target, TargetStanding, TargetState
from wagtailstep.models.gate import (
    AttemptRevocationRequested,
    GateRequest,
    GateRequestAbandoned,
    GateRequestArrived,
    GateRequestEnded,
    RefuseRequest,
    ReportAttemptState,
    RunResult,
    StartRequest,
)
from wagtailstep.models.request import Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

# A request that is late anyway may still wait for the next slot.
SHORT_WAIT = timedelta(milliseconds=150)
# Asking another gate takes a few milliseconds and work at both ends. With four slots
# and work of a quarter of a second the next slot is free after about this time.
BRIEF_WAIT = timedelta(milliseconds=60)
# Usual times that a request is given between its start and its aim: one to run, one
# for the error of the expected wait. docs/design/queueing.md has the figures.
RESERVED_TIMES = 2.0
MIN_RETRY_AFTER = timedelta(milliseconds=200)


class GateController:
    """Decide which request runs, waits or is refused.

    :param settings: settings of the daemon.
    :param blackboard: read for targets.
    :param clock: source of monotonic time.
    :param rng: random choices; none are needed today.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings.requests
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.queues: dict[str, TargetQueue] = {}
        self.queue_of_serial: dict[int, TargetQueue] = {}
        self.memory = RequestMemory(clock)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Take one event and return effects, in order."""
        return []

    @handle.register
    def admit(self, event: GateRequestArrived) -> list[Any]:
        """Start, queue or refuse a new request."""
        request = event.request
        error = self.find_refusal(request)
        if error is not None:
            return [RefuseRequest(request.serial, error)]
        queue = self.find_queue(request.target_id)
        self.memory.accept(request)
        self.queue_of_serial[request.serial] = queue
        if queue.has_free_slot and not queue.has_waiting_before(request):
            return [self.start(queue, request)]
        queue.waiting[request.serial] = request
        return []

    @handle.register
    def end(self, event: GateRequestEnded) -> list[Any]:
        """Free the slot of a request that ended and start the next ones."""
        queue = self.queue_of_serial.pop(event.serial, None)
        if queue is None:
            return []
        entry = queue.running.pop(event.serial)
        if event.executed:
            self.memory.end(entry.request)
        else:
            self.memory.forget(entry.request)
        queue.limit.record(
            entry.request.route,
            event.result,
            entry.started_at,
            self.clock.monotonic(),
            entry.beside,
        )
        return self.start_waiting(queue)

    @handle.register
    def abandon(self, event: GateRequestAbandoned) -> list[Any]:
        """Take out a request whose caller has gone."""
        queue = self.queue_of_serial.get(event.serial)
        if queue is None:
            return []
        if event.serial in queue.running:
            return self.end(GateRequestEnded(event.serial, RunResult.ABANDONED))
        del self.queue_of_serial[event.serial]
        self.memory.forget(queue.waiting.pop(event.serial))
        return []

    @handle.register
    def revoke(self, event: AttemptRevocationRequested) -> list[Any]:
        """Bar an attempt that has not arrived, and tell what became of it."""
        return [ReportAttemptState(self.memory.revoke(event.attempt_id))]

    def find_refusal(self, request: GateRequest) -> RequestError | None:
        """Return why a request can't be taken, or ``None``."""
        if self.memory.is_revoked(request.attempt_id):
            return describe_revoked(request)
        if self.memory.was_accepted(request):
            message = f"request {request.request_id} was accepted before"
            # The caller has sent it once; only this fleet's own sending is a duplicate.
            status = HTTPStatus.BAD_GATEWAY
            return DuplicateRequestError(message, Verdict.MAY_HAVE_RUN, status)
        if request.deadline <= self.clock.monotonic():
            return DeadlineExceededError(
                "the deadline had passed when the request arrived", Verdict.NOT_RUN
            )
        target = self.blackboard.targets.get(request.target_id)
        if target is None or not self.is_local(target):
            return NoTargetError(f"{request.target_id} is not beside this daemon")
        if target.state is TargetState.LEAVING:
            return LeavingError(f"{request.target_id} is leaving")
        if self.is_doubted(request, target):
            return DoubtedTargetError(f"{request.target_id} has failed just now")
        return self.find_overload(request)

    def is_doubted(self, request: GateRequest, target: Target) -> bool:
        """Tell whether an entry would not have chosen a target as it stands now.

        News of a standing takes a moment, and a backend server that fails at once
        always has slots free.
        """
        if target.standing <= request.expected_standing:
            return False
        limit = TargetStanding.FAILING if request.idempotent else TargetStanding.DOUBTED
        return target.standing >= limit

    def find_overload(self, request: GateRequest) -> RequestError | None:
        """Return a refusal if the request would wait for too long, or ``None``."""
        queue = self.find_queue(request.target_id)
        if queue.has_free_slot and not queue.has_waiting_before(request):
            return None
        now = self.clock.monotonic()
        wait = queue.expected_wait(now, request)
        retry_after = max(MIN_RETRY_AFTER, wait)
        if len(queue.waiting) >= self.settings.queue_length:
            return OverloadedError(f"the queue of {request.target_id} is full", wait)
        if wait > timedelta(milliseconds=self.settings.queue_timeout_ms):
            message = f"the queue of {request.target_id} is too long"
            return OverloadedError(message, retry_after)
        if not request.may_wait and wait > BRIEF_WAIT:
            return OverloadedError(f"no slot of {request.target_id} is free", wait)
        ends_at = now + wait + queue.time_of(request)
        if self.misses_aim(request, queue, now + wait):
            message = f"{request.target_id} can't answer while that is of full use"
            return OverloadedError(message, retry_after)
        if ends_at > request.deadline:
            message = f"{request.target_id} can't answer before the deadline"
            return OverloadedError(message, retry_after)
        return None

    def misses_aim(
        self, request: GateRequest, queue: TargetQueue, starts_at: timedelta
    ) -> bool:
        """Tell whether a queue is so long that waiting in it makes the answer late.

        With more work than slots a longer queue makes all answers late and serves no
        more of them.
        """
        if request.aim_deadline is None:
            return False
        if starts_at - self.clock.monotonic() <= SHORT_WAIT:
            return False
        reserve = RESERVED_TIMES * queue.time_of(request)
        return starts_at + reserve > request.aim_deadline

    def count_waiting(self) -> dict[str, int]:
        """Return how many requests wait for a slot, by service."""
        return self.count_by_service(lambda queue: len(queue.waiting))

    def count_running(self) -> dict[str, int]:
        """Return how many requests have a slot, by service."""
        return self.count_by_service(lambda queue: len(queue.running))

    def count_by_service(self, count: Callable[[TargetQueue], int]) -> dict[str, int]:
        """Add up a number of each queue, by service."""
        counts: Counter[str] = Counter()
        for target_id, queue in self.queues.items():
            counts[target_id.partition("/")[0]] += count(queue)
        return counts

    def is_local(self, target: Target) -> bool:
        """Tell whether a backend server is beside this daemon."""
        return target.daemon_id == self.blackboard.this_member.daemon_id

    def find_queue(self, target_id: str) -> TargetQueue:
        """Return the queue of a known target, sized by its slots."""
        slots = self.blackboard.targets[target_id].slots
        queue = self.queues.get(target_id)
        if queue is None:
            self.drop_old_queues()
            queue = TargetQueue(ConcurrencyLimit(slots, self.settings.trust_slots))
            self.queues[target_id] = queue
        queue.limit.resize(slots)
        return queue

    def drop_old_queues(self) -> None:
        """Forget backend servers that are gone and have nothing left to end."""
        for target_id, queue in list(self.queues.items()):
            is_empty = not queue.running and not queue.waiting
            if is_empty and target_id not in self.blackboard.targets:
                del self.queues[target_id]

    def start(self, queue: TargetQueue, request: GateRequest) -> StartRequest:
        """Give a slot to a request."""
        now = self.clock.monotonic()
        beside = len(queue.running)
        for entry in queue.running.values():
            entry.beside = max(entry.beside, beside)
        queue.running[request.serial] = RunningRequest(request, now, beside)
        return StartRequest(request.serial)

    def start_waiting(self, queue: TargetQueue) -> list[Any]:
        """Start waiting requests while slots are free; refuse the late ones."""
        effects: list[Any] = []
        while queue.waiting and queue.has_free_slot:
            serial, request = queue.take_next()
            if request.deadline > self.clock.monotonic():
                effects.append(self.start(queue, request))
                continue
            del self.queue_of_serial[serial]
            self.memory.forget(request)
            error = DeadlineExceededError(
                "the deadline passed while the request waited", Verdict.NOT_RUN
            )
            effects.append(RefuseRequest(serial, error))
        return effects


def describe_revoked(request: GateRequest) -> RequestError:
    """Describe why an attempt that arrives too late is refused."""
    error = ConnectionFailedError(
        f"attempt {request.attempt_id} arrived after its entry had given it up",
        Verdict.NOT_RUN,
    )
    error.blame = Blame.CONNECTION
    return error
