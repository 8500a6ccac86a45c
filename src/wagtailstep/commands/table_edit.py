"""Editing the table: one row, a whole file, or back to an older version."""

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
    """Return the change of one row.

    :param cells: texts of the columns to change, by name.
    :param remove: whether to remove the row instead.
    :raises SettingsError: if the arguments are wrong.
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
    """Return what a file changes against the version that it was exported from.

    :param remove: whether rows that the file lacks are removed.
    :return: the base version and the changes.
    :raises SettingsError: if the file lacks its version, or rows without ``remove``.
    """
    if file.base_version is None:
        raise SettingsError(
            "no row has a base_version, allowed is the version that was exported; "
            "export the table and edit that file, or use import"
        )
    base = fold.table
    if file.base_version != fold.version:
        base = await client.read_table(file.base_version)
    changes = compute_changes(base, file.rows)
    _check_removals(changes, remove)
    return file.base_version, changes


def plan_import(fold: TableFold, file: TableFile, remove: bool) -> TableChanges:
    """Return what turns the newest table into a file.

    :raises SettingsError: if the file lacks rows, without ``remove``.
    """
    changes = compute_changes(fold.table, file.rows)
    _check_removals(changes, remove)
    return changes


def _check_removals(changes: TableChanges, remove: bool) -> None:
    removed = [str(row_id) for row_id, row in changes.items() if row is None]
    if removed and not remove:
        raise SettingsError(
            f"the file lacks {len(removed)} rows of the table, the first is "
            f"{removed[0]!r}; put them back, or pass --remove to remove them"
        )


async def plan_revert(
    client: TableClient, fold: TableFold, version: int
) -> TableChanges:
    """Return what turns the newest table into an older version of it.

    :raises TableError: if the log no longer knows that version.
    """
    older_table = await client.read_table(version)
    return compute_changes(fold.table, table_rows(older_table))


def check_size(edit: TableEdit) -> None:
    """Refuse an edit that is too long for one record of the log.

    :raises SettingsError: if it is too long.
    """
    size = len(encode_message(edit))
    if size > MAX_EDIT_BYTES:
        raise SettingsError(
            f"the edit has {size} bytes, allowed is at most {MAX_EDIT_BYTES}; make "
            f"several smaller edits, or use import, which splits it"
        )


def check_edit(fold: TableFold, edit: TableEdit) -> Iterator[str]:
    """Decide an edit on a copy of the table.

    :return: lines that tell what it changes and its effect.
    :raises TableError: if it would be refused.
    """
    after = copy_fold(fold)
    check_outcome(after.decide(edit, after.next_offset))
    yield from describe_changes(fold.table, edit.changes)
    yield from describe_effect(fold.table, after.table, edit.changes)


def split_changes(changes: TableChanges) -> list[TableChanges]:
    """Split changes into some of a bounded number of rows, each service whole.

    A service of more rows than that still stays whole.
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
    """Submit changes to the newest table as one edit, or as several if they are many.

    Each edit is accepted or refused on its own; the first refusal ends it, and the
    same command goes on from there.

    :return: lines that tell what became of them.
    :raises TableError: if an edit is refused.
    :raises AppendUnknownError: if that stays unknown.
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

    :return: lines that tell what it changes and what became of it.
    :raises TableError: if it is refused.
    :raises AppendUnknownError: if that stays unknown.
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
