"""Steps for the network paths from a daemon to gates."""

import random
from datetime import timedelta

from behave import given, then, when
from routing_steps import make_request

from wagtailstep.controllers.path_watch import PathWatch
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import GateUnresponsive, Tick
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.hedging import SlowCopyLost
from wagtailstep.models.request import AttemptEnded, Blame
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock

SETTINGS = DaemonSettings(
    "d1", "bole", "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004"
)


@given("a daemon that watches its paths")
def create_path_watch(context):
    member = Member("d1", 1, "127.0.0.1:7003", "127.0.0.1:7002", "bole")
    peer = Member("d2", 1, "127.0.0.1:7103", "127.0.0.1:7102", "piassa")
    context.board = Blackboard(member, members={"d1": member, "d2": peer})
    target = Target("contracts/i-2", "contracts", "d2", "piassa")
    context.board.targets[target.target_id] = target
    context.clock = ManualClock()
    context.watch = PathWatch(SETTINGS, context.board, context.clock, random.Random(1))


@when('an attempt ends with blame "{blame}"')
def end_attempt(context, blame):
    blame = Blame(blame)
    verdict = Verdict.RUN if blame is Blame.NONE else Verdict.MAY_HAVE_RUN
    latency = timedelta(milliseconds=200)
    request = make_request(context)
    context.watch.handle(
        AttemptEnded(request, "contracts/i-2", verdict, 200, blame, latency)
    )


@when("its gate can't be reached for the state of a request")
def disconnect_gate(context):
    context.watch.handle(GateUnresponsive("127.0.0.1:7102"))


@when("{wait_ms:d} ms pass on the path")
def pass_time(context, wait_ms):
    for _ in range(wait_ms // 100):
        context.clock.advance(timedelta(milliseconds=100))
        context.watch.handle(Tick())


@when("a copy that waited for {waited:d} ms loses")
def lose_copy(context, waited):
    wait = timedelta(milliseconds=waited)
    context.watch.handle(SlowCopyLost(make_request(context), "contracts/i-2", wait))


@then("its typical latency is {expected:d} ms")
def check_latency(context, expected):
    latency = context.board.health["contracts/i-2"].latency
    assert latency == timedelta(milliseconds=expected), latency


@then('the path is "{state}"')
def check_path(context, state):
    health = context.board.health.get("contracts/i-2")
    avoided = health is not None and health.avoided
    assert avoided == (state == "avoided"), health
