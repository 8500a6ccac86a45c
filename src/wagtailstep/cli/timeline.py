"""The program ``wagtailstep-timeline``."""

import asyncio
import pathlib
import sys
from datetime import datetime, timedelta

from wagtailstep.cli import status_codes
from wagtailstep.cli.run import run_program
from wagtailstep.commands.explain_request import (
    count_causes,
    explain_request,
    format_causes,
    format_explanation,
)
from wagtailstep.commands.fleet_beliefs import (
    compute_fleet_beliefs,
    format_fleet_beliefs,
)
from wagtailstep.commands.merge_timeline import (
    format_chrome_trace,
    format_text,
    gather_timeline,
)
from wagtailstep.exceptions import SettingsError
from wagtailstep.models.log_lines import LogLine, read_lines
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.timeline import MergedTimeline
from wagtailstep.network.daemon_client import DaemonClient
from wagtailstep.network.http_client import HttpClient
from wagtailstep.utils.clock import LoopClock

FORMATS = {"text": format_text, "chrome": format_chrome_trace}


def show(*addresses: str, format: str = "text", output: str = "") -> int:
    """Fetch the events of daemons and write them as one timeline.

    Exit codes: 0 all daemons answered, 2 an argument is invalid, 5 some daemons
    could not be reached; the output lists them.

    :param addresses: caller address, host:port, of each daemon.
    :param format: text, or chrome for Chrome trace-event JSON.
    :param output: path of the file to write; standard output if empty.
    """
    check_arguments(addresses, format)
    merged = asyncio.run(gather_events(addresses))
    text = FORMATS[format](merged)
    if output:
        pathlib.Path(output).write_text(text + "\n", encoding="utf-8")
    else:
        print(text)
    return status_codes.PARTIAL if merged.unreachable else status_codes.SUCCESS


def explain(request_id: str, *files: str) -> int:
    """Reconstruct one request from the logs of all daemons and explain its outcome.

    :param request_id: identifier of the request, as in its ``request_id`` fields.
    :param files: log files; for lines that don't name their daemon, the file name does.
    """
    print(format_explanation(explain_request(read_logs(files), str(request_id))))
    return status_codes.SUCCESS


def causes(*files: str, since: str = "", until: str = "") -> int:
    """Count failed requests by cause, from the logs of all daemons.

    :param files: log files, as for ``explain``.
    :param since: ignore log lines before this time, given in the format of the lines.
    :param until: ignore log lines after this time.
    """
    lines = read_logs(files)
    if since:
        lines = [line for line in lines if line.time >= read_time(since)]
    if until:
        lines = [line for line in lines if line.time <= read_time(until)]
    print(format_causes(count_causes(lines)))
    return status_codes.SUCCESS


def around(time: str, *files: str, span_s: float = 2.0) -> int:
    """Show what the daemons believed at a given time, and nearby changes.

    :param time: the time, in the format of the log lines.
    :param files: log files, as for ``explain``.
    :param span_s: seconds before and after the time in which changes are shown.
    """
    moment = read_time(time)
    beliefs = compute_fleet_beliefs(read_logs(files), moment, timedelta(seconds=span_s))
    print(format_fleet_beliefs(beliefs, moment))
    return status_codes.SUCCESS


def read_time(text: str) -> datetime:
    """Parse a time in the format of the log lines.

    :raises SettingsError: if it is malformed.
    """
    try:
        return datetime.fromisoformat(str(text))
    except ValueError as error:
        message = f"time {text!r} is not allowed; give one as 2026-12-04T01:02:03.004Z"
        raise SettingsError(message) from error


def read_logs(files: tuple[str, ...]) -> list[LogLine]:
    """Read log files.

    :raises SettingsError: if no file is given or one can't be read.
    """
    if not files:
        raise SettingsError("no log was named; give the files of all daemons")
    lines: list[LogLine] = []
    for name in files:
        path = pathlib.Path(str(name))
        try:
            with path.open(encoding="utf-8", errors="replace") as texts:
                lines.extend(read_lines(texts, path.stem))
        except OSError as error:
            raise SettingsError(f"{name}: can't be read: {error.strerror}") from error
    return lines


def check_arguments(addresses: tuple[str, ...], format: str) -> None:
    """Validate the arguments of ``show``.

    :raises SettingsError: if an argument is invalid.
    """
    if format not in FORMATS:
        allowed = " or ".join(FORMATS)
        raise SettingsError(f"--format {format!r} is not allowed; give {allowed}")
    if not addresses:
        raise SettingsError("no daemon was named; give addresses as host:port")
    for address in addresses:
        host, _, port = str(address).rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(f"address {address!r} is not allowed; give host:port")


async def gather_events(addresses: tuple[str, ...]) -> MergedTimeline:
    """Fetch and merge the events of all daemons."""
    client = HttpClient(RequestSettings(), LoopClock())
    return await gather_timeline(DaemonClient(client), addresses)


COMMANDS = {"around": around, "causes": causes, "explain": explain, "show": show}


def main() -> None:
    """Run the program."""
    sys.exit(run_program(COMMANDS, "wagtailstep-timeline"))


if __name__ == "__main__":
    main()
