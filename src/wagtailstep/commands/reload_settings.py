"""Applies changes of the settings file while the daemon runs."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from wagtailstep.exceptions import SettingsError
from wagtailstep.models.settings import (
    RELOADED_SETTINGS,
    DaemonSettings,
    list_changes,
)
from wagtailstep.utils.callbacks import return_argument
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# The file may change without a signal.
FILE_CHECK_INTERVAL_S = 5.0


class SettingsReloader:
    """Reload the settings after a signal, and periodically without one.

    ``RELOADED_SETTINGS``, and what else ``apply_settings`` applies, take effect at
    once. Any other change needs a restart, which is logged once with the name of the
    setting. An invalid file changes nothing.

    :param settings: the settings in the file that the daemon was started with.
    :param reread_settings: reads the settings file.
    :param apply_settings: applies what needs no restart of the settings in the file;
        returns those of the daemon among them.
    """

    def __init__(
        self,
        settings: Any,
        reread_settings: Callable[[], Any],
        apply_settings: Callable[[Any], DaemonSettings] = return_argument,
    ) -> None:
        self.reread_settings = reread_settings
        self.apply_settings = apply_settings
        self.startup_settings = apply_settings(settings)
        self.newest_settings = settings
        self.reported: set[str] = set()

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

    def read_settings_or_error(self) -> Any:
        """Return the settings in the file, or the error message if it is invalid."""
        try:
            return self.reread_settings()
        except SettingsError as error:
            return str(error)

    def apply(self, newest_settings: Any) -> None:
        """Apply settings, or log the error if the file was invalid.

        :param newest_settings: the settings, or the error message.
        """
        self.newest_settings = newest_settings
        error = newest_settings
        if not isinstance(newest_settings, str):
            try:
                settings = self.apply_settings(newest_settings)
                error = None
            except SettingsError as raised:
                error = raised
        if error is not None:
            log_event(LOGGER, "settings-not-reloaded", logging.ERROR, error=error)
            return
        logging.getLogger().setLevel(settings.log_level)
        changed = set(list_changes(self.startup_settings, settings))
        unapplied = changed - RELOADED_SETTINGS
        fields = {"needs_restart": bool(unapplied)}
        if not unapplied <= self.reported:
            fields["not_applied"] = ",".join(sorted(unapplied - self.reported))
        self.reported |= unapplied
        log_event(LOGGER, "settings-reloaded", **fields)
