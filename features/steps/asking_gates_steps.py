"""Steps for requests that ask gates for a free slot before they queue."""

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


class World:
    """An entry before gates whose answers a function gives."""

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
        parts = (SETTINGS, self.board, self.clock, self.rng)
        self.routing = RoutingController(*parts)
        self.sender = AttemptSender(
            self.board,
            self.clock,
            self.routing,
            RetryPolicy(SETTINGS.requests, self.clock, lambda: count),
            self,
            lambda event: None,
        )

    async def forward(self, request, gate, target_id, incoming, time_left):
        self.asked.append((target_id, request.may_wait))
        return self.answer(request, target_id)

    def send(self, serial, idempotent=False):
        """Send one request and keep the error that it ends with, if any."""
        self.asked = []
        exchange = self.make_exchange(serial, idempotent)
        self.routing.admit(exchange.request)
        return self.run(exchange)

    def make_exchange(self, serial, idempotent):
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


def make_answer():
    return Answer(200, (), yield_body(b""), Verdict.RUN)


@given("gates of which 1 in 4 has a free slot")
def make_mostly_full(context):
    def answer(request, target_id):
        if int(target_id.rpartition("-")[2]) % 4 == 0 or request.may_wait:
            return make_answer()
        raise OverloadedError("full", 300 * MILLISECOND)

    context.world = World(24, answer)


@given("gates without a free slot that expect waits of {low:d} to {high:d} ms")
def make_full(context, low, high):
    rng = random.Random(1)
    context.waits = {
        f"contracts/i-{i}": rng.randint(low, high) * MILLISECOND for i in range(24)
    }

    def answer(request, target_id):
        if request.may_wait:
            return make_answer()
        raise OverloadedError("full", context.waits[target_id])

    context.world = World(24, answer)


@when("{count:d} requests look for a slot one at a time")
def send_requests(context, count):
    context.sent = []
    for serial in range(count):
        context.world.send(serial)
        context.sent.append(context.world.asked)


@then("at least {share:d} % of them ran without a wait")
def check_no_wait(context, share):
    ran = sum(not asked[-1][1] for asked in context.sent)
    assert ran * 100 >= share * len(context.sent), ran


@then("none was sent to more than {count:d} gates")
def check_asked(context, count):
    assert all(len(asked) <= count for asked in context.sent)


@then("each joined the shortest of the queues that it was told of")
def check_shortest(context):
    for asked in context.sent:
        *refused, last = asked
        assert last[1] and not any(may_wait for _, may_wait in refused)
        shortest = min(context.waits[name] for name, _ in refused)
        assert context.waits[last[0]] == shortest


@attrs.frozen
class Kind:
    """A kind of request.

    :param share: its share of all requests.
    """

    route: str
    work: timedelta
    aim: timedelta
    share: float = 1.0


class Gates:
    """Gates with slots, driven by a list of events in virtual time."""

    def __init__(self, count, world_rng):
        self.clock = ManualClock()
        self.kinds = {}
        self.rng = world_rng
        self.events = []
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

    def arrive(self, name, kind, arrived_at, may_wait):
        """Return the refusal, or ``None`` if the request runs or waits."""
        self.serial += 1
        self.kinds[self.serial] = kind
        request = GateRequest(
            serial=self.serial,
            request_id=f"r{self.serial}",
            attempt_id=f"a{self.serial}",
            target_id=name,
            route=kind.route,
            idempotent=False,
            deadline=arrived_at + timedelta(seconds=4),
            aim_deadline=arrived_at + kind.aim,
            arrived_at=arrived_at,
            may_wait=may_wait,
        )
        effects = self.controllers[name].handle(GateRequestArrived(request))
        self.started[self.serial] = arrived_at
        return self.apply(name, effects)

    def apply(self, name, effects):
        refusal = None
        for effect in effects:
            if isinstance(effect, StartRequest):
                work = self.kinds[effect.serial].work
                took = work * self.rng.lognormvariate(-0.05, 0.3)
                at = self.clock.monotonic() + took
                heapq.heappush(self.events, (at, effect.serial, name))
            else:
                refusal = effect.error
        return refusal

    def run_until(self, until, done):
        while self.events and self.events[0][0] <= until:
            at, serial, name = heapq.heappop(self.events)
            self.clock.advance(at - self.clock.monotonic())
            done.append((self.kinds[serial], at - self.started[serial]))
            event = GateRequestEnded(serial, RunResult.ANSWERED)
            self.apply(name, self.controllers[name].handle(event))
        self.clock.advance(until - self.clock.monotonic())


