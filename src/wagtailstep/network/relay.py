"""Relays requests to the entry of the daemon that issued their idempotency key."""

from datetime import timedelta

import attrs

from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import (
    RELAYED,
    TIMEOUT_MS,
    Headers,
    build_forwarded_headers,
    replace_headers,
)
from wagtailstep.network.forwarder import read_verdict
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest

MILLISECOND = timedelta(milliseconds=1)


class HttpRelay:
    """Relay requests to the entries of other daemons.

    :param client: sends requests to the gate ports of other daemons.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def relay(
        self, member: Member, incoming: IncomingRequest, time_left: timedelta
    ) -> Answer:
        """Send the request once to the entry behind ``member.gate_address``.

        :return: the response, with the other entry's verdict.
        :raises RequestError: if there is no response.
        """
        request = HttpRequest(
            address=member.gate_address,
            method=incoming.method,
            path=incoming.path,
            headers=build_relay_headers(incoming.headers, time_left),
            body=incoming.body,
            idempotent=False,
            time_left=time_left,
        )
        answer = await self.client.send(request)
        return attrs.evolve(answer, verdict=read_verdict(answer.headers))


def build_relay_headers(headers: Headers, time_left: timedelta) -> Headers:
    """Return the caller's headers with the remaining timeout and the relay mark."""
    time_left_ms = max(1, int(time_left / MILLISECOND))
    return replace_headers(
        build_forwarded_headers(headers),
        (TIMEOUT_MS, str(time_left_ms)),
        (RELAYED, "?1"),
    )
