"""Keeps guarded requests from running twice.

The entry asks :meth:`DuplicateGuard.begin` before it runs a guarded request (one
that is not idempotent and has a key) and says :meth:`DuplicateGuard.finish` when the
run has ended. Both return effects for the runtime. The runtime passes each
:class:`~wagtailstep.models.idempotency.RequestDecided` effect, also those that
:meth:`DuplicateGuard.handle` returns, to ``EntryService.settle``.
"""

import random
from typing import Any

from wagtailstep.controllers.runs import Run, RunBook, RunState
from wagtailstep.controllers.tickets import TicketOffice
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.idempotency import (
    GuardOutcome,
    StoredAnswer,
    parse_ticket,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock


class DuplicateGuard:
    """Decide which guarded requests this daemon runs."""

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.book = RunBook(settings.requests)
        self.tickets = TicketOffice(blackboard, rng, self.book)

    def handle(self, event: Any) -> list[Any]:
        """Take one event and return effects."""
        return []

    def begin(self, request: RequestContext, fingerprint: str) -> GuardOutcome:
        """Decide about a guarded request.

        :param fingerprint: digest of method, path, client account and body.
        """
        ticket = parse_ticket(request.idempotency_key)
        return GuardOutcome(self.tickets.decide(ticket, request, fingerprint))

    def finish(
        self, run_id: str, verdict: Verdict, answer: StoredAnswer | None = None
    ) -> list[Any]:
        """End a run that :meth:`begin` or an effect allowed.

        :param verdict: how it ended; ``NOT_RUN`` only as a fact.
        :param answer: its whole answer, if it is small enough to keep.
        """
        run = self.book.find(run_id)
        if run is None:
            return []
        return list(self.book.finish(run, verdict, answer))

    def abandon(self, request_id: str) -> list[Any]:
        """Forget a request that was told to wait and has been given up."""
        return []

    def knows_not_run(self, request: RequestContext) -> bool:
        """Tell whether no earlier sending of a guarded request has run, as a fact."""
        run = self.find_run(request)
        return run is not None and run.state is RunState.READY

    def find_run(self, request: RequestContext) -> Run | None:
        """Return the run that this daemon remembers for a guarded request."""
        return self.book.find(request.idempotency_key)
