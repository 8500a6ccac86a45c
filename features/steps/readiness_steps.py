"""Steps for the readiness of a daemon."""

from behave import given, then

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, Target
from wagtailstep.network.readiness import is_ready


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
