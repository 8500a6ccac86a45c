"""Steps for keyed requests at an entry whose caller or daemon pauses or goes away."""

import asyncio
from datetime import timedelta

import detangle
from at_most_once_steps import STREAM
from behave import then, when
from entry_steps import EntryHarness, make_incoming, read_answer, yield_chunks

from wagtailstep.models import headers
from wagtailstep.models.events import LogRecordsRead
from wagtailstep.models.log import LogRecord
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.codec import encode_message


def start_keyed(world, entry, **changes):
    world.board.log_reachable = True
    extra = [(headers.IDEMPOTENCY_KEY, "k1"), (headers.TIMEOUT_MS, "300")]
    return asyncio.create_task(entry.handle(make_incoming("POST", "/sign", extra)))


def read_claim(world):
    record = LogRecord(0, encode_message(world.appends[0].record))
    world.apply(world.entry.guard.handle(LogRecordsRead(STREAM, (record,))))


@when("a caller goes away while its key is claimed")
def leave_while_claimed(context):
    world = context.world = EntryHarness(3)

    async def call():
        task = start_keyed(world, world.make_entry())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        read_claim(world)

    detangle.run(call)


@when("a caller goes away in the step in which its claim is won")
def leave_with_decision(context):
    world = context.world = EntryHarness(3)

    async def call():
        task = start_keyed(world, world.make_entry())
        await asyncio.sleep(0.1)
        read_claim(world)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    detangle.run(call)


@then("the claim is released after it has been read")
def check_claim_released(context):
    assert context.world.forwarder.times_left == []
    (claims,) = context.world.entry.guard.claims_by_service.values()
    assert [entry.released for entry in claims.appender.queue] == [True]
    assert not context.world.board.in_flight.by_service


@when("a ticket is used at an entry and then again with another {part:w}")
def use_twice(context, part):
    world = EntryHarness(3)

    async def call():
        entry = world.make_entry()
        key = (headers.IDEMPOTENCY_KEY, await entry.issue_ticket("contracts"))
        for other in (False, True):
            changed = part if other else ""
            path = "/cancel" if changed == "path" else "/sign"
            body = b"two" if changed == "body" else b"one"
            account = "hall" if changed == "account" else "union"
            extra = [key, (headers.ACCOUNT, account)]
            incoming = make_incoming("POST", path, extra, yield_chunks([body]))
            await read_answer(context, await entry.handle(incoming))

    detangle.run(call)
    assert len(world.forwarder.times_left) == 1


@then('the second answer is {status:d} with verdict "{verdict:Q}"')
def check_second(context, status, verdict):
    assert context.answer.status == status
    assert context.answer.verdict.value == verdict


@when("a keyed request wins its claim at an entry that pauses past the deadline")
def pause_after_claim(context):
    world = context.world = EntryHarness(3)

    async def call():
        entry = world.make_entry()
        task = start_keyed(world, entry)
        await asyncio.sleep(0.1)
        late = timedelta(seconds=asyncio.get_running_loop().time() + 1)
        entry.clock.monotonic = lambda: late
        read_claim(world)
        context.answer = await task

    detangle.run(call)


@then("no attempt is made and the key is released")
def check_released(context):
    assert context.answer.status == 504
    assert context.answer.verdict is Verdict.NOT_RUN
    check_claim_released(context)
