"""Steps for the keys of client accounts, with complete daemons in virtual time."""

import asyncio
import contextlib
import json
import logging
import random
import re
import subprocess
import sys
from datetime import timedelta
from unittest import mock

import attrs
import detangle
import msgspec
from behave import given, then, when
from benchmarks.soak.fleet import ROUTE_HOST, SoakFleet, build_configuration

from wagtailstep.controllers.published_table import PublishedTableController
from wagtailstep.exceptions import RequestError
from wagtailstep.fakes.faults import Faults
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import find_header
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
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.network import http_protocol
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.memory_channel import InMemoryPeerChannel
from wagtailstep.network.peer_channel import MAX_MESSAGE_BYTES
from wagtailstep.network.problems import yield_body
from wagtailstep.platform.configuration import build_table
from wagtailstep.utils.clock import LoopClock, ManualClock
from wagtailstep.utils.codec import encode_message

HOSTS = 3
WARMUP_S = 6
TENANT_COLUMNS = ["name", "api-keys", "priority", "rate-per-s", "burst"]
TENANT = "wagtailstep-tenant"
PRIORITY = "wagtailstep-account-priority"
CREDENTIAL = "wagtailstep-credential"
PLANTED = "planted-key"
RESPONSE = re.compile(rb"HTTP/1\.1 (\d+)[^\r]*\r\n(.*?)\r\n\r\n", re.DOTALL)


def build_tenants(table):
    rows = []
    for row in table:
        numbers = [json.loads(row[name] or "null") for name in TENANT_COLUMNS[2:]]
        rows.append([row["name"], row["api-keys"].split(), *numbers])
    return {"columns": TENANT_COLUMNS, "rows": rows}


@given("a table with the client accounts")
def set_accounts(context):
    context.tenants = build_tenants(context.table)
    context.publishes = True


@given('the keys of account "{name}" are {keys}')
def set_keys(context, name, keys):
    for row in context.tenants["rows"]:
        if row[0] == name:
            row[1] = json.loads(keys)


@given('the client account "{name}" is the row {row}')
def replace_account(context, name, row):
    rows = context.tenants["rows"]
    context.tenants["rows"] = [
        json.loads(row) if each[0] == name else each for each in rows
    ]


@given("the table has an empty list of client accounts")
def empty_accounts(context):
    context.tenants["rows"] = []


@given("the table has no list of client accounts")
def remove_accounts(context):
    context.tenants = None


@given("no table has been published")
def publish_nothing(context):
    context.publishes = False


def revoke(tenants, key):
    """Return the list of accounts without a key."""
    rows = [
        [row[0], [each for each in row[1] if each != key], *row[2:]]
        for row in tenants["rows"]
    ]
    return {**tenants, "rows": rows}


