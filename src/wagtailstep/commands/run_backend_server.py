"""Run one backend server stand-in as a process."""

import asyncio
import signal

from wagtailstep.fakes.backend_server import BackendServerSettings, serve


def run_backend_server(settings: BackendServerSettings) -> None:
    """Serve until SIGTERM or SIGINT, then leave, finish and return."""
    asyncio.run(serve_until_signal(settings))


async def serve_until_signal(settings: BackendServerSettings) -> None:
    """Serve until a signal asks to leave."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await serve(settings, stop)
