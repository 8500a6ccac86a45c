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
from wagtailstep.models.published_table import TableDocument, TablePublished
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# A few daemons keep a long-poll read open at the store. An outage may lose all these
# reads without an error. The longest wait and the timeout of a call are below the 3 s
# after which the store counts as stable again and changes have to arrive in time, plus
# part of that time.
MEAN_WAIT_S = 2.2
WAIT_SPREAD = 0.4
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
    :param dispatch: called with :class:`TablePublished` and :class:`StoreEraRead`.
    :param report_reachability: called after each call to the store with whether it
        was reachable.
    :param rng: source of random waits and back-off.
    """

    def __init__(
        self,
        store: KeyedStore,
        find_document: FindDocument,
        dispatch: Callable[[Any], None],
        report_reachability: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.find_document = find_document
        self.dispatch = dispatch
        self.report_reachability = report_reachability
        self.rng = rng
        self.offset: int | None = None
        self.era: int | None = None
        self.backoff_s = 0.0
        self.active = asyncio.Event()
        self.active.set()

    def set_active(self, effect: FollowTable) -> None:
        """Start or stop to follow the table; a waiting read is not interrupted."""
        if effect.active:
            self.active.set()
        else:
            self.active.clear()

    async def run(self) -> None:
        """Follow the table while active, until cancelled."""
        while True:
            await self.active.wait()
            try:
                records = await self.read()
            except RecordExpiredError as error:
                log_event(LOGGER, "table-history-lost", oldest_offset=error.oldest)
                self.offset = None
            except LogError as error:
                self.report_reachability(False)
                await self.back_off(error)
            else:
                self.backoff_s = 0.0
                self.report_reachability(True)
                if self.check_era(records):
                    self.handle_records(records)

    async def read(self) -> KeyedRecords:
        """Read the newest records, or wait for changes after those already read.

        :raises LogError: if the call failed.
        """
        if self.offset is None:
            return await self.store.read_newest(Collection.TABLE)
        wait = self.choose_wait()
        return await self.store.read_changes(Collection.TABLE, self.offset, wait)

    def choose_wait(self) -> timedelta:
        """Return a random time for which the next read may wait for a change.

        The first read after an outage does not wait, since it shows at once whether
        the offset is still valid.
        """
        if self.backoff_s:
            return timedelta()
        factor = self.rng.uniform(1 - WAIT_SPREAD, 1 + WAIT_SPREAD)
        return timedelta(seconds=MEAN_WAIT_S * factor)

    def check_era(self, records: KeyedRecords) -> bool:
        """Return whether records follow the offset; if not, read the newest next."""
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
            offset=self.offset,
        )
        if self.offset is None:
            return True
        self.offset = None
        return False

    def handle_records(self, records: KeyedRecords) -> None:
        """Dispatch the table's document if the records contain it."""
        self.offset = records.next_offset
        try:
            document = self.find_document(records)
        except DecodeError as error:
            log_event(LOGGER, "table-unreadable", logging.WARNING, error=error)
            return
        if document is not None:
            self.dispatch(TablePublished(document, "store"))

    async def back_off(self, error: LogError) -> None:
        """Wait before the next call, twice as long after each failure up to a limit."""
        next_backoff_s = max(INITIAL_BACKOFF_S, 2 * self.backoff_s)
        if not self.backoff_s:
            log_event(LOGGER, "store-call-failed", logging.WARNING, error=error)
        self.backoff_s = min(MAX_BACKOFF_S, next_backoff_s)
        await asyncio.sleep(self.backoff_s * self.rng.uniform(0.5, 1.5))