class AccountFleet(SoakFleet):
    """Daemons whose table has client accounts; records what they send."""

    def __init__(self, tenants, publishes=True):
        super().__init__(HOSTS, random.Random(1))
        self.tenants = tenants
        self.publishes = publishes
        self.sent = []
        self.answers = []

    def publish_again(self):
        if not self.publishes:
            return
        data = json.loads(build_configuration(self.version))
        routes = data["routes"]
        routes["columns"].append("public")
        name, host, _, *rest = routes["rows"][0]
        routes["rows"].append(["open", host, "/open/", *rest, True])
        if self.tenants is not None:
            data["tenants"] = self.tenants
        record = msgspec.json.encode(data)
        self.store.put("keyed.op", "config", record)

    def watch(self):
        """Record the requests that daemons send to gates, entries and servers."""
        for host in self.hosts:
            client = host.daemon.client
            client.send = self.build_recording_send(client.send)
        self.client = HttpClient(RequestSettings(), LoopClock())

    def build_recording_send(self, send):
        async def record_and_send(request):
            self.sent.append(request)
            return await send(request)

        return record_and_send

    def sent_to_servers(self, key):
        """Return the requests with this name that were sent to backend servers."""
        return [
            request
            for request in self.sent
            if request.address.endswith(":9000")
            and find_header(request.headers, "fake-key") == key
        ]

    async def call(self, name, path, headers=(), host="d1", work_ms=10, left_ms=4_000):
        """Send a request to a daemon and return the status and headers."""
        given_headers = (
            ("host", ROUTE_HOST),
            ("fake-key", name),
            ("fake-work-ms", str(work_ms)),
            ("wagtailstep-timeout-ms", str(left_ms)),
        )
        unsafe = path.startswith("/sign")
        body = yield_body(b"{}") if unsafe else None
        length = (("content-length", "2"),) if unsafe else ()
        request = HttpRequest(
            address=f"{host}:8001",
            method="POST" if unsafe else "GET",
            path=path,
            headers=(*given_headers, *length, *headers),
            body=body,
            idempotent=not unsafe,
            time_left=timedelta(milliseconds=left_ms + 1_000),
        )
        try:
            answer = await self.client.send(request)
            data = await read_complete_body(answer)
        except RequestError as error:
            self.answers.append(f"{name} {error}")
            return 0, ()
        self.answers.append(f"{name} {answer.status} {answer.headers} {data}")
        return answer.status, answer.headers


def run_fleet(context, scenario):
    """Run a scenario on a started fleet."""

    async def main():
        fleet = context.fleet = AccountFleet(context.tenants, context.publishes)
        await fleet.start()
        await asyncio.sleep(WARMUP_S)
        fleet.watch()
        await scenario(fleet)

    logging.disable(logging.CRITICAL)
    try:
        detangle.run(main, seed=1, max_time=600.0)
    finally:
        logging.disable(logging.NOTSET)


def encode_key(key):
    return ((CREDENTIAL, key.encode().decode("latin-1")),) if key else ()


def check_row(fleet, name, row, status, headers):
    assert status == int(row["status"]), (row, status, headers)
    reason = find_header(headers, "wagtailstep-reason") or ""
    assert reason == row["reason"], (row, headers)
    sent = fleet.sent_to_servers(name)
    if status != 200:
        assert not sent, sent
        assert find_header(headers, "wagtailstep-verdict") == "not-run", headers
    if status == 401:
        assert find_header(headers, "www-authenticate"), headers
    for request in sent:
        names = [value for key, value in request.headers if key == TENANT]
        found = [value.encode("latin-1").decode() for value in names]
        assert found == row["account"].split(), (row, request.headers)
        assert find_header(request.headers, PRIORITY) is None, request.headers
    for request in fleet.sent:
        if find_header(request.headers, "fake-key") != name:
            continue
        if request.address.endswith(":8002"):
            priority = find_header(request.headers, PRIORITY) or ""
            assert priority == row["priority"], (row, request.headers)
            account = find_header(request.headers, "wagtailstep-account") or ""
            account = account.encode("latin-1").decode()
            assert account == row["account"], (row, request.headers)


def check_no_key_sent(fleet):
    for request in fleet.sent:
        assert find_header(request.headers, CREDENTIAL) is None, request.headers


def check_answers(context, extra=()):
    rows = list(context.table)

    async def scenario(fleet):
        for number, row in enumerate(rows):
            for host in ("d1", "d2", "d3"):
                name = f"r{number}-{host}"
                headers = (*encode_key(row["key"]), *extra)
                answer = await fleet.call(name, row["path"], headers, host)
                check_row(fleet, name, row, *answer)
        context.metrics = [host.daemon.metrics.export_json() for host in fleet.hosts]
        context.statuses = [host.daemon.describe_status() for host in fleet.hosts]

    run_fleet(context, scenario)
    assert context.fleet.sent or not any(row["status"] == "200" for row in rows)
    check_no_key_sent(context.fleet)


@then("requests are answered")
def check_plain_answers(context):
    check_answers(context)


