"""Steps for the runtime, the log follower and complete daemons on loopback."""

import asyncio
import json
import random
import socket
from datetime import timedelta

from behave import given, then, when

from wagtailstep.commands.table_client import Proposal, TableClient
from wagtailstep.commands.table_edit import plan_row_change
from wagtailstep.fakes.backend_server import BackendServer, BackendServerSettings
from wagtailstep.fakes.log_server import create_application
from wagtailstep.fakes.log_service import InMemoryLogService, LogFaults
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    AppendToLog,
    LogAppendFinished,
    LogCaughtUp,
    LogGap,
    LogRecordsRead,
    PeerMessageReceived,
    Tick,
)
from wagtailstep.models.fleet import Member
from wagtailstep.models.headers import find_header
from wagtailstep.models.membership import MemberEntry, MembersPage
from wagtailstep.models.peer import StampedMessage
from wagtailstep.models.settings import (
    DaemonSettings,
    LogSettings,
    MembershipSettings,
    RequestSettings,
)
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.http_server import HttpServer
from wagtailstep.network.log_client import HttpLogService
from wagtailstep.network.log_daemon import LogDaemon
from wagtailstep.network.log_follower import LogFollower
from wagtailstep.network.runtime import Runtime, RuntimeAdapters
from wagtailstep.utils.clock import LoopClock, ManualClock
from wagtailstep.utils.codec import encode_message

ADDRESS = "127.0.0.1:1"
SERVICE = "contracts"
UPLOAD = b"rider" * 20_000


class FailingController:
    """Fails on every event."""

    def handle(self, event):
        raise RuntimeError("planned")


class RecordingController:
    """Records all events."""

    def __init__(self):
        self.events = []

    def handle(self, event):
        self.events.append(event)
        return []


def create_runtime(log=None):
    settings = DaemonSettings("a", "z", ADDRESS, ADDRESS, ADDRESS, ADDRESS)
    blackboard = Blackboard(Member("a", 1, ADDRESS, ADDRESS, "z"))
    outside = RuntimeAdapters(log=log, channel=None, probe=None)
    runtime = Runtime(settings, blackboard, ManualClock(), random.Random(1), outside)
    recorder = RecordingController()
    runtime.controllers = (FailingController(), recorder)
    return runtime, recorder


@given("a runtime whose first controller fails on every event")
def create_failing_controller(context):
    context.runtime, context.recorder = create_runtime()


@when("a tick is dispatched")
def dispatch_tick(context):
    context.runtime.dispatch(Tick())


@when("a peer message with an unknown body arrives")
def receive_undecodable(context):
    context.runtime.handle_peer_message("b", StampedMessage(1, b"\x92\xa3foo\x80"))
    context.runtime.handle_peer_message("b", "not stamped")
    corrupt = StampedMessage(1, b"not compressed", compressed=True)
    context.runtime.handle_peer_message("b", corrupt)


@then(
    "a page of {count:d} members takes less than {size:d} bytes and decodes to itself"
)
def check_compression(context, count, size):
    entries = tuple(
        MemberEntry(
            f"daemon-bole-{i}", i, 0, f"10.1.0.{i}:7380", f"10.1.0.{i}:8146", "bole"
        )
        for i in range(count)
    )
    page = MembersPage("", entries, "")
    stamped = StampedMessage.from_message(1, page)
    assert stamped.compressed
    assert len(encode_message(stamped)) < size
    assert stamped.decode_body() == page


@then("the second controller has received the tick")
def check_tick_received(context):
    assert context.recorder.events == [Tick()]


@then("the second controller has received nothing")
def check_nothing_received(context):
    assert context.recorder.events == []
    context.runtime.handle_peer_message("b", StampedMessage(1, b"\x92"))
    assert not [e for e in context.recorder.events if type(e) is PeerMessageReceived]


