"""Admission of requests to the backend servers beside this daemon.

Every request to a backend server passes through its gate. No coordination with other
daemons is therefore needed to enforce the slot limit, to refuse new work while the
server is leaving, or to state that a request was not executed.
"""

import random
from datetime import timedelta
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any

import attrs

from wagtailstep.controllers.concurrency import ConcurrencyLimit
from wagtailstep.controllers.gate_counts import GateCounts, RefusalCause
from wagtailstep.controllers.gate_waits import MIN_RETRY_AFTER, get_wait_error
from wagtailstep.controllers.rate_limit import RateLimit
from wagtailstep.controllers.request_history import RequestHistory
from wagtailstep.controllers.target_queue import TargetQueue
from wagtailstep.controllers.trials import may_try
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
    WakeQueue,
)
from wagtailstep.models.request import Blame
from wagtailstep.models.server_notices import (
    NO_RATE_LIMIT,
    QueueWakeDue,
    ServerNoticesReceived,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.suspects import CRASHES_BEFORE_EXCLUSIVE
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock


class GateController:
    """Decides which requests are started, queued or refused.

    :param settings: settings of the daemon.
    :param blackboard: provides the known targets.
    :param clock: source of monotonic time.
    :param rng: source of random choices; currently unused.
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
        self.counts = GateCounts(self.queues, clock)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event and return its effects, in order."""
        return []

    @handle.register
    def admit(self, event: GateRequestArrived) -> list[Any]:
        """Start, queue or refuse a new request."""
        request = self.make_suspect_exclusive(event.request)
        error = self.get_refusal_error(request)
        if error is not None:
            return [RefuseRequest(request.serial, error)]
        queue = self.get_queue(request.target_id)
        self.history.record_accepted(request)
        self.queues_by_serial[request.serial] = queue
        if self.may_start_now(queue, request):
            return [self.start(queue, request)]
        effects = self.make_room(queue, request)
        queue.join(request)
        if queue.has_accounts(request):
            effects += self.refuse_behind(queue, request)
        return effects + self.schedule_wake(request.target_id, queue)

    @handle.register
    def complete_request(self, event: GateRequestEnded) -> list[Any]:
        """Free the slot of a request that ended and start waiting requests."""
        queue = self.queues_by_serial.pop(event.serial, None)
        if queue is None:
            return []
        running = queue.end(event.serial, self.clock.monotonic())
        if event.executed:
            self.history.record_ended(running.request)
        else:
            self.history.discard_unstarted(running.request)
        queue.limit.record_result(
            running.request.route,
            event.result,
            running.started_at,
            self.clock.monotonic(),
            running.concurrent_others,
        )
        return self.start_waiting(running.request.target_id, queue)

    @handle.register
    def cancel_request(self, event: GateRequestAbandoned) -> list[Any]:
        """Cancel a request whose caller no longer waits for it."""
        queue = self.queues_by_serial.get(event.serial)
        if queue is None:
            return []
        if event.serial in queue.running:
            return self.complete_request(
                GateRequestEnded(event.serial, RunResult.ABANDONED)
            )
        del self.queues_by_serial[event.serial]
        self.history.discard_unstarted(queue.leave(event.serial))
        return []

    @handle.register
    def revoke(self, event: AttemptRevocationRequested) -> list[Any]:
        """Revoke an attempt if it has not arrived, and report its state."""
        return [ReportAttemptState(self.history.revoke(event.attempt_id))]

    @handle.register
    def resume(self, event: QueueWakeDue) -> list[Any]:
        """Start the requests that waited for the rate limit of their server."""
        queue = self.queues.get(event.target_id)
        if queue is None:
            return []
        queue.wake_at = None
        return self.start_waiting(event.target_id, queue)

    @handle.register
    def apply_notices(self, event: ServerNoticesReceived) -> list[Any]:
        """Adopt the rate limit that a response names, or its end."""
        queue = self.queues.get(event.target_id)
        rate = event.notices.rate_limit
        if queue is None or rate is None:
            return []
        if rate == NO_RATE_LIMIT and not event.executed:
            return []
        limit = queue.rate_limit
        limit.is_confirmed = True
        if rate == limit.rate:
            return []
        is_lower = limit.rate == NO_RATE_LIMIT or NO_RATE_LIMIT < rate < limit.rate
        limit.set_rate(rate, self.clock.monotonic())
        refusals = self.refuse_late_waiting(queue) if is_lower else []
        return refusals + self.start_waiting(event.target_id, queue)

    def make_suspect_exclusive(self, request: GateRequest) -> GateRequest:
        """Return the request, marked as exclusive if servers crashed running it."""
        suspect = self.blackboard.suspects.get(request.fingerprint)
        if suspect is None or suspect.crashes < CRASHES_BEFORE_EXCLUSIVE:
            return request
        return attrs.evolve(request, exclusive=True)

    def make_room(self, queue: TargetQueue, request: GateRequest) -> list[Any]:
        """Refuse the last waiting request if the queue is too full for a new one."""
        if len(queue.waiting) < self.settings.queue_length:
            return []
        last = queue.sort_waiting(request)[-1]
        wait = queue.estimate_wait(self.clock.monotonic(), last)
        message = f"the queue of {last.target_id} is full, and others go first"
        error = OverloadedError(message, max(MIN_RETRY_AFTER, wait))
        self.counts.record_refusal(last, RefusalCause.DISPLACED)
        return [self.refuse_waiting(queue, last, error)]

    def refuse_behind(self, queue: TargetQueue, request: GateRequest) -> list[Any]:
        """Refuse requests that would start too late behind one that has joined."""
        now = self.clock.monotonic()
        effects: list[Any] = []
        estimate = queue.create_wait_estimate(now)
        is_behind = False
        for other in queue.sort_waiting():
            if is_behind:
                wait = estimate.compute_wait(other)
                error = get_wait_error(self.settings, queue, other, now, wait)
                if error is not None:
                    self.counts.record_refusal(other, RefusalCause.OVERTAKEN)
                    effects.append(self.refuse_waiting(queue, other, error))
                    continue
            is_behind = is_behind or other is request
            estimate.add(other)
        return effects

    def refuse_late_waiting(self, queue: TargetQueue) -> list[Any]:
        """Refuse waiting requests that would start too late at a lower rate limit."""
        now = self.clock.monotonic()
        effects: list[Any] = []
        for request in list(queue.waiting.values()):
            wait = queue.estimate_wait(now, request)
            error = get_wait_error(self.settings, queue, request, now, wait)
            if error is not None:
                self.counts.record_refusal(request, RefusalCause.RATE_LIMIT)
                effects.append(self.refuse_waiting(queue, request, error))
        return effects

    def refuse_waiting(
        self, queue: TargetQueue, request: GateRequest, error: RequestError
    ) -> RefuseRequest:
        """Remove a request from a queue and refuse it."""
        queue.leave(request.serial)
        del self.queues_by_serial[request.serial]
        self.history.discard_unstarted(request)
        return RefuseRequest(request.serial, error)

    def get_refusal_error(self, request: GateRequest) -> RequestError | None:
        """Return the error for a request that can't be accepted, or ``None``."""
        if self.history.is_revoked(request.attempt_id):
            return build_revoked_error(request)
        if self.history.was_accepted(request):
            message = f"request {request.request_id} was already accepted by this gate"
            # Not a client error: the duplicate was sent by this fleet, not the caller.
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
        if self.has_insufficient_standing(request, target):
            return DoubtedTargetError(f"{request.target_id} has recently failed")
        return self.get_overload_error(request)

    def has_insufficient_standing(self, request: GateRequest, target: Target) -> bool:
        """Return whether a target's standing is too bad for a request.

        The entry may have chosen the target before it received the current standing.
        A backend server that fails immediately always has free slots, so it would
        otherwise attract requests. An entry that knows no better target expects the
        worst standing, and nothing is refused for it.
        """
        if request.expected_standing is TargetStanding.FAILING:
            return False
        if target.standing is TargetStanding.FAILING:
            return True
        if target.standing < TargetStanding.DOUBTED or request.idempotent:
            return False
        queue = self.get_queue(target.target_id)
        failed_at = self.blackboard.last_failures.get(target.target_id, timedelta.min)
        return not may_try(queue, failed_at, self.clock.monotonic())

    def get_overload_error(self, request: GateRequest) -> RequestError | None:
        """Return the error for a request that would wait too long, or ``None``."""
        queue = self.get_queue(request.target_id)
        self.adopt_known_limit(queue, request)
        if self.may_start_now(queue, request):
            return None
        now = self.clock.monotonic()
        wait = queue.estimate_wait(now, request)
        is_full = len(queue.waiting) >= self.settings.queue_length
        if is_full and not self.may_displace(queue, request):
            self.counts.record_refusal(request, RefusalCause.FULL)
            return OverloadedError(f"the queue of {request.target_id} is full", wait)
        error = get_wait_error(self.settings, queue, request, now, wait)
        if error is not None:
            cause = RefusalCause.LATE if request.may_wait else RefusalCause.NO_SLOT
            self.counts.record_refusal(request, cause)
        return error

    def may_displace(self, queue: TargetQueue, request: GateRequest) -> bool:
        """Return whether a new request goes before one that waits in a full queue.

        Without client accounts a waiting request keeps its place.
        """
        if not queue.waiting or not queue.has_accounts(request):
            return False
        return queue.sort_waiting(request)[-1] is not request

    def adopt_known_limit(self, queue: TargetQueue, request: GateRequest) -> None:
        """Adopt a rate limit that only the entry knows, after a restart of the gate."""
        limit = queue.rate_limit
        if request.known_rate_limit != NO_RATE_LIMIT and not limit.is_confirmed:
            limit.set_rate(request.known_rate_limit, self.clock.monotonic())

    def may_start_now(self, queue: TargetQueue, request: GateRequest) -> bool:
        """Return whether a new request may start without waiting."""
        may_start = queue.may_start(self.clock.monotonic(), request)
        return may_start and not queue.has_earlier_waiting(request)

    def is_local(self, target: Target) -> bool:
        """Return whether a target's backend server is beside this daemon."""
        return target.daemon_id == self.blackboard.this_member.daemon_id

    def get_queue(self, target_id: str) -> TargetQueue:
        """Return the queue of a known target, adjusted to its number of slots."""
        target = self.blackboard.targets[target_id]
        queue = self.queues.get(target_id)
        if queue is None:
            self.remove_unused_queues()
            limit = ConcurrencyLimit(target.slots, self.settings.trust_slots)
            queue = self.queues[target_id] = TargetQueue(limit)
        if queue.process_started != target.process_started:
            queue.process_started = target.process_started
            queue.rate_limit = RateLimit()
        queue.limit.resize(target.slots)
        return queue

    def remove_unused_queues(self) -> None:
        """Remove empty queues of backend servers that are no longer known."""
        for target_id, queue in list(self.queues.items()):
            is_empty = not queue.running and not queue.waiting
            if is_empty and target_id not in self.blackboard.targets:
                del self.queues[target_id]

    def start(self, queue: TargetQueue, request: GateRequest) -> StartRequest:
        """Assign a slot to a request."""
        queue.start(request, self.clock.monotonic())
        return StartRequest(request.serial)

    def schedule_wake(self, target_id: str, queue: TargetQueue) -> list[Any]:
        """Have the queue woken if only the rate limit keeps its requests waiting."""
        now = self.clock.monotonic()
        wait = queue.rate_limit.compute_wait(now)
        if not queue.waiting or not queue.has_free_slot or not wait:
            return []
        if queue.wake_at is not None and now < queue.wake_at <= now + wait:
            return []
        queue.wake_at = now + wait
        return [WakeQueue(target_id, wait)]

    def start_waiting(self, target_id: str, queue: TargetQueue) -> list[Any]:
        """Start waiting requests while their server takes more; refuse expired ones."""
        effects: list[Any] = []
        while queue.waiting:
            request = queue.find_next()
            if not queue.may_start(self.clock.monotonic(), request):
                break
            if request.deadline > self.clock.monotonic():
                effects.append(self.start(queue, request))
                continue
            error = DeadlineExceededError(
                "the deadline passed while the request waited for a slot",
                Verdict.NOT_RUN,
            )
            effects.append(self.refuse_waiting(queue, request, error))
        return effects + self.schedule_wake(target_id, queue)


def build_revoked_error(request: GateRequest) -> RequestError:
    """Return the error for an attempt that arrived after it had been revoked."""
    error = ConnectionFailedError(
        f"attempt {request.attempt_id} arrived after its entry had revoked it",
        Verdict.NOT_RUN,
    )
    error.blame = Blame.CONNECTION
    return error
