"""Selection of a command and its arguments by Fire."""

import contextlib
import functools
import io
import sys
from collections.abc import Callable
from typing import Any

import fire
from fire.core import FireExit

from wagtailstep.cli import status_codes
from wagtailstep.exceptions import SettingsError

Command = Callable[..., int | None]


def parse_arguments(
    commands: dict[str, Command] | Command, name: str
) -> Callable[[], int | None]:
    """Let Fire select the command and bind its arguments, without running it.

    Fire calls a function before it reports arguments that it could not use, so it
    gets wrappers that only store their arguments.

    If help was asked for, it is printed, and the call that is returned does nothing.

    :raises SettingsError: if an argument is invalid.
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
            return lambda: status_codes.SUCCESS
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
