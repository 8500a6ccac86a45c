"""Steps for entries and messages that another writer left unreadable."""

import asyncio
import json
from datetime import UTC, datetime

import msgspec
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from wagtailstep.exceptions import WagtailstepError
from wagtailstep.models.headers import read_int_header, read_keep_alive
from wagtailstep.models.published_table import TableDocument
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.announcements import parse_announcement
from wagtailstep.network.server_notices import parse_rate
from wagtailstep.platform.configuration import (
    build_table,
    decode_configuration,
    parse_version,
)
from wagtailstep.platform.heartbeats import HeartbeatHandler
from wagtailstep.platform.store import (
    NewestPage,
    decode_items,
    decode_json,
    parse_keyed_record,
    parse_records,
)
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import DECODE_FAILURES, decode_message

NESTED = "[" * 200_000
SETTINGS = DaemonSettings(
    "d1", "bole", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
)
NOW = datetime(2026, 1, 1, tzinfo=UTC)
NOW_MS = int(NOW.timestamp() * 1_000)
HOUR_MS = 3_600_000
MISSING = object()
ODD_FIELDS = {
    "no service": {"service": MISSING},
    "no address": {"address": MISSING},
    "no zone": {"zone": MISSING},
    "no version": {"version": MISSING},
    "no slots": {"slots": MISSING},
    "no state": {"state": MISSING},
    "no warmup-left": {"warmup-left": MISSING},
    "no sequence": {"sequence": MISSING},
    "no born": {"born": MISSING},
    "born of 0": {"born": 0},
    "born of null": {"born": None},
    "a zone of 5": {"zone": 5},
    "a version of 1": {"version": 1},
    "born of 10000000000000000000000": {"born": 10**22},
    "born in an hour": {"born": NOW_MS + HOUR_MS},
    "born of -5": {"born": -5},
    "a sequence of 2 to the 64th": {"sequence": 2**64},
    "a sequence of -1": {"sequence": -1},
    "an empty service": {"service": ""},
    "a service of 5000 characters": {"service": "x" * 5_000},
    "a service with a slash": {"service": "a/b"},
    "port 99999": {"address": "127.0.0.1:99999"},
    "port 0": {"address": "127.0.0.1:0"},
    "slots without end": {"slots": 10**30},
}


KIB = 1_024
PIECE_BYTES = 4_096


class FakeRequest:
    """What the handler reads of a request."""

    def __init__(self, instance_id, body):
        self.route_values = {"id": instance_id}
        self.body = body
        self.read_bytes = 0

    async def stream(self):
        for start in range(0, len(self.body), PIECE_BYTES):
            piece = self.body[start : start + PIECE_BYTES]
            self.read_bytes += len(piece)
            yield piece


def build_body(**changes):
    heartbeat = {
        "service": "contracts",
        "address": "127.0.0.1:8000",
        "state": "ready",
        "slots": 4,
        "zone": "bole",
        "version": "v1",
        "warmup-left": "0ms",
        "sequence": 1,
        "born": NOW_MS - HOUR_MS,
    }
    changed = heartbeat | changes
    present = {name: value for name, value in changed.items() if value is not MISSING}
    return json.dumps(present).encode()


def build_odd(oddity):
    """Return the identifier and the body of an odd heartbeat."""
    if oddity == "200000 nested lists":
        return "i-1", NESTED.encode()
    if oddity == "200000 nested unknown lists":
        return "i-1", build_body()[:-1] + b',"odd":' + NESTED.encode()
    if oddity == "an identifier with spaces":
        return "i 1", build_body()
    if oddity == "bytes that are no text":
        return "i-1", b'{"service":"\xff\xfe"}'
    return "i-1", build_body(**ODD_FIELDS[oddity])


def create_handler(announced):
    clock = ManualClock()
    clock.utc = lambda: NOW
    return HeartbeatHandler(announced.append, SETTINGS, clock)


