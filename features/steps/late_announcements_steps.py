"""Steps for announcements that arrive late or twice."""

from datetime import timedelta

from behave import given, then, when

from wagtailstep.models.departures import (
    Departure,
    DeparturesSaved,
    SaveDepartures,
)
from wagtailstep.models.events import InstanceWithdrawn, TargetAnnounced, Tick
from wagtailstep.models.fleet import Target, TargetState
from wagtailstep.models.host_routes import (
    HostRoute,
    HostRoutes,
    RouteKind,
    WeightedService,
)
from wagtailstep.models.server_notices import ServerNotices, ServerNoticesReceived
from wagtailstep.models.table import Table

TIMEOUT = timedelta(seconds=4)


@when(
    'process {born:d} of "{target_id}" announces itself with sequence {sequence:d} as '
    '"{state}"'
)
def announce_process(context, born, target_id, sequence, state):
    context.target_id = target_id
    target = Target(
        target_id,
        target_id.partition("/")[0],
        "?",
        "?",
        state=TargetState(state),
        address="127.0.0.1:8000",
    )
    context.effects = context.controller.handle(TargetAnnounced(target, born, sequence))


@given('a table that routes requests to "{service}"')
@when('a table routes requests to "{service}"')
def route_requests(context, service):
    parts = (WeightedService(service),)
    route = HostRoute(
        "r", "book.example", "/a/", RouteKind.SAFE, TIMEOUT, TIMEOUT, 0, 1, parts
    )
    context.board.table = Table(host_routes=HostRoutes([route]))
    context.board.table_known = True
    context.controller.handle(Tick())


@when('{count:d} others announce themselves as "{state}"')
def announce_others(context, count, state):
    for number in range(count):
        target = Target(
            f"odd/i-{number}",
            "odd",
            "?",
            "?",
            state=TargetState(state),
            address=f"127.0.0.1:{9_000 + number}",
        )
        context.controller.handle(TargetAnnounced(target, 1 + number, 1))


@then("the daemon knows at most {count:d} servers")
def check_registrations(context, count):
    assert len(context.controller.registrations.by_target) <= count
    assert len(context.board.local_targets) <= count


@then('the departure of process {born:d} of "{target_id}" is to be recorded')
def check_departure(context, born, target_id):
    (save,) = count_saves(context.effects)
    context.departure = Departure(target_id, born)
    assert context.departure in save.departures, save


@then('instance "{instance_id}" gets its acknowledgement once that is done')
def check_settled(context, instance_id):
    assert not context.controller.is_departure_settled(instance_id)
    context.controller.handle(DeparturesSaved(frozenset({context.departure}), True))
    assert context.controller.is_departure_settled(instance_id)


@when('a response of "{target_id}" says that it leaves')
def say_leaving_in_response(context, target_id):
    notices = ServerNotices(leaving=True)
    context.controller.handle(ServerNoticesReceived(target_id, notices, executed=True))


@when('{count:d} responses of "{target_id}" say that it leaves, and no save succeeds')
def say_leaving_often(context, count, target_id):
    event = ServerNoticesReceived(target_id, ServerNotices(leaving=True), executed=True)
    context.saves = []
    for _ in range(count):
        context.saves += count_saves(context.controller.handle(event))
    context.controller.handle(DeparturesSaved(frozenset(), succeeded=False))


def count_saves(effects):
    return [effect for effect in effects if isinstance(effect, SaveDepartures)]


@then("its departure was saved once, and once again after a second")
def check_saves(context):
    assert len(context.saves) == 1, context.saves
    repeated = []
    for _ in range(12):
        context.clock.advance(timedelta(milliseconds=100))
        repeated += count_saves(context.controller.handle(Tick()))
    assert len(repeated) == 1, repeated


@then('the target "{target_id}" is "{state}"')
def check_target(context, target_id, state):
    target = context.board.targets.get(target_id)
    found = "gone" if target is None else target.state.value
    assert found == state, found


@when('instance "{instance_id}" of "{service}" withdraws at {withdrawn_at:d}')
def withdraw_instance(context, instance_id, service, withdrawn_at):
    context.controller.handle(InstanceWithdrawn(instance_id, service, withdrawn_at))
