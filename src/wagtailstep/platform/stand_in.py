"""A stand-in for the platform's metadata store, for tests without the platform."""

import asyncio
import base64
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import attrs
import msgspec
from blacksheep import Application, Content, Request, Response, Router

from wagtailstep.network.http_server import HttpServer
from wagtailstep.platform.store import (
    ERA_HEADER,
    READ_HEADER,
    parse_keyed_record,
    parse_records,
)
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.framing import FRAME_LENGTH

UNANSWERED_CALL_S = 3_600.0
LATE_APPEND_S = 4.0


@attrs.define
class Topic:
    """Records of a topic in its only partition, 0.

    :param records: records with their offsets.
    :param next_offset: offset of the next record.
    :param oldest_offset: oldest offset that can be read.
    :param appended: set when the next record is appended.
    """

    records: list[tuple[int, bytes]] = attrs.field(factory=list)
    next_offset: int = 0
    oldest_offset: int = 0
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    def copy(self) -> "Topic":
        """Return a copy, as a backup of the store contains it."""
        return Topic(list(self.records), self.next_offset, self.oldest_offset)

    def append(self, record: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        self.records.append((offset, record))
        self.next_offset += 1
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def append_all(self, records: Sequence[bytes], end: int | None) -> int | None:
        """Append records and return the offset of the first one.

        :param end: offset at which the topic has to end; ``None`` for any.
        :return: ``None`` if it ends at another offset.
        """
        offset = self.next_offset
        if end not in (None, offset):
            return None
        for record in records:
            self.append(record)
        return offset

    def compact(self) -> None:
        """Drop all but the newest record of each key, and expire earlier offsets."""
        newest_records = {
            parse_keyed_record(record)[0]: (at, record) for at, record in self.records
        }
        self.records = sorted(newest_records.values())
        self.oldest_offset = self.next_offset


@attrs.define
class StoreFaults:
    """Injected faults.

    :param status: status of responses to calls, which then have no effect; 0 for none.
    :param silent: whether calls have no effect and get no response.
    :param refusing_ports: ports at which calls get 503 and have no effect.
    :param silent_ports: ports at which calls have no effect and get no response.
    :param lost_answers: number of next appends that take effect but get no response.
    :param late_appends: number of next appends that get no response and take effect
        ``LATE_APPEND_S`` later.
    :param truncated_answers: whether response bodies are truncated.
    """

    status: int = 0
    silent: bool = False
    refusing_ports: set[int] = attrs.field(factory=set)
    silent_ports: set[int] = attrs.field(factory=set)
    lost_answers: int = 0
    late_appends: int = 0
    truncated_answers: bool = False


class StandInStore:
    """Serves the calls that the adapter makes, according to the published protocol."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.backup: dict[str, Topic] = {}
        self.era = 1
        self.on_append = do_nothing
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.app = Application(router=Router())
        self.servers: list[HttpServer] = []
        self.register_endpoints()

    async def start(self, address: str) -> str:
        """Listen on ``host:port`` and return the bound address.

        With several addresses, faults can affect some callers only.
        """
        if not self.servers:
            await self.app.start()
        server = HttpServer(self.app, lambda: None)
        self.servers.append(server)
        return await server.start(address)

    async def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            await server.close()

    def get_topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as the operator does."""
        name = key.encode()
        self.get_topic(topic).append(bytes([len(name)]) + name + value)

    def back_up(self) -> None:
        """Copy all topics for :meth:`restore`."""
        self.backup = {name: topic.copy() for name, topic in self.topics.items()}

    def restore(self) -> None:
        """Replace all topics by their copies, as of the time of :meth:`back_up`.

        Reads that wait for a change of the replaced topics end without records.
        """
        for topic in self.topics.values():
            topic.appended.set()
        self.topics = {name: topic.copy() for name, topic in self.backup.items()}
        self.era += 1

    def register_endpoints(self) -> None:
        """Register the endpoints."""

        async def append(request: Request) -> Response:
            return await self.serve(request, self.append)

        async def read(request: Request) -> Response:
            return await self.serve(request, self.read)

        async def newest(request: Request) -> Response:
            return await self.serve(request, self.newest)

        self.app.router.add_post("/v1/log-append", append)
        self.app.router.add_get("/v1/log-read", read)
        self.app.router.add_get("/v1/log-newest", newest)

    async def serve(self, request: Request, call: Any) -> Response:
        """Serve a call subject to the injected faults."""
        self.calls.append(request.url.path.decode())
        port = request.scope["server"][1]
        if self.faults.silent or port in self.faults.silent_ports:
            await asyncio.sleep(UNANSWERED_CALL_S)
        if port in self.faults.refusing_ports:
            return self.add_era(Response(HTTPStatus.SERVICE_UNAVAILABLE))
        if self.faults.status:
            return self.add_era(Response(self.faults.status))
        query = {name: values[0] for name, values in request.query.items()}
        body = await request.read() or b""
        response = await call(self.get_topic(query["topic"]), query, body)
        if self.faults.truncated_answers:
            content = response.content
            response.content = Content(content.type, content.body[:-3])
        return self.add_era(response)

    def add_era(self, response: Response) -> Response:
        """Add the header that rises with each restored copy."""
        response.add_header(ERA_HEADER.encode(), str(self.era).encode())
        return response

    async def append(self, topic: Topic, query: dict[str, str], body: bytes) -> Any:
        """Append the records of a body, all or nothing."""
        self.on_append()
        records = list(parse_records(bytes(READ_HEADER.size) + body))
        end = int(query["at"]) if "at" in query else None
        if self.faults.late_appends:
            self.faults.late_appends -= 1
            # Not awaited here, as the caller closes the connection before.
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_APPEND_S, topic.append_all, records, end)
            await asyncio.sleep(UNANSWERED_CALL_S)
        offset = topic.append_all(records, end)
        if offset is None:
            return build_json_response({"end": topic.next_offset}, 412)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await asyncio.sleep(UNANSWERED_CALL_S)
        return build_json_response({"offset": offset, "end": topic.next_offset})

    async def read(self, topic: Topic, query: dict[str, str], body: bytes) -> Response:
        """Read records; wait for the first one if there is none yet."""
        start = int(query["from"])
        if not topic.oldest_offset <= start <= topic.next_offset:
            return build_json_response({"first": topic.oldest_offset}, HTTPStatus.GONE)
        if start >= topic.next_offset:
            wait_s = int(query.get("wait-ms", "0")) / 1_000
            try:
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            except TimeoutError:
                pass
        data = READ_HEADER.pack(topic.next_offset, topic.oldest_offset)
        for offset, record in topic.records:
            if offset >= start:
                data += FRAME_LENGTH.pack(len(record)) + record
        return Response(200, None, Content(b"application/octet-stream", data))

    async def newest(self, topic: Topic, query: dict[str, str], body: bytes) -> Any:
        """Return the newest record of each key."""
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in topic.records:
            key, value = parse_keyed_record(record)
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
        ]
        return build_json_response(
            {"items": items, "has-more": False, "end": topic.next_offset}
        )


def build_json_response(body: Any, status: int = HTTPStatus.OK) -> Response:
    """Build a response with a JSON body."""
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(int(status), None, content)
