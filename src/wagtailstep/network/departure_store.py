"""This daemon's records of departed backend servers in the platform's store.

A departure is acknowledged once it is recorded, so that the next process of the daemon
ignores announcements of the departed one that arrive late.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import msgspec

from wagtailstep.exceptions import LogError
from wagtailstep.models.departures import (
    MAX_ANNOUNCEMENT_DELAY,
    Departure,
    DeparturesListed,
    DeparturesLookedUp,
    DeparturesSaved,
    LookUpDepartures,
    RetryDeparturesRead,
    SaveDepartures,
)
from wagtailstep.models.keyed_store import Collection, KeyedStore
from wagtailstep.utils.clock import Clock, get_unix_ms
from wagtailstep.utils.codec import DECODE_FAILURES
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# An acknowledgement must arrive within a second.
MAX_RECORD_TIME = timedelta(milliseconds=800)
READ_RETRY_INTERVAL = timedelta(seconds=1)


class DepartureStore:
    """Write and read the records, one call at a time.

    A write without a response may be applied seconds later. Each departure therefore
    has a record of its own, whose key no later process uses: whichever write is late,
    it doesn't replace the record of another departure.

    :param store: the platform's keyed store.
    :param daemon_id: first part of the keys of the records.
    :param clock: its time at the start of the process is the second part.
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
        self.key_prefix = f"{daemon_id}/{get_unix_ms(clock):x}"
        self.numbers = itertools.count()
        self.clock = clock
        self.dispatch = dispatch
        self.wanted: tuple[Departure, ...] = ()
        self.store_era = -1
        # Records that are in the store or may be, by key.
        self.records: dict[str, tuple[Departure, ...]] = {}
        # Departures whose records the store has acknowledged.
        self.recorded: set[Departure] = set()
        self.writing: asyncio.Task[None] | None = None
        self.call_ended = asyncio.Event()
        self.read_due = asyncio.Event()
        self.look_ups: list[LookUpDepartures] = []
        self.looking_up: asyncio.Task[None] | None = None

    def save(self, effect: SaveDepartures) -> None:
        """Write missing records and remove those that are no longer wanted."""
        self.wanted = effect.departures
        if effect.store_era > self.store_era >= 0:
            # The store was restored from an older copy.
            self.recorded.clear()
        self.store_era = max(self.store_era, effect.store_era)
        if self.writing is None or self.writing.done():
            self.writing = asyncio.create_task(self.write())

    async def write(self) -> None:
        """Write until the store is up to date or a call has failed."""
        succeeded = True
        while succeeded and (change := self.choose_change()) is not None:
            key, departures = change
            value = msgspec.json.encode(departures) if departures else b""
            try:
                await self.store.put(Collection.DEPARTURES, key, value)
            except LogError as error:
                log_event(LOGGER, "departures-not-saved", error=error)
                succeeded = False
            else:
                self.complete_change(key, departures)
            self.dispatch(DeparturesSaved(frozenset(self.recorded), succeeded))
            self.call_ended.set()
            self.call_ended = asyncio.Event()

    def choose_change(self) -> tuple[str, tuple[Departure, ...]] | None:
        """Return the next record to write, with its key; an empty one is removed.

        Acknowledgements wait for new records, so these go before removals.
        """
        for departure in self.wanted:
            if departure not in self.recorded:
                return self.assign_key(departure), (departure,)
        for key, departures in self.records.items():
            if not any(departure in self.wanted for departure in departures):
                return key, ()
        return None

    def assign_key(self, departure: Departure) -> str:
        """Return the key of the record of a departure."""
        for key, departures in self.records.items():
            if departures == (departure,):
                return key
        key = f"{self.key_prefix}-{next(self.numbers)}"
        self.records[key] = (departure,)
        return key

    def complete_change(self, key: str, departures: tuple[Departure, ...]) -> None:
        """Handle the store's acknowledgement of a change."""
        if departures:
            self.recorded.update(departures)
        else:
            self.recorded.difference_update(self.records.pop(key))

    async def wait_until(self, is_settled: Callable[[], bool]) -> bool:
        """Wait for writes until a condition holds, for ``MAX_RECORD_TIME`` at most.

        :param is_settled: whether all departures that matter are recorded.
        :return: the condition; ``False`` as soon as a write has failed.
        """
        ends_at = self.clock.monotonic() + MAX_RECORD_TIME
        while not is_settled():
            time_left = (ends_at - self.clock.monotonic()).total_seconds()
            if self.writing is None or self.writing.done() or time_left <= 0:
                return False
            ended = asyncio.ensure_future(self.call_ended.wait())
            await asyncio.wait({ended, self.writing}, timeout=time_left)
            ended.cancel()
        return True

    async def read(self) -> None:
        """Read what earlier processes recorded, while late announcements may come."""
        give_up_at = self.clock.monotonic() + MAX_ANNOUNCEMENT_DELAY
        while True:
            self.read_due.clear()
            try:
                listed = await self.store.read_newest(Collection.DEPARTURES)
                break
            except LogError as error:
                log_event(LOGGER, "departures-not-read", error=error)
            if self.clock.monotonic() >= give_up_at:
                return
            await self.wait_for_retry()
        departures: list[Departure] = []
        for key, value in select_records(listed.values, self.daemon_id).items():
            if key not in self.records:
                self.records[key] = decode_departures(value)
                departures += self.records[key]
        self.recorded.update(departures)
        self.dispatch(DeparturesListed(tuple(departures)))

    async def wait_for_retry(self) -> None:
        """Wait for the next attempt to read, or until it is due at once."""
        try:
            async with asyncio.timeout(READ_RETRY_INTERVAL.total_seconds()):
                await self.read_due.wait()
        except TimeoutError:
            pass

    def retry_read(self, effect: RetryDeparturesRead) -> None:
        """Read the records now, unless they have been read."""
        self.read_due.set()

    def look_up(self, effect: LookUpDepartures) -> None:
        """Read the records of another daemon, which can't do so itself."""
        self.look_ups.append(effect)
        if self.looking_up is None or self.looking_up.done():
            self.looking_up = asyncio.create_task(self.run_look_ups())

    async def run_look_ups(self) -> None:
        """Read once for all that have been requested by then, until there are none.

        A request that comes during a read is not answered with its result, which may
        lack what was recorded meanwhile.
        """
        while self.look_ups:
            effects, self.look_ups = self.look_ups, []
            try:
                listed = await self.store.read_newest(Collection.DEPARTURES)
            except LogError as error:
                log_event(LOGGER, "departures-not-looked-up", error=error)
                found = dict.fromkeys(effects)
            else:
                found = {
                    effect: list_departures(listed.values, effect.daemon_id)
                    for effect in effects
                }
            for effect, departures in found.items():
                self.dispatch(DeparturesLookedUp(effect.request_id, departures))

    def close(self) -> None:
        """Stop writing, and reading for others."""
        for task in (self.writing, self.looking_up):
            if task is not None:
                task.cancel()


def select_records(values: Mapping[str, bytes], daemon_id: str) -> dict[str, bytes]:
    """Return the records of one daemon by key.

    Earlier versions wrote one record per daemon, without the second part of the key.
    """
    return {
        key: value
        for key, value in values.items()
        if key.partition("/")[0] == daemon_id
    }


def list_departures(
    values: Mapping[str, bytes], daemon_id: str
) -> tuple[Departure, ...]:
    """Return the departures in the records of one daemon."""
    records = select_records(values, daemon_id)
    return tuple(itertools.chain(*map(decode_departures, records.values())))


def decode_departures(value: bytes) -> tuple[Departure, ...]:
    """Decode a record; one that can't be read counts as empty and is logged."""
    if not value:
        return ()
    try:
        return msgspec.json.decode(value, type=tuple[Departure, ...])
    except DECODE_FAILURES as error:
        log_event(LOGGER, "departures-unreadable", error=error)
        return ()
