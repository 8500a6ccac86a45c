"""Requests and responses with streamed bodies, and interfaces to forward them."""

from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from typing import Protocol

import attrs

from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import Headers
from wagtailstep.models.request import RequestContext
from wagtailstep.models.verdict import Verdict


async def _noop_close() -> None:
    return None


@attrs.define
class IncomingRequest:
    """A request as an adapter read it, before its headers are interpreted.

    :param method: HTTP method in capitals.
    :param path: path and query string.
    :param headers: pairs of lower-case name and value. They may hold the key of a
        client account, so they are left out of ``repr``.
    :param body: chunks of the body; reading it applies back-pressure. Reading raises
        :class:`wagtailstep.exceptions.BadRequestError` if the caller truncated it.
    :param caller_ip: IP address of the caller; empty if it is not known.
    :param from_daemon: whether another daemon's entry sent it.
    """

    method: str
    path: str
    headers: Headers = attrs.field(repr=False)
    body: AsyncIterator[bytes]
    caller_ip: str = ""
    from_daemon: bool = False


@attrs.define
class Answer:
    """A response whose body may still be arriving.

    :param status: HTTP status code.
    :param headers: pairs of lower-case name and value, without hop-by-hop headers.
    :param body: chunks of the body. Reading raises
        :class:`wagtailstep.exceptions.TruncatedAnswerError` if it ends early.
    :param verdict: whether a backend server may have run the request.
    :param close: releases the connection; called exactly once, also after an
        incomplete response. Closing a response before its end closes the connection.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    verdict: Verdict
    close: Callable[[], Awaitable[None]] = _noop_close


class Forwarder(Protocol):
    """Sends an attempt of a request to the gate beside a target."""

    async def forward(
        self,
        request: RequestContext,
        gate: Member,
        target_id: str,
        incoming: IncomingRequest,
        time_left: timedelta,
    ) -> Answer:
        """Send the request exactly once and return when the response head arrives.

        The response body also has to end within ``time_left``; otherwise reading it
        raises :class:`wagtailstep.exceptions.TruncatedAnswerError`. Cancelling the
        call closes the connection, which cancels the attempt at the gate.

        :raises RequestError: with the verdict, which is ``NOT_RUN`` only if that is
            certain.
        """


class Relay(Protocol):
    """Relays a request to the daemon that is in charge of its idempotency key."""

    async def relay(
        self, member: Member, incoming: IncomingRequest, time_left: timedelta
    ) -> Answer:
        """Send the request once, headers unchanged, to ``member.gate_address``.

        The other daemon recognises a relayed request by its
        :data:`wagtailstep.models.headers.RELAYED` header and passes it to
        ``EntryService.handle``. The verdict is taken from the
        :data:`wagtailstep.models.headers.VERDICT` header of the response.

        :raises RequestError: if there is no response; resending is always safe,
            because the other daemon recognises the key.
        """
