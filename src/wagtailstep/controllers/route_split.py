"""Selection of the service for each request of a split route."""

import random

from wagtailstep.models.host_routes import HostRoute


class RouteSplitter:
    """Splits the requests of routes by weight, with smooth weighted round robin.

    Each request adds a part's weight to its credit. The part with the highest credit
    gets the request and pays the total weight. After any number of requests no part
    deviates from its share by more than one request.

    :param rng: makes daemons start at different positions of the same sequence.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.credits: dict[HostRoute, list[float]] = {}

    def choose(self, route: HostRoute) -> str:
        """Return the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        if total <= 0:
            return parts[0].service
        credits = self.credits.get(route)
        if credits is None:
            self.remove_replaced(route)
            credits = [self.rng.random() * part.weight for part in parts]
            self.credits[route] = credits
        for index, part in enumerate(parts):
            credits[index] += part.weight
        chosen = max(range(len(parts)), key=credits.__getitem__)
        credits[chosen] -= total
        return parts[chosen].service

    def remove_replaced(self, route: HostRoute) -> None:
        """Remove the credits of earlier versions of a route."""
        for known in [known for known in self.credits if known.name == route.name]:
            del self.credits[known]
