"""Idempotency keys, tickets, and decisions on requests that carry one."""

import attrs

from wagtailstep.exceptions import BadRequestError, RequestError
from wagtailstep.models.headers import Headers

TICKET_PREFIX = "wagtailstep-ticket"
MAX_KEY_LENGTH = 255


@attrs.frozen
class Ticket:
    """An idempotency key issued by a daemon, which alone may run its request.

    :param daemon_id: the daemon that issued it.
    :param incarnation: incarnation of that daemon when it issued the ticket.
    :param nonce: random part that can't be guessed.
    """

    daemon_id: str
    incarnation: int
    nonce: str

    def __str__(self) -> str:
        """Return the ticket in the form that callers send."""
        return f"{TICKET_PREFIX}.{self.incarnation}.{self.nonce}.{self.daemon_id}"


def parse_ticket(key: str) -> Ticket | None:
    """Parse a ticket.

    :param key: value of the ``Idempotency-Key`` header.
    :return: the ticket, or ``None`` if the caller made the key itself.
    :raises BadRequestError: if the key has the prefix of a ticket but isn't one.
    """
    if not key.startswith(f"{TICKET_PREFIX}."):
        return None
    parts = key.split(".", 3)
    if len(parts) != 4 or not parts[1].isdigit():
        raise BadRequestError(
            f"Idempotency-Key {key!r} is not a ticket; send a ticket unchanged, or a "
            f"key that doesn't begin with {TICKET_PREFIX!r}"
        )
    return Ticket(daemon_id=parts[3], incarnation=int(parts[1]), nonce=parts[2])


@attrs.frozen
class StoredAnswer:
    """A small complete response, stored so that a repeated request gets the same.

    :param status: HTTP status code.
    :param headers: pairs of lower-case name and value.
    :param body: the complete body.
    """

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class RunLocally:
    """Decision: this daemon runs the request now, and no other daemon does.

    :param run_id: identifier of the run, for ``DuplicateGuard.finish_run``.
    """

    run_id: str


@attrs.frozen
class Wait:
    """Decision: pending; a :class:`RequestDecided` effect will deliver it."""


@attrs.frozen
class RelayToDaemon:
    """Decision: relay the request to another daemon, which decides.

    :param daemon_id: identifier of that daemon.
    """

    daemon_id: str


@attrs.frozen
class Replay:
    """Decision: the request has run before; return its stored response."""

    answer: StoredAnswer


@attrs.frozen
class Refuse:
    """Decision: the request ends with an error and does not run."""

    error: RequestError


Decision = RunLocally | Wait | RelayToDaemon | Replay | Refuse


@attrs.frozen
class RequestDecided:
    """Effect: deliver the decision for a request that got :class:`Wait`.

    :param request_id: the waiting request.
    :param decision: any decision but :class:`Wait`.
    """

    request_id: str
    decision: Decision


@attrs.frozen
class GuardOutcome:
    """The guard's immediate decision and the effects that go with it.

    :param decision: how to proceed with the request.
    :param effects: effects for the runtime.
    """

    decision: Decision
    effects: tuple[object, ...] = ()
