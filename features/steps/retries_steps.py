"""Steps for the retry policy."""

from datetime import timedelta

import attrs
from behave import given, then, when
from routing_steps import make_request

from wagtailstep import exceptions
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock

ERRORS = {
    "connection refused": exceptions.ConnectionFailedError("", Verdict.NOT_RUN),
    "connection lost": exceptions.ConnectionFailedError("", Verdict.MAY_HAVE_RUN),
    "overloaded": exceptions.OverloadedError("", timedelta(seconds=1)),
    "bad request": exceptions.BadRequestError(""),
    "leaving": exceptions.LeavingError(""),
}


@given("a retry policy with ratio {ratio:g} and burst {burst:d}")
def create_policy(context, ratio, burst):
    settings = RequestSettings(retry_ratio=ratio, retry_burst=burst)
    context.policy = RetryPolicy(settings, ManualClock())
    context.request_to_retry = make_request(context)


@when('{count:d} first attempts fail as "{end}"')
def fail_first_attempts(context, count, end):
    context.retries = 0
    for _ in range(count):
        context.policy.record_first_attempt("contracts")
        request = make_request(context)
        context.retries += context.policy.try_acquire_retry(request, ERRORS[end], 1)


@then("between {low:d} and {high:d} retries were allowed")
def check_retries(context, low, high):
    assert low <= context.retries <= high, context.retries


@then('a retry for service "{service}" is allowed')
def check_other_service(context, service):
    request = make_request(context, service=service)
    assert context.policy.try_acquire_retry(request, ERRORS["connection refused"], 1)


@given("the retry budget is exhausted")
def exhaust_budget(context):
    while context.policy.try_acquire_token("contracts"):
        pass


@given('a request that failed {count:d} times as "{end}"')
def set_failures(context, count, end):
    context.failures = count
    context.failure = ERRORS[end]


@given('it has {left:d} ms left and is "{safety}"')
def set_request(context, left, safety):
    context.request_to_retry = attrs.evolve(
        context.request_to_retry,
        deadline=timedelta(milliseconds=left),
        idempotent=safety == "idempotent",
    )


def try_acquire_retry(context):
    return context.policy.try_acquire_retry(
        context.request_to_retry, context.failure, context.failures
    )


@then("a retry is allowed")
def check_allowed(context):
    assert try_acquire_retry(context)


@then("a retry is not allowed")
def check_not_allowed(context):
    assert not try_acquire_retry(context)


@then('the reason is "{reason}"')
def check_reason(context, reason):
    assert context.policy.denial == reason, context.policy.denial
