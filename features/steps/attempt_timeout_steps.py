"""Steps for the timeout of an attempt."""

from datetime import timedelta

import attrs
from behave import then
from routing_steps import make_request

from wagtailstep.controllers.attempt_timeout import compute_attempt_timeout

MILLISECOND = timedelta(milliseconds=1)


@then(
    'a "{safety}" request with an aim of {aim:d} ms and {left:d} ms left, whose '
    "typical latency is {typical:d} ms, is replaced after {timeout}"
)
def check_attempt_timeout(context, safety, aim, left, typical, timeout):
    request = attrs.evolve(
        make_request(context), idempotent=safety == "idempotent", aim=aim * MILLISECOND
    )
    found = compute_attempt_timeout(request, left * MILLISECOND, typical * MILLISECOND)
    expected = None
    if timeout != "never":
        expected = int(timeout.removesuffix(" ms")) * MILLISECOND
    assert found == expected, found