@then("requests with the header {name:S}: {value:S} are answered")
def check_answers_with_header(context, name, value):
    check_answers(context, ((name, value),))


@then('{count:d} requests were counted as "{outcome}"')
def check_counted(context, count, outcome):
    for text in context.metrics:
        found = [
            point["value"]
            for resource in json.loads(text)["resource_metrics"]
            for scope in resource["scope_metrics"]
            for metric in scope["metrics"]
            if metric["name"] == "wagtailstep.requests"
            for point in metric["data"]["data_points"]
            if point["attributes"]["outcome"] == outcome
        ]
        assert found == [count], found


@then("the status of each daemon shows {count:d} client accounts")
def check_status(context, count):
    assert [each.accounts for each in context.statuses] == [count] * HOSTS


async def read_statuses(reader, statuses, count):
    data = b""
    while len(statuses) < count:
        received = await reader.read(65_536)
        if not received:
            return
        data += received
        while match := RESPONSE.match(data):
            length = re.search(rb"content-length: (\d+)", match[2])
            if length is None:
                chunked = data.find(b"0\r\n\r\n", match.end())
                end = chunked + 5 if chunked >= 0 else len(data) + 1
            else:
                end = match.end() + int(length[1])
            if end > len(data):
                break
            statuses.append(int(match[1]))
            data = data[end:]


def build_raw_request(number, path, key):
    return (
        f"GET {path} HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nfake-key: raw-{number}\r\n"
        f"fake-work-ms: 1500\r\n{CREDENTIAL}: {key}\r\n\r\n"
    ).encode()


@when(
    'a caller sends requests with "{key}" {manner}, and its key is revoked during the '
    "first"
)
def send_on_connection(context, key, manner):
    paths = ("/lookup/1", "/lookup/2", "/open/1", "/lookup/3")
    requests = [build_raw_request(n, path, key) for n, path in enumerate(paths)]
    context.connection_statuses = []

    async def scenario(fleet):
        reader, writer = await asyncio.open_connection("d1", 8001)
        statuses = context.connection_statuses

        async def revoke_soon():
            await asyncio.sleep(0.2)
            fleet.tenants = revoke(fleet.tenants, key)
            fleet.publish()

        revoking = asyncio.ensure_future(revoke_soon())
        if manner.startswith("without"):
            writer.write(b"".join(requests))
            await read_statuses(reader, statuses, len(requests))
        else:
            for number, data in enumerate(requests):
                writer.write(data)
                await read_statuses(reader, statuses, number + 1)
        await revoking
        writer.close()

    run_fleet(context, scenario)


@then("the responses on the connection have the status 200, 401, 200 and 401")
def check_connection(context):
    assert context.connection_statuses == [200, 401, 200, 401], (
        context.connection_statuses
    )


@when(
    '"{key}" is revoked during the first attempts of requests that one of three '
    "servers loses"
)
def revoke_during_attempts(context, key):
    async def scenario(fleet):
        fleet.set_faults(fleet.hosts[0], Faults(lose_share=1.0))
        calls = [
            asyncio.ensure_future(
                fleet.call(f"w{n}", "/lookup/1", encode_key(key), work_ms=900)
            )
            for n in range(4)
        ]
        await asyncio.sleep(0.1)
        fleet.tenants = revoke(fleet.tenants, key)
        fleet.publish()
        context.results = await asyncio.gather(*calls)
        context.attempts = [len(fleet.sent_to_servers(f"w{n}")) for n in range(4)]
        context.late = await fleet.call("late", "/lookup/1", encode_key(key))

    run_fleet(context, scenario)


@then("all of them are answered with status 200, some by a later attempt")
def check_retried(context):
    assert [status for status, _ in context.results] == [200] * 4, context.results
    assert max(context.attempts) > 1, context.attempts
    assert context.late[0] == 401, context.late


