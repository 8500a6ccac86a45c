"""Steps for the evaluation of backend servers by the outcomes of requests."""

import random
from datetime import timedelta

import attrs
from behave import given, then, when
from benchmarks.detection_faults import Fault
from benchmarks.detection_simulation import Simulation
from benchmarks.detection_users import ADDIS, HOKKAIDO

from wagtailstep.controllers import evidence_evaluation, evidence_sharing
from wagtailstep.controllers.avoidance import Phase
from wagtailstep.controllers.evidence import EvidenceController
from wagtailstep.controllers.evidence_state import RouteBaseline
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import ProbeFinished, SendToPeer, Tick
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.hedging import SlowCopyLost
from wagtailstep.models.request import AttemptEnded, Blame, RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import ServiceRow, Table
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message

ZONES = ("a", "b", "c")
STEP = timedelta(milliseconds=25)


class EvidenceHarness:
    """The evidence controller of one daemon, with simulated requests."""

    def __init__(self, targets, members=None, this="d0"):
        self.rng = random.Random(7)
        self.clock = ManualClock()
        addresses = [f"127.0.0.1:{port}" for port in range(9_001, 9_005)]
        settings = DaemonSettings(this, "a", *addresses)
        members = members or {"d0": Member("d0", 0, "d0", "d0", "a", ("s",))}
        rows = {"s": ServiceRow("s")}
        known = {}
        for number in range(targets):
            name = f"s/10.0.0.{number}:80"
            known[name] = Target(name, "s", f"d{number}", ZONES[number % 3])
        self.names = list(known)
        self.board = Blackboard(
            members[this], table=Table(1, rows), members=members, targets=known
        )
        rng = random.Random(1)
        self.controller = EvidenceController(settings, self.board, self.clock, rng)
        self.effects = []
        self.handle(Tick())

    def handle(self, event):
        self.effects += self.controller.handle(event)

    def end_request(self, name, blame=Blame.NONE, factor=1.0, queueing=0.0):
        latency = 0.02 * self.rng.lognormvariate(0, 0.4) * factor + queueing
        request = RequestContext(
            "r", "s", "lookup", "", "GET", "/", True, None, timedelta()
        )
        outcome = AttemptEnded(
            request=request,
            target_id=name,
            verdict=Verdict.RUN,
            status=200,
            blame=blame,
            latency=timedelta(seconds=latency),
            queueing=timedelta(seconds=queueing),
        )
        self.handle(outcome)

    def advance(self, step=STEP):
        self.clock.advance(step)
        self.handle(Tick())

    def warm_up(self, seconds=5):
        self.run_load(seconds, lambda name: {})

    def run_load(self, seconds, get_result):
        """End one request at each target in each step.

        :param get_result: returns keyword arguments of :meth:`end_request` for a
            target, or ``None`` for no request to it.
        """
        for _ in range(int(timedelta(seconds=seconds) / STEP)):
            self.advance()
            for name in self.names:
                result = get_result(name)
                if result is not None:
                    self.end_request(name, **result)

    def get_avoided(self):
        return {name for name, h in self.board.health.items() if h.avoided}


@given("a daemon that knows {count:d} targets in 3 zones")
def create_harness(context, count):
    context.harness = EvidenceHarness(count)
    context.harness.warm_up()
    context.unhealthy = context.harness.names[0]


@given("its service accepts a false ejection risk of {risk:g}")
def set_risk(context, risk):
    row = ServiceRow("s", false_ejection_risk=risk)
    context.harness.board.table = Table(2, {"s": row})
    context.harness.advance()


def run_load_on_unhealthy(context, seconds, **result):
    unhealthy = context.unhealthy
    context.harness.run_load(seconds, lambda name: result if name == unhealthy else {})


@when('60 requests to one target end with blame "{blame}" and the others succeed')
def blame_one(context, blame):
    run_load_on_unhealthy(context, 60 * STEP.total_seconds(), blame=Blame(blame))


@when("60 copies sent to one target lose after {waited:d} ms and the others succeed")
def lose_copies(context, waited):
    harness = context.harness
    request = RequestContext(
        "r", "s", "lookup", "", "GET", "/", True, None, timedelta()
    )
    lost = SlowCopyLost(request, context.unhealthy, timedelta(milliseconds=waited))
    for _ in range(60):
        for name in harness.names:
            if name == context.unhealthy:
                harness.handle(lost)
            else:
                harness.end_request(name)
        harness.advance()


