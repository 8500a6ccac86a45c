"""Steps for the duplicate guards of three daemons that share one in-memory log."""

import random
from datetime import timedelta

import attrs
import parse
from behave import given, register_type, then, when
from routing_steps import make_member, make_request, make_settings

from wagtailstep.controllers.guard import DuplicateGuard
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.claims import (
    ClaimBatch,
    ClaimEntry,
    claim_stream,
    digest_key,
)
from wagtailstep.models.events import (
    AppendToLog,
    LogAppendFinished,
    LogGap,
    LogRecordsRead,
    Tick,
)
from wagtailstep.models.fleet import MemberState
from wagtailstep.models.idempotency import (
    Refuse,
    RelayToDaemon,
    Replay,
    RequestDecided,
    RunLocally,
    StoredAnswer,
    Wait,
)
from wagtailstep.models.log import LogRecord
from wagtailstep.models.table import LogUnavailablePolicy, ServiceRow
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message


@parse.with_pattern(r'[^"]*')
def parse_quoted(text):
    return text


register_type(Q=parse_quoted)

STREAM = claim_stream("contracts")
DAEMONS = ("a", "b", "c")
DECISION_NAMES = {
    RunLocally: "run",
    Wait: "wait",
    RelayToDaemon: "relay",
    Replay: "replay",
    Refuse: "refuse",
}


class GuardedDaemon:
    """One daemon's guard; its appends stay pending until a step completes them."""

    def __init__(self, context, daemon_id, boot=1):
        self.context = context
        self.daemon_id = daemon_id
        members = {name: make_member(name) for name in DAEMONS}
        self.board = Blackboard(members[daemon_id], members=members)
        self.board.this_member = make_member(daemon_id, incarnation=boot)
        self.board.log_reachable = True
        rng = random.Random(daemon_id)
        settings = make_settings(daemon_id)
        self.guard = DuplicateGuard(settings, self.board, context.clock, rng)
        self.appends = []
        self.append_count = 0
        self.lost_appends = []
        self.offset = 0
        self.decision = None
        self.last_request = None

    def start_request(self, key, body="body", **changes):
        request = attrs.evolve(
            make_request(self.context), idempotent=False, idempotency_key=key, **changes
        )
        self.last_request = request
        outcome = self.guard.decide_request(request, body)
        self.decision = None
        if not isinstance(outcome.decision, Wait):
            self.decision = outcome.decision
        self.apply_effects(outcome.effects)
        return outcome.decision

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, AppendToLog):
                self.append_count += 1
                self.appends.append(effect)
            elif isinstance(effect, RequestDecided):
                self.decision = effect.decision

    def complete_next_append(self, applies=True, acknowledged=True):
        append = self.appends.pop(0)
        data = encode_message(append.record)
        if applies:
            self.context.log.append(data)
        else:
            self.lost_appends.append(data)
        offset = len(self.context.log) - 1 if acknowledged else None
        event = LogAppendFinished(append.append_id, offset, not acknowledged)
        self.apply_effects(self.guard.handle(event))

    def read_log(self):
        records = enumerate(self.context.log)
        new = tuple(LogRecord(n, data) for n, data in records if n >= self.offset)
        self.offset = len(self.context.log)
        self.apply_effects(self.guard.handle(LogRecordsRead(STREAM, new)))


def complete_appends(context, *names):
    for name in names:
        while context.daemons[name].appends:
            context.daemons[name].complete_next_append()
    read_log_everywhere(context)


def read_log_everywhere(context):
    for daemon in context.daemons.values():
        daemon.read_log()


@given('daemons "a", "b" and "c" that know each other and share a log')
def create_daemons(context):
    context.clock = ManualClock()
    context.log = []
    context.daemons = {name: GuardedDaemon(context, name) for name in DAEMONS}
    for daemon in context.daemons.values():
        daemon.guard.get_claims("contracts")


@given('a ticket of daemon "{name:Q}"')
def issue_ticket(context, name):
    tickets = context.daemons[name].guard.tickets
    context.ticket = str(tickets.issue("contracts"))


@then('"{name:Q}" has open tickets')
def check_open_tickets(context, name):
    assert context.daemons[name].guard.tickets.has_open_tickets()


