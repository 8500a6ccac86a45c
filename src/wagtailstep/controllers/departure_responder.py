"""Answers requests for departures that another daemon's earlier process told of."""

import itertools
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.controllers.target_leases import TargetLeases
from wagtailstep.models.departures import (
    DepartureReminder,
    DeparturesLookedUp,
    DeparturesRequest,
    LookUpDepartures,
)
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.utils.clock import Clock

# A healthy store answers within it. After it, what this daemon has heard is sent first.
LOOK_UP_TIME = timedelta(milliseconds=100)
# Bounds the memory. A daemon repeats its request, and sends it to others as well.
MAX_OPEN_REQUESTS = 256


@attrs.define
class OpenRequest:
    """A request for which the store is being read.

    :param message: the request.
    :param received_at: monotonic time.
    :param is_answered: whether what was heard has been sent.
    """

    message: DeparturesRequest
    received_at: timedelta
    is_answered: bool = False


class DepartureResponder:
    """Look up recorded departures for other daemons, and send those heard of.

    :param leases: leases on the targets of other daemons, and departures heard of.
    :param clock: source of monotonic time.
    """

    def __init__(self, leases: TargetLeases, clock: Clock) -> None:
        self.leases = leases
        self.clock = clock
        self.numbers = itertools.count()
        self.open_requests: dict[int, OpenRequest] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the answers do not depend on."""
        return []

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        message = event.message
        if not isinstance(message, DeparturesRequest):
            return []
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return []
        number = next(self.numbers)
        self.open_requests[number] = OpenRequest(message, self.clock.monotonic())
        return [LookUpDepartures(number, message.daemon_id)]

    @handle.register
    def _(self, event: DeparturesLookedUp) -> list[Any]:
        request = self.open_requests.pop(event.request_id)
        effects = [] if request.is_answered else self._send_heard(request)
        if event.departures is None:
            return effects
        message = request.message
        reminder = DepartureReminder(
            event.departures,
            has_read_all=True,
            process_started=message.process_started,
        )
        return [*effects, SendToPeer(message.reply_to, reminder, urgent=True)]

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects: list[Any] = []
        for request in self.open_requests.values():
            if not request.is_answered and now - request.received_at >= LOOK_UP_TIME:
                effects += self._send_heard(request)
        return effects

    def _send_heard(self, request: OpenRequest) -> list[Any]:
        request.is_answered = True
        message = request.message
        uptime = timedelta(milliseconds=message.uptime_ms)
        reminder = DepartureReminder(
            self.leases.departures.list_beside(message.daemon_id),
            has_heard_all=self.leases.is_held_since_before(
                message.daemon_id, request.received_at - uptime
            ),
            process_started=message.process_started,
        )
        if not reminder.departures and not reminder.has_heard_all:
            return []
        return [SendToPeer(message.reply_to, reminder, urgent=True)]
