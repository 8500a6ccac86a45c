"""Validation of the arguments of ``wagtailstep-table``."""

import getpass
import os
import pathlib
import random
from typing import Any

from wagtailstep.commands.table_client import Proposal, TableClient
from wagtailstep.commands.table_csv import TableFile, read_csv
from wagtailstep.exceptions import SettingsError
from wagtailstep.models.settings import LogSettings, RequestSettings
from wagtailstep.network.daemon_client import DaemonClient
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.log_client import HttpLogService, split_address
from wagtailstep.utils.clock import LoopClock

LOG_VARIABLE = "WAGTAILSTEP_LOG"
LOG_TIMEOUT_MS = 5_000


def create_table_client(log: str) -> TableClient:
    """Return a client that reads and edits the table in the log.

    :param log: ``host:port``; if empty, the environment variable is used.
    :raises SettingsError: if the address is missing or malformed.
    """
    address = log or os.environ.get(LOG_VARIABLE, "")
    if not address:
        raise SettingsError(f"--log is missing: give host:port or set {LOG_VARIABLE}")
    split_address(str(address))
    settings = LogSettings(address=str(address), timeout_ms=LOG_TIMEOUT_MS)
    return TableClient(HttpLogService(settings), LoopClock(), random.SystemRandom())


def build_proposal(author: str, reason: str) -> Proposal:
    """Return the author and the reason of an edit.

    :raises SettingsError: if the reason is empty.
    """
    if not str(reason).strip():
        raise SettingsError(
            "--reason is missing: give the reason of the change for the history"
        )
    return Proposal(str(author or getpass.getuser()), str(reason))


def read_file(path: str) -> TableFile:
    """Read a CSV file.

    :raises SettingsError: if it can't be read.
    """
    try:
        return read_csv(pathlib.Path(str(path)).read_text(encoding="utf-8-sig"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"file {path!r} can't be read: {error}") from error


def check_number(name: str, value: Any, lowest: int) -> int:
    """Return ``value`` if it is a whole number of at least ``lowest``.

    :raises SettingsError: otherwise.
    """
    if not isinstance(value, int) or value < lowest:
        raise SettingsError(
            f"--{name}={value!r} is not allowed, allowed is a whole number of at "
            f"least {lowest}"
        )
    return value


def create_daemon_client() -> DaemonClient:
    """Return a client that fetches the status of daemons."""
    return DaemonClient(HttpClient(RequestSettings(), LoopClock()))


def check_addresses(addresses: tuple[str, ...]) -> tuple[str, ...]:
    """Return the addresses of daemons as strings.

    :raises SettingsError: if no address is given or one is malformed.
    """
    if not addresses:
        raise SettingsError("no daemon was named; give addresses as host:port")
    for address in addresses:
        split_address(str(address))
    return tuple(map(str, addresses))


def check_seconds(name: str, value: Any) -> float:
    """Return ``value`` if it is a number of seconds above 0.

    :raises SettingsError: otherwise.
    """
    if not isinstance(value, int | float) or value <= 0:
        raise SettingsError(f"--{name}={value!r} is not allowed, allowed is above 0")
    return float(value)
