"""A plain round-robin proxy, the baseline of the request benchmark.

It forwards each request to the next backend server, regardless of its health, and
responds to a failure with status 502. It has no gate, no limits and no retries.
``python -m benchmarks.round_robin ADDRESS TARGET...``
"""

import asyncio
import itertools
import signal
import sys
from datetime import timedelta

from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.headers import IDEMPOTENT_METHODS, TIMEOUT_MS, find_header
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.exchange_app import ExchangeApp
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.http_server import HttpServer
from wagtailstep.utils.clock import LoopClock

DEFAULT_TIMEOUT_MS = 30_000


class RoundRobinProxy:
    """Forward requests to the targets in turn.

    :param targets: ``host:port`` of the backend servers.
    """

    def __init__(self, targets: list[str]) -> None:
        self.targets = itertools.cycle(targets)
        self.client = HttpClient(RequestSettings(), LoopClock())

    async def handle(self, incoming: IncomingRequest) -> Answer:
        """Forward one request."""
        time_left_ms = find_header(incoming.headers, TIMEOUT_MS) or DEFAULT_TIMEOUT_MS
        request = HttpRequest(
            address=next(self.targets),
            method=incoming.method,
            path=incoming.path,
            headers=incoming.headers,
            body=incoming.body,
            idempotent=incoming.method in IDEMPOTENT_METHODS,
            time_left=timedelta(milliseconds=int(time_left_ms)),
        )
        return await self.client.send(request)


async def serve(address: str, targets: list[str]) -> None:
    """Serve until SIGTERM."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    app = ExchangeApp(RoundRobinProxy(targets).handle)
    server = HttpServer(app, app.announce_closing)
    await server.start(address)
    await stop.wait()
    await server.close()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2:]))
