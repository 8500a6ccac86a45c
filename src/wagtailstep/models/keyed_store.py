"""Interface to the platform's keyed store, which holds small collections."""

import enum
from datetime import timedelta
from typing import Protocol

import attrs


class Collection(enum.Enum):
    """The collections that daemons use.

    ``TABLE`` holds the table that operators publish. ``MEMBERS`` holds the address of
    each daemon's control channel by its ``daemon_id``. ``DEPARTURES`` holds by the same
    key which backend server processes have just left; see
    :mod:`wagtailstep.models.departures`.
    """

    TABLE = "table"
    MEMBERS = "members"
    DEPARTURES = "departures"


@attrs.frozen
class KeyedRecords:
    """Records read from a collection.

    :param values: the newest value by key.
    :param next_offset: offset at which later changes begin.
    :param era: rises each time the store was restored from an older copy. Offsets of
        an earlier era are void: the store has assigned them again.
    """

    values: dict[str, bytes]
    next_offset: int
    era: int = 0


class KeyedStore(Protocol):
    """Reads and writes collections; calls are not retried."""

    async def read_newest(self, collection: Collection) -> KeyedRecords:
        """Return all records.

        :raises LogUnavailableError: if the store can't be read now.
        """

    async def read_changes(
        self, collection: Collection, offset: int, wait: timedelta
    ) -> KeyedRecords:
        """Return the records from an offset on, and wait if there are none yet.

        Check the ``era`` of the result before its records are used: in a new era they
        may be others than those that followed the offset.

        :param wait: longest time that the store waits before it returns no records.
        :raises LogUnavailableError: if the store can't be read now.
        :raises RecordExpiredError: if changes since ``offset`` are no longer retained.
        """

    async def put(
        self, collection: Collection, key: str, value: bytes, end: int | None = None
    ) -> None:
        """Write a record, or remove it if ``value`` is empty.

        :param end: offset at which the collection has to end; ``None`` for any. A
            write without a response may still be applied, but not after another one
            if it names the end.
        :raises CollectionChangedError: if the collection ends at another offset.
        :raises LogUnavailableError: if the write definitely had no effect.
        :raises AppendUnknownError: if the write may have taken effect.
        """


class NullKeyedStore:
    """Null object for platforms without a keyed store."""

    async def read_newest(self, collection: Collection) -> KeyedRecords:
        """Return no records."""
        return KeyedRecords({}, 0)

    async def read_changes(
        self, collection: Collection, offset: int, wait: timedelta
    ) -> KeyedRecords:
        """Return no records."""
        return KeyedRecords({}, offset)

    async def put(
        self, collection: Collection, key: str, value: bytes, end: int | None = None
    ) -> None:
        """Write nothing."""
