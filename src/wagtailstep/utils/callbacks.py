"""Default for callbacks that have not been set."""

from typing import Any


def do_nothing(*_: Any) -> None:
    """Accept any arguments and do nothing."""
