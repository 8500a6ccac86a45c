"""Client of the platform's metadata store, a log of topics over HTTP/1.1."""

import base64
import binascii
import struct
from collections.abc import Iterator
from datetime import timedelta
from http import HTTPStatus

import msgspec

from wagtailstep.exceptions import (
    CollectionChangedError,
    DecodeError,
    LogUnavailableError,
    RecordExpiredError,
)
from wagtailstep.models.headers import read_int_header
from wagtailstep.models.keyed_store import Collection, KeyedRecords
from wagtailstep.network.service_client import (
    HttpReply,
    ServiceClient,
    check_append,
    decode_json,
)
from wagtailstep.platform.settings import StoreSettings
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.framing import FRAME_LENGTH, split_frames

# The operator owns ``keyed.op``; its record ``config`` contains the table.
TOPICS = {
    Collection.TABLE: "keyed.op",
    Collection.MEMBERS: "keyed.wagtailstep-members",
    Collection.DEPARTURES: "keyed.wagtailstep-departures",
}
MILLISECOND = timedelta(milliseconds=1)
READ_HEADER = struct.Struct(">QQ")
MAX_PAGES = 100
ERA_HEADER = "store-era"


class NewestItem(msgspec.Struct):
    """Newest record of a key; ``value`` is base64-encoded."""

    key: str
    value: str


class NewestPage(msgspec.Struct, rename="kebab"):
    """Response to ``log-newest``.

    :param items: records, ordered by key.
    :param end: offset of the next record of the partition.
    :param has_more: whether another page follows the last key.
    """

    items: list[NewestItem]
    end: int
    has_more: bool = False


class ConflictReply(msgspec.Struct):
    """Body of a response with status 412: the ``end`` of the partition."""

    end: int


class ExpiredReply(msgspec.Struct):
    """Body of a response with status 410.

    :param first: oldest offset that can be read.
    """

    first: int = 0


class PlatformStore:
    """Collections kept in topics of the store; see :class:`KeyedStore`.

    :param settings: settings of the connection to the store.
    :param clock: clock for the age of idle connections.
    """

    def __init__(self, settings: StoreSettings, clock: Clock) -> None:
        self.timeout = settings.timeout_ms * MILLISECOND
        self.calls = ServiceClient("the store", settings.address, self.timeout, clock)

    def apply_settings(self, settings: StoreSettings) -> None:
        """Use the address and the timeout of changed settings from now on."""
        self.timeout = settings.timeout_ms * MILLISECOND
        self.calls.change_address(settings.address)

    async def read_newest(self, collection: Collection) -> KeyedRecords:
        """Read all records, page by page."""
        values: dict[str, bytes] = {}
        after_parameter = ""
        # The pages are not a consistent snapshot: later changes have to be read from
        # the end offset of the first page on.
        first_page_end: int | None = None
        era = 0
        for _ in range(MAX_PAGES):
            query = f"topic={TOPICS[collection]}&part=0{after_parameter}"
            reply = await self.calls.read(f"/v1/log-newest?{query}", self.timeout)
            page = decode_json(reply.get_ok_body(), NewestPage)
            if first_page_end is None:
                first_page_end, era = page.end, read_era(reply)
            elif read_era(reply) != era:
                raise LogUnavailableError("the store was restored between two pages")
            values.update(decode_items(page.items))
            if not page.has_more or not page.items:
                break
            after_parameter = f"&after={page.items[-1].key}"
        return KeyedRecords(values, first_page_end or 0, era)

    async def read_changes(
        self, collection: Collection, offset: int, wait: timedelta
    ) -> KeyedRecords:
        """Wait for records from an offset on and return them."""
        query = f"topic={TOPICS[collection]}&part=0&from={offset}"
        path = f"/v1/log-read?{query}&wait-ms={wait // MILLISECOND}"
        reply = await self.calls.read(path, wait + self.timeout)
        if reply.status == HTTPStatus.GONE:
            raise RecordExpiredError(decode_json(reply.body, ExpiredReply).first)
        values: dict[str, bytes] = {}
        next_offset = offset
        for record in parse_records(reply.get_ok_body()):
            next_offset += 1
            key, value = parse_keyed_record(record)
            values[key] = value
        return KeyedRecords(values, next_offset, read_era(reply))

    async def put(
        self, collection: Collection, key: str, value: bytes, end: int | None = None
    ) -> None:
        """Append a record that becomes the newest one of its key."""
        record = bytes([len(key.encode())]) + key.encode() + value
        body = FRAME_LENGTH.pack(len(record)) + record
        condition = "" if end is None else f"&at={end}"
        path = f"/v1/log-append?topic={TOPICS[collection]}&part=0{condition}"
        reply = await self.calls.append(path, body, self.timeout)
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            raise CollectionChangedError(decode_json(reply.body, ConflictReply).end)
        check_append(reply)

    def close(self) -> None:
        """Close the idle connections."""
        self.calls.close()


def read_era(reply: HttpReply) -> int:
    """Return the store's era, which rises when it is restored from an older copy."""
    return read_int_header(reply.headers, ERA_HEADER) or 0


def decode_items(items: list[NewestItem]) -> dict[str, bytes]:
    """Return the values of newest records by key.

    :raises LogUnavailableError: if a value is not valid base64.
    """
    try:
        return {item.key: base64.b64decode(item.value, validate=True) for item in items}
    except binascii.Error as error:
        raise LogUnavailableError(f"a record is not valid base64: {error}") from error


def parse_records(body: bytes) -> Iterator[bytes]:
    """Yield the records in a response to ``log-read``, which follow two offsets.

    :raises LogUnavailableError: if the body is truncated within a record.
    """
    try:
        yield from split_frames(body, READ_HEADER.size)
    except DecodeError as error:
        raise LogUnavailableError(f"the store's response: {error}") from error


def parse_keyed_record(record: bytes) -> tuple[str, bytes]:
    """Split a keyed record into key and value; both are empty if it is malformed."""
    if not record or len(record) < 1 + record[0]:
        return "", b""
    end = 1 + record[0]
    return record[1:end].decode(errors="replace"), record[end:]
