"""Command dispatch of all programs, and the mapping of errors to exit codes."""

import contextlib
import functools
import io
import sys
from collections.abc import Callable
from typing import Any

import fire
from fire.core import FireExit

from wagtailstep.cli import status_codes
from wagtailstep.exceptions import (
    AppendUnknownError,
    SettingsError,
    TableError,
    WagtailstepError,
)

Command = Callable[..., int | None]

_EXIT_CODES: tuple[tuple[type[WagtailstepError], int], ...] = (
    (SettingsError, status_codes.USAGE),
    (TableError, status_codes.REFUSED),
    (AppendUnknownError, status_codes.UNKNOWN),
    (WagtailstepError, status_codes.ERROR),
)


def get_exit_code(error: WagtailstepError) -> int:
    """Return the exit code for an error."""
    return next(
        code for error_type, code in _EXIT_CODES if isinstance(error, error_type)
    )


def print_error(message: str) -> None:
    """Print a message as one line to standard error."""
    line = " ".join(message.split())
    print(f"error: {line}", file=sys.stderr)


def run_program(commands: dict[str, Command] | Command, name: str) -> int:
    """Run the command selected by the command-line arguments.

    A command returns its exit code, or ``None`` for success. It raises a
    :class:`WagtailstepError` for problems that the operator can fix.

    :param commands: a function, or a mapping from command names to functions.
    :param name: name of the program.
    :return: the exit code; 2 for an invalid argument, in which case nothing was run.
    """
    try:
        deferred_call = _parse_arguments(commands, name)
        return deferred_call() or status_codes.SUCCESS
    except FireExit as stop:
        return stop.code
    except WagtailstepError as error:
        print_error(str(error))
        return get_exit_code(error)
    except KeyboardInterrupt:
        return status_codes.ERROR


def _parse_arguments(
    commands: dict[str, Command] | Command, name: str
) -> Callable[[], int | None]:
    """Let Fire select the command and bind its arguments, without running it.

    Fire calls a function before it reports arguments that it could not use, so it
    gets wrappers that only store their arguments.

    :raises SettingsError: if an argument is invalid.
    :raises FireExit: after the help text was printed.
    """
    deferred_calls: list[Callable[[], int | None]] = []
    help_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(help_output):
            fire.Fire(
                _defer_commands(commands, deferred_calls),
                name=name,
                serialize=_print_none,
            )
    except FireExit as stop:
        if stop.code == 0:
            print(help_output.getvalue(), file=sys.stderr)
            raise
        problem = stop.trace.elements[-1].ErrorAsStr()
        raise SettingsError(f"{problem}; see {name} --help") from stop
    if not deferred_calls:
        raise SettingsError(f"no command was given; see {name} --help")
    return deferred_calls[0]


def _print_none(_result: Any) -> None:
    return None


def _defer_commands(
    commands: dict[str, Command] | Command,
    deferred_calls: list[Callable[[], int | None]],
) -> Any:
    if callable(commands):
        return _defer_command(commands, deferred_calls)
    return {
        name: _defer_command(command, deferred_calls)
        for name, command in commands.items()
    }


def _defer_command(
    command: Command, deferred_calls: list[Callable[[], int | None]]
) -> Callable[..., None]:
    # ``wraps`` keeps the signature and doc comment, which Fire reads.
    @functools.wraps(command)
    def defer_call(*args: Any, **kwargs: Any) -> None:
        deferred_calls.append(functools.partial(command, *args, **kwargs))

    return defer_call
