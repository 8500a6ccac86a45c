"""Routes that callers reach by host and path, as an approved table holds them."""

import enum
from collections.abc import Iterable
from datetime import timedelta

import attrs


class RouteKind(enum.Enum):
    """What may be repeated on a route.

    ``UPLOAD`` is a non-idempotent route with large bodies.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def idempotent(self) -> bool:
        """Tell whether a request of this kind may run more than once."""
        return self is RouteKind.SAFE


@attrs.frozen
class WeightedService:
    """One service that takes a share of a route's requests.

    :param service: name of the service.
    :param weight: its share, relative to the other parts.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class HostRoute:
    """One route.

    :param name: name of the route; unique.
    :param host: value of the ``Host`` header, without a port, in lower case.
    :param path_prefix: begins and ends with a slash.
    :param kind: what may be repeated.
    :param timeout: longest time that a caller is kept waiting.
    :param aim: time within which an answer is of full use to the caller.
    :param priority: rank among the routes of a service; 0 goes first.
    :param max_attempts: targets that one request may be sent to.
    :param parts: services that share the requests; at least one.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: timedelta
    aim: timedelta
    priority: int
    max_attempts: int
    parts: tuple[WeightedService, ...]


class HostRoutes:
    """The routes of a table, found by host and longest path prefix.

    :param routes: the routes.
    """

    def __init__(self, routes: Iterable[HostRoute] = ()) -> None:
        self.by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.path_prefix] = route

    def __bool__(self) -> bool:
        """Tell whether there is any route."""
        return bool(self.by_host)

    def __iter__(self) -> Iterable[HostRoute]:
        """Iterate over all routes."""
        for routes in self.by_host.values():
            yield from routes.values()

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route of a request, or ``None`` if there is none.

        :param host: value of the ``Host`` header; a port is ignored.
        :param path: path, perhaps with a query string.
        """
        routes = self.by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        # Cutting the path at its slashes costs its depth, not the number of routes.
        prefix = path.partition("?")[0]
        while prefix:
            prefix = prefix[: prefix.rfind("/") + 1]
            route = routes.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None

    def services(self) -> set[str]:
        """Return the services that the routes lead to."""
        return {part.service for route in self for part in route.parts}
