"""Reading of callers' requests with the table in force."""

import random

from wagtailstep.controllers.route_split import RouteSplitter
from wagtailstep.exceptions import NotReadyError
from wagtailstep.models import headers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.headers import find_header, read_int_header
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.account_headers import (
    identify_account,
    remove_untrusted_headers,
    set_account,
)
from wagtailstep.network.bodies import build_body_size_error
from wagtailstep.network.interpret import (
    find_route,
    interpret_request,
    interpret_routed_request,
    read_caller_request_id,
)
from wagtailstep.utils.clock import Clock


def check_body_length(incoming: IncomingRequest, max_bytes: int) -> None:
    """Check the announced length of a request body.

    :param max_bytes: the limit; 0 for none.
    :raises BodyTooLargeError: if the body is longer.
    """
    length = read_int_header(incoming.headers, "content-length") or 0
    if max_bytes and length > max_bytes:
        raise build_body_size_error(max_bytes)


class RequestReader:
    """Read the heads of callers' requests.

    A request that names no service is routed by its host and path.

    :param blackboard: provides the table in force.
    """

    def __init__(
        self,
        settings: RequestSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.splitter = RouteSplitter(rng)

    def read_request_id(self, incoming: IncomingRequest) -> str:
        """Return the caller's identifier of its request, or ``""`` if none is expected.

        :raises BadRequestError: if it is expected and missing or too long.
        """
        if not self.settings.caller_request_ids:
            return ""
        return read_caller_request_id(incoming)

    def check_ready(self) -> None:
        """Check that the table, and so its limits for requests, is known.

        :raises NotReadyError: if this daemon has no table yet.
        """
        if not self.blackboard.table_known:
            raise NotReadyError("this daemon has not read the table yet; retry later")

    def read(self, incoming: IncomingRequest, request_id: str) -> RequestContext:
        """Read a request's head.

        :raises NotReadyError: if routing it needs the table, which is not known yet.
        :raises RequestError: if a header is invalid, no route matches, the body is
            too long, or the request needs the key of a client account and has none.
        """
        now = self.clock.monotonic()
        table = self.blackboard.table
        check_body_length(incoming, table.max_body_bytes)
        always_by_host = self.settings.caller_request_ids
        service = find_header(incoming.headers, headers.SERVICE)
        names_service = service is not None and not always_by_host
        if not names_service:
            # Only the table tells whether there are routes by host.
            self.check_ready()
        route = None
        if not names_service and (always_by_host or table.host_routes):
            route = find_route(incoming, table)
        account = identify_account(incoming, table.client_accounts, route)
        incoming = remove_untrusted_headers(incoming, table.client_accounts)
        if route is None:
            request = interpret_request(incoming, request_id, table, self.settings, now)
        else:
            service = self.splitter.choose(route)
            request = interpret_routed_request(
                incoming, request_id, route, service, self.settings, now
            )
        return set_account(request, account)
