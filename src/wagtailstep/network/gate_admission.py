"""Carries out the decisions of the gate's controller on waiting requests."""

import asyncio
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.gate import GateController
from wagtailstep.models.gate import (
    GateRequest,
    GateRequestArrived,
    RefuseRequest,
    StartRequest,
    WakeQueue,
)
from wagtailstep.models.server_notices import QueueWakeDue
from wagtailstep.network.deadlines import limit_time


class GateAdmission:
    """Keeps requests waiting until the controller starts or refuses them.

    :param controller: decides which requests start, wait or are refused.
    """

    def __init__(self, controller: GateController) -> None:
        self.controller = controller
        self.waiters: dict[int, asyncio.Future[None]] = {}

    async def wait_for_start(self, request: GateRequest, max_wait: timedelta) -> None:
        """Wait until a request may start.

        :raises RequestError: if it is refused.
        :raises TimeoutError: if it may not start in time.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiters[request.serial] = future
        try:
            self.dispatch(GateRequestArrived(request))
            if future.done():
                return future.result()
            async with limit_time(max_wait):
                await future
        finally:
            del self.waiters[request.serial]

    def dispatch(self, event: Any) -> None:
        """Pass an event to the controller and apply the effects that it returns."""
        for effect in self.controller.handle(event):
            self.apply(effect)

    @singledispatchmethod
    def apply(self, effect: Any) -> None:
        """Apply one effect.

        :raises TypeError: if it is none of the gate's effects.
        """
        raise TypeError(f"not an effect of the gate: {effect!r}")

    @apply.register
    def apply_start(self, effect: StartRequest) -> None:
        """Let a queued request proceed; a cancelled one frees its slot itself."""
        future = self.waiters.get(effect.serial)
        if future is not None and not future.done():
            future.set_result(None)

    @apply.register
    def apply_refusal(self, effect: RefuseRequest) -> None:
        """Reject a queued request."""
        future = self.waiters.get(effect.serial)
        if future is not None and not future.done():
            future.set_exception(effect.error)

    @apply.register
    def apply_wake(self, effect: WakeQueue) -> None:
        """Wake the queue once its rate limit permits a request."""
        due = QueueWakeDue(effect.target_id)
        loop = asyncio.get_running_loop()
        loop.call_later(effect.delay.total_seconds(), self.dispatch, due)
