"""Lends unused retries to daemons that have used up their part, and borrows them."""

import random
from collections import OrderedDict
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.controllers.shared_budget import SharedRetryBudget
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, RecordEvent, SendToPeer
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.retry_lending import (
    RetriesMissing,
    RetryLoan,
    RetryLoanRequest,
)
from wagtailstep.utils.clock import Clock

LENDERS_ASKED = 3
# While the whole fleet has nothing left, each daemon asks only this often.
ASK_INTERVAL = timedelta(milliseconds=250)
MAX_OPEN_REQUESTS = 64


@attrs.frozen
class OpenRequest:
    """A request for a loan whose answers are still accepted.

    :param service: the service that the retries are for.
    :param asked_at: monotonic time at which it was sent.
    """

    service: str
    asked_at: timedelta


class RetryLending:
    """Ask a few random daemons for retries, and answer such requests.

    :param blackboard: source of the members.
    :param clock: source of monotonic time.
    :param rng: source of the choice of lenders.
    :param budget: this daemon's part of the fleet's retries.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        budget: SharedRetryBudget,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.budget = budget
        self.sequence = 0
        self.open_requests: OrderedDict[int, OpenRequest] = OrderedDict()
        self.next_request_at: dict[str, timedelta] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that lending does not depend on."""
        return []

    @handle.register
    def _(self, event: RetriesMissing) -> list[Any]:
        effects: list[Any] = []
        now = self.clock.monotonic()
        for service, cost in event.costs.items():
            missing = cost - self.budget.compute_remaining(service)
            if missing > 0 and now >= self.next_request_at.get(service, now):
                effects += self._request_loans(service, missing, now)
        return effects

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self._receive(event.message, event.sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> list[Any]:
        return []

    @_receive.register
    def _(self, message: RetryLoanRequest, sender: str) -> list[Any]:
        granted = self.budget.lend(message.service, message.amount)
        if not granted:
            return []
        loan = RetryLoan(message.sequence, message.service, granted)
        return [SendToPeer(message.reply_to, loan)]

    @_receive.register
    def _(self, message: RetryLoan, sender: str) -> list[Any]:
        request = self.open_requests.get(message.sequence)
        if request is None or request.service != message.service:
            return []
        self.budget.add_loan(request.service, message.amount, request.asked_at)
        # Lenders have some left, so the next request need not wait.
        self.next_request_at.pop(request.service, None)
        fields = {
            "service": request.service,
            "lender": sender,
            "amount": f"{message.amount:.2f}",
        }
        return [RecordEvent("retries-borrowed", fields)]

    def _request_loans(
        self, service: str, amount: float, now: timedelta
    ) -> list[SendToPeer]:
        self.next_request_at[service] = now + ASK_INTERVAL
        self.sequence += 1
        self.open_requests[self.sequence] = OpenRequest(service, now)
        while len(self.open_requests) > MAX_OPEN_REQUESTS:
            self.open_requests.popitem(last=False)
        reply_to = self.blackboard.this_member.peer_address
        request = RetryLoanRequest(self.sequence, reply_to, service, amount)
        return [
            SendToPeer(lender.peer_address, request, urgent=True)
            for lender in self._choose_lenders(service)
        ]

    def _choose_lenders(self, service: str) -> list[Member]:
        this_id = self.blackboard.this_member.daemon_id
        usable = [
            member
            for member in self.blackboard.members.values()
            if member.state is MemberState.ALIVE
            and member.daemon_id != this_id
            and service in member.services
        ]
        return self.rng.sample(usable, min(LENDERS_ASKED, len(usable)))
