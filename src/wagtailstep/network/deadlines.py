"""Time limits that first let what has already arrived be handled.

After a process stood still, one turn of the event loop both reads the sockets and runs
the timers that fell due meanwhile, before any task has seen what was read. A limit
that struck at once would throw away an answer that is there.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType
from typing import Any, Self

# Turns in which received bytes reach the task that waits for what they bring about.
SETTLING_TURNS = 10
# Time after a missed deadline in which what has arrived may still be handled.
MAX_LATENESS_S = 0.25


async def handle_arrivals() -> None:
    """Return once what has arrived by now is handled."""
    for _ in range(SETTLING_TURNS):
        await asyncio.sleep(0)


class SettledTimer:
    """A timer that calls back once what had arrived when it fell due is handled.

    :param when: event loop time in seconds.
    :param callback: called with ``args`` unless the timer is cancelled before.
    """

    def __init__(self, when: float, callback: Callable[..., Any], *args: Any) -> None:
        self.loop = asyncio.get_running_loop()
        self.callback = callback
        self.args = args
        self.handle: asyncio.Handle = self.loop.call_at(when, self.start_settling)

    def start_settling(self) -> None:
        """Begin to let the event loop handle what has arrived."""
        self.settle(SETTLING_TURNS, self.loop.time() + MAX_LATENESS_S)

    def settle(self, turns: int, until: float) -> None:
        """Let the event loop take some turns, each of which reads the sockets.

        :param until: event loop time in seconds after which it takes no more of them.
        """
        if turns > 0 and self.loop.time() < until:
            self.handle = self.loop.call_soon(self.settle, turns - 1, until)
        else:
            self.callback(*self.args)

    def cancel(self) -> None:
        """Stop the timer; has no effect after the callback."""
        self.handle.cancel()


class Deadline:
    """A deadline like :func:`asyncio.timeout_at` that cancels no arrived answer.

    It limits what runs in ``async with``, also several times one after the other.

    :param when: event loop time in seconds.
    :param grace: time to wait further, from the moment the event loop notices that the
        deadline has passed, for what is limited to notice it itself.
    """

    def __init__(self, when: float, grace: timedelta = timedelta()) -> None:
        self.loop = asyncio.get_running_loop()
        self.when = when
        self.grace_s = grace.total_seconds()
        self.late_until: float | None = None

    @property
    def has_passed(self) -> bool:
        """Return whether the deadline has passed."""
        return self.loop.time() >= self.when

    def shorten_to(self, when: float) -> None:
        """Let the deadline fall due at a given time, if that is earlier.

        :param when: event loop time in seconds; only effective inside ``async with``.
        """
        if when < self.when and self.late_until is None:
            self.when = when
            self.timer.cancel()
            self.timer = self.loop.call_at(when, self.notice)

    async def __aenter__(self) -> Self:
        """Start to limit what follows.

        :raises TimeoutError: if the deadline was missed some time ago.
        """
        if self.late_until is not None and self.loop.time() >= self.late_until:
            raise TimeoutError
        self.timeout = asyncio.timeout(None)
        await self.timeout.__aenter__()
        self.timer: asyncio.Handle | SettledTimer = self.loop.call_at(
            self.when, self.notice
        )
        if self.has_passed:
            # Waits of a single turn each would stop the timer before it can run.
            self.timer.cancel()
            self.notice()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """Stop limiting.

        :raises TimeoutError: if the deadline has cancelled what was limited.
        """
        self.timer.cancel()
        return await self.timeout.__aexit__(exc_type, error, traceback)

    def notice(self) -> None:
        """Begin to give up, but go on for a short time with what has arrived."""
        now = self.loop.time()
        if self.late_until is None:
            self.late_until = now + MAX_LATENESS_S
        self.timer = SettledTimer(now + self.grace_s, self.expire)

    def expire(self) -> None:
        """Cancel what is limited now, unless it is being cancelled already."""
        if not self.timeout.expired():
            self.timeout.reschedule(self.loop.time())


def limit_time(time_left: timedelta, grace: timedelta = timedelta()) -> Deadline:
    """Return a deadline that is due after the given time."""
    loop = asyncio.get_running_loop()
    return Deadline(loop.time() + time_left.total_seconds(), grace)
