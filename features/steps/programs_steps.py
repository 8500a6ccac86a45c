"""Steps for the programs' command lines, which run in this process."""

import contextlib
import io
import json
import pathlib
import shlex
import socket
import subprocess
import sys
import tempfile
from unittest import mock

from behave import given, then, when

from wagtailstep.cli import daemon, fakes, load, timeline
from wagtailstep.platform import program as platform

PROGRAMS = {
    "daemon": daemon.main,
    "fakes": fakes.main,
    "load": load.main,
    "platform": platform.main,
    "timeline": timeline.main,
}
LIST_MODULES = (
    "import sys, wagtailstep.platform.program; print(*sys.modules, sep=chr(10))"
)
# Runs the entry point with a program that prints how SIGHUP is handled.
PRINT_HANDLER = """
import signal, sys, types
program = types.ModuleType("program")
program.main = lambda: print(signal.getsignal(signal.SIGHUP).name)
sys.modules["wagtailstep.platform.program"] = program
from wagtailstep.platform.__main__ import main
main()
"""
LOG_DEPENDENT_MODULES = (
    "network.log_client",
    "controllers.evidence",
    "controllers.ejection",
)


def run_program(context, program, arguments):
    output = io.StringIO()
    with (
        mock.patch.object(sys, "argv", [program, *arguments]),
        contextlib.redirect_stderr(output),
        contextlib.redirect_stdout(output),
    ):
        try:
            PROGRAMS[program]()
        except SystemExit as exit_error:
            context.code = exit_error.code
    context.output = output.getvalue()


@when('the program "{program}" runs with ""')
def run_without_arguments(context, program):
    run_program(context, program, [])


@when('the program "{program}" runs with "{arguments}"')
def run_with_arguments(context, program, arguments):
    run_program(context, program, shlex.split(arguments))


@then('it ends with code {code:d} and one line that contains "{text}"')
def check_one_line(context, code, text):
    assert context.code == code, (context.code, context.output)
    lines = [line for line in context.output.splitlines() if "level=" not in line]
    assert len(lines) == 1, context.output
    assert text in lines[0], context.output


@given("a settings file whose caller address is in use")
def occupy_address(context):
    occupied = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(occupied.close)
    settings = json.loads(pathlib.Path("examples/daemon.json").read_text())
    for key in ("gate_address", "peer_address", "announce_address"):
        settings[key] = "127.0.0.1:0"
    settings["caller_address"] = f"127.0.0.1:{occupied.getsockname()[1]}"
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name, "daemon.json")
    context.file.write_text(json.dumps(settings))


@when("the daemon is run with that file")
def run_with_file(context):
    run_program(context, "daemon", ["run", str(context.file)])


@when("a fresh interpreter loads the platform's program")
def list_modules(context):
    command = [sys.executable, "-c", LIST_MODULES]
    run = subprocess.run(command, capture_output=True, text=True, check=True)
    context.modules = run.stdout.splitlines()


@then("no module of the log client, evidence or ejection is loaded")
def check_modules(context):
    assert "wagtailstep.platform.daemon" in context.modules
    loaded = {f"wagtailstep.{name}" for name in LOG_DEPENDENT_MODULES}.intersection(
        context.modules
    )
    assert not loaded, loaded


@when("the platform's program is about to be imported")
def run_entry_point(context):
    process = subprocess.run(
        [sys.executable, "-c", PRINT_HANDLER], capture_output=True, text=True
    )
    context.output = process.stdout


@then("it ignores SIGHUP")
def check_ignored(context):
    assert context.output == "SIG_IGN\n", context.output
