"""A small fleet of real entries with a fake network, gates and log service."""

import asyncio
import random
from datetime import timedelta
from typing import Any

import attrs

from benchmarks.histories.checker import build_answer
from benchmarks.histories.history import Execution, RunHistory
from benchmarks.histories.network import FakeLog, FakeNetwork, Faults
from wagtailstep import exceptions
from wagtailstep.controllers.guard import DuplicateGuard
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.models import headers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer, IncomingRequest
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.headers import find_header
from wagtailstep.models.idempotency import RequestDecided
from wagtailstep.models.log import LogBatch
from wagtailstep.models.settings import DaemonSettings, LogSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.entry import EntryService
from wagtailstep.network.runtime import Runtime, RuntimeAdapters
from wagtailstep.utils.clock import LoopClock

SERVICE = "contracts"
SENDING_HEADER = "x-sending"
ADDRESS = "127.0.0.1:0"
CONNECT_TIMEOUT_S = 0.1


@attrs.define
class CompleteAnswer:
    """A response that a caller's HTTP client has read completely."""

    status: int
    headers: headers.Headers
    body: bytes


async def yield_bytes(data: bytes) -> Any:
    """Yield a body in up to two chunks."""
    half = len(data) // 2
    for chunk in (data[:half], data[half:]):
        if chunk:
            yield chunk


