"""What stands for a callback that nobody has set."""

from typing import Any


def do_nothing(*_: Any) -> None:
    """Take no notice."""
