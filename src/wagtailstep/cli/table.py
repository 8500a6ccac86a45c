"""The program ``wagtailstep-table`` to inspect and edit the table."""

import asyncio
import pathlib
import sys
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from typing import Any

from wagtailstep.cli import status_codes
from wagtailstep.cli.run import run_program
from wagtailstep.cli.table_arguments import (
    build_proposal,
    check_addresses,
    check_number,
    check_seconds,
    create_daemon_client,
    create_table_client,
    read_file,
)
from wagtailstep.commands import table_edit
from wagtailstep.commands.table_client import Proposal, check_outcome
from wagtailstep.commands.table_csv import write_csv
from wagtailstep.commands.table_restore import check_no_daemon_has_table, restore_table
from wagtailstep.commands.table_show import show_history, show_rows
from wagtailstep.commands.table_status import (
    DaemonReport,
    describe_reports,
    query_daemons,
)
from wagtailstep.commands.table_watch import read_fold_or_none, watch_table
from wagtailstep.exceptions import AppendUnknownError, SettingsError
from wagtailstep.models.table_fold import TableFold


def _print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        print(line)


def _run(call: Callable[[], Awaitable[Iterable[str]]]) -> None:
    async def print_result() -> None:
        _print_lines(await call())

    asyncio.run(print_result())


def show(
    kind: str = "", prefix: str = "", *, version: int | None = None, log: str = ""
) -> None:
    """Show the table, or some rows of it.

    :param kind: service, backend_server, route or account; all kinds if empty.
    :param prefix: show only rows whose keys start with this.
    :param version: an older version that can still be read from the log.
    :param log: ``host:port`` of the log service.
    """

    async def read_rows() -> Iterable[str]:
        table_version = None if version is None else check_number("version", version, 0)
        table = await create_table_client(log).read_table(table_version)
        return show_rows(table, str(kind), str(prefix))

    _run(read_rows)


def export(path: str = "-", *, version: int | None = None, log: str = "") -> None:
    """Write the table as a CSV file for a spreadsheet program.

    :param path: path of the file; ``-`` for standard output.
    :param version: an older version that can still be read from the log.
    :param log: ``host:port`` of the log service.
    """
    table_version = None if version is None else check_number("version", version, 0)
    table = asyncio.run(create_table_client(log).read_table(table_version))
    if path == "-":
        sys.stdout.write(write_csv(table))
        return
    try:
        pathlib.Path(str(path)).write_text(write_csv(table), encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"file {path!r} can't be written: {error}") from error


def edit(
    kind: str,
    key: str,
    *,
    reason: str,
    author: str = "",
    remove: bool = False,
    dry_run: bool = False,
    log: str = "",
    **columns: Any,
) -> None:
    """Change one row: ``edit service contracts --floor_weight=3 --reason="..."``.

    :param kind: service, backend_server, route or account.
    :param key: key of the row.
    :param reason: reason of the change, recorded in the history.
    :param author: author of the change; your login name if empty.
    :param remove: remove the row.
    :param dry_run: print the effect without changing anything.
    :param log: ``host:port`` of the log service.
    :param columns: new values by column name.
    """

    async def submit_change() -> Iterable[str]:
        client = create_table_client(log)
        proposal = build_proposal(author, reason)
        fold = await client.read_fold()
        cells = {name: str(value) for name, value in columns.items()}
        changes = table_edit.plan_row_change(fold, str(kind), str(key), cells, remove)
        return await table_edit.submit(
            client, fold, fold.version, changes, proposal, dry_run
        )

    _run(submit_change)


def diff(path: str, *, log: str = "") -> None:
    """Show the differences between a file and the version it was exported from.

    :param path: the CSV file.
    :param log: ``host:port`` of the log service.
    """
    _apply_file(path, Proposal("", ""), True, True, log)


def apply(
    path: str,
    *,
    reason: str,
    author: str = "",
    remove: bool = False,
    dry_run: bool = False,
    log: str = "",
) -> None:
    """Apply only the changes made to a file since it was exported.

    :param path: the CSV file.
    :param reason: reason of the change, recorded in the history.
    :param author: author of the change; your login name if empty.
    :param remove: remove rows that are missing from the file.
    :param dry_run: print the effect without changing anything.
    :param log: ``host:port`` of the log service.
    """
    _apply_file(path, build_proposal(author, reason), remove, dry_run, log)


def _apply_file(
    path: str, proposal: Proposal, remove: bool, dry_run: bool, log: str
) -> None:
    async def submit_file() -> Iterable[str]:
        client = create_table_client(log)
        file = read_file(path)
        fold = await client.read_fold()
        base, changes = await table_edit.plan_file(client, fold, file, remove)
        return await table_edit.submit(client, fold, base, changes, proposal, dry_run)

    _run(submit_file)


def import_file(
    path: str,
    *,
    reason: str,
    author: str = "",
    remove: bool = False,
    dry_run: bool = False,
    log: str = "",
) -> None:
    """Make the newest table equal to a file, whichever version it was exported from.

    :param path: the CSV file.
    :param reason: reason of the change, recorded in the history.
    :param author: author of the change; your login name if empty.
    :param remove: remove rows that are missing from the file.
    :param dry_run: print the effect without changing anything.
    :param log: ``host:port`` of the log service.
    """

    async def submit_import() -> Iterable[str]:
        client = create_table_client(log)
        proposal = build_proposal(author, reason)
        file = read_file(path)
        fold = await client.read_fold()
        changes = table_edit.plan_import(fold, file, remove)
        return await table_edit.submit_parts(client, changes, proposal, dry_run)

    _run(submit_import)