@then("that target is {avoided} by this daemon")
def check_avoided(context, avoided):
    expected = set() if avoided == "not avoided" else {context.unhealthy}
    assert context.harness.get_avoided() == expected, context.harness.get_avoided()


@then("no target is avoided by this daemon")
def check_none_avoided(context):
    assert not context.harness.get_avoided(), context.harness.get_avoided()


@then("some target is avoided by this daemon")
def check_some_avoided(context):
    assert context.harness.get_avoided()


@then("it is {candidate} for ejection")
def check_candidate(context, candidate):
    expected = candidate == "a candidate"
    assert (context.unhealthy in context.harness.board.ejection_candidates) == expected


@when("one target fails every request, 2 in each 100 ms")
def fail_all(context):
    context.failures = 0
    while context.unhealthy not in context.harness.get_avoided():
        if context.failures % 2 == 0:
            context.harness.advance(timedelta(milliseconds=100))
        context.harness.end_request(context.unhealthy, Blame.BACKEND_SERVER)
        context.failures += 1
        assert context.failures < 100


@then("it is avoided after {count:d} failures")
def check_failures(context, count):
    assert context.failures == count, context.failures


@when("all targets fail half of their requests for {seconds:d} s")
def fail_half(context, seconds):
    rng = random.Random(3)
    blames = (Blame.NONE, Blame.BACKEND_SERVER)
    context.harness.run_load(seconds, lambda name: {"blame": rng.choice(blames)})


@when("all targets become {factor:d} times as slow for {seconds:d} s")
def slow_all(context, factor, seconds):
    context.harness.run_load(seconds, lambda name: {"factor": factor})


@when("the targets of one zone become {factor:d} times as slow for {seconds:d} s")
def slow_zone(context, factor, seconds):
    targets = context.harness.board.targets
    context.harness.run_load(
        seconds,
        lambda name: {
            "factor": factor if targets[name].availability_zone == "a" else 1
        },
    )


@when("one target becomes {factor:d} times as slow for {seconds:d} s")
def slow_one(context, factor, seconds):
    run_load_on_unhealthy(context, seconds, factor=factor)


@when("requests to one target wait {wait:d} ms for a slot for {seconds:d} s")
def queue_one(context, wait, seconds):
    run_load_on_unhealthy(context, seconds, queueing=wait / 1_000)


@when("one target restarts and is {factor:d} times as slow for {seconds:d} s")
def restart_one(context, factor, seconds):
    board = context.harness.board
    board.targets[context.unhealthy] = attrs.evolve(
        board.targets[context.unhealthy], incarnation=1
    )
    context.harness.run_load(
        1.1, lambda name: None if name == context.unhealthy else {}
    )
    context.ramps = [board.health[context.unhealthy].ramp]
    run_load_on_unhealthy(context, seconds, factor=factor)


@when("requests to one target get no answer for {seconds:d} s")
def hang_one(context, seconds):
    in_flight = context.harness.board.in_flight.by_target
    in_flight[context.unhealthy] = 1
    unhealthy = context.unhealthy
    context.harness.run_load(seconds, lambda name: None if name == unhealthy else {})


@when("one target is avoided and then answers 3 probes successfully")
def avoid_and_probe(context):
    harness = context.harness
    run_load_on_unhealthy(context, 1, blame=Blame.BACKEND_SERVER)
    assert harness.get_avoided() == {context.unhealthy}
    run_load_on_unhealthy(context, 6)
    for _ in range(3):
        assert harness.get_avoided() == {context.unhealthy}
        harness.handle(
            ProbeFinished(context.unhealthy, True, timedelta(milliseconds=25))
        )
        harness.advance()
    assert not harness.get_avoided()
    context.ramps = [harness.board.health[context.unhealthy].ramp]
    run_load_on_unhealthy(context, 5)


@then("that target gets a growing share of its weight")
def check_ramp(context):
    harness = context.harness
    early, late = context.ramps[0], harness.board.health[context.unhealthy].ramp
    harness.run_load(10, lambda name: {})
    assert early < late < harness.board.health[context.unhealthy].ramp == 1.0, (
        early,
        late,
    )


