"""State of the race between two copies of a request."""

import asyncio
from datetime import timedelta

import attrs

from wagtailstep.exceptions import OverloadedError, RequestError
from wagtailstep.models.exchange import Answer
from wagtailstep.models.fleet import Target
from wagtailstep.network.deadlines import SettledTimer
from wagtailstep.network.exchanges import Exchange

CopyResult = Answer | RequestError


@attrs.define(eq=False)
class HedgeRace:
    """State of a request whose first copy waits for its response head.

    :param exchange: state of the request; the first copy uses it directly.
    :param target: target of the first copy.
    :param started: monotonic time at which the first copy was sent.
    :param delay: time after which a hedge is sent; ``None`` for no hedge.
    :param timeout: cancels the first copy; ``None`` unless it waits for its head.
    :param timer: sends the hedge; ``None`` if none is planned.
    :param denied: whether a denial of the hedge was recorded.
    :param hedge: task of the second copy, or ``None`` before it is sent.
    :param hedge_target: target of the second copy.
    """

    exchange: Exchange
    target: Target
    started: timedelta
    delay: timedelta | None
    timeout: asyncio.Timeout | None = None
    timer: SettledTimer | None = None
    denied: bool = False
    hedge: asyncio.Task[CopyResult] | None = None
    hedge_target: Target | None = None

    def stop_waiting(self) -> None:
        """Send no hedge any more and don't cancel the first copy, which has ended."""
        self.timeout = None
        if self.timer is not None:
            self.timer.cancel()


def is_full_gate(result: CopyResult) -> bool:
    """Return whether a gate had no slot, so that no server got the copy."""
    return isinstance(result, OverloadedError) and not result.reached_server
