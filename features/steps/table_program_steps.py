"""Steps for the operators' program, run against the log service's test double."""

import asyncio
import contextlib
import gc
import io
import pathlib
import shlex
import sys
import tempfile
from datetime import UTC, datetime
from unittest import mock

from behave import given, then, when
from log_service_steps import start_log_server

from wagtailstep.cli import table as program
from wagtailstep.cli import table_arguments
from wagtailstep.cli.run import run_program
from wagtailstep.commands.table_csv import write_csv
from wagtailstep.exceptions import ConnectionFailedError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member
from wagtailstep.models.status import describe_status
from wagtailstep.models.table import AccountRow, ServiceRow, Table
from wagtailstep.models.table_edits import TABLE_STREAM
from wagtailstep.models.verdict import Verdict


def run_table_program(context, arguments):
    words = ["wagtailstep-table", *shlex.split(arguments)]
    out, err = io.StringIO(), io.StringIO()
    # Python 3.11.5 and 3.11.6 report open connections of closed event loops on standard
    # error when they are collected, also those of earlier runs in this process.
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    with (
        mock.patch.object(sys, "argv", words),
        mock.patch.dict(
            "os.environ", {table_arguments.LOG_VARIABLE: context.log_address}
        ),
        mock.patch.object(table_arguments, "LOG_TIMEOUT_MS", 400),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        context.exit_code = run_program(program.COMMANDS, "wagtailstep-table")
    gc.enable()
    context.out, context.err = out.getvalue(), err.getvalue()


@given("a log service for the table program")
def start_log(context):
    context.log_address = start_log_server(context).address


@given('the table program ran "{arguments}"')
def run_successfully(context, arguments):
    run_table_program(context, arguments)
    assert context.exit_code == 0, context.err


@when('the table program runs "{arguments}"')
def run_command(context, arguments):
    run_table_program(context, arguments)


@then('it exits with {code:d} and one line that contains "{message}"')
def check_error_line(context, code, message):
    assert context.exit_code == code, (context.exit_code, context.err)
    assert context.err.count("\n") == 1, context.err
    assert message in context.err, context.err


@then('it exits with {code:d} and prints "{text}"')
def check_printed(context, code, text):
    assert context.exit_code == code, (context.exit_code, context.err)
    assert text in context.out, context.out


@then('it prints "{text}"')
def check_also_printed(context, text):
    assert text in context.out, context.out


@then("the table in the log has version {version:d}")
def check_log_version(context, version):
    with mock.patch.dict(
        "os.environ", {table_arguments.LOG_VARIABLE: context.log_address}
    ):
        table = asyncio.run(table_arguments.create_table_client("").read_table())
    assert table.version == version, table.version


@given("the table was exported to a file for each of two operators")
def export_files(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.files = {}
    for name in ("first", "second"):
        path = pathlib.Path(folder.name, f"{name}.csv")
        run_table_program(context, f"export {path}")
        assert context.exit_code == 0, context.err
        context.files[name] = path


@when('the {name} operator changes "{old}" to "{new}" and applies the file')
def change_and_apply(context, name, old, new):
    path = context.files[name]
    text = path.read_text()
    assert old in text, text
    path.write_text(text.replace(old, new))
    run_table_program(context, f"apply {path} --reason=changed --author={name}")


@when('the {name} operator deletes the line "{kind}" and applies the file')
def delete_and_apply(context, name, kind):
    path = context.files[name]
    lines = path.read_text().splitlines(keepends=True)
    path.write_text("".join(line for line in lines if f",{kind}," not in line))
    run_table_program(context, f"apply {path} --reason=changed")


@when("the log loses the next {count:d} acknowledgments")
def lose_acknowledgments(context, count):
    context.log_server.set_faults(lost_acknowledgments=count)


@when("the log is unavailable to the table program")
def make_log_unavailable(context):
    context.log_server.set_faults(away=True)


class FakeDaemonClient:
    """Reports the status of daemons as given by a scenario."""

    def __init__(self, rows):
        self.rows = {row["address"]: row for row in rows}

    async def fetch_status(self, address):
        row = self.rows[address]
        if not row["version"]:
            raise ConnectionFailedError("no answer", Verdict.NOT_RUN)
        board = Blackboard(Member(address, 1, address, address, "bole"))
        board.table.version = int(row["version"])
        board.table_known = row["known"] == "yes"
        board.table_since = datetime(2026, 1, 1, tzinfo=UTC)
        return describe_status(board)


@given("daemons that report this state of the table")
def set_daemon_reports(context):
    daemons = FakeDaemonClient(context.table)
    patch = mock.patch.object(program, "create_daemon_client", lambda: daemons)
    patch.start()
    context.add_cleanup(patch.stop)


@given("a CSV file of {services:d} services with {accounts:d} client accounts each")
def write_large_file(context, services, accounts):
    table = Table()
    for index in range(services):
        name = f"s{index:03d}"
        table.services[name] = ServiceRow(name)
        for number in range(accounts):
            key = f"{name}/account-with-a-long-name-{number}"
            table.accounts[key] = AccountRow(key, number)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.large_file = pathlib.Path(folder.name, "large.csv")
    context.large_file.write_text(write_csv(table))


@when("the table program imports the file")
def import_large_file(context):
    run_table_program(context, f"import {context.large_file} --remove --reason=large")


@given("the records of the table expired")
def expire_records(context):
    context.log_server.set_faults(retention_records=1)
    log = table_arguments.create_table_client(context.log_address).log
    asyncio.run(log.append(TABLE_STREAM, b"nonsense"))
    context.log_server.set_faults(retention_records=0)


@when(
    "the {name} operator restores the file as version {version:d} with daemon "
    '"{address}"'
)
def restore_from_file(context, name, version, address):
    path = context.files[name]
    words = f"restore {path} {address} --version={version} --reason=lost"
    run_table_program(context, words)