def revert(
    version: int,
    *,
    reason: str,
    author: str = "",
    dry_run: bool = False,
    log: str = "",
) -> None:
    """Create a new version with the rows of an older version.

    :param version: the older version.
    :param reason: reason of the change, recorded in the history.
    :param author: author of the change; your login name if empty.
    :param dry_run: print the effect without changing anything.
    :param log: ``host:port`` of the log service.
    """

    async def submit_revert() -> Iterable[str]:
        client = create_table_client(log)
        proposal = build_proposal(author, reason)
        fold = await client.read_fold()
        table_version = check_number("version", version, 0)
        changes = await table_edit.plan_revert(client, fold, table_version)
        return await table_edit.submit(
            client, fold, fold.version, changes, proposal, dry_run
        )

    _run(submit_revert)


def history(row: str = "", *, limit: int = 20, log: str = "") -> None:
    """Show author, time and reason of past edits, newest first.

    :param row: show only edits of rows whose names contain this text.
    :param limit: maximum number of edits.
    :param log: ``host:port`` of the log service.
    """

    async def read_history() -> Iterable[str]:
        fold = await create_table_client(log).read_fold()
        return show_history(fold, str(row), check_number("limit", limit, 1))

    _run(read_history)


def outcome(edit_id: str, *, log: str = "") -> None:
    """Show whether an edit was accepted or rejected.

    :param edit_id: identifier of the edit.
    :param log: ``host:port`` of the log service.
    """

    async def read_outcome() -> Iterable[str]:
        fold = await create_table_client(log).read_fold()
        edit_outcome = fold.outcome_of(str(edit_id))
        if edit_outcome is None:
            raise AppendUnknownError(
                f"edit {edit_id} is not in the log; it may still be appended if the "
                f"program that submitted it ended less than a minute ago"
            )
        check_outcome(edit_outcome)
        return [f"accepted edit={edit_id} version={edit_outcome.version}"]

    _run(read_outcome)


def status(*addresses: str, log: str = "") -> int:
    """Show each daemon's table version, and which daemons are behind since when.

    Exit codes: 0 all daemons answered, 2 an argument is invalid, 5 some daemons
    could not be reached; the output lists them.

    :param addresses: caller address, ``host:port``, of each daemon.
    :param log: ``host:port`` of the log service.
    """
    daemon_addresses = check_addresses(addresses)
    client = create_table_client(log)

    async def fetch_status_and_fold() -> tuple[TableFold | None, list[DaemonReport]]:
        reports = await query_daemons(create_daemon_client(), daemon_addresses)
        return await read_fold_or_none(client), reports

    fold, reports = asyncio.run(fetch_status_and_fold())
    _print_lines(describe_reports(fold, reports))
    unreachable = any(report.status is None for report in reports)
    return status_codes.PARTIAL if unreachable else status_codes.SUCCESS


def watch(
    *addresses: str,
    interval_s: float = 2.0,
    run_time_s: float = 3_600.0,
    log: str = "",
) -> None:
    """Show new edits as they are accepted, and how many daemons apply them.

    :param addresses: caller address, ``host:port``, of each daemon.
    :param interval_s: polling interval in seconds.
    :param run_time_s: seconds after which the program exits.
    :param log: ``host:port`` of the log service.
    """
    daemon_addresses = check_addresses(addresses)
    client = create_table_client(log)
    interval = timedelta(seconds=check_seconds("interval_s", interval_s))
    run_time = timedelta(seconds=check_seconds("run_time_s", run_time_s))

    def show_line(line: str) -> None:
        print(line, flush=True)

    daemons = create_daemon_client()
    asyncio.run(
        watch_table(client, daemons, daemon_addresses, interval, run_time, show_line)
    )


def restore(
    path: str,
    *addresses: str,
    version: int,
    reason: str,
    author: str = "",
    log: str = "",
) -> None:
    """Restore a table that the log and all daemons have lost.

    :param path: the newest exported CSV file.
    :param addresses: caller address, ``host:port``, of each daemon; none of
        them may have a table.
    :param version: version of the restored table; higher than any version that was in
        force.
    :param reason: reason of the change, recorded in the history.
    :param author: author of the change; your login name if empty.
    :param log: ``host:port`` of the log service.
    """
    daemon_addresses = check_addresses(addresses)
    proposal = build_proposal(author, reason)
    number = check_number("version", version, 1)
    file = read_file(path)
    client = create_table_client(log)

    async def append() -> Iterable[str]:
        check_no_daemon_has_table(
            await query_daemons(create_daemon_client(), daemon_addresses)
        )
        count = await restore_table(client, file, number, proposal)
        return [f"restored version={number} records={count}"]

    _run(append)


COMMANDS = {
    "show": show,
    "export": export,
    "import": import_file,
    "edit": edit,
    "diff": diff,
    "apply": apply,
    "history": history,
    "revert": revert,
    "outcome": outcome,
    "status": status,
    "watch": watch,
    "restore": restore,
}


def main() -> None:
    """Run the program."""
    sys.exit(run_program(COMMANDS, "wagtailstep-table"))


if __name__ == "__main__":
    main()
