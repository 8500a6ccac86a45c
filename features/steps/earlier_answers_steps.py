"""Steps for servers that write an earlier answer again, or stop within a head."""

import asyncio

import detangle
from behave import then, when
from scripted_servers import start_scripted_server
from target_answers_steps import (
    ADDRESS,
    SETTINGS,
    TIME_LEFT_MS,
    build_answer,
    create_gate,
)

from wagtailstep.exceptions import RequestError
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock

REFUSAL = "wagtailstep-not-executed: 1\r\n"
CHUNKS = 20
CHUNK_INTERVAL_S = 0.02
CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"


def build_refusal(name):
    answer = build_answer(name, "", "503 Full", REFUSAL)
    return answer.replace("Wagtailstep-Request-Id: \r\n", "")


class RepeatingServer:
    """Refuses the first request and repeats that before it answers others.

    The repetition follows the head of the next request, within its body if it has one.
    """

    def __init__(self, refusal):
        self.refusal = refusal
        self.refusals_left = 1
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        has_refused = False
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if self.refusals_left:
                    self.refusals_left -= 1
                    has_refused = True
                    writer.write(self.refusal.encode())
                    continue
                if has_refused:
                    writer.write(self.refusal.encode())
                elif "expect:" in head:
                    writer.write(CONTINUE.encode())
                if "transfer-encoding" in head:
                    await reader.readuntil(b"0\r\n\r\n")
                name = head.partition("request-id: ")[2].partition("\r\n")[0]
                writer.write(build_answer(name, name).encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


async def yield_slowly():
    for _ in range(CHUNKS):
        await asyncio.sleep(CHUNK_INTERVAL_S)
        yield b"part"


async def send(gate, name, headers=(), body=None):
    headers = (
        ("host", "a.test"),
        ("wagtailstep-request-id", name),
        ("wagtailstep-target", "contracts/i-1"),
        ("wagtailstep-timeout-ms", str(TIME_LEFT_MS)),
        *headers,
    )
    incoming = IncomingRequest("POST", "/sign/", headers, body or yield_body(b""))
    try:
        answer = await gate.handle(incoming)
        data = b"".join([chunk async for chunk in answer.body])
        await answer.close()
        return f"{answer.status} {data.decode()}"
    except RequestError as error:
        return f"{error.reason} {error.verdict.value}"


SENDINGS = {
    "no body": ("b", (), None),
    "a body that arrives slowly": (
        "b",
        (("transfer-encoding", "chunked"),),
        yield_slowly,
    ),
    "a body after 100 Continue": (
        "b",
        (("transfer-encoding", "chunked"), ("expect", "100-continue")),
        yield_slowly,
    ),
    "the same identifier": ("a", (), None),
}


def play(serve, script):
    """Run a script with a gate whose server is given, in virtual time."""

    async def main():
        clock = LoopClock()
        client = HttpClient(SETTINGS.requests, clock)
        gate = create_gate(client, clock)
        host, _, port = ADDRESS.rpartition(":")
        server = await start_scripted_server(serve, host, int(port))
        result = await script(gate)
        client.close()
        server.close()
        return result

    return detangle.run(main, seed=1)


def play_repetition(context, refusal, sending):
    name, headers, body = SENDINGS[sending]

    async def script(gate):
        assert await send(gate, "a") == "not-executed not-run"
        return await send(gate, name, headers, body and body())

    context.end = play(RepeatingServer(refusal).serve, script)


@when(
    "a server repeats its refusal of a request before it answers the next one, sent "
    "with {sending}"
)
def repeat_refusal(context, sending):
    play_repetition(context, build_refusal("a"), sending)


@when(
    "a server repeats an unidentified refusal before it answers the next one, sent "
    "with {sending}"
)
def repeat_unidentified_refusal(context, sending):
    play_repetition(context, build_refusal(""), sending)


@when(
    "a server answers the first request on a connection with a refusal of another one"
)
def refuse_another(context):
    async def script(gate):
        return await send(gate, "b")

    context.end = play(RepeatingServer(build_refusal("a")).serve, script)


@then('the next request ends as "{end}"')
def check_end(context, end):
    assert context.end == end, context.end


@when("a server refuses {count:d} requests, each with its identifier")
def refuse_all(context, count):
    context.connections = 0

    async def serve(reader, writer):
        context.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                name = head.partition("request-id: ")[2].partition("\r\n")[0]
                writer.write(build_refusal(name).encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    async def script(gate):
        for number in range(count):
            assert await send(gate, f"r{number}") == "not-executed not-run"

    play(serve, script)


@then("it accepted {count:d} connection")
def check_connections(context, count):
    assert context.connections == count, context.connections


@when(
    "a server ends within {part} of each answer to {count:d} requests, each time after "
    "other bytes"
)
def end_within_head(context, part, count):
    prefix = CONTINUE if "100" in part else ""

    async def serve(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        name = head.partition("request-id: ")[2].partition("\r\n")[0]
        answer_head = build_answer(name, "whole").partition("\r\n\r\n")[0] + "\r\n"
        kept = int(name[1:]) * len(answer_head) // (count - 1)
        writer.write((prefix + answer_head[:kept]).encode())
        await writer.drain()
        writer.close()

    async def script(gate):
        return [await send(gate, f"r{number}") for number in range(count)]

    context.ends = play(serve, script)


@then('each of these requests ends as "{end}"')
def check_ends(context, end):
    assert set(context.ends) == {end}, context.ends
