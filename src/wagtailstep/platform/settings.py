"""Settings of a daemon on the platform, rendered by ``deploy/settings.json``."""

from typing import Any

import attrs

from wagtailstep.exceptions import DecodeError
from wagtailstep.models.settings import (
    DaemonSettings,
    SettingValueError,
    check_address,
    fit_to_grace,
    positive,
)
from wagtailstep.utils.durations import parse_positive_duration


@attrs.frozen
class StoreSettings:
    """Settings of the connection to the platform's metadata store.

    :param address: ``host:port`` of the store.
    :param timeout_ms: timeout of a call, in addition to the wait time of a long poll.
    """

    address: str = attrs.field(validator=check_address)
    timeout_ms: int = positive(1_000)


@attrs.frozen
class PlatformSettings:
    """All settings of one daemon on the platform.

    :param daemon: settings of the daemon.
    :param store: settings of the platform's metadata store.
    :param bounds: the platform's time limits and other bounds by name. ``grace`` is the
        time between SIGTERM and SIGKILL. Without it, a daemon that shuts down waits for
        its requests as long as the drain limits of the table allow.
    """

    daemon: DaemonSettings
    store: StoreSettings
    bounds: dict[str, Any] = attrs.field(factory=dict)

    def build_daemon_settings(self) -> DaemonSettings:
        """Return the settings of the daemon with its shutdown fitted to the grace.

        :raises SettingValueError: if the grace is malformed.
        """
        text = self.bounds.get("grace")
        if text is None:
            return self.daemon
        try:
            return fit_to_grace(self.daemon, parse_positive_duration(text))
        except (DecodeError, TypeError) as error:
            message = f"key bounds.grace: {error}"
            raise SettingValueError("bounds.grace", message) from error
