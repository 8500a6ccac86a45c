"""An HTTP/1.1 server that runs in the daemon's process and event loop."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import uvicorn
from uvicorn.server import ServerState

from wagtailstep.models.connection import ConnectionEnd, ConnectionLimits
from wagtailstep.network.head_limits import LargeHeadMemory
from wagtailstep.network.http_protocol import ServerConnection

BACKLOG = 1_024
# Requests that were under way when the listener closed arrive within this time. A
# later one might not end before the limit of the drain.
ARRIVAL_S = 0.3


class HttpServer:
    """Serve one ASGI application on one address.

    uvicorn's workers, signal handlers and log configuration are not used.

    :param app: the application.
    :param announce_closing: called when the server stops accepting; from then on the
        application has to ask clients to close their persistent connections.
    :param get_limits: returns the limits of connections that are in force.
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
        self.head_memory = LargeHeadMemory()
        self.connection_changed = asyncio.Event()
        self.is_closing = False
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
        connection.get_limits = self.get_limits
        connection.head_limiter.memory = self.head_memory
        connection.on_change = self.connection_changed.set
        return connection

    def stop_accepting(self) -> None:
        """Accept no new connections and have the persistent ones close gradually.

        Until :meth:`drain` closes them, requests that arrive on persistent connections
        are served; their responses tell the client to close the connection.
        """
        self.announce_closing()
        self.is_closing = True
        if self.server is not None:
            self.server.close()

    async def drain(self, limit: timedelta) -> bool:
        """Wait until all requests have ended and their connections are closed.

        If the listener was closed before, idle connections are closed soon, so that no
        request arrives that the limit would cut off. Otherwise they are closed once no
        request is in flight. Returns when all response bytes have been flushed to the
        sockets.

        :param limit: maximum time to wait.
        :return: whether all requests ended in time.
        """
        limit_s = limit.total_seconds()
        try:
            async with asyncio.timeout(limit_s):
                if self.is_closing:
                    await asyncio.sleep(min(ARRIVAL_S, limit_s / 2))
                else:
                    await self.wait_for_handlers()
                await self.close_unused_connections()
                await self.wait_for_handlers()
        except TimeoutError:
            return not self.state.tasks and not self.has_unsent_data()
        return True

    def has_unsent_data(self) -> bool:
        """Return whether a response is complete but not yet sent as a whole."""
        return any(
            connection.transport.get_write_buffer_size()
            for connection in self.state.connections
        )

    async def wait_for_handlers(self) -> None:
        """Wait until no request is in flight."""
        while self.state.tasks:
            await asyncio.wait(set(self.state.tasks))

    async def close_unused_connections(self) -> None:
        """Close each connection once it is idle, until none is left."""
        while self.state.connections:
            self.connection_changed.clear()
            for connection in list(self.state.connections):
                if not (connection.transport.is_closing() or connection.is_responding):
                    connection.shutdown()
            if self.state.connections:
                await self.connection_changed.wait()

    async def close(self) -> None:
        """Close the listener and all connections, including those in use."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.state.connections):
            connection.record_end(ConnectionEnd.SERVER_STOPPED)
            # A request read from now on would be handled and cut off.
            connection.flow.pause_reading()
        for task in list(self.state.tasks):
            task.cancel()
        await asyncio.gather(*self.state.tasks, return_exceptions=True)
        for connection in list(self.state.connections):
            connection.transport.close()