def fill_log(count):
    log = InMemoryLogService(ManualClock())

    async def append_all():
        for number in range(count):
            await log.append("s", str(number).encode())

    asyncio.run(append_all())
    return log


def create_follower(context, log):
    context.events = []
    context.reports = []
    context.follower = LogFollower(
        LogSettings(), log, "s", context.events.append, context.reports.append, None
    )


def read_repeatedly(context, times):
    async def read():
        for _ in range(times):
            await context.follower.read_once()

    asyncio.run(read())


@given("an unavailable log service with {count:d} records")
def create_unavailable_log(context, count):
    context.log_service = fill_log(count)
    context.log_service.faults.away = True
    create_follower(context, context.log_service)


@given("a log service with 5 records of which the follower has read 2")
def create_partly_read_log(context):
    context.log_service = fill_log(2)
    create_follower(context, context.log_service)
    read_repeatedly(context, 1)

    async def append_more():
        for number in range(2, 5):
            await context.log_service.append("s", str(number).encode())

    asyncio.run(append_more())


@when("a follower reads the stream {times:d} times")
def read_stream(context, times):
    read_repeatedly(context, times)


@when("the log service recovers and the follower reads the stream {times:d} times")
def read_after_outage(context, times):
    context.log_service.faults.away = False
    read_repeatedly(context, times)


@when("the first 4 records expire and the follower reads the stream {times:d} times")
def read_after_expiry(context, times):
    context.log_service.faults.retention_records = 1
    read_repeatedly(context, times)


def list_offsets(context):
    batches = [e for e in context.events if isinstance(e, LogRecordsRead)]
    return ", ".join(str(r.offset) for batch in batches for r in batch.records)


@then('the follower has dispatched the records "{offsets}" and no gap')
def check_records(context, offsets):
    assert list_offsets(context) == offsets
    assert not [e for e in context.events if isinstance(e, LogGap)]


@then('the follower has dispatched the records "{offsets}" and a gap up to {oldest:d}')
def check_gap(context, offsets, oldest):
    assert list_offsets(context) == offsets
    assert [e for e in context.events if isinstance(e, LogGap)] == [LogGap("s", oldest)]


@then("it has reported the end of the stream with next offset {offset:d}")
def check_end(context, offset):
    ends = {e.next_offset for e in context.events if isinstance(e, LogCaughtUp)}
    assert ends == {offset}


@then('it has reported the log service as "{reports}"')
def check_reports(context, reports):
    names = ["reachable" if report else "unavailable" for report in context.reports]
    assert ", ".join(names) == reports


@given("a runtime with a log service that {fault}")
def create_faulty_log(context, fault):
    log = InMemoryLogService(ManualClock(), LogFaults())
    log.faults.away = fault == "is away"
    log.faults.lost_acknowledgments = 1 if "acknowledgment" in fault else 0
    context.runtime, context.recorder = create_runtime(log)


@when("a controller appends a record")
def append_record(context):
    effect = AppendToLog("s", StampedMessage(1, b""), "append-1")
    asyncio.run(context.runtime.append(effect))


@then('the append finishes with offset "{offset}" and may have applied "{applied}"')
def check_append_result(context, offset, applied):
    finished = [e for e in context.recorder.events if isinstance(e, LogAppendFinished)]
    (event,) = finished
    assert event.append_id == "append-1"
    assert str(event.offset) == offset
    assert str(event.may_have_applied) == applied


class PortReservation:
    """Ports chosen by the system and reserved, so that no outgoing connection gets one.

    They stay bound without listening; servers, which set ``SO_REUSEADDR``, can bind
    them as well.
    """

    def __init__(self, count):
        self.sockets = [socket.socket() for _ in range(count)]
        for reserved in self.sockets:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(("127.0.0.1", 0))
        self.addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in self.sockets]

    def release(self):
        for reserved in self.sockets:
            reserved.close()


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.02)


