"""Whether this daemon takes requests, for those who send it some."""

from blacksheep import Application, Request, Response

from wagtailstep.models.blackboard import Blackboard

READY_PATH = "/v1/ready"


def is_ready(blackboard: Blackboard) -> bool:
    """Tell whether requests that arrive now can be served."""
    return (
        blackboard.table_known and bool(blackboard.targets) and not blackboard.draining
    )


def add_ready_route(app: Application, blackboard: Blackboard) -> None:
    """Answer ``GET /v1/ready`` with 200 or 503."""

    async def show_ready(request: Request) -> Response:
        return Response(200 if is_ready(blackboard) else 503)

    app.router.add_get(READY_PATH, show_ready)
