"""The program ``wagtailstep-table``: operators edit the table with it."""

import asyncio
import getpass
import os
import pathlib
import random
import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from wagtailstep.cli.run import run_program
from wagtailstep.commands import table_edit
from wagtailstep.commands.table_client import Proposal, TableClient, check_outcome
from wagtailstep.commands.table_csv import TableFile, read_csv, write_csv
from wagtailstep.commands.table_show import show_history, show_rows
from wagtailstep.exceptions import AppendUnknownError, SettingsError
from wagtailstep.models.settings import LogSettings
from wagtailstep.network.log_client import HttpLogService, split_address
from wagtailstep.utils.clock import LoopClock

LOG_VARIABLE = "WAGTAILSTEP_LOG"
LOG_TIMEOUT_MS = 5_000


def _make_client(log: str) -> TableClient:
    address = log or os.environ.get(LOG_VARIABLE, "")
    if not address:
        raise SettingsError(f"--log is missing: give host:port or set {LOG_VARIABLE}")
    split_address(str(address))
    settings = LogSettings(address=str(address), timeout_ms=LOG_TIMEOUT_MS)
    return TableClient(HttpLogService(settings), LoopClock(), random.SystemRandom())


def _make_proposal(author: str, reason: str) -> Proposal:
    if not str(reason).strip():
        raise SettingsError("--reason is missing: say why, for the history")
    return Proposal(str(author or getpass.getuser()), str(reason))


def _print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        print(line)


def _read_file(path: str) -> TableFile:
    try:
        return read_csv(pathlib.Path(str(path)).read_text(encoding="utf-8-sig"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"file {path!r} can't be read: {error}") from error


def _check_number(name: str, version: Any, lowest: int) -> int:
    if not isinstance(version, int) or version < lowest:
        raise SettingsError(
            f"--{name}={version!r} is not allowed, allowed is a whole number of at "
            f"least {lowest}"
        )
    return version


def _run(call: Callable[[], Awaitable[Iterable[str]]]) -> None:
    async def print_result() -> None:
        _print_lines(await call())

    asyncio.run(print_result())


def show(
    kind: str = "", prefix: str = "", *, version: int | None = None, log: str = ""
) -> None:
    """Show the table, or some rows of it.

    :param kind: service, backend_server, route or account; all if empty.
    :param prefix: only rows whose keys begin so.
    :param version: an older version that the log still knows.
    :param log: ``host:port`` of the log service.
    """

    async def read_rows() -> Iterable[str]:
        wanted = None if version is None else _check_number("version", version, 0)
        table = await _make_client(log).read_table(wanted)
        return show_rows(table, str(kind), str(prefix))

    _run(read_rows)


def export(path: str = "-", *, version: int | None = None, log: str = "") -> None:
    """Write the table as a CSV file for a spreadsheet program.

    :param path: the file; ``-`` for standard output.
    :param version: an older version that the log still knows.
    :param log: ``host:port`` of the log service.
    """
    wanted = None if version is None else _check_number("version", version, 0)
    table = asyncio.run(_make_client(log).read_table(wanted))
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
    :param reason: why, for the history.
    :param author: who; your login name if empty.
    :param remove: remove the row.
    :param dry_run: show the effect and change nothing.
    :param log: ``host:port`` of the log service.
    :param columns: the columns to change, by their names.
    """

    async def submit_change() -> Iterable[str]:
        client = _make_client(log)
        proposal = _make_proposal(author, reason)
        fold = await client.read_fold()
        cells = {name: str(value) for name, value in columns.items()}
        changes = table_edit.plan_row_change(fold, str(kind), str(key), cells, remove)
        return await table_edit.submit(
            client, fold, fold.version, changes, proposal, dry_run
        )

    _run(submit_change)


def diff(path: str, *, log: str = "") -> None:
    """Show what a file changes against the version that it was exported from.

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
    """Apply the changes made to an exported file, and only those.

    :param path: the CSV file.
    :param reason: why, for the history.
    :param author: who; your login name if empty.
    :param remove: remove the rows that the file lacks.
    :param dry_run: show the effect and change nothing.
    :param log: ``host:port`` of the log service.
    """
    _apply_file(path, _make_proposal(author, reason), remove, dry_run, log)


def _apply_file(
    path: str, proposal: Proposal, remove: bool, dry_run: bool, log: str
) -> None:
    async def submit_file() -> Iterable[str]:
        client = _make_client(log)
        file = _read_file(path)
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
    """Make the newest table equal to a file, whatever version it came from.

    :param path: the CSV file.
    :param reason: why, for the history.
    :param author: who; your login name if empty.
    :param remove: remove the rows that the file lacks.
    :param dry_run: show the effect and change nothing.
    :param log: ``host:port`` of the log service.
    """

    async def submit_import() -> Iterable[str]:
        client = _make_client(log)
        proposal = _make_proposal(author, reason)
        file = _read_file(path)
        fold = await client.read_fold()
        changes = table_edit.plan_import(fold, file, remove)
        return await table_edit.submit(
            client, fold, fold.version, changes, proposal, dry_run
        )

    _run(submit_import)


def revert(
    version: int,
    *,
    reason: str,
    author: str = "",
    dry_run: bool = False,
    log: str = "",
) -> None:
    """Make a new version with the rows of an older one.

    :param version: the older version.
    :param reason: why, for the history.
    :param author: who; your login name if empty.
    :param dry_run: show the effect and change nothing.
    :param log: ``host:port`` of the log service.
    """

    async def submit_revert() -> Iterable[str]:
        client = _make_client(log)
        proposal = _make_proposal(author, reason)
        fold = await client.read_fold()
        wanted = _check_number("version", version, 0)
        changes = await table_edit.plan_revert(client, fold, wanted)
        return await table_edit.submit(
            client, fold, fold.version, changes, proposal, dry_run
        )

    _run(submit_revert)


def history(row: str = "", *, limit: int = 20, log: str = "") -> None:
    """Show who changed the table, when and why, newest first.

    :param row: only edits of rows whose names hold this text.
    :param limit: at most so many edits.
    :param log: ``host:port`` of the log service.
    """

    async def read_history() -> Iterable[str]:
        fold = await _make_client(log).read_fold()
        return show_history(fold, str(row), _check_number("limit", limit, 1))

    _run(read_history)


def outcome(edit_id: str, *, log: str = "") -> None:
    """Tell what became of an edit.

    :param edit_id: its identifier.
    :param log: ``host:port`` of the log service.
    """

    async def read_outcome() -> Iterable[str]:
        fold = await _make_client(log).read_fold()
        found = fold.outcome_of(str(edit_id))
        if found is None:
            raise AppendUnknownError(
                f"edit {edit_id} is not in the log; it may still arrive if its "
                f"program ended less than a minute ago"
            )
        check_outcome(found)
        return [f"accepted edit={edit_id} version={found.version}"]

    _run(read_outcome)


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
}


def main() -> None:
    """Run the program."""
    sys.exit(run_program(COMMANDS, "wagtailstep-table"))


if __name__ == "__main__":
    main()
