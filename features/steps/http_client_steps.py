"""Steps for the HTTP client, against a scripted server that counts requests."""

import asyncio
from collections import deque
from datetime import timedelta

import detangle
import h11
from behave import given, then, when
from scripted_servers import start_scripted_server

from wagtailstep.exceptions import RequestError
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.utils.clock import LoopClock

ADDRESS = "server:80"
CLIENT_TIMEOUT = timedelta(seconds=2)


class ScriptedServer:
    """Reads requests with h11; the path of each selects how the server ends it."""

    def __init__(self):
        self.received = []
        self.connections = 0
        self.closed_by_client = 0
        self.body_bytes = 0

    async def listen(self):
        server = await start_scripted_server(self.serve, "server", 80)
        await server.serve_forever()

    async def serve(self, reader, writer):
        self.connections += 1
        state = h11.Connection(h11.SERVER)
        try:
            while await self.serve_one(state, reader, writer):
                state.start_next_cycle()
        except OSError:
            self.closed_by_client += 1
        except (h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def next_event(self, state, reader):
        event = state.next_event()
        while event is h11.NEED_DATA:
            state.receive_data(await reader.read(65_536))
            event = state.next_event()
        return event

    async def serve_one(self, state, reader, writer):
        request = await self.next_event(state, reader)
        if not isinstance(request, h11.Request):
            self.closed_by_client += 1
            return False
        path = request.target.decode()
        self.received.append(path)
        if path.startswith("/early"):
            self.answer(state, writer, 503, b"refused")
            return False
        event = await self.next_event(state, reader)
        while isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            event = await self.next_event(state, reader)
        return await self.end(path, state, reader, writer)

    async def end(self, path, state, reader, writer):
        behaviour = path.split("/")[1]
        if behaviour == "close":
            return False
        if behaviour == "garbage":
            writer.write(b"\x00\x01 not http\r\n\r\n")
            return False
        if behaviour == "half-head":
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-le")
            return False
        if behaviour == "truncate":
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort")
            return False
        if behaviour == "never":
            await reader.read(1)
            self.closed_by_client += 1
            return False
        if behaviour == "late":
            await asyncio.sleep(5)
        if behaviour == "informed":
            writer.write(b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n")
        keep_alive = path.split("/")[2] if behaviour == "keep-alive" else ""
        self.answer(state, writer, 200, path.encode(), keep_alive)
        if behaviour == "extra":
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")
        return True

    def answer(self, state, writer, status, body, keep_alive=""):
        headers = [("content-length", str(len(body)))]
        if keep_alive:
            headers.append(("keep-alive", keep_alive))
        for event in (
            h11.Response(status_code=status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ):
            writer.write(state.send(event))


class StaleConnectionReusingClient(HttpClient):
    """Planted fault: reuses a connection whose response never arrived."""

    async def acquire(self, request):
        connection = await super().acquire(request)
        connection.close = lambda: self.keep(connection)
        return connection

    def keep(self, connection):
        del connection.close
        connection.state = h11.Connection(h11.CLIENT)
        connection.bytes_consumed = connection.reader.bytes_received
        connection.last_response_at = self.clock.monotonic()
        self.pools.setdefault(connection.address, deque()).append(connection)


class ResendingClient(HttpClient):
    """Planted fault: sends a request again when its connection failed."""

    async def send(self, request):
        try:
            return await super().send(request)
        except RequestError:
            return await super().send(request)


CLIENT_FAULTS = {"careless": StaleConnectionReusingClient, "resending": ResendingClient}


class Caller:
    """Sends requests one after the other and records the outcome of each."""

    def __init__(self, client):
        self.client = client
        self.results = []
        self.reading_delay_s = 0.0

    async def call(
        self,
        path,
        method="GET",
        body=None,
        length=None,
        timeout=None,
        address=ADDRESS,
    ):
        headers = () if length is None else (("content-length", str(length)),)
        request = HttpRequest(
            address=address,
            method=method,
            path=path,
            headers=headers,
            body=body,
            idempotent=method == "GET",
            time_left=timeout or CLIENT_TIMEOUT,
        )
        try:
            answer = await self.client.send(request)
            await asyncio.sleep(self.reading_delay_s)
            text = b"".join([chunk async for chunk in answer.body]).decode()
            await answer.close()
            self.results.append((path, answer.status, text))
        except RequestError as error:
            self.results.append((path, error.verdict.value, error.reason))


def run_with_server(context, scenario, listening=True):
    """Run a scenario in virtual time beside a scripted server."""
    context.server = ScriptedServer()

    async def main():
        if listening:
            detangle.spawn(context.server.listen(), host="server")
            await asyncio.sleep(0.01)
        client = context.client_class(RequestSettings(), LoopClock())
        context.caller = Caller(client)
        await scenario(context.caller)
        await asyncio.sleep(10)
        context.pooled_addresses = len(client.pools)
        context.closed_while_idle = context.server.closed_by_client
        client.close()

    detangle.run(main, seed=getattr(context, "schedule", 1))


@given("an HTTP client and a scripted server")
def use_client(context):
    context.client_class = HttpClient


@given('an HTTP client with the planted fault "{name}" and a scripted server')
def use_faulty_client(context, name):
    context.client_class = CLIENT_FAULTS[name]


@when('it sends a non-idempotent request that the server ends with "{behaviour}"')
def send_failing_request(context, behaviour):
    async def scenario(caller):
        await caller.call(f"/{behaviour}/1", "POST")

    run_with_server(context, scenario)


@when('it requests "{first}" and then "{second}" on the same kept-alive connection')
def send_on_kept_alive(context, first, second):
    async def scenario(caller):
        await caller.call(f"/{first}/1", "POST")
        await caller.call(f"/{second}/2", "POST")

    run_with_server(context, scenario)


@when("it sends a request while no server listens")
def send_without_listener(context):
    async def scenario(caller):
        await caller.call("/ok/1", "POST")

    run_with_server(context, scenario, listening=False)


@when("it sends a request with a timeout of {time_ms:d} ms to an unresponsive host")
def connect_to_unresponsive_host(context, time_ms):
    async def scenario(caller):
        detangle.network().disconnect("localhost", "server")
        await caller.call("/ok/1", timeout=timedelta(milliseconds=time_ms))

    run_with_server(context, scenario)


@when("a request times out and another is sent before the late response")
def send_after_timeout(context):
    async def scenario(caller):
        await caller.call("/late/1")
        await caller.call("/ok/2", timeout=timedelta(seconds=60))

    run_with_server(context, scenario)


@when("a non-idempotent request is sent {gap_s:d} s after another one")
def send_after_gap(context, gap_s):
    async def scenario(caller):
        await caller.call("/ok/1", "POST")
        await asyncio.sleep(gap_s)
        await caller.call("/ok/2", "POST")

    run_with_server(context, scenario)


@when("an idempotent request is sent {gap_s:d} s after another one")
def send_idempotent_after_gap(context, gap_s):
    async def scenario(caller):
        await caller.call("/ok/1")
        await asyncio.sleep(gap_s)
        await caller.call("/ok/2")

    run_with_server(context, scenario)


@when('an idempotent request is sent {gap_s:d} s after another one, to "{path}"')
def send_idempotent_to_path(context, gap_s, path):
    async def scenario(caller):
        await caller.call(f"/{path}")
        await asyncio.sleep(gap_s)
        await caller.call("/ok/2")

    run_with_server(context, scenario)


@when("it sends a body of {chunks:d} chunks that the server rejects unread")
def send_refused_body(context, chunks):
    context.chunks_sent = 0

    async def body():
        for _ in range(chunks):
            context.chunks_sent += 1
            await asyncio.sleep(0.01)
            yield b"x" * 65_536

    async def scenario(caller):
        await caller.call("/early/1", "POST", body(), chunks * 65_536)
        await caller.call("/ok/2", "POST")

    run_with_server(context, scenario)


@when("the reading of its body is cancelled after the server has rejected it unread")
def cancel_body(context):
    async def body():
        shared = asyncio.get_running_loop().create_future()
        yield b"x"
        # The answer has arrived but is not read to its end yet.
        asyncio.get_running_loop().call_later(0.5, shared.cancel)
        await shared

    async def scenario(caller):
        caller.reading_delay_s = 1.0
        await caller.call("/early/1", "POST", body(), 100)
        await caller.call("/ok/2", "POST")

    run_with_server(context, scenario)


@when("a request is cancelled while the server processes it")
def cancel_request(context):
    async def scenario(caller):
        task = asyncio.create_task(caller.call("/never/1", "POST"))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await caller.call("/ok/2", "POST")

    run_with_server(context, scenario)


@then('the verdict of request {number:d} is "{verdict}"')
def check_verdict(context, number, verdict):
    assert context.caller.results[number - 1][1] == verdict, context.caller.results


@then('the reason of request {number:d} is "{reason}"')
def check_reason(context, number, reason):
    assert context.caller.results[number - 1][2] == reason, context.caller.results


@then("request {number:d} received its own response")
def check_own_response(context, number):
    path, status, text = context.caller.results[number - 1]
    assert (status, text) == (200, path), context.caller.results


@then("request {number:d} received a wrong response or none")
def check_wrong_response(context, number):
    path, status, text = context.caller.results[number - 1]
    assert (status, text) != (200, path), context.caller.results


@then("request {number:d} was answered with status {status:d}")
def check_status(context, number, status):
    assert context.caller.results[number - 1][1] == status, context.caller.results


@then("the kept-alive connection was closed after its idle timeout")
def check_idle_connection_closed(context):
    assert context.pooled_addresses == 0
    assert context.closed_while_idle == 1, context.closed_while_idle


@then("the server received {count:d} request")
@then("the server received {count:d} requests")
def check_received(context, count):
    assert len(context.server.received) == count, context.server.received


@then("the server accepted {count:d} connection")
@then("the server accepted {count:d} connections")
def check_connections(context, count):
    assert context.server.connections == count, context.server.connections


@then("the client closed the connection of the cancelled request")
def check_closed(context):
    assert context.server.closed_by_client >= 1


@then("fewer than {count:d} chunks of the body were sent")
def check_chunks(context, count):
    assert context.chunks_sent < count, context.chunks_sent
