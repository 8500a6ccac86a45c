"""HTTP client of the status and event endpoints of daemons."""

from datetime import timedelta
from typing import TypeVar

import msgspec

from wagtailstep.exceptions import ConnectionFailedError
from wagtailstep.models.events import TimelineEvent
from wagtailstep.models.status import DaemonStatus
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.codec import DECODE_FAILURES

REQUEST_TIMEOUT = timedelta(seconds=3)
STATUS_OK = 200
_T = TypeVar("_T")


class DaemonClient:
    """Fetch the status and the recent events of daemons.

    :param client: sends the requests to the daemons' caller addresses.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def fetch(self, address: str) -> list[TimelineEvent]:
        """Return the events that a daemon keeps in memory.

        :raises RequestError: if there is no valid response.
        """
        return await self.fetch_resource(address, "events", list[TimelineEvent])

    async def fetch_status(self, address: str) -> DaemonStatus:
        """Return a daemon's status.

        :raises RequestError: if there is no valid response.
        """
        return await self.fetch_resource(address, "status", DaemonStatus)

    async def fetch_resource(
        self, address: str, name: str, response_type: type[_T]
    ) -> _T:
        """Fetch and decode a resource under the daemon's reserved path.

        :raises RequestError: if there is no valid response.
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
        data = await read_complete_body(response)
        try:
            if response.status == STATUS_OK:
                return msgspec.json.decode(data, type=response_type)
        except DECODE_FAILURES:
            pass
        message = (
            f"{address} did not respond as a daemon does: HTTP status {response.status}"
        )
        raise ConnectionFailedError(message, Verdict.RUN)
