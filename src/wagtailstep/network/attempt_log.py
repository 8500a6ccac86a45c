"""Log lines about the attempts at a request and their end."""

import logging
from datetime import timedelta

from wagtailstep.controllers.retries import RetryDenial
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Target
from wagtailstep.network.exchanges import Exchange
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger("wagtailstep.network.sender")
CALLER_LEFT = "caller-left"
INTERNAL_ERROR = "internal-error"


class AttemptLog:
    """Logs resends and ends of requests with what the decisions were based on.

    :param blackboard: source of the table's version.
    :param clock: source of monotonic time.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        self.blackboard = blackboard
        self.clock = clock

    def record_end(
        self,
        exchange: Exchange,
        outcome: str,
        target: Target | None = None,
        denial: RetryDenial | None = None,
    ) -> None:
        """Log how a request ended; the end of a hedge is logged elsewhere.

        :param target: the target whose response was passed on.
        :param denial: why it was not sent again after a failure.
        """
        if exchange.is_hedge:
            return
        request = exchange.request
        left = max(timedelta(), request.deadline - self.clock.monotonic())
        log_event(
            LOGGER,
            "request-ended",
            routine=outcome == "status-200",
            request_id=request.request_id,
            service=request.service,
            route=request.route,
            outcome=outcome,
            target=target.target_id if target is not None else "",
            standing=target.standing.name.lower() if target is not None else "",
            tried=",".join(sorted(exchange.tried)),
            attempts=exchange.attempts,
            sent=exchange.sent,
            gates_full=len(exchange.expected_waits),
            left_ms=left // timedelta(milliseconds=1),
            table_version=self.blackboard.table.version,
            no_retry=denial or "",
        )

    def record_resend(self, exchange: Exchange, target: Target, reason: str) -> None:
        """Log that a request is sent to another target.

        :param target: the target of the attempt that failed.
        """
        log_event(
            LOGGER,
            "request-resent",
            request_id=exchange.request.request_id,
            service=exchange.request.service,
            target=target.target_id,
            reason=reason,
            attempts=exchange.attempts,
            sent=exchange.sent,
        )
