"""Routes of an approved table, selected by host and path."""

import enum
from collections.abc import Iterable, Iterator
from datetime import timedelta

import attrs


class RouteKind(enum.Enum):
    """Whether requests of a route are idempotent.

    ``UPLOAD`` is a non-idempotent route with large request bodies, ``DOWNLOAD`` an
    idempotent one with large responses. ``UNKNOWN`` is any kind that this release does
    not know.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    DOWNLOAD = "download"
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> "RouteKind | None":
        return cls.UNKNOWN if isinstance(value, str) else None

    @property
    def idempotent(self) -> bool:
        """Return whether a request of this kind may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


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
    :param public: whether its requests need no key of a client account.
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
    public: bool = False


@attrs.frozen
class UnreadableRoute:
    """A row of the table that holds a route which this release can't read.

    Its requests are rejected as not run: a shorter prefix may belong to another
    service.

    :param host: as in :class:`HostRoute`; empty if it is unreadable as well.
    :param path_prefix: as in :class:`HostRoute`.
    :param error: what is wrong with the row.
    """

    host: str
    path_prefix: str
    error: str


class HostRoutes:
    """The routes of a table, looked up by host and longest path prefix.

    :param routes: the routes, with those that could not be read.

    Attributes: ``unreadable``, the routes that could not be read.
    """

    def __init__(self, routes: Iterable[HostRoute | UnreadableRoute] = ()) -> None:
        self.by_host: dict[str, dict[str, HostRoute | UnreadableRoute]] = {}
        self.unreadable: list[UnreadableRoute] = []
        for route in routes:
            if isinstance(route, UnreadableRoute):
                self.unreadable.append(route)
            self.by_host.setdefault(route.host, {})[route.path_prefix] = route

    def __bool__(self) -> bool:
        """Return whether there is any route."""
        return bool(self.by_host)

    def __iter__(self) -> Iterator[HostRoute]:
        """Iterate over all readable routes."""
        for routes in self.by_host.values():
            yield from (each for each in routes.values() if isinstance(each, HostRoute))

    def find(self, host: str, path: str) -> HostRoute | UnreadableRoute | None:
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
