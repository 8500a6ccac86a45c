"""Plans and submits edits of the table: single rows, files and reverts."""

from collections.abc import Iterator

from wagtailstep.commands.table_cells import CellError, build_row, parse_row_id
from wagtailstep.commands.table_changes import (
    compute_changes,
    copy_fold,
    count_changes,
    describe_changes,
    describe_effect,
    table_rows,
)
from wagtailstep.commands.table_client import Proposal, TableClient, check_outcome
from wagtailstep.commands.table_csv import TableFile
from wagtailstep.exceptions import SettingsError
from wagtailstep.models.table import Row
from wagtailstep.models.table_edits import RowId, TableChanges, TableEdit
from wagtailstep.models.table_fold import TableFold
from wagtailstep.utils.codec import encode_message

MAX_EDIT_BYTES = 524_288
MAX_ROWS_PER_EDIT = 1_000


def plan_row_change(
    fold: TableFold, kind: str, key: str, cells: dict[str, str], remove: bool
) -> TableChanges:
    """Return the change to a single row.

    :param cells: new values as texts, by column name.
    :param remove: whether to remove the row instead.
    :raises SettingsError: if the arguments are invalid.
    """
    row_id = parse_row_id(kind, key)
    is_new = key not in fold.table.rows(row_id.kind)
    if remove == bool(cells) and (remove or not is_new):
        names = ", ".join(column.name for column in row_id.kind.columns)
        raise CellError(
            f"row {row_id}: give either --remove or columns to set, allowed is {names}"
        )
    rows = fold.table.rows(row_id.kind)
    row = None if remove else build_row(row_id, cells, rows.get(key))
    changes = TableChanges()
    changes.rows(row_id.kind)[key] = row
    return changes


async def plan_file(
    client: TableClient, fold: TableFold, file: TableFile, remove: bool
) -> tuple[int, TableChanges]:
    """Return the changes of a file since the version it was exported from.

    :param remove: whether rows that are missing from the file are removed.
    :return: the base version and the changes.
    :raises SettingsError: if the file names no version, or lacks rows and ``remove`` is
        not set.
    """
    if file.base_version is None:
        raise SettingsError(
            "no row has a base_version, which must be the exported version; "
            "export the table and edit that file, or use import"
        )
    base_table = fold.table
    if file.base_version != fold.version:
        base_table = await client.read_table(file.base_version)
    changes = compute_changes(base_table, file.rows)
    _check_removals(changes, remove)
    return file.base_version, changes


def plan_import(fold: TableFold, file: TableFile, remove: bool) -> TableChanges:
    """Return the changes that make the newest table equal to a file.

    :raises SettingsError: if the file lacks rows and ``remove`` is not set.
    """
    changes = compute_changes(fold.table, file.rows)
    _check_removals(changes, remove)
    return changes


def _check_removals(changes: TableChanges, remove: bool) -> None:
    removed = [str(row_id) for row_id, row in changes.items() if row is None]
    if removed and not remove:
        raise SettingsError(
            f"the file lacks {len(removed)} rows of the table, the first is "
            f"{removed[0]!r}; restore them, or pass --remove to remove them"
        )


async def plan_revert(
    client: TableClient, fold: TableFold, version: int
) -> TableChanges:
    """Return the changes that make the newest table equal to an older version.

    :raises TableError: if that version can no longer be read from the log.
    """
    older_table = await client.read_table(version)
    return compute_changes(fold.table, table_rows(older_table))


def check_size(edit: TableEdit) -> None:
    """Reject an edit that is too large for one record of the log.

    :raises SettingsError: if it is too large.
    """
    size = len(encode_message(edit))
    if size > MAX_EDIT_BYTES:
        raise SettingsError(
            f"the edit has {size} bytes, allowed is at most {MAX_EDIT_BYTES}; make "
            f"several smaller edits, or use import, which splits it"
        )


def check_edit(fold: TableFold, edit: TableEdit) -> Iterator[str]:
    """Apply an edit to a copy of the table.

    :return: lines that describe its changes and its effect.
    :raises TableError: if it would be rejected.
    """
    after = copy_fold(fold)
    check_outcome(after.decide(edit, after.next_offset))
    yield from describe_changes(fold.table, edit.changes)
    yield from describe_effect(fold.table, after.table, edit.changes)


def split_changes(changes: TableChanges) -> list[TableChanges]:
    """Split changes into parts of a limited number of rows.

    All rows of a service stay in one part, even if they exceed the limit.
    """
    by_service: dict[str, list[tuple[RowId, Row | None]]] = {}
    for row_id, row in changes.items():
        by_service.setdefault(row_id.service, []).append((row_id, row))
    parts: list[TableChanges] = []
    for rows in by_service.values():
        if not parts or len(parts[-1]) + len(rows) > MAX_ROWS_PER_EDIT:
            parts.append(TableChanges())
        for row_id, row in rows:
            parts[-1].rows(row_id.kind)[row_id.key] = row
    return parts


async def submit_parts(
    client: TableClient, changes: TableChanges, proposal: Proposal, dry_run: bool
) -> Iterator[str]:
    """Submit changes to the newest table, split into several edits if necessary.

    Each edit is accepted or rejected independently. The first rejection stops the
    submission; running the same command again submits the remaining changes.

    :return: lines that describe the changes and their outcomes.
    :raises TableError: if an edit is rejected.
    :raises AppendUnknownError: if the outcome of an edit is unknown.
    """
    lines: list[str] = []
    for part in split_changes(changes) or [changes]:
        fold = await client.read_fold()
        lines += await submit(client, fold, fold.version, part, proposal, dry_run)
    return iter(lines)


async def submit(
    client: TableClient,
    fold: TableFold,
    base_version: int,
    changes: TableChanges,
    proposal: Proposal,
    dry_run: bool,
) -> Iterator[str]:
    """Check an edit and, unless it is a dry run, propose it.

    :return: lines that describe the changes and the outcome.
    :raises TableError: if the edit is rejected.
    :raises AppendUnknownError: if the outcome is unknown.
    """
    if not len(changes):
        return iter([f"unchanged version={fold.version}"])
    edit = client.build_edit(base_version, changes, proposal)
    check_size(edit)
    lines = list(check_edit(fold, edit))
    if dry_run:
        return iter([*lines, f"dry-run {count_changes(changes)}"])
    outcome = await client.propose(edit)
    lines.append(
        f"accepted edit={edit.edit_id} version={outcome.version} "
        f"{count_changes(changes)}"
    )
    return iter(lines)
