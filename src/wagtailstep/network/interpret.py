"""Parsing and validation of the headers of callers' requests."""

import hashlib
from datetime import timedelta

from wagtailstep.exceptions import (
    BadRequestError,
    NoRouteError,
    UnreadableRouteError,
)
from wagtailstep.models import headers
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.headers import find_header
from wagtailstep.models.host_routes import HostRoute, UnreadableRoute
from wagtailstep.models.idempotency import MAX_KEY_LENGTH
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.table import Table

MAX_NAME_LENGTH = 128
MAX_TIMEOUT_MS = 86_400_000
FINGERPRINT_BYTES = 12

_BOOLEANS = {"?0": False, "?1": True}


def interpret_request(
    incoming: IncomingRequest,
    request_id: str,
    table: Table,
    settings: RequestSettings,
    now: timedelta,
) -> RequestContext:
    """Read a request that names its service in a header.

    :param request_id: identifier of the request.
    :param now: monotonic time.
    :raises BadRequestError: if a header is missing or invalid.
    """
    service = read_name(incoming, headers.SERVICE, required=True)
    route = read_name(incoming, headers.ROUTE) or default_route(incoming.path)
    by_method = incoming.method in headers.IDEMPOTENT_METHODS
    idempotent = read_boolean(incoming, headers.IDEMPOTENT, by_method)
    table_route = table.routes.get(f"{service}/{route}")
    timeout_ms = read_timeout_ms(incoming, settings.default_timeout_ms)
    if table_route is not None:
        timeout_ms = min(timeout_ms, table_route.timeout_ms)
    return RequestContext(
        request_id=request_id,
        service=service,
        route=route,
        account=read_name(incoming, headers.ACCOUNT),
        method=incoming.method,
        path=incoming.path,
        idempotent=idempotent,
        idempotency_key=read_key(incoming),
        deadline=now + timedelta(milliseconds=timeout_ms),
        first_sending=read_boolean(incoming, headers.FIRST_SENDING, False),
        relayed=find_header(incoming.headers, headers.RELAYED) is not None,
    )


def interpret_routed_request(
    incoming: IncomingRequest,
    request_id: str,
    route: HostRoute,
    service: str,
    settings: RequestSettings,
    now: timedelta,
) -> RequestContext:
    """Read a request whose route was found by host and path.

    :param route: its route.
    :param service: the service chosen by the route's traffic split.
    :param now: monotonic time.
    :raises BadRequestError: if the timeout header is invalid.
    """
    allowed = timedelta(
        milliseconds=read_timeout_ms(incoming, settings.default_timeout_ms)
    )
    return RequestContext(
        request_id=request_id,
        service=service,
        route=route.name,
        account="",
        method=incoming.method,
        path=incoming.path,
        idempotent=route.kind.idempotent,
        idempotency_key=None,
        deadline=now + min(allowed, route.timeout),
        kind=route.kind,
        aim=route.aim,
        priority=route.priority,
        max_attempts=route.max_attempts,
        aim_deadline=now + route.aim if route.aim else None,
    )


def find_route(incoming: IncomingRequest, table: Table) -> HostRoute:
    """Return the route that matches the host and path of a request.

    :raises NoRouteError: if none matches.
    :raises UnreadableRouteError: if the row that matches could not be read.
    """
    host = find_header(incoming.headers, "host") or ""
    route = table.host_routes.find(host, incoming.path)
    if route is None:
        raise NoRouteError(
            f"no route matches host {host!r} and the path of the request"
        )
    if isinstance(route, UnreadableRoute):
        raise UnreadableRouteError(
            f"the route of host {host!r} and this path is written for a newer release "
            "of this daemon; upgrade it or retry at another daemon"
        )
    return route


def read_caller_request_id(incoming: IncomingRequest) -> str:
    """Return the request identifier from the caller's header.

    :raises BadRequestError: if it is missing or too long.
    """
    value = find_header(incoming.headers, headers.REQUEST_ID) or ""
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        allowed = f"1 to {MAX_NAME_LENGTH} characters"
        raise build_header_error(headers.REQUEST_ID, value, allowed)
    return value


def default_route(path: str) -> str:
    """Return the first path segment, the route of requests without a route header."""
    return path.partition("?")[0].lstrip("/").partition("/")[0][:MAX_NAME_LENGTH]


def read_name(incoming: IncomingRequest, name: str, required: bool = False) -> str:
    """Return the value of a header that holds a name, or ``""`` if it is missing.

    :raises BadRequestError: if the value is too long, or missing though required.
    """
    value = find_header(incoming.headers, name) or ""
    if required and not value:
        raise BadRequestError(f"header {name} is missing; it must name the service")
    if len(value) > MAX_NAME_LENGTH:
        raise build_header_error(name, value, f"up to {MAX_NAME_LENGTH} characters")
    return value


def read_boolean(incoming: IncomingRequest, name: str, default: bool) -> bool:
    """Return the value of a header that holds a structured-field boolean.

    :raises BadRequestError: if the value is neither ``?0`` nor ``?1``.
    """
    value = find_header(incoming.headers, name)
    if value is None:
        return default
    if value not in _BOOLEANS:
        raise build_header_error(name, value, "?0 or ?1")
    return _BOOLEANS[value]


def read_timeout_ms(incoming: IncomingRequest, default_ms: int) -> int:
    """Return the timeout of the request in milliseconds.

    :raises BadRequestError: if the value is not an integer in range.
    """
    name = headers.TIMEOUT_MS
    value = find_header(incoming.headers, name)
    if value is None:
        return default_ms
    if not (value.isascii() and value.isdigit() and len(value) <= 8):
        raise build_header_error(name, value, f"a whole number up to {MAX_TIMEOUT_MS}")
    if int(value) > MAX_TIMEOUT_MS:
        raise build_header_error(name, value, f"a whole number up to {MAX_TIMEOUT_MS}")
    return int(value)


def read_key(incoming: IncomingRequest) -> str | None:
    """Return the idempotency key, which may be a ticket, or ``None`` without one.

    :raises BadRequestError: if it is empty or too long, or if there are several.
    """
    name = headers.IDEMPOTENCY_KEY
    values = [value for key, value in incoming.headers if key == name]
    if not values:
        return None
    if len(values) > 1 or not 0 < len(values[0]) <= MAX_KEY_LENGTH:
        allowed = f"one value of 1 to {MAX_KEY_LENGTH} characters"
        raise build_header_error(name, ", ".join(values), allowed)
    return values[0]


def build_header_error(name: str, value: str, allowed: str) -> BadRequestError:
    """Return the error for an invalid header value, with what is allowed."""
    excerpt = value[:MAX_NAME_LENGTH]
    return BadRequestError(f"header {name} is {excerpt!r}; allowed: {allowed}")


def fingerprint_work(
    request: RequestContext, incoming: IncomingRequest, body: bytes
) -> str:
    """Return a hash that is the same for each arrival of the same request anywhere.

    The service of the instance where it entered is left out, so that arrivals at
    different instances count together.

    :param body: the complete body if it is buffered, else empty; then only the length
        tells bodies apart.
    """
    parts = [request.service, request.method, request.path, request.account]
    for name in ("host", "authorization", "content-length"):
        parts.append(find_header(incoming.headers, name) or "")
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.hexdigest()


def fingerprint_request(request: RequestContext, body_start: bytes, length: str) -> str:
    """Return a hash that tells apart different requests with the same key.

    :param body_start: the buffered start of the body.
    :param length: value of the ``Content-Length`` header, or an empty string.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.account, request.method, request.path, length):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body_start)
    return digest.hexdigest()
