"""A request on its way through the fleet, and how an attempt at it ended."""

import enum
from datetime import timedelta

import attrs

from wagtailstep.models.fleet import TargetStanding
from wagtailstep.models.host_routes import RouteKind
from wagtailstep.models.verdict import Verdict

UNLIMITED_ATTEMPTS = 1_000


@attrs.frozen
class RequestContext:
    """What the fleet knows of a request, apart from its body.

    :param request_id: unique identifier, made by the first daemon.
    :param service: name of the service asked for.
    :param route: name of the route; limits and stragglers are judged per route.
    :param account: client account, or an empty string.
    :param method: HTTP method in capitals.
    :param path: path and query string for the backend server.
    :param idempotent: whether running it twice does no harm.
    :param idempotency_key: the caller's key or ticket, or ``None``.
    :param deadline: monotonic time of this daemon's clock when it must have ended.
    :param first_sending: whether the caller says that it never sent the request
        with this key before.
    :param relayed: whether another daemon passed it on because of its key.
    :param kind: kind of its route, or ``None`` if the route is not in the table.
    :param aim: time within which an answer is of full use; zero if unknown.
    :param priority: rank among the routes of its service; 0 goes first.
    :param max_attempts: targets that it may be sent to.
    :param aim_deadline: monotonic time until which an answer is of full use, if known.
    :param may_wait: whether a gate may keep it for longer than a moment until a slot
        is free.
    :param expected_standing: standing of the target as the entry knew it when it chose.
    """

    request_id: str
    service: str
    route: str
    account: str
    method: str
    path: str
    idempotent: bool
    idempotency_key: str | None
    deadline: timedelta
    first_sending: bool = False
    relayed: bool = False
    kind: RouteKind | None = None
    aim: timedelta = timedelta()
    priority: int = 0
    max_attempts: int = UNLIMITED_ATTEMPTS
    aim_deadline: timedelta | None = None
    may_wait: bool = True
    expected_standing: TargetStanding = TargetStanding.FAILING

    @property
    def needs_duplicate_guard(self) -> bool:
        """Return whether its key must keep it from running twice."""
        return self.idempotency_key is not None and not self.idempotent


class Blame(enum.Enum):
    """What an outcome speaks against."""

    NONE = "none"
    BACKEND_SERVER = "backend-server"
    PATH = "path"
    CONNECTION = "connection"
    CALLER = "caller"
    OVERLOAD = "overload"


@attrs.frozen
class RequestEnded:
    """How a caller's request ended, as an event for the controllers.

    :param service: service asked for; empty if the request could not be read.
    :param route: name of its route, or empty.
    :param outcome: ``status-`` and the status of a backend server's answer, or the
        reason for which there was none.
    :param took: time from the head of the request to the head of the answer.
    """

    service: str
    route: str
    outcome: str
    duration: timedelta


@attrs.frozen
class AttemptEnded:
    """How one attempt at a request ended, as an event for the controllers.

    :param request: the request.
    :param target_id: the target that was tried.
    :param verdict: whether the backend server may have run it.
    :param status: HTTP status of the answer, or ``None`` if there was none.
    :param blame: what the outcome speaks against.
    :param latency: time from sending to the head of the answer or the failure.
    :param queueing: part of ``latency`` spent waiting for a slot at the gate.
    """

    request: RequestContext
    target_id: str
    verdict: Verdict
    status: int | None
    blame: Blame
    latency: timedelta
    queueing: timedelta = timedelta()
