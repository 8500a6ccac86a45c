"""HTTP routes by which local backend servers register with this daemon."""

import ipaddress
import logging
import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
from blacksheep import Application, Content, Request, Response

from wagtailstep.exceptions import BadRequestError
from wagtailstep.models.events import TargetAnnounced, TargetWithdrawn
from wagtailstep.models.fleet import Target
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.route_handlers import wrap_handler
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import DECODE_FAILURES
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)

ROUTE = "/v1/targets/{service}"
DEFAULT_SLOTS = 4
MAX_SLOTS = 1_024
MAX_PORT = 65_535
MAX_BODY_BYTES = 4_096
MAX_LOGGED_REFUSALS = 256
REFUSAL_LOG_INTERVAL = timedelta(minutes=10)

_ADDRESS = re.compile(r"^(?P<host>[A-Za-z0-9.-]+):(?P<port>[0-9]{1,5})$")
_SERVICE = re.compile(r"^[A-Za-z0-9._-]{1,64}$")


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of an announcement.

    :param address: ``host:port`` of the backend server.
    :param slots: number of requests that it can run concurrently.
    """

    address: str
    slots: int = DEFAULT_SLOTS


class AnnouncementRoutes:
    """Validate announcements and dispatch them as events.

    :param dispatch: called with each event.
    :param settings: settings of the daemon.
    :param clock: limits how often the same refusal is logged.
    """

    def __init__(
        self, dispatch: Callable[[Any], None], settings: DaemonSettings, clock: Clock
    ) -> None:
        self.dispatch = dispatch
        self.settings = settings
        self.clock = clock
        self.logged_at: dict[str, timedelta] = {}

    async def announce(self, request: Request) -> Response:
        """Handle ``PUT /v1/targets/{service}``: register or renew a target."""
        try:
            service = parse_service(request)
            announcement = parse_announcement(
                await read_limited_body(request, MAX_BODY_BYTES)
            )
            check_address(announcement.address, self.settings)
            check_slots(announcement.slots)
        except BadRequestError as error:
            return self.build_refusal(error)
        target = Target(
            target_id=f"{service}/{announcement.address}",
            service=service,
            daemon_id=self.settings.daemon_id,
            availability_zone=self.settings.availability_zone,
            slots=announcement.slots,
        )
        self.dispatch(TargetAnnounced(target))
        return self.build_confirmation(target.target_id)

    async def withdraw(self, request: Request) -> Response:
        """Handle ``DELETE /v1/targets/{service}?address=host:port``: withdraw it."""
        try:
            service = parse_service(request)
            address = "".join(request.query.get("address") or ())
            check_address(address, self.settings)
        except BadRequestError as error:
            return self.build_refusal(error)
        target_id = f"{service}/{address}"
        self.dispatch(TargetWithdrawn(target_id))
        return self.build_confirmation(target_id)

    def build_confirmation(self, target_id: str) -> Response:
        """Return the response that names the target and the length of its lease."""
        lease_ms = self.settings.membership.announce_lease_ms
        body = msgspec.json.encode({"target": target_id, "lease_ms": lease_ms})
        return Response(200, None, Content(b"application/json", body))

    def build_refusal(self, error: BadRequestError) -> Response:
        """Return the problem document for a refusal, and log the refusal."""
        self.log_refusal(str(error))
        problem = {
            "type": "about:blank",
            "title": "announcement refused",
            "status": error.status,
            "detail": str(error),
        }
        content = Content(b"application/problem+json", msgspec.json.encode(problem))
        return Response(error.status, None, content)

    def log_refusal(self, detail: str) -> None:
        """Log a refusal unless the same one was logged within the interval."""
        now = self.clock.monotonic()
        last = self.logged_at.get(detail)
        if last is not None and now - last < REFUSAL_LOG_INTERVAL:
            return
        if len(self.logged_at) >= MAX_LOGGED_REFUSALS:
            del self.logged_at[next(iter(self.logged_at))]
        self.logged_at[detail] = now
        log_event(LOGGER, "announcement-refused", logging.WARNING, detail=detail)


def add_announcement_routes(
    app: Application,
    dispatch: Callable[[Any], None],
    settings: DaemonSettings,
    clock: Clock,
) -> None:
    """Add the routes for announcements to an application.

    :param app: application that listens on ``settings.announce_address``.
    :param dispatch: called with :class:`TargetAnnounced` and
        :class:`TargetWithdrawn` events.
    """
    routes = AnnouncementRoutes(dispatch, settings, clock)

    app.router.add("PUT", ROUTE, wrap_handler(routes.announce))
    app.router.add("DELETE", ROUTE, wrap_handler(routes.withdraw))


async def read_limited_body(request: Request, max_bytes: int) -> bytes:
    """Read the body of a request from a local backend server.

    :raises BadRequestError: if it is too long; the rest is not read.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise BadRequestError(f"the body has more than {max_bytes} bytes", 413)
    return b"".join(chunks)


def parse_service(request: Request) -> str:
    """Return the service named in the path.

    :raises BadRequestError: if it is not a valid service name.
    """
    service = (request.route_values or {}).get("service", "")
    if not _SERVICE.match(service):
        raise BadRequestError(
            f"invalid service name {service!r}; use 1 to 64 letters, digits, "
            "dots, dashes and underscores"
        )
    return service


def parse_announcement(body: bytes | None) -> Announcement:
    """Parse the body of an announcement.

    :raises BadRequestError: if it is not JSON, or has an invalid or unknown key.
    """
    try:
        return msgspec.json.decode(body or b"", type=Announcement)
    except msgspec.ValidationError as error:
        raise BadRequestError(
            f"{error}; give address (host:port) and slots (1 to {MAX_SLOTS})"
        ) from error
    except DECODE_FAILURES as error:
        raise BadRequestError(f"body is not valid JSON: {error}") from error


def check_address(address: str, settings: DaemonSettings) -> None:
    """Check that an address is valid and belongs to this instance.

    :raises BadRequestError: if it is not valid or belongs to another instance.
    """
    match = _ADDRESS.match(address)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise BadRequestError(f"invalid address {address!r}; give host:port")
    local_hosts = {
        address_setting.rpartition(":")[0]
        for address_setting in (settings.gate_address, settings.peer_address)
    }
    if match["host"] not in local_hosts and not is_loopback(match["host"]):
        raise BadRequestError(
            f"address {address!r} belongs to another instance; announce it to the "
            "daemon on that instance",
            403,
        )


def is_loopback(host: str) -> bool:
    """Return whether a host name or IP address is a loopback address."""
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def check_slots(slots: int) -> None:
    """Check that a number of slots is within the allowed range.

    :raises BadRequestError: if it is not.
    """
    if not 1 <= slots <= MAX_SLOTS:
        raise BadRequestError(
            f"invalid number of slots {slots}; give a number from 1 to {MAX_SLOTS}"
        )
