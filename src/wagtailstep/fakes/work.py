"""One unit of work of a backend server stand-in, and the counts of all."""

from collections import Counter
from collections.abc import AsyncIterator, Callable

import attrs
import xxhash
from blacksheep import Content, Request, Response, StreamedContent

WORK_MS = b"fake-work-ms"
KEY = b"fake-key"
ANSWER_BYTES = b"fake-answer-bytes"
CHUNK_BYTES = 16_384


@attrs.define
class WorkCounts:
    """What a stand-in saw.

    :param started: how often each key began to run.
    :param runs: how often each key was run to its end.
    :param shed: requests refused because too many waited.
    :param failed: requests ended with status 500 by a fault.
    :param cancelled: requests whose connection was closed before the answer.
    :param most_inside: most requests that were inside at the same time.
    :param late_work_ms: latest arrival of new work after leaving, in milliseconds.
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
    """One request as a stand-in runs it.

    :param key: what the caller calls the request.
    :param route: first segment of its path.
    :param work_ms: time that it takes.
    :param answer_bytes: size of the answer's filling.
    :param body_bytes: size of the body that was read.
    :param body_digest: digest of that body.
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
        """Return the answer.

        :param address: address of the stand-in, told to the caller.
        :param abort_connection: breaks the connection in the middle of the answer, or ``None``.
        """
        headers = [
            (KEY, self.key.encode()),
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
    """Read a request to its end.

    :param default_ms: time of a request that names none.
    """
    digest = xxhash.xxh64()
    size = 0
    async for chunk in request.stream():
        digest.update(chunk)
        size += len(chunk)
    path = request.url.path.decode()
    return Work(
        key=(request.get_first_header(KEY) or b"").decode(),
        route=path.strip("/").partition("/")[0],
        work_ms=float(request.get_first_header(WORK_MS) or default_ms),
        answer_bytes=int(request.get_first_header(ANSWER_BYTES) or 0),
        body_bytes=size,
        body_digest=digest.hexdigest(),
    )
