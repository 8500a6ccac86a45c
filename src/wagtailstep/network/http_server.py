"""An HTTP/1.1 server inside the daemon's own process and event loop."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import uvicorn
from uvicorn.server import ServerState

from wagtailstep.network.http_protocol import ServerConnection

MAX_HEAD_BYTES = 32_768
KEEP_ALIVE_S = 75
BACKLOG = 1_024


class HttpServer:
    """Serve one ASGI application on one address.

    Workers, signal handlers and log configuration of uvicorn are not used.

    :param app: the application.
    :param announce_closing: called once when kept connections are to be closed.
    """

    def __init__(self, app: Any, announce_closing: Callable[[], None]) -> None:
        self.announce_closing = announce_closing
        self.state = ServerState()
        self.connection_lost = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.config = uvicorn.Config(
            app=app,
            http=ServerConnection,
            ws="none",
            loop="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            h11_max_incomplete_event_size=MAX_HEAD_BYTES,
        )

    async def start(self, address: str) -> str:
        """Listen on ``host:port``; port 0 takes a free one.

        :return: ``host:port`` that is listened on.
        :raises OSError: if the address can't be listened on.
        """
        self.config.load()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.create_connection, host, int(port), backlog=BACKLOG
        )
        bound = self.server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def create_connection(self) -> ServerConnection:
        """Return the protocol of a new connection."""
        connection = ServerConnection(
            config=self.config, server_state=self.state, app_state={}
        )
        connection.on_connection_lost = self.connection_lost.set
        return connection

    def stop_accepting(self) -> None:
        """Take no new connection; kept ones are told to close at their next answer.

        Requests that arrive on kept connections are still served.
        """
        self.announce_closing()
        if self.server is not None:
            self.server.close()

    async def drain(self, limit: timedelta) -> bool:
        """Wait until no request is in flight, then close the idle connections.

        With the listener closed before, nothing can arrive afterwards. Returns only
        when the last bytes of the answers have left this process.

        :param limit: longest time to wait.
        :return: whether all requests ended in time.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                while self.state.tasks:
                    await asyncio.wait(set(self.state.tasks))
                await self.close_idle_connections()
        except TimeoutError:
            return False
        return True

    async def close_idle_connections(self) -> None:
        """Close connections without a request and wait until they are flushed."""
        while self.state.connections:
            self.connection_lost.clear()
            for connection in list(self.state.connections):
                if not connection.transport.is_closing():
                    connection.shutdown()
            if self.state.connections:
                await self.connection_lost.wait()

    async def close(self) -> None:
        """Close the listener and all connections, in use or not."""
        if self.server is not None:
            self.server.close()
        for task in list(self.state.tasks):
            task.cancel()
        await asyncio.gather(*self.state.tasks, return_exceptions=True)
        for connection in list(self.state.connections):
            connection.transport.close()
