"""Steps for routes by host and path."""

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


def read_parts(text):
    parts = []
    for word in text.split():
        service, _, weight = word.partition("*")
        parts.append(WeightedService(service, float(weight or 1)))
    return tuple(parts)


def make_route(name, host, prefix, parts, kind=RouteKind.SAFE):
    return HostRoute(
        name, host, prefix, kind, 4 * SECOND, SECOND, 0, 2, read_parts(parts)
    )


@given("host routes")
def set_routes(context):
    context.routes = [make_route(*row.cells) for row in context.table]
    context.splitter = RouteSplitter(random.Random(1))


@then('host "{host}" and path "{path}" lead to route "{route}"')
def check_route(context, host, path, route):
    found = HostRoutes(context.routes).find(host, path)
    assert (found.name if found else "none") == route, found


@when('{count:d} requests of route "{name}" are split')
def split_requests(context, count, name):
    (route,) = [route for route in context.routes if route.name == name]
    context.chosen = [context.splitter.choose(route) for _ in range(count)]


@when('the parts of route "{name}" become "{parts}"')
def change_parts(context, name, parts):
    context.routes = [
        attrs.evolve(route, parts=read_parts(parts)) if route.name == name else route
        for route in context.routes
    ]


@then('in any {span:d} of them in a row service "{service}" takes {low:d} to {high:d}')
def check_shares(context, span, service, low, high):
    for start in range(len(context.chosen) - span + 1):
        taken = context.chosen[start : start + span].count(service)
        assert low <= taken <= high, (start, taken)