@given("{count:d} gates with 4 slots each and work of {work:d} ms")
def set_gates(context, count, work):
    context.count = count
    context.kinds = [Kind("sign", work * MILLISECOND, AIM)]


@given("{count:d} gates with 4 slots each and a mix of short and long work")
def set_mixed_gates(context, count):
    context.count = count
    context.kinds = [
        Kind("call", 52 * MILLISECOND, 200 * MILLISECOND, 0.53),
        Kind("page", 84 * MILLISECOND, 400 * MILLISECOND, 0.32),
        Kind("upload", 250 * MILLISECOND, 1000 * MILLISECOND, 0.15),
    ]


def play(context, seconds, load, ask):
    """Return how many requests of each kind were sent, and the answered ones."""
    rng = random.Random(5)
    gates = Gates(context.count, rng)
    names = list(gates.controllers)
    shares = [kind.share for kind in context.kinds]
    mean_work = sum(k.work.total_seconds() * k.share for k in context.kinds)
    rate = load * 4 * context.count / mean_work
    done, sent = [], collections.Counter()
    now = timedelta()
    while now < timedelta(seconds=seconds):
        now += timedelta(seconds=rng.expovariate(rate))
        gates.run_until(now, done)
        (kind,) = rng.choices(context.kinds, shares)
        sent[kind] += 1
        ask(gates, rng.sample(names, 3), kind, now)
    gates.run_until(now + timedelta(seconds=5), done)
    return sent, done


def find_share_in_aim(sent, done):
    return sum(latency <= kind.aim for kind, latency in done) / sent.total()


def ask_first(gates, names, kind, now):
    waits = {}
    for name in names:
        refusal = gates.arrive(name, kind, now, may_wait=False)
        if refusal is None:
            return
        waits[name] = refusal.retry_after
    gates.arrive(min(waits, key=waits.__getitem__), kind, now, may_wait=True)


def join_first(gates, names, kind, now):
    gates.arrive(names[0], kind, now, may_wait=True)


@when("requests arrive for {seconds:d} s at {load:g} of what the slots can carry")
def play_load(context, seconds, load):
    context.asking = find_share_in_aim(*play(context, seconds, load, ask_first))
    context.joining = find_share_in_aim(*play(context, seconds, load, join_first))


@then("at least {share:d} % are answered within {aim:d} ms")
def check_answered(context, share, aim):
    assert context.asking * 100 >= share, context.asking


@then("with each request joining the first gate's queue {fewer:d} % fewer are")
def check_fewer(context, fewer):
    assert context.joining < context.asking - fewer / 100, context.joining


@when("mixed requests arrive for {seconds:d} s at {load:g} of the slots")
def play_mixed_load(context, seconds, load):
    sent, done = play(context, seconds, load, ask_first)
    answered = collections.Counter(kind for kind, _ in done)
    context.answered = {kind.route: answered[kind] / sent[kind] for kind in sent}


@then("at least {share:d} % of each kind are answered")
def check_each_kind(context, share):
    assert min(context.answered.values()) * 100 >= share, context.answered


def make_failing(context, headers):
    def answer(request, target_id):
        return Answer(500, headers, yield_body(b""), Verdict.RUN)

    context.world = World(24, answer)


@given("gates whose servers fail since their call was refused")
def make_refused(context):
    make_failing(context, ((CALL_REFUSED, "?1"),))


@given("gates whose servers fail")
def make_plainly_failing(context):
    make_failing(context, ())


@when("{count:d} idempotent requests look for a slot one at a time")
def send_idempotent(context, count):
    context.sent = []
    for serial in range(count):
        context.world.send(serial, idempotent=True)
        context.sent.append(context.world.asked)


@when("{count:d} non-idempotent requests look for a slot one at a time")
def send_non_idempotent(context, count):
    send_requests(context, count)