@then('"{name:Q}" has no open tickets')
def check_no_open_tickets(context, name):
    assert not context.daemons[name].guard.tickets.has_open_tickets()


@when('{count:d} more tickets are issued at "{name:Q}"')
def issue_more_tickets(context, count, name):
    for _ in range(count):
        context.daemons[name].guard.tickets.issue("contracts")


@then(
    'the ticket at "{name:Q}" for service "{service:Q}" '
    'is decided as "{e:Q}" with "{v:Q}"'
)
def check_ticket_service(context, name, service, e, v):
    check_decision(use_ticket(context, name, service=service), e, v)


@when('daemon "{name:Q}" restarts before it has read the log')
def restart_before_reading(context, name):
    context.daemons[name] = GuardedDaemon(context, name, boot=2)
    context.daemons[name].guard.get_claims("contracts")


@when(
    'the log holds a release of a claim of "{name:Q}" on "{key:Q}" with the same number'
)
def append_release(context, name, key):
    entry = ClaimEntry(digest_key("", key), 1, released=True)
    batch = ClaimBatch(name, context.daemons[name].guard.boot_id, (entry,))
    context.log.append(encode_message(batch))
    read_log_everywhere(context)


@then('the key "{key:Q}" at "{name:Q}" is decided as "{expected:Q}"')
def check_key(context, key, name, expected):
    check_decision(context.daemons[name].start_request(key), expected)


@then(
    'the key "{key:Q}" with another body at "{name:Q}" '
    'is decided as "{e:Q}" with "{v:Q}"'
)
def check_key_body(context, key, name, e, v):
    check_decision(context.daemons[name].start_request(key, body="other"), e, v)


@when('the append of "{name:Q}" is refused by the log')
def refuse_append(context, name):
    daemon = context.daemons[name]
    append = daemon.appends.pop()
    daemon.apply_effects(
        daemon.guard.handle(LogAppendFinished(append.append_id, None, False))
    )


@when('"{name:Q}" gets a request with key "{key:Q}" although its key store is full')
def claim_with_full_store(context, name, key):
    daemon = context.daemons[name]
    fold = daemon.guard.get_claims("contracts").fold
    daemon.start_request(key)
    # The claim of another daemon on the same key comes first and is not stored, since
    # the store is full; an entry is removed before the local claim is read.
    entry = ClaimEntry(digest_key("", key), 1)
    other = ClaimBatch("z", "boot", (entry,))
    context.log.append(encode_message(other))
    daemon.read_log()
    fold.remove(next(iter(fold.claims)))
    complete_appends(context, name)


@when("the retention of the log has nearly passed")
def advance_to_end_of_retention(context):
    context.clock.advance(timedelta(seconds=make_settings().log.retention_s - 1))


def check_decision(decision, expected, detail=None):
    assert decision is not None, "not decided"
    assert DECISION_NAMES[type(decision)] == expected, decision
    if isinstance(decision, Refuse):
        assert decision.error.verdict.value == detail, decision.error
    elif isinstance(decision, RelayToDaemon):
        assert decision.daemon_id == detail, decision
    elif isinstance(decision, Replay):
        assert decision.answer.body.decode() == detail


def use_ticket(context, name, **changes):
    daemon = context.daemons[name]
    decision = daemon.start_request(context.ticket, **changes)
    if isinstance(decision, RunLocally):
        daemon.run_id = decision.run_id
    return decision


@then('the ticket at "{name:Q}" is decided as "{expected:Q}"')
def check_ticket(context, name, expected):
    check_decision(use_ticket(context, name), expected)


@then('the ticket at "{name:Q}" is decided as "{expected:Q}" with "{detail:Q}"')
@then('the ticket at "{name:Q}" is decided as "{expected:Q}" of "{detail:Q}"')
@then('the ticket at "{name:Q}" is decided as "{expected:Q}" to "{detail:Q}"')
def check_ticket_detail(context, name, expected, detail):
    check_decision(use_ticket(context, name), expected, detail)


@then(
    'the ticket relayed to "{name:Q}" by mistake '
    'is decided as "{expected:Q}" with "{v:Q}"'
)
def check_relayed_ticket(context, name, expected, v):
    check_decision(use_ticket(context, name, relayed=True), expected, v)


