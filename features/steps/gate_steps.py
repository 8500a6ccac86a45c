"""Steps for the admission of requests by the gate, without sockets."""

import random
from datetime import timedelta

import attrs
from behave import given, then, when

from wagtailstep.controllers.gate import GateController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, Target, TargetState
from wagtailstep.models.gate import (
    AttemptRevocationRequested,
    GateRequest,
    GateRequestAbandoned,
    GateRequestArrived,
    GateRequestEnded,
    RefuseRequest,
    RunResult,
    StartRequest,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import ManualClock

TARGET_ID = "contracts/127.0.0.1:9000"
MILLISECOND = timedelta(milliseconds=1)


class GateHarness:
    """A gate controller with a manual clock, and its decision on each request."""

    def __init__(self, slots):
        self.clock = ManualClock()
        member = Member("gate-1", 1, "", "", "bole")
        self.blackboard = Blackboard(member)
        self.blackboard.targets[TARGET_ID] = Target(
            TARGET_ID, "contracts", "gate-1", "bole", slots=slots
        )
        settings = DaemonSettings("gate-1", "bole", "a:1", "a:2", "a:3", "127.0.0.1:4")
        self.settings = settings.requests
        self.controller = GateController(
            settings, self.blackboard, self.clock, random.Random(1)
        )
        self.requests = {}
        self.running = []
        self.refusals = {}

    def arrive(self, serial, **changes):
        values = {
            "serial": serial,
            "request_id": f"request-{serial}",
            "attempt_id": f"attempt-{serial}",
            "target_id": TARGET_ID,
            "route": "sign",
            "idempotent": False,
            "deadline": self.clock.monotonic() + timedelta(seconds=30),
        }
        request = GateRequest(**{**values, **changes})
        self.requests[serial] = request
        self.dispatch(GateRequestArrived(request))

    def end(self, serial, result=RunResult.ANSWERED):
        self.running.remove(serial)
        self.dispatch(GateRequestEnded(serial, result))

    def dispatch(self, event):
        for effect in self.controller.handle(event):
            if isinstance(effect, StartRequest):
                self.running.append(effect.serial)
            elif isinstance(effect, RefuseRequest):
                self.refusals[effect.serial] = effect.error

    def run_requests(self, count, time_ms, route="sign", first=-100):
        """Run requests one after the other, each alone."""
        for serial in range(first, first + count):
            self.arrive(serial, route=route, idempotent=True)
            self.clock.advance(time_ms * MILLISECOND)
            self.end(serial)

    @property
    def queue(self):
        return self.controller.queues[TARGET_ID]


@given("a gate beside a backend server with {slots:d} slots")
def create_gate(context, slots):
    context.gate = GateHarness(slots)


@given("requests that take {time_ms:d} ms each have run")
def run_before(context, time_ms):
    context.gate.run_requests(20, time_ms)


@given("{count:d} requests of a route that takes {time_ms:d} ms run")
def start_long_requests(context, count, time_ms):
    context.gate.run_requests(20, time_ms, "upload", -200)
    for serial in range(101, 101 + count):
        context.gate.arrive(serial, route="upload")


@when("the backend server starts to leave")
def start_leaving(context):
    targets = context.gate.blackboard.targets
    targets[TARGET_ID] = attrs.evolve(targets[TARGET_ID], state=TargetState.LEAVING)


@when("{count:d} requests arrive at the gate")
def arrive(context, count):
    for serial in range(1, count + 1):
        context.gate.arrive(serial)


@when("request {serial:d} arrives at the gate with {time_ms:d} ms left")
def arrive_with_deadline(context, serial, time_ms):
    deadline = context.gate.clock.monotonic() + time_ms * MILLISECOND
    context.gate.arrive(serial, deadline=deadline)


@when("request {serial:d} arrives for a target that is not beside the gate")
def arrive_for_unknown_target(context, serial):
    context.gate.arrive(serial, target_id="contracts/127.0.0.1:9999")


@when("{time_ms:d} ms pass at the gate")
def advance_clock(context, time_ms):
    context.gate.clock.advance(time_ms * MILLISECOND)


@when("request {serial:d} ends")
def end(context, serial):
    context.gate.end(serial)


@when("the caller of request {serial:d} disconnects")
def disconnect_caller(context, serial):
    if serial in context.gate.running:
        context.gate.running.remove(serial)
    context.gate.dispatch(GateRequestAbandoned(serial))


@when("request {first:d} arrives again as request {second:d}")
def send_again(context, first, second):
    sent = context.gate.requests[first]
    context.gate.arrive(second, request_id=sent.request_id, deadline=sent.deadline)


@when("attempt {serial:d} is revoked by its entry")
def revoke(context, serial):
    event = AttemptRevocationRequested(f"attempt-{serial}")
    (effect,) = context.gate.controller.handle(event)
    context.attempt_state = effect.state.value


@when("the backend server refuses {count:d} requests one after the other")
def refuse_by_server(context, count):
    for serial in range(1000, 1000 + count):
        context.gate.arrive(serial)
        context.gate.clock.advance(MILLISECOND)
        context.gate.end(serial, RunResult.REFUSED)


@when("{rounds:d} rounds of full load run, of which it sustains {sustained:d} at once")
def run_full_load(context, rounds, sustained):
    serial = 2000
    for _ in range(rounds):
        count = context.gate.queue.limit.max_running
        serials = range(serial, serial + count)
        for number in serials:
            context.gate.arrive(number)
        context.gate.clock.advance(10 * MILLISECOND)
        for index, number in enumerate(serials):
            is_refused = index >= sustained
            result = RunResult.REFUSED if is_refused else RunResult.ANSWERED
            context.gate.end(number, result)
        serial += count


@when(
    "{count:d} requests miss their deadline after {time_ms:d} ms at the backend server"
)
def miss_deadlines(context, count, time_ms):
    for serial in range(3000, 3000 + count):
        context.gate.arrive(serial)
        context.gate.clock.advance(time_ms * MILLISECOND)
        context.gate.end(serial, RunResult.TIMED_OUT)


@then("requests {serials} run")
def check_running(context, serials):
    expected = [int(serial) for serial in serials.split(",")]
    assert context.gate.running == expected, context.gate.running


@then('request {serial:d} is refused as "{reason}" with verdict "{verdict}"')
def check_refusal(context, serial, reason, verdict):
    error = context.gate.refusals.get(serial)
    assert error is not None, (context.gate.refusals, context.gate.running)
    assert (error.reason, error.verdict.value) == (reason, verdict), error


@then("request {serial:d} gets a time to retry of {low:d} to {high:d} ms")
def check_retry_after(context, serial, low, high):
    retry_after = context.gate.refusals[serial].retry_after
    assert low * MILLISECOND <= retry_after <= high * MILLISECOND, retry_after


@then("request {serial:d} waits")
def check_waits(context, serial):
    assert serial in context.gate.queue.waiting, context.gate.refusals
    assert serial not in context.gate.running


@then("nothing is refused")
def check_nothing_refused(context):
    assert not context.gate.refusals, context.gate.refusals


@then('the entry gets the attempt state "{state}"')
def check_attempt_state(context, state):
    assert context.attempt_state == state, context.attempt_state


@then("between {low:d} and {high:d} requests may run at once")
def check_limit_range(context, low, high):
    limit = context.gate.queue.limit
    assert low <= limit.max_running <= high, limit.value


@then("{limit:d} request may run at once")
@then("{limit:d} requests may run at once")
def check_limit(context, limit):
    assert context.gate.queue.limit.max_running == limit, context.gate.queue.limit.value


@given("a gate beside a backend server with {slots:d} slots that are trusted")
def create_trusting_gate(context, slots):
    context.gate = GateHarness(slots)
    settings = attrs.evolve(context.gate.settings, trust_slots=True)
    context.gate.controller.settings = settings


@when("request {serial:d} arrives that may not wait")
def arrive_without_waiting(context, serial):
    context.gate.arrive(serial, may_wait=False)


@when("request {serial:d} arrives with priority {priority:d}")
def arrive_with_priority(context, serial, priority):
    context.gate.arrive(serial, priority=priority)


@when(
    "request {serial:d} arrives with priority {priority:d} and {aim:d} ms until its aim"
)
def arrive_with_aim(context, serial, priority, aim):
    aim_deadline = context.gate.clock.monotonic() + aim * MILLISECOND
    context.gate.arrive(serial, priority=priority, aim_deadline=aim_deadline)


@when("request {serial:d} arrives and its backend server rejects it unexecuted")
def reject_unexecuted(context, serial):
    context.gate.arrive(serial)
    context.gate.running.remove(serial)
    context.gate.dispatch(GateRequestEnded(serial, RunResult.REFUSED, executed=False))


@when("request {serial:d} arrives and its backend server closes the connection")
def close_connection(context, serial):
    context.gate.arrive(serial)
    context.gate.end(serial, RunResult.ABANDONED)


@when("request {serial:d} arrives again under attempt {attempt:d}")
def arrive_again(context, serial, attempt):
    context.gate.arrive(serial, attempt_id=f"attempt-{attempt}")
