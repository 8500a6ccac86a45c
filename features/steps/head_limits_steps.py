"""Steps for the limits on the heads of requests, in virtual time."""

import asyncio
import random
from collections import Counter

import detangle
from behave import given, then, when
from benchmarks.soak.fleet import SoakFleet
from benchmarks.soak.heads import PAUSE_S, send_head

FLEET_SIZE = 2
WARMUP_S = 6.0
PIECES = 60


class HeadRun:
    """A fleet, and requests with heads of given sizes to one of its daemons."""

    def __init__(self, limit=0, store_status=0):
        self.limit = limit
        self.store_status = store_status
        self.responses = []

    async def start(self):
        self.fleet = SoakFleet(FLEET_SIZE, random.Random(1))
        self.set_limit(self.limit)
        self.fleet.store.faults.status = self.store_status
        await self.fleet.start()
        await asyncio.sleep(WARMUP_S)
        self.host = self.fleet.hosts[0]

    def set_limit(self, limit):
        self.fleet.limits = {"max-header-bytes": limit} if limit else {}

    async def send(self, size, piece, pause_s=PAUSE_S):
        response = await send_head(self.host.name, size, piece, pause_s)
        self.responses.append(response)

    def play(self, scenario):
        async def main():
            await self.start()
            await detangle.spawn(scenario(), host="callers")

        detangle.run(main, seed=1)

    @property
    def statuses(self):
        return Counter(status for status, _ in self.responses)


@given("a fleet whose operator allows heads of {limit:d} bytes")
def create_run(context, limit):
    context.run = HeadRun(limit)


@given("a fleet whose store refuses all daemons")
def create_run_without_table(context):
    context.run = HeadRun(store_status=503)


@when("a request with a head of {size:d} bytes arrives in pieces of {piece:d} bytes")
def send_in_pieces(context, size, piece):
    context.run.play(lambda: context.run.send(size, piece))


@when("a request with a head of {size:d} bytes arrives over {time:d} ms")
def send_slowly(context, size, time):
    context.slow = (size, size // PIECES, time / 1_000 / PIECES)


@when("the operator allows heads of {limit:d} bytes {delay:d} ms after its start")
def change_limit(context, limit, delay):
    run = context.run

    async def scenario():
        sending = asyncio.ensure_future(run.send(*context.slow))
        await asyncio.sleep(delay / 1_000)
        run.set_limit(limit)
        run.fleet.publish()
        await sending

    run.play(scenario)


@when(
    "{count:d} requests with heads of {size:d} bytes arrive side by side over "
    "{time:d} ms"
)
def send_side_by_side(context, count, size, time):
    run = context.run

    async def scenario():
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                pause_s = time / 1_000 / PIECES
                group.create_task(run.send(size, size // PIECES, pause_s))
            await asyncio.sleep(time / 2_000)
            await run.send(200, 200)
            context.small = run.responses.pop()
        await asyncio.sleep(1)
        context.reserved = run.host.daemon.caller_server.head_memory.total

    run.play(scenario)


@then("its status is {status:d}")
def check_status(context, status):
    assert context.run.statuses == {status: 1}, context.run.responses


@then(
    "{served:d} have the status 200 and {refused:d} the status 503 with a time to retry"
)
def check_statuses(context, served, refused):
    assert context.run.statuses == {200: served, 503: refused}, context.run.statuses
    for status, text in context.run.responses:
        assert status == 200 or "retry-after: 1" in text.lower(), text


@then("a small request beside them has the status {status:d}")
def check_small(context, status):
    assert context.small[0] == status, context.small


@then("no memory is reserved for heads any longer")
def check_released(context):
    assert context.reserved == 0, context.reserved
