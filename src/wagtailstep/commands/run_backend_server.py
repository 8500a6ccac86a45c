"""Runs backend server stand-ins in one process."""

import asyncio
import signal
from collections.abc import Sequence

from wagtailstep.exceptions import SettingsError
from wagtailstep.fakes.backend_server import BackendServerSettings, serve


def run_backend_servers(servers: Sequence[BackendServerSettings]) -> None:
    """Serve until SIGTERM or SIGINT, then drain all stand-ins and return.

    :param servers: settings of each stand-in.
    :raises SettingsError: if listening on an address fails.
    """
    try:
        asyncio.run(serve_until_signal(servers))
    except OSError as error:
        raise SettingsError(f"an address can't be listened on: {error}") from error


async def serve_until_signal(servers: Sequence[BackendServerSettings]) -> None:
    """Serve until a signal requests shutdown, then drain all stand-ins."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await asyncio.gather(*(serve(settings, stop) for settings in servers))
