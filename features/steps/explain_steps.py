"""Steps for explaining from the logs why a request failed."""

import asyncio
import logging
import random
from datetime import UTC, datetime, timedelta

import attrs
import detangle
from behave import given, then, when
from path_steps import RequestPathHarness, yield_nothing

from wagtailstep.commands.explain_request import (
    count_causes,
    explain_request,
    format_causes,
)
from wagtailstep.commands.fleet_beliefs import (
    compute_fleet_beliefs,
    format_fleet_beliefs,
)
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import RequestError
from wagtailstep.fakes.faults import Faults
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Member, TargetStanding, TargetState
from wagtailstep.models.log_lines import LogLine, read_fields, read_lines
from wagtailstep.models.request import RequestContext
from wagtailstep.network.bodies import ReplayableBody
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.sender import AttemptSender
from wagtailstep.utils.logging import format_fields

SLOTS = 4
GATE_LOGGER = "wagtailstep.network.gate"


class RecordedLog(logging.Handler):
    """Records lines as a log collector shows them: the daemon, then the line."""

    def __init__(self):
        super().__init__()
        self.texts = []

    def emit(self, record):
        process = "gate-1" if record.name == GATE_LOGGER else "entry-1"
        time = datetime.fromtimestamp(record.created, UTC).isoformat()
        level, message = record.levelname, record.getMessage()
        self.texts.append(
            f"{process} time={time} level={level} logger={record.name} {message}\n"
        )


class EntryAndGateHarness(RequestPathHarness):
    """A gate beside a backend server, and an entry that sends requests to it."""

    async def start(self, **changes):
        await super().start(**changes)
        board = Blackboard(Member("entry-1", 1, "", "", "bole"))
        board.members["gate-1"] = self.member
        board.targets[self.target_id] = self.blackboard.targets[self.target_id]
        self.entry_board = board
        self.routing = RoutingController(
            self.settings, board, self.clock, random.Random(1)
        )
        retries = RetryPolicy(self.settings.requests, self.clock)
        self.sender = AttemptSender(
            board, self.clock, self.routing, retries, self.forwarder, lambda event: None
        )

    async def send(self, request_id, time_left_ms=5_000, work_ms=10):
        """Send a request through the entry and read its answer."""
        headers = (("fake-key", request_id), ("fake-work-ms", str(work_ms)))
        incoming = IncomingRequest("POST", "/sign", headers, yield_nothing())
        time_left = timedelta(milliseconds=time_left_ms)
        request = RequestContext(
            request_id=request_id,
            service="contracts",
            route="sign",
            account="",
            method="POST",
            path="/sign",
            idempotent=False,
            idempotency_key=None,
            deadline=self.clock.monotonic() + time_left,
        )
        self.routing.admit(request)
        body = ReplayableBody(incoming.body, 1024)
        exchange = Exchange(request, incoming, body, self.routing)
        try:
            answer = await self.sender.run(exchange)
            await answer.close()
        except RequestError:
            pass

    async def fill_queue(self):
        """Occupy all slots and places in the queue for some seconds."""
        places = SLOTS + self.settings.requests.queue_length
        for number in range(places):
            task = self.send(f"other-{number}", work_ms=3_000, time_left_ms=60_000)
            asyncio.ensure_future(task)
        await asyncio.sleep(0.5)

    def mark_failing(self):
        target = self.blackboard.targets[self.target_id]
        changed = attrs.evolve(target, standing=TargetStanding.FAILING)
        self.blackboard.targets[self.target_id] = changed


async def occupy_all_slots(harness):
    await harness.fill_queue()
    await harness.send("r1")


async def fail_work(harness):
    harness.backend.faults = Faults(fail_share=1.0)
    await harness.send("r1")


async def hang_backend_server(harness):
    harness.backend.faults = Faults(hang_share=1.0)
    await harness.send("r1", time_left_ms=500)


async def lose_answer(harness):
    harness.backend.faults = Faults(lose_share=1.0)
    await harness.send("r1")


async def start_leaving(harness):
    harness.set_state(TargetState.LEAVING)
    await harness.send("r1")


async def fail_target_before(harness):
    harness.mark_failing()
    await harness.send("r1")


async def remove_target(harness):
    del harness.entry_board.targets[harness.target_id]
    await harness.send("r1")


async def miss_deadline(harness):
    await harness.send("r1", time_left_ms=0)


async def stop_gate(harness):
    await harness.server.close()
    await harness.send("r1")


