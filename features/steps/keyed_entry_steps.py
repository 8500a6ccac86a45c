"""Steps for keyed requests whose caller disconnects or whose daemon pauses."""

import asyncio
from datetime import timedelta

import detangle
from at_most_once_steps import STREAM
from behave import then, when
from entry_steps import EntryHarness, build_incoming, read_answer, yield_chunks

from wagtailstep.models import headers
from wagtailstep.models.events import LogRecordsRead
from wagtailstep.models.log import LogRecord
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.codec import encode_message


def start_keyed_request(harness, entry, **changes):
    harness.board.log_reachable = True
    extra = [(headers.IDEMPOTENCY_KEY, "k1"), (headers.TIMEOUT_MS, "300")]
    return asyncio.create_task(entry.handle(build_incoming("POST", "/sign", extra)))


def read_claim(harness):
    record = LogRecord(0, encode_message(harness.appends[0].record))
    harness.apply(harness.entry.guard.handle(LogRecordsRead(STREAM, (record,))))


@when("a caller disconnects while its key is claimed")
def disconnect_while_claiming(context):
    harness = context.harness = EntryHarness(3)

    async def call():
        task = start_keyed_request(harness, harness.create_entry())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        read_claim(harness)

    detangle.run(call)


@when("a caller disconnects at the moment its claim is acquired")
def disconnect_on_decision(context):
    harness = context.harness = EntryHarness(3)

    async def call():
        task = start_keyed_request(harness, harness.create_entry())
        await asyncio.sleep(0.1)
        read_claim(harness)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    detangle.run(call)


@then("the claim is released after it has been read")
def check_claim_released(context):
    assert context.harness.forwarder.times_left == []
    (claims,) = context.harness.entry.guard.claims_by_service.values()
    assert [entry.released for entry in claims.appender.queue] == [True]
    assert not context.harness.board.in_flight.by_service


@when("a ticket is used at an entry and then again with another {part:w}")
def use_ticket_twice(context, part):
    harness = EntryHarness(3)

    async def call():
        entry = harness.create_entry()
        key = (headers.IDEMPOTENCY_KEY, await entry.issue_ticket("contracts"))
        for is_second in (False, True):
            changed = part if is_second else ""
            path = "/cancel" if changed == "path" else "/sign"
            body = b"two" if changed == "body" else b"one"
            account = "hall" if changed == "account" else "union"
            extra = [key, (headers.ACCOUNT, account)]
            incoming = build_incoming("POST", path, extra, yield_chunks([body]))
            await read_answer(context, await entry.handle(incoming))

    detangle.run(call)
    assert len(harness.forwarder.times_left) == 1


@then('the second answer is {status:d} with verdict "{verdict:Q}"')
def check_second_answer(context, status, verdict):
    assert context.answer.status == status
    assert context.answer.verdict.value == verdict


@when("a keyed request acquires its claim at an entry that pauses past the deadline")
def pause_after_claim(context):
    harness = context.harness = EntryHarness(3)

    async def call():
        entry = harness.create_entry()
        task = start_keyed_request(harness, entry)
        await asyncio.sleep(0.1)
        past_deadline = timedelta(seconds=asyncio.get_running_loop().time() + 1)
        entry.clock.monotonic = lambda: past_deadline
        read_claim(harness)
        context.answer = await task

    detangle.run(call)


@then("no attempt is made and the key is released")
def check_no_attempt_and_release(context):
    assert context.answer.status == 504
    assert context.answer.verdict is Verdict.NOT_RUN
    check_claim_released(context)
