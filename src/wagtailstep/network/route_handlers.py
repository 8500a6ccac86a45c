"""Handlers of an application's routes."""

from collections.abc import Awaitable, Callable

from blacksheep import Request, Response

Handler = Callable[[Request], Awaitable[Response]]


def wrap_handler(method: Handler) -> Handler:
    """Wrap a method in a function, because BlackSheep sets attributes on handlers."""

    async def handler(request: Request) -> Response:
        return await method(request)

    return handler
