"""Steps for servers that several mechanisms leave out, one after another."""

import random
from datetime import timedelta
from itertools import pairwise

import attrs
from behave import given, then, when

from wagtailstep.controllers.routing import RoutingController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, Target, TargetHealth, TargetStanding
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import ManualClock

ADDRESS = "127.0.0.1:0"
SERVICE = "contracts"
STANDINGS = {
    "avoided": TargetStanding.GOOD,
    "doubted": TargetStanding.DOUBTED,
    "failing": TargetStanding.FAILING,
}


def split_names(text):
    return text.split(", ")


@given('a daemon that routes to servers "{names}"')
def create_routing(context, names):
    context.board = Blackboard(Member("d1", 1, ADDRESS, ADDRESS, "bole"))
    for name in split_names(names):
        target = Target(f"{SERVICE}/{name}", SERVICE, f"g-{name}", "bole")
        context.board.targets[target.target_id] = target
        gate = Member(target.daemon_id, 1, ADDRESS, ADDRESS, "bole")
        context.board.members[target.daemon_id] = gate
    settings = DaemonSettings("d1", "bole", ADDRESS, ADDRESS, ADDRESS, ADDRESS)
    context.clock = ManualClock()
    context.routing = RoutingController(
        settings, context.board, context.clock, random.Random(3)
    )


def leave_out(board, name, reason):
    target_id = f"{SERVICE}/{name}"
    target = board.targets[target_id]
    board.targets[target_id] = attrs.evolve(target, standing=STANDINGS[reason])
    board.health[target_id] = TargetHealth(avoided=reason == "avoided")


@when(
    '"{names}" {verb} {reasons} in turn, {each:d} ms each, for {last:d} s, with '
    "{rate:d} {requests} requests a second"
)
def send_requests(context, names, verb, reasons, each, last, rate, requests):
    context.picked = []
    is_repeatable = requests == "repeatable"
    served = not requests.endswith("unserved")
    for number in range(last * rate):
        now_ms = number * 1_000 // rate
        turn = split_names(reasons)
        for name in split_names(names):
            leave_out(context.board, name, turn[now_ms // each % len(turn)])
        target = context.routing.pick(SERVICE, may_probe=lambda: is_repeatable)
        context.routing.record_outcome(SERVICE, served or number % 4 > 0)
        context.picked.append((now_ms, target.instance_id))
        context.clock.advance(timedelta(seconds=1) / rate)


@then('"{name}" gets its next request {least:d} to {most:d} ms after each one')
def check_intervals(context, name, least, most):
    times = [0, *(at for at, picked in context.picked if picked == name)]
    intervals = [later - earlier for earlier, later in pairwise(times)]
    assert len(intervals) >= 2, times
    assert all(least <= interval <= most for interval in intervals), intervals


@then('"{name}" gets no request')
def check_none(context, name):
    assert not any(picked == name for _, picked in context.picked)


@then('no more than {share:d} % of the requests go to "{name}"')
def check_share(context, share, name):
    count = sum(picked == name for _, picked in context.picked)
    assert count * 100 <= share * len(context.picked), count
