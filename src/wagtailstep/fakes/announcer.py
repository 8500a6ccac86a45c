"""Announces a backend server stand-in to the local daemon."""

import asyncio
import logging
from datetime import timedelta
from urllib.parse import quote

import attrs
import msgspec

from wagtailstep.exceptions import RequestError
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock
from wagtailstep.utils.logging import log_event

logger = logging.getLogger(__name__)

ANNOUNCE_INTERVAL_MS = 500
ANNOUNCE_TIMEOUT = timedelta(milliseconds=400)


@attrs.frozen
class Announcement:
    """Body of an announcement to the local daemon.

    :param address: ``host:port`` of the backend server.
    :param slots: number of requests that it runs concurrently.
    """

    address: str
    slots: int


class Announcer:
    """Announces one backend server, renews the announcement and withdraws it.

    :param announce_address: ``host:port`` of the daemon's announcement endpoint.
    :param service: name of the service.
    :param announcement: the announcement to send.
    """

    def __init__(
        self, announce_address: str, service: str, announcement: Announcement
    ) -> None:
        self.announce_address = announce_address
        self.path = f"/v1/targets/{service}"
        self.announcement = announcement
        self.client = HttpClient(RequestSettings(), LoopClock())

    async def run(self) -> None:
        """Renew the announcement periodically until cancelled; failures are retried."""
        while True:
            await self.send_announcement("PUT", self.path)
            await asyncio.sleep(ANNOUNCE_INTERVAL_MS / 1000)

    async def withdraw(self) -> None:
        """Withdraw the announcement, so that no new work is routed here."""
        path = f"{self.path}?address={quote(self.announcement.address)}"
        await self.send_announcement("DELETE", path)
        self.client.close()

    async def send_announcement(self, method: str, path: str) -> bool:
        """Send one announcement.

        :return: whether the daemon accepted it.
        """
        data = msgspec.json.encode(self.announcement)
        request = HttpRequest(
            address=self.announce_address,
            method=method,
            path=path,
            headers=(
                ("content-type", "application/json"),
                ("content-length", str(len(data))),
            ),
            body=yield_body(data),
            idempotent=True,
            time_left=ANNOUNCE_TIMEOUT,
        )
        try:
            answer = await self.client.send(request)
            async for _ in answer.body:
                pass
        except RequestError as error:
            log_event(logger, "announcement-failed", error=str(error))
            return False
        if answer.status >= 300:
            log_event(logger, "announcement-refused", status=answer.status)
        return answer.status < 300
