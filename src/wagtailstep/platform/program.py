"""Commands of the program that the platform starts on each machine."""

import os
import sys

from wagtailstep.cli import status_codes
from wagtailstep.cli.run import run_program
from wagtailstep.commands.read_settings import read_settings
from wagtailstep.commands.run_daemon import run_daemon
from wagtailstep.exceptions import SettingsError
from wagtailstep.platform.daemon import PlatformDaemon
from wagtailstep.platform.settings import PlatformSettings
from wagtailstep.utils.clock import LoopClock

FILE_VARIABLE = "WAGTAILSTEP_NODE_FILE"


def run() -> int:
    """Run a daemon on the platform until SIGTERM.

    Exit codes are the same as for ``wagtailstep-daemon run``.
    """
    settings = read_platform_settings()
    drained = run_daemon(
        settings,
        settings.daemon.log_level,
        lambda: PlatformDaemon(settings, LoopClock()),
        read_platform_settings,
    )
    return status_codes.SUCCESS if drained else status_codes.ERROR


def check() -> int:
    """Validate the settings file without starting the daemon."""
    print(f"ok: settings of daemon {read_platform_settings().daemon.daemon_id}")
    return status_codes.SUCCESS


def read_platform_settings() -> PlatformSettings:
    """Read the settings file named by the platform in an environment variable.

    :raises SettingsError: if the file is missing or invalid.
    """
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise SettingsError(
            f"variable {FILE_VARIABLE} is not set; it names the settings file"
        )
    return read_settings(path, PlatformSettings)


def main() -> None:
    """Run the program."""
    sys.exit(run_program({"run": run, "check": check}, "wagtailstep-platform"))
