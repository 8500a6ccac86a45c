"""Client of the platform's log service over HTTP/1.1."""

from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

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
from wagtailstep.network.service_client import HttpReply, ServiceClient
from wagtailstep.utils.clock import LoopClock
from wagtailstep.utils.codec import DECODE_FAILURES

_CREATED = 201
_OK = 200
_GONE = 410
# With these statuses the service has rejected a request without applying it.
_NOT_APPLIED_STATUSES = frozenset({400, 404, 413, 429, 503})

_T = TypeVar("_T")


class HttpLogService(LogService):
    """Client of the log service at ``host:port``.

    Each call sends its request once. An append that was sent without a response is
    reported as unknown and not retried.

    :param settings: address of the service and time limit of a call.
    :raises SettingsError: if the address is not ``host:port``.
    """

    def __init__(self, settings: LogSettings) -> None:
        self.timeout = timedelta(milliseconds=settings.timeout_ms)
        split_address(settings.address)
        self.calls = ServiceClient(
            "the log", settings.address, self.timeout, LoopClock()
        )

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record; see :meth:`LogService.append`."""
        path = f"{_path(stream)}/records"
        reply = await self.calls.append(path, data, self.timeout)
        if reply.status == _CREATED:
            return _decode(reply, AppendReply).offset
        text = f"append to stream {stream!r} got HTTP status {reply.status}"
        if reply.status in _NOT_APPLIED_STATUSES:
            raise LogUnavailableError(f"{text} and was not applied; retry later")
        raise AppendUnknownError(
            f"{text} and may have been applied; read the stream to find out"
        )

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Read records; see :meth:`LogService.read`."""
        query = f"offset={offset}&limit={limit}"
        reply = await self.calls.read(f"{_path(stream)}/records?{query}", self.timeout)
        if reply.status == _GONE:
            raise RecordExpiredError(_decode(reply, StreamReply).oldest_offset)
        read_reply = _decode_ok(reply, ReadReply)
        records = tuple(
            LogRecord(item.offset, item.data) for item in read_reply.records
        )
        return LogBatch(records, read_reply.next_offset, read_reply.oldest_offset)

    async def oldest_offset(self, stream: str) -> int:
        """Return the oldest offset; see :meth:`LogService.oldest_offset`."""
        reply = await self.calls.read(_path(stream), self.timeout)
        return _decode_ok(reply, StreamReply).oldest_offset

    def close(self) -> None:
        """Close the persistent connections."""
        self.calls.close()


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    :raises SettingsError: if ``address`` has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise SettingsError(f"log address {address!r} is not host:port")
    return host.strip("[]"), int(port)


def _path(stream: str) -> str:
    return f"/streams/{quote(stream, safe='')}"


def _decode_ok(reply: HttpReply, reply_type: type[_T]) -> _T:
    if reply.status != _OK:
        raise LogUnavailableError(
            f"the log service responded with HTTP status {reply.status}"
        )
    return _decode(reply, reply_type)


def _decode(reply: HttpReply, reply_type: type[_T]) -> _T:
    try:
        return msgspec.json.decode(reply.body, type=reply_type)
    except DECODE_FAILURES as error:
        text = f"malformed log response with HTTP status {reply.status}: {error}"
        if reply_type is AppendReply:
            raise AppendUnknownError(text) from error
        raise LogUnavailableError(text) from error
