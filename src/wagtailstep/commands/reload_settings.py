"""Taking what changes in the settings file while the daemon runs."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from wagtailstep.exceptions import SettingsError
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# A file may change without a signal; reading it takes about a millisecond.
CHECK_INTERVAL_S = 5.0


class SettingsReloader:
    """Read the settings again after a signal, and now and then without one.

    The log level is taken at once. Any other change needs a restart, which the log
    says; a file that is wrong changes nothing.

    :param settings: the settings that the daemon was started with.
    :param read_again: reads the file.
    """

    def __init__(
        self, settings: DaemonSettings, read_again: Callable[[], DaemonSettings]
    ) -> None:
        self.started_with = settings
        self.read_again = read_again
        self.newest: DaemonSettings | str = settings

    def reload(self) -> None:
        """Read the file and log what it means, as a signal asks for."""
        self.take(self.read())

    def check(self) -> None:
        """Read the file and take it if it is not as it was."""
        newest = self.read()
        if newest != self.newest:
            self.take(newest)

    async def watch(self) -> None:
        """Check the file until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def read(self) -> DaemonSettings | str:
        """Return the settings in the file, or why there are none."""
        try:
            return self.read_again()
        except SettingsError as error:
            return str(error)

    def take(self, newest: DaemonSettings | str) -> None:
        """Take settings, or log what is wrong with them."""
        self.newest = newest
        if isinstance(newest, str):
            log_event(LOGGER, "settings-not-reloaded", logging.ERROR, error=newest)
            return
        logging.getLogger().setLevel(newest.log_level)
        same_level = attrs.evolve(newest, log_level=self.started_with.log_level)
        needs_restart = same_level != self.started_with
        log_event(LOGGER, "settings-reloaded", needs_restart=needs_restart)
