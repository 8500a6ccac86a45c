"""HTTP routes for monitoring: readiness and metrics."""

from collections.abc import Callable

from blacksheep import Application, Content, Request, Response

from wagtailstep.models.blackboard import Blackboard

READY_PATH = "/v1/ready"
METRICS_PATH = "/metrics"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def is_ready(blackboard: Blackboard) -> bool:
    """Return whether the daemon can serve requests."""
    return (
        blackboard.table_known and bool(blackboard.targets) and not blackboard.draining
    )


def add_ready_route(app: Application, blackboard: Blackboard) -> None:
    """Add ``GET /v1/ready``, which responds with 200 or 503."""

    async def show_ready(request: Request) -> Response:
        return Response(200 if is_ready(blackboard) else 503)

    app.router.add_get(READY_PATH, show_ready)


def add_metrics_route(app: Application, export_text: Callable[[], bytes]) -> None:
    """Add ``GET /metrics``, which returns metrics in the Prometheus text format."""

    async def show_metrics(request: Request) -> Response:
        return Response(200, None, Content(METRICS_TYPE, export_text()))

    app.router.add_get(METRICS_PATH, show_metrics)