class SmallFleet:
    """Two daemons, a backend server beside the second, and a log service."""

    def __init__(self, has_table):
        self.has_table = has_table
        self.clock = LoopClock()

    async def start(self):
        log = InMemoryLogService(self.clock)
        log.faults.away = not self.has_table
        log_app = create_application(log)
        await log_app.start()
        self.log = HttpServer(log_app, lambda: None)
        log_address = await self.log.start("127.0.0.1:0")
        self.log_settings = LogSettings(address=log_address, poll_ms=50)
        if self.has_table:
            await self.publish_table()
        self.ports = PortReservation(8)
        ports = self.ports.addresses
        self.daemons = [
            LogDaemon(self.build_settings("one", ports[:4], ports[6]), self.clock),
            LogDaemon(self.build_settings("two", ports[4:], ports[2]), self.clock),
        ]
        for daemon in self.daemons:
            await daemon.start()
        self.server = BackendServer(
            BackendServerSettings(SERVICE, announce_address=ports[7], work_ms=1)
        )
        await self.server.start()
        self.client = HttpClient(RequestSettings(), self.clock)
        self.entry = ports[0]
        if self.has_table:
            await self.wait_for_targets()

    async def wait_for_targets(self):
        first = self.daemons[0].blackboard
        await wait_until(lambda: first.table_known and len(first.members) == 2)
        first.requested_services.add(SERVICE)
        await wait_until(lambda: first.targets)

    async def publish_table(self):
        log = HttpLogService(self.log_settings)
        client = TableClient(log, self.clock, random.Random(1))
        fold = await client.read_fold()
        cells = {"unlisted_servers": "1"}
        changes = plan_row_change(fold, "service", SERVICE, cells, False)
        await client.propose(client.build_edit(0, changes, Proposal("test", "start")))

    def build_settings(self, name, ports, seed_address):
        return DaemonSettings(
            *(name, "bole", ports[0], ports[1], ports[2], ports[3]),
            log_level="WARNING",
            seed=1,
            log=self.log_settings,
            membership=MembershipSettings(seeds=(seed_address,)),
        )

    def build_request(self, method, body, length, ticket=None):
        headers = (
            ("host", self.entry),
            ("wagtailstep-service", SERVICE),
            ("fake-key", f"key-{method}"),
            ("content-length", str(length)),
        )
        if ticket is not None:
            headers += (("idempotency-key", ticket),)
        time_left = timedelta(seconds=30)
        return HttpRequest(
            self.entry, method, "/lookup", headers, body, True, time_left
        )

    async def stop(self):
        self.client.close()
        for daemon in self.daemons:
            await daemon.close()
        await self.server.stop()
        await self.log.close()
        self.ports.release()


async def yield_nothing():
    return
    yield b""


async def read_all(answer):
    body = b"".join([chunk async for chunk in answer.body])
    await answer.close()
    return body


@given("two daemons and a backend server beside the second, with a table")
def start_fleet_with_table(context):
    start_fleet(context, has_table=True)


@given("two daemons and a backend server beside the second, and an unavailable log")
def start_fleet_without_log(context):
    start_fleet(context, has_table=False)


def start_fleet(context, has_table):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.fleet = SmallFleet(has_table)
    context.runner.run(context.fleet.start())
    context.add_cleanup(lambda: context.runner.run(context.fleet.stop()))


@when("a caller sends a lookup through the first daemon")
def send_lookup(context):
    context.sent_key = "key-GET"

    async def look_up():
        request = context.fleet.build_request("GET", yield_nothing(), 0)
        context.answer = await context.fleet.client.send(request)
        context.body = await read_all(context.answer)

    context.runner.run(look_up())


@then(
    'the caller gets "{reason}" with verdict "{verdict}" and a Retry-After header',
)
def check_refusal(context, reason, verdict):
    headers = context.answer.headers
    assert context.answer.status == 503
    assert json.loads(context.body)["title"] == reason
    assert find_header(headers, "wagtailstep-verdict") == verdict
    assert find_header(headers, "retry-after") == "1"


