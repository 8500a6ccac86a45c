"""Steps for tables that are published as complete documents."""

import random
from datetime import timedelta

from behave import given, then, when
from host_routes_steps import make_route

from wagtailstep.controllers.published_table import PublishedTableController
from wagtailstep.exceptions import DecodeError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.host_routes import HostRoutes
from wagtailstep.models.published_table import (
    TableDocument,
    TableDocumentMessage,
    TablePublished,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import ManualClock

TICK = timedelta(milliseconds=100)


def read_document(document):
    if document.data != b"good":
        raise DecodeError("not a table")
    routes = HostRoutes([make_route("sign", "a.test", "/", "contracts")])
    return Table(version=document.version, host_routes=routes)


@given("{count:d} daemons that follow published tables")
def create_daemons(context, count):
    context.clock = ManualClock()
    context.without_pushes = set()
    members = {
        f"d{i}": Member(f"d{i}", 1, f"127.0.0.1:{7000 + i}", "127.0.0.1:1", "bole")
        for i in range(count)
    }
    context.boards = []
    context.daemons = []
    for index, (name, member) in enumerate(members.items()):
        address = member.peer_address
        settings = DaemonSettings(
            name, "bole", "127.0.0.1:1", "127.0.0.1:2", address, "127.0.0.1:4"
        )
        board = Blackboard(member, members=dict(members))
        rng = random.Random(index)
        context.boards.append(board)
        context.daemons.append(
            PublishedTableController(settings, board, context.clock, rng, read_document)
        )


@given("daemon {index:d} receives no pushed table")
def drop_pushes(context, index):
    context.without_pushes.add(index)
    context.pushes_enabled = False


def deliver(context, sender, effects):
    """Deliver messages; drop pushes to daemons that only receive replies."""
    for effect in effects:
        if not isinstance(effect, SendToPeer):
            continue
        index = int(effect.address.rpartition(":")[2]) - 7000
        is_push = isinstance(effect.message, TableDocumentMessage)
        if (
            index in context.without_pushes
            and is_push
            and index not in context.requesters
        ):
            continue
        if sender in context.without_pushes:
            context.requesters.add(sender)
        event = PeerMessageReceived(f"d{sender}", effect.message)
        deliver(context, index, context.daemons[index].handle(event))


@when("daemon {index:d} reads version {version:d} from the store")
def read_version(context, index, version):
    handle_document(context, index, TableDocument(version, b"good"))


@when("daemon {index:d} reads an unreadable version {version:d} from the store")
def read_unreadable_version(context, index, version):
    handle_document(context, index, TableDocument(version, b"bad"))


def handle_document(context, index, document):
    context.requesters = set()
    event = TablePublished(document, "store")
    deliver(context, index, context.daemons[index].handle(event))


@when("{seconds:d} s pass for all daemons")
def pass_time(context, seconds):
    for _ in range(timedelta(seconds=seconds) // TICK):
        context.clock.advance(TICK)
        for index, daemon in enumerate(context.daemons):
            deliver(context, index, daemon.handle(Tick()))


@then("all daemons have version {version:d} in force")
def check_all(context, version):
    found = [board.table.version for board in context.boards]
    assert found == [version] * len(found), found


@then("daemon {index:d} has version {version:d} in force")
def check_one(context, index, version):
    board = context.boards[index]
    assert board.table_known
    assert board.table.version == version, board.table.version


@then('daemon {index:d} requests the targets of service "{service}"')
def check_requested(context, index, service):
    assert service in context.boards[index].requested_services