@then(
    'the ticket at "{name:Q}" with another body '
    'is decided as "{expected:Q}" with "{v:Q}"'
)
def check_other_body(context, name, expected, v):
    check_decision(use_ticket(context, name, body="other"), expected, v)


@then('the waiting request at "{name:Q}" is decided as "{expected:Q}" of "{detail:Q}"')
def check_waiting(context, name, expected, detail):
    check_decision(context.daemons[name].decision, expected, detail)


def finish_run(daemon, run_id, verdict, answer=None):
    stored = StoredAnswer(200, (), answer.encode()) if answer else None
    daemon.apply_effects(daemon.guard.finish_run(run_id, Verdict(verdict), stored))


@when('the run at "{name:Q}" ends as "{verdict:Q}"')
def end_run(context, name, verdict):
    daemon = context.daemons[name]
    finish_run(daemon, daemon.run_id, verdict)


@when('the run at "{name:Q}" ends as "{verdict:Q}" with the answer "{answer:Q}"')
def end_run_with_answer(context, name, verdict, answer):
    daemon = context.daemons[name]
    finish_run(daemon, daemon.run_id, verdict, answer)


@when('daemon "{name:Q}" is considered dead at "{other:Q}"')
def mark_dead(context, name, other):
    dead = make_member(name, state=MemberState.DEAD)
    context.daemons[other].board.members[name] = dead


@when('daemon "{name:Q}" restarts')
def restart(context, name):
    context.daemons[name] = GuardedDaemon(context, name, boot=2)
    context.daemons[name].guard.get_claims("contracts")
    context.daemons[name].read_log()


@when('the ticket has run at "{name:Q}" and {count:d} more tickets are issued')
def run_and_issue_many(context, name, count):
    daemon = context.daemons[name]
    finish_run(daemon, use_ticket(context, name).run_id, "run", "signed")
    for _ in range(count):
        daemon.guard.tickets.issue("contracts")
    assert len(daemon.guard.runs.by_id) <= count


@when('{count:d} tickets run at "{name:Q}" with answers of {size:d} bytes each')
def run_many(context, count, name, size):
    for _ in range(count):
        issue_ticket(context, name)
        run_id = use_ticket(context, name).run_id
        finish_run(context.daemons[name], run_id, "run", "x" * size)


@then('at most {size:d} bytes of answers are kept at "{name:Q}"')
def check_stored_bytes(context, size, name):
    runs = context.daemons[name].guard.runs.by_id.values()
    stored = sum(len(run.answer.body) for run in runs if run.answer is not None)
    assert size / 2 < stored <= size, stored


@when(
    '"a" and "b" claim the key "{key:Q}" at once '
    'and the appends of "b" come first in the log'
)
def claim_both(context, key):
    context.daemons["a"].start_request(key)
    context.daemons["b"].start_request(key)
    complete_appends(context, "b", "a")


@when(
    'client account "{x:Q}" claims the key "{key:Q}" at "a" '
    'and client account "{y:Q}" at "b"'
)
def claim_accounts(context, x, key, y):
    context.daemons["a"].start_request(key, account=x)
    context.daemons["b"].start_request(key, account=y)
    complete_appends(context, "a", "b")


@when('"{name:Q}" claims the key "{key:Q}"')
def claim(context, name, key):
    context.daemons[name].start_request(key)
    complete_appends(context, name)


@when('"{name:Q}" claims the key "{key:Q}" and its append is acknowledged')
def claim_acknowledged(context, name, key):
    context.daemons[name].start_request(key)
    context.daemons[name].complete_next_append()


@when(
    '"{name:Q}" claims the key "{key:Q}" and its append applies without acknowledgment'
)
def claim_unacknowledged(context, name, key):
    context.daemons[name].start_request(key)
    context.daemons[name].complete_next_append(acknowledged=False)


@when(
    '"{name:Q}" claims the key "{key:Q}" and its append is lost without acknowledgment'
)
def claim_lost(context, name, key):
    context.daemons[name].start_request(key)
    context.daemons[name].complete_next_append(applies=False, acknowledged=False)


@when('the lost append of "{name:Q}" applies late')
def append_lost_record(context, name):
    context.log.append(context.daemons[name].lost_appends.pop())


