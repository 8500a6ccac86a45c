"""Reports of the entry on requests, to the log and to the controllers."""

import logging
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from wagtailstep.exceptions import RequestError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.gate import LocalCall, LocalCallFailed
from wagtailstep.models.request import RequestContext, RequestEnded
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.sender import FIRST_FAILURE_STATUS
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)


class EntryReporter:
    """Report on requests, and on calls made by the backend server beside this daemon.

    :param clock: measures the duration of requests.
    :param dispatch: passes events to the controllers.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        dispatch: Callable[[Any], None],
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.dispatch = dispatch

    def record_request(
        self, incoming: IncomingRequest, request: RequestContext
    ) -> None:
        """Record a request after its head was read."""
        if is_local(incoming.caller_ip, self.settings):
            self.dispatch(LocalCall(request.service))

    def record_answer(self, incoming: IncomingRequest, status: int) -> None:
        """Record the status of the response to a request."""
        if status >= FIRST_FAILURE_STATUS and is_local(
            incoming.caller_ip, self.settings
        ):
            refused = status == HTTPStatus.SERVICE_UNAVAILABLE
            self.dispatch(LocalCallFailed(incoming.path, refused))

    def record_end(
        self, request: RequestContext | None, outcome: str, started_at: timedelta
    ) -> None:
        """Record the end of a request.

        :param request: the request, or ``None`` if its head was invalid.
        :param outcome: the status or the reason of the failure.
        :param started_at: monotonic time at which it arrived.
        """
        service = request.service if request is not None else ""
        route = request.route if request is not None else ""
        took = self.clock.monotonic() - started_at
        self.dispatch(RequestEnded(service, route, outcome, took))

    def record_failure(
        self, incoming: IncomingRequest, request_id: str, error: RequestError
    ) -> None:
        """Record a request that gets no response of a backend server."""
        self.record_answer(incoming, error.status)
        log_event(
            LOGGER,
            "request-unanswered",
            request_id=request_id,
            path=incoming.path,
            reason=error.reason,
            verdict=error.verdict.value,
            status=error.status,
            blame=error.blame.value,
            error=str(error),
            table_version=self.blackboard.table.version,
        )


def is_local(peer: str, settings: DaemonSettings) -> bool:
    """Return whether a caller is a process of this instance."""
    local_host = settings.caller_address.rpartition(":")[0]
    return peer == local_host or peer.startswith("127.")
