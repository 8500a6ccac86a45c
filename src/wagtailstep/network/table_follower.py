"""Follower of the table that operators publish in the platform's store."""

import asyncio
import logging
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from wagtailstep.exceptions import DecodeError, LogError, RecordExpiredError
from wagtailstep.models.events import FollowTable, StoreEraRead
from wagtailstep.models.keyed_store import Collection, KeyedRecords, KeyedStore
from wagtailstep.models.published_table import (
    TableDocument,
    TablePublished,
    TableReadConfirmed,
)
from wagtailstep.network.runtime import Runtime
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# A call that the store refused is retried within 2 s, the store's bound for changes.
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5

FindDocument = Callable[[KeyedRecords], TableDocument | None]


class TableFollower:
    """Read the newest table, then long-poll for changes, and continue through outages.

    A store that was restored from an older copy has assigned offsets again, so the
    newest table is read anew. It may be older than the one in force until the operator
    has written the lost versions again; versions decide, not the order of reads.

    :param store: the platform's store.
    :param find_document: returns the table's document among records, if any; raises
        :class:`DecodeError` if the document can't be decoded.
    :param choose_wait: returns for how long the next read may wait for a change.
    :param clock: source of the time of reads.
    :param dispatch: called with :class:`TablePublished`, :class:`TableReadConfirmed`
        and :class:`StoreEraRead`.
    :param report_reachability: called after each call to the store with whether it
        was reachable.
    :param rng: source of random waits and back-off.
    """

    def __init__(
        self,
        store: KeyedStore,
        find_document: FindDocument,
        choose_wait: Callable[[], timedelta],
        clock: Clock,
        dispatch: Callable[[Any], None],
        report_reachability: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.find_document = find_document
        self.choose_wait = choose_wait
        self.clock = clock
        self.dispatch = dispatch
        self.report_reachability = report_reachability
        self.rng = rng
        self.offset: int | None = None
        self.era: int | None = None
        self.is_readable = True
        self.backoff_s = 0.0
        self.active = asyncio.Event()
        self.active.set()

    def set_active(self, effect: FollowTable) -> None:
        """Start or stop to follow the table; a waiting read is not interrupted."""
        if effect.active:
            # The newest table is shorter than all versions since the last read.
            self.offset = None
            self.active.set()
        else:
            self.active.clear()

    async def run(self) -> None:
        """Follow the table while active, until cancelled."""
        while True:
            await self.active.wait()
            try:
                await self.follow_once()
            except RecordExpiredError as error:
                log_event(LOGGER, "table-history-lost", oldest_offset=error.oldest)
                self.offset = None
            except LogError as error:
                self.report_reachability(False)
                await self.back_off(error)

    async def follow_once(self) -> None:
        """Read the newest records, or wait for changes after those already read.

        :raises LogError: if the call failed.
        """
        started_at = self.clock.monotonic()
        offset = self.offset
        waited = timedelta()
        if offset is None:
            records = await self.store.read_newest(Collection.TABLE)
        else:
            # The first read after an outage does not wait, since it shows at once
            # whether the offset is still valid.
            wait = timedelta() if self.backoff_s else self.choose_wait()
            records = await self.store.read_changes(Collection.TABLE, offset, wait)
            if records.next_offset == offset:
                waited = wait
        self.backoff_s = 0.0
        self.report_reachability(True)
        if self.check_era(records, offset):
            self.handle_records(records)
            self.confirm_read(started_at, waited)

    def check_era(self, records: KeyedRecords, offset: int | None) -> bool:
        """Return whether records follow an offset; if not, read the newest next."""
        known_era, self.era = self.era, records.era
        if records.era == known_era:
            return True
        self.dispatch(StoreEraRead(records.era))
        if known_era is None:
            return True
        log_event(
            LOGGER,
            "store-restored",
            logging.WARNING,
            era=records.era,
            known_era=known_era,
            offset=offset,
        )
        if offset is None:
            return True
        self.offset = None
        return False

    def handle_records(self, records: KeyedRecords) -> None:
        """Dispatch the table's document if the records contain it."""
        self.offset = records.next_offset
        try:
            document = self.find_document(records)
        except DecodeError as error:
            self.is_readable = False
            log_event(LOGGER, "table-unreadable", logging.WARNING, error=error)
            return
        if document is not None:
            self.is_readable = True
            self.dispatch(TablePublished(document, "store"))

    def confirm_read(self, started_at: timedelta, waited: timedelta) -> None:
        """Dispatch up to when all versions are known.

        :param waited: time that the store was asked to wait, if there was no change.
        """
        confirmed_at = started_at + waited
        if confirmed_at > self.clock.monotonic():
            # The response came before the end of the wait.
            confirmed_at = started_at
        self.dispatch(TableReadConfirmed(confirmed_at, self.is_readable))

    async def back_off(self, error: LogError) -> None:
        """Wait before the next call, twice as long after each failure up to a limit."""
        next_backoff_s = max(INITIAL_BACKOFF_S, 2 * self.backoff_s)
        if not self.backoff_s:
            log_event(LOGGER, "store-call-failed", logging.WARNING, error=error)
        self.backoff_s = min(MAX_BACKOFF_S, next_backoff_s)
        await asyncio.sleep(self.backoff_s * self.rng.uniform(0.5, 1.5))


def follow_table(
    store: KeyedStore,
    find_document: FindDocument,
    choose_wait: Callable[[], timedelta],
    clock: Clock,
    runtime: Runtime,
    rng: random.Random,
) -> None:
    """Follow the table for as long as a runtime runs; see :class:`TableFollower`."""
    follower = TableFollower(
        store,
        find_document,
        choose_wait,
        clock,
        runtime.dispatch,
        runtime.record_log_reachability,
        rng,
    )
    runtime.effect_handlers[FollowTable] = follower.set_active
    runtime.spawn(follower.run())
