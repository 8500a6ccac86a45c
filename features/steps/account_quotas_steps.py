"""Steps for the quotas of client accounts, on a manual clock and through the entry."""

import asyncio
import random
from datetime import timedelta

import detangle
import msgspec
from behave import given, then, when
from benchmarks.quota_fleet import (
    QuotaFleet,
    compute_excess,
    create_accounts,
    evaluate,
)
from benchmarks.quotas import LARGEST_ACCOUNT, cut_in_three, play, restart_third
from entry_steps import EntryHarness, build_incoming, read_answer

from wagtailstep import exceptions
from wagtailstep.accounts.directory import ClientAccount, build_directory
from wagtailstep.accounts.quota_bucket import (
    DEPUTY_SHARE,
    QuotaBucket,
    compute_spare,
)
from wagtailstep.accounts.quota_home import QuotaHome
from wagtailstep.accounts.quota_leases import QuotaLeases
from wagtailstep.controllers.limits import AccountLimiter
from wagtailstep.exceptions import OverloadedError
from wagtailstep.models import headers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import find_header
from wagtailstep.models.quotas import (
    QuotaDecided,
    QuotaGrant,
    ScheduleQuotaCheck,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.table import ServiceRow, Table
from wagtailstep.utils.clock import ManualClock

MILLISECOND = timedelta(milliseconds=1)
SETTLING_S = 0.5
FAULT_AT_S = 6
BUSY = 3


# The whole fleet in simulation


@given("{count:d} daemons and 74 client accounts with {demand:d} requests a second")
def create_fleet(context, count, demand):
    context.rng = random.Random(5)
    accounts = create_accounts(context.rng, demand)
    context.busy = accounts[BUSY]
    context.fleet = QuotaFleet(5, count, accounts)
    context.loads = context.fleet.usual_loads()


@given("one account sends {factor:d} times its usual load")
def set_busy_account(context, factor):
    context.loads[context.busy.name] *= factor


def cut_for(fleet, rng, groups, seconds):
    fleet.partition({name: rng.randrange(groups) for name in fleet.daemons})
    fleet.run(seconds)
    fleet.partition(dict.fromkeys(fleet.daemons, 0))


def crash_third(fleet, rng):
    crashed = rng.sample(list(fleet.daemons), len(fleet.daemons) // 3)
    fleet.crash(crashed)
    return crashed


def crash_and_restart(context):
    crashed = crash_third(context.fleet, context.rng)
    context.fleet.run(4)
    context.fleet.restart(crashed)


def lose_messages(context):
    context.fleet.loss = 0.1


def crash_homes_in_turn(context):
    fleet = context.fleet
    for _ in range(3):
        running = [each for each in fleet.daemons.values() if each.running]
        fleet.crash(running[0].home.members.find_deciders(context.busy.name)[:1])
        fleet.run(5)


TROUBLES = {
    "nothing fails": lambda context: None,
    "the daemons are in 2 groups for 15 s": lambda context: cut_for(
        context.fleet, context.rng, 2, 15
    ),
    "the daemons are in 3 groups for 15 s": lambda context: cut_for(
        context.fleet, context.rng, 3, 15
    ),
    "a third of the daemons crash": lambda context: crash_third(
        context.fleet, context.rng
    ),
    "a third of the daemons crash and restart": crash_and_restart,
    "a tenth of the control messages are lost": lose_messages,
    "the homes of the busy account crash in turn": crash_homes_in_turn,
}


@when("{seconds:d} s pass in which {trouble}")
def pass_time(context, seconds, trouble):
    fleet = context.fleet
    fleet.offer(context.loads, seconds)
    fleet.run(FAULT_AT_S)
    TROUBLES[trouble](context)
    fleet.run(seconds + SETTLING_S - fleet.now_s)
    assert not [name for name, at in fleet.arrivals.values() if at < seconds - 1]
    context.result = evaluate(fleet)


@when(
    "seed {seed:d} cuts {count:d} daemons into 3 groups while the largest account is "
    "busy"
)
def cut_with_seed(context, seed, count):
    context.result = play(seed, count, cut_in_three, LARGEST_ACCOUNT)


@when(
    "seed {seed:d} restarts a third of {count:d} daemons while the largest account is "
    "busy"
)
def restart_with_seed(context, seed, count):
    context.result = play(seed, count, restart_third, LARGEST_ACCOUNT)


@when("all limits are lowered to a tenth after {seconds:d} s of no requests")
def lower_limits(context, seconds):
    fleet = context.fleet
    fleet.offer({name: 10 * load for name, load in context.loads.items()}, 2)
    fleet.run(2 + seconds)
    context.lowered_at_s = fleet.now_s
    fleet.publish(
        msgspec.structs.replace(
            each, rate_per_s=each.rate_per_s / 10, burst=each.burst / 10
        )
        for each in fleet.accounts.values()
    )
    fleet.offer({name: 10 * load for name, load in context.loads.items()}, 8)
    fleet.run(8 + SETTLING_S)


@then("in any 5 s no account exceeds its bound")
def check_bound(context):
    assert context.result.excess <= 0, context.result


@then("in any 5 s that begin {delay:d} s later no account exceeds its bound")
def check_lowered_bound(context, delay):
    fleet = context.fleet
    excess = {
        name: compute_excess(account, fleet.outcomes[name], context.lowered_at_s)
        for name, account in fleet.accounts.items()
    }
    assert max(excess.values()) <= 0, excess


@then("at most {share:g} of the requests of accounts below their limit are refused")
def check_refused(context, share):
    assert context.result.wrongly_refused <= share, context.result


@then("the busy account gets at least {share:g} of its quota")
def check_used(context, share):
    assert context.result.used >= share, context.result


# One entry with scripted homes


class EntryOfAccount:
    """The leases of one entry; the messages that it sends are kept."""

    def __init__(self):
        self.clock = ManualClock()
        self.account = ClientAccount("union", None, 100.0, 50.0)
        members = {f"d{i}": Member(f"d{i}", 1, f"d{i}", "", "bole") for i in range(9)}
        table = Table(client_accounts=build_directory([(self.account, ())]))
        board = Blackboard(members["d0"], table=table, members=members)
        home = QuotaHome(board, self.clock)
        self.deciders = home.members.find_deciders("union")
        assert "d0" not in self.deciders
        self.leases = QuotaLeases(board, self.clock, random.Random(1), home)
        self.sent = []
        self.decisions = {}

    def apply(self, effects):
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self.sent.append(effect)
            elif isinstance(effect, QuotaDecided):
                assert effect.request_id not in self.decisions
                self.decisions[effect.request_id] = effect.decision

    def request(self, request_id):
        outcome = self.leases.decide(self.account, request_id)
        if outcome.decision is not None:
            self.decisions[request_id] = outcome.decision
        self.apply(outcome.effects)
        return outcome.decision

    def grant(self, amount=None, retry_after_ms=0, index=-1):
        effect = self.sent[index]
        wanted = effect.message
        granted = wanted.amount if amount is None else amount
        grant = QuotaGrant(wanted.serial, granted, retry_after_ms)
        event = PeerMessageReceived(effect.address, grant)
        self.apply(self.leases.handle(event))

    def advance_to(self, milliseconds):
        self.clock.advance(milliseconds * MILLISECOND - self.clock.monotonic())
        self.apply(self.leases.check_pending())

    @property
    def receivers(self):
        return tuple(effect.address for effect in self.sent)


@given("an entry with the quota of an account whose home is another daemon")
def create_entry_of_account(context):
    context.entry = EntryOfAccount()


@when("{count:d} requests of the account arrive")
def send_account_requests(context, count):
    for number in range(count):
        assert context.entry.request(f"r{number}") is None


@then("the home is asked once for at least {amount:d} tokens")
def check_asked_once(context, amount):
    # The first request asks at once; the others share the next message.
    assert context.entry.receivers == context.entry.deciders[:1]
    context.entry.grant()
    assert context.entry.receivers == context.entry.deciders[:1] * 2
    assert context.entry.sent[-1].message.amount >= amount - 1


@then("once the home grants all of them, {count:d} requests are admitted")
def check_all_admitted(context, count):
    context.entry.grant()
    decisions = context.entry.decisions.values()
    assert [each.admitted for each in decisions] == [True] * count


@when(
    "{rate:d} requests a second arrive for {seconds:d} s and the home grants all "
    "that is asked for"
)
def send_busy(context, rate, seconds):
    entry = context.entry
    for number in range(rate * seconds):
        entry.clock.advance(timedelta(seconds=1) / rate)
        if entry.request(f"r{number}") is None:
            entry.grant()
    assert all(each.admitted for each in entry.decisions.values())


@then("at most {count:d} messages were sent")
def check_message_count(context, count):
    assert 0 < len(context.entry.sent) <= count, len(context.entry.sent)


@then("after {time:d} ms the home alone was asked")
def check_home_asked(context, time):
    context.entry.advance_to(time)
    assert context.entry.receivers == context.entry.deciders[:1]


@then("after {time:d} ms the deputy was asked too")
def check_deputy_asked(context, time):
    context.entry.advance_to(time)
    assert context.entry.receivers == context.entry.deciders
    assert context.entry.sent[1].message.amount >= 1


@then("after {time:d} ms no request is decided")
def check_undecided(context, time):
    context.entry.advance_to(time)
    assert not context.entry.decisions


@then("after {time:d} ms each request is decided")
def check_decided(context, time):
    context.entry.advance_to(time)
    decisions = context.entry.decisions.values()
    assert len(decisions) == 3
    assert sum(each.admitted for each in decisions) <= 1
    assert all(each.admitted or each.retry_after for each in decisions)


@when("1 request of the account arrives and the home grants {amount:d} tokens")
def send_and_grant(context, amount):
    assert context.entry.request("r0") is None
    context.entry.grant(amount)
    assert context.entry.decisions["r0"].admitted


@then("after {time:d} ms {amount:d} tokens are returned to the home")
def check_returned(context, time, amount):
    context.entry.advance_to(time)
    context.entry.apply(context.entry.leases.handle(Tick()))
    effect = context.entry.sent[-1]
    assert effect.address == context.entry.deciders[0]
    assert (effect.message.amount, effect.message.returned) == (0, amount)
    context.returned = effect.message


@then("a home that had no token left grants them again")
def check_granted_again(context):
    account = context.entry.account
    home = create_home(9, {"union": account}, "union", 0)
    assert home.grant(account, 1_000).amount < 1_000
    home.handle(PeerMessageReceived("d1", context.returned))
    assert home.grant(account, 1_000).amount == context.returned.returned


@when(
    "1 request of the account arrives and the home grants {amount:d} tokens after "
    "{time:d} ms"
)
def send_and_grant_late(context, amount, time):
    entry = context.entry
    assert entry.request("r0") is None
    entry.advance_to(61)
    entry.advance_to(122)
    assert "r0" in entry.decisions
    entry.advance_to(time)
    entry.grant(amount, index=0)


@then("the next request is admitted without a message")
def check_late_grant(context):
    sent = len(context.entry.sent)
    assert context.entry.request("next").admitted
    assert len(context.entry.sent) == sent


@when("1 request of the account arrives and the home has no token for {time:d} ms")
def send_and_refuse(context, time):
    assert context.entry.request("r0") is None
    context.entry.grant(0, time)


@then("it is refused for {low:d} to {high:d} ms")
def check_refusal(context, low, high):
    check_refused_for(context.entry.decisions["r0"], low, high)


@then(
    "a request {time:d} ms later is refused for {low:d} to {high:d} ms without a "
    "message"
)
def check_next_refusal(context, time, low, high):
    context.entry.advance_to(time)
    sent = len(context.entry.sent)
    check_refused_for(context.entry.request("r1"), low, high)
    assert len(context.entry.sent) == sent


def check_refused_for(decision, low, high):
    assert not decision.admitted
    assert low * MILLISECOND <= decision.retry_after <= high * MILLISECOND, decision


# Homes and deputies


def create_home(count, accounts, account_name=None, position=None):
    """Create the home of accounts; with a name, at that position of its deciders."""
    clock = ManualClock()
    members = {f"d{i}": Member(f"d{i}", 1, f"d{i}", "", "bole") for i in range(count)}
    table = Table(
        client_accounts=build_directory((each, ()) for each in accounts.values())
    )
    board = Blackboard(members["d0"], table=table, members=members)
    home = QuotaHome(board, clock)
    if position is None:
        return home
    decider = home.members.find_deciders(account_name)[position]
    return QuotaHome(Blackboard(members[decider], table=table, members=members), clock)


@given("the deputy of an account with {rate:d} requests a second")
def create_deputy(context, rate):
    context.account = ClientAccount("union", None, float(rate), 200.0)
    context.home = create_home(9, {"union": context.account}, "union", 1)


@when("it is asked for all tokens that it has during {seconds:d} s")
def drain_deputy(context, seconds):
    context.granted = []
    for _ in range(seconds * 100):
        context.home.clock.advance(10 * MILLISECOND)
        grant = context.home.grant(context.account, 1_000)
        assert grant.retry_after_ms > 0
        context.granted.append(grant.amount)


@then(
    "in any 5 s it grants at most {share:g} of what the bound leaves beyond the quota"
)
def check_deputy(context, share):
    assert share == DEPUTY_SHARE
    limit = share * compute_spare(context.account)
    granted = context.granted
    worst = max(sum(granted[i : i + 500]) for i in range(len(granted) - 500))
    assert 0.8 * limit <= worst <= limit, (worst, limit)


@given("a home that has known the same daemons for {seconds:d} s")
def create_settled_home(context, seconds):
    context.account = ClientAccount("union", None, 10.0, 40.0)
    context.home = create_home(9, {"union": context.account}, "union", 0)
    context.home.clock.advance(timedelta(seconds=seconds))
    context.home.handle(Tick())


@then("an account with a burst of {burst:d} gets {count:d} tokens at once")
def check_first_tokens(context, burst, count):
    assert context.account.burst == burst
    assert context.home.grant(context.account, 1_000).amount == count


@given("the home of {count:d} accounts, each of which sent a request")
def create_large_home(context, count):
    accounts = {f"a{i}": ClientAccount(f"a{i}", None, 5.0, 5.0) for i in range(count)}
    context.home = create_home(1, accounts)
    for account in accounts.values():
        assert context.home.grant(account, 1).amount == 1


@then("it holds at most {count:d} buckets")
def check_bucket_count(context, count):
    assert len(context.home.buckets) == count


@then("after {seconds:d} s without requests it holds none")
def check_evicted(context, seconds):
    context.home.clock.advance(timedelta(seconds=seconds))
    context.home.handle(Tick())
    assert not context.home.buckets


# The entry


class QuotaEntryHarness(EntryHarness):
    """An entry whose quota messages are kept and never answered."""

    quota_messages = ()
    entry = None

    def create_entry(self):
        if self.entry is None:
            super().create_entry()
        return self.entry

    def apply(self, effects):
        super().apply(effects)
        for effect in effects:
            if isinstance(effect, QuotaDecided):
                self.entry.quotas.deliver_decision(effect)
            elif isinstance(effect, ScheduleQuotaCheck):
                self.entry.quotas.schedule_check(effect)
            elif isinstance(effect, SendToPeer):
                self.quota_messages += (effect.message,)


async def end_not_executed(self, request, incoming):
    raise exceptions.NotExecutedError("shed", timedelta(seconds=1))


def list_account(context, account):
    harness = context.harness
    harness.__class__ = QuotaEntryHarness
    harness.forwarder.end_not_executed = end_not_executed.__get__(harness.forwarder)
    harness.board.table.client_accounts = build_directory(
        [(account, (f"key of {account.name}",))]
    )
    context.account = account
    context.create_alone = False
    context.local_tokens = None


@given('the table lists client account "{name}" without a rate')
def list_unlimited_account(context, name):
    list_account(context, ClientAccount(name))


@given('the table lists client account "{name}" with a burst of {burst:d}')
def list_limited_account(context, name, burst):
    list_account(context, ClientAccount(name, None, 0.5, float(burst)))


@given("this daemon is alone")
def make_alone(context):
    context.create_alone = True


@given("the homes of accounts do not answer")
def make_homes_silent(context):
    context.create_alone = False


@given("the local bucket of the account has a token")
def give_local_token(context):
    context.local_tokens = 1.0


def prepare(context):
    """Make this daemon the home of all accounts, or of none, and create its entry."""
    harness = context.harness
    entry = harness.create_entry()
    members = entry.quotas.home.members
    this_id = members.this_id
    others = frozenset(harness.board.members) - {this_id}
    members.usable = frozenset({this_id}) if context.create_alone else others
    members.changed_at = -timedelta(seconds=10)
    if context.local_tokens is not None:
        entry.quotas.leases.rng.random = lambda: context.local_tokens
    return entry


def send_of_account(context, name, count, extra=()):
    async def call():
        entry = prepare(context)
        started = asyncio.get_running_loop().time()
        context.statuses = []
        for _ in range(count):
            incoming = build_incoming(
                "GET" if not extra else "POST",
                "/lookup/7",
                [(headers.CREDENTIAL, f"key of {name}"), *extra],
            )
            await read_answer(context, await entry.handle(incoming))
            context.statuses.append(context.answer.status)
        context.duration = asyncio.get_running_loop().time() - started

    detangle.run(call)


@when('a caller of account "{name}" sends {count:d} requests')
@when('a caller of account "{name}" sends {count:d} request')
def send_requests_of_account(context, name, count):
    send_of_account(context, name, count)


@when('a caller of account "{name}" sends {count:d} requests with the same ticket')
def send_with_ticket(context, name, count):
    async def issue():
        return await context.harness.create_entry().issue_ticket("contracts")

    ticket = detangle.run(issue)
    send_of_account(context, name, count, [("idempotency-key", ticket)])


@when('a caller of account "{name}" disconnects after {time:d} ms')
def disconnect_while_waiting(context, name, time):
    async def call():
        entry = prepare(context)
        incoming = build_incoming(
            "GET", "/lookup/7", [(headers.CREDENTIAL, f"key of {name}")]
        )
        task = asyncio.create_task(entry.handle(incoming))
        await asyncio.sleep(time / 1000)
        assert entry.quotas.futures
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()

    detangle.run(call)


@then("all {count:d} requests of the account are answered with {status:d}")
def check_statuses(context, count, status):
    assert context.statuses == [status] * count, (context.statuses, context.body)


@then("no quota message was sent")
def check_no_messages(context):
    assert not context.harness.quota_messages


@then('its reason is "{reason}" and it names the time of the next token')
def check_reason(context, reason):
    answer = context.answer
    assert find_header(answer.headers, headers.REASON) == reason
    assert 2_000 <= int(find_header(answer.headers, headers.RETRY_AFTER_MS)) <= 2_300


@then("the account has {count:d} tokens left")
def check_tokens_left(context, count):
    quotas = context.harness.entry.quotas
    leased = sum(each.amount for each in quotas.leases.accounts["union"].leases)
    left = leased + quotas.home.buckets["union"].tokens
    assert count <= left < count + 0.5, left


@then("no request waits for a token")
def check_none_waiting(context):
    quotas = context.harness.entry.quotas
    assert not quotas.futures
    assert not quotas.leases.accounts["union"].waiting


@given("a client account with {text} requests a second whose tokens are used up")
def use_up_tokens(context, text):
    rate = float(text)
    account = ClientAccount("studio", None, rate, 1.0)
    now = timedelta()
    bucket = QuotaBucket(account, 0.0, now, now, is_home=True, scale=1.0)
    context.waits = [bucket.compute_wait(now)]
    limits = AccountLimiter(RequestSettings(), ManualClock())
    limits.get_bucket("contracts/studio", rate).tokens = 0.0
    row = ServiceRow("contracts", account_rate_limit=rate)
    table = Table(services={"contracts": row})
    request = RequestContext(
        request_id="r1",
        service="contracts",
        route="sign",
        account="studio",
        method="POST",
        path="/sign",
        idempotent=False,
        idempotency_key=None,
        deadline=timedelta(seconds=5),
    )
    try:
        limits.acquire_token(table, request)
    except OverloadedError as error:
        context.waits.append(error.retry_after)


@then("its quota and its limit at one daemon name a wait of {wait:d} s")
def check_waits(context, wait):
    assert context.waits == [timedelta(seconds=wait)] * 2, context.waits