@when('a request with a ticket and "{key}" is sent through another daemon')
def send_ticket(context, key):
    async def scenario(fleet):
        ticket = await fleet.hosts[0].daemon.entry.issue_ticket("contracts")
        headers = (
            *encode_key(key),
            ("wagtailstep-service", "contracts"),
            ("idempotency-key", ticket),
            (TENANT, "forged"),
            (PRIORITY, "7"),
        )
        context.result = await fleet.call("relayed", "/sign/1", headers, host="d2")

    run_fleet(context, scenario)


@then(
    "it is answered with status {status:d}, and the servers got account "
    '"{account}" with priority {priority}'
)
def check_relayed(context, status, account, priority):
    fleet = context.fleet
    assert context.result[0] == status, context.result
    relayed = [r for r in fleet.sent if find_header(r.headers, "wagtailstep-relayed")]
    assert [request.address for request in relayed] == ["d1:8002"], relayed
    assert find_header(relayed[0].headers, PRIORITY) == priority, relayed
    (request,) = fleet.sent_to_servers("relayed")
    found = [value for name, value in request.headers if name == TENANT]
    assert found == [account], request.headers


@then("no daemon sent a key")
def check_keys_kept(context):
    check_no_key_sent(context.fleet)


class TextCapture(logging.Handler):
    """Collects complete log lines with tracebacks."""

    def __init__(self):
        super().__init__(logging.DEBUG)
        self.lines = []

    def emit(self, record):
        self.lines.append(self.format(record))


class EventCapture:
    """Collects the text of each event that controllers get."""

    def __init__(self, texts):
        self.texts = texts

    def handle(self, event):
        message = getattr(event, "message", None)
        if not isinstance(message, TableDocumentMessage):
            self.texts.append(repr(event))
        return []


@given("daemons that quote malformed headers")
def quote_headers(context):
    patch = mock.patch.object(http_protocol, "remove_quoted_bytes", lambda text: text)
    patch.start()
    context.add_cleanup(patch.stop)


def record_messages(texts):
    """Record all control messages except documents, which contain the keys."""
    send = InMemoryPeerChannel.send

    def record_and_send(channel, address, message, urgent=False):
        body = message.decode_body()
        if not isinstance(body, TableDocumentMessage):
            texts.append(repr(body))
        send(channel, address, message, urgent)

    return mock.patch.object(InMemoryPeerChannel, "send", record_and_send)


def build_bad_heads(key):
    """Return requests whose heads are malformed, with a key in them."""
    line = f"{CREDENTIAL}: {key}"
    start = f"GET /lookup/1 HTTP/1.1\r\nhost: {ROUTE_HOST}\r\n"
    return (
        f"{start}{line}\x01\r\n\r\n",
        f"{start}{CREDENTIAL} : {key}\r\n\r\n",
        f"{start}{key}\r\n\r\n",
        f"GET /lookup/1 HTTP/1.1\r\n{line}\r\n\r\n",
        f"GET /lookup/1 HTTP/9\r\n{line}\r\n\r\n",
        f"{start}{line}\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        f"{start}{line}\r\ntransfer-encoding: chunked\r\n\r\nzz{key}\r\n",
        f"{start}{line}\r\nx: {'x' * 40_000}",
        f"{start}{line}\r\nwagtailstep-timeout-ms: soon\r\n\r\n",
        f"CONNECT a:1 HTTP/1.1\r\nhost: {ROUTE_HOST}\r\n{line}\r\n\r\n",
        f"{start}{line}\r\n",
    )


async def send_bad_heads(fleet, key):
    for text in build_bad_heads(key):
        reader, writer = await asyncio.open_connection("d1", 8001)
        writer.write(text.encode())
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(2):
                fleet.answers.append(str(await reader.read(65_536)))
        writer.close()


