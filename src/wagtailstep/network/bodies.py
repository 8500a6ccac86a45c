"""Streaming, buffering and size limits of request and response bodies."""

import asyncio
from collections.abc import AsyncIterator, Callable
from datetime import timedelta

from wagtailstep.exceptions import (
    BadRequestError,
    BodyNotKeptError,
    BodyTooLargeError,
    InvalidAnswerError,
    RequestError,
    TruncatedAnswerError,
)
from wagtailstep.models.exchange import Answer
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.deadlines import limit_time
from wagtailstep.utils.callbacks import retrieve_exception

# Above these, a new connection is cheaper than reading the rest of a response.
MAX_DISCARDED_BYTES = 65_536
MAX_DISCARD_TIME = timedelta(milliseconds=100)

OnAnswerEnd = Callable[[Verdict, RequestError | None], None]


async def limit_body(
    source: AsyncIterator[bytes], max_bytes: int
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body and fail as soon as it exceeds a limit.

    :param max_bytes: the limit; 0 for none.
    :raises BodyTooLargeError: if the body is longer.
    """
    size = 0
    async for chunk in source:
        size += len(chunk)
        if max_bytes and size > max_bytes:
            raise build_body_size_error(max_bytes)
        yield chunk


def build_body_size_error(max_bytes: int) -> BodyTooLargeError:
    """Return the error for a request body that exceeds the limit."""
    return BodyTooLargeError(
        f"request body too large; at most {max_bytes} bytes are allowed"
    )


class ReplayableBody:
    """A request body that is buffered up to a limit, so that it can be sent again.

    :param source: the chunks as they arrive from the caller.
    :param limit: size in bytes up to which the body is buffered.
    """

    def __init__(self, source: AsyncIterator[bytes], limit: int) -> None:
        self.source = source
        self.limit = limit
        self.buffered: list[bytes] = []
        self.buffered_bytes = 0
        self.complete = False
        self.overflowed = False
        self.error: BaseException | None = None
        self.reading: asyncio.Task[None] | None = None

    @property
    def replayable(self) -> bool:
        """Return whether the body can be read from its start again."""
        return not self.overflowed and self.error is None

    async def prefetch(self) -> bytes:
        """Buffer the body up to the limit or its end.

        :return: the start of the body, at most ``limit`` bytes.
        :raises RequestError: if the caller aborted the body.
        """
        while not self.complete and self.buffered_bytes < self.limit:
            await self.buffer_chunk()
        return b"".join(self.buffered)[: self.limit]

    async def buffer_chunk(self) -> None:
        """Read one chunk and buffer it, or note that the body is complete."""
        chunk = await self.read_source()
        if chunk is None:
            self.complete = True
            return
        self.buffered.append(chunk)
        self.buffered_bytes += len(chunk)

    async def buffer_next_chunk(self) -> None:
        """Wait until one more chunk is buffered, or the body is complete.

        The read goes on if this is cancelled, so that the chunk is there for the next
        attempt. It ends with the caller's connection at the latest.
        """
        if self.reading is None or self.reading.done():
            self.reading = asyncio.create_task(self.buffer_chunk())
            self.reading.add_done_callback(retrieve_exception)
        await asyncio.shield(self.reading)

    async def read_source(self) -> bytes | None:
        """Return the next chunk from the caller, or ``None`` at the end.

        :raises RequestError: if the caller aborted the body, or if an earlier read
            was cancelled. The chunk of a cancelled read is lost, so reading on could
            make an incomplete body look complete.
        """
        if self.error is not None:
            raise BadRequestError(
                "request body incomplete: an earlier read of it failed or was cancelled"
            )
        try:
            return await anext(self.source, None)
        except BaseException as error:
            self.error = error
            raise

    def open(self) -> AsyncIterator[bytes]:
        """Return the body from its start.

        :raises BodyNotKeptError: if its start is not buffered any more.
        """
        if self.overflowed:
            raise BodyNotKeptError(self.limit)
        return self.iterate()

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        Once more than ``limit`` bytes have been yielded, the buffer is dropped and
        the body can't be replayed any more.

        :raises BodyNotKeptError: if another reader has got that far before.
        """
        position = 0
        while not self.overflowed:
            if position == len(self.buffered):
                if self.complete:
                    return
                await self.buffer_next_chunk()
                continue
            chunk = self.buffered[position]
            position += 1
            if self.buffered_bytes > self.limit and position == len(self.buffered):
                self.overflowed = True
                self.buffered.clear()
                yield chunk
                break
            yield chunk
        else:
            raise BodyNotKeptError(self.limit)
        while (chunk := await self.read_source()) is not None:
            yield chunk


class AnswerStream:
    """Forward the body of a response and report once how it ended.

    :param answer: the response with its body unread.
    :param on_end: called once: with ``RUN`` after the complete body, otherwise with
        ``MAY_HAVE_RUN`` and the error, or ``None`` if the reader stopped early.
    """

    def __init__(self, answer: Answer, on_end: OnAnswerEnd) -> None:
        self.answer = answer
        self.on_end = on_end
        self.ended = False

    def build_answer(self) -> Answer:
        """Return the response with this stream in place of its body."""
        answer = self.answer
        return Answer(
            answer.status, answer.headers, self.read(), answer.verdict, self.close
        )

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body.

        :raises RequestError: if the response was truncated.
        """
        try:
            async for chunk in self.answer.body:
                yield chunk
        except RequestError as error:
            self.end(Verdict.MAY_HAVE_RUN, error)
            raise
        self.end(Verdict.RUN)

    async def close(self) -> None:
        """Release the connection; report a body not read to its end as incomplete."""
        self.end(Verdict.MAY_HAVE_RUN)
        await self.answer.close()

    def end(self, verdict: Verdict, error: RequestError | None = None) -> None:
        """Report how the response ended; later calls do nothing."""
        if not self.ended:
            self.ended = True
            self.on_end(verdict, error)


async def hold_to_length(
    chunks: AsyncIterator[bytes], length: int
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body that must have its announced length.

    The last chunk is held back until the body has ended: behind it, a client would take
    the response for complete.

    :param length: announced length in bytes.
    :raises InvalidAnswerError: if the body is longer or shorter.
    """
    left = length
    last = b""
    async for chunk in chunks:
        left -= len(chunk)
        if left < 0:
            break
        if left:
            yield chunk
        else:
            last += chunk
    if left:
        fault = "longer" if left < 0 else "shorter"
        raise InvalidAnswerError(
            f"the response is {fault} than its announced {length} bytes"
        )
    if last:
        yield last


async def read_body_start(
    body: AsyncIterator[bytes], limit: int
) -> tuple[list[bytes], bool]:
    """Read a body until it ends or exceeds a limit.

    :param limit: size in bytes above which reading stops.
    :return: the chunks read, and whether they are the complete body.
    :raises RequestError: if the body was truncated.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in body:
        chunks.append(chunk)
        size += len(chunk)
        if size > limit:
            return chunks, False
    return chunks, True


async def prepend_chunks(
    start: list[bytes], rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield chunks that were already read, then the rest of the same body."""
    for chunk in start:
        yield chunk
    async for chunk in rest:
        yield chunk


async def read_complete_body(answer: Answer, max_bytes: int | None = None) -> bytes:
    """Return the complete body of a response; close the response in any case.

    :param max_bytes: size from which on the response is given up; ``None`` for none.
    :raises TruncatedAnswerError: if the body ends early or is too long.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        async for chunk in answer.body:
            chunks.append(chunk)
            size += len(chunk)
            if max_bytes is not None and size > max_bytes:
                raise TruncatedAnswerError(
                    f"the body has more than {max_bytes} bytes; the rest is not read"
                )
        return b"".join(chunks)
    finally:
        await answer.close()


async def discard_answer(answer: Answer) -> None:
    """Read and drop a short response, so that its connection can be reused.

    The connection of a long or slow one is closed instead.
    """
    try:
        async with limit_time(MAX_DISCARD_TIME):
            await read_body_start(answer.body, MAX_DISCARDED_BYTES)
    except (TruncatedAnswerError, TimeoutError):
        # The head is all that counts here.
        pass
    finally:
        await answer.close()
