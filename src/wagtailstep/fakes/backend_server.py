"""Stand-in for a backend server that counts what it ran.

Real work is any path that is not listed here. Its time is taken from the header
``fake-work-ms``; its answer repeats the header ``fake-key``, so that a caller can
tell its own answer from another one. Besides:

- ``GET /health`` and ``GET /load``: hints that mislead.
- ``GET /counts``: how often each key was run, and what else was seen.
- ``PUT /faults``: JSON of :class:`wagtailstep.fakes.faults.Faults`.
- ``POST /silence``: all connections that are open now go silent for good.
- ``POST /drain``: leave, as on SIGTERM.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs
import msgspec
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router

from wagtailstep.exceptions import SettingsError
from wagtailstep.fakes.announcer import Announcement, Announcer
from wagtailstep.fakes.faults import Faults, draw_bool, read_faults
from wagtailstep.fakes.work import Work, WorkCounts, read_work
from wagtailstep.models.settings import (
    check_address,
    check_name,
    not_negative,
    positive,
)
from wagtailstep.network.http_server import HttpServer
from wagtailstep.utils.clock import LoopClock


@attrs.frozen
class BackendServerSettings:
    """Settings of one backend server stand-in.

    :param service: name of the service.
    :param address: ``host:port`` to listen on; port 0 takes a free one.
    :param announce_address: ``host:port`` of the daemon beside it; empty for none.
    :param slots: requests that it runs at the same time.
    :param queue_length: requests that may wait for a slot before it sheds load.
    :param work_ms: time of a request that names none.
    :param cold_start_ms: time from start to full speed.
    :param cold_factor: factor on the time of requests at the very start.
    :param drain_limit_s: longest time to finish work when leaving.
    :param seed: seed of random choices.
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


class BackendServer:
    """One stand-in, usable in a test or as a process of its own.

    :param settings: its settings.
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
        self.address = ""
        self.announcer: Announcer | None = None
        self.announce_task: asyncio.Task[None] | None = None
        self.silenced_connections: list[object] = []
        self.application = self.create_application()
        self.server = HttpServer(self.application, lambda: None)

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
        """Listen and begin to announce.

        :return: ``host:port`` that is listened on.
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
        """Tell the daemon, finish what is running, and stop listening.

        The listener stays open meanwhile: work that was accepted for this backend
        server may still arrive.
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
        """Stop at once, whatever is running."""
        if self.announce_task is not None:
            self.announce_task.cancel()
        await self.server.close()

    async def handle_health(self, request: Request) -> Response:
        """Answer that all is well, whatever the faults."""
        return answer_json({"status": "ok"})

    async def handle_load(self, request: Request) -> Response:
        """Answer with a load that is always low."""
        return answer_json({"running": 0, "slots": self.settings.slots})

    async def handle_counts(self, request: Request) -> Response:
        """Answer with what was counted."""
        return answer_json(self.counts)

    async def handle_set_faults(self, request: Request) -> Response:
        """Take other faults."""
        data = await request.read() or b"{}"
        try:
            self.faults = read_faults(msgspec.json.decode(data))
        except (SettingsError, msgspec.MsgspecError) as error:
            return answer_json({"error": str(error)}, 400)
        return answer_json(self.faults)

    async def handle_silence(self, request: Request) -> Response:
        """Read nothing more from the connections that are open, bar this one."""
        this_connection = request.scope["wagtailstep.connection"]
        self.silence_open_connections(this_connection)
        return answer_json({"silenced": len(self.silenced_connections)})

    def silence_open_connections(self, excluded: object = None) -> None:
        """Stop reading from all open connections, for good.

        :param excluded: a connection that goes on working.
        """
        for connection in self.server.state.connections:
            if connection is not excluded:
                connection.transport.pause_reading()
                self.silenced_connections.append(connection)

    async def handle_drain(self, request: Request) -> Response:
        """Leave in the background."""
        self.drain_task = asyncio.create_task(self.drain())
        return answer_json({"leaving": True})

    async def handle_work(self, request: Request) -> Response:
        """Run one real request, or shed it if too many wait."""
        self.record_late_work()
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
        """Spend the time of a request, count it, and answer with its faults."""
        faults = self.faults.active_at(
            self.clock.monotonic() / timedelta(milliseconds=1)
        )
        self.counts.started[work.key] += 1
        if faults.should_fail(work.route, self.rng):
            self.counts.failed += 1
            return Response(500)
        await asyncio.sleep(self.work_time_s(work, faults))
        self.counts.runs[work.key] += 1
        connection = request.scope["wagtailstep.connection"]
        if draw_bool(self.rng, faults.hang_share):
            await asyncio.Event().wait()
        if draw_bool(self.rng, faults.lose_share):
            connection.break_connection()
        truncated = draw_bool(self.rng, faults.truncate_share)
        return work.build_response(
            self.address, connection.transport.close if truncated else None
        )

    def record_late_work(self) -> None:
        """Note how long after leaving new work still came."""
        if self.drain_started_at is None:
            return
        late = (self.clock.monotonic() - self.drain_started_at) / timedelta(
            milliseconds=1
        )
        self.counts.late_work_ms = max(self.counts.late_work_ms, late)

    def work_time_s(self, work: Work, faults: Faults) -> float:
        """Return the time that a request takes, in seconds."""
        age_ms = (self.clock.monotonic() - self.started_at) / timedelta(milliseconds=1)
        factor = faults.slow_factor
        if age_ms < self.settings.cold_start_ms:
            warmup_progress = age_ms / self.settings.cold_start_ms
            factor *= 1 + (self.settings.cold_factor - 1) * (1 - warmup_progress)
        return work.work_ms * factor / 1000


def wrap_handler(
    method: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Return a function for a method, since BlackSheep sets attributes on it."""

    async def handler(request: Request) -> Response:
        return await method(request)

    return handler


def answer_json(value: object, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, content=Content(b"application/json", encode(value)))


def encode(value: object) -> bytes:
    """Encode attrs classes, counters and plain values as JSON."""
    return msgspec.json.encode(value, enc_hook=_encode_other)


def _encode_other(value: object) -> object:
    if isinstance(value, Counter):
        return dict(value)
    raise TypeError(f"no JSON form of {type(value).__name__}")


async def serve(settings: BackendServerSettings, stop: asyncio.Event) -> None:
    """Run a stand-in until it is told to stop, then leave and finish.

    One that has left by ``POST /drain`` still tells its counts until then.

    :param stop: set it to make the stand-in leave and end.
    """
    server = BackendServer(settings)
    await server.start()
    await stop.wait()
    await server.drain()
    await server.drained.wait()
    await server.stop()
