"""The clock interface and its two implementations."""

import asyncio
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """A source of time, passed to each component so that tests can control it."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never decreases."""

    def utc(self) -> datetime:
        """Return the wall-clock time; for display only, no decision depends on it."""


class LoopClock:
    """The clock of the running event loop, real or simulated."""

    def monotonic(self) -> timedelta:
        """Return the time of the event loop."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def utc(self) -> datetime:
        """Return the wall-clock time."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that advances only when :meth:`advance` is called.

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

        :param step: time to add; must not be negative.
        :raises ValueError: if ``step`` is negative.
        """
        if step < timedelta():
            raise ValueError(f"a clock can't be advanced by the negative time {step}")
        self.elapsed += step


def get_unix_ms(clock: Clock) -> int:
    """Return the wall-clock time as Unix time in milliseconds."""
    return int(clock.utc().timestamp() * 1_000)
