"""Steps for tables that are published as complete documents."""

import random
from datetime import timedelta

from behave import given, then, when
from host_routes_steps import make_route

from wagtailstep.controllers.published_table import PublishedTableController
from wagtailstep.exceptions import DecodeError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    FollowTable,
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    StoreEraRead,
    Tick,
)
from wagtailstep.models.fleet import Member
from wagtailstep.models.host_routes import HostRoutes
from wagtailstep.models.peer import StampedMessage
from wagtailstep.models.published_table import (
    TableDocument,
    TableDocumentMessage,
    TablePublished,
    TableReadConfirmed,
    TableVersionMessage,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message

TICK = timedelta(milliseconds=100)
# Ticks between two reads of a daemon that follows the table.
TICKS_PER_READ = 8


def read_document(document):
    if document.data.replace(b"good", b""):
        raise DecodeError("not a table")
    routes = HostRoutes([make_route("sign", "a.test", "/", "contracts")])
    return Table(version=document.version, host_routes=routes)


@given("{count:d} daemons that follow published tables")
def create_daemons(context, count):
    create_daemons_in_zones(context, count, 1)


@given("{count:d} daemons in {zones:d} zones that follow published tables")
def create_daemons_in_zones(context, count, zones):
    context.clock = ManualClock()
    context.without_announcements = set()
    context.documents = []
    context.ticks = 0
    context.requesters = set()
    context.records = []
    members = {
        f"d{i}": Member(
            f"d{i}", 1, f"127.0.0.1:{7000 + i}", "127.0.0.1:1", f"zone-{i % zones}"
        )
        for i in range(count)
    }
    context.boards = []
    context.settings = []
    context.daemons = []
    context.followers = set(range(count))
    for index, (name, member) in enumerate(members.items()):
        address = member.peer_address
        settings = DaemonSettings(
            *(name, member.availability_zone),
            *("127.0.0.1:1", "127.0.0.1:2", address, "127.0.0.1:4"),
        )
        board = Blackboard(member, members=dict(members), log_reachable=True)
        rng = random.Random(index)
        context.boards.append(board)
        context.settings.append(settings)
        context.daemons.append(
            PublishedTableController(settings, board, context.clock, rng, read_document)
        )


@given("daemon {index:d} receives no announced version")
def drop_announcements(context, index):
    context.without_announcements.add(index)


def deliver(context, sender, effects):
    """Deliver messages, except announcements that a daemon doesn't receive.

    It still receives the replies to its own announcements.
    """
    for effect in effects:
        if isinstance(effect, FollowTable):
            update = (
                context.followers.add if effect.active else context.followers.discard
            )
            update(sender)
        if isinstance(effect, RecordEvent):
            context.records.append((sender, effect))
        if not isinstance(effect, SendToPeer):
            continue
        index = int(effect.address.rpartition(":")[2]) - 7000
        message = effect.message
        if isinstance(message, TableDocumentMessage):
            context.documents.append(message)
        announces = isinstance(message, TableVersionMessage)
        is_reply = index in context.requesters
        if announces and index in context.without_announcements and not is_reply:
            continue
        if sender in context.without_announcements:
            context.requesters.add(sender)
        event = PeerMessageReceived(f"d{sender}", message)
        deliver(context, index, context.daemons[index].handle(event))


@when("daemon {index:d} reads version {version:d} from the store")
def read_version(context, index, version):
    handle_document(context, index, TableDocument(version, b"good"))


@when("daemon {index:d} reads version {version:d} of {size:d} bytes from the store")
def read_large_version(context, index, version, size):
    handle_document(context, index, TableDocument(version, b"good" * (size // 4)))


@when("all daemons read version {version:d} of {size:d} bytes from the store")
def read_everywhere(context, version, size):
    context.requesters = set()
    event = TablePublished(TableDocument(version, b"good" * (size // 4)), "store")
    effects = [daemon.handle(event) for daemon in context.daemons]
    for index, sent in enumerate(effects):
        deliver(context, index, sent)


@when("daemon {index:d} receives a corrupt version {version:d} from daemon {sender:d}")
def receive_corrupt(context, index, version, sender):
    message = TableDocumentMessage(version, b"not a table")
    event = PeerMessageReceived(f"d{sender}", message)
    context.daemons[index].handle(event)


@when("the followers read version {version:d} from the store")
def read_at_followers(context, version):
    for index in sorted(context.followers):
        read_version(context, index, version)


@then(
    "each of versions {first:d} to {last:d} is everywhere once the followers have read "
    "it"
)
def check_announcements(context, first, last):
    assert len(context.followers) < len(context.daemons), context.followers
    late = {}
    for version in range(first, last + 1):
        read_at_followers(context, version)
        behind = [i for i, d in enumerate(context.daemons) if d.version < version]
        if behind:
            late[version] = behind
    assert not late, late


@when("no follower can reach the store any more")
def lose_store(context):
    for index in context.followers:
        context.boards[index].log_reachable = False


@when("no daemon can reach the store any more")
def lose_store_everywhere(context):
    for board in context.boards:
        board.log_reachable = False


@then(
    "at most {count:d} daemons of each zone that can reach the store follow the table"
)
def check_reaching_followers(context, count):
    zones = dict.fromkeys(b.this_member.availability_zone for b in context.boards)
    for zone in zones:
        found = [
            index
            for index in context.followers
            if context.boards[index].this_member.availability_zone == zone
            and context.boards[index].log_reachable
        ]
        assert 1 <= len(found) <= count, (zone, found)


@when("the followers that can reach the store read version {version:d}")
def read_at_reaching_followers(context, version):
    for index in sorted(context.followers):
        if context.boards[index].log_reachable:
            read_version(context, index, version)


@when("all daemons can reach the store again")
def regain_store(context):
    for board in context.boards:
        board.log_reachable = True


@when("one follower reads that the store is in era {era:d}")
def read_era(context, era):
    index = min(context.followers)
    context.daemons[index].handle(StoreEraRead(era))


@then("all daemons know era {era:d}")
def check_era(context, era):
    assert {board.store_era for board in context.boards} == {era}


@then("{count:d} daemons of each zone follow the table")
def check_followers_of_zones(context, count):
    zones = {}
    for index in context.followers:
        zone = context.boards[index].this_member.availability_zone
        zones[zone] = zones.get(zone, 0) + 1
    assert set(zones.values()) == {count}, zones


@then("all daemons follow the table")
def check_all_follow(context):
    assert len(context.followers) == len(context.daemons), context.followers


@when(
    "daemon {index:d} receives version {version:d} from daemon {sender:d}, which has "
    "an older release"
)
def receive_old_version_message(context, index, version, sender):
    event = PeerMessageReceived(f"d{sender}", TableVersionMessage(version))
    context.answers = context.daemons[index].handle(event)


@when("daemon {index:d} receives version {version:d} from daemon {sender:d}")
def receive_version_message(context, index, version, sender):
    event = PeerMessageReceived(f"d{sender}", TableVersionMessage(version, 0))
    deliver(context, index, context.daemons[index].handle(event))


@then("the log of daemon {index:d} has {kind} with {field} {value}")
def check_log(context, index, kind, field, value):
    found = [e.fields for at, e in context.records if at == index and e.kind == kind]
    assert any(fields.get(field) == value for fields in found), found


@when("daemon {index:d} starts again")
def restart_daemon(context, index):
    board = context.boards[index]
    context.boards[index] = Blackboard(board.this_member, members=dict(board.members))
    parts = (context.settings[index], context.boards[index], context.clock)
    context.followers.add(index)
    context.daemons[index] = PublishedTableController(
        *parts, random.Random(index), read_document
    )


@then("the knowledge of each daemon is {least:d} to {most:d} ms old")
def check_ages(context, least, most):
    ages = [daemon.freshness.measure_age_ms() for daemon in context.daemons]
    assert least <= min(ages) <= max(ages) <= most, ages


@when(
    "daemon {index:d} reads version {version:d} from the store and announces it to "
    "nobody"
)
def read_silently(context, index, version):
    event = TablePublished(TableDocument(version, b"good"), "store")
    context.daemons[index].handle(event)


@when("{seconds:d} s pass for daemon {index:d}")
def pass_time_for_one(context, seconds, index):
    for _ in range(timedelta(seconds=seconds) // TICK):
        context.clock.advance(TICK)
        deliver(context, index, context.daemons[index].handle(Tick()))


@when("daemon {index:d} announces its version")
def announce(context, index):
    effects = context.daemons[index].handle(TableReadConfirmed(timedelta()))
    context.announced = [effect.message for effect in effects]


@then(
    "a read that ends is announced to {count:d} daemons by followers, to none by others"
)
def check_announced_reads(context, count):
    for index, daemon in enumerate(context.daemons):
        sent = len(daemon.handle(TableReadConfirmed(timedelta())))
        assert sent == (count if index in context.followers else 0), (index, sent)


@then("daemon {index:d} told no age of its knowledge")
def check_no_age(context, index):
    assert {message.known_age_ms for message in context.announced} == {-1}


@then("daemon {index:d} told the age of its knowledge")
def check_age_told(context, index):
    assert {message.known_age_ms for message in context.announced} == {0}


@then("daemon {index:d} answered with the document only")
def check_document_only(context, index):
    (answer,) = context.answers
    assert isinstance(answer.message, TableDocumentMessage), answer


@then("no document was sent")
def check_no_document(context):
    assert not context.documents, len(context.documents)


@then("at most {count:d} documents of at most {size:d} bytes were sent")
def check_documents(context, count, size):
    assert len(context.documents) <= count, len(context.documents)
    for each in context.documents:
        assert len(encode_message(StampedMessage.from_message(1, each))) <= size


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
        context.ticks += 1
        for index, daemon in enumerate(context.daemons):
            deliver(context, index, daemon.handle(Tick()))
            is_due = context.ticks % TICKS_PER_READ == index % TICKS_PER_READ
            if is_due and index in context.followers:
                confirm_read(context, index)


def confirm_read(context, index):
    """End a read without a new version, if a daemon reaches the store and has all."""
    newest = max(daemon.version for daemon in context.daemons)
    daemon = context.daemons[index]
    if context.boards[index].log_reachable and daemon.version == newest:
        event = TableReadConfirmed(context.clock.monotonic())
        deliver(context, index, daemon.handle(event))


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
