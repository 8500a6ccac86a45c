"""Restores the table from a file after the log and all daemons have lost it."""

from wagtailstep.commands.table_client import Proposal, TableClient
from wagtailstep.commands.table_csv import TableFile
from wagtailstep.commands.table_status import DaemonReport
from wagtailstep.exceptions import LogError, SettingsError, TableError
from wagtailstep.models.log import LogService
from wagtailstep.models.table import Table
from wagtailstep.models.table_edits import TABLE_STREAM, AcceptedEdit
from wagtailstep.models.table_fold import TableFold, hash_table
from wagtailstep.models.table_rules import check_services
from wagtailstep.models.table_snapshot import split_snapshot
from wagtailstep.utils.codec import encode_message
from wagtailstep.utils.ids import make_id

READ_BATCH_RECORDS = 1_000


def check_no_daemon_has_table(reports: list[DaemonReport]) -> None:
    """Reject a restore while a daemon has the table or does not respond.

    :raises TableError: if a daemon has the table or does not respond.
    """
    for report in reports:
        if report.status is None:
            raise TableError(
                f"daemon {report.address} does not respond, so it may have the table; "
                f"stop it first"
            )
        if report.status.table_known:
            raise TableError(
                f"daemon {report.status.daemon_id} has version "
                f"{report.status.table_version} of the table; it writes a snapshot "
                f"within an eighth of the log's retention, so wait for that"
            )


async def restore_table(
    client: TableClient, file: TableFile, version: int, proposal: Proposal
) -> int:
    """Append a snapshot built from a file.

    :param version: version of the restored table; higher than any that was in force.
    :return: number of records appended.
    :raises TableError: if the log still has the table, or the file is invalid.
    :raises SettingsError: if the version is not higher than that of the file.
    :raises LogError: if the log can't be read or appended to.
    """
    if file.base_version is not None and version <= file.base_version:
        raise SettingsError(
            f"--version={version} is not allowed, allowed is a version above any "
            f"that was in force, so at least {file.base_version + 1}"
        )
    next_offset = await _check_log_lost_table(client)
    fold = _build_fold(client, file, version, next_offset, proposal)
    parts = split_snapshot(make_id(client.rng), fold, client.clock.utc())
    for part in parts:
        await client.log.append(TABLE_STREAM, encode_message(part))
    return len(parts)


async def _check_log_lost_table(client: TableClient) -> int:
    """Return the offset of the next record.

    :raises TableError: if the log still has the table."""
    next_offset = await find_end_offset(client.log)
    try:
        fold = await client.read_fold()
    except LogError:
        if next_offset:
            return next_offset
        raise
    raise TableError(
        f"the log still has version {fold.version} of the table; use import to "
        f"change it"
    )


async def find_end_offset(log: LogService) -> int:
    """Return the offset of the next record of the table's stream.

    :raises LogError: if the log can't be read.
    """
    offset = await log.oldest_offset(TABLE_STREAM)
    while True:
        batch = await log.read(TABLE_STREAM, offset, READ_BATCH_RECORDS)
        if not batch.records:
            return offset
        offset = batch.next_offset


def _build_fold(
    client: TableClient,
    file: TableFile,
    version: int,
    next_offset: int,
    proposal: Proposal,
) -> TableFold:
    table = Table(version)
    for row_id, row in file.rows.items():
        table.rows(row_id.kind)[row_id.key] = row
    check_services(table, {row_id.service for row_id in file.rows})
    content_hash = hash_table(table)
    restored = AcceptedEdit(
        f"e{make_id(client.rng)}",
        version,
        content_hash,
        next_offset,
        proposal.author,
        proposal.reason,
        client.clock.utc(),
        tuple(file.rows)[:1],
    )
    fold = TableFold(table, next_offset, content_hash, horizon=version)
    fold.add_accepted_edit(restored)
    return fold
