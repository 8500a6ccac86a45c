"""Runs one daemon as a process."""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from typing import Any

from wagtailstep.commands.reload_settings import SettingsReloader
from wagtailstep.exceptions import SettingsError, WagtailstepError
from wagtailstep.network.daemon import Daemon
from wagtailstep.utils.logging import configure_logging, log_event

LOGGER = logging.getLogger(__name__)


DaemonFactory = Callable[[], Daemon]


def run_daemon(
    settings: Any,
    log_level: str,
    create_daemon: DaemonFactory,
    reread_settings: Callable[[], Any],
) -> bool:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    :param settings: all settings in the file, as ``Daemon.apply_settings`` takes them.
    :param log_level: lowest level that is logged at first.
    :param create_daemon: creates the daemon; called inside the event loop.
    :param reread_settings: reads the settings file again; called after SIGHUP and
        periodically.
    :return: whether all requests in flight completed within the drain limit.
    :raises SettingsError: if listening on an address fails.
    """
    configure_logging(log_level)
    try:
        return asyncio.run(serve_until_signal(settings, create_daemon, reread_settings))
    except* OSError as group:
        raise build_start_error(group) from None


async def serve_until_signal(
    settings: Any,
    create_daemon: DaemonFactory,
    reread_settings: Callable[[], Any],
) -> bool:
    """Serve until a signal requests shutdown."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    # A signal may come at any time; it is handled once the reloader exists.
    loop.add_signal_handler(signal.SIGHUP, lambda: reloader.reload())
    daemon = create_daemon()
    reloader = SettingsReloader(settings, reread_settings, daemon.apply_settings)
    await daemon.start()
    freeze_startup_objects()
    watch_task = asyncio.create_task(reloader.watch())
    await stop.wait()
    watch_task.cancel()
    log_event(LOGGER, "signal-received")
    # The shutdown must not rest on times that have just changed without a signal.
    reloader.reload_if_changed()
    return await daemon.shut_down()


def freeze_startup_objects() -> None:
    """Enable the garbage collector and exempt all objects that exist now.

    Modules and classes live as long as the process. Scanning them in each collection
    would delay requests.
    """
    gc.collect()
    gc.freeze()
    gc.enable()


def build_start_error(group: BaseExceptionGroup) -> WagtailstepError:
    """Combine listen failures into one error."""
    reasons = "; ".join(sorted(str(error) for error in _flatten(group)))
    return SettingsError(f"an address of the settings can't be used: {reasons}")


def _flatten(group: BaseExceptionGroup) -> list[BaseException]:
    errors: list[BaseException] = []
    for error in group.exceptions:
        is_group = isinstance(error, BaseExceptionGroup)
        errors.extend(_flatten(error) if is_group else [error])
    return errors
