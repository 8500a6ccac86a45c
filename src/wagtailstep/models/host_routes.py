"""Routes of an approved table, selected by host and path."""

import enum
from collections.abc import Iterable
from datetime import timedelta

import attrs


class RouteKind(enum.Enum):
    """Whether requests of a route are idempotent.

    ``UPLOAD`` is a non-idempotent route with large request bodies.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def idempotent(self) -> bool:
        """Return whether a request of this kind may run more than once."""
        return self is RouteKind.SAFE


@attrs.frozen
class WeightedService:
    """A service that gets a share of a route's requests.

    :param service: name of the service.
    :param weight: its share, relative to the weights of the route's other services.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class HostRoute:
    """One route.

    :param name: name of the route; unique.
    :param host: value of the ``Host`` header, without a port, in lower case.
    :param path_prefix: begins and ends with a slash.
    :param kind: whether its requests are idempotent.
    :param timeout: longest time that a caller has to wait for a response.
    :param aim: latency objective, the time within which callers should get a response.
    :param priority: rank among the routes of a service; 0 goes first.
    :param max_attempts: highest number of targets that one request is sent to.
    :param parts: services that the requests are split between; at least one.
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
    """The routes of a table, looked up by host and longest path prefix.

    :param routes: the routes.
    """

    def __init__(self, routes: Iterable[HostRoute] = ()) -> None:
        self.by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.path_prefix] = route

    def __bool__(self) -> bool:
        """Return whether there is any route."""
        return bool(self.by_host)

    def __iter__(self) -> Iterable[HostRoute]:
        """Iterate over all routes."""
        for routes in self.by_host.values():
            yield from routes.values()

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route that matches a request, or ``None``.

        :param host: value of the ``Host`` header; a port is ignored.
        :param path: path, with or without a query string.
        """
        routes = self.by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        # Look up each prefix that ends in a slash, longest first: the cost depends on
        # the depth of the path instead of the number of routes.
        prefix = path.partition("?")[0]
        while prefix:
            prefix = prefix[: prefix.rfind("/") + 1]
            route = routes.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None

    def services(self) -> set[str]:
        """Return the services that the routes send requests to."""
        return {part.service for route in self for part in route.parts}
