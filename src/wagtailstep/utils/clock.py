"""The clock interface and its two implementations."""

import asyncio
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Tell the time. Every component takes its clock as an argument."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never goes back."""

    def utc(self) -> datetime:
        """Return the wall-clock time, for people to read; it decides nothing."""


class LoopClock:
    """The clock of the running event loop, real or simulated."""

    def monotonic(self) -> timedelta:
        """Return the time of the event loop."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def utc(self) -> datetime:
        """Return the wall-clock time."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when told to.

    :param start: the wall-clock time at monotonic time zero.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self.start = start
        self.elapsed = timedelta()

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self.elapsed

    def utc(self) -> datetime:
        """Return the start time plus the time advanced so far."""
        return self.start + self.elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward.

        :param step: how far; negative values are not allowed.
        :raises ValueError: if ``step`` is negative.
        """
        if step < timedelta():
            raise ValueError(f"a clock can't go back by {step}")
        self.elapsed += step
