"""Announcements of the backend servers beside this daemon, over loopback HTTP."""

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
from wagtailstep.utils.clock import Clock
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
    :param slots: requests that it runs at the same time.
    """

    address: str
    slots: int = DEFAULT_SLOTS


class AnnouncementRoutes:
    """Turn announcements into events, or refuse them with a reason.

    :param dispatch: takes the events.
    :param settings: settings of the daemon.
    :param clock: tells when a refusal was logged last.
    """

    def __init__(
        self, dispatch: Callable[[Any], None], settings: DaemonSettings, clock: Clock
    ) -> None:
        self.dispatch = dispatch
        self.settings = settings
        self.clock = clock
        self.logged_at: dict[str, timedelta] = {}

    async def announce(self, request: Request) -> Response:
        """Take ``PUT /v1/targets/{service}``: announce or renew."""
        try:
            service = parse_service(request)
            announcement = parse_announcement(await request.read())
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
        """Take ``DELETE /v1/targets/{service}?address=host:port``: leave."""
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
        """Answer what was taken and how soon it has to be renewed."""
        lease_ms = self.settings.membership.announce_lease_ms
        body = msgspec.json.encode({"target": target_id, "lease_ms": lease_ms})
        return Response(200, None, Content(b"application/json", body))

    def build_refusal(self, error: BadRequestError) -> Response:
        """Answer why an announcement was refused, and log that once."""
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
        """Log a refusal, unless the same was logged a short while ago."""
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
    :param dispatch: takes :class:`TargetAnnounced` and :class:`TargetWithdrawn`.
    """
    routes = AnnouncementRoutes(dispatch, settings, clock)

    # The router marks its handlers, which only plain functions allow.
    async def announce(request: Request) -> Response:
        return await routes.announce(request)

    async def withdraw(request: Request) -> Response:
        return await routes.withdraw(request)

    app.router.add("PUT", ROUTE, announce)
    app.router.add("DELETE", ROUTE, withdraw)


def parse_service(request: Request) -> str:
    """Return the service in the path.

    :raises BadRequestError: if it is not a name.
    """
    service = (request.route_values or {}).get("service", "")
    if not _SERVICE.match(service):
        raise BadRequestError(
            f"service {service!r} is not allowed; use up to 64 letters, digits, "
            "dots, dashes and underscores"
        )
    return service


def parse_announcement(body: bytes | None) -> Announcement:
    """Read the body of an announcement.

    :raises BadRequestError: if it is not JSON or has a wrong or unknown key.
    """
    if body is not None and len(body) > MAX_BODY_BYTES:
        raise BadRequestError(
            f"body of {len(body)} bytes; {MAX_BODY_BYTES} are allowed", 413
        )
    try:
        return msgspec.json.decode(body or b"", type=Announcement)
    except msgspec.ValidationError as error:
        raise BadRequestError(
            f"{error}; give address (host:port) and slots (1 to {MAX_SLOTS})"
        ) from error
    except msgspec.DecodeError as error:
        raise BadRequestError(f"body is not JSON: {error}") from error


def check_address(address: str, settings: DaemonSettings) -> None:
    """Refuse an address that is wrong or not of this instance.

    :raises BadRequestError: if it is refused.
    """
    match = _ADDRESS.match(address)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise BadRequestError(f"address {address!r} is not allowed; give host:port")
    local_hosts = {
        address_setting.rpartition(":")[0]
        for address_setting in (settings.gate_address, settings.peer_address)
    }
    if match["host"] not in local_hosts and not is_loopback(match["host"]):
        raise BadRequestError(
            f"address {address!r} belongs to another instance; announce it to the "
            "daemon beside it",
            403,
        )


def is_loopback(host: str) -> bool:
    """Tell whether a host name or IP number means this instance."""
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def check_slots(slots: int) -> None:
    """Refuse a number of slots that no backend server has.

    :raises BadRequestError: if it is refused.
    """
    if not 1 <= slots <= MAX_SLOTS:
        raise BadRequestError(
            f"slots {slots} is not allowed; give a number from 1 to {MAX_SLOTS}"
        )
