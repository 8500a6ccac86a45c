"""Prevents guarded requests from being executed more than once.

A guarded request is not idempotent and carries an idempotency key or a ticket. The
entry calls :meth:`DuplicateGuard.decide_request` before it executes one and
:meth:`DuplicateGuard.finish_run` when the execution has ended. Both return effects
for the runtime, which passes each
:class:`~wagtailstep.models.idempotency.RequestDecided` effect, including those that
:meth:`DuplicateGuard.handle` returns, to ``EntryService.deliver_decision``. The
runtime reads a stream as soon as an append to it has ended, so that claims are
decided quickly.
"""

import random
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.claim_fold import ClaimCapacity
from wagtailstep.controllers.claims import ServiceClaims
from wagtailstep.controllers.runs import Run, RunState, RunStore
from wagtailstep.controllers.tickets import TicketIssuer
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.claims import STREAM_PREFIX, digest_key
from wagtailstep.models.events import (
    LogAppendFinished,
    LogGap,
    LogRecordsRead,
    Tick,
)
from wagtailstep.models.idempotency import (
    GuardOutcome,
    StoredAnswer,
    parse_ticket,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.ids import make_id


class DuplicateGuard:
    """Decides which guarded requests this daemon executes."""

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
        self.rng = rng
        member = blackboard.this_member
        self.boot_id = f"{member.daemon_id}/{member.incarnation}/{make_id(rng)}"
        self.runs = RunStore(settings.requests)
        self.capacity = ClaimCapacity(settings.requests.claims_kept)
        self.tickets = TicketIssuer(
            settings.requests, blackboard, clock, rng, self.runs
        )
        self.claims_by_service: dict[str, ServiceClaims] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event and return its effects."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        return [
            effect
            for claims in self.claims_by_service.values()
            for effect in claims.flush()
        ]

    @handle.register
    def _(self, event: LogRecordsRead) -> list[Any]:
        claims = self.get_claims_of_stream(event.stream)
        return claims.apply_records(event.records) if claims is not None else []

    @handle.register
    def _(self, event: LogGap) -> list[Any]:
        claims = self.get_claims_of_stream(event.stream)
        return claims.skip_gap(event.oldest_offset) if claims is not None else []

    @handle.register
    def _(self, event: LogAppendFinished) -> list[Any]:
        for claims in self.claims_by_service.values():
            if claims.appender.append_id == event.append_id:
                return claims.complete_append(event)
        return []

    def decide_request(self, request: RequestContext, fingerprint: str) -> GuardOutcome:
        """Decide about a guarded request.

        :param fingerprint: digest of method, path, client account and body.
        :return: the decision; after :class:`~wagtailstep.models.idempotency.Wait`
            the final one follows as an effect, unless :meth:`cancel_wait` is called.
        :raises BadRequestError: if the key starts like a ticket but isn't a valid one.
        """
        ticket = parse_ticket(request.idempotency_key)
        if ticket is not None:
            return GuardOutcome(self.tickets.decide(ticket, request, fingerprint))
        claims = self.get_claims(request.service)
        decision, effects = claims.decide_request(request, fingerprint)
        return GuardOutcome(decision, tuple(effects))

    def finish_run(
        self, run_id: str, verdict: Verdict, answer: StoredAnswer | None = None
    ) -> list[Any]:
        """End a run that :meth:`decide_request` or an effect permitted.

        :param verdict: how it ended; ``NOT_RUN`` only if that is certain.
        :param answer: its complete response, if it is small enough to store.
        """
        run = self.runs.find(run_id)
        if run is None:
            return []
        decided = self.runs.finish(run, verdict, answer)
        if run.state is RunState.READY and run.claim is not None:
            return [*decided, *self.get_claims(run.service).release_run(run)]
        return list(decided)

    def cancel_wait(self, request: RequestContext) -> None:
        """Cancel the wait of a request for its decision."""
        claims = self.claims_by_service.get(request.service)
        if claims is not None:
            claims.cancel_wait(request)
        run = self.find_run(request)
        if run is not None and request.request_id in run.waiting:
            run.waiting.remove(request.request_id)

    def is_known_not_run(self, request: RequestContext) -> bool:
        """Return whether it is certain that no attempt of a guarded request has run."""
        run = self.find_run(request)
        return run is not None and run.state is RunState.READY

    def find_run(self, request: RequestContext) -> Run | None:
        """Return the stored run of a guarded request, or ``None``."""
        if parse_ticket(request.idempotency_key) is not None:
            return self.runs.find(request.idempotency_key)
        key = digest_key(request.account, request.idempotency_key)
        return self.runs.find(f"{request.service}/{key.hex()}")

    def get_claims(self, service: str) -> ServiceClaims:
        """Return the claims of a service; create them on the first call."""
        claims = self.claims_by_service.get(service)
        if claims is None:
            claims = self.claims_by_service[service] = ServiceClaims(
                service,
                self.boot_id,
                self.settings,
                self.blackboard,
                self.clock,
                self.rng,
                self.runs,
                self.capacity,
            )
        return claims

    def get_claims_of_stream(self, stream: str) -> ServiceClaims | None:
        """Return the claims of the service that a stream belongs to, or ``None``."""
        if not stream.startswith(STREAM_PREFIX):
            return None
        return self.claims_by_service.get(stream.removeprefix(STREAM_PREFIX))
