"""The program ``wagtailstep-fakes``: stand-ins for log service and backend server."""

import asyncio
import sys
from datetime import timedelta
from typing import Any, TypeVar

import attrs

from wagtailstep.cli.run import run_program
from wagtailstep.commands.read_settings import read_settings_list, structure_settings
from wagtailstep.commands.run_backend_server import run_backend_servers
from wagtailstep.fakes.backend_server import BackendServerSettings
from wagtailstep.fakes.log_server import serve
from wagtailstep.fakes.log_service import LogFaults
from wagtailstep.models.settings import positive
from wagtailstep.network.log_client import split_address

_T = TypeVar("_T")


@attrs.frozen
class RunTimeSettings:
    """Run time of a stand-in.

    :param run_time_s: seconds after which the program exits on its own.
    """

    run_time_s: float = positive(3_600.0)


def build_settings(cls: type[_T], **values: Any) -> _T:
    """Build a settings class from arguments, with the checks of settings files.

    :raises SettingsError: if an argument is invalid; the message names it.
    """
    return structure_settings(values, cls, "arguments")


def run_log(
    *,
    address: str = "127.0.0.1:0",
    retention_s: float = 0.0,
    retention_records: int = 0,
    appends_per_s: int = 300,
    run_time_s: float = 3_600.0,
) -> None:
    """Serve the stand-in for the log service; ``PUT /faults`` injects faults.

    :param address: ``host:port`` to listen on; port 0 lets the system choose.
    :param retention_s: records older than this expire; 0 keeps them forever.
    :param retention_records: records retained per stream; 0 keeps all.
    :param appends_per_s: appends accepted per second; 0 is unlimited.
    :param run_time_s: seconds after which the program exits on its own.
    """
    host, port = split_address(str(address))
    faults = build_settings(
        LogFaults,
        retention_s=retention_s,
        retention_records=retention_records,
        appends_per_s=appends_per_s,
    )
    limit = timedelta(
        seconds=build_settings(RunTimeSettings, run_time_s=run_time_s).run_time_s
    )

    def print_address(bound_port: int) -> None:
        print(f"listening={host}:{bound_port}", flush=True)

    asyncio.run(serve(host, port, faults, print_address, run_time=limit))


def run_backend(
    service: str,
    *,
    address: str = "127.0.0.1:0",
    announce_address: str = "",
    slots: int = 4,
    work_ms: float = 5.0,
    cold_start_ms: int = 0,
    seed: int = 0,
) -> None:
    """Serve one stand-in for a backend server; SIGTERM drains and stops it.

    :param service: name of the service.
    :param address: ``host:port`` to listen on; port 0 lets the system choose.
    :param announce_address: ``host:port`` where the local daemon accepts
        announcements; empty to announce nothing.
    :param slots: number of requests that it runs concurrently.
    :param work_ms: processing time of a request without the header ``fake-work-ms``.
    :param cold_start_ms: time after the start until it reaches full speed.
    :param seed: seed of the random generator.
    """
    settings = build_settings(
        BackendServerSettings,
        service=service,
        address=address,
        announce_address=announce_address,
        slots=slots,
        work_ms=work_ms,
        cold_start_ms=cold_start_ms,
        seed=seed,
    )
    run_backend_servers([settings])


def run_backend_list(file: str) -> None:
    """Serve many stand-ins for backend servers in one process.

    :param file: path of a JSON list of their settings.
    """
    run_backend_servers(read_settings_list(str(file), BackendServerSettings))


COMMANDS = {"log": run_log, "backend": run_backend, "backends": run_backend_list}


def main() -> None:
    """Run the program."""
    sys.exit(run_program(COMMANDS, "wagtailstep-fakes"))


if __name__ == "__main__":
    main()
