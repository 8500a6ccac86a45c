"""Simulate the table controllers of many daemons in virtual time, with faults."""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

import attrs

from wagtailstep.controllers.table import TableController
from wagtailstep.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordExpiredError,
)
from wagtailstep.fakes.log_service import InMemoryLogService, LogFaults
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    AppendToLog,
    LogAppendFinished,
    LogCaughtUp,
    LogGap,
    LogRecordsRead,
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    Tick,
)
from wagtailstep.models.fleet import Member
from wagtailstep.models.settings import DaemonSettings, LogSettings, TableSettings
from wagtailstep.models.table_edits import TABLE_STREAM, TableEdit
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message

TICK_INTERVAL = timedelta(milliseconds=100)
DATAGRAM_BYTES = 40
ADDRESS = "127.0.0.1:1"

_T = TypeVar("_T")


def run_without_waiting(call: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine that never suspends and return its result.

    :raises RuntimeError: if it suspends.
    """
    try:
        call.send(None)
    except StopIteration as completed:
        return completed.value
    raise RuntimeError("the coroutine suspended")


@attrs.define
class NetworkFaults:
    """Latency and faults of messages between daemons.

    :param min_latency_ms: shortest latency of a message.
    :param max_latency_ms: longest latency; a wide range reorders messages.
    :param drop: fraction of messages that are lost.
    :param duplicate: fraction of messages that arrive twice.
    :param blocked_links: pairs of sender and receiver whose messages are lost.
    """

    min_latency_ms: float = 0.5
    max_latency_ms: float = 5.0
    drop: float = 0.0
    duplicate: float = 0.0
    blocked_links: set[tuple[str, str]] = attrs.field(factory=set)


@attrs.define
class FleetDaemon:
    """One daemon: its table controller, its faults and what was observed of it.

    :param up: whether it runs.
    :param offset: next offset of the log to read; ``None`` before the first read.
    :param reads_log: whether it can read the log.
    :param appends: whether it can append to the log.
    :param append_delay: delay until its appends reach the log.
    :param versions: time and number of each version in force, over all restarts.
    :param known_at: when it first had a table since its last restart.
    """

    name: str
    controller: TableController
    blackboard: Blackboard
    started_at: timedelta
    up: bool = True
    offset: int | None = None
    reads_log: bool = True
    appends: bool = True
    append_delay: timedelta = timedelta()
    versions: list[tuple[timedelta, int]] = attrs.field(factory=list)
    known_at: timedelta | None = None
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0


class TableFleet:
    """Daemons, their messages and the log, in one virtual time.

    :param seed: seed of all random choices.
    :param size: number of daemons.
    :param create_controller: creates the controllers; tests pass faulty ones.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        log_settings: LogSettings | None = None,
        table_settings: TableSettings | None = None,
        create_controller: Callable[..., TableController] = TableController,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.log_settings = log_settings or LogSettings()
        self.table_settings = table_settings or TableSettings()
        self.create_controller = create_controller
        self.log = InMemoryLogService(
            self.clock, LogFaults(retention_s=self.log_settings.retention_s)
        )
        self.network = NetworkFaults()
        self.queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.handling_s = 0.0
        self.events: list[tuple[timedelta, str, RecordEvent]] = []
        names = [f"d{index:04d}" for index in range(size)]
        self.members = {
            name: Member(name, 0, f"{name}:1", f"{name}:2", "bole") for name in names
        }
        self.daemons: dict[str, FleetDaemon] = {}
        for name in names:
            self.start(name)

    # Time

    def schedule(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        when = self.clock.monotonic() + delay
        heapq.heappush(self.queue, (when, next(self.sequence_numbers), call))

    def run(self, duration: timedelta) -> None:
        """Advance virtual time and run the scheduled calls."""
        end = self.clock.monotonic() + duration
        while self.queue and self.queue[0][0] <= end:
            when, _, call = heapq.heappop(self.queue)
            self.clock.advance(when - self.clock.monotonic())
            call()
        self.clock.advance(end - self.clock.monotonic())

    # Daemons

    def start(self, name: str) -> None:
        """Start or restart a daemon without any state in memory."""
        settings = DaemonSettings(
            *(name, "bole", *[ADDRESS] * 4),
            log=self.log_settings,
            table=self.table_settings,
        )
        board = Blackboard(self.members[name], members=self.members)
        rng = random.Random(self.rng.getrandbits(64))
        controller = self.create_controller(settings, board, self.clock, rng)
        daemon = FleetDaemon(name, controller, board, self.clock.monotonic())
        previous = self.daemons.get(name)
        if previous is not None:
            daemon.versions = previous.versions
            daemon.reads_log = previous.reads_log
            daemon.appends = previous.appends
        self.daemons[name] = daemon
        poll = timedelta(milliseconds=self.log_settings.poll_ms)
        self.schedule(TICK_INTERVAL * self.rng.random(), lambda: self.tick(daemon))
        self.schedule(poll * self.rng.random(), lambda: self.poll(daemon))

    def stop(self, name: str) -> None:
        """Stop a daemon; its state in memory is lost."""
        self.daemons[name].up = False

    def restart(self, name: str, downtime: timedelta) -> None:
        """Stop a daemon and start it again after a downtime."""
        if not self.daemons[name].up:
            return
        self.stop(name)
        self.schedule(downtime, lambda: self.start(name))

    def dispatch(self, daemon: FleetDaemon, event: Any) -> None:
        """Dispatch one event to a daemon and apply its effects."""
        if not daemon.up:
            return
        started = time.perf_counter()
        effects = daemon.controller.handle(event)
        self.handling_s += time.perf_counter() - started
        for effect in effects:
            self.apply(daemon, effect)
        self.record_version(daemon)

    def record_version(self, daemon: FleetDaemon) -> None:
        """Record the version in force at a daemon if it changed."""
        if not daemon.blackboard.table_known:
            return
        now = self.clock.monotonic()
        if daemon.known_at is None:
            daemon.known_at = now
        version = daemon.blackboard.table.version
        if not daemon.versions or daemon.versions[-1][1] != version:
            daemon.versions.append((now, version))

    def tick(self, daemon: FleetDaemon) -> None:
        """Dispatch a tick to a daemon and schedule the next one."""
        if daemon.up:
            self.dispatch(daemon, Tick())
            self.schedule(TICK_INTERVAL, lambda: self.tick(daemon))

    # The log

    def poll(self, daemon: FleetDaemon) -> None:
        """Read the log for a daemon and schedule the next poll."""
        if not daemon.up:
            return
        if daemon.reads_log:
            try:
                self.read_log(daemon)
            except LogUnavailableError:
                pass
        poll = timedelta(milliseconds=self.log_settings.poll_ms)
        self.schedule(poll, lambda: self.poll(daemon))

    def read_log(self, daemon: FleetDaemon) -> None:
        """Read all new records for a daemon."""
        oldest = run_without_waiting(self.log.oldest_offset(TABLE_STREAM))
        if daemon.offset is None:
            daemon.offset = oldest
            if oldest:
                self.dispatch(daemon, LogGap(TABLE_STREAM, oldest))
        while True:
            try:
                batch = run_without_waiting(self.log.read(TABLE_STREAM, daemon.offset))
            except RecordExpiredError as error:
                daemon.offset = error.oldest
                self.dispatch(daemon, LogGap(TABLE_STREAM, error.oldest))
                continue
            daemon.offset = batch.next_offset
            if not batch.records:
                self.dispatch(
                    daemon,
                    LogCaughtUp(
                        TABLE_STREAM, batch.next_offset, self.clock.monotonic()
                    ),
                )
                return
            self.dispatch(daemon, LogRecordsRead(TABLE_STREAM, batch.records))

    def append_edit(self, edit: TableEdit) -> int:
        """Append an edit like an operator's program and return its offset."""
        return run_without_waiting(self.log.append(TABLE_STREAM, encode_message(edit)))

    # Effects

    def apply(self, daemon: FleetDaemon, effect: Any) -> None:
        """Apply one effect."""
        if isinstance(effect, SendToPeer):
            self.send(daemon, effect)
        elif isinstance(effect, AppendToLog):
            delay = daemon.append_delay
            self.schedule(delay, lambda: self.append(daemon, effect))
        elif isinstance(effect, RecordEvent):
            self.events.append((self.clock.monotonic(), daemon.name, effect))

    def append(self, daemon: FleetDaemon, effect: AppendToLog) -> None:
        """Append a record for a daemon and dispatch the result to it."""
        offset, may_have_applied = None, False
        try:
            if daemon.appends:
                data = encode_message(effect.record)
                offset = run_without_waiting(self.log.append(effect.stream, data))
        except LogUnavailableError:
            pass
        except AppendUnknownError:
            may_have_applied = True
        append_event = LogAppendFinished(effect.append_id, offset, may_have_applied)
        self.dispatch(daemon, append_event)

    def send(self, daemon: FleetDaemon, effect: SendToPeer) -> None:
        """Send a message, which may be lost, delayed or duplicated."""
        size = len(encode_message(effect.message)) + DATAGRAM_BYTES
        daemon.bytes_sent += size
        daemon.messages_sent += 1
        receiver = effect.address.partition(":")[0]
        faults = self.network
        if (
            daemon.name,
            receiver,
        ) in faults.blocked_links or self.rng.random() < faults.drop:
            return
        copies = 2 if self.rng.random() < faults.duplicate else 1
        event = PeerMessageReceived(daemon.name, effect.message)
        for _ in range(copies):
            latency = self.rng.uniform(faults.min_latency_ms, faults.max_latency_ms)
            delay = timedelta(milliseconds=latency)
            self.schedule(delay, lambda: self.deliver(receiver, event, size))

    def deliver(self, receiver: str, event: PeerMessageReceived, size: int) -> None:
        """Deliver a message to the current incarnation of its receiver."""
        daemon = self.daemons[receiver]
        daemon.bytes_received += size
        self.dispatch(daemon, event)

    # Findings

    def count_events(self, kind: str) -> int:
        """Return how many events of a type were recorded."""
        return sum(event.kind == kind for _, _, event in self.events)

    def find_reverts(self) -> list[str]:
        """Return a description of each change of a daemon to an older version."""
        reverts: list[str] = []
        for daemon in self.daemons.values():
            for (_, previous), (when, after) in itertools.pairwise(daemon.versions):
                if after < previous:
                    reverts.append(
                        f"{daemon.name} went from {previous} to {after} at {when}"
                    )
        return reverts

    def versions_in_force(self) -> set[int | None]:
        """Return the versions in force at running daemons; ``None`` for no table."""
        return {
            daemon.blackboard.table.version if daemon.blackboard.table_known else None
            for daemon in self.daemons.values()
            if daemon.up
        }
