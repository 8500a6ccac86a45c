"""Steps for the computations of the floor."""

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
    # hypothesis' limits on real time would make the verdict depend on the machine.
    fixed = settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    seed(1)(fixed(generate(*strategies)(check)))()


def select_by_count(weights, worst_first, required):
    known = [name for name in worst_first if name in weights]
    return known[: max(0, len(weights) - math.ceil(required))]


def select_each_alone(weights, worst_first, required):
    return [n for n in worst_first if floor.sum_in_service(weights, {n}) >= required]


FAULTY_SELECTIONS = {
    "counts heads": select_by_count,
    "forgets what it removed": select_each_alone,
}


@given("a floor computation that {fault}")
def plant_fault(context, fault):
    context.select_removable = FAULTY_SELECTIONS[fault]


@when("targets are chosen to be avoided in {count:d} random services")
def choose_removable(context, count):
    select = getattr(context, "select_removable", floor.select_removable)
    context.cases = []

    def collect(weights, order, required):
        context.cases.append(
            (weights, order, required, select(weights, order, required))
        )

    run_examples(count, collect, WEIGHTS, ORDERS, FLOORS)
    assert any(removed for *_, removed in context.cases)


def violates_floor(weights, order, required, removed):
    before = math.fsum(weights.values())
    return floor.sum_in_service(weights, removed) < min(required, before)


@then("no choice leaves less than the floor, unless there was less before")
def check_floor(context):
    assert not any(violates_floor(*case) for case in context.cases)


@then("each target that was kept would have violated the floor")
def check_no_needless_kept(context):
    for weights, order, required, removed in context.cases:
        for kept in set(order) & set(weights) - set(removed):
            remaining = floor.sum_in_service(weights, {*removed, kept})
            assert remaining < required and weights[kept] > 0


@then("the check of the floor fails")
def check_fault_caught(context):
    assert any(violates_floor(*case) for case in context.cases)


@when("ejected targets are returned in {count:d} random services")
def choose_returns(context, count):
    context.cases = []

    def collect(weights, order, required):
        returned = floor.select_returns(weights, order, required)
        context.cases.append((weights, order, required, returned))

    run_examples(count, collect, WEIGHTS, ORDERS, FLOORS)


@then("each return is the shortest prefix that restores the floor")
def check_returns(context):
    for weights, order, required, returned in context.cases:
        assert list(order[: len(returned)]) == returned
        remaining = floor.sum_in_service(weights, order[len(returned) :])
        assert remaining >= required or len(returned) == len(order)
        if returned:
            one_less = floor.sum_in_service(weights, order[len(returned) - 1 :])
            assert one_less < required


@when("two daemons with different views return targets in {count:d} random services")
def return_in_two_views(context, count):
    context.cases = []
    rng = random.Random(1)

    def collect(weights, order, required):
        views = [{n: w for n, w in weights.items() if rng.random() < 0.8} for _ in "ab"]
        all_returned = [floor.select_returns(view, order, required) for view in views]
        context.cases.append([set(order) - set(returned) for returned in all_returned])

    run_examples(count, collect, WEIGHTS, ORDERS, FLOORS)


@then("the union of the targets that stay ejected equals the set of one of them")
def check_union(context):
    for first, second in context.cases:
        assert (first | second) in (first, second)
    assert any(first != second for first, second in context.cases)
