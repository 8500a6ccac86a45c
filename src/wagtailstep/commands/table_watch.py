"""Follows accepted edits of the table and their rollout to the daemons."""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta

from wagtailstep.commands.table_client import TableClient
from wagtailstep.commands.table_show import show_history
from wagtailstep.commands.table_status import (
    StatusClient,
    describe_reports,
    query_daemons,
)
from wagtailstep.exceptions import LogError
from wagtailstep.models.table_fold import TableFold


async def watch_table(
    client: TableClient,
    daemons: StatusClient,
    addresses: tuple[str, ...],
    interval: timedelta,
    run_time: timedelta,
    print_line: Callable[[str], None],
) -> None:
    """Print each newly accepted edit and each change of the daemons' summary.

    :param interval: polling interval.
    :param run_time: how long to watch.
    :param print_line: called with each line of output.
    """
    deadline = client.clock.monotonic() + run_time
    last_version: int | None = None
    last_summary = ""
    while client.clock.monotonic() < deadline:
        fold = await read_fold_or_none(client)
        if fold is not None:
            for line in format_new_edits(fold, last_version):
                print_line(line)
            last_version = fold.version
        *_, summary = describe_reports(fold, await query_daemons(daemons, addresses))
        if summary != last_summary:
            print_line(summary)
        last_summary = summary
        await asyncio.sleep(interval.total_seconds())


async def read_fold_or_none(client: TableClient) -> TableFold | None:
    """Return the newest fold, or ``None`` if the log can't be read."""
    try:
        return await client.read_fold()
    except LogError:
        return None


def format_new_edits(fold: TableFold, last_version: int | None) -> Iterator[str]:
    """Return lines for the edits after a version, oldest first.

    :param last_version: the version; ``None`` returns no lines."""
    count = 0 if last_version is None else fold.version - last_version
    return reversed(list(show_history(fold, limit=count)))