def make_full_but_doubted(context, answer_doubted):
    standings = [TargetStanding.GOOD] * 6
    standings += [TargetStanding.DOUBTED] * 2 + [TargetStanding.FAILING] * 2
    context.standings = {
        f"contracts/i-{i}": standing for i, standing in enumerate(standings)
    }

    def answer(request, target_id):
        if context.standings[target_id] is TargetStanding.GOOD:
            raise OverloadedError("full", 300 * MILLISECOND)
        return answer_doubted()

    context.world = World(len(standings), answer)
    # Without probes, so that only full gates lead to a doubted target.
    context.world.rng.random = lambda: 1.0
    targets = context.world.board.targets
    for name, standing in context.standings.items():
        targets[name] = attrs.evolve(targets[name], standing=standing)


@given("6 good targets, and 2 doubted and 2 failing ones that fail")
def make_mixed_standings(context):
    make_full_but_doubted(
        context, lambda: Answer(500, (), yield_body(b""), Verdict.RUN)
    )
    standings = context.standings

    def answer(request, target_id):
        is_good = standings[target_id] is TargetStanding.GOOD
        return Answer(200 if is_good else 500, (), yield_body(b""), Verdict.RUN)

    context.world.answer = answer
    context.world.rng.random = random.Random(4).random


@given("{amount} retries of the fleet are left")
def set_budget(context, amount):
    if amount == "no":
        shared = context.world.sender.retries.shared_budget
        shared.compute_remaining = lambda service: 0.0


@then("{least:d} to {most:d} of them were sent to a doubted target first")
def check_probes(context, least, most):
    firsts = [context.standings[asked[0][0]] for asked in context.sent]
    assert least <= firsts.count(TargetStanding.DOUBTED) <= most, firsts


@given("full gates of 6 good targets, and 2 doubted and 2 failing ones that answer")
def make_answering_doubted(context):
    make_full_but_doubted(context, make_answer)


@given("full gates of 6 good targets, and 2 doubted and 2 failing ones that fail")
def make_failing_doubted(context):
    make_full_but_doubted(
        context, lambda: Answer(500, (), yield_body(b""), Verdict.RUN)
    )


@then("{served:d} of them were answered, and all by doubted targets")
def check_served_by_doubted(context, served):
    assert len(context.sent) - len(context.world.errors) == served
    last = {context.standings[asked[-1][0]] for asked in context.sent}
    expected = TargetStanding.DOUBTED if served else TargetStanding.GOOD
    assert last == {expected}, last


@then("none was sent to more than 1 doubted or failing target")
def check_one_doubted(context):
    for asked in context.sent:
        names = [name for name, _ in asked]
        assert sum(context.standings[n] >= TargetStanding.DOUBTED for n in names) == 1


@then("each was sent once")
def check_sent_once(context):
    assert all(len(asked) == 1 for asked in context.sent)


@then("some were sent twice")
def check_sent_twice(context):
    assert {len(asked) for asked in context.sent} == {1, 2}


@given("gates that break off the first attempt and refuse the next ones")
def make_breaking(context):
    def answer(request, target_id):
        if len(context.world.asked) == 1:
            raise ConnectionFailedError("broken", Verdict.MAY_HAVE_RUN)
        raise OverloadedError("full", 300 * MILLISECOND)

    context.world = World(24, answer)


@given("gates that refuse all attempts")
def make_refusing(context):
    def answer(request, target_id):
        raise OverloadedError("full", 300 * MILLISECOND)

    context.world = World(24, answer)


@then('each ended with status {status:d} and verdict "{verdict}"')
def check_ends(context, status, verdict):
    ends = [(error.status, error.verdict.value) for error in context.world.errors]
    assert ends == [(status, verdict)] * len(context.sent), ends


class FakeLimit:
    """Stands for the time limit of an attempt."""

    ended = False

    def reschedule(self, when):
        self.ended = True


@when("the daemon is {phase} and an attempt has taken too long")
def end_patience(context, phase):
    world = context.world
    world.board.draining = phase == "shutting down"
    if phase == "out of room":
        make_refusing(context)
        world = context.world
        world.send(0)
    world.sender.retries.record_first_attempt("contracts")
    exchange = world.make_exchange(1, idempotent=True)
    context.limit = FakeLimit()

    async def main():
        world.sender.abandon_attempt(exchange, context.limit)

    asyncio.run(main())


@then("the attempt is {fate}")
def check_fate(context, fate):
    assert context.limit.ended == (fate == "broken off")
