"""Steps for requests that backend servers decline, on a scripted fleet."""

import asyncio
import itertools
import logging
import random
from datetime import timedelta

import attrs
import detangle
from behave import given, then, when
from routing_steps import ADDRESS, make_member, make_target

from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import (
    ConnectionFailedError,
    DoubtedTargetError,
    NotExecutedError,
    OverloadedError,
    RequestError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.declined_requests import DeclinedWaitEnded
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import TargetHealth, TargetState
from wagtailstep.models.request import RequestContext
from wagtailstep.models.retry_lending import RetriesMissing
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import ReplayableBody
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.metrics import MetricsRecorder
from wagtailstep.network.problems import yield_body
from wagtailstep.network.sender import AttemptSender
from wagtailstep.utils.clock import LoopClock, ManualClock

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
# A daemon that knows few others assumes 16, so this is one retry per window each.
ONE_RETRY = 16.0
PLENTY_OF_RETRIES = 16.0 * 50


@attrs.define
class Sent:
    """A request that was sent, and how it ended.

    :param end: status of the response, or the error.
    :param ended_at: time of the end, in seconds from the start of the scenario.
    """

    exchange: Exchange
    end: int | RequestError | None = None
    ended_at: float = 0.0

    @property
    def status(self):
        return self.end.status if isinstance(self.end, RequestError) else self.end


class DecliningFleet:
    """An entry and targets that handle attempts as ``script`` lists by target.

    The last element of a target's list holds for all further attempts.
    """

    def __init__(self, count):
        self.names = [make_target(number).target_id for number in range(1, count + 1)]
        self.script = dict.fromkeys(self.names, ("answer",))
        self.order = None
        self.arrivals = []
        self.events = []
        self.change_at_s = None
        self.change = None
        self.loan_delay_s = None
        self.sent = {}
        self.plans = []
        self.settings = RequestSettings(
            retry_slack=PLENTY_OF_RETRIES, retry_ratio=0.0, declined_queue_length=64
        )
        self.serials = itertools.count(1)

    def create(self):
        """Create the entry; the event loop must be running."""
        self.clock = LoopClock()
        self.started = self.clock.monotonic()
        self.board = Blackboard(make_member("d1"), table_known=True)
        for number in range(1, len(self.names) + 1):
            target = make_target(number)
            self.board.targets[target.target_id] = target
            self.board.members[target.daemon_id] = make_member(target.daemon_id)
            health = TargetHealth(latency=100 * MILLISECOND)
            self.board.health[target.target_id] = health
        addresses = [ADDRESS] * 4
        settings = DaemonSettings("d1", "bole", *addresses, requests=self.settings)
        arguments = (settings, self.board, self.clock, random.Random(5))
        self.routing = RoutingController(*arguments)
        self.policy = RetryPolicy(self.settings, self.clock)
        self.sender = AttemptSender(
            self.board,
            self.clock,
            self.routing,
            self.policy,
            self,
            self.dispatch,
        )

    def dispatch(self, event):
        """Record an event; another daemon may lend what is missing."""
        self.events.append(event)
        if isinstance(event, RetriesMissing) and self.loan_delay_s is not None:
            budget, now = self.policy.shared_budget, self.clock.monotonic()
            for service, amount in event.costs.items():
                asyncio.get_running_loop().call_later(
                    self.loan_delay_s, budget.add_loan, service, amount, now
                )

    def start_draining(self):
        self.board.draining = True

    def let_all_leave(self):
        for name, target in list(self.board.targets.items()):
            leaving = attrs.evolve(target, state=TargetState.LEAVING)
            self.board.targets[name] = leaving

    def remove_all(self):
        for name in list(self.board.targets):
            del self.board.targets[name]

    def seconds(self):
        return (self.clock.monotonic() - self.started).total_seconds()

    async def forward(self, request, gate, target_id, incoming, time_left):
        async for _ in incoming.body:
            pass
        self.arrivals.append((target_id, self.seconds(), request.request_id))
        if self.order is not None:
            end = self.order[min(len(self.arrivals), len(self.order)) - 1]
        else:
            end = self.script[target_id][0]
            self.script[target_id] = self.script[target_id][1:] or (end,)
        if end == "decline":
            raise NotExecutedError("declined", SECOND)
        if end == "lost":
            raise ConnectionFailedError("lost", Verdict.MAY_HAVE_RUN)
        if end == "doubted":
            raise DoubtedTargetError("doubted")
        if end == "full":
            raise OverloadedError("full", SECOND)
        status = 500 if end == "fail" else 200
        return Answer(status, (), yield_body(b""), Verdict.RUN)

    def build_exchange(
        self, left_ms, idempotent, priority=0, aim_ms=None, body_bytes=0, name=None
    ):
        now = self.clock.monotonic()
        request = RequestContext(
            request_id=name or f"r{next(self.serials)}",
            service="contracts",
            route="sign",
            account="",
            method="POST",
            path="/",
            idempotent=idempotent,
            idempotency_key=None,
            deadline=now + left_ms * MILLISECOND,
            aim_deadline=None if aim_ms is None else now + aim_ms * MILLISECOND,
            priority=priority,
            max_attempts=2,
        )
        incoming = IncomingRequest("POST", "/", (), yield_body(b"x" * body_bytes))
        body = ReplayableBody(incoming.body, 1024)
        return Exchange(request, incoming, body, self.routing)

    def use_up_budget(self):
        """Use all retries, as by earlier requests at this moment."""
        budget = self.policy.shared_budget
        exchange = self.build_exchange(1000, idempotent=True)
        while budget.try_acquire(exchange.request):
            pass

    async def send(self, exchange):
        await exchange.body.prefetch()
        sent = Sent(exchange)
        self.sent[exchange.request.request_id] = sent
        self.routing.admit(exchange.request)
        try:
            answer = await self.sender.run(exchange)
            await answer.close()
            sent.end = answer.status
        except RequestError as error:
            sent.end = error
        finally:
            exchange.release()
            sent.ended_at = self.seconds()
        return sent

    def run(self, main):
        async def call():
            self.create()
            await main()

        detangle.run(call)


@given("an entry with {count:d} targets and plenty of retries")
def create_fleet(context, count):
    context.fleet = DecliningFleet(count)
    context.budget_used_up = False


@given("the budget is one retry in {window:d} ms, just used up")
def set_one_retry(context, window):
    context.fleet.settings = attrs.evolve(
        context.fleet.settings, retry_slack=ONE_RETRY, retry_window_ms=window
    )
    context.budget_used_up = True


@given("{length:d} declined requests may wait")
def set_queue_length(context, length):
    context.fleet.settings = attrs.evolve(
        context.fleet.settings, declined_queue_length=length
    )


@given('the attempts end as "{ends}"')
def set_ends(context, ends):
    context.fleet.order = ends.split(", ")


@given("targets {numbers} decline everything")
def set_decliners(context, numbers):
    for number in numbers.split(","):
        name = make_target(int(number)).target_id
        context.fleet.script[name] = ("decline",)


@given("target {number:d} declines once")
def set_decline_once(context, number):
    name = make_target(number).target_id
    context.fleet.script[name] = ("decline", "answer")


@when("{safety} request with {left:d} ms left is sent")
@when("{safety} request with {left:d} ms left and a body of {size:d} bytes is sent")
def send_one(context, safety, left, size=0):
    fleet = context.fleet

    async def main():
        if context.budget_used_up:
            fleet.use_up_budget()
        exchange = fleet.build_exchange(
            left, safety.startswith("an idempotent"), body_bytes=size
        )
        context.last = await fleet.send(exchange)
        budget = fleet.policy.shared_budget
        unused = budget.compute_own_remaining("contracts")
        context.charged = budget.compute_allowed("contracts") - unused

    fleet.run(main)


@when("{count:d} requests with {left:d} ms left are sent one after the other")
def send_in_turn(context, count, left):
    fleet = context.fleet

    async def main():
        for _ in range(count):
            exchange = fleet.build_exchange(left, idempotent=False)
            context.last = await fleet.send(exchange)

    fleet.run(main)


@when("these requests are sent")
def send_table(context):
    fleet = context.fleet

    async def main():
        fleet.use_up_budget()
        tasks = {}
        for row in context.table:
            exchange = fleet.build_exchange(
                int(row["left_ms"]),
                idempotent=False,
                priority=int(row["rank"]),
                aim_ms=int(row["aim_ms"]),
                name=row["name"],
            )
            tasks[row["name"]] = asyncio.create_task(fleet.send(exchange))
            await asyncio.sleep(0.001)
        if fleet.change_at_s is not None:
            await asyncio.sleep(fleet.change_at_s)
            fleet.change()
        for row in context.table:
            if row.get("leaves_ms", ""):
                await asyncio.sleep(int(row["leaves_ms"]) / 1000)
                tasks[row["name"]].cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        context.queue = fleet.sender.declined.queue

    fleet.run(main)


@given("the daemon begins to shut down after {time:d} ms")
def set_draining(context, time):
    context.fleet.change_at_s = time / 1000
    context.fleet.change = context.fleet.start_draining


@given("all targets of the service {change} after {time:d} ms")
def set_lost_targets(context, change, time):
    fleet = context.fleet
    fleet.change_at_s = time / 1000
    fleet.change = {"leave": fleet.let_all_leave, "are gone": fleet.remove_all}[change]


@given("another daemon lends a retry {time:d} ms after it was asked")
def set_loan(context, time):
    context.fleet.loan_delay_s = time / 1000


@given("the log lines of waits are recorded")
def record_lines(context):
    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(record.getMessage())
    logger = logging.getLogger("wagtailstep.network.declined_wait")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.setLevel, logging.NOTSET)
    context.add_cleanup(logger.removeHandler, handler)


