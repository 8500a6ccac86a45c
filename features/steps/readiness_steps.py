"""Steps for the readiness of a daemon."""

from datetime import timedelta

from behave import given, then, when

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.gate import WorkEnded, WorkResult
from wagtailstep.network.metrics import MetricsRecorder
from wagtailstep.network.watch_routes import is_ready


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
def make_metrics(context):
    context.metrics = MetricsRecorder(Blackboard(Member("d1", 1, "", "", "bole")))


@when('{count:d} pieces of work end as "{result}" after {took_ms:d} ms')
def end_work(context, count, result, took_ms):
    took = timedelta(milliseconds=took_ms)
    event = WorkEnded("contracts/i-1", "sign", True, WorkResult(result), took)
    for _ in range(count):
        context.metrics.handle(event)
    context.exported = context.metrics.export_text().decode()


@then('the text has "{name}" of {count:d} for result "{result}"')
def check_count(context, name, count, result):
    (line,) = [
        line
        for line in context.exported.splitlines()
        if line.startswith(name) and f'result="{result}"' in line
    ]
    assert float(line.split()[-1]) == count, line


@then('the text has the gauge "{name}"')
def check_gauge(context, name):
    assert f"# TYPE {name}" in context.exported, context.exported