@then("the caller has the complete answer to its own request")
def check_own_answer(context):
    key = find_header(context.answer.headers, "fake-key")
    assert (context.answer.status, context.body) == (200, f"{key}\n".encode())
    assert key == context.sent_key
    verdict = find_header(context.answer.headers, "wagtailstep-verdict")
    assert verdict == "run"


@when("the second daemon is told to exit while an upload through the first is halfway")
def exit_during_upload(context):
    fleet = context.fleet
    context.second_half_allowed = asyncio.Event()

    async def yield_upload():
        yield UPLOAD[: len(UPLOAD) // 2]
        await context.second_half_allowed.wait()
        yield UPLOAD[len(UPLOAD) // 2 :]

    async def start():
        request = fleet.build_request("PUT", yield_upload(), len(UPLOAD))
        context.upload = asyncio.create_task(fleet.client.send(request))
        await wait_until(lambda: fleet.server.requests_in_progress == 1)
        second = fleet.daemons[1]
        context.exit = asyncio.create_task(second.shut_down())
        first = fleet.daemons[0].blackboard
        await wait_until(
            lambda: all(t.state.value == "leaving" for t in first.targets.values())
        )

    context.runner.run(start())


@when("the rest of the upload is sent")
def send_rest(context):
    assert not context.exit.done()
    context.second_half_allowed.set()


@then("the upload is answered completely and the second daemon exits cleanly")
def check_upload(context):
    async def finish():
        answer = await context.upload
        body = await read_all(answer)
        return answer, body, await context.exit

    answer, body, clean_exit = context.runner.run(finish())
    assert (answer.status, body, clean_exit) == (200, b"key-PUT\n", True)
    assert find_header(answer.headers, "fake-body-bytes") == str(len(UPLOAD))


@then("the first daemon sends no new request to the target that left")
def check_no_new_request(context):
    send_lookup(context)
    assert context.answer.status == 503
    assert find_header(context.answer.headers, "wagtailstep-verdict") == "not-run"
    assert sum(context.fleet.server.counts.runs.values()) == 2


@given("the first daemon has issued a ticket and is told to exit")
def exit_with_open_ticket(context):
    async def start():
        first, second = context.fleet.daemons
        context.ticket = await first.entry.issue_ticket(SERVICE)
        context.exit = asyncio.create_task(first.shut_down())
        # The server of the caller's port closes after the daemon has announced that
        # it is leaving.
        await wait_until(lambda: not first.caller_server.server.is_serving())
        assert second.blackboard.table_known

    context.runner.run(start())


@when("the ticket is used at the second daemon")
def use_ticket(context):
    context.sent_key = "key-POST"

    async def sign():
        context.fleet.entry = context.fleet.daemons[1].settings.caller_address
        request = context.fleet.build_request(
            "POST", yield_nothing(), 0, context.ticket
        )
        context.answer = await context.fleet.client.send(request)
        context.body = await read_all(context.answer)

    context.runner.run(sign())


@then("the first daemon exits cleanly")
def check_exit(context):
    async def finish():
        return await context.exit

    assert context.runner.run(finish()) is True


@when("the first daemon is told to exit and is asked for its status")
def ask_exiting_daemon(context):
    async def ask():
        first = context.fleet.daemons[0]
        host, _, port = first.settings.caller_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        context.exit = asyncio.create_task(first.shut_down())
        await wait_until(lambda: first.blackboard.draining)
        writer.write(b"GET /.wagtailstep/status HTTP/1.1\r\nhost: a\r\n\r\n")
        context.head = (await reader.readuntil(b"\r\n\r\n")).lower()
        writer.close()

    context.runner.run(ask())


@then('the status comes with "{header}"')
def check_status_header(context, header):
    assert context.head.startswith(b"http/1.1 200 "), context.head
    assert header.encode() in context.head, context.head
