"""Events and effects of the gate, which hands requests to one backend server."""

import enum
from datetime import timedelta

import attrs

from wagtailstep.exceptions import RequestError
from wagtailstep.models.fleet import TargetStanding
from wagtailstep.models.server_notices import NO_RATE_LIMIT


@attrs.frozen
class GateRequest:
    """A request as the gate sees it.

    :param serial: number assigned by the gate; unique within its lifetime.
    :param request_id: identifier assigned by the entry.
    :param attempt_id: identifier of this attempt at the request.
    :param target_id: the requested backend server.
    :param route: name of the route; service times are estimated per route.
    :param idempotent: whether running it twice does no harm.
    :param deadline: monotonic time when it must have ended.
    :param priority: rank among waiting requests; 0 goes first.
    :param aim_deadline: monotonic time until which a response meets the latency
        objective, if known.
    :param arrived_at: monotonic time when it arrived at the gate.
    :param may_wait: whether it may queue for a slot for more than a brief time; if not,
        it is refused.
    :param expected_standing: standing of the backend server that the entry knew of
        when it chose the target.
    :param known_rate_limit: rate limit of the backend server that the entry knows of;
        ``NO_RATE_LIMIT`` if it knows none.
    :param fingerprint: hash that is the same for each arrival of the same request, or
        an empty string.
    :param exclusive: whether no other request may run at the backend server at the
        same time.
    :param account: client account, or an empty string.
    :param account_priority: as in :class:`~wagtailstep.models.request.RequestContext`.
    """

    serial: int
    request_id: str
    attempt_id: str
    target_id: str
    route: str
    idempotent: bool
    deadline: timedelta
    priority: int = 0
    aim_deadline: timedelta | None = None
    arrived_at: timedelta = timedelta()
    may_wait: bool = True
    expected_standing: TargetStanding = TargetStanding.FAILING
    known_rate_limit: float = NO_RATE_LIMIT
    fingerprint: str = ""
    exclusive: bool = False
    account: str = ""
    account_priority: int | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key by importance: the account's priority goes first."""
        priority = self.account_priority
        return (self.priority if priority is None else priority, self.priority)


class RunResult(enum.Enum):
    """How the backend server handled a request that it was sent.

    ``REFUSED`` means that it reported overload. ``ABANDONED`` is no evidence about
    the backend server, since the caller disconnected or the exchange broke.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    TIMED_OUT = "timed-out"
    ABANDONED = "abandoned"


@attrs.frozen
class GateRequestArrived:
    """A request arrived at the gate."""

    request: GateRequest


@attrs.frozen
class GateRequestEnded:
    """A request that had been started has ended.

    :param serial: as in the request.
    :param result: how the backend server handled it.
    :param executed: whether the backend server may have run it.
    """

    serial: int
    result: RunResult
    executed: bool = True


@attrs.frozen
class GateRequestAbandoned:
    """The caller of a request disconnected, or the request waited for too long.

    :param serial: as in the request; it may be waiting or running.
    """

    serial: int


class AttemptState(enum.Enum):
    """What a gate knows of one attempt at a request.

    ``REVOKED`` means that it had not arrived and is refused if it ever does, so it
    was not run and never will be. ``HELD`` means queued or running. ``ENDED`` means
    that it was answered, or cancelled after it had been started.
    """

    REVOKED = "revoked"
    HELD = "held"
    ENDED = "ended"


@attrs.frozen
class AttemptRevocationRequested:
    """An entry received no response to an attempt and requests its revocation."""

    attempt_id: str


@attrs.frozen
class ReportAttemptState:
    """Effect: answer an :class:`AttemptRevocationRequested`."""

    state: AttemptState


@attrs.frozen
class StartRequest:
    """Effect: send a request to its backend server now."""

    serial: int


@attrs.frozen
class WakeQueue:
    """Effect: send :class:`~wagtailstep.models.server_notices.QueueWakeDue` later.

    :param target_id: the backend server whose requests wait for its rate limit.
    :param delay: time until the next one may start.
    """

    target_id: str
    delay: timedelta


@attrs.frozen
class RefuseRequest:
    """Effect: end a request that was not started.

    :param serial: as in the request.
    :param error: the error that the caller gets.
    """

    serial: int
    error: RequestError


class WorkResult(enum.Enum):
    """How a backend server handled one request, as observed by its gate.

    ``FAILED`` is a response that reports a failure. ``BROKEN`` is an unusable or
    missing response. ``LATE`` means no response by the deadline, or one that reports
    a time-out. ``UNREACHABLE`` means that the request could not be sent, and
    ``TURNED_AWAY`` that it was refused without being run.
    """

    DONE = "done"
    FAILED = "failed"
    BROKEN = "broken"
    LATE = "late"
    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turned-away"


@attrs.frozen
class WorkStarted:
    """A request was sent to the backend server beside this daemon.

    :param serial: number assigned by the gate.
    """

    serial: int
    target_id: str
    route: str


@attrs.frozen
class ResponseWaitEnded:
    """The wait for a response has ended: it has begun, or will not come.

    :param serial: as in :class:`WorkStarted`.
    """

    serial: int


@attrs.frozen
class LocalCall:
    """The backend server beside this daemon sent a request to a service.

    :param service: the service.
    """

    service: str


@attrs.frozen
class LocalCallFailed:
    """A request sent by the backend server beside this daemon failed.

    :param path: path of the request.
    :param refused: whether it was refused because the called service is overloaded.
    """

    path: str
    refused: bool = False


@attrs.frozen
class WorkEnded:
    """A backend server has finished a request, with or without success.

    :param target_id: the backend server.
    :param route: name of the route.
    :param idempotent: whether the request may run more than once.
    :param result: how it ended.
    :param duration: time from sending the request to the end of the response.
    """

    target_id: str
    route: str
    idempotent: bool
    result: WorkResult
    duration: timedelta
