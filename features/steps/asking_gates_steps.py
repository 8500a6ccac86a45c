"""Steps for requests that look for a free slot at several gates before they queue."""

import asyncio
import collections
import heapq
import random
from datetime import timedelta

import attrs
from behave import given, then, when

from wagtailstep.controllers.gate import GateController
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import (
    ConnectionFailedError,
    OverloadedError,
    RequestError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import Member, Target, TargetStanding
from wagtailstep.models.gate import (
    GateRequest,
    GateRequestArrived,
    GateRequestEnded,
    RunResult,
    StartRequest,
)
from wagtailstep.models.headers import CALL_REFUSED
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import ReplayableBody
from wagtailstep.network.exchanges import Exchange
from wagtailstep.network.problems import yield_body
from wagtailstep.network.sender import AttemptSender
from wagtailstep.utils.clock import ManualClock

SETTINGS = DaemonSettings(
    "d0",
    "bole",
    "127.0.0.1:1",
    "127.0.0.1:2",
    "127.0.0.1:3",
    "127.0.0.1:4",
    requests=RequestSettings(retry_slack=60, trust_slots=True),
)
AIM = timedelta(milliseconds=800)
MILLISECOND = timedelta(milliseconds=1)


class EntryWithGates:
    """An entry whose gates answer as a function decides.

    ``sent`` lists the attempts of the last request as (target, may wait) pairs.
    """

    def __init__(self, count, answer):
        self.clock = ManualClock()
        self.answer = answer
        self.rng = random.Random(3)
        self.errors = []
        members = {
            f"d{i}": Member(f"d{i}", 1, f"h:{i}", f"g:{i}", "bole")
            for i in range(count)
        }
        self.board = Blackboard(members["d0"], members=members)
        for i in range(count):
            target = Target(f"contracts/i-{i}", "contracts", f"d{i}", "bole")
            self.board.targets[target.target_id] = target
        arguments = (SETTINGS, self.board, self.clock, self.rng)
        self.routing = RoutingController(*arguments)
        self.sender = AttemptSender(
            self.board,
            self.clock,
            self.routing,
            RetryPolicy(SETTINGS.requests, self.clock, lambda: count),
            self,
            lambda event: None,
        )

    async def forward(self, request, gate, target_id, incoming, time_left):
        self.sent.append((target_id, request.may_wait))
        return self.answer(request, target_id)

    def send(self, serial, idempotent=False):
        """Send one request and record the error that it ends with, if any."""
        self.sent = []
        exchange = self.build_exchange(serial, idempotent)
        self.routing.admit(exchange.request)
        return self.run(exchange)

    def build_exchange(self, serial, idempotent):
        now = self.clock.monotonic()
        request = RequestContext(
            request_id=f"r{serial}",
            service="contracts",
            route="sign",
            account="",
            method="POST",
            path="/",
            idempotent=idempotent,
            idempotency_key=None,
            deadline=now + timedelta(seconds=4),
            aim_deadline=now + AIM,
            max_attempts=2,
        )
        incoming = IncomingRequest("POST", "/", (), yield_body(b""))
        body = ReplayableBody(incoming.body, 1024)
        return Exchange(request, incoming, body, self.routing)

    def run(self, exchange):
        async def main():
            try:
                answer = await self.sender.run(exchange)
                await answer.close()
            except RequestError as error:
                self.errors.append(error)

        return asyncio.run(main())


def build_answer():
    return Answer(200, (), yield_body(b""), Verdict.RUN)


@given("gates of which 1 in 4 has a free slot")
def create_mostly_full_gates(context):
    def answer(request, target_id):
        if int(target_id.rpartition("-")[2]) % 4 == 0 or request.may_wait:
            return build_answer()
        raise OverloadedError("full", 300 * MILLISECOND)

    context.entry = EntryWithGates(24, answer)


@given("gates without a free slot that expect waits of {low:d} to {high:d} ms")
def create_full_gates(context, low, high):
    rng = random.Random(1)
    context.waits = {
        f"contracts/i-{i}": rng.randint(low, high) * MILLISECOND for i in range(24)
    }

    def answer(request, target_id):
        if request.may_wait:
            return build_answer()
        raise OverloadedError("full", context.waits[target_id])

    context.entry = EntryWithGates(24, answer)


@when("{count:d} requests look for a slot one at a time")
def send_requests(context, count):
    context.sent = []
    for serial in range(count):
        context.entry.send(serial)
        context.sent.append(context.entry.sent)


@then("at least {share:d} % of them ran without queueing")
def check_no_wait(context, share):
    ran = sum(not attempts[-1][1] for attempts in context.sent)
    assert ran * 100 >= share * len(context.sent), ran


@then("none was sent to more than {count:d} gates")
def check_max_gates(context, count):
    assert all(len(attempts) <= count for attempts in context.sent)


@then("each joined the shortest of the queues reported to it")
def check_shortest(context):
    for attempts in context.sent:
        *refused, last = attempts
        assert last[1] and not any(may_wait for _, may_wait in refused)
        shortest = min(context.waits[name] for name, _ in refused)
        assert context.waits[last[0]] == shortest


@attrs.frozen
class RequestClass:
    """A class of requests with the same route, work and latency objective.

    :param share: its fraction of all requests.
    """

    route: str
    work: timedelta
    aim: timedelta
    share: float = 1.0


class SimulatedGates:
    """Gates with slots; a heap of completion events drives them in virtual time."""

    def __init__(self, count, rng):
        self.clock = ManualClock()
        self.classes = {}
        self.rng = rng
        self.completions = []
        self.serial = 0
        self.started = {}
        self.controllers = {}
        for i in range(count):
            name = f"contracts/i-{i}"
            board = Blackboard(Member(f"d{i}", 1, "", "", "bole"))
            board.targets[name] = Target(name, "contracts", f"d{i}", "bole")
            self.controllers[name] = GateController(
                SETTINGS, board, self.clock, self.rng
            )

    def arrive(self, name, request_class, arrived_at, may_wait):
        """Return the refusal, or ``None`` if the request runs or waits."""
        self.serial += 1
        self.classes[self.serial] = request_class
        request = GateRequest(
            serial=self.serial,
            request_id=f"r{self.serial}",
            attempt_id=f"a{self.serial}",
            target_id=name,
            route=request_class.route,
            idempotent=False,
            deadline=arrived_at + timedelta(seconds=4),
            aim_deadline=arrived_at + request_class.aim,
            arrived_at=arrived_at,
            may_wait=may_wait,
        )
        effects = self.controllers[name].handle(GateRequestArrived(request))
        self.started[self.serial] = arrived_at
        return self.apply_effects(name, effects)

    def apply_effects(self, name, effects):
        refusal = None
        for effect in effects:
            if isinstance(effect, StartRequest):
                work = self.classes[effect.serial].work
                duration = work * self.rng.lognormvariate(-0.05, 0.3)
                at = self.clock.monotonic() + duration
                heapq.heappush(self.completions, (at, effect.serial, name))
            else:
                refusal = effect.error
        return refusal

    def run_until(self, until, done):
        while self.completions and self.completions[0][0] <= until:
            at, serial, name = heapq.heappop(self.completions)
            self.clock.advance(at - self.clock.monotonic())
            done.append((self.classes[serial], at - self.started[serial]))
            event = GateRequestEnded(serial, RunResult.ANSWERED)
            self.apply_effects(name, self.controllers[name].handle(event))
        self.clock.advance(until - self.clock.monotonic())


@given("{count:d} gates with 4 slots each and work of {work:d} ms")
def configure_gates(context, count, work):
    context.count = count
    context.classes = [RequestClass("sign", work * MILLISECOND, AIM)]


@given("{count:d} gates with 4 slots each and a mix of short and long requests")
def configure_mixed_gates(context, count):
    context.count = count
    context.classes = [
        RequestClass("call", 52 * MILLISECOND, 200 * MILLISECOND, 0.53),
        RequestClass("page", 84 * MILLISECOND, 400 * MILLISECOND, 0.32),
        RequestClass("upload", 250 * MILLISECOND, 1000 * MILLISECOND, 0.15),
    ]


def simulate(context, seconds, load, send):
    """Return the number of requests sent of each class, and the answered ones."""
    rng = random.Random(5)
    gates = SimulatedGates(context.count, rng)
    names = list(gates.controllers)
    shares = [request_class.share for request_class in context.classes]
    mean_work = sum(c.work.total_seconds() * c.share for c in context.classes)
    rate = load * 4 * context.count / mean_work
    done, sent = [], collections.Counter()
    now = timedelta()
    while now < timedelta(seconds=seconds):
        now += timedelta(seconds=rng.expovariate(rate))
        gates.run_until(now, done)
        (request_class,) = rng.choices(context.classes, shares)
        sent[request_class] += 1
        send(gates, rng.sample(names, 3), request_class, now)
    gates.run_until(now + timedelta(seconds=5), done)
    return sent, done


def compute_ratio_in_aim(sent, done):
    return (
        sum(latency <= request_class.aim for request_class, latency in done)
        / sent.total()
    )


def look_for_slot_first(gates, names, request_class, now):
    waits = {}
    for name in names:
        refusal = gates.arrive(name, request_class, now, may_wait=False)
        if refusal is None:
            return
        waits[name] = refusal.retry_after
    gates.arrive(min(waits, key=waits.__getitem__), request_class, now, may_wait=True)


def join_first_queue(gates, names, request_class, now):
    gates.arrive(names[0], request_class, now, may_wait=True)


@when("requests arrive for {seconds:d} s at {load:g} of the capacity of the slots")
def simulate_load(context, seconds, load):
    context.ratio_looking = compute_ratio_in_aim(
        *simulate(context, seconds, load, look_for_slot_first)
    )
    context.ratio_joining = compute_ratio_in_aim(
        *simulate(context, seconds, load, join_first_queue)
    )


@then("at least {share:d} % are answered within {aim:d} ms")
def check_answered(context, share, aim):
    assert context.ratio_looking * 100 >= share, context.ratio_looking


@then("with each request joining the first gate's queue {fewer:d} % fewer are")
def check_fewer(context, fewer):
    assert context.ratio_joining < context.ratio_looking - fewer / 100, (
        context.ratio_joining
    )


@when("mixed requests arrive for {seconds:d} s at {load:g} of the slots")
def simulate_mixed_load(context, seconds, load):
    sent, done = simulate(context, seconds, load, look_for_slot_first)
    answered = collections.Counter(request_class for request_class, _ in done)
    context.answered = {
        request_class.route: answered[request_class] / sent[request_class]
        for request_class in sent
    }


@then("at least {share:d} % of each class are answered")
def check_each_class(context, share):
    assert min(context.answered.values()) * 100 >= share, context.answered


def set_failing_answer(context, headers):
    def answer(request, target_id):
        return Answer(500, headers, yield_body(b""), Verdict.RUN)

    context.entry = EntryWithGates(24, answer)


@given("gates whose backend servers fail because their call was refused")
def create_gates_with_refused_calls(context):
    set_failing_answer(context, ((CALL_REFUSED, "?1"),))


@given("gates whose backend servers fail")
def create_failing_gates(context):
    set_failing_answer(context, ())


@when("{count:d} idempotent requests look for a slot one at a time")
def send_idempotent(context, count):
    context.sent = []
    for serial in range(count):
        context.entry.send(serial, idempotent=True)
        context.sent.append(context.entry.sent)


@when("{count:d} non-idempotent requests look for a slot one at a time")
def send_non_idempotent(context, count):
    send_requests(context, count)


def create_full_good_targets(context, answer_doubted):
    standings = [TargetStanding.GOOD] * 6
    standings += [TargetStanding.DOUBTED] * 2 + [TargetStanding.FAILING] * 2
    context.standings = {
        f"contracts/i-{i}": standing for i, standing in enumerate(standings)
    }

    def answer(request, target_id):
        if context.standings[target_id] is TargetStanding.GOOD:
            raise OverloadedError("full", 300 * MILLISECOND)
        return answer_doubted()

    context.entry = EntryWithGates(len(standings), answer)
    # No random trials of doubted targets: only full gates lead to one.
    context.entry.rng.random = lambda: 1.0
    targets = context.entry.board.targets
    for name, standing in context.standings.items():
        targets[name] = attrs.evolve(targets[name], standing=standing)


@given("6 good targets, and 2 doubted and 2 failing ones that fail")
def create_mixed_standings(context):
    create_full_good_targets(
        context, lambda: Answer(500, (), yield_body(b""), Verdict.RUN)
    )
    standings = context.standings

    def answer(request, target_id):
        is_good = standings[target_id] is TargetStanding.GOOD
        return Answer(200 if is_good else 500, (), yield_body(b""), Verdict.RUN)

    context.entry.answer = answer
    context.entry.rng.random = random.Random(4).random


@given("{amount} retries of the fleet-wide budget are left")
def set_shared_budget(context, amount):
    if amount == "no":
        shared = context.entry.sender.retries.shared_budget
        shared.compute_remaining = lambda service: 0.0


@then("{low:d} to {high:d} of them were sent to a doubted target first")
def check_doubted_trials(context, low, high):
    first_standings = [context.standings[attempts[0][0]] for attempts in context.sent]
    assert low <= first_standings.count(TargetStanding.DOUBTED) <= high, first_standings


@given("full gates of 6 good targets, and 2 doubted and 2 failing ones that answer")
def create_answering_doubted(context):
    create_full_good_targets(context, build_answer)


@given("full gates of 6 good targets, and 2 doubted and 2 failing ones that fail")
def create_failing_doubted(context):
    create_full_good_targets(
        context, lambda: Answer(500, (), yield_body(b""), Verdict.RUN)
    )


@then("{served:d} of them were answered, and all by doubted targets")
def check_served_by_doubted(context, served):
    assert len(context.sent) - len(context.entry.errors) == served
    last = {context.standings[attempts[-1][0]] for attempts in context.sent}
    expected = TargetStanding.DOUBTED if served else TargetStanding.GOOD
    assert last == {expected}, last


@then("none was sent to more than 1 doubted or failing target")
def check_one_doubted(context):
    for attempts in context.sent:
        names = [name for name, _ in attempts]
        assert sum(context.standings[n] >= TargetStanding.DOUBTED for n in names) == 1


@then("each was sent once")
def check_sent_once(context):
    assert all(len(attempts) == 1 for attempts in context.sent)


@then("some were sent twice")
def check_sent_twice(context):
    assert {len(attempts) for attempts in context.sent} == {1, 2}


@given("gates that abort the first attempt and refuse the next ones")
def create_aborting_gates(context):
    def answer(request, target_id):
        if len(context.entry.sent) == 1:
            raise ConnectionFailedError("aborted", Verdict.MAY_HAVE_RUN)
        raise OverloadedError("full", 300 * MILLISECOND)

    context.entry = EntryWithGates(24, answer)


@given("gates that refuse all attempts")
def create_refusing_gates(context):
    def answer(request, target_id):
        raise OverloadedError("full", 300 * MILLISECOND)

    context.entry = EntryWithGates(24, answer)


@then('each ended with status {status:d} and verdict "{verdict}"')
def check_ends(context, status, verdict):
    found = [(error.status, error.verdict.value) for error in context.entry.errors]
    assert found == [(status, verdict)] * len(context.sent), found


class FakeTimeout:
    """Replaces the ``asyncio`` timeout of an attempt."""

    rescheduled = False

    def expired(self):
        return False

    def reschedule(self, when):
        self.rescheduled = True


@when("the daemon is {condition} and an attempt reaches its timeout")
def reach_attempt_timeout(context, condition):
    entry = context.entry
    entry.board.draining = condition == "shutting down"
    if condition == "out of room":
        create_refusing_gates(context)
        entry = context.entry
        entry.send(0)
    entry.sender.retries.record_first_attempt("contracts")
    exchange = entry.build_exchange(1, idempotent=True)
    context.timeout = FakeTimeout()

    async def main():
        entry.sender.abandon_attempt(exchange, context.timeout)

    asyncio.run(main())


@then("the attempt is {result}")
def check_result(context, result):
    assert context.timeout.rescheduled == (result == "broken off")
