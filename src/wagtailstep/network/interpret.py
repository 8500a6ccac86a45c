"""Interpretation of a request's headers."""

import hashlib
from datetime import timedelta

from wagtailstep.exceptions import BadRequestError, NoRouteError
from wagtailstep.models import headers
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.headers import find_header
from wagtailstep.models.host_routes import HostRoute
from wagtailstep.models.idempotency import MAX_KEY_LENGTH
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.table import Table

MAX_NAME_LENGTH = 128
MAX_TIMEOUT_MS = 86_400_000

_BOOLEANS = {"?0": False, "?1": True}


def interpret_request(
    incoming: IncomingRequest,
    request_id: str,
    table: Table,
    settings: RequestSettings,
    now: timedelta,
) -> RequestContext:
    """Read what the fleet has to know from a request's head.

    :param request_id: identifier for the request.
    :param now: monotonic time.
    :raises BadRequestError: naming the header, its value and what is allowed.
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
    :param service: the part of the route that takes it.
    :param now: monotonic time.
    :raises BadRequestError: if the time allowed is not a number.
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
        aim_at=now + route.aim if route.aim else None,
    )


def find_route(incoming: IncomingRequest, table: Table) -> HostRoute:
    """Return the route of a request by its host and path.

    :raises NoRouteError: if there is none.
    """
    host = find_header(incoming.headers, "host") or ""
    route = table.host_routes.find(host, incoming.path)
    if route is None:
        raise NoRouteError(f"no route for host {host!r} and this path")
    return route


def read_caller_request_id(incoming: IncomingRequest) -> str:
    """Return the identifier that the caller gave its request.

    :raises BadRequestError: if there is none, or it is too long.
    """
    value = find_header(incoming.headers, headers.REQUEST_ID) or ""
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        allowed = f"1 to {MAX_NAME_LENGTH} characters"
        raise build_header_error(headers.REQUEST_ID, value, allowed)
    return value


def default_route(path: str) -> str:
    """Return the first segment of a path, the route where no header names one."""
    return path.partition("?")[0].lstrip("/").partition("/")[0][:MAX_NAME_LENGTH]


def read_name(incoming: IncomingRequest, name: str, required: bool = False) -> str:
    """Read a header that holds a name; an empty string if it is missing.

    :raises BadRequestError: if the value is too long, or missing and required.
    """
    value = find_header(incoming.headers, name) or ""
    if required and not value:
        raise BadRequestError(f"header {name} is missing; it names the service")
    if len(value) > MAX_NAME_LENGTH:
        raise build_header_error(name, value, f"up to {MAX_NAME_LENGTH} characters")
    return value


def read_boolean(incoming: IncomingRequest, name: str, default: bool) -> bool:
    """Read a header that holds a structured-field boolean.

    :raises BadRequestError: if the value is neither ``?0`` nor ``?1``.
    """
    value = find_header(incoming.headers, name)
    if value is None:
        return default
    if value not in _BOOLEANS:
        raise build_header_error(name, value, "?0 or ?1")
    return _BOOLEANS[value]


def read_timeout_ms(incoming: IncomingRequest, default_ms: int) -> int:
    """Read the time that the caller has left, in milliseconds.

    :raises BadRequestError: if the value is not a whole number in range.
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
    """Read the idempotency key or ticket.

    :raises BadRequestError: if it is empty or too long, or if there are two.
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
    """Make the error for a wrong header."""
    shown = value[:MAX_NAME_LENGTH]
    return BadRequestError(f"header {name} is {shown!r}; allowed: {allowed}")


def fingerprint_request(request: RequestContext, body_start: bytes, length: str) -> str:
    """Return a digest that tells requests under the same key apart.

    :param body_start: the body as far as it is kept for a resend.
    :param length: value of the ``Content-Length`` header, or an empty string.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.account, request.method, request.path, length):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body_start)
    return digest.hexdigest()
