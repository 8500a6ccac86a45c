"""The program ``wagtailstep-daemon``."""

import sys

from wagtailstep.cli import status_codes
from wagtailstep.cli.run import run_program
from wagtailstep.commands.read_settings import read_settings
from wagtailstep.commands.run_daemon import run_daemon
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.log_daemon import LogDaemon
from wagtailstep.utils.clock import LoopClock


def run(file: str) -> int:
    """Run a daemon until SIGTERM, then shut down gracefully.

    Exit codes: 0 all requests in flight completed, 1 some were aborted at the
    drain limit, 2 a setting is invalid.

    :param file: path of the JSON settings file.
    """
    settings = read_settings(str(file), DaemonSettings)
    drained = run_daemon(
        settings,
        settings.log_level,
        lambda: LogDaemon(settings, LoopClock()),
        lambda: read_settings(str(file), DaemonSettings),
    )
    return status_codes.SUCCESS if drained else status_codes.ERROR


def check(file: str) -> int:
    """Validate a settings file without starting the daemon.

    Exit codes: 0 the file is valid, 2 a setting is invalid.

    :param file: path of the JSON settings file.
    """
    settings = read_settings(str(file), DaemonSettings)
    print(f"ok: settings of daemon {settings.daemon_id}")
    return status_codes.SUCCESS


def main() -> None:
    """Run the program."""
    sys.exit(run_program({"run": run, "check": check}, "wagtailstep-daemon"))


if __name__ == "__main__":
    main()
