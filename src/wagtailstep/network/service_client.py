"""Calls to a service of the platform, each sent once and answered whole."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogError,
    LogUnavailableError,
    RequestError,
)
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.clock import Clock

# Shorter than servers commonly keep an idle connection, so that few calls fail.
MAX_IDLE_MS = 2_000


@attrs.frozen
class HttpReply:
    """A whole answer.

    :param status: HTTP status code.
    :param body: the whole body.
    """

    status: int
    body: bytes


class ServiceClient:
    """Call one service over a pool of connections.

    :param name: what errors call the service.
    :param address: ``host:port`` of the service.
    :param connect_timeout: time to open a connection.
    :param clock: ages kept connections.
    """

    def __init__(
        self, name: str, address: str, connect_timeout: timedelta, clock: Clock
    ) -> None:
        self.name = name
        self.address = address
        settings = RequestSettings(
            connection_idle_ms=MAX_IDLE_MS,
            connect_timeout_ms=connect_timeout // timedelta(milliseconds=1),
        )
        self.client = HttpClient(settings, clock)
        self.on_end: Callable[[str], None] = do_nothing

    async def call(
        self, method: str, path: str, body: bytes, timeout: timedelta
    ) -> HttpReply:
        """Send one request, once; only reads may use an old kept connection.

        :param timeout: time until the whole answer must have arrived.
        :raises RequestError: ``NOT_RUN`` only if nothing was sent.
        """
        request = HttpRequest(
            address=self.address,
            method=method,
            path=path,
            headers=(
                ("host", self.address),
                ("content-type", "application/octet-stream"),
                ("content-length", str(len(body))),
            ),
            body=yield_body(body),
            idempotent=method == "GET",
            time_left=timeout,
        )
        try:
            answer = await self.client.send(request)
            reply = HttpReply(answer.status, await read_complete_body(answer))
        except RequestError as error:
            self.on_end(error.reason)
            raise
        self.on_end(f"status-{reply.status}")
        return reply

    async def read(self, path: str, timeout: timedelta) -> HttpReply:
        """Send a ``GET``; any failure means that the service can't be read now.

        :raises LogUnavailableError: if there was no whole answer in time.
        """
        try:
            return await self.call("GET", path, b"", timeout)
        except RequestError as error:
            raise LogUnavailableError(f"{self.name} can't be read: {error}") from error

    async def append(self, path: str, body: bytes, timeout: timedelta) -> HttpReply:
        """Send a ``POST`` that appends.

        :raises LogUnavailableError: if it certainly had no effect.
        :raises AppendUnknownError: if it may have taken effect.
        """
        try:
            return await self.call("POST", path, body, timeout)
        except RequestError as error:
            raise build_append_error(error) from error

    def close(self) -> None:
        """Close the kept connections."""
        self.client.close()


def build_append_error(error: RequestError) -> LogError:
    """Say what a failed request means for an append."""
    if error.verdict is Verdict.NOT_RUN:
        return LogUnavailableError(f"{error}; the append was not sent")
    return AppendUnknownError(f"{error}; the append was sent and not answered")
