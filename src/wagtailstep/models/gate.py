"""Events and effects of the gate, which hands requests to one backend server."""

import enum
from datetime import timedelta

import attrs

from wagtailstep.exceptions import RequestError
from wagtailstep.models.fleet import TargetStanding


@attrs.frozen
class GateRequest:
    """A request as the gate sees it.

    :param serial: number given by the gate; unique for its lifetime.
    :param request_id: identifier made by the entry.
    :param attempt_id: identifier of this sending of the request.
    :param target_id: the backend server asked for.
    :param route: name of the route; service times are learned per route.
    :param idempotent: whether running it twice does no harm.
    :param deadline: monotonic time when it must have ended.
    :param priority: rank among waiting requests; 0 goes first.
    :param aim_deadline: monotonic time until which an answer is of full use, if known.
    :param arrived_at: monotonic time when it arrived at the gate.
    :param may_wait: whether it may wait for a slot for longer than a moment; else it
        is refused.
    :param expected_standing: standing of the backend server as the entry knew it.
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


class RunResult(enum.Enum):
    """How the backend server dealt with a request that it was sent.

    ``REFUSED`` is an answer that says it has too much to do. ``ABANDONED`` says
    nothing of the backend server, since the caller went away or the exchange broke.
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
    """A request that was started has ended.

    :param serial: as in the request.
    :param result: how the backend server dealt with it.
    :param executed: whether the backend server may have run it.
    """

    serial: int
    result: RunResult
    executed: bool = True


@attrs.frozen
class GateRequestAbandoned:
    """The caller of a request went away, or it waited for too long.

    :param serial: as in the request; it may be waiting or running.
    """

    serial: int


class AttemptState(enum.Enum):
    """What a gate knows of one sending of a request.

    ``REVOKED`` means that it had not arrived and is refused if it ever does, so it
    was not run and never will be. ``HELD`` waits or runs. ``ENDED`` was answered,
    or broken off after it had been started.
    """

    REVOKED = "revoked"
    HELD = "held"
    ENDED = "ended"


@attrs.frozen
class AttemptRevocationRequested:
    """An entry has heard nothing of an attempt and asks to bar it."""

    attempt_id: str


@attrs.frozen
class ReportAttemptState:
    """Effect: the answer to :class:`AttemptRevocationRequested`."""

    state: AttemptState


@attrs.frozen
class StartRequest:
    """Effect: send a request to its backend server now."""

    serial: int


@attrs.frozen
class RefuseRequest:
    """Effect: end a request that was not started.

    :param serial: as in the request.
    :param error: the refusal for the caller.
    """

    serial: int
    error: RequestError


class WorkResult(enum.Enum):
    """How a backend server did one piece of work, as its gate saw it.

    ``FAILED`` is an answer that says so. ``BROKEN`` is none, or one that can't be
    used. ``LATE`` was not answered by its deadline, or with a time-out.
    ``UNREACHABLE`` could not be sent. ``TURNED_AWAY`` was refused unexecuted.
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

    :param serial: number given by the gate.
    """

    serial: int
    target_id: str
    route: str


@attrs.frozen
class ResponseWaitEnded:
    """A backend server has begun to answer, or will not.

    :param serial: as in :class:`WorkStarted`.
    """

    serial: int


@attrs.frozen
class LocalCall:
    """The backend server beside this daemon called a service.

    :param service: the service.
    """

    service: str


@attrs.frozen
class LocalCallFailed:
    """A call of the backend server beside this daemon got a failure.

    :param path: path of the call.
    :param refused: whether it was refused, for want of room at the called service.
    """

    path: str
    refused: bool = False


@attrs.frozen
class WorkEnded:
    """A backend server has ended a request, well or not.

    :param target_id: the backend server.
    :param route: name of the route.
    :param idempotent: whether the request may run more than once.
    :param result: how it ended.
    :param took: time from sending to the end of the answer.
    """

    target_id: str
    route: str
    idempotent: bool
    result: WorkResult
    duration: timedelta