async def fail_in_many_ways(fleet):
    """Send requests with known, unknown and doubled keys that fail differently."""
    keys = [f"{PLANTED}-{n}" for n in range(4)]
    known, unreadable, unknown, _ = (encode_key(key) for key in keys)
    await send_bad_heads(fleet, keys[0])
    await send_bad_heads(fleet, keys[2])
    faults = [{}, {"fail_share": 1.0}, {"lose_share": 1.0}, {"hang_share": 1.0}]
    for number, fault in enumerate(faults):
        for host in fleet.hosts:
            fleet.set_faults(host, Faults(**fault))
        for path in ("/lookup/1", "/sign/1", "/open/1", "/none/1"):
            for headers in (known, unreadable, unknown, known + unknown):
                name = f"f{number}{path}{len(fleet.answers)}"
                await fleet.call(name, path, headers, left_ms=700)
    for host in fleet.hosts:
        fleet.set_faults(host, Faults())
    service = ("wagtailstep-service", "contracts")
    for ticket in (await fleet.hosts[1].daemon.entry.issue_ticket("contracts"), "own"):
        headers = (*known, service, ("idempotency-key", ticket))
        await fleet.call("keyed", "/sign/1", headers)
        await fleet.call("keyed", "/sign/2", headers)
    with mock.patch.object(
        fleet.hosts[0].daemon.entry.sender, "run", side_effect=KeyError("a bug")
    ):
        await fleet.call("bug", "/lookup/1", known)
    for host in fleet.hosts[1:]:
        fleet.partition(host)
    await asyncio.gather(
        *(fleet.call(f"p{n}", "/sign/1", known, work_ms=900) for n in range(12))
    )
    fleet.heal()
    fleet.tenants = revoke(fleet.tenants, keys[0])
    fleet.publish()
    await asyncio.sleep(2)
    await fleet.call("revoked", "/lookup/1", known)
    await fleet.hosts[0].daemon.shut_down()


@when("requests with planted keys fail in many ways")
def fail_requests(context):
    context.tenants["rows"] += [
        ["planted", [f"{PLANTED}-0"], 0, 1, 1],
        ["unreadable", [f"{PLANTED}-1"], "high", 1, 1],
    ]
    texts = context.texts = []
    capture = TextCapture()

    async def scenario(fleet):
        for host in fleet.hosts:
            runtime = host.daemon.runtime
            runtime.controllers = (*runtime.controllers, EventCapture(texts))
        logging.disable(logging.NOTSET)
        await fail_in_many_ways(fleet)
        for host in fleet.hosts:
            daemon = host.daemon
            texts.extend(map(repr, daemon.runtime.timeline.events))
            texts.append(daemon.metrics.export_json())
            texts.append(daemon.metrics.export_text().decode())
            texts.append(repr(daemon.describe_status()))
        texts.extend(fleet.answers)
        texts.extend(f"{request.path} {request.headers}" for request in fleet.sent)

    root = logging.getLogger()
    level, handlers = root.level, root.handlers[:]
    root.handlers[:] = [capture]
    root.setLevel(logging.DEBUG)
    try:
        with record_messages(texts):
            run_fleet(context, scenario)
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
    texts.extend(capture.lines)
    context.lines = capture.lines


@then("at least {count:d} kinds of answers and log lines were recorded")
def check_recorded(context, count):
    statuses = {
        match[1]
        for text in context.fleet.answers
        if (match := re.search(r"(?:HTTP/1\.1 |\S+ )(\d{3})\b", text))
    }
    events = {
        match[1]
        for line in context.lines
        if (match := re.search(r"\bevent=(\S+)", line))
    }
    expected = {"malformed-request", "request-unanswered", "request-ended"}
    assert expected | {"request-failed", "work-ended"} <= events, events
    assert {"200", "400", "401", "404", "431", "500", "503", "504"} <= statuses, (
        statuses
    )
    assert len(statuses) + len(events) >= count, (statuses, events)


@then("no planted key is found in logs, events, metrics, answers or messages")
def check_not_found(context):
    found = [text for text in context.texts if PLANTED in text]
    assert not found, found[:3]


@then("a planted key is found")
def check_found(context):
    assert any(PLANTED in text for text in context.texts)


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
