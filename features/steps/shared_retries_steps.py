"""Steps for the retry budget that all daemons share."""

import random
from datetime import timedelta

import attrs
from behave import given, then, when
from routing_steps import make_request

from wagtailstep import exceptions
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.retry_lending import RetryLending
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer
from wagtailstep.models.fleet import Member
from wagtailstep.models.retry_lending import RetriesMissing
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
    context.lending = []
    context.late_messages = []
    context.rng = random.Random(1)
    context.loss, context.delay = 0.0, timedelta()


@given("daemons lend retries to each other")
def enable_lending(context):
    members = {
        f"d{i}": Member(f"d{i}", 1, f"d{i}", "", "bole", services=("contracts",))
        for i in range(len(context.policies))
    }
    context.lending = [
        RetryLending(
            Blackboard(member, members=members),
            context.clock,
            random.Random(index),
            policy.shared_budget,
        )
        for index, (member, policy) in enumerate(
            zip(members.values(), context.policies, strict=True)
        )
    ]


@given("no message is lost")
def lose_nothing(context):
    pass


@given("half of the messages are lost")
def lose_messages(context):
    context.loss = 0.5


@given("each message arrives {milliseconds:d} ms late")
def delay_messages(context, milliseconds):
    context.delay = timedelta(milliseconds=milliseconds)


def deliver(context, sender, effects):
    """Deliver messages at once, or keep them until they are due."""
    for effect in effects:
        if isinstance(effect, SendToPeer) and context.rng.random() >= context.loss:
            due_at = context.clock.monotonic() + context.delay
            context.late_messages.append((due_at, sender, effect))
    while context.late_messages:
        due_at, source, effect = context.late_messages[0]
        if due_at > context.clock.monotonic():
            return
        context.late_messages.pop(0)
        receiver = int(effect.address.removeprefix("d"))
        event = PeerMessageReceived(f"d{source}", effect.message)
        deliver(context, receiver, context.lending[receiver].handle(event))


def try_retry(context, index, request):
    """Return whether a daemon may retry, with borrowed retries if necessary."""
    policy = context.policies[index]
    if policy.try_acquire_retry(request, CONNECTION_LOST, 1, 1):
        return True
    if not context.lending:
        return False
    costs = policy.shared_budget.compute_costs(request)
    deliver(context, index, context.lending[index].handle(RetriesMissing(costs)))
    return policy.try_acquire_retry(request, CONNECTION_LOST, 1, 1)


def make_failed_request(context):
    return attrs.evolve(
        make_request(context),
        route="contracts-lookup",
        idempotent=True,
        deadline=context.clock.monotonic() + timedelta(seconds=4),
    )


@when(
    "{seconds:d} s pass with {rate:d} requests a second, of which one daemon in "
    "{every:d} sees {share:g} fail"
)
def fail_at_some_daemons(context, seconds, rate, every, share):
    context.needed = []
    for _ in range(seconds * rate):
        context.clock.advance(timedelta(seconds=1) / rate)
        now = context.clock.monotonic().total_seconds()
        index = context.rng.randrange(len(context.policies))
        context.policies[index].record_first_attempt("contracts")
        context.requests.append(now)
        if index % every == 0 and context.rng.random() < share:
            context.needed.append(now)
            if try_retry(context, index, make_failed_request(context)):
                context.retries.append(now)


@then(
    "at least {share:g} of the retries that the budget permitted and requests needed "
    "were made"
)
def check_usable(context, share):
    settings = context.policies[0].settings
    permitted = settings.retry_ratio * len(context.requests) + settings.retry_slack
    usable = min(permitted, len(context.needed))
    assert len(context.retries) >= share * usable, (len(context.retries), usable)


@then(
    "what one daemon lends is missing there for {held:d} s and ends at the borrower "
    "after {valid:d} s"
)
def check_loan(context, held, valid):
    lender, borrower = (policy.shared_budget for policy in context.policies)
    before = lender.compute_remaining("contracts")
    granted = lender.lend("contracts", 1.5)
    borrower_before = borrower.compute_remaining("contracts")
    borrower.add_loan("contracts", granted, context.clock.monotonic())
    assert granted == 1.5
    assert borrower.compute_remaining("contracts") == borrower_before + 1.5
    context.clock.advance(timedelta(seconds=valid))
    assert borrower.compute_remaining("contracts") == borrower_before
    context.clock.advance(timedelta(seconds=held - valid, milliseconds=-1))
    assert lender.compute_remaining("contracts") == before - 1.5
    context.clock.advance(timedelta(milliseconds=2))
    assert lender.compute_remaining("contracts") == before


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
            daemon = index % len(context.policies)
            if try_retry(context, daemon, make_failed_request(context)):
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


@when("one of them borrows a retry each second for {seconds:d} s")
def borrow_each_second(context, seconds):
    budget = context.policies[0].shared_budget
    for _ in range(seconds):
        budget.add_loan("contracts", 1.0, context.clock.monotonic())
        context.clock.advance(timedelta(seconds=1))


@then("it remembers at most {count:d} loans")
def check_forgotten(context, count):
    remembered = context.policies[0].shared_budget.borrowed["contracts"].entries
    assert len(remembered) <= count, len(remembered)