@then('one line reports the wait of "{name}" with reason "{reason}" and {time:d} ms')
def check_line(context, name, reason, time):
    (line,) = [line for line in context.lines if f"request_id={name}" in line]
    assert line.startswith("event=declined-wait-ended"), line
    assert f"reason={reason} waited_ms={time}" in line, line


@then('the metrics count {count:d} wait that ended as "{end}"')
def check_metric(context, count, end):
    recorder = MetricsRecorder(Blackboard(make_member("d1")), ManualClock())
    for event in context.fleet.events:
        recorder.handle(event)
    lines = recorder.export_text().decode().splitlines()
    (line,) = [line for line in lines if f'outcome="{end}"' in line]
    assert line.startswith("wagtailstep_declined_waits"), line
    assert float(line.rpartition(" ")[2]) == count, line


@then("it ends with {status:d} after {count:d} arrivals")
def check_end(context, status, count):
    assert context.last.status == status, context.last
    assert len(context.fleet.arrivals) == count, context.fleet.arrivals


@then("{count:d} retry was charged")
def check_charged(context, count):
    assert context.charged == count, context.charged


@then('its verdict is "{verdict}"')
def check_verdict(context, verdict):
    assert context.last.end.verdict.value == verdict, context.last.end


@then("it ended between {low:d} and {high:d} ms after it was sent")
def check_time(context, low, high):
    assert low <= context.last.ended_at * 1000 <= high, context.last.ended_at


