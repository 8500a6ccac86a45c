"""Steps for the estimate of the calls that backend servers make per request."""

import random

from behave import given, then, when

from wagtailstep.controllers.call_ratios import CallRatios
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.gate import LocalCall, ResponseWaitEnded, WorkStarted
from wagtailstep.utils.clock import ManualClock


@given(
    "a gate whose backend server makes {ratio:g} calls for each lookup "
    "and none for a signing"
)
def create_gate(context, ratio):
    context.ratio = ratio
    context.board = Blackboard(Member("d1", 1, "", "", "bole"))
    context.ratios = CallRatios(None, context.board, ManualClock(), None)


@when("{count:d} lookups and signings run, several at once")
def run_requests(context, count):
    rng = random.Random(2)
    running = []
    for serial in range(count):
        route = rng.choice(["lookup", "sign", "sign"])
        running.append(serial)
        context.ratios.handle(WorkStarted(serial, "contracts/i-1", route))
        calls = 2 if rng.random() < context.ratio / 2 else 0
        for _ in range(calls if route == "lookup" else 0):
            context.ratios.handle(LocalCall("archive"))
        while len(running) > rng.randint(0, 3):
            serial = running.pop(rng.randrange(len(running)))
            context.ratios.handle(ResponseWaitEnded(serial))
        context.ratios.handle(Tick())


@then("a {route} is estimated to make {low:g} to {high:g} calls")
def check_ratio(context, route, low, high):
    name = "sign" if route == "signing" else route
    found = context.board.calls_per_run.get(name, {}).get("archive", 0.0)
    assert low <= found <= high, found
