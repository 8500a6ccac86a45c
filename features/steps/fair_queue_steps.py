"""Steps for the order of the gate's queue among client accounts."""

import asyncio
import collections
import random
from datetime import timedelta

import attrs
from behave import given, then, when

from gate_load import BUSY, MILLISECOND, ROUTES, TARGET_ID, AccountLoad, LoadedGate
from wagtailstep.exceptions import OverloadedError
from wagtailstep.models.gate import GateRequest
from wagtailstep.network.gate_admission import GateAdmission
from wagtailstep.network.gate_metrics import register_gate_metrics
from wagtailstep.network.metrics import MetricsRecorder

WORK = {"sign": 100 * MILLISECOND, "upload": 300 * MILLISECOND}


def arrive(context, first, last, **changes):
    for serial in range(first, last + 1):
        context.gate.arrive(serial, **changes)


@given('requests of route "{route}" that take {time_ms:d} ms each have run')
def run_route_before(context, route, time_ms):
    context.gate.run_requests(20, time_ms, route, -300)


@when("requests {first:d} to {last:d} arrive without an account")
def arrive_without_account(context, first, last):
    arrive(context, first, last)


@when('requests {first:d} to {last:d} arrive of account "{account}"')
def arrive_of_account(context, first, last, account):
    arrive(context, first, last, account=account)


@when('request {serial:d} arrives of account "{account}"')
def arrive_one_of_account(context, serial, account):
    arrive(context, serial, serial, account=account)


@when('requests {first:d} to {last:d} for route "{route}" arrive of account "{name}"')
def arrive_for_route(context, first, last, name, route):
    arrive(context, first, last, account=name, route=route)


@when(
    'requests {first:d} to {last:d} arrive of account "{account}" '
    "with account priority {priority:d}"
)
def arrive_with_rank(context, first, last, account, priority):
    arrive(context, first, last, account=account, account_priority=priority)


@when(
    'request {serial:d} arrives of account "{account}" with {time:d} ms until its '
    "deadline"
)
def arrive_with_deadline(context, serial, account, time):
    deadline = context.gate.clock.monotonic() + time * MILLISECOND
    arrive(context, serial, serial, account=account, deadline=deadline)


@when('request {serial:d} of route "{route}" arrives with {time_ms:d} ms left')
def arrive_on_route(context, serial, route, time_ms):
    deadline = context.gate.clock.monotonic() + time_ms * MILLISECOND
    arrive(context, serial, serial, route=route, deadline=deadline)


def end_running(context, duration=None):
    (serial,) = context.gate.running
    context.ran = [*getattr(context, "ran", []), serial]
    work = duration or WORK[context.gate.requests[serial].route]
    context.gate.clock.advance(work)
    context.gate.end(serial)


@when("the running request takes {time_ms:d} ms")
def run_longer(context, time_ms):
    end_running(context, time_ms * MILLISECOND)


@when("{count:d} requests run one after the other")
def run_some(context, count):
    for _ in range(count):
        end_running(context)


@when("all requests run one after the other")
def run_all(context):
    while context.gate.running:
        end_running(context)


@then("they ran in the order {serials}")
def check_order(context, serials):
    expected = [int(serial) for serial in serials.split(",")]
    assert context.ran == expected, (context.ran, context.gate.refusals)


@when("{rounds:d} rounds of requests without accounts wait and run")
def run_rounds(context, rounds):
    rng = random.Random(1)
    context.rounds = []
    gate = context.gate
    for number in range(rounds):
        first = 1 + 20 * number
        serials = range(first, first + 12)
        for serial in serials:
            now = gate.clock.monotonic()
            # Coarse values make equal priorities and due times frequent.
            aim = rng.choice([None, now + rng.randint(4, 8) * timedelta(seconds=1)])
            gate.arrive(
                serial,
                priority=rng.randint(0, 2),
                route=rng.choice(["sign", "upload"]),
                aim_deadline=aim,
                arrived_at=now,
                deadline=now + rng.randint(9, 20) * timedelta(seconds=1),
            )
            gate.clock.advance(rng.choice([0, 1000]) * MILLISECOND / 100)
        waiting = [serial for serial in serials if serial not in gate.refusals]
        context.ran = []
        run_all(context)
        context.rounds.append((waiting, context.ran))


@then("each request ran by priority, due time and arrival")
def check_former_order(context):
    def key(serial):
        request = context.gate.requests[serial]
        end = request.aim_deadline or request.deadline
        due_at = request.arrived_at + 0.75 * (end - request.arrived_at)
        return request.priority, due_at, serial

    assert any(len(ran) > 5 for _, ran in context.rounds)
    for waiting, ran in context.rounds:
        first, *others = waiting
        assert ran == [first, *sorted(others, key=key)], ran


