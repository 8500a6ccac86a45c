"""Client for a service of the platform; each request is sent once."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar

import attrs
import msgspec

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogError,
    LogUnavailableError,
    RequestError,
)
from wagtailstep.models.headers import Headers
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import DECODE_FAILURES
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# Services respond with these before a call has any effect.
STATUSES_WITHOUT_EFFECT = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    }
)
# Below the usual idle timeout of servers, so that few calls hit a closed connection.
MAX_IDLE_MS = 2_000
# Far more than a page of records, and little enough for the smallest instances.
MAX_REPLY_BYTES = 8 * 1_048_576

_T = TypeVar("_T")


@attrs.frozen
class HttpReply:
    """A complete response.

    :param status: HTTP status code.
    :param body: the complete body.
    :param headers: header fields.
    """

    status: int
    body: bytes
    headers: Headers = ()

    def get_ok_body(self) -> bytes:
        """Return the body of a response with status 200.

        :raises LogUnavailableError: if it has another status.
        """
        if self.status != HTTPStatus.OK:
            raise LogUnavailableError(f"the response has status {self.status}")
        return self.body


class ServiceClient:
    """Call one service over a pool of connections.

    :param name: name of the service in error messages.
    :param address: ``host:port`` of the service.
    :param connect_timeout: timeout for opening a connection.
    :param clock: measures how long pooled connections are idle.
    """

    def __init__(
        self, name: str, address: str, connect_timeout: timedelta, clock: Clock
    ) -> None:
        self.name = name
        self.address = address
        self.settings = RequestSettings(
            connection_idle_ms=MAX_IDLE_MS,
            connect_timeout_ms=connect_timeout // timedelta(milliseconds=1),
        )
        self.clock = clock
        self.client = HttpClient(self.settings, clock)
        self.on_end: Callable[[str], None] = do_nothing
        self.reads: set[asyncio.Task[HttpReply]] = set()
        self.interrupted_reads: set[asyncio.Task[HttpReply]] = set()

    def change_address(self, address: str) -> None:
        """Call the service at another address from now on.

        Reads under way, which may wait long, are sent again there. Other calls end
        where they were sent, since they may have had their effect.
        """
        if address == self.address:
            return
        log_event(LOGGER, "service-address-changed", service=self.name, address=address)
        self.address = address
        self.client.close()
        self.client = HttpClient(self.settings, self.clock)
        for task in self.reads:
            self.interrupted_reads.add(task)
            task.cancel()

    async def call(
        self, method: str, path: str, body: bytes, timeout: timedelta
    ) -> HttpReply:
        """Send a request once; only a ``GET`` may use a long-idle pooled connection.

        :param timeout: time within which the complete response must arrive.
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
            content = await read_complete_body(answer, MAX_REPLY_BYTES)
            reply = HttpReply(answer.status, content, answer.headers)
        except RequestError as error:
            self.on_end(error.reason)
            raise
        self.on_end(f"status-{reply.status}")
        return reply

    async def read(self, path: str, timeout: timedelta) -> HttpReply:
        """Send a ``GET``; a failure of any kind counts as unavailable.

        :raises LogUnavailableError: if there was no complete response in time.
        """
        while True:
            task = asyncio.ensure_future(self.call("GET", path, b"", timeout))
            self.reads.add(task)
            try:
                return await task
            except RequestError as error:
                message = f"{self.name} can't be read: {error}"
                raise LogUnavailableError(message) from error
            except asyncio.CancelledError:
                if task not in self.interrupted_reads or is_being_cancelled():
                    raise
            finally:
                self.reads.discard(task)
                self.interrupted_reads.discard(task)

    async def append(self, path: str, body: bytes, timeout: timedelta) -> HttpReply:
        """Send a ``POST`` that appends.

        :raises LogUnavailableError: if the append certainly had no effect.
        :raises AppendUnknownError: if the append may have taken effect.
        """
        try:
            return await self.call("POST", path, body, timeout)
        except RequestError as error:
            raise build_append_error(error) from error

    def close(self) -> None:
        """Close the pooled connections."""
        self.client.close()


def is_being_cancelled() -> bool:
    """Return whether the cancellation of the running task was requested."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def build_append_error(error: RequestError) -> LogError:
    """Return the error of an append whose request failed."""
    if error.verdict is Verdict.NOT_RUN:
        return LogUnavailableError(f"{error}; the append was not sent")
    return AppendUnknownError(f"{error}; the append was sent, but not acknowledged")


def check_append(reply: HttpReply) -> None:
    """Check the status of the response to an append.

    :raises LogUnavailableError: if the append certainly had no effect.
    :raises AppendUnknownError: if the append may have taken effect.
    """
    message = f"the append was answered with status {reply.status}"
    if reply.status in STATUSES_WITHOUT_EFFECT:
        raise LogUnavailableError(message)
    if reply.status != HTTPStatus.OK:
        raise AppendUnknownError(message)


def decode_json(body: bytes, kind: type[_T]) -> _T:
    """Decode the JSON body of a response.

    :raises LogUnavailableError: if it is malformed.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_FAILURES as error:
        raise LogUnavailableError(f"the response is malformed: {error}") from error
