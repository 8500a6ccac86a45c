"""Steps for histories of concurrent requests, and for planted faults to detect."""

import contextlib
import itertools
import logging
from unittest import mock

from behave import given, then, when
from benchmarks.histories.fleet import FakeFleet, yield_bytes
from benchmarks.histories.history import OperationKind
from benchmarks.histories.schedule import FAULTS, run_schedule

from wagtailstep import exceptions
from wagtailstep.controllers import claims
from wagtailstep.controllers.claims import ServiceClaims
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.runs import Run, RunStore
from wagtailstep.controllers.tickets import TicketIssuer
from wagtailstep.models.exchange import Answer
from wagtailstep.models.verdict import Verdict

FIRST_SEED = 500


@contextlib.contextmanager
def disable_logs():
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


def run_all(context, runs):
    with disable_logs():
        context.results = [run_schedule(seed, faults) for seed, faults in runs]


@when("{count:d} schedules run without faults")
def run_without_faults(context, count):
    run_all(context, [(FIRST_SEED + index, ()) for index in range(count)])


@when('{count:d} schedules run with fault "{fault}"')
def run_with_fault(context, count, fault):
    run_all(context, [(FIRST_SEED + index, (fault,)) for index in range(count)])


@when('{count:d} schedules run with faults "{faults}"')
def run_with_faults(context, count, faults):
    names = tuple(faults.split(", "))
    run_all(context, [(FIRST_SEED + index, names) for index in range(count)])


@when("one schedule runs for each pair of faults")
def run_pairs(context):
    pairs = list(itertools.combinations(FAULTS, 2))
    run_all(context, [(FIRST_SEED + index, pair) for index, pair in enumerate(pairs)])


@when("schedule {seed:d} runs twice")
def run_twice(context, seed):
    run_all(context, [(seed, None), (seed, None)])


@then("no guarantee is violated")
def check_no_violation(context):
    violated = [(r.seed, r.faults, v) for r in context.results for v in r.violations]
    assert not violated, violated


@then("every request was answered as run")
def check_all_run(context):
    sendings = [s for r in context.results for s in r.history.sendings]
    assert len(sendings) >= 100
    assert all(s.verdict == "run" and s.status == 200 for s in sendings)


@then("some operations of each type ran")
def check_some_run(context):
    sendings = [s for r in context.results for s in r.history.sendings]
    ran = {s.kind for s in sendings if s.verdict == "run"}
    assert ran == set(OperationKind), ran


@then("both histories are the same")
def check_same(context):
    first, second = context.results
    assert first.history.executions
    assert first.history == second.history


def run_always(claims, pending):
    return claims.run_first_waiting(pending)


def decide_by_acknowledgment(claims, event):
    entries = claims.appender.in_flight_entries
    effects = original_complete_append(claims, event)
    for entry in entries:
        if event.offset is not None and entry.key in claims.pending:
            effects = claims.run_first_waiting(claims.pending.pop(entry.key)) + effects
    return effects


def finish_as_not_run(store, run, verdict, answer):
    if verdict is Verdict.MAY_HAVE_RUN:
        verdict = Verdict.NOT_RUN
    return original_finish(store, run, verdict, answer)


def run_any_ticket(issuer, ticket, request, fingerprint):
    run = issuer.runs.find(str(ticket))
    if run is None:
        run = Run(str(ticket), request.service)
        issuer.runs.add(run)
    return issuer.runs.start(run, request.request_id, fingerprint)


def run_old_ticket(issuer, ticket, request, fingerprint):
    if ticket.daemon_id == issuer.blackboard.this_member.daemon_id:
        return run_any_ticket(issuer, ticket, request, fingerprint)
    return original_decide(issuer, ticket, request, fingerprint)


async def return_previous_answer(fleet, daemon, sending, operation):
    answer = await original_execute(fleet, daemon, sending, operation)
    previous, fleet.last_answer = getattr(fleet, "last_answer", answer), answer
    return previous


async def relay_truncated_answer(fleet, daemon, sending, operation):
    answer = await original_execute(fleet, daemon, sending, operation)
    chunks = []
    with contextlib.suppress(exceptions.TruncatedAnswerError):
        async for chunk in answer.body:
            chunks.append(chunk)
    return Answer(200, (), yield_bytes(b"".join(chunks)), Verdict.RUN)


async def report_lost_as_not_run(fleet, exchange, time_left):
    try:
        return await original_wait_for_reply(fleet, exchange, time_left)
    except exceptions.RequestError as error:
        error.verdict = Verdict.NOT_RUN
        raise


def refuse_as_not_run(request):
    error = original_log_unavailable_error(request)
    error.verdict = Verdict.NOT_RUN
    return error


original_complete_append = ServiceClaims.complete_append
original_finish = RunStore.finish
original_decide = TicketIssuer.decide
original_execute = FakeFleet.execute
original_wait_for_reply = FakeFleet.wait_for_reply
original_log_unavailable_error = claims.build_log_unavailable_error

PLANTED_FAULTS = {
    "resend of a non-idempotent request": (
        RetryPolicy,
        "try_acquire_retry",
        lambda policy, request, error, attempts, sent=0, declined=0: attempts < 3,
    ),
    "answer of another request": (FakeFleet, "execute", return_previous_answer),
    "truncated answer passed on as whole": (
        FakeFleet,
        "execute",
        relay_truncated_answer,
    ),
    "lost answer called not run": (FakeFleet, "wait_for_reply", report_lost_as_not_run),
    "claim ignored": (ServiceClaims, "decide_pending", run_always),
    "claim won by its acknowledgment": (
        ServiceClaims,
        "complete_append",
        decide_by_acknowledgment,
    ),
    "claim released after it may have run": (RunStore, "finish", finish_as_not_run),
    "ticket run again by its issuer": (RunStore, "finish", finish_as_not_run),
    "ticket run by another daemon": (TicketIssuer, "decide", run_any_ticket),
    "ticket of an earlier incarnation run": (TicketIssuer, "decide", run_old_ticket),
    "release forgotten": (ServiceClaims, "release_claim", lambda claims, claim: []),
    "refusal with the log away called not run": (
        claims,
        "build_log_unavailable_error",
        refuse_as_not_run,
    ),
}


@given('the planted fault "{name}"')
def choose_planted_fault(context, name):
    context.planted_fault = PLANTED_FAULTS[name]


@when('{count:d} schedules run with the planted fault and fault "{fault}"')
def run_with_planted_fault(context, count, fault):
    with mock.patch.object(*context.planted_fault):
        run_with_fault(context, count, fault)


@then('the guarantee "{promise}" is violated')
def check_violation(context, promise):
    violated = {v.promise for r in context.results for v in r.violations}
    assert promise in violated, violated
