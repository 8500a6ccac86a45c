"""Tickets: keys that only the daemon that issued them can run, and only once."""

import random
from collections import deque
from datetime import timedelta

import attrs

from wagtailstep.controllers.runs import (
    Run,
    RunState,
    RunStore,
    make_unknown_error,
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

TICKET_GRACE = timedelta(seconds=10)

_GONE = frozenset({MemberState.DEAD})
_OPEN_STATES = frozenset({RunState.READY, RunState.RUNNING})


@attrs.frozen
class IssuedTicket:
    """When a ticket was issued.

    :param run_id: the ticket.
    :param time: monotonic time.
    """

    run_id: str
    time: timedelta


class TicketIssuer:
    """Issue tickets and decide about requests that carry one.

    A ticket needs no log, no lease and no clock: whoever is not its issuer never
    runs it, and the issuer runs what its memory holds as ready, once. A restarted
    issuer has an empty memory, so it runs none of its older tickets.
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
        """Make a ticket for one request to a service.

        :raises LeavingError: if this daemon is about to exit.
        """
        if self.blackboard.draining:
            raise LeavingError("this daemon is leaving; ask another one for a ticket")
        member = self.blackboard.this_member
        serial = make_id(self.rng, SERIAL_BITS)
        ticket = Ticket(member.daemon_id, member.incarnation, serial)
        self.runs.add(Run(str(ticket), service))
        self.issued.append(IssuedTicket(str(ticket), self.clock.monotonic()))
        return ticket

    def has_open_tickets(self) -> bool:
        """Tell whether a ticket issued lately has not been used.

        A daemon that exits then makes its caller's request end as "may have run", so
        a graceful shutdown waits for a while; see ``TICKET_GRACE``.
        """
        oldest = self.clock.monotonic() - TICKET_GRACE
        for issued in reversed(self.issued):
            if issued.time < oldest:
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
            return self.decide_own(ticket, request, fingerprint)
        if request.relayed:
            return Refuse(make_unknown_error("it was passed to the wrong daemon"))
        issuer = self.blackboard.members.get(ticket.daemon_id)
        if issuer is None or issuer.state in _GONE:
            return Refuse(make_unknown_error("the issuer of its ticket is gone"))
        return RelayToDaemon(ticket.daemon_id)

    def decide_own(
        self, ticket: Ticket, request: RequestContext, fingerprint: str
    ) -> Decision:
        """Decide about a request whose ticket names this daemon."""
        run = self.runs.find(str(ticket))
        if run is None:
            return Refuse(make_unknown_error("the issuer has forgotten its ticket"))
        if run.service != request.service:
            return Refuse(
                BadRequestError(
                    f"the ticket is for service {run.service!r}, the request for "
                    f"{request.service!r}; ask for a ticket of the right service"
                )
            )
        return self.runs.start(run, request.request_id, fingerprint)
