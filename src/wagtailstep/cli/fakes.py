"""The program ``wagtailstep-fakes``: stand-ins for the platform."""

import asyncio
import sys
from datetime import timedelta

from wagtailstep.cli.run import run_program
from wagtailstep.fakes.log_server import serve
from wagtailstep.fakes.log_service import LogFaults
from wagtailstep.network.log_client import split_address


def run_log(
    *,
    address: str = "127.0.0.1:0",
    retention_s: float = 0.0,
    retention_records: int = 0,
    appends_per_s: int = 300,
    run_time_s: float = 3_600.0,
) -> None:
    """Serve the stand-in for the log service; ``/faults`` controls its faults.

    :param address: ``host:port`` to listen on; port 0 lets the system choose.
    :param retention_s: records older than this expire; 0 is never.
    :param retention_records: records retained in a stream; 0 is all.
    :param appends_per_s: appends allowed in one second; 0 is any number.
    :param run_time_s: the program ends by itself after this time.
    """
    host, port = split_address(address)
    faults = LogFaults(
        retention_s=float(retention_s),
        retention_records=int(retention_records),
        appends_per_s=int(appends_per_s),
    )
    limit = timedelta(seconds=run_time_s)

    def print_address(bound_port: int) -> None:
        print(f"listening={host}:{bound_port}", flush=True)

    asyncio.run(serve(host, port, faults, print_address, run_time=limit))


def main() -> None:
    """Run the program."""
    sys.exit(run_program({"log": run_log}, "wagtailstep-fakes"))


if __name__ == "__main__":
    main()