async def disconnect_caller(harness):
    task = asyncio.ensure_future(harness.send("r1", work_ms=3_000))
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def refuse_nested_call(harness):
    await harness.fill_queue()
    await harness.send("r1.c1")
    await asyncio.sleep(30)
    await fail_work(harness)


CAUSES = {
    "all slots are taken": occupy_all_slots,
    "the backend server fails it": fail_work,
    "the backend server hangs": hang_backend_server,
    "the answer is lost": lose_answer,
    "the backend server is leaving": start_leaving,
    "its target failed just before": fail_target_before,
    "no target is known": remove_target,
    "its time had passed": miss_deadline,
    "the gate is gone": stop_gate,
    "its caller goes away": disconnect_caller,
    "a call made for it finds no room": refuse_nested_call,
}


@given("an entry and a gate beside a backend server, whose logs are recorded")
def record_logs(context):
    context.log = RecordedLog()
    logger = logging.getLogger("wagtailstep")
    level = logger.level
    logger.addHandler(context.log)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.setLevel, level)
    context.add_cleanup(logger.removeHandler, context.log)


@when("a request fails because {plant}")
def fail_request(context, plant):
    async def main():
        harness = EntryAndGateHarness()
        await harness.start(slots=SLOTS)
        await CAUSES[plant](harness)
        await asyncio.sleep(60)
        await harness.server.close()
        await harness.backend.stop()

    detangle.run(main, seed=1)
    context.lines = list(read_lines(context.log.texts, "unnamed"))


def get_end_line(context):
    return next(line for line in context.lines if line.event == "request-ended")


@when('its gate had logged the standing "{standing}" {seconds:d} s before')
def log_standing_before(context, standing, seconds):
    end = get_end_line(context)
    fields = {"target": end.get("target"), "standing": standing}
    time = end.time - timedelta(seconds=seconds)
    context.lines.insert(0, LogLine("gate-1", time, "target-standing", fields))


@when("its gate had started {seconds:d} s before")
def log_start_before(context, seconds):
    time = get_end_line(context).time - timedelta(seconds=seconds)
    context.lines.insert(1, LogLine("gate-1", time, "daemon-started"))


@then('its explanation names the cause "{cause}"')
def check_cause(context, cause):
    context.cause = cause
    found = explain_request(context.lines, "r1").cause
    assert cause in found, (found, context.log.texts)


@then('without its "{event}" lines the cause is not found')
def check_cause_needs_lines(context, event):
    kept = [line for line in context.lines if line.event != event]
    found = explain_request(kept, "r1").cause
    assert context.cause not in found, found


@then('the causes are counted as "{text}"')
def check_counted(context, text):
    found = format_causes(count_causes(context.lines))
    assert found.strip() == text, found


@then('its explanation lists "{event}" with an age of {seconds:d} s')
def check_belief(context, event, seconds):
    beliefs = explain_request(context.lines, "r1").beliefs
    ages = [belief.age for belief in beliefs if belief.line.event == event]
    assert ages == [timedelta(seconds=seconds)], beliefs


START = datetime(2026, 1, 1, tzinfo=UTC)


@given("these log lines of daemons")
def write_lines(context):
    texts = []
    for row in context.table:
        time = (START + timedelta(seconds=int(row["second"]))).isoformat()
        texts.append(f"{row['process']} time={time} level=INFO {row['line']}")
    context.lines = list(read_lines(texts, ""))


@then('the cause of request "{request_id}" is "{cause}"')
def check_cause_in_lines(context, request_id, cause):
    found = explain_request(context.lines, request_id).cause
    assert found == cause, found


@then("at second {second:d} the beliefs are")
def check_beliefs(context, second):
    at = START + timedelta(seconds=second)
    beliefs = compute_fleet_beliefs(context.lines, at, timedelta(seconds=1))
    text, _, changes = format_fleet_beliefs(beliefs, at).partition("changes")
    assert text.splitlines() == [row["text"] for row in context.table], text
    near = [line for line in context.lines if abs(line.time - at) <= timedelta(0, 1)]
    assert changes.count("event") == 0 and len(changes.splitlines()) == len(near) + 1


@given("a log line with the field {value}")
def write_line(context, value):
    context.value = value.replace(r"\n", "\n")
    context.line_text = format_fields({"event": "x", "value": context.value, "more": 1})


@then("it is parsed to the same values")
def read_line(context):
    expected = {"event": "x", "value": context.value, "more": "1"}
    assert read_fields(context.line_text) == expected, context.line_text