@then("each ended with 200")
def check_all_served(context):
    ends = [sent.status for sent in context.fleet.sent.values()]
    assert set(ends) == {200}, ends


@then("at most {count:d} arrivals were at targets {numbers}")
def check_arrivals_at(context, count, numbers):
    names = {make_target(int(number)).target_id for number in numbers.split(",")}
    found = [name for name, _, _ in context.fleet.arrivals if name in names]
    assert len(found) <= count, found


@then("no request was sent to the same target twice in a row")
def check_no_repeat(context):
    for name in context.fleet.sent:
        targets = [
            target for target, _, serial in context.fleet.arrivals if serial == name
        ]
        pairs = list(itertools.pairwise(targets))
        assert pairs and all(first != second for first, second in pairs), targets


@then("the times between the arrivals grow from {low:d} to at least {high:d} ms")
def check_backoff(context, low, high):
    times = [at * 1000 for _, at, _ in context.fleet.arrivals]
    gaps = [second - first for first, second in itertools.pairwise(times)]
    assert low / 2 <= gaps[0] <= low, gaps
    assert max(gaps) >= high, gaps
    # A backoff lies between half its step and the whole, so every second one is longer.
    assert all(c > a for a, c in zip(gaps[:4], gaps[2:5], strict=False)), gaps


@then('"{name}" ended with {status:d} between {low:d} and {high:d} ms')
def check_named(context, name, status, low, high):
    sent = context.fleet.sent[name]
    assert sent.status == status, sent
    assert low <= sent.ended_at * 1000 <= high, sent.ended_at
    if status == 503:
        assert sent.end.verdict is Verdict.NOT_RUN
        assert sent.end.retry_after


@then("no request waits any more")
def check_none_waits(context):
    assert context.queue.waiting == []
    assert context.fleet.sender.declined.futures == {}


@then('the ends of waits were reported as "{ends}"')
def check_reported(context, ends):
    reported = [
        event.end.value
        for event in context.fleet.events
        if isinstance(event, DeclinedWaitEnded)
    ]
    assert sorted(reported) == sorted(ends.split(", ")), reported
