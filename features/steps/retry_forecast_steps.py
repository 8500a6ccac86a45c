"""Steps for predictions of the retry budget, and what replacements leave of it."""

import random
from datetime import timedelta

from behave import then, when

from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.utils.clock import ManualClock

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


def make_policy(clock, window_ms=10_000, slack=16.0 * 4, ratio=0.15):
    settings = RequestSettings(
        retry_slack=slack, retry_ratio=ratio, retry_window_ms=window_ms
    )
    return RetryPolicy(settings, clock)


def make_plain_request(clock):
    return RequestContext(
        request_id="r1",
        service="contracts",
        route="sign",
        account="",
        method="GET",
        path="/",
        idempotent=True,
        idempotency_key=None,
        deadline=clock.monotonic() + 30 * SECOND,
        max_attempts=2,
    )


@when("the wait for {amount:g} retries is predicted at {count:d} random moments")
def predict_waits(context, amount, count):
    context.errors = []
    for seed in range(count):
        rng = random.Random(seed)
        clock = ManualClock()
        budget = make_policy(clock).shared_budget
        request = make_plain_request(clock)
        warm_up = rng.uniform(12, 20)

        def step(budget=budget, request=request, clock=clock, rng=rng, retry=True):
            clock.advance(50 * MILLISECOND)
            budget.record_request("contracts")
            if retry and rng.random() < 0.4:
                budget.try_acquire(request)

        while clock.monotonic() < warm_up * SECOND or budget.can_acquire(request):
            step()
        costs = {"contracts": amount}
        wait = budget.compute_wait(costs)
        predicted_at = clock.monotonic() + wait
        while not budget.can_afford(costs):
            step(retry=False)
        context.errors.append((clock.monotonic() - predicted_at) / MILLISECOND)


@then("the budget covered them within {limit:d} ms of the predicted time")
def check_predictions(context, limit):
    assert all(abs(error) <= limit for error in context.errors), context.errors


@then("a wait without past requests, retries or loans can't be predicted")
def check_unpredictable(context):
    budget = make_policy(ManualClock(), slack=16.0 * 0.5).shared_budget
    assert budget.compute_wait({"contracts": 1.0}) is None


@then("loans of {rate:d} retries a second make {amount:d} more expected in {time:d} ms")
def check_loans_predicted(context, rate, amount, time):
    clock = ManualClock()
    budget = make_policy(clock, slack=0.1).shared_budget
    for _ in range(rate * 2):
        clock.advance(SECOND / rate)
        budget.add_loan("contracts", 1.0, clock.monotonic())
        budget._use_loans("contracts", 1.0)
    wait = budget.compute_wait({"contracts": amount})
    assert abs(wait - time * MILLISECOND) <= time * MILLISECOND / 5, wait


@then("replacing slow attempts leaves {left:d} of {total:d} retries to other requests")
def check_kept(context, left, total):
    clock = ManualClock()
    policy = make_policy(clock, slack=16.0 * total, ratio=0.0)
    request = make_plain_request(clock)
    replaced = 0
    while policy.try_acquire_replacement(request, 1, kept_ratio=0.25):
        replaced += 1
    assert replaced == total - left, replaced
    for _ in range(left):
        assert policy.try_acquire_replacement(request, 1)
    assert not policy.try_acquire_replacement(request, 1)
