"""Steps for the retry budget that all daemons share."""

from datetime import timedelta

import attrs
from behave import given, then, when
from routing_steps import make_request

from wagtailstep import exceptions
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock

CONNECTION_LOST = exceptions.ConnectionFailedError("", Verdict.MAY_HAVE_RUN)
OVERLOADED = exceptions.OverloadedError("", timedelta(seconds=1))
LEAVING = exceptions.LeavingError("")
WINDOW_S = 10


@given("{count:d} daemons with a shared budget of ratio {ratio:g} and slack {slack:g}")
def create_policies(context, count, ratio, slack):
    context.clock = ManualClock()
    settings = RequestSettings(retry_ratio=ratio, retry_slack=slack)
    context.policies = [
        RetryPolicy(settings, context.clock, lambda: count) for _ in range(count)
    ]
    context.requests = []
    context.retries = []


@given('each request to "{service}" makes {ratio:g} calls to "{called}"')
def set_calls(context, service, ratio, called):
    context.ratio = ratio
    for policy in context.policies:
        policy.record_calls(f"{service}-lookup", {called: ratio})


@when(
    "every request of {seconds:d} s fails, {rate:d} each second, with a burst of "
    "{factor:d} times as many"
)
def fail_all_requests(context, seconds, rate, factor):
    for second in range(seconds):
        count = rate * (factor if seconds // 2 <= second < seconds // 2 + 3 else 1)
        for index in range(count):
            context.clock.advance(timedelta(seconds=1) / count)
            policy = context.policies[index % len(context.policies)]
            policy.record_first_attempt("contracts")
            now = context.clock.monotonic().total_seconds()
            context.requests.append(now)
            request = make_request(context)
            request = attrs.evolve(
                request,
                route="contracts-lookup",
                idempotent=True,
                deadline=context.clock.monotonic() + timedelta(seconds=4),
            )
            if policy.try_acquire_retry(request, CONNECTION_LOST, 1, 1):
                context.retries.append(now)


def count_between(times, start, end):
    return sum(start < time <= end for time in times)


@then(
    "in any {seconds:d} s there were at most {ratio:g} retries for each request and "
    "{slack:d} more"
)
def check_windows(context, seconds, ratio, slack):
    assert context.retries
    for end in context.retries:
        retries = count_between(context.retries, end - seconds, end)
        # The budget counts the requests of this window, of the previous one or of the
        # one half a window earlier, whichever has the most.
        requests = max(
            count_between(context.requests, end - seconds - lag, end - lag)
            for lag in (0, seconds / 2, seconds)
        )
        assert retries <= ratio * requests + slack, (end, retries, requests)


@then('in any {seconds:d} s there were at most {limit:d} repeated calls to "{service}"')
def check_calls(context, seconds, service, limit):
    assert context.retries
    for end in context.retries:
        retries = count_between(context.retries, end - seconds, end)
        assert retries * context.ratio <= limit, (end, retries)


def try_acquire_retry_after(context, error, attempts, sent, max_attempts=2):
    policy = context.policies[0]
    for _ in range(20):
        policy.record_first_attempt("contracts")
    deadline = context.clock.monotonic() + timedelta(seconds=4)
    request = attrs.evolve(
        make_request(context),
        idempotent=True,
        deadline=deadline,
        max_attempts=max_attempts,
    )
    return policy.try_acquire_retry(request, error, attempts, sent)


@then("a request that {count:d} gates refused as busy may be sent once more")
def check_busy(context, count):
    assert try_acquire_retry_after(context, OVERLOADED, count, 0)


@then("a request that {count:d} gates refused as leaving may be sent once more")
def check_leaving(context, count):
    assert try_acquire_retry_after(context, LEAVING, count, 0)


@then("a request that {count:d} backend servers received is not sent again")
def check_sent(context, count):
    assert not try_acquire_retry_after(context, CONNECTION_LOST, count, count)
