"""Tickets: idempotency keys that only the issuing daemon executes, and only once."""

import random
from collections import deque
from datetime import timedelta

import attrs

from wagtailstep.controllers.runs import (
    Run,
    RunState,
    RunStore,
    build_unknown_outcome_error,
)
from wagtailstep.exceptions import BadRequestError, LeavingError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import MemberState
from wagtailstep.models.idempotency import Decision, Refuse, RelayToDaemon, Ticket
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.ids import make_id

SERIAL_BITS = 128

# Unused tickets older than this do not delay a graceful shutdown.
UNUSED_TICKET_GRACE = timedelta(seconds=10)

_DEAD_STATES = frozenset({MemberState.DEAD})
_OPEN_STATES = frozenset({RunState.READY, RunState.RUNNING})


@attrs.frozen
class IssuedTicket:
    """A ticket that this daemon issued.

    :param run_id: the ticket as text, which identifies its run.
    :param issued_at: monotonic time when it was issued.
    """

    run_id: str
    issued_at: timedelta


class TicketIssuer:
    """Issues tickets and decides about requests that carry one.

    A ticket needs no log, lease or clock. Daemons other than the issuer never execute
    its request, and the issuer executes it once, if its run store has the run as
    ready. A restarted issuer starts with an empty store, so it executes no request
    with an earlier ticket.
    """

    def __init__(
        self,
        settings: RequestSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        runs: RunStore,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.runs = runs
        self.issued: deque[IssuedTicket] = deque(maxlen=settings.tickets_kept)

    def issue(self, service: str) -> Ticket:
        """Issue a ticket for one request to a service.

        :raises LeavingError: if this daemon is shutting down.
        """
        if self.blackboard.draining:
            raise LeavingError(
                "this daemon is shutting down; request a ticket from another one"
            )
        member = self.blackboard.this_member
        serial = make_id(self.rng, SERIAL_BITS)
        ticket = Ticket(member.daemon_id, member.incarnation, serial)
        self.runs.add(Run(str(ticket), service))
        self.issued.append(IssuedTicket(str(ticket), self.clock.monotonic()))
        return ticket

    def has_open_tickets(self) -> bool:
        """Return whether the run of a recently issued ticket has not ended.

        If the daemon exits then, the caller's request ends as "may have run". A
        graceful shutdown therefore waits for tickets issued within the last
        ``UNUSED_TICKET_GRACE``.
        """
        oldest = self.clock.monotonic() - UNUSED_TICKET_GRACE
        for issued in reversed(self.issued):
            if issued.issued_at < oldest:
                return False
            run = self.runs.find(issued.run_id)
            if run is not None and run.state in _OPEN_STATES:
                return True
        return False

    def decide(
        self, ticket: Ticket, request: RequestContext, fingerprint: str
    ) -> Decision:
        """Decide about a request that carries a ticket.

        :param fingerprint: digest of the request.
        """
        if ticket.daemon_id == self.blackboard.this_member.daemon_id:
            return self.decide_local(ticket, request, fingerprint)
        if request.relayed:
            return Refuse(
                build_unknown_outcome_error("it was relayed to the wrong daemon")
            )
        issuer = self.blackboard.members.get(ticket.daemon_id)
        if issuer is None or issuer.state in _DEAD_STATES:
            return Refuse(
                build_unknown_outcome_error("the daemon that issued its ticket is gone")
            )
        return RelayToDaemon(ticket.daemon_id)

    def decide_local(
        self, ticket: Ticket, request: RequestContext, fingerprint: str
    ) -> Decision:
        """Decide about a request whose ticket names this daemon."""
        run = self.runs.find(str(ticket))
        if run is None:
            return Refuse(
                build_unknown_outcome_error(
                    "the issuing daemon no longer knows its ticket"
                )
            )
        if run.service != request.service:
            return Refuse(
                BadRequestError(
                    f"the ticket is for service {run.service!r}, the request for "
                    f"{request.service!r}; request a ticket for the right service"
                )
            )
        return self.runs.start(run, request.request_id, fingerprint)
