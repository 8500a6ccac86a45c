"""Bodies on their way through the entry."""

from collections.abc import AsyncIterator, Callable

from wagtailstep.exceptions import (
    BadRequestError,
    BodyTooLargeError,
    RequestError,
    TruncatedAnswerError,
)
from wagtailstep.models.exchange import Answer
from wagtailstep.models.verdict import Verdict

OnAnswerEnd = Callable[[Verdict, RequestError | None], None]


async def limit_body(
    source: AsyncIterator[bytes], max_bytes: int
) -> AsyncIterator[bytes]:
    """Yield a body, but for what goes beyond a limit.

    :param max_bytes: its longest size in bytes; 0 for any.
    :raises BodyTooLargeError: if it is longer.
    """
    size = 0
    async for chunk in source:
        size += len(chunk)
        if max_bytes and size > max_bytes:
            raise build_body_size_error(max_bytes)
        yield chunk


def build_body_size_error(max_bytes: int) -> BodyTooLargeError:
    """Return the refusal of a body that is longer than a limit."""
    return BodyTooLargeError(f"the body is too long; {max_bytes} bytes are allowed")


class ReplayableBody:
    """A request body whose start is kept, so that a small one can be sent again.

    :param source: the chunks as they come from the caller.
    :param limit: size in bytes up to which the body is kept.
    """

    def __init__(self, source: AsyncIterator[bytes], limit: int) -> None:
        self.source = source
        self.limit = limit
        self.buffered: list[bytes] = []
        self.buffered_bytes = 0
        self.complete = False
        self.overflowed = False
        self.error: BaseException | None = None

    @property
    def replayable(self) -> bool:
        """Return whether the body can be read from its start once more."""
        return not self.overflowed and self.error is None

    async def prefetch(self) -> bytes:
        """Read ahead to the limit or to the end.

        :return: the start of the body, at most ``limit`` bytes.
        :raises RequestError: if the caller cut the body.
        """
        while not self.complete and self.buffered_bytes < self.limit:
            await self.read_chunk()
        return b"".join(self.buffered)[: self.limit]

    async def read_chunk(self) -> bool:
        """Read one chunk and keep it.

        :return: whether there was one more.
        """
        chunk = await self.read_source()
        if chunk is None:
            self.complete = True
            return False
        self.buffered.append(chunk)
        self.buffered_bytes += len(chunk)
        return True

    async def read_source(self) -> bytes | None:
        """Return the next chunk from the caller, or ``None`` at the end.

        :raises RequestError: if the caller cut the body, or if an earlier read
            was cancelled: what followed then is lost, which must not look like
            the end of the body.
        """
        if self.error is not None:
            raise BadRequestError("the request body was not read to its end")
        try:
            return await anext(self.source, None)
        except BaseException as error:
            self.error = error
            raise

    async def open(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        Once more than ``limit`` bytes have gone out nothing is kept any longer.
        """
        position = 0
        while not self.overflowed:
            if position == len(self.buffered) and not await self.read_chunk():
                return
            chunk = self.buffered[position]
            position += 1
            if self.buffered_bytes > self.limit and position == len(self.buffered):
                self.overflowed = True
                self.buffered.clear()
            yield chunk
        while (chunk := await self.read_source()) is not None:
            yield chunk


class AnswerStream:
    """Passes on the body of an answer and tells once how it ended.

    :param answer: the answer, unread.
    :param on_end: called once with ``RUN`` after the whole body, else with
        ``MAY_HAVE_RUN`` and the error, or ``None`` if the reader stopped early.
    """

    def __init__(self, answer: Answer, on_end: OnAnswerEnd) -> None:
        self.answer = answer
        self.on_end = on_end
        self.ended = False

    def build_answer(self) -> Answer:
        """Return the answer with this stream in place of its body."""
        answer = self.answer
        return Answer(
            answer.status, answer.headers, self.read(), answer.verdict, self.close
        )

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body.

        :raises RequestError: if the answer broke off.
        """
        try:
            async for chunk in self.answer.body:
                yield chunk
        except RequestError as error:
            self.end(Verdict.MAY_HAVE_RUN, error)
            raise
        self.end(Verdict.RUN)

    async def close(self) -> None:
        """Release the connection; an unfinished answer ends as cut."""
        self.end(Verdict.MAY_HAVE_RUN)
        await self.answer.close()

    def end(self, verdict: Verdict, error: RequestError | None = None) -> None:
        """Tell how the answer ended, unless it has been told."""
        if not self.ended:
            self.ended = True
            self.on_end(verdict, error)


async def read_body_start(
    body: AsyncIterator[bytes], limit: int
) -> tuple[list[bytes], bool]:
    """Read a body up to a limit.

    :param limit: size in bytes at which to stop.
    :return: the chunks read and whether they are the whole body.
    :raises RequestError: if the body broke off.
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
    """Yield chunks read before and then the rest of the same body."""
    for chunk in start:
        yield chunk
    async for chunk in rest:
        yield chunk


async def read_complete_body(answer: Answer) -> bytes:
    """Read an answer to its end and close it, whole or not.

    :raises TruncatedAnswerError: if it ends early.
    """
    try:
        return b"".join([chunk async for chunk in answer.body])
    finally:
        await answer.close()


async def discard_answer(answer: Answer) -> None:
    """Read an answer that nobody wants, so that its connection can be used again."""
    try:
        async for _ in answer.body:
            pass
    except TruncatedAnswerError:
        # What the head said holds; the connection is closed already.
        pass
    finally:
        await answer.close()
