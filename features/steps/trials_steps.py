"""Steps for requests that can't be retried and try a doubted server."""

from datetime import timedelta

import attrs
from behave import given, then, when
from gate_steps import TARGET_ID, GateHarness

from wagtailstep.controllers.candidates import PROBE_SHARE_FACTOR
from wagtailstep.controllers.trials import ServiceTrials
from wagtailstep.models.fleet import TargetStanding

MILLISECOND = timedelta(milliseconds=1)
# Long enough that the averages have settled.
REQUESTS = 1_000


@given(
    "{rate:d} requests a second, of which {retryable:d} % could be retried and "
    "{unserved:d} % fail"
)
def record_requests(context, rate, retryable, unserved):
    context.trials = ServiceTrials()
    for number in range(REQUESTS):
        context.now = timedelta(seconds=number / rate)
        # Evenly spread: 37 has no divisor in common with 100.
        draw = number * 37 % 100
        context.trials.record_request(draw < retryable, context.now)
        context.trials.record_outcome(draw >= unserved, context.now)


@when("{share:d} % of the targets are doubted, at {rate:g} requests a second for each")
def compute_part(context, share, rate):
    share /= 100
    context.part = context.trials.compute_ratio(
        share, PROBE_SHARE_FACTOR * share, rate, context.now
    )


@then("{part:d} % of the other requests try a doubted target")
def check_part(context, part):
    # The averages weigh the newest requests most.
    assert abs(context.part * 100 - part) <= 1.5, context.part


@given(
    "a gate whose doubted server failed {ago:d} ms ago, and {count:d} requests started "
    "{since:d} ms ago"
)
def create_gate(context, ago, count, since):
    context.harness = harness = GateHarness(4)
    board = harness.blackboard
    board.targets[TARGET_ID] = attrs.evolve(
        board.targets[TARGET_ID], standing=TargetStanding.DOUBTED
    )
    failed_at = harness.clock.monotonic()
    harness.clock.advance((ago - since) * MILLISECOND)
    for serial in range(count):
        harness.arrive(serial, idempotent=True)
    harness.clock.advance(since * MILLISECOND)
    board.last_failures[TARGET_ID] = failed_at


def send(context, expected_standing):
    harness = context.harness
    harness.arrive(100, expected_standing=expected_standing)
    return "refused" if 100 in harness.refusals else "admitted"


@then("a request that can't be retried is {decision}")
def check_trial(context, decision):
    found = send(context, TargetStanding.DOUBTED)
    assert found == decision, found


@then("a request of an entry that knows no better target is {decision}")
def check_last_resort(context, decision):
    found = send(context, TargetStanding.FAILING)
    assert found == decision, found
