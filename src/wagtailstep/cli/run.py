"""Command dispatch of all programs, and the mapping of errors to exit codes.

Fire is imported only if there are arguments to parse, since a daemon on the platform is
one of hundreds of processes and has none.
"""

import inspect
import sys
from collections.abc import Callable

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
        call = _find_plain_command(commands) or _parse_arguments(commands, name)
        return call() or status_codes.SUCCESS
    except WagtailstepError as error:
        print_error(str(error))
        return get_exit_code(error)
    except KeyboardInterrupt:
        return status_codes.ERROR


def _find_plain_command(commands: dict[str, Command] | Command) -> Command | None:
    """Return the command that is named without arguments and has no parameters."""
    if callable(commands) or len(sys.argv) != 2:
        return None
    command = commands.get(sys.argv[1])
    if command is None or inspect.signature(command).parameters:
        return None
    return command


def _parse_arguments(
    commands: dict[str, Command] | Command, name: str
) -> Callable[[], int | None]:
    from wagtailstep.cli.arguments import parse_arguments

    return parse_arguments(commands, name)
