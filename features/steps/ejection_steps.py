"""Steps for ejections for the whole fleet."""

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

JUDGING = ["accuse", "accuse", "acquit"]
TROUBLE = {
    "concurrent ejections": [],
    "one-way partitions": ["blind", "mute"],
    "paused daemons and late appends": ["pause"],
    "floor edits": ["raise_floor"],
    "departures": ["depart"],
    "log outages": ["lose_log"],
    "everything at once": "blind mute pause raise_floor depart lose_log".split(),
}


@given("{count:d} fleets under {trouble}")
def make_fleets(context, count, trouble):
    context.worlds = [EjectionHarness(seed) for seed in range(count)]
    context.troubles = TROUBLE[trouble]


def leaves_floor_unsettled(fold, claim):
    counted = {*fold.ejections, *claim.out, claim.target_id}
    return sum_in_service(claim.weights, counted) >= claim.floor


FAULTS = {
    "accept every claim": (EjectionFold, "keeps_floor", lambda f, c: True),
    "forget who may still hold a target out": (
        EjectionFold,
        "keeps_floor",
        leaves_floor_unsettled,
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
    for world in context.worlds:
        world.run(seconds, JUDGING, context.troubles)


@then("targets were out now and then")
def check_ejections_seen(context):
    assert all(world.ejections_seen for world in context.worlds)


@then("the floor was never broken")
def check_never_broken(context):
    broken = [(n, w.faults[:3]) for n, w in enumerate(context.worlds) if w.faults]
    assert not broken, broken


@then("the floor was broken for the {kind}")
def check_broken(context, kind):
    found = {kind for world in context.worlds for kind, _ in world.faults}
    assert kind in found, found


def accuse(world, daemon, name):
    now = world.clock.monotonic()
    candidate = EjectionCandidate(name, Symptom.FAILING, "r", 1.0, now)
    daemon.board.ejection_candidates[name] = candidate


def eject(world, name):
    accuse(world, world.daemons[0], name)
    world.run(5)
    world.daemons[0].board.ejection_candidates.clear()
    assert all(name in d.board.ejected for d in world.daemons)


@given("a fleet in which one daemon ejected a target")
def eject_one(context):
    context.world = EjectionHarness(3, floor=1.0)
    context.name = sorted(context.world.targets)[0]
    eject(context.world, context.name)


@given("a fleet in which one daemon ejected two targets in turn")
def eject_two(context):
    context.world = EjectionHarness(3, floor=1.0)
    names = sorted(context.world.targets, key=context.world.table.weight)
    context.names = [names[-1], names[-2]]
    for name in context.names:
        eject(context.world, name)


@when("that daemon vanishes for good")
def vanish(context):
    context.world.daemons[0].dead = True


@when("all probes of that daemon fail from then on")
def fail_probes(context):
    context.world.rng.random = lambda: 0.99


@when("the floor is raised so that one of them is needed")
def need_one(context):
    world = context.world
    total = sum(world.weights(world.targets).values())
    floor = total - world.table.weight(context.names[1])
    row = ServiceRow(SERVICE, floor_weight=floor)
    world.table = Table(2, {SERVICE: row}, world.table.backend_servers)
    for daemon in world.daemons:
        world.learn(daemon)
    world.run(0.5)


@then("only the one that was ejected last stays out")
def check_last_out(context):
    for daemon in context.world.daemons:
        assert daemon.board.ejected == {context.names[1]}


@when("the log is away for {seconds:d} s")
def take_log_away(context, seconds):
    context.world.log_away_until = context.world.now + seconds + 1
    context.world.run(seconds)


@when("the target restarts")
def restart(context):
    world = context.world
    target = world.targets[context.name]
    world.targets[context.name] = attrs.evolve(target, incarnation=1)
    for daemon in world.daemons:
        world.learn(daemon)
    world.run(0.5)


def everywhere_in_service(world, name):
    alive = [d for d in world.daemons if not d.dead]
    return all(name not in d.board.ejected for d in alive)


@then("the target is in service everywhere within {seconds:d} s")
def check_back_within(context, seconds):
    context.world.run(seconds)
    assert everywhere_in_service(context.world, context.name)


@then("the target is in service everywhere")
def check_back(context):
    assert everywhere_in_service(context.world, context.name)


@then("the fold of a daemon that starts then has nobody out")
def check_fold(context):
    fresh = context.world.make_daemon(7)
    context.world.daemons.append(fresh)
    context.world.run(1)
    assert not fresh.controller.streams[STREAM].fold.ejections


@given("a stream whose last ejection was never renewed or ended")
def make_old_stream(context):
    context.world = EjectionHarness(3, floor=1.0)
    eject(context.world, sorted(context.world.targets)[0])
    for daemon in context.world.daemons:
        daemon.dead = True


@when("a daemon reads it from the beginning")
def read_from_beginning(context):
    context.fresh: Daemon = context.world.make_daemon(7)
    context.world.daemons.append(context.fresh)
    context.world.clock.advance(timedelta(days=1))
    context.world.run(1)


@then("nobody is out in its view")
def check_nobody_out(context):
    assert context.fresh.controller.streams[STREAM].fold.ejections
    assert not context.fresh.board.ejected


@when("the fleet goes on for {seconds:d} s")
def go_on(context, seconds):
    context.world.run(seconds)


@then("no daemon remembers more reads than settling needs")
def check_history(context):
    most = SETTLE_MS / 1_000 / STEP_S + 2
    for daemon in context.world.daemons:
        read_positions = daemon.controller.streams[STREAM].read_positions
        assert 0 < len(read_positions) <= 2 * most, len(read_positions)
