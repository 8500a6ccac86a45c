"""Idempotency keys and tickets, and what is decided about a request that has one."""

import attrs

from wagtailstep.exceptions import BadRequestError, RequestError
from wagtailstep.models.headers import Headers

TICKET_PREFIX = "wagtailstep-ticket"
MAX_KEY_LENGTH = 255


@attrs.frozen
class Ticket:
    """An idempotency key that only its issuer can run, and only once.

    :param daemon_id: the daemon that issued it.
    :param incarnation: incarnation of that daemon when it issued the ticket.
    :param serial: random part that nobody can guess.
    """

    daemon_id: str
    incarnation: int
    nonce: str

    def __str__(self) -> str:
        """Return the ticket as callers send it."""
        return f"{TICKET_PREFIX}.{self.incarnation}.{self.nonce}.{self.daemon_id}"


def parse_ticket(key: str) -> Ticket | None:
    """Read a ticket.

    :param key: value of the ``Idempotency-Key`` header.
    :return: the ticket, or ``None`` for a key of the caller's own making.
    :raises BadRequestError: if the key begins like a ticket and isn't one.
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
    """A whole small answer, kept so that a resend gets the same one.

    :param status: HTTP status code.
    :param headers: pairs of lower-case name and value.
    :param body: the whole body.
    """

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class RunLocally:
    """Decision: this daemon runs the request now, and nobody else does.

    :param run_id: name of the run, for ``DuplicateGuard.finish``.
    """

    run_id: str


@attrs.frozen
class Wait:
    """Decision: not made yet; a :class:`RequestDecided` effect brings it."""


@attrs.frozen
class RelayToDaemon:
    """Decision: another daemon decides.

    :param daemon_id: identifier of that daemon.
    """

    daemon_id: str


@attrs.frozen
class Replay:
    """Decision: the request has run before; this is its answer."""

    answer: StoredAnswer


@attrs.frozen
class Refuse:
    """Decision: the request ends with an error and does not run."""

    error: RequestError


Decision = RunLocally | Wait | RelayToDaemon | Replay | Refuse


@attrs.frozen
class RequestDecided:
    """Effect: the decision that an earlier :class:`Wait` left open.

    :param request_id: the request that waits.
    :param decision: any decision but :class:`Wait`.
    """

    request_id: str
    decision: Decision


@attrs.frozen
class GuardOutcome:
    """What the guard decided at once, and what has to be done for it.

    :param decision: what happens to the request.
    :param effects: effects for the runtime.
    """

    decision: Decision
    effects: tuple[object, ...] = ()