@when("one target is avoided {count:d} times in a row")
def flap(context, count):
    harness = context.harness
    context.avoidances = []
    for _ in range(count):
        run_load_on_unhealthy(context, 1, blame=Blame.BACKEND_SERVER)
        assert harness.get_avoided() == {context.unhealthy}
        state = harness.controller.health_tracker.get_state(context.unhealthy)
        context.avoidances.append(state.avoided_until - state.last_avoided_at)
        for _ in range(100):
            if state.phase is Phase.GOOD:
                break
            harness.handle(ProbeFinished(context.unhealthy, True, timedelta()))
            harness.advance(timedelta(milliseconds=500))


@then("each avoidance is twice as long as the one before")
def check_avoidances(context):
    first, second, third = context.avoidances
    assert first * 2 == second and second * 2 == third


@given("{count:d} daemons of which {interested:d} have an interest in the service")
def create_members(context, count, interested):
    members = {}
    for number in range(count):
        name = f"d{number}"
        services = ("s",) if number < interested else ("t",)
        members[name] = Member(name, 0, name, name, "a", services)
    collectors = evidence_sharing.choose_collectors(
        [m for m in members.values() if "s" in m.services], "s"
    )
    context.harnesses = [
        EvidenceHarness(6, members, f"d{number}") for number in range(interested)
    ]
    context.harness = context.harnesses[0]
    assert context.harness.board.this_member not in collectors


@when("one target fails at one of them")
def fail_at_one(context):
    context.unhealthy = context.harness.names[0]
    context.harness.warm_up()
    run_load_on_unhealthy(context, 30, blame=Blame.BACKEND_SERVER)


@then("only daemons with an interest received evidence, within the byte budget")
def check_recipients(context):
    sent = [e for e in context.harness.effects if isinstance(e, SendToPeer)]
    assert sent and {e.address for e in sent} <= {f"d{n}" for n in range(1, 5)}
    size = sum(len(encode_message(e.message)) for e in sent)
    budget = evidence_sharing.BURST_BYTES + 35 * evidence_sharing.BYTES_PER_S
    assert size <= budget, size


def ignore_other_targets(service, target, route, symptom, shared):
    return False


PLANTED_FAULTS = {
    "ignores the others": [
        (evidence_evaluation, "has_common_cause", ignore_other_targets),
        (RouteBaseline, "estimate_healthy_rate", lambda self, symptom, rates: 0.1),
    ],
}


@given("an evaluation that {fault}")
def plant_fault_in_evaluation(context, fault):
    if fault == "excuses no cold start":
        context.harness.controller.scan_targets = lambda now: None
        return
    if fault == "counts the queue":
        end_request = context.harness.end_request

        def end_with_queueing_as_latency(name, queueing=0.0, **changes):
            factor = 1 + queueing / 0.02
            end_request(name, factor=factor, **changes)

        context.harness.end_request = end_with_queueing_as_latency
        return
    for owner, name, replacement in PLANTED_FAULTS[fault]:
        original = getattr(owner, name)
        setattr(owner, name, replacement)
        context.add_cleanup(setattr, owner, name, original)


USERS = {"fast detection": ADDIS[0], "few false ejections": HOKKAIDO[0]}


@given("{count:d} simulated fleets of a user who wants {user}")
def choose_simulated_service(context, count, user):
    context.count = count
    context.service = USERS[user]


@when('the fault "{fault}" lasts in them for at most {seconds:d} s')
def run_simulations(context, fault, seconds):
    end_s = context.service.onset_s + seconds
    scenario = attrs.evolve(context.service, fault=Fault(fault), end_s=end_s)
    context.simulated = [
        Simulation(scenario, seed).run(lambda w: w.all_detected())
        for seed in range(context.count)
    ]


@then("the unhealthy target was detected within {limit:d} ms in each")
def check_detection_time(context, limit):
    times = [
        w.detected_at.get(n, 99) for w in context.simulated for n in w.faulty_targets
    ]
    assert max(times) * 1_000 <= limit, times


@then("no healthy target was ejected and the floor held")
def check_no_false_ejection(context):
    for world in context.simulated:
        assert not world.false_ejections and not world.floor_violations
