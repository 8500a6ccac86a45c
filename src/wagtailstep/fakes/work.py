"""Work requests of a backend server stand-in, and counters over them."""

from collections import Counter
from collections.abc import AsyncIterator, Callable

import attrs
import xxhash
from blacksheep import Content, Request, Response, StreamedContent

WORK_TIME_HEADER = b"fake-work-ms"
KEY_HEADER = b"fake-key"
ANSWER_BYTES_HEADER = b"fake-answer-bytes"
CHUNK_BYTES = 16_384


@attrs.define
class WorkCounts:
    """Counters of a stand-in.

    :param started: number of started runs by key.
    :param runs: number of completed runs by key.
    :param shed: requests rejected because the queue was full.
    :param failed: requests that failed with status 500 due to a fault.
    :param cancelled: requests whose connection was closed before the response.
    :param most_inside: maximum number of requests in progress at the same time.
    :param late_work_ms: latest arrival of new work after the start of the drain, in
        milliseconds.
    """

    started: Counter[str] = attrs.field(factory=Counter)
    runs: Counter[str] = attrs.field(factory=Counter)
    shed: int = 0
    failed: int = 0
    cancelled: int = 0
    most_inside: int = 0
    late_work_ms: float = 0.0


@attrs.frozen
class Work:
    """One work request.

    :param key: name of the request, chosen by its caller.
    :param route: first segment of its path.
    :param work_ms: processing time.
    :param answer_bytes: size of the padding in the response body.
    :param body_bytes: size of the request body.
    :param body_digest: digest of the request body.
    """

    key: str
    route: str
    work_ms: float
    answer_bytes: int
    body_bytes: int
    body_digest: str

    def build_response(
        self, address: str, abort_connection: Callable[[], None] | None
    ) -> Response:
        """Build the response.

        :param address: address of the stand-in, included in the response.
        :param abort_connection: closes the connection, to truncate the response; or
            ``None``.
        """
        headers = [
            (KEY_HEADER, self.key.encode()),
            (b"fake-address", address.encode()),
            (b"fake-body-bytes", str(self.body_bytes).encode()),
            (b"fake-body-digest", self.body_digest.encode()),
        ]
        text = f"{self.key}\n".encode()
        if abort_connection is None and self.answer_bytes == 0:
            return Response(200, headers, Content(b"text/plain", text))

        async def stream() -> AsyncIterator[bytes]:
            yield text
            if abort_connection is not None:
                abort_connection()
                return
            remaining = self.answer_bytes
            while remaining > 0:
                size = min(remaining, CHUNK_BYTES)
                yield b"." * size
                remaining -= size

        length = len(text) + max(1, self.answer_bytes)
        if abort_connection is None:
            length = len(text) + self.answer_bytes
        return Response(200, headers, StreamedContent(b"text/plain", stream, length))


async def read_work(request: Request, default_ms: float) -> Work:
    """Read a request with its complete body.

    :param default_ms: processing time if the request doesn't specify one.
    """
    digest = xxhash.xxh64()
    size = 0
    async for chunk in request.stream():
        digest.update(chunk)
        size += len(chunk)
    path = request.url.path.decode()
    return Work(
        key=(request.get_first_header(KEY_HEADER) or b"").decode(),
        route=path.strip("/").partition("/")[0],
        work_ms=float(request.get_first_header(WORK_TIME_HEADER) or default_ms),
        answer_bytes=int(request.get_first_header(ANSWER_BYTES_HEADER) or 0),
        body_bytes=size,
        body_digest=digest.hexdigest(),
    )
