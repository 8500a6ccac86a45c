"""Limits on the heads of requests: of each one by the table, of all in memory."""

import asyncio
import logging
from http import HTTPStatus
from typing import Any

import attrs
import h11

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.connection import DEFAULT_HEAD_BYTES, ConnectionLimits
from wagtailstep.models.headers import REASON, RETRY_AFTER, VERDICT
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
# Bounds the memory for the larger heads of all connections of one server.
MAX_LARGE_HEAD_BYTES = 32 * 1_024 * 1_024
# Other daemons have limited the heads; the table of this one may be older or newer.
PEER_LIMITS = ConnectionLimits(max_head_bytes=MAX_LARGE_HEAD_BYTES)
# As for the other refusals that may end soon.
RETRY_AFTER_S = 1
# "GET /path HTTP/1.1" and "name: value" have these bytes besides their parts. Each
# line ends with CRLF, as does the head.
REQUEST_LINE_EXTRA = len("  HTTP/1.1\r\n")
HEADER_LINE_EXTRA = len(": \r\n")
HEAD_END = len("\r\n")


def get_caller_limits(board: Blackboard) -> ConnectionLimits:
    """Return the limits of callers' connections.

    Without a table nothing is known of the size of heads; requests get 503 then.
    """
    limits = board.table.connection_limits
    if board.table_known:
        return limits
    return attrs.evolve(limits, max_head_bytes=MAX_LARGE_HEAD_BYTES)


class LimitedConnection(h11.Connection):
    """The state of an HTTP exchange whose limit on incomplete events can change."""

    def limit_incomplete_event(self, size: int) -> None:
        """Set the most bytes of a head, or of a line between chunks, that are kept."""
        self._max_incomplete_event_size = size


class LargeHeadMemory:
    """The heads above ``DEFAULT_HEAD_BYTES`` that one server keeps in memory.

    A head counts from its first byte to the end of the response. One that doesn't fit
    is refused with a time to retry; it never ran. Smaller heads are not affected.
    """

    def __init__(self) -> None:
        self.sizes: dict[asyncio.Protocol, int] = {}
        self.total = 0

    def reserve(self, connection: asyncio.Protocol, size: int) -> bool:
        """Reserve memory for the head that a connection reads or serves now.

        :param size: its size up to now in bytes.
        :return: whether there is room.
        """
        held = self.sizes.get(connection, 0)
        if size <= max(held, DEFAULT_HEAD_BYTES):
            return True
        if self.total - held + size > MAX_LARGE_HEAD_BYTES:
            return False
        self.sizes[connection] = size
        self.total += size - held
        return True

    def release(self, connection: asyncio.Protocol) -> None:
        """Release what a connection has reserved."""
        self.total -= self.sizes.pop(connection, 0)


@attrs.frozen
class HeadRefusal:
    """The response to a request whose head is not accepted.

    :param status: its HTTP status.
    :param detail: what happened and what to do about it.
    """

    status: HTTPStatus
    detail: str


TOO_LARGE = HeadRefusal(
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    "the head of the request is larger than the limit",
)
NO_ROOM = HeadRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE,
    "too many large heads at a time; retry after the time in Retry-After",
)


class HeadLimiter:
    """Limits the heads on one connection.

    :param connection: the connection.
    :param exchange: state of its HTTP exchanges.
    :param memory: bounds the larger heads of all connections of the server.

    Attributes: ``limit`` applies to the head that is being read, or to the request
    that is being served; ``incomplete_bytes`` is the size of an incomplete head.
    """

    def __init__(
        self,
        connection: asyncio.Protocol,
        exchange: LimitedConnection,
        memory: LargeHeadMemory,
    ) -> None:
        self.connection = connection
        self.exchange = exchange
        self.memory = memory
        self.limit = DEFAULT_HEAD_BYTES
        self.incomplete_bytes = 0

    def start_head(self, limit: int) -> None:
        """Set the limit of a head that begins now.

        h11 ends a connection whose incomplete head exceeds it.
        """
        if self.exchange.their_state is h11.IDLE and not self.incomplete_bytes:
            self.limit = limit
            self.exchange.limit_incomplete_event(limit)

    def measure_incomplete(self, received_bytes: int) -> HeadRefusal | None:
        """Measure the incomplete head after received bytes have been parsed.

        The unread bytes are copied for the first part of a head only, since a large one
        has many parts.
        """
        if self.exchange.their_state is not h11.IDLE:
            self.incomplete_bytes = 0
            self.exchange.limit_incomplete_event(DEFAULT_HEAD_BYTES)
            return None
        if self.incomplete_bytes:
            self.incomplete_bytes += received_bytes
        else:
            self.incomplete_bytes = len(self.exchange.trailing_data[0])
        return self.reserve(self.incomplete_bytes)

    def check_complete(self, scope: Any) -> HeadRefusal | None:
        """Return why the head of a request is refused, if it is.

        One that arrived in one piece was not measured before.

        :param scope: ASGI scope of the request.
        """
        size = measure_head(scope)
        if size > self.limit:
            self.log_refusal(TOO_LARGE, size)
            return TOO_LARGE
        return self.reserve(size)

    def reserve(self, size: int) -> HeadRefusal | None:
        """Reserve memory for a head, or return why it is refused."""
        if self.memory.reserve(self.connection, size):
            return None
        self.log_refusal(NO_ROOM, size)
        return NO_ROOM

    def release(self) -> None:
        """Release the memory of a request whose response is complete."""
        self.memory.release(self.connection)

    def log_refusal(self, refusal: HeadRefusal, size: int) -> None:
        """Log that a head is refused."""
        log_event(
            LOGGER,
            "head-refused",
            level=logging.WARNING,
            status=int(refusal.status),
            bytes=size,
            limit=self.limit,
            in_memory=self.memory.total,
        )


def measure_head(scope: Any) -> int:
    """Return the size of the head of a request in bytes, without optional spaces.

    :param scope: ASGI scope of the request.
    """
    query = scope["query_string"]
    target = len(scope["raw_path"]) + (len(query) + 1 if query else 0)
    fields = sum(
        len(name) + len(value) + HEADER_LINE_EXTRA for name, value in scope["headers"]
    )
    return len(scope["method"]) + target + REQUEST_LINE_EXTRA + fields + HEAD_END


def build_refusal_headers(status: int) -> list[tuple[bytes, bytes]]:
    """Return the headers of the response to a request whose head is not accepted."""
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"connection", b"close"),
        (VERDICT.encode(), Verdict.NOT_RUN.value.encode()),
    ]
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return [*headers, (REASON.encode(), b"bad-request")]
    return [
        *headers,
        (REASON.encode(), b"overloaded"),
        (RETRY_AFTER.encode(), str(RETRY_AFTER_S).encode()),
    ]


async def send_refusal(refusal: HeadRefusal, send: Any) -> None:
    """Send the response to a request whose head was read and is refused.

    :param send: sends a part of the response, as in ASGI.
    """
    status = refusal.status
    body = f"{refusal.detail}\n".encode()
    headers = [
        *build_refusal_headers(status),
        (b"content-length", str(len(body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": int(status), "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
