"""This daemon's record of departed backend servers in the platform's store.

A daemon acknowledges a departure once it is recorded, so that its next process ignores
announcements of the departed one that arrive late.
"""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from wagtailstep.exceptions import LogError
from wagtailstep.models.departures import (
    MAX_ANNOUNCEMENT_DELAY,
    Departure,
    DeparturesListed,
    DeparturesSaved,
    SaveDepartures,
)
from wagtailstep.models.keyed_store import Collection, KeyedStore
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import DECODE_FAILURES
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# An acknowledgement must arrive within a second; a store that takes longer than this
# does not delay it further.
MAX_SAVE_TIME = timedelta(milliseconds=500)
READ_RETRY_INTERVAL = timedelta(seconds=1)


class DepartureStore:
    """Write and read the record, one call at a time.

    :param store: the platform's keyed store.
    :param daemon_id: key of the record.
    :param dispatch: passes the outcomes of calls.
    """

    def __init__(
        self,
        store: KeyedStore,
        daemon_id: str,
        clock: Clock,
        dispatch: Callable[[Any], None],
    ) -> None:
        self.store = store
        self.daemon_id = daemon_id
        self.clock = clock
        self.dispatch = dispatch
        self.unsaved: tuple[Departure, ...] | None = None
        self.writing: asyncio.Task[None] | None = None

    def save(self, effect: SaveDepartures) -> None:
        """Write the record; while a write is under way, only the newest one follows."""
        self.unsaved = effect.departures
        if self.writing is None or self.writing.done():
            self.writing = asyncio.create_task(self.write())

    async def write(self) -> None:
        """Write until the newest record is saved or a call has failed."""
        while self.unsaved is not None:
            departures, self.unsaved = self.unsaved, None
            value = msgspec.json.encode(departures) if departures else b""
            try:
                await self.store.put(Collection.DEPARTURES, self.daemon_id, value)
            except LogError as error:
                log_event(LOGGER, "departures-not-saved", error=error)
                self.dispatch(DeparturesSaved(succeeded=False))
                return
        self.dispatch(DeparturesSaved(succeeded=True))

    async def wait_until_saved(self) -> None:
        """Wait until the write under way has ended, for a limited time."""
        if self.writing is not None and not self.writing.done():
            await asyncio.wait({self.writing}, timeout=MAX_SAVE_TIME.total_seconds())

    async def read(self) -> None:
        """Read what an earlier process recorded, while late announcements may come."""
        give_up_at = self.clock.monotonic() + MAX_ANNOUNCEMENT_DELAY
        while True:
            try:
                records = await self.store.read_newest(Collection.DEPARTURES)
                break
            except LogError as error:
                log_event(LOGGER, "departures-not-read", error=error)
            if self.clock.monotonic() >= give_up_at:
                return
            await asyncio.sleep(READ_RETRY_INTERVAL.total_seconds())
        departures = decode_departures(records.values.get(self.daemon_id, b""))
        if departures:
            self.dispatch(DeparturesListed(departures))

    def close(self) -> None:
        """Stop writing."""
        if self.writing is not None:
            self.writing.cancel()


def decode_departures(value: bytes) -> tuple[Departure, ...]:
    """Decode a record; one that can't be read counts as empty and is logged."""
    if not value:
        return ()
    try:
        return msgspec.json.decode(value, type=tuple[Departure, ...])
    except DECODE_FAILURES as error:
        log_event(LOGGER, "departures-unreadable", error=error)
        return ()
