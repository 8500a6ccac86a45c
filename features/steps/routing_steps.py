"""Steps for the routing controller and its admission limits."""

import random
from datetime import timedelta

import attrs
from behave import given, then, when

from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import NoTargetError, OverloadedError, RequestError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.fleet import (
    Member,
    MemberState,
    Target,
    TargetHealth,
    TargetState,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import BackendServerRow, RouteRow, ServiceRow
from wagtailstep.utils.clock import ManualClock

ADDRESS = "127.0.0.1:0"


def make_settings(daemon_id="d1", zone="bole"):
    return DaemonSettings(daemon_id, zone, ADDRESS, ADDRESS, ADDRESS, ADDRESS)


def make_member(daemon_id, zone="bole", state=MemberState.ALIVE, incarnation=1):
    return Member(daemon_id, incarnation, ADDRESS, ADDRESS, zone, state=state)


def make_target(number, service="contracts", zone="bole"):
    return Target(f"{service}/10.0.0.{number}:80", service, f"g{number}", zone)


def make_request(context, route="lookup", account="", service="contracts"):
    context.request_count = getattr(context, "request_count", 0) + 1
    return RequestContext(
        request_id=f"r{context.request_count}",
        service=service,
        route=route,
        account=account,
        method="GET",
        path=f"/{route}",
        idempotent=True,
        idempotency_key=None,
        deadline=timedelta(seconds=30),
    )


def parse_numbers(text):
    return [int(number) for number in text.split(",")]


@given('a daemon in zone "{zone}" that knows {count:d} targets of service "contracts"')
def set_daemon(context, zone, count):
    board = Blackboard(make_member("d1", zone))
    for number in range(1, count + 1):
        target = make_target(number, zone=zone)
        board.targets[target.target_id] = target
        board.members[target.daemon_id] = make_member(target.daemon_id, zone)
    context.board = board
    context.clock = ManualClock()
    context.routing = RoutingController(
        make_settings(zone=zone), board, context.clock, random.Random(7)
    )


def target_id_of(number):
    return make_target(number).target_id


def change_target(context, number, **changes):
    target_id = target_id_of(number)
    board = context.board
    board.targets[target_id] = attrs.evolve(board.targets[target_id], **changes)


def set_weight(context, number, weight):
    target_id = target_id_of(number)
    row = BackendServerRow(target_id, weight)
    context.board.table.backend_servers[target_id] = row


def get_health(context, number):
    return context.board.health.setdefault(target_id_of(number), TargetHealth())


@given("the weight of target {number:d} is {weight:g}")
def set_target_weight(context, number, weight):
    set_weight(context, number, weight)


@given("{count:d} attempts are in flight at target {number:d}")
def set_in_flight(context, count, number):
    for _ in range(count):
        context.routing.start_attempt(target_id_of(number))


@given('target {number:d} is "{state}"')
def set_state(context, number, state):
    if state in ("leaving", "starting"):
        change_target(context, number, state=TargetState(state))
    elif state == "ejected":
        context.board.ejected.add(target_id_of(number))
    elif state == "without weight":
        set_weight(context, number, 0)
    else:
        dead_member = make_member(f"g{number}", state=MemberState.DEAD)
        context.board.members[f"g{number}"] = dead_member


@given('target {number:d} is in zone "{zone}"')
def set_zone(context, number, zone):
    change_target(context, number, availability_zone=zone)


@given('targets {numbers} are in zone "{zone}"')
def set_zones(context, numbers, zone):
    for number in parse_numbers(numbers):
        set_zone(context, number, zone)


@given("targets of other zones are selected with {share:g} of their weight")
def set_other_zone_share(context, share):
    settings = context.routing.settings
    requests = attrs.evolve(settings.requests, other_zone_share=share)
    context.routing.settings = attrs.evolve(settings, requests=requests)


@given('the floor of "contracts" is {floor:g}')
def set_floor(context, floor):
    row = ServiceRow("contracts", floor_weight=floor)
    context.board.table.services["contracts"] = row


@given("targets {numbers} are avoided")
def set_avoided(context, numbers):
    for number in parse_numbers(numbers):
        get_health(context, number).avoided = True


@given("target {number:d} has the higher penalty")
def set_penalty(context, number):
    get_health(context, number).penalty = 5.0


@given("target {number:d} has ramp {ramp:g}")
def set_ramp(context, number, ramp):
    get_health(context, number).ramp = ramp


@given("targets {numbers} are ejected")
def set_ejected(context, numbers):
    context.board.ejected.update(map(target_id_of, parse_numbers(numbers)))


@when("{count:d} picks are made with nothing in flight")
@when("{count:d} picks are made with nothing else in flight")
def make_picks(context, count):
    routing = context.routing
    context.picks = [routing.pick("contracts").target_id for _ in range(count)]


@given("{count:d} picks were made before")
def make_earlier_picks(context, count):
    make_picks(context, count)


@when("{count:d} picks are made for requests that already tried target {number:d}")
def make_avoiding_picks(context, count, number):
    tried = {target_id_of(number)}
    routing = context.routing
    context.picks = [routing.pick("contracts", tried).target_id for _ in range(count)]


@then("target {number:d} gets between {low:d} and {high:d} percent of the picks")
def check_share(context, number, low, high):
    share = 100 * context.picks.count(target_id_of(number)) / len(context.picks)
    assert low <= share <= high, share


@then("all picks found a target")
def check_found(context):
    assert len(context.picks) == 100


@then('a pick is refused with verdict "{verdict}" and a Retry-After time')
def check_no_target(context, verdict):
    try:
        context.routing.pick("contracts")
    except NoTargetError as error:
        assert error.verdict.value == verdict
        assert error.retry_after > timedelta()
    else:
        raise AssertionError("a target was picked")


@given('the table limits "contracts" to {limit:d} requests at once')
def set_service_limit(context, limit):
    row = ServiceRow("contracts", concurrency_limit=limit)
    context.board.table.services["contracts"] = row


@given('the table limits route "{route}" of "contracts" to {limit:d} request at once')
def set_route_limit(context, route, limit):
    route_id = f"contracts/{route}"
    context.board.table.routes[route_id] = RouteRow(route_id, limit)


@given('each client account of "contracts" may send {rate:g} requests per second')
def set_account_limit(context, rate):
    row = ServiceRow("contracts", account_rate_limit=rate)
    context.board.table.services["contracts"] = row


def admit_all(context, requests):
    context.admitted, context.refused = [], []
    for request in requests:
        try:
            context.routing.admit(request)
            context.admitted.append(request)
        except RequestError as error:
            context.refused.append(error)


@when("{count:d} requests are admitted")
def admit_requests(context, count):
    admit_all(context, [make_request(context) for _ in range(count)])


@when('{count:d} requests of route "{route}" are admitted')
def admit_route_requests(context, count, route):
    admit_all(context, [make_request(context, route) for _ in range(count)])


@when('client account "{account}" sends {count:d} requests at once')
def admit_account_requests(context, account, count):
    admit_all(context, [make_request(context, account=account) for _ in range(count)])


@when("{count:d} client accounts send one request each")
def admit_accounts(context, count):
    admit_all(context, [make_request(context, account=f"a{n}") for n in range(count)])


@when("requests for {count:d} unknown services are admitted")
def admit_services(context, count):
    admit_all(context, [make_request(context, service=f"s{n}") for n in range(count)])


@then('{count:d} of them is refused as overloaded with verdict "{verdict}"')
@then('{count:d} of them are refused as overloaded with verdict "{verdict}"')
def check_refused(context, count, verdict):
    assert len(context.refused) == count
    for error in context.refused:
        assert isinstance(error, OverloadedError)
        assert error.verdict.value == verdict
        assert error.retry_after > timedelta()


@then("after one release another request is admitted")
def check_release(context):
    context.routing.release(context.admitted.pop())
    context.routing.admit(make_request(context))


@then('a request of route "{route}" is admitted')
def check_other_route(context, route):
    context.routing.admit(make_request(context, route))


@then('after the time in Retry-After client account "{account}" is admitted again')
def check_account_readmitted(context, account):
    context.clock.advance(context.refused[-1].retry_after)
    context.routing.admit(make_request(context, account=account))


@then('client account "{account}" is admitted')
def check_account(context, account):
    context.routing.admit(make_request(context, account=account))


@then("rate limiters of at most {count:d} of them are kept")
def check_rate_limiters(context, count):
    assert len(context.admitted) == 5000
    assert len(context.routing.account_limiter.buckets) <= count


@then("the targets of at most {count:d} services are requested")
def check_requested(context, count):
    assert 0 < len(context.board.requested_services) <= count


@then("none of them is requested any more after 11 minutes")
def check_expiry(context):
    context.clock.advance(timedelta(minutes=9))
    context.routing.handle(Tick())
    assert context.board.requested_services
    context.clock.advance(timedelta(minutes=2))
    context.routing.handle(Tick())
    assert not context.board.requested_services
    context.routing.admit(make_request(context))


@given("{count:d} targets of {services:d} other services are known")
def add_other_targets(context, count, services):
    for number in range(count):
        target = make_target(number, service=f"other{number % services}")
        context.board.targets[target.target_id] = target


@when("one pick is made and the examined targets are counted")
def count_examined_targets(context):
    examined = []
    weight = context.board.table.weight
    context.board.table = RecordingTable(examined, weight)
    context.routing.pick("contracts")
    context.examined = examined


class RecordingTable:
    """Records the targets whose weight is read."""

    def __init__(self, examined, weight):
        self.examined = examined
        self.real_weight = weight

    def weight(self, target_id):
        self.examined.append(target_id)
        return self.real_weight(target_id)


@then("at most {count:d} targets were examined")
def check_examined(context, count):
    assert 0 < len(set(context.examined)) <= count


@then("removing a target removes it from its service's index")
def check_removal(context):
    board = context.board
    del board.targets[target_id_of(1)]
    assert target_id_of(1) not in board.targets.of_service("contracts")
    assert len(board.targets_of("contracts")) == 3
    board.targets.pop(make_target(5, service="other5").target_id)
    assert len(board.targets) == 19_002


@when(
    "picks are made for {duration_ms:d} ms while target {number:d} changes between "
    "avoided and usable"
)
def pick_while_changing(context, duration_ms, number):
    context.reports = []
    context.routing.requested_services.record_request("contracts")
    for step in range(duration_ms // 100):
        health = TargetHealth(avoided=step % 2 == 0)
        context.board.health[target_id_of(number)] = health
        context.routing.pick("contracts")
        context.reports += context.routing.handle(Tick())
        context.clock.advance(timedelta(milliseconds=100))


@then('the first report says "{text}"')
def check_first_report(context, text):
    fields = context.reports[0].fields
    assert fields.pop("service") == "contracts"
    assert " ".join(f"{k}={v}" for k, v in fields.items()) == text, fields


@then("there are {count:d} reports")
def check_report_count(context, count):
    assert len(context.reports) == count, context.reports