@when("all daemons read the log")
def read_log_at_all(context):
    read_log_everywhere(context)


@when('the appends of "{name:Q}" are completed and read by all daemons')
def complete_appends_of(context, name):
    context.clock.advance(timedelta(seconds=1))
    daemon = context.daemons[name]
    daemon.apply_effects(daemon.guard.handle(Tick()))
    complete_appends(context, name)


@when("{time:d} ms pass")
def advance_clock(context, time):
    context.clock.advance(timedelta(milliseconds=time))
    for daemon in context.daemons.values():
        daemon.apply_effects(daemon.guard.handle(Tick()))


@then('the request at "{name:Q}" is not decided')
def check_undecided(context, name):
    assert context.daemons[name].decision is None


@then('the request at "{name:Q}" is decided as "{expected:Q}"')
def check_request(context, name, expected):
    check_decision(context.daemons[name].decision, expected)


@then('the request at "{name:Q}" is decided as "{expected:Q}" to "{detail:Q}"')
@then('the request at "{name:Q}" is decided as "{expected:Q}" with "{detail:Q}"')
def check_request_detail(context, name, expected, detail):
    check_decision(context.daemons[name].decision, expected, detail)


@then(
    'the key "{key:Q}" relayed to "{name:Q}" is decided as "{expected:Q}" with "{v:Q}"'
)
def check_relayed_key(context, key, name, expected, v):
    decision = context.daemons[name].start_request(key, relayed=True)
    check_decision(decision, expected, v)


@then('nothing is appended again by "{name:Q}"')
def check_no_append(context, name):
    advance_clock(context, 1000)
    assert not context.daemons[name].appends


@then('the claim of "{name:Q}" is appended once more')
def check_appended_again(context, name):
    (append,) = context.daemons[name].appends
    assert len(append.record.entries) == 1
    assert not append.record.entries[0].released


@when('the request at "{name:Q}" is cancelled')
def cancel_request(context, name):
    daemon = context.daemons[name]
    daemon.guard.cancel_wait(daemon.last_request)


@when('the claimed run at "{name:Q}" ends as "{verdict:Q}"')
def end_claimed_run(context, name, verdict):
    daemon = context.daemons[name]
    finish_run(daemon, daemon.decision.run_id, verdict)


@when("the log is unavailable for all three daemons")
def make_log_unavailable(context):
    for daemon in context.daemons.values():
        daemon.board.log_reachable = False


@when("the log is available again for all three daemons")
def make_log_available(context):
    for daemon in context.daemons.values():
        daemon.board.log_reachable = True


@given('the table lets "contracts" send once while the log is unavailable')
def allow_send_once(context):
    row = ServiceRow("contracts", log_away=LogUnavailablePolicy.SEND_ONCE)
    for daemon in context.daemons.values():
        daemon.board.table.services["contracts"] = row


@when('"{name:Q}" gets a request with key "{key:Q}" that is "{sending:Q}"')
def send_keyed_request(context, name, key, sending):
    context.daemons[name].start_request(key, first_sending=sending == "a first sending")


@when('the record expires from the log before "{name:Q}" reads it')
def expire_record(context, name):
    daemon = context.daemons[name]
    daemon.apply_effects(daemon.guard.handle(LogGap(STREAM, len(context.log))))


@when("{count:d} other keys have been claimed in the log")
@when("{count:d} other key is claimed in the log")
def claim_many(context, count):
    start = sum(len(data) for data in context.log)
    entries = tuple(
        ClaimEntry(f"{start}-{n}".encode(), start + n) for n in range(count)
    )
    context.log.append(encode_message(ClaimBatch("z", "boot", entries)))
    read_log_everywhere(context)


@when("the retention of the log has passed")
def advance_past_retention(context):
    context.clock.advance(timedelta(seconds=make_settings().log.retention_s + 1))


@when('{count:d} keys are claimed at "{name:Q}" while its first append is under way')
def claim_during_append(context, count, name):
    for number in range(count):
        context.daemons[name].start_request(f"key{number}")
    complete_appends(context, name)


@then('the appends of "{name:Q}" are {count:d} in all')
def check_append_count(context, name, count):
    assert context.daemons[name].append_count == count
    assert len(context.daemons[name].guard.runs.by_id) == 300
