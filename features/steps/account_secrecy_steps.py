"""Steps that search what daemons write and send for keys of client accounts."""

import asyncio
import contextlib
import logging
import re
from unittest import mock

from account_keys_steps import CREDENTIAL, encode_key, revoke, run_fleet
from behave import given, then, when
from benchmarks.soak.fleet import ROUTE_HOST

from wagtailstep.fakes.faults import Faults
from wagtailstep.models.published_table import (
    TableDocumentMessage,
)
from wagtailstep.network import http_protocol
from wagtailstep.network.memory_channel import InMemoryPeerChannel

PLANTED = "planted-key"


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
