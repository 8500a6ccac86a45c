"""Reports which version of the table is in force at each daemon."""

import asyncio
from collections.abc import Iterator
from datetime import datetime
from typing import Protocol

import attrs

from wagtailstep.exceptions import RequestError
from wagtailstep.models.status import DaemonStatus
from wagtailstep.models.table_edits import AcceptedEdit
from wagtailstep.models.table_fold import TableFold
from wagtailstep.utils.logging import format_fields

MAX_CONCURRENT_QUERIES = 32


class StatusClient(Protocol):
    """Fetches the status of daemons."""

    async def fetch_status(self, address: str) -> DaemonStatus:
        """Return a daemon's status.

        :raises RequestError: if it did not respond.
        """


@attrs.frozen
class DaemonReport:
    """Result of a status query to one daemon.

    :param address: address that was queried.
    :param status: status of the daemon, or ``None`` if the query failed.
    :param problem: why the query failed.
    """

    address: str
    status: DaemonStatus | None = None
    problem: str = ""


async def query_daemons(
    client: StatusClient, addresses: tuple[str, ...]
) -> list[DaemonReport]:
    """Fetch the status of daemons with bounded concurrency."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query(address: str) -> DaemonReport:
        async with semaphore:
            try:
                return DaemonReport(address, await client.fetch_status(address))
            except RequestError as error:
                return DaemonReport(address, problem=str(error))

    return list(await asyncio.gather(*map(query, addresses)))


def describe_reports(
    fold: TableFold | None, reports: list[DaemonReport]
) -> Iterator[str]:
    """Yield one line per daemon and a summary line.

    :param fold: the table in the log, or ``None`` if the log can't be read; then the
        newest version among the daemons counts as the newest version.
    """
    versions = [r.status.table_version for r in reports if r.status is not None]
    newest = max(versions, default=0) if fold is None else fold.version
    edits = {} if fold is None else {edit.version: edit for edit in fold.accepted}
    for report in reports:
        yield format_fields(_describe(report, newest, edits))
    behind = sum(r.status is not None and _is_behind(r.status, newest) for r in reports)
    answered = sum(r.status is not None for r in reports)
    yield format_fields(
        {
            "newest_version": newest,
            "log": "unreachable" if fold is None else "read",
            "daemons": len(reports),
            "in_force": answered - behind,
            "behind": behind,
            "unreachable": len(reports) - answered,
        }
    )


def _is_behind(status: DaemonStatus, newest: int) -> bool:
    return not status.table_known or status.table_version < newest


def _describe(
    report: DaemonReport, newest: int, edits: dict[int, AcceptedEdit]
) -> dict[str, object]:
    status = report.status
    if status is None:
        return {"daemon": report.address, "state": "unreachable", "why": report.problem}
    fields: dict[str, object] = {"daemon": status.daemon_id, "address": report.address}
    if not status.table_known:
        return fields | {"state": "no-table", "log_reachable": status.log_reachable}
    fields |= {
        "version": status.table_version,
        "since": _format_time(status.table_since_utc),
    }
    if status.unreadable_routes:
        fields["unreadable_routes"] = status.unreadable_routes
    if status.accounts is not None:
        fields["accounts"] = status.accounts
    if status.unreadable_accounts:
        fields["unreadable_accounts"] = status.unreadable_accounts
    if not _is_behind(status, newest):
        return fields | {"state": "in-force"}
    missed = edits.get(status.table_version + 1)
    behind_since = None if missed is None else missed.utc
    return fields | {
        "state": "behind",
        "behind_since": _format_time(behind_since),
        "log_reachable": status.log_reachable,
    }


def _format_time(utc: datetime | None) -> str:
    return "unknown" if utc is None else utc.isoformat(timespec="seconds")
