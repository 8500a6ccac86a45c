"""Steps for ejections that hold for the whole fleet."""

from datetime import timedelta

import attrs
from behave import given, then, when

from ejection_harness import SERVICE, STEP_S, STREAM, Daemon, EjectionHarness
from wagtailstep.controllers.ejection import EjectionController
from wagtailstep.controllers.ejection_fold import EjectionFold
from wagtailstep.controllers.ejection_state import SETTLE_MS
from wagtailstep.controllers.floor import sum_in_service
from wagtailstep.models.evidence import EjectionCandidate, Symptom
from wagtailstep.models.table import ServiceRow, Table

JUDGEMENTS = ["add_candidates", "add_candidates", "clear_candidates"]
TROUBLES = {
    "concurrent ejections": [],
    "one-way partitions": ["block_reads", "block_appends"],
    "paused daemons and late appends": ["pause_daemon"],
    "floor edits": ["change_floor"],
    "departures": ["change_targets"],
    "log outages": ["make_log_unavailable"],
    "everything at once": (
        "block_reads block_appends pause_daemon change_floor change_targets "
        "make_log_unavailable"
    ).split(),
}


@given("{count:d} fleets with {trouble}")
def create_fleets(context, count, trouble):
    context.harnesses = [EjectionHarness(seed) for seed in range(count)]
    context.troubles = TROUBLES[trouble]


def keeps_floor_without_unsettled(fold, claim):
    counted = {*fold.ejections, *claim.out, claim.target_id}
    return sum_in_service(claim.weights, counted) >= claim.floor


FAULTS = {
    "accept every claim": (EjectionFold, "keeps_floor", lambda f, c: True),
    "forget who may still hold a target out": (
        EjectionFold,
        "keeps_floor",
        keeps_floor_without_unsettled,
    ),
    "apply what they can no longer confirm": (
        EjectionController,
        "is_fresh",
        lambda controller, state, now: state.caught_up,
    ),
    "never bring back targets for the floor": (
        EjectionController,
        "forced_returns",
        lambda controller, state: [],
    ),
}


@given("controllers that {fault}")
def plant_fault_in_controllers(context, fault):
    owner, name, replacement = FAULTS[fault]
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    context.add_cleanup(setattr, owner, name, original)
    if fault == "accept every claim":
        forced = EjectionController.forced_returns
        EjectionController.forced_returns = lambda controller, state: []
        context.add_cleanup(setattr, EjectionController, "forced_returns", forced)


@when("they run for {seconds:d} s")
def run_fleets(context, seconds):
    for harness in context.harnesses:
        harness.run(seconds, JUDGEMENTS, context.troubles)


@then("some targets were ejected at times")
def check_observed_ejections(context):
    assert all(harness.observed_ejections for harness in context.harnesses)


@then("the floor was never violated")
def check_no_violation(context):
    violated = [
        (n, h.violations[:3]) for n, h in enumerate(context.harnesses) if h.violations
    ]
    assert not violated, violated


@then("the floor was violated for the {kind}")
def check_violation(context, kind):
    found = {scope for harness in context.harnesses for scope, _ in harness.violations}
    assert kind in found, found


def add_candidate(harness, daemon, name):
    now = harness.clock.monotonic()
    candidate = EjectionCandidate(name, Symptom.FAILING, "r", 1.0, now)
    daemon.board.ejection_candidates[name] = candidate


def eject(harness, name):
    add_candidate(harness, harness.daemons[0], name)
    harness.run(5)
    harness.daemons[0].board.ejection_candidates.clear()
    assert all(name in d.board.ejected for d in harness.daemons)


@given("a fleet in which one daemon ejected a target")
def eject_one(context):
    context.harness = EjectionHarness(3, floor=1.0)
    context.name = sorted(context.harness.targets)[0]
    eject(context.harness, context.name)


@given("a fleet in which one daemon ejected two targets in turn")
def eject_two(context):
    context.harness = EjectionHarness(3, floor=1.0)
    names = sorted(context.harness.targets, key=context.harness.table.weight)
    context.names = [names[-1], names[-2]]
    for name in context.names:
        eject(context.harness, name)


@when("that daemon stops for good")
def stop_claimant(context):
    context.harness.daemons[0].stopped = True


@when("all probes of that daemon fail from then on")
def fail_probes(context):
    context.harness.rng.random = lambda: 0.99


@when("the floor is raised so that one of them is needed")
def raise_floor(context):
    harness = context.harness
    total = sum(harness.get_weights(harness.targets).values())
    floor = total - harness.table.weight(context.names[1])
    row = ServiceRow(SERVICE, floor_weight=floor)
    harness.table = Table(2, {SERVICE: row}, harness.table.backend_servers)
    for daemon in harness.daemons:
        harness.update_view(daemon)
    harness.run(0.5)


@then("only the one that was ejected last stays ejected")
def check_last_ejected(context):
    for daemon in context.harness.daemons:
        assert daemon.board.ejected == {context.names[1]}


@when("the log is unavailable for {seconds:d} s")
def make_log_unavailable(context, seconds):
    context.harness.log_unavailable_until = context.harness.now + seconds + 1
    context.harness.run(seconds)


@when("the target restarts")
def restart(context):
    harness = context.harness
    target = harness.targets[context.name]
    harness.targets[context.name] = attrs.evolve(target, incarnation=1)
    for daemon in harness.daemons:
        harness.update_view(daemon)
    harness.run(0.5)


def is_in_service_everywhere(harness, name):
    running = [d for d in harness.daemons if not d.stopped]
    return all(name not in d.board.ejected for d in running)


@then("the target is in service everywhere within {seconds:d} s")
def check_in_service_within(context, seconds):
    context.harness.run(seconds)
    assert is_in_service_everywhere(context.harness, context.name)


@then("the target is in service everywhere")
def check_in_service(context):
    assert is_in_service_everywhere(context.harness, context.name)


@then("the fold of a daemon that starts then has no ejections")
def check_fold(context):
    new_daemon = context.harness.create_daemon(7)
    context.harness.daemons.append(new_daemon)
    context.harness.run(1)
    assert not new_daemon.controller.streams[STREAM].fold.ejections


@given("a stream whose last ejection was never renewed or ended")
def create_old_stream(context):
    context.harness = EjectionHarness(3, floor=1.0)
    eject(context.harness, sorted(context.harness.targets)[0])
    for daemon in context.harness.daemons:
        daemon.stopped = True


@when("a daemon reads it from the beginning")
def read_from_beginning(context):
    context.new_daemon: Daemon = context.harness.create_daemon(7)
    context.harness.daemons.append(context.new_daemon)
    context.harness.clock.advance(timedelta(days=1))
    context.harness.run(1)


@then("no target is ejected in its view")
def check_no_ejections(context):
    assert context.new_daemon.controller.streams[STREAM].fold.ejections
    assert not context.new_daemon.board.ejected


@when("the fleet continues for {seconds:d} s")
def continue_fleet(context, seconds):
    context.harness.run(seconds)


@then("no daemon keeps more read positions than settling needs")
def check_read_positions(context):
    expected = SETTLE_MS / 1_000 / STEP_S + 2
    for daemon in context.harness.daemons:
        read_positions = daemon.controller.streams[STREAM].read_positions
        assert 0 < len(read_positions) <= 2 * expected, len(read_positions)
