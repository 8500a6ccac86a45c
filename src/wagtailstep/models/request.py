"""Context of a request, and events for the end of requests and attempts."""

import enum
from datetime import timedelta

import attrs

from wagtailstep.accounts.directory import ClientAccount
from wagtailstep.models.fleet import TargetStanding
from wagtailstep.models.host_routes import RouteKind
from wagtailstep.models.server_notices import NO_RATE_LIMIT
from wagtailstep.models.verdict import Verdict

UNLIMITED_ATTEMPTS = 1_000


@attrs.frozen
class RequestContext:
    """What is known about a request, apart from its body.

    :param request_id: identifier, assigned by the first daemon, or by the caller with
        ``caller_request_ids``; then several requests may have the same one.
    :param service: name of the requested service.
    :param route: name of the route; limits and latencies are tracked per route.
    :param account: client account, or an empty string.
    :param method: HTTP method in capitals.
    :param path: path and query string for the backend server.
    :param idempotent: whether running it twice does no harm.
    :param idempotency_key: the caller's key or ticket, or ``None``.
    :param deadline: monotonic time, by this daemon's clock, when it must have ended.
    :param first_sending: whether the caller states that it has not sent a request with
        this key before.
    :param relayed: whether another daemon relayed it because of its key.
    :param kind: kind of its route, or ``None`` if the route is not in the table.
    :param aim: latency objective; zero if unknown.
    :param priority: rank among the routes of its service; 0 goes first.
    :param max_attempts: highest number of targets that it may be sent to.
    :param aim_deadline: monotonic time until which a response meets the latency
        objective, if known.
    :param may_wait: whether a gate may queue it for more than a brief time until a slot
        is free.
    :param expected_standing: standing of the target that the entry knew of when it
        chose the target.
    :param known_rate_limit: rate limit of the target that the entry knew of then.
    :param fingerprint: hash that is the same for each arrival of the same request.
    :param account_priority: rank of its client account, which goes before
        ``priority``; ``None`` if the account has none.
    :param client_account: the account in the table that its key belongs to, or
        ``None``. Without client accounts in the table, ``account`` is what the caller
        said.
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
    known_rate_limit: float = NO_RATE_LIMIT
    fingerprint: str = ""
    account_priority: int | None = None
    client_account: ClientAccount | None = None

    @property
    def needs_duplicate_guard(self) -> bool:
        """Return whether its key must protect it from running twice."""
        return self.idempotency_key is not None and not self.idempotent

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key by importance: the account's priority goes first."""
        priority = self.account_priority
        return (self.priority if priority is None else priority, self.priority)


class Blame(enum.Enum):
    """What a failure is attributed to."""

    NONE = "none"
    BACKEND_SERVER = "backend-server"
    PATH = "path"
    CONNECTION = "connection"
    CALLER = "caller"
    OVERLOAD = "overload"


@attrs.frozen
class RequestEnded:
    """How a caller's request ended, as an event for the controllers.

    :param service: requested service; empty if the request could not be parsed.
    :param route: name of its route, or empty.
    :param outcome: ``status-`` and the status code of a backend server's response, or
        the reason why there was none.
    :param duration: time from the head of the request to the head of the response.
    """

    service: str
    route: str
    outcome: str
    duration: timedelta


@attrs.frozen
class AttemptEnded:
    """How one attempt at a request ended, as an event for the controllers.

    :param request: the request.
    :param target_id: the target that it was sent to.
    :param verdict: whether the backend server may have run it.
    :param status: HTTP status code of the response, or ``None`` if there was none.
    :param blame: what a failure is attributed to.
    :param latency: time from sending to the head of the response or the failure.
    :param queueing: part of ``latency`` that it waited for a slot at the gate.
    :param duration: time from sending to the end of the response or the failure.
    """

    request: RequestContext
    target_id: str
    verdict: Verdict
    status: int | None
    blame: Blame
    latency: timedelta
    queueing: timedelta = timedelta()
    duration: timedelta = timedelta()
