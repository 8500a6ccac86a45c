"""Steps for tables with many client accounts."""

import json
import random
import subprocess
import sys
from datetime import timedelta

import attrs
import msgspec
from account_keys_steps import TENANT_COLUMNS
from behave import then, when
from benchmarks.soak.fleet import build_configuration

from wagtailstep.controllers.published_table import PublishedTableController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.peer import CompressedMessage, StampedMessage
from wagtailstep.models.published_table import (
    ContinueTableBuild,
    TableBuildDue,
    TableDocument,
    TableDocumentMessage,
    TableDocumentRequest,
    TablePublished,
    TableVersionMessage,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.peer_channel import MAX_MESSAGE_BYTES
from wagtailstep.platform.configuration import build_table
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message


@attrs.define
class BuildHarness:
    """A table controller whose timers are run by hand."""

    controller: PublishedTableController
    steps: int = 0
    in_force: list = attrs.field(factory=list)
    announced: list = attrs.field(factory=list)
    due: int = 0

    def apply(self, effects):
        for effect in effects:
            if isinstance(effect, ContinueTableBuild):
                self.due += 1
            if isinstance(effect, SendToPeer):
                self.announced.append((self.controller.version, effect.message))
        version = self.controller.version
        if version >= 0 and (not self.in_force or self.in_force[-1][0] != version):
            self.in_force.append((version, self.steps))
            self.steps = 0

    def step(self):
        self.due -= 1
        self.steps += 1
        self.apply(self.controller.handle(TableBuildDue()))


def build_large_document(version, count):
    rows = [
        [f"account-{n}", [f"key-{version}-{n}", f"key-{n}"], None, 1.0, 2.0]
        for n in range(count)
    ]
    tenants = {"columns": TENANT_COLUMNS, "rows": rows}
    data = json.loads(build_configuration(version)) | {"tenants": tenants}
    return TableDocument(version, msgspec.json.encode(data))


def create_build_harness(context):
    address = "10.0.0.1:1"
    settings = DaemonSettings("d1", "bole", address, address, address, address)
    members = {name: Member(name, 1, address, address, "bole") for name in ("d1", "d2")}
    board = context.board = Blackboard(members["d1"], members=dict(members))
    clock = ManualClock()
    controller = PublishedTableController(
        settings, board, clock, random.Random(1), build_table
    )
    context.clock = clock
    context.build = BuildHarness(controller)
    return context.build


def finish_build(context, harness):
    while harness.due:
        context.clock.advance(timedelta(milliseconds=200))
        harness.apply(harness.controller.handle(Tick()))
        harness.step()


@when("tables 5, 6 and 7 with {count:d} accounts are published within one step")
def publish_large_tables(context, count):
    harness = create_build_harness(context)
    controller = harness.controller
    context.count = count
    for version in (5, 6, 7, 7):
        document = build_large_document(version, count)
        harness.apply(controller.handle(TablePublished(document, "store")))
        assert harness.due == 1
    assert not context.board.table_known
    finish_build(context, harness)


@when(
    "table {version:d} with {count:d} accounts is in force and another daemon "
    "requests it"
)
def request_large_table(context, version, count):
    harness = create_build_harness(context)
    context.document = build_large_document(version, count)
    event = TablePublished(context.document, "store")
    harness.apply(harness.controller.handle(event))
    finish_build(context, harness)
    request = PeerMessageReceived("d2", TableDocumentRequest(-1))
    context.effects = harness.controller.handle(request)


@then("it is sent compressed already, and the other daemon can read it")
def check_sent_compressed(context):
    (effect,) = context.effects
    assert isinstance(effect.message, CompressedMessage), effect
    found = StampedMessage.from_message(1, effect.message).decode_body()
    document = context.document
    assert found == TableDocumentMessage(document.version, document.data)


@then("a table with {count:d} accounts fits into a control message")
def check_message_size(context, count):
    rng = random.Random(1)
    keys = [f"{rng.getrandbits(128):032x}" for _ in range(2 * count)]
    rows = [
        [f"account-{n}", keys[2 * n : 2 * n + 2], n % 4, 50.0, 100.0]
        for n in range(count)
    ]
    data = msgspec.json.encode({"columns": TENANT_COLUMNS, "rows": rows})
    message = StampedMessage.from_message(1, TableDocumentMessage(1, data))
    assert len(encode_message(message)) < MAX_MESSAGE_BYTES


@then("table 5 and table 7 came into force, each after {steps:d} steps")
def check_steps(context, steps):
    # The first step of table 5 is done when its document is received.
    assert context.build.in_force == [(5, steps - 1), (7, steps)], (
        context.build.in_force
    )


@then("each account of table 7 is found by its key")
def check_all_found(context):
    directory = context.board.table.client_accounts
    assert len(directory) == context.count
    for number in range(context.count):
        for key in (f"key-7-{number}", f"key-{number}"):
            assert directory.find(key).name == f"account-{number}"
        assert directory.find(f"key-5-{number}") is None


@then("no other daemon was told meanwhile that the newest version is in force")
def check_announcements(context):
    messages = [
        message
        for version, message in context.build.announced
        if version == 5 and isinstance(message, TableVersionMessage)
    ]
    assert messages
    assert all(message.known_age_ms < 0 for message in messages), messages


@then("the digest of a key differs between two processes")
def check_digests(context):
    code = (
        "from wagtailstep.accounts.directory import compute_digest;"
        "print(compute_digest('key').hex())"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout
        for _ in range(2)
    }
    assert len(digests) == 2 and all(digests), digests
