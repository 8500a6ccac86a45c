"""Which service of a split route takes a request."""

import random

from wagtailstep.models.host_routes import HostRoute


class RouteSplitter:
    """Share the requests of split routes by weight, evenly also in short spans.

    Each part gathers credit with each request; the one with most takes it and pays.
    After any number of requests no part is off its share by more than one request.

    :param rng: lets daemons start at different places of the same pattern.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.credits: dict[HostRoute, list[float]] = {}

    def choose(self, route: HostRoute) -> str:
        """Return the service that takes the next request of a route."""
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
        """Forget an earlier version of a route."""
        for known in [known for known in self.credits if known.name == route.name]:
            del self.credits[known]
