"""Steps for the time that an attempt may take."""

from datetime import timedelta

import attrs
from behave import then
from routing_steps import make_request

from wagtailstep.controllers.attempt_timeout import compute_attempt_timeout

MILLISECOND = timedelta(milliseconds=1)


@then(
    'a "{safety}" request with an aim of {aim:d} ms and {left:d} ms left, where '
    "{usual:d} ms are usual, is replaced after {patience}"
)
def check_patience(context, safety, aim, left, usual, patience):
    request = attrs.evolve(
        make_request(context), idempotent=safety == "idempotent", aim=aim * MILLISECOND
    )
    found = compute_attempt_timeout(request, left * MILLISECOND, usual * MILLISECOND)
    expected = None
    if patience != "never":
        expected = int(patience.removesuffix(" ms")) * MILLISECOND
    assert found == expected, found
