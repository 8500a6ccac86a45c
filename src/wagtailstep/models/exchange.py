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
    """

    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]


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

        Cancelling the call closes the connection, which tells the gate.

        :raises RequestError: with the verdict; ``NOT_RUN`` only as a fact.
        """
