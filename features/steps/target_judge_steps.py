"""Steps for the standing that a gate gives its backend server."""

import random
from datetime import timedelta

from behave import given, then, when

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.gate import GateController
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.controllers.target_judge import TargetJudge
from wagtailstep.exceptions import DoubtedTargetError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import TargetAnnounced, Tick
from wagtailstep.models.fleet import Member, Target, TargetStanding
from wagtailstep.models.gate import (
    GateRequest,
    GateRequestArrived,
    LocalCallFailed,
    StartRequest,
    WorkEnded,
    WorkResult,
    WorkStarted,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock

SETTINGS = DaemonSettings(
    "d1", "bole", "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004"
)
TARGET = Target("contracts/i-1", "contracts", "d1", "bole", address="127.0.0.1:8000")
TICK = timedelta(milliseconds=100)


@given("a gate that judges its backend server")
def create_judge(context):
    member = Member("d1", 1, "127.0.0.1:7003", "127.0.0.1:7002", "bole")
    context.board = Blackboard(member, members={"d1": member})
    context.clock = ManualClock()
    arguments = (SETTINGS, context.board, context.clock, random.Random(1))
    context.controllers = [AnnouncementController(*arguments), TargetJudge(*arguments)]
    dispatch(context, TargetAnnounced(TARGET))


def dispatch(context, event):
    for controller in context.controllers:
        controller.handle(event)


def end_work(context, result, took_ms=200):
    duration = timedelta(milliseconds=took_ms)
    event = WorkEnded("contracts/i-1", "sign", False, WorkResult(result), duration)
    dispatch(context, event)


@when('its work ends as "{result}"')
def end_once(context, result):
    end_work(context, result)


@when('its work ends as "{result}" {count:d} times')
def end_repeatedly(context, result, count):
    for _ in range(count):
        end_work(context, result)


@when('its work ends as "{result}" after {took_ms:d} ms, {count:d} times')
def end_after(context, result, took_ms, count):
    for _ in range(count):
        end_work(context, result, took_ms)


@when("{seconds:d} s pass")
def pass_seconds(context, seconds):
    pass_time(context, timedelta(seconds=seconds))


@when("work starts and gets no response for {wait_ms:d} ms")
def start_work(context, wait_ms):
    dispatch(context, WorkStarted(1, "contracts/i-1", "sign"))
    pass_time(context, timedelta(milliseconds=wait_ms))


def pass_time(context, time):
    for _ in range(time // TICK):
        context.clock.advance(TICK)
        dispatch(context, Tick())


@when("a call of the backend server fails")
def fail_call(context):
    dispatch(context, LocalCallFailed("/fees/"))


@when("the backend server announces itself again")
def announce_again(context):
    dispatch(context, TargetAnnounced(TARGET))


@then('the standing is "{standing}"')
def check_standing(context, standing):
    found = context.board.targets["contracts/i-1"].standing
    assert found.name.lower() == standing, found


@given('targets with the standings "{standings}"')
def set_targets(context, standings):
    board = context.board
    board.targets.clear()
    for index, name in enumerate(standings.split()):
        standing = TargetStanding[name.upper()]
        target = Target(
            f"contracts/i-{index}", "contracts", "d1", "bole", standing=standing
        )
        board.targets[target.target_id] = target


@then('"{safety}" requests go to targets with the standings "{used}"')
def check_picked_standings(context, safety, used):
    routing = RoutingController(
        SETTINGS, context.board, context.clock, random.Random(1)
    )

    def may_probe():
        return safety == "idempotent"

    picked = {
        routing.pick("contracts", may_probe=may_probe).standing for _ in range(500)
    }
    found = {standing.name.lower() for standing in picked}
    assert found == set(used.split()), found


@then('a "{safety}" request that was sent to a "{known}" target is {outcome}')
def check_admission(context, safety, known, outcome):
    gate = GateController(SETTINGS, context.board, context.clock, random.Random(1))
    request = GateRequest(
        serial=1,
        request_id="r1",
        attempt_id="a1",
        target_id="contracts/i-1",
        route="sign",
        idempotent=safety == "idempotent",
        deadline=context.clock.monotonic() + timedelta(seconds=4),
        expected_standing=TargetStanding[known.upper()],
    )
    (effect,) = gate.handle(GateRequestArrived(request))
    if outcome == "run":
        assert isinstance(effect, StartRequest), effect
    else:
        assert isinstance(effect.error, DoubtedTargetError), effect
        assert effect.error.verdict is Verdict.NOT_RUN


@then('between {low:d} and {high:d} % of "{safety}" requests go to the doubted target')
def check_probes(context, low, high, safety):
    routing = RoutingController(
        SETTINGS, context.board, context.clock, random.Random(1)
    )

    def may_probe():
        return safety == "idempotent"

    picked = [routing.pick("contracts", may_probe=may_probe) for _ in range(1000)]
    doubted = sum(target.standing is TargetStanding.DOUBTED for target in picked)
    assert low <= doubted / 10 <= high, doubted


@then('the gate of the last target is told to accept a standing of "{standing}"')
def check_expected_standing(context, standing):
    routing = RoutingController(
        SETTINGS, context.board, context.clock, random.Random(1)
    )
    last = list(context.board.targets.values())[-1]
    found = routing.get_expected_standing(last)
    assert found is TargetStanding[standing.upper()], found
    assert (
        routing.get_expected_standing(last, is_last_resort=True)
        is TargetStanding.FAILING
    ) == (last.standing >= TargetStanding.DOUBTED)
