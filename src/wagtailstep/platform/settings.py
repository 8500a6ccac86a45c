"""Settings of a daemon on the platform, rendered by ``deploy/settings.json``."""

import attrs

from wagtailstep.models.settings import DaemonSettings, check_address, positive


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
    """

    daemon: DaemonSettings
    store: StoreSettings
