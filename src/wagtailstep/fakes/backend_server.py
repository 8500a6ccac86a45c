"""Stand-in for a backend server that counts the requests it runs.

Any path that is not listed here is a work request. The header ``fake-work-ms`` sets
its processing time; the response echoes the header ``fake-key``, so that callers can
detect a response that belongs to another request. Control endpoints:

- ``GET /health`` and ``GET /load``: always report a healthy, idle server.
- ``GET /counts``: runs by key, and other counters.
- ``PUT /faults``: JSON of :class:`wagtailstep.fakes.faults.Faults`.
- ``POST /silence``: stop reading from all open connections permanently.
- ``POST /drain``: drain, as on SIGTERM.
"""

import asyncio
import random
from collections import Counter, deque
from datetime import timedelta

import attrs
import msgspec
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router

from wagtailstep.exceptions import SettingsError
from wagtailstep.fakes.announcer import Announcement, Announcer
from wagtailstep.fakes.faults import Faults, draw_bool, read_faults
from wagtailstep.fakes.work import (
    KEY_HEADER,
    Work,
    WorkCounts,
    read_work,
)
from wagtailstep.models.settings import (
    check_address,
    check_name,
    not_negative,
    positive,
)
from wagtailstep.network.head_limits import PEER_LIMITS
from wagtailstep.network.http_server import HttpServer
from wagtailstep.network.route_handlers import wrap_handler
from wagtailstep.utils.clock import LoopClock

MAX_ARRIVALS = 20_000
MAX_TIME_TO_CRASH_S = 0.12


@attrs.frozen
class Arrival:
    """A work request that reached the stand-in, also one that it then shed.

    :param at_s: event loop time in seconds.
    :param key: name of the request, chosen by its caller.
    """

    at_s: float
    key: str


@attrs.frozen
class BackendServerSettings:
    """Settings of one backend server stand-in.

    :param service: name of the service.
    :param address: ``host:port`` to listen on; port 0 selects a free port.
    :param announce_address: ``host:port`` of the local daemon; empty to announce
        nothing.
    :param slots: number of requests that it runs concurrently.
    :param queue_length: number of requests that may wait for a slot; more are shed.
    :param work_ms: processing time of a request that doesn't specify one.
    :param cold_start_ms: time after the start until it reaches full speed.
    :param cold_factor: factor on the processing time right after the start.
    :param drain_limit_s: maximum time to complete requests during a drain.
    :param seed: seed of the random generator.
    :param crash_key_prefix: a request whose key begins with this crashes the server
        soon after it began to run; empty for none.
    """

    service: str = attrs.field(validator=check_name)
    address: str = attrs.field(default="127.0.0.1:0", validator=check_address)
    announce_address: str = ""
    slots: int = positive(4)
    queue_length: int = not_negative(32)
    work_ms: float = not_negative(5.0)
    cold_start_ms: int = not_negative(0)
    cold_factor: float = positive(4.0)
    drain_limit_s: float = positive(30.0)
    seed: int = 0
    crash_key_prefix: str = ""


