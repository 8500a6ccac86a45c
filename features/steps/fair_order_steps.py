"""Steps for the order of many accounts at one backend server."""

import collections
from datetime import timedelta

from behave import given, then, when

from wagtailstep.models.gate import GateRequest
from wagtailstep.scheduling.fair_order import FairOrder, get_flow_key

WORK = timedelta(milliseconds=100)


def make_request(serial, account):
    deadline = timedelta(seconds=60)
    return GateRequest(
        serial,
        f"r{serial}",
        f"a{serial}",
        "c/i",
        "sign",
        True,
        deadline,
        account=account,
    )


@given("{count:d} accounts of one rank that always have a request waiting")
def create_waiting_accounts(context, count):
    context.order = FairOrder()
    context.requests = collections.deque()
    for serial in range(count):
        request = make_request(serial, f"account-{serial}")
        context.order.record_waiting(request)
        context.requests.append(request)


@when("{count:d} requests are served")
def serve_first(context, count):
    order, waiting = context.order, context.requests
    context.served = collections.Counter()
    for serial in range(len(waiting), len(waiting) + count):
        request = min(waiting, key=lambda each: order.compute_tag(get_flow_key(each)))
        waiting.remove(request)
        order.record_started(request, WORK)
        order.record_left(request)
        order.record_ended(request, WORK)
        context.served[request.account] += 1
        # The account is idle for a moment before its next request arrives.
        successor = make_request(serial, request.account)
        order.record_waiting(successor)
        waiting.append(successor)


@then("each account was served at least once")
def check_each_served(context):
    missing = len(context.requests) - len(context.served)
    assert missing == 0, missing