@when("a heartbeat with {oddity} arrives, and then a good one")
def send_odd(context, oddity):
    context.announced = []
    handler = create_handler(context.announced)

    async def main():
        odd = await handler.handle_heartbeat(FakeRequest(*build_odd(oddity)))
        good = await handler.handle_heartbeat(FakeRequest("i-1", build_body()))
        return [odd.status, good.status]

    context.statuses = asyncio.run(main())


@when("a heartbeat of {size:d} KiB arrives")
def send_long(context, size):
    context.request = FakeRequest("i-1", b" " * size * KIB + build_body())
    handler = create_handler([])
    response = asyncio.run(handler.handle_heartbeat(context.request))
    context.status = response.status


@then("it is answered with {status:d} after at most {size:d} KiB")
def check_read(context, status, size):
    assert context.status == status, context.status
    assert context.request.read_bytes <= size * KIB, context.request.read_bytes


@then("the odd one is answered with {odd:d}, the good one with {good:d}")
def check_statuses(context, odd, good):
    assert context.statuses == [odd, good], context.statuses


@then("only the good one was announced")
def check_announced(context):
    (event,) = context.announced
    assert event.target.target_id == "contracts/i-1", event


def read_heartbeat(data):
    create_handler([]).parse_heartbeat("i-1", data)


def read_configuration(data):
    version = parse_version(decode_configuration(data).version)
    build_table(TableDocument(version, data))


def read_page(data):
    decode_items(decode_json(data, NewestPage).items)


def read_records(data):
    for record in parse_records(data):
        parse_keyed_record(record)


def read_number(data):
    value = read_int_header((("n", data.decode("latin-1")),), "n")
    assert value is None or 0 <= value < 10**18


READERS = {
    "heartbeats": read_heartbeat,
    "announcements": parse_announcement,
    "messages between daemons": decode_message,
    "the configuration": read_configuration,
    "the store's pages": read_page,
    "the store's records": read_records,
    "numbers in headers": read_number,
    "rate limits in headers": lambda data: parse_rate(data.decode("latin-1")),
    "Keep-Alive headers": lambda data: read_keep_alive(
        (("keep-alive", "timeout=" + data.decode("latin-1")),)
    ),
}
# Nested lists in JSON and in MessagePack, and numbers that are too large.
EXTREMES = (
    NESTED.encode(),
    b'{"x":' + NESTED.encode(),
    b"\x92\xa1P" + b"\x91" * 200_000,
    b"9" * 5_000,
    b'{"version":"r' + b"9" * 5_000 + b'","routes":{"columns":[],"rows":[]}}',
    build_body(born=10**400, sequence=10**400),
)


@then(
    "{count:d} inputs, and deeply nested ones, raise only typed errors in the reader "
    "of {what}"
)
def check_reader(context, count, what):
    allowed = (WagtailstepError, *DECODE_FAILURES) if what == "heartbeats" else ()

    def read(data):
        try:
            READERS[what](data)
        except (WagtailstepError, *allowed):
            pass

    fragments = strategies.sampled_from(
        [b"{", b"}", b"[", b"]", b'"', b":", b",", b"9" * 30, b"-1", b"null"]
    )
    texts = strategies.lists(fragments, max_size=40).map(b"".join)
    trees = strategies.recursive(
        strategies.none()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=9),
        lambda inner: (
            strategies.lists(inner, max_size=4)
            | strategies.dictionaries(
                strategies.sampled_from(
                    [
                        "version",
                        "routes",
                        "limits",
                        "columns",
                        "rows",
                        "service",
                        "born",
                    ]
                ),
                inner,
                max_size=4,
            )
        ),
        max_leaves=12,
    ).map(lambda tree: json.dumps(tree).encode())
    packed = strategies.lists(
        strategies.integers(-(2**63), 2**64 - 1) | strategies.text(max_size=9),
        max_size=6,
    ).map(lambda items: msgspec.msgpack.encode(["P", items]))
    inputs = strategies.one_of(
        strategies.binary(max_size=200), texts, trees, packed, fragments
    )

    @hypothesis_settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    @for_all(inputs)
    def run(data):
        read(data)

    run()
    for data in EXTREMES:
        read(data)
