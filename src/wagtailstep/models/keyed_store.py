"""The interface to small collections of records that the platform keeps by key."""

import enum
from datetime import timedelta
from typing import Protocol

import attrs


class Collection(enum.Enum):
    """The collections that daemons use.

    ``TABLE`` holds the table that operators publish. ``MEMBERS`` holds the address of
    each daemon's control channel by its ``daemon_id``.
    """

    TABLE = "table"
    MEMBERS = "members"


@attrs.frozen
class KeyedRecords:
    """Records of a collection.

    :param values: the newest value by key.
    :param next_offset: where changes after these records begin.
    """

    values: dict[str, bytes]
    next_offset: int


class KeyedStore(Protocol):
    """Read and write collections. Every call is sent once."""

    async def read_newest(self, collection: Collection) -> KeyedRecords:
        """Return all records.

        :raises LogUnavailableError: if the store can't be read now.
        """

    async def read_changes(
        self, collection: Collection, offset: int, wait: timedelta
    ) -> KeyedRecords:
        """Return the records from an offset on, waiting for the first one.

        :param wait: how long the store waits for a record; then there are none.
        :raises LogUnavailableError: if the store can't be read now.
        :raises RecordExpiredError: if changes since ``offset`` are lost.
        """

    async def put(self, collection: Collection, key: str, value: bytes) -> None:
        """Write a record, or remove it if ``value`` is empty.

        :raises LogUnavailableError: if that certainly had no effect.
        :raises AppendUnknownError: if it may have taken effect.
        """


class NullKeyedStore:
    """Stands for the store where the platform has none."""

    async def read_newest(self, collection: Collection) -> KeyedRecords:
        """Return no records."""
        return KeyedRecords({}, 0)

    async def read_changes(
        self, collection: Collection, offset: int, wait: timedelta
    ) -> KeyedRecords:
        """Return no records."""
        return KeyedRecords({}, offset)

    async def put(self, collection: Collection, key: str, value: bytes) -> None:
        """Write nothing."""
