"""Requests and answers with streamed bodies, and how one daemon reaches another."""

from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from typing import Protocol

import attrs

from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import Headers
from wagtailstep.models.request import RequestContext
from wagtailstep.models.verdict import Verdict


async def _close_nothing() -> None:
    return None


@attrs.define
class IncomingRequest:
    """A request as an adapter read it, before its headers are interpreted.

    :param method: HTTP method in capitals.
    :param path: path and query string.
    :param headers: pairs of lower-case name and value.
    :param body: chunks of the body; reading it applies back-pressure. It raises
        :class:`wagtailstep.exceptions.BadRequestError` if the caller cut it.
    :param peer: IP number of the caller; empty if it is not known.
    """

    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]
    caller_ip: str = ""


@attrs.define
class Answer:
    """An answer whose body may still be on its way.

    :param status: HTTP status code.
    :param headers: pairs of lower-case name and value, hop-by-hop ones left out.
    :param body: chunks of the body. It raises
        :class:`wagtailstep.exceptions.TruncatedAnswerError` if it ends early.
    :param verdict: whether a backend server may have run the request.
    :param close: releases the connection; called once, whole answer or not. An
        answer closed before its end closes its connection as well.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    verdict: Verdict
    close: Callable[[], Awaitable[None]] = _close_nothing


class Forwarder(Protocol):
    """Send one attempt at a request to the gate beside a target."""

    async def forward(
        self,
        request: RequestContext,
        gate: Member,
        target_id: str,
        incoming: IncomingRequest,
        time_left: timedelta,
    ) -> Answer:
        """Send the request once, never again, and return the answer's head.

        The answer's body has to end within ``time_left`` as well; one that doesn't
        raises :class:`wagtailstep.exceptions.TruncatedAnswerError`. Cancelling the
        call closes the connection, which tells the gate.

        :raises RequestError: with the verdict; ``NOT_RUN`` only as a fact.
        """


class Relay(Protocol):
    """Pass a request on to the entry of another daemon, because of its key."""

    async def relay(
        self, member: Member, incoming: IncomingRequest, time_left: timedelta
    ) -> Answer:
        """Send the request once, headers unchanged, to ``member.gate_address``.

        The other daemon hands it to its ``EntryService.handle``; it tells such a
        request by its :data:`wagtailstep.models.headers.RELAYED` header. The
        answer's verdict is that of its :data:`wagtailstep.models.headers.VERDICT`
        header.

        :raises RequestError: if there is no answer; resending is always safe,
            because the other daemon recognises the key.
        """