def count_remembered(context):
    order = context.gate.queue.fair_order
    return len(order.active) + len(order.idle)


@then("the queue remembers no account")
def check_nothing_remembered(context):
    assert count_remembered(context) == 0
    assert not context.gate.queue.fair_order.virtual_times


@when("{count:d} accounts send one request each to a queue that is never empty")
def send_from_many_accounts(context, count):
    for serial in range(1, count + 1):
        context.gate.arrive(serial, account=f"account-{serial}")
        if serial > 4:
            end_running(context)


@then("the queue remembers at most {count:d} accounts")
def check_bounded(context, count):
    assert count / 2 < count_remembered(context) <= count, count_remembered(context)


@when(
    '{count:d} requests of account "{first}" wait for the gate, '
    'and one of account "{second}" joins'
)
def join_full_gate(context, count, first, second):
    admission = GateAdmission(context.gate.controller)

    async def main():
        tasks = {}
        for serial in range(1, count + 2):
            request = GateRequest(
                serial=serial,
                request_id=f"request-{serial}",
                attempt_id=f"attempt-{serial}",
                target_id=TARGET_ID,
                route="sign",
                idempotent=False,
                deadline=timedelta(seconds=30),
                account=second if serial > count else first,
            )
            waiting = admission.wait_for_start(request, timedelta(seconds=30))
            tasks[serial] = asyncio.create_task(waiting)
            await asyncio.sleep(0)
        # One turn of the loop for the refused task to end.
        await asyncio.sleep(0)
        context.ended = {
            serial: task.exception() for serial, task in tasks.items() if task.done()
        }
        for task in tasks.values():
            task.cancel()

    asyncio.run(main())


@then("request {serial:d} has got its refusal, and the others wait")
def check_refused_alone(context, serial):
    # Request 1 has a slot.
    assert set(context.ended) == {1, serial}, context.ended
    assert context.ended[1] is None
    assert isinstance(context.ended[serial], OverloadedError), context.ended


def export_metrics(context):
    metrics = MetricsRecorder(context.gate.blackboard, context.gate.clock)
    register_gate_metrics(metrics, context.gate.controller.counts)
    return metrics.export_text().decode()


@then(
    'the gate exports {count:d} as "{name}" of rank "{rank}" for cause "{cause}"',
)
def check_exported(context, count, name, rank, cause):
    labels = (f'rank="{rank}"', f'cause="{cause}"', 'service="contracts"')
    lines = [
        line
        for line in export_metrics(context).splitlines()
        if line.startswith(f"{name}{{") and all(label in line for label in labels)
    ]
    assert [float(line.split()[-1]) for line in lines] == [count], lines


@then("the gate exports no account")
def check_no_account(context):
    exported = export_metrics(context)
    names = {request.account for request in context.gate.requests.values()}
    assert not any(name in exported for name in names), exported


@given("{count:d} accounts of equal load, of which one sends ten times as much")
def create_accounts(context, count):
    routes = list(ROUTES)
    context.accounts = [
        AccountLoad(f"account-{i}", 10.0 if i == 0 else 1.0, routes[i % 3])
        for i in range(count)
    ]


@given("the accounts have {count:d} ranks")
def set_ranks(context, count):
    context.accounts = [
        attrs.evolve(account, priority=i // 3 % count)
        for i, account in enumerate(context.accounts)
    ]


@when(
    "requests arrive for {duration:d} s, with bursts of 2 times the capacity, "
    "by seed {seed:d}"
)
def run_load(context, duration, seed):
    context.loaded = LoadedGate(context.accounts, random.Random(seed))
    context.shares = context.loaded.run(duration)


@then("the worst tenth of the other accounts is served {ratio:g} of their mean in time")
def check_worst_tenth(context, ratio):
    others = sorted(share for name, share in context.shares.items() if name != BUSY)
    worst = others[: len(others) // 10]
    mean = sum(others) / len(others)
    worst_mean = sum(worst) / len(worst)
    assert worst_mean >= ratio * mean, (worst_mean, mean, context.shares[BUSY])


@then("the busy account is not served better than that mean")
def check_busy(context):
    others = [share for name, share in context.shares.items() if name != BUSY]
    assert sum(others) / len(others) >= context.shares[BUSY], context.shares


@then("no rank is served better in time than a higher one")
def check_ranks(context):
    by_rank = collections.defaultdict(list)
    for account in context.accounts:
        if account.name != BUSY:
            by_rank[account.priority].append(context.shares[account.name])
    means = [sum(by_rank[rank]) / len(by_rank[rank]) for rank in sorted(by_rank)]
    assert means == sorted(means, reverse=True), means
