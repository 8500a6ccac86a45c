"""Steps for the readiness and the metrics of a daemon."""

import re
from datetime import timedelta

from behave import given, then, when

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.gate import WorkEnded, WorkResult
from wagtailstep.models.request import RequestEnded
from wagtailstep.network.metrics import MetricsRecorder
from wagtailstep.network.monitoring_routes import is_ready
from wagtailstep.utils.clock import ManualClock


@given("a daemon that {table} a table and {target} a target and is {phase}")
def set_daemon(context, table, target, phase):
    board = Blackboard(Member("d1", 1, "", "", "bole"))
    board.table_known = table == "knows"
    board.draining = phase == "shutting down"
    if target == "knows":
        board.targets["contracts/i-1"] = Target("contracts/i-1", "contracts", "d1", "")
    context.board = board


@then("the daemon is {ready}")
def check_ready(context, ready):
    assert is_ready(context.board) == (ready == "ready")


@given("the metrics of a daemon")
def create_metrics(context):
    context.clock = ManualClock()
    context.board = Blackboard(Member("d1", 1, "", "", "bole"))
    context.metrics = MetricsRecorder(context.board, context.clock)


@when('{count:d} pieces of work end as "{result}" after {took_ms:d} ms')
def end_work(context, count, result, took_ms):
    duration = timedelta(milliseconds=took_ms)
    event = WorkEnded("contracts/i-1", "sign", True, WorkResult(result), duration)
    for _ in range(count):
        context.metrics.handle(event)
    context.exported = context.metrics.export_text().decode()


@when('{count:d} requests end as "{outcome}"')
def end_requests(context, count, outcome):
    for _ in range(count):
        event = RequestEnded("contracts", "sign", outcome, timedelta(seconds=1))
        context.metrics.handle(event)
    context.exported = context.metrics.export_text().decode()


@when('{count:d} calls to store end as "{outcome}"')
def end_store_calls(context, count, outcome):
    for _ in range(count):
        context.metrics.record_store_call(outcome)
    context.exported = context.metrics.export_text().decode()


@when('a gauge of services reads {value:d} for "{service}"')
def read_gauge(context, value, service):
    context.metrics.add_service_gauge(
        "wagtailstep.gate.waiting", "{request}", lambda: {service: value}
    )
    context.exported = context.metrics.export_text().decode()


@when("{before:d} s pass, a new table comes into force, and {after:d} s pass")
def change_table(context, before, after):
    context.clock.advance(timedelta(seconds=before))
    context.board.table.version = 9
    context.metrics.handle(Tick())
    context.clock.advance(timedelta(seconds=after))


@then("the table is {seconds:d} s old")
def check_age(context, seconds):
    assert context.metrics.compute_table_age() == seconds


@then('the exported text has "{name}" of {count:d} for {attribute} "{value}"')
def check_count(context, name, count, attribute, value):
    (line,) = [
        line
        for line in context.exported.splitlines()
        if line.startswith(name) and f'{attribute}="{value}"' in line
    ]
    assert float(line.split()[-1]) == count, line


@then('the exported text has the gauge "{name}"')
def check_gauge(context, name):
    assert f"# TYPE {name}" in context.exported, context.exported


@when("all versions of the table are known up to a time, and {seconds:d} s pass")
def know_table(context, seconds):
    context.board.table_known_at = context.clock.monotonic()
    context.clock.advance(timedelta(seconds=seconds))
    context.exported = context.metrics.export_text().decode()


@then('the exported text has "{name}" of {value:d}')
def check_value(context, name, value):
    pattern = rf"^{name}\{{.*\}} {value}\.0$"
    assert re.search(pattern, context.exported, re.MULTILINE), context.exported