async def yield_truncated_bytes(data: bytes) -> Any:
    """Yield half of a body, then raise the error of a truncated response."""
    yield data[: len(data) // 2]
    raise exceptions.TruncatedAnswerError("the answer ended early")


class NullChannel:
    """A control channel that drops all messages."""

    async def start(self, receive: Any) -> None:
        """Do nothing; no message ever arrives."""

    async def close(self) -> None:
        """Do nothing; there is no connection."""

    def send(self, address: str, message: object) -> None:
        """Drop a message."""


@attrs.define
class LogClient:
    """Access of one daemon to the fake log service."""

    daemon_id: str
    log: FakeLog

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record."""
        return await self.log.append(self.daemon_id, stream, data)

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogBatch:
        """Read records."""
        return await self.log.read(self.daemon_id, stream, offset)

    async def oldest_offset(self, stream: str) -> int:
        """Return the oldest retained offset."""
        batch = await self.read(stream, self.log.oldest.get(stream, 0))
        return batch.oldest_offset


class FakeDaemon:
    """A daemon with a real entry and its controllers, and a fake gate.

    It is the forwarder and the relay of its entry, in place of the HTTP clients.
    """

    def __init__(self, daemon_id: str, fleet: "FakeFleet") -> None:
        self.daemon_id = daemon_id
        self.fleet = fleet
        self.incarnation = 0
        self.not_paused = asyncio.Event()
        self.not_paused.set()
        self.tasks: set[asyncio.Task] = set()

    async def boot(self) -> None:
        """Start, or restart without the state that was in memory."""
        self.incarnation += 1
        # Every start uses the same seed, as correctness must not depend on a restarted
        # daemon drawing different random numbers.
        self.up = True
        settings = DaemonSettings(
            self.daemon_id, *["z", ADDRESS, ADDRESS, ADDRESS, ADDRESS]
        )
        settings = attrs.evolve(settings, log=LogSettings(poll_ms=50))
        self.board = self.fleet.create_blackboard(self)
        rng = random.Random(f"{self.fleet.seed}/{self.daemon_id}")
        parts = (settings, self.board, LoopClock(), rng)
        log = LogClient(self.daemon_id, self.fleet.log)
        self.runtime = Runtime(*parts, RuntimeAdapters(log, NullChannel(), None))
        self.routing = RoutingController(*parts)
        self.guard = DuplicateGuard(*parts)
        self.entry = EntryService(
            *parts,
            routing=self.routing,
            guard=self.guard,
            forwarder=self,
            relay=self,
            dispatch=self.runtime.dispatch,
            apply=self.runtime.apply_all,
        )
        self.runtime.controllers = (self.routing, self.guard)
        self.runtime.effect_handlers[RequestDecided] = self.entry.deliver_decision
        await self.runtime.start()

    def crash(self) -> None:
        """Stop at once; code that still runs has no effects any more."""
        self.up = False
        self.runtime.apply_all = lambda effects: None
        for task in [*self.tasks, *self.runtime.tasks]:
            task.cancel()

    def spawn(self, coroutine: Any) -> asyncio.Task:
        """Run a coroutine until it ends or the daemon crashes."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def handle(self, incoming: IncomingRequest) -> CompleteAnswer:
        """Handle a request and read its response, as the HTTP server does.

        :raises RequestError: if the transfer of the response fails.
        """
        await self.not_paused.wait()
        answer = await self.entry.handle(incoming)
        try:
            body = b"".join([chunk async for chunk in answer.body])
        finally:
            await answer.close()
        await self.not_paused.wait()
        return CompleteAnswer(answer.status, answer.headers, body)

    async def forward(
        self,
        request: Any,
        gate: Member,
        target_id: str,
        incoming: IncomingRequest,
        time_left: timedelta,
    ) -> Answer:
        """Send one attempt to a gate, with the interface of the real forwarder."""
        await self.not_paused.wait()
        gate_daemon = self.fleet.daemons[gate.daemon_id]
        await self.fleet.connect(self.daemon_id, gate_daemon)
        body = b"".join([chunk async for chunk in incoming.body])
        sending = int(find_header(incoming.headers, SENDING_HEADER))
        exchange = self.fleet.exchange_with_gate(
            self.daemon_id, gate_daemon, sending, body
        )
        return await self.fleet.wait_for_reply(exchange, time_left)

    async def relay(
        self, member: Member, incoming: IncomingRequest, time_left: timedelta
    ) -> Answer:
        """Relay a request to another entry, with the interface of the real relay."""
        await self.not_paused.wait()
        other = self.fleet.daemons[member.daemon_id]
        exchange = self.fleet.exchange_with_entry(self.daemon_id, other, incoming)
        answer = await self.fleet.wait_for_reply(exchange, time_left)
        verdict = Verdict(find_header(answer.headers, headers.VERDICT))
        return Answer(answer.status, answer.headers, yield_bytes(answer.body), verdict)


class FakeFleet:
    """Daemons, each beside one backend server, and what connects them."""

    def __init__(self, seed: int, size: int, rows: dict[str, Any]) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.network = FakeNetwork(self.rng, self.faults)
        self.log = FakeLog(self.network)
        self.history = RunHistory()
        self.rows = rows
        self.backend_crashes: dict[str, int] = {}
        self.tasks: set[asyncio.Task] = set()
        ids = [f"d{number}" for number in range(1, size + 1)]
        self.daemons = {daemon_id: FakeDaemon(daemon_id, self) for daemon_id in ids}

    def create_blackboard(self, daemon: FakeDaemon) -> Blackboard:
        """Create the blackboard of a daemon that has found all members and targets."""
        members = {
            other.daemon_id: Member(
                other.daemon_id, other.incarnation, ADDRESS, ADDRESS, "z"
            )
            for other in self.daemons.values()
        }
        board = Blackboard(members[daemon.daemon_id], members=members, table_known=True)
        board.table.services.update(self.rows)
        board.log_reachable = True
        for daemon_id in members:
            target = Target(f"{SERVICE}/{daemon_id}:80", SERVICE, daemon_id, "z")
            board.targets[target.target_id] = target
        return board

    def spawn(self, coroutine: Any) -> asyncio.Task:
        """Run a coroutine that goes on when a daemon crashes."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def connect(self, sender: str, daemon: FakeDaemon) -> None:
        """Open a connection to a daemon.

        :raises ConnectionFailedError: with ``NOT_RUN`` if the connection fails.
        """
        request_arrived = await self.network.deliver(sender, daemon.daemon_id)
        reply_arrived = await self.network.deliver(daemon.daemon_id, sender)
        if not (request_arrived and reply_arrived):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        if not (request_arrived and reply_arrived and daemon.up):
            raise exceptions.ConnectionFailedError("no connection", Verdict.NOT_RUN)

    async def wait_for_reply(self, exchange: Any, time_left: timedelta) -> Any:
        """Wait for a reply; after a time-out the exchange still goes on.

        :raises RequestError: with ``MAY_HAVE_RUN`` if there is no reply in time.
        """
        task = self.spawn(exchange)
        try:
            async with asyncio.timeout(time_left.total_seconds()):
                return await asyncio.shield(task)
        except TimeoutError:
            raise exceptions.DeadlineExceededError(
                "no reply", Verdict.MAY_HAVE_RUN
            ) from None

    async def deliver_or_hang(self, sender: str, receiver: str) -> None:
        """Deliver a message; if it is lost, wait as long as a hung connection."""
        if not await self.network.deliver(sender, receiver):
            await asyncio.sleep(3_600)

    async def exchange_with_entry(
        self, sender: str, daemon: FakeDaemon, incoming: IncomingRequest
    ) -> CompleteAnswer:
        """Deliver a request to a daemon's entry and its response to the sender."""
        await self.connect(sender, daemon)
        await self.deliver_or_hang(sender, daemon.daemon_id)
        handling = daemon.spawn(daemon.handle(incoming))
        await asyncio.wait([handling])
        if handling.cancelled():
            raise exceptions.ConnectionFailedError("reset", Verdict.MAY_HAVE_RUN)
        answer = handling.result()
        await self.deliver_or_hang(daemon.daemon_id, sender)
        return answer

    async def exchange_with_gate(
        self, sender: str, daemon: FakeDaemon, sending: int, body: bytes
    ) -> Answer:
        """Deliver an attempt to a gate, run it and deliver the response."""
        incarnation = daemon.incarnation
        await self.deliver_or_hang(sender, daemon.daemon_id)
        await daemon.not_paused.wait()
        if not daemon.up or daemon.incarnation != incarnation:
            raise exceptions.ConnectionFailedError("reset", Verdict.MAY_HAVE_RUN)
        if self.rng.random() < self.faults.refusal_probability:
            await self.deliver_or_hang(daemon.daemon_id, sender)
            raise self.build_refusal_error()
        answer = await self.execute(daemon, sending, int(body))
        if not daemon.up or daemon.incarnation != incarnation:
            raise exceptions.ConnectionFailedError("reset", Verdict.MAY_HAVE_RUN)
        await self.deliver_or_hang(daemon.daemon_id, sender)
        return answer

    def build_refusal_error(self) -> exceptions.RequestError:
        """Build a gate's error for a request that it refused without running it."""
        if self.rng.random() < 0.5:
            return exceptions.LeavingError("the backend server is leaving")
        return exceptions.OverloadedError("no free slot", timedelta(seconds=1))

    async def execute(self, daemon: FakeDaemon, sending: int, operation: int) -> Answer:
        """Run a request on a backend server; it takes effect halfway through.

        :raises ConnectionFailedError: if the backend server crashes while it runs.
        """
        crashes = self.backend_crashes.get(daemon.daemon_id, 0)
        for has_run in (False, True):
            await asyncio.sleep(self.rng.uniform(0.001, 0.02))
            if self.backend_crashes.get(daemon.daemon_id, 0) != crashes:
                raise exceptions.ConnectionFailedError("crash", Verdict.MAY_HAVE_RUN)
            if not has_run:
                now = asyncio.get_running_loop().time()
                self.history.executions.append(Execution(operation, sending, now))
        text = build_answer(operation, sending).encode()
        if self.rng.random() < self.faults.truncation_probability:
            return Answer(200, (), yield_truncated_bytes(text), Verdict.RUN)
        return Answer(200, (), yield_bytes(text), Verdict.RUN)

    async def close(self) -> None:
        """Stop all daemons and tasks."""
        for daemon in self.daemons.values():
            daemon.crash()
        tasks = [*self.tasks, *self.log.late_appends]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
