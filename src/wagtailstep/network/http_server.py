"""An HTTP/1.1 server that runs in the daemon's process and event loop."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import uvicorn
from uvicorn.server import ServerState

from wagtailstep.models.connection import ConnectionEnd, ConnectionLimits
from wagtailstep.network.http_protocol import ServerConnection

MAX_HEAD_BYTES = 32_768
BACKLOG = 1_024


class HttpServer:
    """Serve one ASGI application on one address.

    uvicorn's workers, signal handlers and log configuration are not used.

    :param app: the application.
    :param announce_closing: called when the server stops accepting; from then on the
        application has to ask clients to close their persistent connections.
    :param get_limits: returns the time limits of connections that are in force.
    """

    def __init__(
        self,
        app: Any,
        announce_closing: Callable[[], None],
        get_limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    ) -> None:
        self.announce_closing = announce_closing
        self.get_limits = get_limits
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
            h11_max_incomplete_event_size=MAX_HEAD_BYTES,
        )

    async def start(self, address: str) -> str:
        """Listen on ``host:port``; port 0 selects a free port.

        :return: the ``host:port`` that the server listens on.
        :raises OSError: if the address can't be bound.
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
        """Create the protocol object for a new connection."""
        connection = ServerConnection(
            config=self.config, server_state=self.state, app_state={}
        )
        connection.on_connection_lost = self.connection_lost.set
        connection.get_limits = self.get_limits
        return connection

    def stop_accepting(self) -> None:
        """Accept no new connections and have the persistent ones close gradually.

        Requests that arrive on persistent connections are still served; their
        responses tell the client to close the connection.
        """
        self.announce_closing()
        if self.server is not None:
            self.server.close()

    async def drain(self, limit: timedelta) -> bool:
        """Wait until no request is in flight, then close the idle connections.

        If the listener was closed before, no request can arrive afterwards. Returns
        once all response bytes have been flushed to the sockets.

        :param limit: maximum time to wait.
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
        """Close idle connections and wait until their data has been flushed."""
        while self.state.connections:
            self.connection_lost.clear()
            for connection in list(self.state.connections):
                if not connection.transport.is_closing():
                    connection.shutdown()
            if self.state.connections:
                await self.connection_lost.wait()

    async def close(self) -> None:
        """Close the listener and all connections, including those in use."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.state.connections):
            connection.record_end(ConnectionEnd.SERVER_STOPPED)
        for task in list(self.state.tasks):
            task.cancel()
        await asyncio.gather(*self.state.tasks, return_exceptions=True)
        for connection in list(self.state.connections):
            connection.transport.close()
