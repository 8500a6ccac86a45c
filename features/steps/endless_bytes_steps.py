"""Steps for backend servers that send bytes without end."""

import asyncio
from datetime import timedelta

import detangle
from asking_gates_steps import EntryWithGates
from behave import given, then, when
from scripted_servers import start_scripted_server
from target_answers_steps import (
    ADDRESS,
    SETTINGS,
    TIME_LEFT_MS,
    build_answer,
    create_gate,
)

from wagtailstep.exceptions import LogUnavailableError, RequestError
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.problems import yield_body
from wagtailstep.network.service_client import ServiceClient
from wagtailstep.utils.clock import LoopClock

# About 4 MB a second of virtual time.
PIECE_BYTES = 4_096
PIECE_INTERVAL_S = 0.001
KIB = 1_024
CONNECT_TIMEOUT = timedelta(seconds=1)
READ_TIMEOUT = timedelta(seconds=20)
HEAD = "HTTP/1.1 200 OK\r\nWagtailstep-Request-Id: two\r\n"
CHUNK = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
# The first bytes, and what follows without end.
ENDLESS = {
    "a head line without end": (b"HTTP/1.1 200 ", b"x" * PIECE_BYTES),
    "header lines without end": (HEAD.encode(), b"a: b\r\n" * 600),
    "interim responses without end": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 150),
    "a body without length or end": ((HEAD + "\r\n").encode(), b"x" * PIECE_BYTES),
    "chunks without end": (
        (HEAD + "Transfer-Encoding: chunked\r\n\r\n").encode(),
        CHUNK,
    ),
    "a chunk whose extension has no end": (
        (HEAD + "Transfer-Encoding: chunked\r\n\r\n1;").encode(),
        b"x" * PIECE_BYTES,
    ),
    "a rejection whose body has no end": (
        (
            b"HTTP/1.1 503 Full\r\nWagtailstep-Request-Id: two\r\n"
            b"Wagtailstep-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        ),
        CHUNK,
    ),
    "a late answer whose body has no end": (
        (
            b"HTTP/1.1 200 OK\r\nWagtailstep-Request-Id: one\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        ),
        CHUNK,
    ),
    "its answer and junk without end": (
        build_answer("two", "two").encode(),
        b"x" * PIECE_BYTES,
    ),
}


class EndlessServer:
    """Answers request one, and request two with bytes that don't end.

    :param start: the first bytes of the second answer.
    :param piece: what follows again and again until the connection is closed.
    """

    def __init__(self, start, piece):
        self.start = start
        self.piece = piece
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self.tasks = []

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(build_answer("one", "one").encode())
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while not writer.is_closing():
                writer.write(self.piece)
                self.sent_bytes += len(self.piece)
                await asyncio.wait_for(writer.drain(), 60)
                await asyncio.sleep(PIECE_INTERVAL_S)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.closed.set()


async def send(gate, name):
    headers = (
        ("host", "a.test"),
        ("wagtailstep-request-id", name),
        ("wagtailstep-target", "contracts/i-1"),
        ("wagtailstep-timeout-ms", str(TIME_LEFT_MS)),
    )
    incoming = IncomingRequest("GET", "/lookup/", headers, yield_body(b""))
    try:
        answer = await gate.handle(incoming)
    except RequestError as error:
        return f"{error.reason} {error.verdict.value}"
    end = "whole"
    try:
        async for _ in answer.body:
            pass
    except RequestError:
        end = "cut"
    finally:
        await answer.close()
    return f"{answer.status} {end}"


@when(
    "the backend server answers a request with {name}, and goes on until it is closed"
)
def answer_without_end(context, name):
    async def main():
        clock = LoopClock()
        client = HttpClient(SETTINGS.requests, clock)
        context.gate = create_gate(client, clock)
        context.server = EndlessServer(*ENDLESS[name])
        host, _, port = ADDRESS.rpartition(":")
        server = await start_scripted_server(context.server.serve, host, int(port))
        assert await send(context.gate, "one") == "200 whole"
        started_at = clock.monotonic()
        context.outcome = await send(context.gate, "two")
        context.took = clock.monotonic() - started_at
        await asyncio.wait_for(context.server.closed.wait(), 30)
        context.closed_after = clock.monotonic() - started_at
        client.close()
        server.close()

    detangle.run(main, seed=1)


@when("a platform service answers a read with {name}, and goes on until it is closed")
def answer_read_without_end(context, name):
    async def main():
        client = ServiceClient(
            "the service", ADDRESS, timedelta(seconds=1), LoopClock()
        )
        context.server = EndlessServer(*ENDLESS[name])
        host, _, port = ADDRESS.rpartition(":")
        server = await start_scripted_server(context.server.serve, host, int(port))
        await client.read("/one", READ_TIMEOUT)
        context.error = None
        try:
            await client.read("/two", READ_TIMEOUT)
        except LogUnavailableError as error:
            context.error = error
        await asyncio.wait_for(context.server.closed.wait(), 30)
        client.close()
        server.close()

    detangle.run(main, seed=1)


@then("the read fails")
def check_read_failed(context):
    assert context.error is not None


@then("the service is closed after at most {size:d} KiB")
def check_sent(context, size):
    assert context.server.sent_bytes <= size * KIB, context.server.sent_bytes


@when("the backend server sends an answer of {count:d} parts in {time_ms:d} ms")
def answer_slowly(context, count, time_ms):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"{HEAD}Content-Length: {count}\r\n\r\n".encode())
        for _ in range(count):
            await asyncio.sleep(time_ms / 1_000 / count)
            writer.write(b"x")
        await writer.drain()

    async def main():
        clock = LoopClock()
        client = HttpClient(SETTINGS.requests, clock)
        gate = create_gate(client, clock)
        host, _, port = ADDRESS.rpartition(":")
        server = await start_scripted_server(serve, host, int(port))
        started_at = clock.monotonic()
        context.outcome = await send(gate, "two")
        context.took = clock.monotonic() - started_at
        client.close()
        server.close()

    detangle.run(main, seed=1)


@then('the request ends as "{outcome}" within {limit:d} ms')
def check_end(context, outcome, limit):
    assert context.outcome == outcome, (context.outcome, context.took)
    assert context.took <= timedelta(milliseconds=limit), context.took


@then("the server is closed within {limit:d} ms, after at most {size:d} KiB")
def check_closed(context, limit, size):
    assert context.closed_after <= timedelta(milliseconds=limit), context.closed_after
    assert context.server.sent_bytes <= size * KIB, context.server.sent_bytes


async def yield_without_end():
    while True:
        yield b"x" * PIECE_BYTES
        await asyncio.sleep(PIECE_INTERVAL_S)


class TimedEntry(EntryWithGates):
    """An entry that runs in the virtual time of an event loop."""

    def run(self, exchange):
        async def main():
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            try:
                answer = await self.sender.run(exchange)
                await answer.close()
            except RequestError as error:
                self.errors.append(error)
            self.took_ms.append((loop.time() - started_s) * 1_000)

        detangle.run(main, seed=1)


@given("gates whose backend servers fail with a body without end")
def create_failing_gates(context):
    context.entry = TimedEntry(
        24, lambda *_: Answer(500, (), yield_without_end(), Verdict.RUN)
    )
    context.entry.took_ms = []


@then("each was sent twice within {limit:d} ms")
def check_sent_twice(context, limit):
    assert all(len(attempts) == 2 for attempts in context.sent), context.sent
    assert all(took_ms <= limit for took_ms in context.entry.took_ms), (
        context.entry.took_ms
    )
