"""Steps for announcements of backend servers."""

import asyncio
import functools
import json
import logging
import random
from datetime import timedelta

from behave import given, then, when
from blacksheep import Application, Request, Router
from blacksheep.contents import StreamedContent

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import TargetAnnounced, TargetWithdrawn, Tick
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.announcements import LOGGER, add_announcement_routes
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import ManualClock

SETTINGS = DaemonSettings(
    "d1", "bole", "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004"
)


@given("a controller of announcements")
def create_controller(context):
    member = Member("d1", 1, "127.0.0.1:7003", "127.0.0.1:7002", "bole")
    context.board = Blackboard(member)
    context.clock = ManualClock()
    context.controller = AnnouncementController(
        SETTINGS, context.board, context.clock, random.Random(1)
    )


@when('its backend server "{target_id}" announces itself')
def announce(context, target_id):
    context.target_id = target_id
    target = Target(target_id, target_id.partition("/")[0], "?", "?")
    context.controller.handle(TargetAnnounced(target))
    incarnation = context.board.targets[target_id].incarnation
    context.first_incarnation = getattr(context, "first_incarnation", incarnation)


@when("its backend server withdraws")
def withdraw(context):
    context.controller.handle(TargetWithdrawn(context.target_id))


@when("the daemon drains")
def drain(context):
    context.board.draining = True
    context.controller.handle(Tick())


@when("{seconds:d} seconds pass without an announcement")
def advance_clock(context, seconds):
    for _ in range(seconds * 10):
        context.clock.advance(timedelta(milliseconds=100))
        context.controller.handle(Tick())


@then('the local target is "{state}"')
def check_state(context, state):
    target = context.board.targets.get(context.target_id)
    found = "gone" if target is None else target.state.value
    assert found == state, found
    assert (context.target_id in context.board.local_targets) == (state != "gone")


@then("its incarnation rose {count:d} times")
def check_incarnation(context, count):
    incarnation = context.board.targets[context.target_id].incarnation
    assert incarnation - context.first_incarnation == count


class LogCollector(logging.Handler):
    """Collects the messages of log records."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@given("an announcement route of a daemon at 127.0.0.1")
def create_route(context):
    context.app = Application(router=Router())
    context.events = []
    add_announcement_routes(context.app, context.events.append, SETTINGS, ManualClock())
    asyncio.run(context.app.start())
    context.collector = LogCollector()
    LOGGER.addHandler(context.collector)
    context.add_cleanup(LOGGER.removeHandler, context.collector)


@when('"{method}" "{path}" is sent with {body}')
def send_request(context, method, path, body):
    request = Request(method, path.encode(), [])
    if body != "nothing":
        provider = functools.partial(yield_body, body.encode())
        content = StreamedContent(b"application/json", provider)
        request = request.with_content(content)
    context.response = asyncio.run(context.app.handle(request))


@then("the answer has status {status:d} and {count:d} announcements were accepted")
def check_announced(context, status, count):
    assert context.response.status == status, context.response.status
    found = [event for event in context.events if isinstance(event, TargetAnnounced)]
    assert len(found) == count
    assert all(e.target.target_id == "contracts/127.0.0.1:8000" for e in found)


@then("the answer has status {status:d} and {count:d} withdrawals were accepted")
def check_withdrawn(context, status, count):
    assert context.response.status == status, context.response.status
    expected = [TargetWithdrawn("contracts/127.0.0.1:8000")] * count
    assert [e for e in context.events if isinstance(e, TargetWithdrawn)] == expected


@then('the answer is a problem that names "{name}"')
def check_problem(context, name):
    assert context.response.content.type == b"application/problem+json"
    problem = json.loads(context.response.content.body)
    assert name in problem["detail"], problem
    assert problem["status"] == context.response.status


@then("it was logged {count:d} times")
def check_logged(context, count):
    assert len(context.collector.lines) == count, context.collector.lines
