"""Steps for hedged requests that reach a server through a gate."""

from datetime import timedelta

import attrs
from behave import given, then, when
from routing_steps import make_request
from stalls_steps import PathHarness, run_harness, run_turns

from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.network.sender import AttemptSender

NAMES = ("first", "second")
USUAL = timedelta(milliseconds=20)


class HedgedPathHarness(PathHarness):
    """An entry with hedging and its own gate before the server."""

    def start_path(self, context):
        super().start_path(timedelta(seconds=1))
        old = self.sender
        settings = attrs.evolve(
            old.retries.settings, hedge_ratio=0.5, retry_slack=60, max_attempts=2
        )
        retries = RetryPolicy(settings, old.clock, lambda: 1)
        self.sender = AttemptSender(
            old.blackboard,
            old.clock,
            self.routing,
            retries,
            old.forwarder,
            old.dispatch,
        )
        for _ in range(100):
            retries.record_first_attempt("contracts")
            self.sender.hedges.policy.record_latency(
                attrs.evolve(make_request(context), route="sign"), USUAL
            )


def count_running(harness):
    """Return the number of requests that occupy a slot of the gate."""
    queues = harness.gate.admission.controller.queues.values()
    return sum(len(queue.running) for queue in queues)


@given("an entry and its gate with two targets, and a request whose copies both run")
def set_gate(context):
    context.harness_class = HedgedPathHarness


@when("the server of the {winner} copy answers")
def answer_copy(context, winner):
    async def scenario(harness):
        harness.start_path(context)
        calling = harness.loop.create_task(harness.call())
        await harness.server.wait_for_requests(2)
        assert count_running(harness) == 2
        body = winner.encode()
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
        harness.server.writers[NAMES.index(winner)].write(head.encode() + body)
        await calling
        await run_turns()
        context.closing = [w.is_closing() for w in harness.server.writers]
        context.running = count_running(harness)

    run_harness(context, scenario)


@then("the caller gets the body of the {winner} copy")
def check_body(context, winner):
    assert context.harness.result == winner.encode(), context.harness.results


@then("the connection of the {loser} copy is closed")
def check_closed(context, loser):
    index = NAMES.index(loser)
    assert context.closing[index] and not context.closing[1 - index], context.closing


@then("no request occupies a slot of the gate and nothing is in flight there")
def check_slots(context):
    assert context.running == 0, context.running
    in_flight = context.harness.sender.blackboard.in_flight
    assert in_flight == type(in_flight)(), in_flight
