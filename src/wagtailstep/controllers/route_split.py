"""Selection of the service for each request of a split route."""

import random

from wagtailstep.models.host_routes import HostRoute

# Steps of the sequence among which a daemon starts. Weights are usually percentages,
# so a hundred steps contain each part by its weight.
START_POSITIONS = 100


class RouteSplitter:
    """Splits the requests of routes by weight, with smooth weighted round robin.

    Each request adds a part's weight to its credit. The part with the highest credit
    gets the request and pays the total weight. After any number of requests no part
    deviates from its share by more than one request.

    A daemon may get only a few requests of a route. It therefore starts at a random
    step of the sequence: then each single request goes to a part with a probability
    equal to the part's share, and the shares hold over all daemons together.

    :param rng: source of the starting positions.
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
            credits = [0.0] * len(parts)
            for _ in range(self.rng.randrange(START_POSITIONS)):
                advance(credits, route, total)
            self.credits[route] = credits
        return parts[advance(credits, route, total)].service

    def remove_replaced(self, route: HostRoute) -> None:
        """Remove the credits of earlier versions of a route."""
        for known in [known for known in self.credits if known.name == route.name]:
            del self.credits[known]


def advance(credits: list[float], route: HostRoute, total: float) -> int:
    """Go one step on in a route's sequence and return the index of the chosen part.

    :param credits: credit of each part; updated in place.
    :param total: sum of the weights.
    """
    for index, part in enumerate(route.parts):
        credits[index] += part.weight
    chosen = max(range(len(credits)), key=credits.__getitem__)
    credits[chosen] -= total
    return chosen
