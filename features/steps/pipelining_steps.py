"""Steps for callers that send requests before earlier ones are answered."""

import asyncio
import functools
import random
import re

from behave import then, when
from http_server_steps import connect, read_all, run_server

MALFORMED = b"what is this\r\n\r\n"
UPGRADE = (
    b"GET /upgrade HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n"
)
RESPONSE = re.compile(rb"HTTP/1\.1 (\d+)[^\r]*\r\n(.*?)\r\n\r\n", re.DOTALL)


def build_request(name):
    if name == "malformed":
        return MALFORMED
    if name == "upgrade":
        return UPGRADE
    return f"GET /{name} HTTP/1.1\r\nhost: a\r\n\r\n".encode()


def parse_responses(data):
    """Return the body of each response, or its status if that is not 200."""
    found = []
    while match := RESPONSE.match(data):
        length = re.search(rb"content-length: (\d+)", match[2])
        end = match.end() + int(length[1]) if length else len(data)
        body = data[match.end() : end].decode()
        found.append(body if match[1] == b"200" else match[1].decode())
        data = data[end:]
    return " ".join(found)


async def send_segments(writer, data, sizes):
    start = 0
    for size in sizes:
        writer.write(data[start : start + size])
        start += size
        await asyncio.sleep(0.001)
        if start >= len(data):
            return


async def pipeline(fixture, names, sizes):
    reader, writer = await connect()
    data = b"".join(map(build_request, names))
    receiving = asyncio.create_task(read_all(reader))
    await send_segments(writer, data, sizes)
    await asyncio.sleep(0.01)
    fixture.proceed.set()
    received = await receiving
    writer.close()
    return received


@when('a caller pipelines "{names}" in segments of {size:d} bytes')
def pipeline_requests(context, names, size):
    async def scenario(fixture):
        sizes = iter(lambda: size, None)
        context.received = await pipeline(fixture, names.split(), sizes)

    run_server(context, scenario)


@when('a caller pipelines "{names}" while the server drains')
def pipeline_during_drain(context, names):
    async def scenario(fixture):
        reader, writer = await connect()
        writer.write(b"".join(map(build_request, names.split())))
        await asyncio.sleep(0.01)
        fixture.server.stop_accepting()
        await asyncio.sleep(0.01)
        fixture.proceed.set()
        context.received = await read_all(reader)
        writer.close()

    run_server(context, scenario)


@when('a caller pipelines "{names}" and leaves while "{running}" is handled')
def leave_pipeline(context, names, running):
    async def scenario(fixture):
        _, writer = await connect(fixture.address)
        writer.write(b"".join(map(build_request, names.split())))
        while f"/{running}" not in fixture.handled:
            await asyncio.sleep(0.005)
        # The handler of an earlier request may still be ending.
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        context.cancelled_in_time = list(fixture.cancelled)

    run_server(context, scenario, on_sockets=True)


@when("a caller sends {count:d} requests behind one that is handled")
def flood(context, count):
    async def scenario(fixture):
        _, writer = await connect(fixture.address)
        writer.write(build_request("wait"))
        request = build_request("echo-1")
        for _ in range(count // 1_000):
            writer.write(request * 1_000)
            # The server shares the event loop and has to get its turn.
            await asyncio.sleep(0.001)
        (connection,) = fixture.server.state.connections
        context.bytes_in_memory = len(connection.conn.trailing_data[0])
        context.reading_paused = connection.flow.read_paused
        writer.transport.abort()

    run_server(context, scenario, on_sockets=True)


@then("the server stopped reading with at most {size:d} bytes of requests in memory")
def check_held_back(context, size):
    assert context.reading_paused, context.bytes_in_memory
    assert context.bytes_in_memory <= size, context.bytes_in_memory


@then('the responses are "{expected}"')
def check_responses(context, expected):
    found = parse_responses(context.received)
    assert found == expected, (found, context.received)


@then('only "{names}" were handled')
def check_handled(context, names):
    found = [path.strip("/") for path in context.fixture.handled]
    assert found == names.split(), found


@then('the handler of "{name}" is cancelled within {limit:d} ms')
def check_cancelled(context, name, limit):
    assert context.cancelled_in_time == [f"/{name}"], context.cancelled_in_time


@then("responses are in order for {count:d} random pipelines in random segments")
def check_random_pipelines(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        names = [f"echo-{rng.randrange(99)}" for _ in range(rng.randint(2, 12))]
        sizes = iter(functools.partial(rng.randint, 1, rng.choice((3, 60, 900))), None)

        async def scenario(fixture, names=names, sizes=sizes):
            context.received = await pipeline(fixture, names, sizes)

        run_server(context, scenario)
        check_responses(context, " ".join(names))
