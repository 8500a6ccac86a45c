"""Steps for how a gate classifies its backend server's answers."""

import asyncio
import random
from datetime import timedelta

import detangle
from behave import then, when
from scripted_servers import start_scripted_server

from wagtailstep.controllers.gate import GateController
from wagtailstep.exceptions import (
    BadRequestError,
    ConnectionFailedError,
    DeadlineExceededError,
    NotExecutedError,
    RequestError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.headers import find_header
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.gate import GateService
from wagtailstep.network.gate_answers import assess_work
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.problems import yield_body
from wagtailstep.network.sockets import reset_transport
from wagtailstep.utils.clock import LoopClock

SETTINGS = DaemonSettings(
    "d1",
    "bole",
    "127.0.0.1:1",
    "127.0.0.1:2",
    "127.0.0.1:3",
    "127.0.0.1:4",
    requests=RequestSettings(caller_request_ids=True, unsafe_idle_ms=2_000),
)
ADDRESS = "127.0.0.1:9000"
TIME_LEFT_MS = 2_000


def build_answer(name, body, status="200 OK", headers=""):
    return (
        f"HTTP/1.1 {status}\r\nWagtailstep-Request-Id: {name}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )


OWN_ANSWER = build_answer("two", "two")
LATE_ANSWER = build_answer("one", "late")
ANSWERS = {
    "its own answer": OWN_ANSWER,
    "a failure": build_answer("two", "two", "500 Oh"),
    "421": build_answer("two", "", "421 No"),
    "503 not executed": build_answer(
        "two", "", "503 Full", "Wagtailstep-Not-Executed: 1\r\n"
    ),
    "503": build_answer("two", "two", "503 Full"),
    "no identifier": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo",
    "an encoded body": build_answer("two", "two", headers="Content-Encoding: br\r\n"),
    "a late answer first": LATE_ANSWER + OWN_ANSWER,
    "two late answers first": LATE_ANSWER + LATE_ANSWER + OWN_ANSWER,
    "a late answer only": LATE_ANSWER,
    "a late answer without length": (
        "HTTP/1.1 200 OK\r\nWagtailstep-Request-Id: one\r\n\r\nlate"
    ),
    "half of its answer": OWN_ANSWER[:-1],
    "no length and an end": (
        "HTTP/1.1 200 OK\r\nWagtailstep-Request-Id: two\r\n\r\ntwo"
    ),
    "a length beside chunks": (
        "HTTP/1.1 200 OK\r\nWagtailstep-Request-Id: two\r\nContent-Length: 2\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
    ),
    "bytes that are no answer": "what is this\r\n\r\n",
}


class ScriptedTarget:
    """Answers request one correctly and request two as scripted, then closes."""

    def __init__(self, answer):
        self.answers = [build_answer("one", "one"), answer]
        self.heads = []

    async def serve(self, reader, writer):
        while self.answers:
            self.heads.append((await reader.readuntil(b"\r\n\r\n")).decode())
            writer.write(self.answers.pop(0).encode())
            await writer.drain()
        writer.close()


async def send(gate, name, headers=(), body=None):
    """Send a request through the gate and return its outcome."""
    headers = (
        ("host", "a.test"),
        ("wagtailstep-request-id", name),
        ("wagtailstep-target", "contracts/i-1"),
        ("wagtailstep-idempotent", "?0"),
        ("wagtailstep-caller-service", "portal"),
        ("wagtailstep-timeout-ms", str(TIME_LEFT_MS)),
        *headers,
    )
    body = yield_body(b"") if body is None else body
    incoming = IncomingRequest("POST", "/sign/", headers, body)
    try:
        answer = await gate.handle(incoming)
        data = b"".join([chunk async for chunk in answer.body])
        await answer.close()
        check_length(answer, data)
        return f"{answer.status} {data.decode()}"
    except RequestError as error:
        return f"{error.reason} {error.verdict.value}"


def check_length(answer, data):
    """Check that a forwarded length is that of the body."""
    length = find_header(answer.headers, "content-length")
    assert length in (None, str(len(data))), (length, data)


def create_gate(client, clock, address=ADDRESS):
    board = Blackboard(Member("d1", 1, "", "", "bole"))
    board.targets["contracts/i-1"] = Target(
        "contracts/i-1", "contracts", "d1", "bole", address=address
    )
    controller = GateController(SETTINGS, board, clock, random.Random(1))
    return GateService(SETTINGS, controller, client, clock)


HEADS = {
    "answers 200": "HTTP/1.1 200 OK\r\nWagtailstep-Request-Id: two\r\n\r\npart",
    "answers 200 in chunks": (
        "HTTP/1.1 200 OK\r\nWagtailstep-Request-Id: two\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
    ),
    "answers 413": (
        "HTTP/1.1 413 Too Large\r\nWagtailstep-Request-Id: two\r\n\r\npart"
    ),
}
UPLOAD_CHUNKS = 30
UPLOAD_CHUNK = b"u" * 4_096
UPLOAD_END = b"0\r\n\r\n"


class EarlyTarget:
    """Answers an upload within it and ends the connection in a given way."""

    def __init__(self, answer, end):
        self.answer = answer
        self.end = end

    async def serve(self, reader, writer):
        if self.answer.endswith("after it"):
            data = b""
            while not data.endswith(UPLOAD_END):
                data += await reader.read(len(UPLOAD_CHUNK))
        else:
            await reader.readuntil(UPLOAD_CHUNK)
        writer.write(HEADS[self.answer.removesuffix(" after it")].encode())
        await writer.drain()
        if self.end == "closes its socket late":
            await asyncio.sleep(0.05)
        if self.end == "ends its side and reads on":
            writer.write_eof()
            await reader.read()
        elif self.end == "resets the connection":
            reset_transport(writer.transport)
        writer.close()


async def yield_upload():
    for _ in range(UPLOAD_CHUNKS):
        yield UPLOAD_CHUNK
        await asyncio.sleep(0.005)


@when("the backend server {answer} while an upload is being sent, and {end}")
def answer_within_upload(context, answer, end):
    async def main():
        clock = LoopClock()
        client = HttpClient(SETTINGS.requests, clock)
        target = EarlyTarget(answer, end)
        server = await start_scripted_server(target.serve, "127.0.0.1", 0)
        _, port = server.sockets[0].getsockname()
        gate = create_gate(client, clock, f"127.0.0.1:{port}")
        context.outcome = await send(
            gate, "two", (("transfer-encoding", "chunked"),), yield_upload()
        )
        client.close()
        server.close()

    # Resets need real sockets.
    asyncio.run(main())


@then('the upload ends as "{outcome}"')
def check_upload(context, outcome):
    assert context.outcome == outcome, context.outcome


class CancelledClient:
    """Awaits what somebody else cancels."""

    async def send(self, request):
        shared = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(shared.cancel)
        await shared


@when("something cancels what the gate sends to the backend server")
def cancel_sending(context):
    async def main():
        context.gate = create_gate(CancelledClient(), LoopClock())
        try:
            await send(context.gate, "one")
        except asyncio.CancelledError:
            return
        raise AssertionError("the error was swallowed")

    detangle.run(main, seed=1)


@then("the gate's slots are all free")
def check_slots(context):
    (queue,) = context.gate.controller.queues.values()
    assert not queue.running and not context.gate.admission.waiters, queue
    assert not context.gate.start_times, context.gate.start_times


@when('the backend server answers with the status "{status}"')
def answer_with_status(context, status):
    code = "" if status == "none" else f" {status}"
    play_answer(context, OWN_ANSWER.replace(" 200 OK", code, 1))


@when('the backend server answers with "{answer}"')
def answer_request(context, answer):
    play_answer(context, ANSWERS[answer])


def play_answer(context, answer):
    context.target = ScriptedTarget(answer)

    async def main():
        clock = LoopClock()
        client = HttpClient(SETTINGS.requests, clock)
        gate = create_gate(client, clock)
        server = await start_scripted_server(context.target.serve, "127.0.0.1", 9000)
        assert await send(gate, "one") == "200 one"
        context.outcome = await send(gate, "two")
        await asyncio.sleep(timedelta(seconds=1).total_seconds())
        client.close()
        server.close()

    detangle.run(main, seed=1)


@then('request 2 ends as "{outcome}"')
def check_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then("it received the headers")
def check_headers(context):
    head = context.target.heads[1].lower()
    for row in context.table:
        assert f"{row['name']}: {row['value']}\r\n" in head, head


def build_interrupted_body_error():
    error = BadRequestError("the caller interrupted its body")
    error.verdict = Verdict.MAY_HAVE_RUN
    return error


OUTCOMES = {
    "a deadline": (DeadlineExceededError("", Verdict.MAY_HAVE_RUN), 0, True, False),
    "a lost connection": (
        ConnectionFailedError("", Verdict.MAY_HAVE_RUN),
        0,
        True,
        False,
    ),
    "no connection": (ConnectionFailedError("", Verdict.NOT_RUN), 0, True, False),
    "turned away": (NotExecutedError("", timedelta()), 0, True, False),
    "a body that the caller cut": (build_interrupted_body_error(), 0, True, False),
    "an answer that the server broke off": (None, 200, False, True),
    "an answer that the caller left": (None, 200, False, False),
}


@then('a request that ended as "{outcome}" counts as "{work}"')
def check_work(context, outcome, work):
    if outcome.startswith("status"):
        found = assess_work(None, int(outcome.split()[1]), True, False)
    else:
        found = assess_work(*OUTCOMES[outcome])
    assert (found.value if found else "nothing") == work, found
