"""Steps for the race of two copies of a request, in virtual time."""

import asyncio
from datetime import timedelta

import attrs
import detangle
from behave import given, then, when
from entry_steps import EntryHarness, build_incoming, yield_chunks
from routing_steps import make_member, make_request, make_target

from wagtailstep import exceptions
from wagtailstep.models import headers
from wagtailstep.models.exchange import Answer
from wagtailstep.models.fleet import MemberState
from wagtailstep.models.headers import find_header
from wagtailstep.models.hedging import HedgeOutcome, HedgeRecorded, SlowCopyLost
from wagtailstep.models.request import AttemptEnded
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.metrics import MetricsRecorder
from wagtailstep.utils.clock import ManualClock

MILLISECOND = timedelta(milliseconds=1)
USUAL = 100 * MILLISECOND
NAMES = ("first", "second", "third")
WARM_UP_REQUESTS = 200
FAILURES = {
    "connection lost": lambda: exceptions.ConnectionFailedError(
        "lost", Verdict.MAY_HAVE_RUN
    ),
    "full gate": lambda: exceptions.OverloadedError("full", timedelta(seconds=1)),
    "internal error": lambda: KeyError("bug"),
}


@attrs.define
class Copy:
    """How one copy ends, and what became of it."""

    delay_ms: float = 10.0
    end: str = "200"
    turns: int = 0
    target_id: str = ""
    cancelled: bool = False
    closed: int = 0


class RacingForwarder:
    """Ends the first and the second copy of a request as the scenario says."""

    def __init__(self):
        self.copies = {name: Copy() for name in NAMES}
        self.sent = 0

    async def forward(self, request, gate, target_id, incoming, time_left):
        name = NAMES[self.sent]
        self.sent += 1
        copy = self.copies[name]
        copy.target_id = target_id
        try:
            async for _ in incoming.body:
                pass
            due_at = self.started_at + copy.delay_ms / 1000
            await asyncio.sleep(due_at - asyncio.get_running_loop().time())
            for _ in range(copy.turns):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            copy.cancelled = True
            raise
        if copy.end in FAILURES:
            raise FAILURES[copy.end]()
        return self.build_answer(name, copy)

    def build_answer(self, name, copy):
        async def close():
            copy.closed += 1

        status, _, slow = copy.end.partition(" ")
        body = yield_chunks([name.encode()], delay=0.5 if slow else 0)
        return Answer(int(status), (), body, Verdict.RUN, close)


class HedgingHarness(EntryHarness):
    """An entry whose policy knows the latencies of earlier requests."""

    def __init__(self, targets, hedge_ratio=0.05):
        super().__init__(targets)
        self.forwarder = RacingForwarder()
        self.set_requests(hedge_ratio=hedge_ratio)
        self.preparations = []
        self.aim = timedelta()
        self.body = None
        self.error = None

    def set_requests(self, **changes):
        defaults = {"retry_slack": 60, "retry_ratio": 0.19, "max_attempts": 2}
        requests = RequestSettings(**{**defaults, **changes})
        self.settings = attrs.evolve(self.settings, requests=requests)

    def start(self, context):
        entry = self.create_entry()
        read = entry.reader.read
        entry.reader.read = lambda *arguments: attrs.evolve(
            read(*arguments), aim=self.aim
        )
        self.sender = entry.sender
        for _ in range(WARM_UP_REQUESTS):
            self.sender.retries.record_first_attempt("contracts")
        if self.sender.hedges is not None:
            self.policy = self.sender.hedges.policy
            request = make_request(context)
            for _ in range(WARM_UP_REQUESTS):
                self.policy.record_latency(request, USUAL)
        for prepare in self.preparations:
            prepare()
        self.loop = asyncio.get_running_loop()
        self.forwarder.started_at = self.loop.time()
        return entry

    async def settle(self):
        """Let cancelled copies end."""
        for _ in range(30):
            await asyncio.sleep(0)


@given(
    "an entry with hedging that knows {count:d} targets, which usually answer in "
    "{usual:d} ms"
)
def create_hedging_harness(context, count, usual):
    assert usual * MILLISECOND == USUAL
    context.harness = HedgingHarness(count)


