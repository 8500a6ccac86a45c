"""Buffering of small responses, so that resends of their requests can get them too."""

from wagtailstep.models.exchange import Answer
from wagtailstep.models.idempotency import StoredAnswer
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import (
    AnswerStream,
    OnAnswerEnd,
    prepend_chunks,
    read_body_start,
)
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.problems import yield_body


async def buffer_answer(answer: Answer, exchange: Exchange, limit: int) -> Answer:
    """Buffer a small response, so that a resend of the request can get it too.

    A response above the size limit is streamed and not stored.

    :param limit: size limit in bytes.
    :raises RequestError: if the response is truncated.
    """
    try:
        chunks, complete = await read_body_start(answer.body, limit)
    except BaseException:
        await answer.close()
        raise
    if complete:
        data = b"".join(chunks)
        stored = StoredAnswer(answer.status, answer.headers, data)
        await answer.close()
        exchange.end(Verdict.RUN, stored)
        return Answer(answer.status, answer.headers, yield_body(data), Verdict.RUN)
    answer.body = prepend_chunks(chunks, answer.body)
    return track_end(answer, lambda verdict, _: exchange.end(verdict))


def track_end(answer: Answer, on_end: OnAnswerEnd) -> Answer:
    """Return the response with a body that calls ``on_end`` at its end."""
    return AnswerStream(answer, on_end).build_answer()
