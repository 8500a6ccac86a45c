"""Applies changes of the settings file while the daemon runs."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from wagtailstep.exceptions import SettingsError
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# The file may change without a signal.
FILE_CHECK_INTERVAL_S = 5.0


class SettingsReloader:
    """Reload the settings after a signal, and periodically without one.

    A changed log level is applied at once. Any other change needs a restart, which is
    logged. An invalid file changes nothing.

    :param settings: the settings that the daemon was started with.
    :param reread_settings: reads the settings file.
    """

    def __init__(
        self, settings: DaemonSettings, reread_settings: Callable[[], DaemonSettings]
    ) -> None:
        self.startup_settings = settings
        self.reread_settings = reread_settings
        self.newest_settings: DaemonSettings | str = settings

    def reload(self) -> None:
        """Read the file, apply it and log the result, even if it is unchanged."""
        self.apply(self.read_settings_or_error())

    def reload_if_changed(self) -> None:
        """Read the file and apply it if it has changed since the last read."""
        newest_settings = self.read_settings_or_error()
        if newest_settings != self.newest_settings:
            self.apply(newest_settings)

    async def watch(self) -> None:
        """Check the file for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            self.reload_if_changed()

    def read_settings_or_error(self) -> DaemonSettings | str:
        """Return the settings in the file, or the error message if it is invalid."""
        try:
            return self.reread_settings()
        except SettingsError as error:
            return str(error)

    def apply(self, newest_settings: DaemonSettings | str) -> None:
        """Apply settings, or log the error if the file was invalid."""
        self.newest_settings = newest_settings
        if isinstance(newest_settings, str):
            log_event(
                LOGGER, "settings-not-reloaded", logging.ERROR, error=newest_settings
            )
            return
        logging.getLogger().setLevel(newest_settings.log_level)
        same_level = attrs.evolve(
            newest_settings, log_level=self.startup_settings.log_level
        )
        needs_restart = same_level != self.startup_settings
        log_event(LOGGER, "settings-reloaded", needs_restart=needs_restart)
