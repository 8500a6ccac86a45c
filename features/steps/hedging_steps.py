"""Steps for the policy that decides on hedges."""

import bisect
import functools
import random
from datetime import timedelta

import attrs
from behave import given, then, when
from hedging_simulation import Simulation
from routing_steps import make_request

from wagtailstep.controllers.attempt_timeout import RecentRefusals
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.hedging.policy import HedgePolicy
from wagtailstep.models.settings import RequestSettings
from wagtailstep.utils.clock import ManualClock

MILLISECOND = timedelta(milliseconds=1)
WINDOW_S = 10.0
SIMULATED_S = 40.0


def create_policy(clock, limit):
    settings = RequestSettings(
        retry_ratio=0.19, retry_slack=166, max_attempts=2, hedge_ratio=limit
    )
    retries = RetryPolicy(settings, clock, lambda: 20)
    return HedgePolicy(settings, clock, retries, RecentRefusals(clock))


def record(context, latencies_ms, **changes):
    request = attrs.evolve(make_request(context), **changes)
    for latency_ms in latencies_ms:
        context.policy.retries.record_first_attempt("contracts")
        context.policy.record_latency(request, latency_ms * MILLISECOND)


@given("a hedging policy with a limit of {limit:g} and a route that takes 1 to 100 ms")
def create_warm_policy(context, limit):
    context.clock = ManualClock()
    context.policy = create_policy(context.clock, limit)
    latencies_ms = 3 * list(range(1, 101))
    random.Random(1).shuffle(latencies_ms)
    record(context, latencies_ms)


@given(
    "a hedging policy with a limit of {limit:g} and a route that took {count:d} samples"
)
def create_cold_policy(context, limit, count):
    context.clock = ManualClock()
    context.policy = create_policy(context.clock, limit)
    record(context, count * [50])


@when("{pause:d} s pass and the route takes {latency:d} ms for {seconds:d} s")
def change_latency(context, pause, latency, seconds):
    context.clock.advance(timedelta(seconds=pause))
    for _ in range(10 * seconds):
        context.clock.advance(100 * MILLISECOND)
        record(context, [latency])


@when("{count:d} further routes are requested")
def request_routes(context, count):
    for number in range(count):
        record(context, [1], route=f"route-{number}")


@when("the last {count:d} requests of the service take {latency:d} ms")
def slow_service(context, count, latency):
    context.clock.advance(timedelta(seconds=5, milliseconds=1))
    record(context, count * [latency])


@when(
    "a further route of the service that takes {latency:d} ms is requested "
    "{count:d} times"
)
def request_slow_route(context, latency, count):
    record(context, count * [latency], route="report")


@then("latencies of at most {count:d} routes are kept")
def check_routes(context, count):
    assert len(context.policy.latencies.routes) <= count


@then('a "{safety}" request is hedged after {delay}')
def check_delay(context, safety, delay):
    request = attrs.evolve(make_request(context), idempotent=safety == "idempotent")
    found = context.policy.compute_delay(request)
    if delay == "never":
        assert found is None, found
    else:
        assert found is not None and found // MILLISECOND == int(delay.split()[0])


@then('a hedge is denied as "{reason}"')
@then('a hedge with {left:d} ms left is denied as "{reason}"')
def check_denial(context, reason, left=5_000):
    deadline = context.clock.monotonic() + left * MILLISECOND
    request = attrs.evolve(make_request(context), deadline=deadline)
    denial = context.policy.find_denial(request, 95 * MILLISECOND, 1, True)
    assert (denial or "nothing") == reason, denial


def count_excess(arrivals, hedges, limit):
    """Return by how many hedges a window that ends with one exceeds the limit."""
    excess = 0.0
    for index, end in enumerate(hedges):
        start = end - WINDOW_S
        sent = index + 1 - bisect.bisect_right(hedges, start)
        requests = bisect.bisect_right(arrivals, end) - bisect.bisect_right(
            arrivals, start
        )
        excess = max(excess, sent - limit * requests)
    return excess


@when("daemons with a limit of {limit:g} hedge whatever they may with {seeds:d} seeds")
def hedge_at_random(context, limit, seeds):
    context.excess = []
    context.total_hedges = 0
    for seed in range(seeds):
        rng = random.Random(seed)
        clock = ManualClock()
        policy = create_policy(clock, limit)
        request = attrs.evolve(make_request(context), deadline=timedelta(hours=1))
        arrivals, hedges = [], []
        rate = 1.0
        for _ in range(300):
            if rng.random() < 0.02:
                rate = 10 ** rng.uniform(0, 2)
            clock.advance(timedelta(seconds=rng.expovariate(rate)))
            now = clock.monotonic().total_seconds()
            arrivals.append(now)
            policy.retries.record_first_attempt("contracts")
            if rng.random() < 0.7 and not policy.find_denial(
                request, MILLISECOND, 1, True
            ):
                assert policy.try_charge(request)
                hedges.append(now)
        context.excess.append(count_excess(arrivals, hedges, limit))
        context.total_hedges += len(hedges)
    assert context.total_hedges > 0 or not limit


@then("no window that ends with a hedge has more hedges than the limit")
def check_excess(context):
    assert max(context.excess) <= 1e-6, max(context.excess)


@functools.cache
def run_simulation(*arguments):
    return Simulation(*arguments).run(SIMULATED_S)


@when(
    "{servers:d} servers at a load of {load:g} run with limits 0 and {limit:g}, "
    "{seeds:d} seeds, {stragglers:d} stragglers and {declining:d} declining servers"
)
def simulate(context, servers, load, limit, seeds, stragglers, declining):
    context.limit = limit
    runs = [
        [
            run_simulation(seed, servers, load, ratio, stragglers, declining)
            for seed in range(1, seeds + 1)
        ]
        for ratio in (0.0, limit)
    ]
    context.hedged_runs = runs[1]
    context.latencies = [
        sorted(latency for run in group for latency in run.latencies) for group in runs
    ]


@then("the hedges of each daemon stay within the limit")
def check_limit(context):
    for run in context.hedged_runs:
        for arrivals, hedges in zip(run.arrivals, run.hedges, strict=True):
            excess = count_excess(arrivals, hedges, context.limit)
            assert excess <= 1e-6, (run.seed, excess)


def compare(context, share):
    """Return a percentile with hedging, divided by the one without."""
    without, with_hedges = (
        latencies[int(share * (len(latencies) - 1))] for latencies in context.latencies
    )
    return with_hedges / without


@then("the median and the 99th percentile are at most {factor:g} times as long")
def check_percentiles(context, factor):
    found = [compare(context, share) for share in (0.5, 0.99)]
    assert max(found) <= factor, found


@then("the 99.9th percentile is at most {factor:g} times as long")
def check_tail(context, factor):
    found = compare(context, 0.999)
    assert found <= factor, found
