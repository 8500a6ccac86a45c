"""Steps for routing by host and path, and for traffic splits."""

import random
from datetime import timedelta

import attrs
from behave import given, then, when

from wagtailstep.controllers.route_split import RouteSplitter
from wagtailstep.models.host_routes import (
    HostRoute,
    HostRoutes,
    RouteKind,
    WeightedService,
)

SECOND = timedelta(seconds=1)


def parse_weighted_services(text):
    parts = []
    for part in text.split():
        service, _, weight = part.partition("*")
        parts.append(WeightedService(service, float(weight or 1)))
    return tuple(parts)


def make_route(name, host, prefix, parts, kind=RouteKind.SAFE):
    return HostRoute(
        name,
        host,
        prefix,
        kind,
        4 * SECOND,
        SECOND,
        0,
        2,
        parse_weighted_services(parts),
    )


@given("host routes")
def set_routes(context):
    context.routes = [make_route(*row.cells) for row in context.table]
    context.splitter = RouteSplitter(random.Random(1))


@then('host "{host}" and path "{path}" select route "{route}"')
def check_route(context, host, path, route):
    found = HostRoutes(context.routes).find(host, path)
    assert (found.name if found else "none") == route, found


@when('{count:d} requests of route "{name}" are distributed over its services')
def split_requests(context, count, name):
    (route,) = [route for route in context.routes if route.name == name]
    context.chosen = [context.splitter.choose(route) for _ in range(count)]


@when('{daemons:d} daemons each distribute {count:d} requests of a route "{parts}"')
def split_at_daemons(context, daemons, count, parts):
    context.route = make_route("shared", "a.test", "/", parts)
    context.chosen = []
    for seed in range(daemons):
        splitter = RouteSplitter(random.Random(seed))
        context.chosen += [splitter.choose(context.route) for _ in range(count)]


@then("their shares differ from the weights by at most {limit:g}")
def check_shares(context, limit):
    total = sum(part.weight for part in context.route.parts)
    for part in context.route.parts:
        share = context.chosen.count(part.service) / len(context.chosen)
        assert abs(share - part.weight / total) <= limit, (part, share)


@then('service "{service}" received nothing')
def check_nothing_received(context, service):
    assert service not in context.chosen


@when('the weighted services of route "{name}" become "{parts}"')
def change_weights(context, name, parts):
    context.routes = [
        attrs.evolve(route, parts=parse_weighted_services(parts))
        if route.name == name
        else route
        for route in context.routes
    ]


@then('of any {span:d} consecutive requests "{service}" receives {low:d} to {high:d}')
def check_split(context, span, service, low, high):
    for start in range(len(context.chosen) - span + 1):
        received = context.chosen[start : start + span].count(service)
        assert low <= received <= high, (start, received)
