"""Steps for the verdict type."""

from behave import given, then

from wagtailstep.models.verdict import Verdict


@given('a request that ended with verdict "{name}"')
def set_verdict(context, name):
    context.verdict = Verdict(name)


@then('a resend of an idempotent request is "{expected}"')
def check_idempotent(context, expected):
    assert context.verdict.allows_resend(True) == (expected == "allowed")


@then('a resend of a non-idempotent request is "{expected}"')
def check_non_idempotent(context, expected):
    assert context.verdict.allows_resend(False) == (expected == "allowed")