@given('the {name} copy ends after {delay:d} ms as "{end}"')
def set_copy(context, name, delay, end):
    # The second copy is sent when the first one has taken the usual time.
    offset = 0 if name == "first" else 100
    context.harness.forwarder.copies[name] = Copy(delay + offset, end)


@given('the second copy ends {lag:d} turns after it as "200"')
def set_tie(context, lag):
    copies = context.harness.forwarder.copies
    copies["second"] = Copy(copies["first"].delay_ms, "200", max(0, lag))
    copies["first"].turns = max(0, -lag)


@given("nothing else prevents a hedge")
@given("all daemons are alive")
def change_nothing(context):
    pass


@given("hedging is off")
def switch_off(context):
    context.harness.set_requests(hedge_ratio=0.0)


@given("the daemon drains")
def drain(context):
    context.harness.board.draining = True


@given("the service lacked a slot {age:d} ms before")
def refuse_recently(context, age):
    harness = context.harness

    def prepare():
        # The hedge would be sent after 100 ms.
        refused_at = harness.sender.clock.monotonic() - (age - 100) * MILLISECOND
        harness.sender.refusals.refused_at["contracts"] = refused_at

    harness.preparations.append(prepare)


@given("the body arrives slowly")
def slow_body(context):
    context.harness.body = yield_chunks([b"x"] * 20, delay=0.01)


@given("there is no other target")
def remove_other_targets(context):
    targets = context.harness.board.targets
    for target_id in sorted(targets)[1:]:
        del targets[target_id]


@given("hedges have used up the limit")
@given("hedges have used up the limit until {time:d} ms after the request")
def use_up_limit(context, time=10_000):
    harness = context.harness

    def prepare():
        harness.policy.count_hedges("contracts")
        used_at = harness.sender.clock.monotonic() + (time - 10_000) * MILLISECOND
        harness.policy.hedges["contracts"].add(10.0, used_at)

    harness.preparations.append(prepare)


@given("half of the retry budget is used")
def use_half_of_budget(context):
    harness = context.harness

    def prepare():
        budget = harness.sender.retries.shared_budget
        request = make_request(context)
        allowed = budget.compute_allowed("contracts")
        while budget.compute_own_remaining("contracts") >= allowed / 2:
            assert budget.try_acquire(request)

    harness.preparations.append(prepare)


@given("a request may be sent once only")
def limit_attempts(context):
    context.harness.set_requests(hedge_ratio=0.05, max_attempts=1)


@given("the third target is in another zone")
def move_target(context):
    board = context.harness.board
    target = make_target(3, zone="hana")
    board.targets[target.target_id] = target
    board.members[target.daemon_id] = make_member(target.daemon_id, "hana")


@given('the daemons of "{zone}" are suspect')
def suspect_zone(context, zone):
    members = context.harness.board.members
    for daemon_id, member in list(members.items()):
        if daemon_id != "d1" and member.availability_zone == zone:
            members[daemon_id] = attrs.evolve(member, state=MemberState.SUSPECT)


def send(context, method, extra=(), act=None):
    """Send a request and read its answer, or act on the running call."""
    harness = context.harness

    async def call():
        entry = harness.start(context)
        if harness.body is not None:
            extra_headers = [*extra, ("transfer-encoding", "chunked")]
        else:
            extra_headers = extra
        incoming = build_incoming(method, "/lookup/7", extra_headers, harness.body)
        handling = asyncio.create_task(entry.handle(incoming))
        await (act or read)(handling)
        await harness.settle()
        # The end of the event loop would cancel copies that were forgotten.
        context.running = asyncio.all_tasks() - {asyncio.current_task()}

    async def read(handling):
        answer = context.answer = await handling
        context.body = b"".join([chunk async for chunk in answer.body]).decode()
        await answer.close()
        context.duration_ms = 1000 * (
            harness.loop.time() - harness.forwarder.started_at
        )

    detangle.run(call)


@when('a caller sends {method:w} "/lookup/7" and reads the answer')
def send_and_read(context, method):
    send(context, method)


