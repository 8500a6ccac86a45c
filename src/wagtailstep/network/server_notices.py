"""Reading of what backend servers say of themselves in response headers."""

import logging
import re
from http import HTTPStatus

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer
from wagtailstep.models.fleet import Target, TargetState
from wagtailstep.models.gate import GateRequest
from wagtailstep.models.headers import (
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_LEAVING,
    SERVER_LIMIT,
    Headers,
    find_header,
)
from wagtailstep.models.server_notices import (
    MIN_RATE_LIMIT_PER_S,
    NO_RATE_LIMIT,
    ServerNotices,
    ServerNoticesForwarded,
    ServerNoticesReceived,
)
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
MAX_LOGGED_CHARACTERS = 40

_DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}", re.ASCII)


def read_server_notices(headers: Headers) -> ServerNotices:
    """Read the notices in the headers of a response.

    Of several limits the lowest counts; those that can't be read are ignored.
    """
    leaving = False
    rates = []
    has_limit = False
    for name, value in headers:
        if name == SERVER_LEAVING:
            leaving = leaving or value.strip() == "1"
        elif name == SERVER_LIMIT:
            has_limit = True
            rates += parse_rate(value)
    if not has_limit:
        return ServerNotices(NO_RATE_LIMIT, leaving)
    return ServerNotices(min(rates, default=None), leaving)


def parse_rate(text: str) -> list[float]:
    """Return the rate limit in a header value, or an empty list."""
    if _DECIMAL.fullmatch(text.strip()):
        return [max(MIN_RATE_LIMIT_PER_S, float(text))]
    excerpt = text[:MAX_LOGGED_CHARACTERS]
    log_event(LOGGER, "server-limit-unreadable", routine=True, text=excerpt)
    return []


def read_received_notices(
    request: GateRequest, answer: Answer, has_request_ids: bool
) -> ServerNoticesReceived | None:
    """Return the event for a response that the gate receives.

    :param has_request_ids: whether backend servers repeat the request's identifier.
    :return: ``None`` if it may be the response of another server or to another request.
    """
    headers = answer.headers
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        return None
    if has_request_ids and find_header(headers, REQUEST_ID) != request.request_id:
        return None
    executed = find_header(headers, NOT_EXECUTED) is None
    notices = read_server_notices(headers)
    return ServerNoticesReceived(request.target_id, notices, executed)


def changes_target(target: Target, notices: ServerNotices) -> bool:
    """Return whether notices differ from what the fleet knows of a target."""
    if notices.leaving and target.state is not TargetState.LEAVING:
        return True
    return notices.rate_limit not in (None, target.rate_limit)


def find_changed_notices(
    board: Blackboard, target: Target, answer: Answer
) -> ServerNoticesForwarded | None:
    """Return the event for a response that the entry passes on, if it says news."""
    notices = read_server_notices(answer.headers)
    known = board.server_notices.get(target.target_id)
    if known is None:
        is_new = notices.leaving or bool(notices.rate_limit)
    else:
        is_new = (
            notices.leaving != known.leaving
            or notices.rate_limit != known.rate_limit
            or known.incarnation != target.incarnation
        )
    return ServerNoticesForwarded(target.target_id, notices) if is_new else None
