"""Client of the platform's log service over HTTP/1.1."""

import asyncio
import contextlib
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

import attrs
import h11
import msgspec

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordExpiredError,
    SettingsError,
)
from wagtailstep.models.log import LogBatch, LogRecord, LogService
from wagtailstep.models.log_wire import AppendReply, ReadReply, StreamReply
from wagtailstep.models.settings import LogSettings

READ_CHUNK_BYTES = 65_536

_CREATED = 201
_OK = 200
_GONE = 410
# The service answers these before it does anything with the request.
_WITHOUT_EFFECT = frozenset({400, 404, 413, 429, 503})

_T = TypeVar("_T")


@attrs.frozen
class HttpReply:
    """A whole answer of the log service.

    :param status: HTTP status code.
    :param body: the whole body.
    """

    status: int
    body: bytes


class HttpLogService(LogService):
    """The log service behind ``host:port``.

    Each call opens its own connection and sends its request once. An append that
    was sent and not answered is reported as unknown, never sent again.

    :param settings: where the service is and how long a call may take.
    :raises SettingsError: if the address is not ``host:port``.
    """

    def __init__(self, settings: LogSettings) -> None:
        self.settings = settings
        self.timeout = timedelta(milliseconds=settings.timeout_ms)
        self.host, self.port = split_address(settings.address)

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record; see :meth:`LogService.append`."""
        reply = await self.call("POST", f"{_path(stream)}/records", data)
        if reply.status == _CREATED:
            return _decode(reply, AppendReply).offset
        text = f"append to stream {stream!r} got HTTP status {reply.status}"
        if reply.status in _WITHOUT_EFFECT:
            raise LogUnavailableError(f"{text} and had no effect; try again later")
        raise AppendUnknownError(f"{text} and may have taken effect; read to find out")

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Read records; see :meth:`LogService.read`."""
        query = f"offset={offset}&limit={limit}"
        reply = await self.call_idempotent(f"{_path(stream)}/records?{query}")
        if reply.status == _GONE:
            raise RecordExpiredError(_decode(reply, StreamReply).oldest_offset)
        answer = _decode_ok(reply, ReadReply)
        records = tuple(LogRecord(item.offset, item.data) for item in answer.records)
        return LogBatch(records, answer.next_offset, answer.oldest_offset)

    async def oldest_offset(self, stream: str) -> int:
        """Return the oldest offset; see :meth:`LogService.oldest_offset`."""
        reply = await self.call_idempotent(_path(stream))
        return _decode_ok(reply, StreamReply).oldest_offset

    async def call_idempotent(self, path: str) -> HttpReply:
        """Send a ``GET``; any failure means that the log can't be read now.

        :raises LogUnavailableError: if there was no whole answer in time.
        """
        try:
            return await self.call("GET", path, b"")
        except AppendUnknownError as error:
            raise LogUnavailableError(f"the log can't be read: {error}") from error

    async def call(self, method: str, path: str, body: bytes) -> HttpReply:
        """Send one request on a connection of its own, once.

        :raises LogUnavailableError: if nothing was sent.
        :raises AppendUnknownError: if it was sent and not answered in time.
        """
        address = self.settings.address
        sent = False
        try:
            async with asyncio.timeout(self.timeout.total_seconds()):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                with contextlib.closing(writer):
                    sent = True
                    return await self.exchange(reader, writer, method, path, body)
        except (OSError, EOFError, TimeoutError, h11.ProtocolError) as error:
            text = f"log service at {address}: {type(error).__name__} {error}"
            if not sent:
                raise LogUnavailableError(f"{text}; nothing was sent") from error
            raise AppendUnknownError(f"{text}; sent and not answered") from error

    async def exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        body: bytes,
    ) -> HttpReply:
        """Write one request and read its whole answer.

        :raises EOFError: if the connection ended before the answer did.
        """
        connection = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", self.settings.address),
            ("Content-Length", str(len(body))),
            ("Content-Type", "application/octet-stream"),
            ("Connection", "close"),
        ]
        request = h11.Request(method=method, target=path, headers=headers)
        writer.write(connection.send(request))
        writer.write(connection.send(h11.Data(body)))
        writer.write(connection.send(h11.EndOfMessage()))
        await writer.drain()
        return await _read_reply(connection, reader)


async def _read_reply(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> HttpReply:
    status = 0
    chunks: list[bytes] = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(READ_CHUNK_BYTES)
            if not data and connection.their_state is h11.SEND_RESPONSE:
                raise EOFError("the connection ended before the answer")
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return HttpReply(status, b"".join(chunks))


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    :raises SettingsError: if ``address`` is something else.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise SettingsError(f"log address {address!r} is not host:port")
    return host.strip("[]"), int(port)


def _path(stream: str) -> str:
    return f"/streams/{quote(stream, safe='')}"


def _decode_ok(reply: HttpReply, kind: type[_T]) -> _T:
    if reply.status != _OK:
        raise LogUnavailableError(f"the log answered with HTTP status {reply.status}")
    return _decode(reply, kind)


def _decode(reply: HttpReply, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as error:
        text = f"the log's answer (HTTP status {reply.status}) is malformed: {error}"
        if kind is AppendReply:
            raise AppendUnknownError(text) from error
        raise LogUnavailableError(text) from error
