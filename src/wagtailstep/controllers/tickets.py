"""Tickets: keys that only the daemon that issued them can run, and only once."""

import random

from wagtailstep.controllers.runs import Run, RunBook, make_unknown_error
from wagtailstep.exceptions import BadRequestError, LeavingError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import MemberState
from wagtailstep.models.idempotency import Decision, PassOn, Refuse, Ticket
from wagtailstep.models.request import RequestContext
from wagtailstep.utils.ids import make_id

SERIAL_BITS = 128

_GONE = frozenset({MemberState.DEAD})


class TicketOffice:
    """Issue tickets and decide about requests that carry one.

    A ticket needs no log, no lease and no clock: whoever is not its issuer never
    runs it, and the issuer runs what its memory holds as ready, once. A restarted
    issuer has an empty memory, so it runs none of its older tickets.
    """

    def __init__(
        self, blackboard: Blackboard, rng: random.Random, book: RunBook
    ) -> None:
        self.blackboard = blackboard
        self.rng = rng
        self.book = book

    def issue(self, service: str) -> Ticket:
        """Make a ticket for one request to a service.

        :raises LeavingError: if this daemon is about to exit.
        """
        if self.blackboard.draining:
            raise LeavingError("this daemon is leaving; ask another one for a ticket")
        member = self.blackboard.this_member
        serial = make_id(self.rng, SERIAL_BITS)
        ticket = Ticket(member.daemon_id, member.incarnation, serial)
        self.book.add(Run(str(ticket), service))
        return ticket

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
        return PassOn(ticket.daemon_id)

    def decide_own(
        self, ticket: Ticket, request: RequestContext, fingerprint: str
    ) -> Decision:
        """Decide about a request whose ticket names this daemon."""
        run = self.book.find(str(ticket))
        if run is None:
            return Refuse(make_unknown_error("the issuer has forgotten its ticket"))
        if run.service != request.service:
            return Refuse(
                BadRequestError(
                    f"the ticket is for service {run.service!r}, the request for "
                    f"{request.service!r}; ask for a ticket of the right service"
                )
            )
        return self.book.start(run, request.request_id, fingerprint)