class BackendServer:
    """A stand-in for a backend server, for use in tests or as a separate process.

    :param settings: settings of the stand-in.
    """

    def __init__(self, settings: BackendServerSettings) -> None:
        self.settings = settings
        self.clock = LoopClock()
        self.rng = random.Random(settings.seed)
        self.faults = Faults()
        self.counts = WorkCounts()
        self.slots = asyncio.Semaphore(settings.slots)
        self.requests_in_progress = 0
        self.started_at = timedelta()
        self.drain_started_at: timedelta | None = None
        self.drained = asyncio.Event()
        # Set when a request crashes the server; its starter then stops it.
        self.crashed = asyncio.Event()
        self.crashed_by = ""
        self.address = ""
        self.announcer: Announcer | None = None
        self.announce_task: asyncio.Task[None] | None = None
        self.silenced_connections: list[object] = []
        self.arrivals: deque[Arrival] = deque(maxlen=MAX_ARRIVALS)
        # Event loop times in seconds of requests that failed due to a fault.
        self.failed_at: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self.application = self.create_application()
        self.server = HttpServer(self.application, lambda: None, lambda: PEER_LIMITS)

    def create_application(self) -> Application:
        """Return the BlackSheep application."""
        router = Router()
        router.add_get("/health", wrap_handler(self.handle_health))
        router.add_get("/load", wrap_handler(self.handle_load))
        router.add_get("/counts", wrap_handler(self.handle_counts))
        router.add_put("/faults", wrap_handler(self.handle_set_faults))
        router.add_post("/silence", wrap_handler(self.handle_silence))
        router.add_post("/drain", wrap_handler(self.handle_drain))
        router.fallback = wrap_handler(self.handle_work)
        return Application(router=router)

    async def start(self) -> str:
        """Listen and start announcing.

        :return: ``host:port`` of the listener.
        """
        await self.application.start()
        self.address = await self.server.start(self.settings.address)
        self.started_at = self.clock.monotonic()
        if self.settings.announce_address:
            self.announcer = Announcer(
                self.settings.announce_address,
                self.settings.service,
                Announcement(self.address, self.settings.slots),
            )
            self.announce_task = asyncio.create_task(self.announcer.run())
        return self.address

    async def drain(self) -> None:
        """Withdraw the announcement, complete running requests and stop listening.

        The listener stays open until then, since work that a gate already accepted for
        this backend server may still arrive.
        """
        if self.drain_started_at is not None:
            return
        self.drain_started_at = self.clock.monotonic()
        if self.announce_task is not None:
            self.announce_task.cancel()
            await self.announcer.withdraw()
        await self.server.drain(timedelta(seconds=self.settings.drain_limit_s))
        self.drained.set()

    async def stop(self) -> None:
        """Stop immediately, even if requests are running."""
        if self.announce_task is not None:
            self.announce_task.cancel()
        await self.server.close()

    async def handle_health(self, request: Request) -> Response:
        """Report a healthy server, regardless of the faults."""
        return build_json_response({"status": "ok"})

    async def handle_load(self, request: Request) -> Response:
        """Report an idle server, regardless of the load."""
        return build_json_response({"running": 0, "slots": self.settings.slots})

    async def handle_counts(self, request: Request) -> Response:
        """Return the counters."""
        return build_json_response(self.counts)

    async def handle_set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        data = await request.read() or b"{}"
        try:
            self.faults = read_faults(msgspec.json.decode(data))
        except (SettingsError, msgspec.MsgspecError) as error:
            return build_json_response({"error": str(error)}, 400)
        return build_json_response(self.faults)

    async def handle_silence(self, request: Request) -> Response:
        """Stop reading from all open connections except the one of this request."""
        this_connection = request.scope["wagtailstep.connection"]
        self.silence_open_connections(this_connection)
        return build_json_response({"silenced": len(self.silenced_connections)})

    def silence_open_connections(self, excluded: object = None) -> None:
        """Stop reading from all open connections permanently.

        :param excluded: a connection that keeps working.
        """
        for connection in self.server.state.connections:
            if connection is not excluded:
                connection.transport.pause_reading()
                self.silenced_connections.append(connection)

    async def handle_drain(self, request: Request) -> Response:
        """Start draining in the background."""
        self.drain_task = asyncio.create_task(self.drain())
        return build_json_response({"leaving": True})

    async def handle_work(self, request: Request) -> Response:
        """Handle a work request, and add what the server says of itself."""
        self.record_late_work()
        self.record_arrival(request)
        response = await self.run_or_shed(request)
        for name, value in self.faults.build_headers():
            response.add_header(name, value)
        return response

    def record_arrival(self, request: Request) -> None:
        """Record the arrival of a work request."""
        key = (request.get_first_header(KEY_HEADER) or b"").decode()
        at_s = self.clock.monotonic().total_seconds()
        self.arrivals.append(Arrival(at_s, key))

    async def run_or_shed(self, request: Request) -> Response:
        """Run a work request, or shed it if the queue is full."""
        if (
            self.requests_in_progress
            >= self.settings.slots + self.settings.queue_length
        ):
            self.counts.shed += 1
            return Response(503, [(b"retry-after", b"1")])
        self.requests_in_progress += 1
        self.counts.most_inside = max(
            self.counts.most_inside, self.requests_in_progress
        )
        try:
            work = await read_work(request, self.settings.work_ms)
            async with self.slots:
                return await self.run_work(work, request)
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            raise
        finally:
            self.requests_in_progress -= 1

    async def run_work(self, work: Work, request: Request) -> Response:
        """Simulate the processing of a request, subject to the injected faults."""
        faults = self.faults.active_at(
            self.clock.monotonic() / timedelta(milliseconds=1)
        )
        self.counts.started[work.key] += 1
        if faults.should_fail(work.route, self.rng):
            self.counts.failed += 1
            self.failed_at.append(self.clock.monotonic().total_seconds())
            return Response(500)
        prefix = self.settings.crash_key_prefix
        if prefix and work.key.startswith(prefix):
            await asyncio.sleep(self.rng.uniform(0, MAX_TIME_TO_CRASH_S))
            self.crashed_by = work.key
            self.crashed.set()
            await asyncio.Event().wait()
        await asyncio.sleep(self.work_time_s(work, faults))
        self.counts.runs[work.key] += 1
        connection = request.scope["wagtailstep.connection"]
        if draw_bool(self.rng, faults.hang_share):
            await asyncio.Event().wait()
        if draw_bool(self.rng, faults.lose_share):
            connection.reset_connection()
        truncated = draw_bool(self.rng, faults.truncate_share)
        return work.build_response(
            self.address, connection.transport.close if truncated else None
        )

    def record_late_work(self) -> None:
        """Record how long after the start of the drain new work arrived."""
        if self.drain_started_at is None:
            return
        delay_ms = (self.clock.monotonic() - self.drain_started_at) / timedelta(
            milliseconds=1
        )
        self.counts.late_work_ms = max(self.counts.late_work_ms, delay_ms)

    def work_time_s(self, work: Work, faults: Faults) -> float:
        """Return the processing time of a request in seconds."""
        age_ms = (self.clock.monotonic() - self.started_at) / timedelta(milliseconds=1)
        factor = faults.slow_factor
        if age_ms < self.settings.cold_start_ms:
            warmup_progress = age_ms / self.settings.cold_start_ms
            factor *= 1 + (self.settings.cold_factor - 1) * (1 - warmup_progress)
        return work.work_ms * factor / 1000


def build_json_response(value: object, status: int = 200) -> Response:
    """Build a response with a JSON body."""
    return Response(status, content=Content(b"application/json", encode(value)))


def encode(value: object) -> bytes:
    """Encode attrs classes, counters and plain values as JSON."""
    return msgspec.json.encode(value, enc_hook=_encode_other)


def _encode_other(value: object) -> object:
    if isinstance(value, Counter):
        return dict(value)
    raise TypeError(f"{type(value).__name__} can't be encoded as JSON")


async def serve(settings: BackendServerSettings, stop: asyncio.Event) -> None:
    """Run a stand-in until ``stop`` is set, then drain and stop it.

    After a drain by ``POST /drain`` it still serves its counters until then.

    :param stop: requests the shutdown when set.
    """
    server = BackendServer(settings)
    await server.start()
    await stop.wait()
    await server.drain()
    await server.drained.wait()
    await server.stop()
