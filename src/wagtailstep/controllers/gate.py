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
from wagtailstep.controllers.request_history import RequestHistory
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
    AttemptRevoked,
    GateRequest,
    GateRequestAbandoned,
    GateRequestArrived,
    GateRequestEnded,
    RefuseRequest,
    RunResult,
    StartRequest,
    TellAttemptState,
)
from wagtailstep.models.request import Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

# A request that is late anyway may still wait for the next slot.
MAX_WAIT_PAST_AIM = timedelta(milliseconds=150)
# Asking another gate takes a few milliseconds and work at both ends. With four slots
# and work of a quarter of a second the next slot is free after about this time.
MAX_WAIT_BEFORE_REROUTE = timedelta(milliseconds=60)
# Usual times that a request is given between its start and its aim: one to run, one
# for the error of the expected wait. docs/design/queueing.md has the figures.
AIM_RESERVE_FACTOR = 2.0
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
        self.queues_by_serial: dict[int, TargetQueue] = {}
        self.history = RequestHistory(clock)

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
        queue = self.get_queue(request.target_id)
        self.history.record_accepted(request)
        self.queues_by_serial[request.serial] = queue
        if queue.has_free_slot and not queue.has_earlier_waiting(request):
            return [self.start(queue, request)]
        queue.waiting[request.serial] = request
        return []

    @handle.register
    def complete_request(self, event: GateRequestEnded) -> list[Any]:
        """Free the slot of a request that ended and start the next ones."""
        queue = self.queues_by_serial.pop(event.serial, None)
        if queue is None:
            return []
        running = queue.running.pop(event.serial)
        if event.executed:
            self.history.record_ended(running.request)
        else:
            self.history.discard_unstarted(running.request)
        queue.limit.record(
            running.request.route,
            event.result,
            running.started_at,
            self.clock.monotonic(),
            running.concurrent_others,
        )
        return self.start_waiting(queue)

    @handle.register
    def cancel_request(self, event: GateRequestAbandoned) -> list[Any]:
        """Take out a request whose caller has gone."""
        queue = self.queues_by_serial.get(event.serial)
        if queue is None:
            return []
        if event.serial in queue.running:
            return self.complete_request(
                GateRequestEnded(event.serial, RunResult.ABANDONED)
            )
        del self.queues_by_serial[event.serial]
        self.history.discard_unstarted(queue.waiting.pop(event.serial))
        return []

    @handle.register
    def revoke(self, event: AttemptRevoked) -> list[Any]:
        """Bar an attempt that has not arrived, and tell what became of it."""
        return [TellAttemptState(self.history.revoke(event.attempt_id))]

    def find_refusal(self, request: GateRequest) -> RequestError | None:
        """Return why a request can't be taken, or ``None``."""
        if self.history.is_revoked(request.attempt_id):
            return build_revoked_error(request)
        if self.history.was_accepted(request):
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
        if target.standing <= request.chosen_standing:
            return False
        limit = TargetStanding.FAILING if request.idempotent else TargetStanding.DOUBTED
        return target.standing >= limit

    def find_overload(self, request: GateRequest) -> RequestError | None:
        """Return a refusal if the request would wait for too long, or ``None``."""
        queue = self.get_queue(request.target_id)
        if queue.has_free_slot and not queue.has_earlier_waiting(request):
            return None
        now = self.clock.monotonic()
        wait = queue.estimate_wait(now, request)
        retry_after = max(MIN_RETRY_AFTER, wait)
        if len(queue.waiting) >= self.settings.queue_length:
            return OverloadedError(f"the queue of {request.target_id} is full", wait)
        if wait > timedelta(milliseconds=self.settings.queue_timeout_ms):
            message = f"the queue of {request.target_id} is too long"
            return OverloadedError(message, retry_after)
        if not request.may_wait and wait > MAX_WAIT_BEFORE_REROUTE:
            return OverloadedError(f"no slot of {request.target_id} is free", wait)
        ends_at = now + wait + queue.expected_duration(request)
        if self.would_miss_aim(request, queue, now + wait):
            message = f"{request.target_id} can't answer while that is of full use"
            return OverloadedError(message, retry_after)
        if ends_at > request.deadline:
            message = f"{request.target_id} can't answer before the deadline"
            return OverloadedError(message, retry_after)
        return None

    def would_miss_aim(
        self, request: GateRequest, queue: TargetQueue, starts_at: timedelta
    ) -> bool:
        """Tell whether a queue is so long that waiting in it makes the answer late.

        With more work than slots a longer queue makes all answers late and serves no
        more of them.
        """
        if request.aim_at is None:
            return False
        if starts_at - self.clock.monotonic() <= MAX_WAIT_PAST_AIM:
            return False
        reserve = AIM_RESERVE_FACTOR * queue.expected_duration(request)
        return starts_at + reserve > request.aim_at

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

    def get_queue(self, target_id: str) -> TargetQueue:
        """Return the queue of a known target, sized by its slots."""
        slots = self.blackboard.targets[target_id].slots
        queue = self.queues.get(target_id)
        if queue is None:
            self.remove_unused_queues()
            queue = TargetQueue(ConcurrencyLimit(slots, self.settings.trust_slots))
            self.queues[target_id] = queue
        queue.limit.resize(slots)
        return queue

    def remove_unused_queues(self) -> None:
        """Forget backend servers that are gone and have nothing left to end."""
        for target_id, queue in list(self.queues.items()):
            is_empty = not queue.running and not queue.waiting
            if is_empty and target_id not in self.blackboard.targets:
                del self.queues[target_id]

    def start(self, queue: TargetQueue, request: GateRequest) -> StartRequest:
        """Give a slot to a request."""
        now = self.clock.monotonic()
        concurrent_others = len(queue.running)
        for running in queue.running.values():
            running.concurrent_others = max(
                running.concurrent_others, concurrent_others
            )
        queue.running[request.serial] = RunningRequest(request, now, concurrent_others)
        return StartRequest(request.serial)

    def start_waiting(self, queue: TargetQueue) -> list[Any]:
        """Start waiting requests while slots are free; refuse the late ones."""
        effects: list[Any] = []
        while queue.waiting and queue.has_free_slot:
            serial, request = queue.pop_next()
            if request.deadline > self.clock.monotonic():
                effects.append(self.start(queue, request))
                continue
            del self.queues_by_serial[serial]
            self.history.discard_unstarted(request)
            error = DeadlineExceededError(
                "the deadline passed while the request waited", Verdict.NOT_RUN
            )
            effects.append(RefuseRequest(serial, error))
        return effects


def build_revoked_error(request: GateRequest) -> RequestError:
    """Describe why an attempt that arrives too late is refused."""
    error = ConnectionFailedError(
        f"attempt {request.attempt_id} arrived after its entry had given it up",
        Verdict.NOT_RUN,
    )
    error.blame = Blame.CONNECTION
    return error