@when('a caller sends GET "/lookup/7" with {left:d} ms left and reads the answer')
def send_with_timeout(context, left):
    send(context, "GET", [(headers.TIMEOUT_MS, str(left))])


@when('a caller with an aim of {aim:d} ms sends GET "/lookup/7" and reads the answer')
def send_with_aim(context, aim):
    context.harness.aim = aim * MILLISECOND
    send(context, "GET")


@when('a caller sends GET "/lookup/7" and leaves after {time:d} ms')
def send_and_leave(context, time):
    async def leave(handling):
        await asyncio.sleep(time / 1000)
        handling.cancel()
        await asyncio.gather(handling, return_exceptions=True)
        assert handling.cancelled()

    send(context, "GET", act=leave)


@when('a caller sends GET "/lookup/7" and closes the answer after its head')
def send_and_close(context):
    async def close(handling):
        answer = await handling
        in_flight = context.harness.board.in_flight
        context.admitted = dict(in_flight.by_service)
        context.attempts = dict(in_flight.by_target)
        await answer.close()

    send(context, "GET", act=close)


@then("the request was in flight until the answer was closed")
def check_admitted(context):
    copies = context.harness.forwarder.copies
    assert context.admitted == {"contracts": 1}, context.admitted
    assert context.attempts == {copies["second"].target_id: 1}, context.attempts


@then("the caller gets {status:d} from the {name} copy after at most {limit:d} ms")
def check_delivered(context, status, name, limit):
    assert (context.answer.status, context.body) == (status, name), context.body
    assert context.duration_ms <= limit, context.duration_ms


@then("the caller gets 200 from either copy")
def check_either(context):
    assert context.answer.status == 200 and context.body in NAMES, context.body


@then('the caller gets the error {status:d} with verdict "{verdict}"')
def check_error(context, status, verdict):
    assert context.answer.status == status, context.answer.status
    found = find_header(context.answer.headers, headers.VERDICT)
    assert found == verdict, found


@then("the {name} copy was cancelled")
def check_cancelled(context, name):
    assert context.harness.forwarder.copies[name].cancelled


@then('the hedge is recorded as "{outcomes}"')
@then('the hedge is recorded as ""')
def check_outcomes(context, outcomes=""):
    found = [
        f"denied:{event.reason}"
        if event.outcome is HedgeOutcome.DENIED
        else event.outcome.value
        for event in context.harness.get_events(HedgeRecorded)
    ]
    assert ",".join(found) == outcomes, found


@then('the metrics count a hedge that was "{outcome}" for "{service}"')
def check_metrics(context, outcome, service):
    recorder = MetricsRecorder(context.harness.board, ManualClock())
    for event in context.harness.events:
        recorder.handle(event)
    lines = recorder.export_text().decode().splitlines()
    (line,) = [x for x in lines if "hedges" in x and f'outcome="{outcome}"' in x]
    assert f'service="{service}"' in line and line.endswith(" 1.0"), line


@then("the slow copy is reported as evidence on the first target")
def check_evidence(context):
    (event,) = context.harness.get_events(SlowCopyLost)
    assert event.target_id == context.harness.forwarder.copies["first"].target_id
    assert event.waited >= 150 * MILLISECOND


@then('the second copy went to the zone "{zone}"')
def check_zone(context, zone):
    harness = context.harness
    target_id = harness.forwarder.copies["second"].target_id
    assert harness.board.targets[target_id].availability_zone == zone, target_id


@then("each copy has ended once and nothing is in flight")
def check_ends(context):
    harness = context.harness
    assert not context.running, context.running
    in_flight = harness.board.in_flight
    assert in_flight == type(in_flight)(), in_flight
    ended = [event.target_id for event in harness.get_events(AttemptEnded)]
    sent = [copy.target_id for copy in harness.forwarder.copies.values()]
    assert sorted(ended) == sorted(filter(None, sent)), (ended, sent)
    for copy in harness.forwarder.copies.values():
        has_answer = copy.target_id and copy.end not in FAILURES and not copy.cancelled
        assert copy.closed == bool(has_answer), copy
    hedges = harness.sender.hedges
    assert hedges is None or not hedges.closing, hedges.closing
