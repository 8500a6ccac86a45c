"""Callbacks that several modules use."""

import asyncio
from typing import Any, TypeVar

_T = TypeVar("_T")


def do_nothing(*_: Any) -> None:
    """Accept any arguments and do nothing."""


def retrieve_exception(task: asyncio.Task[None]) -> None:
    """Mark the exception of a task as seen, for tasks that nobody may await."""
    if not task.cancelled():
        task.exception()


def return_argument(value: _T) -> _T:
    """Return the argument."""
    return value
