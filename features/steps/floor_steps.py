"""Steps for the arithmetic of the floor."""

import math
import random

from behave import given, then, when
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as generate
from hypothesis import strategies as st

from wagtailstep.controllers import floor

NAMES = st.sampled_from([f"s/{number}" for number in range(12)])
WEIGHTS = st.dictionaries(NAMES, st.sampled_from([0.0, 0.1, 0.5, 1.0, 2.5, 7.0]))
ORDERS = st.permutations([f"s/{number}" for number in range(12)])
FLOORS = st.floats(0, 30)


def run_examples(count, check, *strategies):
    # The library's limits on real time would make the verdict depend on the machine.
    fixed = settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    seed(1)(fixed(generate(*strategies)(check)))()


def counting_heads(weights, worst_first, least):
    known = [name for name in worst_first if name in weights]
    return known[: max(0, len(weights) - math.ceil(least))]


def forgetting(weights, worst_first, least):
    return [n for n in worst_first if floor.sum_in_service(weights, {n}) >= least]


FAULTY = {"counts heads": counting_heads, "forgets what it removed": forgetting}


@given("a floor arithmetic that {fault}")
def plant_fault(context, fault):
    context.select_removable = FAULTY[fault]


@when("targets are chosen to be avoided in {count:d} random services")
def choose_removable(context, count):
    select = getattr(context, "select_removable", floor.select_removable)
    context.cases = []

    def collect(weights, order, least):
        context.cases.append((weights, order, least, select(weights, order, least)))

    run_examples(count, collect, WEIGHTS, ORDERS, FLOORS)
    assert any(removed for *_, removed in context.cases)


def breaks_floor(weights, order, least, removed):
    before = math.fsum(weights.values())
    return floor.sum_in_service(weights, removed) < min(least, before)


@then("no choice leaves less than the floor, unless there was less before")
def check_floor(context):
    assert not any(breaks_floor(*case) for case in context.cases)


@then("each target that was kept would have broken the floor")
def check_greedy(context):
    for weights, order, least, removed in context.cases:
        for kept in set(order) & set(weights) - set(removed):
            left = floor.sum_in_service(weights, {*removed, kept})
            assert left < least and weights[kept] > 0


@then("the check of the floor fails")
def check_fault_caught(context):
    assert any(breaks_floor(*case) for case in context.cases)


@when("ejected targets are returned in {count:d} random services")
def choose_returns(context, count):
    context.cases = []

    def collect(weights, order, least):
        back = floor.select_returns(weights, order, least)
        context.cases.append((weights, order, least, back))

    run_examples(count, collect, WEIGHTS, ORDERS, FLOORS)


@then("each return is the shortest prefix that restores the floor")
def check_returns(context):
    for weights, order, least, back in context.cases:
        assert list(order[: len(back)]) == back
        left = floor.sum_in_service(weights, order[len(back) :])
        assert left >= least or len(back) == len(order)
        if back:
            one_less = floor.sum_in_service(weights, order[len(back) - 1 :])
            assert one_less < least


@when("two daemons with different views return targets in {count:d} random services")
def return_in_two_views(context, count):
    context.cases = []
    rng = random.Random(1)

    def collect(weights, order, least):
        views = [{n: w for n, w in weights.items() if rng.random() < 0.8} for _ in "ab"]
        backs = [floor.select_returns(view, order, least) for view in views]
        context.cases.append([set(order) - set(back) for back in backs])

    run_examples(count, collect, WEIGHTS, ORDERS, FLOORS)


@then("the union of what stays out is what one of them leaves out")
def check_union(context):
    for first, second in context.cases:
        assert (first | second) in (first, second)
    assert any(first != second for first, second in context.cases)
