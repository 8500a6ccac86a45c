"""Asking daemons about themselves over HTTP."""

from datetime import timedelta
from typing import TypeVar

import msgspec

from wagtailstep.exceptions import ConnectionFailedError
from wagtailstep.models.events import TimelineEvent
from wagtailstep.models.status import DaemonStatus
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_whole
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body

REQUEST_TIMEOUT = timedelta(seconds=3)
STATUS_OK = 200
_T = TypeVar("_T")


class DaemonClient:
    """Read what daemons tell about themselves.

    :param client: reaches the daemons' caller addresses.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def fetch(self, address: str) -> list[TimelineEvent]:
        """Return the events that a daemon keeps in memory.

        :raises RequestError: if it did not answer.
        """
        return await self.fetch_resource(address, "events", list[TimelineEvent])

    async def fetch_status(self, address: str) -> DaemonStatus:
        """Return a daemon's status.

        :raises RequestError: if it did not answer.
        """
        return await self.fetch_resource(address, "status", DaemonStatus)

    async def fetch_resource(
        self, address: str, name: str, response_type: type[_T]
    ) -> _T:
        """Ask for one of the daemon's own paths.

        :raises RequestError: if it did not answer, or with something else.
        """
        request = HttpRequest(
            address=address,
            method="GET",
            path=f"/.wagtailstep/{name}",
            headers=(("host", address),),
            body=yield_body(b""),
            idempotent=True,
            time_left=REQUEST_TIMEOUT,
        )
        response = await self.client.send(request)
        data = await read_whole(response)
        try:
            if response.status == STATUS_OK:
                return msgspec.json.decode(data, type=response_type)
        except msgspec.MsgspecError:
            pass
        message = f"{address} is not a daemon: it answered with {response.status}"
        raise ConnectionFailedError(message, Verdict.RUN)
