"""HTTP applications of a daemon's ports: proxied requests and own endpoints."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import msgspec
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router

from wagtailstep.exceptions import RequestError
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.headers import RELAYED, find_header
from wagtailstep.network.exchange_app import CLOSE_HEADER, ExchangeApp, Handler
from wagtailstep.network.problems import build_error_answer

DAEMON_PATH_PREFIX = b"/.wagtailstep/"


@attrs.frozen
class DaemonEndpoints:
    """Handlers of the daemon's own endpoints.

    :param issue_ticket: returns a new ticket for a service, or raises
        :class:`wagtailstep.exceptions.RequestError`.
    :param describe_status: returns the JSON content of ``GET /.wagtailstep/status``.
    :param describe_metrics: returns that of ``GET /.wagtailstep/metrics``.
    :param list_events: returns that of ``GET /.wagtailstep/events``.
    """

    issue_ticket: Callable[[str], Awaitable[str]]
    describe_status: Callable[[], Any]
    describe_metrics: Callable[[], Any]
    list_events: Callable[[], Any]


@attrs.frozen
class IssuedTicket:
    """Response body of ``POST /.wagtailstep/tickets/{service}``.

    :param ticket: value for the ``Idempotency-Key`` header.
    """

    ticket: str


class CallerApp:
    """ASGI application of the port for callers.

    Paths under ``/.wagtailstep/`` are the daemon's own endpoints and are served by
    BlackSheep; all other requests are proxied to a service.

    :param handle: handles requests for services, as the entry does.
    :param endpoints: handlers of the daemon's own endpoints.
    """

    def __init__(self, handle: Handler, endpoints: DaemonEndpoints) -> None:
        self.exchange_app = ExchangeApp(handle)
        self.daemon_app = create_daemon_application(endpoints)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["raw_path"].startswith(DAEMON_PATH_PREFIX):
            await self.daemon_app(scope, receive, self.wrap_send(send))
            return
        await self.exchange_app(scope, receive, send)

    def wrap_send(self, send: Any) -> Any:
        """Return a function that sends responses of the daemon's own endpoints."""
        if not self.exchange_app.closing:
            return send

        async def send_and_close(message: Any) -> None:
            if message["type"] == "http.response.start":
                headers = [*message["headers"], CLOSE_HEADER]
                message = {**message, "headers": headers}
            await send(message)

        return send_and_close

    def announce_closing(self) -> None:
        """Send ``Connection: close`` with every response from now on."""
        self.exchange_app.announce_closing()


def create_daemon_application(endpoints: DaemonEndpoints) -> Application:
    """Return the BlackSheep application of the daemon's own endpoints."""
    router = Router()

    async def issue_ticket(request: Request) -> Response:
        service = request.route_values["service"]
        try:
            ticket = await endpoints.issue_ticket(service)
        except RequestError as error:
            return await render_answer(build_error_answer(error))
        return render_json(IssuedTicket(ticket), 201)

    async def show_status(request: Request) -> Response:
        return render_json(endpoints.describe_status())

    async def show_metrics(request: Request) -> Response:
        return render_json(endpoints.describe_metrics())

    async def show_events(request: Request) -> Response:
        return render_json(endpoints.list_events())

    router.add_post("/.wagtailstep/tickets/{service}", issue_ticket)
    router.add_get("/.wagtailstep/status", show_status)
    router.add_get("/.wagtailstep/metrics", show_metrics)
    router.add_get("/.wagtailstep/events", show_events)
    return Application(router=router)


def render_json(value: Any, status: int = 200) -> Response:
    """Return a JSON response that must not be cached."""
    content = Content(b"application/json", msgspec.json.encode(value))
    return Response(status, [(b"cache-control", b"no-store")], content)


async def render_answer(answer: Answer) -> Response:
    """Convert a problem document into a BlackSheep response."""
    body = b"".join([chunk async for chunk in answer.body])
    headers = [
        (name.encode(), value.encode())
        for name, value in answer.headers
        if name not in ("content-type", "content-length")
    ]
    content = Content(b"application/problem+json", body)
    return Response(answer.status, headers, content)


def create_gate_port_handler(gate: Handler, entry: Handler) -> Handler:
    """Return the handler of the port for other daemons.

    :param gate: handles requests for the backend server beside this daemon.
    :param entry: handles requests that another daemon relayed because this daemon
        issued their idempotency key.
    """

    def handle(incoming: IncomingRequest) -> Awaitable[Answer]:
        relayed = find_header(incoming.headers, RELAYED) is not None
        if relayed:
            return entry(attrs.evolve(incoming, from_daemon=True))
        return gate(incoming)

    return handle
