"""Steps for the log service's client and its test double."""

import asyncio
import queue
import threading
import time
from datetime import timedelta

import httpx
from behave import given, then, when

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordExpiredError,
)
from wagtailstep.fakes.log_server import serve
from wagtailstep.fakes.log_service import InMemoryLogService
from wagtailstep.models.settings import LogSettings
from wagtailstep.network.log_client import HttpLogService
from wagtailstep.utils.clock import ManualClock

# For appends that get no response; the test waits for it in real time.
UNANSWERED_TIMEOUT_MS = 1_000
# Longer than any stall of a busy machine: what the service holds is read with it.
TIMEOUT_MS = 20_000
UNANSWERED_FAULTS = frozenset({"silent", "lost_acknowledgments"})


class LogServerThread:
    """Runs the log server's test double on a free port, in a separate thread."""

    def __init__(self):
        self.ports = queue.Queue()
        self.loop = asyncio.new_event_loop()
        self.stop_event = None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()
        self.address = f"127.0.0.1:{self.ports.get()}"

    def run(self):
        self.loop.run_until_complete(self.serve())

    async def serve(self):
        self.stop_event = asyncio.Event()
        await serve(
            "127.0.0.1",
            0,
            on_started=self.ports.put,
            stop=self.stop_event,
            run_time=timedelta(seconds=60),
        )

    def set_faults(self, **faults):
        return httpx.put(f"http://{self.address}/faults", json=faults)

    def stall(self, duration):
        """Block the server's event loop, as a machine without a free core does."""
        self.loop.call_soon_threadsafe(time.sleep, duration.total_seconds())

    def stop(self):
        if self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.stop_event.set)
            self.thread.join()


def start_log_server(context):
    context.log_server = LogServerThread()
    context.add_cleanup(context.log_server.stop)
    return context.log_server


def start_runner(context):
    context.runner = asyncio.Runner()
    context.fault_name = ""
    context.stall = None
    context.add_cleanup(context.runner.close)


@given("a log service in memory")
def create_log_in_memory(context):
    start_runner(context)
    context.log_server = None
    context.clock = ManualClock()
    context.log = InMemoryLogService(context.clock)


@given("a log service over HTTP")
def create_log_over_http(context):
    start_runner(context)
    server = start_log_server(context)
    context.log = create_client(server, TIMEOUT_MS)


def create_client(server, timeout_ms):
    return HttpLogService(LogSettings(server.address, timeout_ms=timeout_ms))


def set_fault(context, name, value):
    if context.log_server is not None:
        assert context.log_server.set_faults(**{name: value}).status_code == 200
    else:
        setattr(context.log.faults, name, value)


@when("the log service has the fault {name:w}={value}")
def set_log_fault(context, name, value):
    context.fault_name = name
    set_fault(context, name, True if value == "true" else int(value))


@when("the log service stalls for {milliseconds:d} ms before it is read")
def set_stall(context, milliseconds):
    context.stall = timedelta(milliseconds=milliseconds)


@when("the log service stops")
def stop_log(context):
    context.log_server.stop()


@when("{seconds:d} seconds pass at the log service")
def pass_seconds(context, seconds):
    context.clock.advance(timedelta(seconds=seconds))


@when('"a", "b" and "c" are appended to the stream "{stream}"')
def append_letters(context, stream):
    context.refused = 0
    for data in (b"a", b"b", b"c"):
        try:
            context.runner.run(context.log.append(stream, data))
        except LogUnavailableError:
            context.refused += 1


def read_all(context, stream):
    batch = context.runner.run(context.log.read(stream, 0))
    return [(record.offset, record.data) for record in batch.records]


@then('the stream "{stream}" holds "a", "b" and "c" at the offsets 0, 1 and 2')
def check_letters(context, stream):
    assert read_all(context, stream) == [(0, b"a"), (1, b"b"), (2, b"c")]
    batch = context.runner.run(context.log.read(stream, 1, limit=1))
    assert [record.data for record in batch.records] == [b"b"]
    assert (batch.next_offset, batch.oldest_offset) == (2, 0)


@then('the stream "{stream}" is empty from offset 0 on')
def check_empty(context, stream):
    assert read_all(context, stream) == []
    assert context.runner.run(context.log.oldest_offset(stream)) == 0


@then("an append raises {error} and leaves {count:d} records")
def check_append_error(context, error, count):
    check_error(context, error)
    set_fault(context, context.fault_name, 0 if "lost" in context.fault_name else False)
    if context.stall is not None:
        context.log_server.stall(context.stall)
    assert len(read_all(context, "x")) == count


def get_appending_client(context):
    if context.log_server is None or context.fault_name not in UNANSWERED_FAULTS:
        return context.log
    return create_client(context.log_server, UNANSWERED_TIMEOUT_MS)


@then("an append raises {error:w}")
def check_error(context, error):
    log = get_appending_client(context)
    try:
        context.runner.run(log.append("x", b"data"))
    except (AppendUnknownError, LogUnavailableError) as found:
        assert type(found).__name__ == error, found
    else:
        raise AssertionError("the append was acknowledged")


@then('the stream "{stream}" has {count:d} records and {refused:d} append was refused')
def check_rate_limit(context, stream, count, refused):
    assert len(read_all(context, stream)) == count
    assert context.refused == refused


@then('reading the stream "{stream}" from offset 0 reports {oldest:d} as oldest')
def check_expired(context, stream, oldest):
    try:
        context.runner.run(context.log.read(stream, 0))
    except RecordExpiredError as error:
        assert error.oldest == oldest
    else:
        raise AssertionError("expired records were read")
    assert context.runner.run(context.log.oldest_offset(stream)) == oldest


@then('setting the fault "{name}" is refused with status {status:d}')
def check_unknown_fault(context, name, status):
    assert context.log_server.set_faults(**{name: True}).status_code == status
