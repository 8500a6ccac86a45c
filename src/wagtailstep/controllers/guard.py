"""Keeps guarded requests from running twice.

The entry asks :meth:`DuplicateGuard.begin` before it runs a guarded request (one
that is not idempotent and has a key) and says :meth:`DuplicateGuard.finish` when the
run has ended. Both return effects for the runtime. The runtime passes each
:class:`~wagtailstep.models.idempotency.RequestDecided` effect, also those that
:meth:`DuplicateGuard.handle` returns, to ``EntryService.settle``. It reads a
stream as soon as an append to it has ended, so that claims are decided quickly.
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
        """Take one event and return effects."""
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
        claims = self.find_claims_of_stream(event.stream)
        return claims.read(event.records) if claims is not None else []

    @handle.register
    def _(self, event: LogGap) -> list[Any]:
        claims = self.find_claims_of_stream(event.stream)
        return claims.skip_gap(event.oldest_offset) if claims is not None else []

    @handle.register
    def _(self, event: LogAppendFinished) -> list[Any]:
        for claims in self.claims_by_service.values():
            if claims.appender.append_id == event.append_id:
                return claims.settle_append(event)
        return []

    def begin(self, request: RequestContext, fingerprint: str) -> GuardOutcome:
        """Decide about a guarded request.

        :param fingerprint: digest of method, path, client account and body.
        :return: the decision; after :class:`~wagtailstep.models.idempotency.Wait`
            the real one comes as an effect, unless :meth:`abandon` is called.
        :raises BadRequestError: if the key looks like a ticket and isn't one.
        """
        ticket = parse_ticket(request.idempotency_key)
        if ticket is not None:
            return GuardOutcome(self.tickets.decide(ticket, request, fingerprint))
        claims = self.find_claims(request.service)
        decision, effects = claims.begin(request, fingerprint)
        return GuardOutcome(decision, tuple(effects))

    def finish(
        self, run_id: str, verdict: Verdict, answer: StoredAnswer | None = None
    ) -> list[Any]:
        """End a run that :meth:`begin` or an effect allowed.

        :param verdict: how it ended; ``NOT_RUN`` only as a fact.
        :param answer: its whole answer, if it is small enough to keep.
        """
        run = self.runs.find(run_id)
        if run is None:
            return []
        decided = self.runs.finish(run, verdict, answer)
        if run.state is RunState.READY and run.claim is not None:
            return [*decided, *self.find_claims(run.service).finish(run)]
        return list(decided)

    def abandon(self, request: RequestContext) -> None:
        """Forget a request that was told to wait and has been given up."""
        claims = self.claims_by_service.get(request.service)
        if claims is not None:
            claims.abandon(request)
        run = self.find_run(request)
        if run is not None and request.request_id in run.waiting:
            run.waiting.remove(request.request_id)

    def knows_not_run(self, request: RequestContext) -> bool:
        """Tell whether no earlier sending of a guarded request has run, as a fact."""
        run = self.find_run(request)
        return run is not None and run.state is RunState.READY

    def find_run(self, request: RequestContext) -> Run | None:
        """Return the run that this daemon remembers for a guarded request."""
        if parse_ticket(request.idempotency_key) is not None:
            return self.runs.find(request.idempotency_key)
        key = digest_key(request.account, request.idempotency_key)
        return self.runs.find(f"{request.service}/{key.hex()}")

    def find_claims(self, service: str) -> ServiceClaims:
        """Return the claims of a service; the first call makes the claims."""
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

    def find_claims_of_stream(self, stream: str) -> ServiceClaims | None:
        """Return the claims that follows a stream, or ``None``."""
        if not stream.startswith(STREAM_PREFIX):
            return None
        return self.claims_by_service.get(stream.removeprefix(STREAM_PREFIX))
