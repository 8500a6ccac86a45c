"""Runtime that dispatches events to controllers and carries out their effects."""

import asyncio
import functools
import logging
import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.timeline import Timeline
from wagtailstep.exceptions import (
    CollectionChangedError,
    DecodeError,
    LogError,
    LogUnavailableError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    AppendToLog,
    Controller,
    FollowStream,
    ListMembers,
    LogAppendFinished,
    LogReachability,
    MemberRegistered,
    MembersListed,
    PeerMessageReceived,
    ProbeTarget,
    RecordEvent,
    RegisterMember,
    SendToPeer,
    Tick,
)
from wagtailstep.models.keyed_store import Collection, KeyedStore, NullKeyedStore
from wagtailstep.models.log import LogService
from wagtailstep.models.peer import PeerChannel, StampedMessage
from wagtailstep.models.published_table import ContinueTableBuild, TableBuildDue
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.log_follower import LogFollower
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import encode_message
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
TICK_INTERVAL_MS = 100
# Requests have ended by then; the process should end soon after them.
MAX_UNREGISTER_TIME = timedelta(seconds=1)
# Ticks go on, late, in a process that stands still all the time.
MAX_SLEEPS_BEFORE_TICK = 3


@attrs.define
class RuntimeAdapters:
    """The adapters through which the runtime carries out effects.

    :param log: the platform's log service.
    :param channel: control channel to the other daemons.
    :param probe: runs a probe; its result is dispatched as an event.
    :param store: the platform's keyed store.
    """

    log: LogService
    channel: PeerChannel
    probe: Callable[[ProbeTarget], Any]
    store: KeyedStore = NullKeyedStore()


class Runtime:
    """Dispatch events to the controllers one at a time and apply their effects.

    :param settings: settings of the daemon.
    :param blackboard: shared state of the daemon.
    :param clock: source of the time of recorded events.
    :param rng: seeded random generator.
    :param adapters: adapters that carry out effects.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        adapters: RuntimeAdapters,
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.rng = rng
        self.adapters = adapters
        self.timeline = Timeline(settings, blackboard, clock)
        self.handlers: list[tuple[Controller, Callable[[Any], list[Any]]]] = []
        self.effect_handlers: dict[type, Callable[[Any], None]] = {}
        self.followers: dict[str, LogFollower] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def controllers(self) -> Sequence[Controller]:
        """The controllers, in the order in which they handle events."""
        return tuple(controller for controller, _ in self.handlers)

    @controllers.setter
    def controllers(self, controllers: Sequence[Controller]) -> None:
        # Bound once: the lookup of a singledispatch method costs more than its call.
        self.handlers = [(each, each.handle) for each in controllers]

    async def start(self) -> None:
        """Start receiving messages and ticking."""
        await self.adapters.channel.start(self.handle_peer_message)
        self.spawn(self.run_ticks())

    async def close(self) -> None:
        """Cancel all tasks and close the control channel."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.adapters.channel.close()

    def dispatch(self, event: Any) -> None:
        """Pass one event to each controller in turn and apply the effects.

        An exception in one controller is logged; the others still get the event.
        """
        for controller, handle in self.handlers:
            try:
                effects = handle(event)
            except Exception:
                LOGGER.exception(
                    "event=controller-failed controller=%s on=%s",
                    type(controller).__name__,
                    type(event).__name__,
                )
                continue
            self.apply_all(effects)

    def apply_all(self, effects: Sequence[Any]) -> None:
        """Apply effects in order."""
        for effect in effects:
            listener = self.effect_handlers.get(type(effect))
            if listener is None:
                apply_effect(effect, self)
            else:
                listener(effect)

    def handle_peer_message(self, sender: str, message: object) -> None:
        """Handle a message from another daemon on the control channel."""
        if not isinstance(message, StampedMessage):
            log_event(LOGGER, "message-not-stamped", logging.WARNING, sender=sender)
            return
        try:
            body = message.decode_body()
        except DecodeError as error:
            log_event(
                LOGGER, "message-unknown", logging.WARNING, sender=sender, error=error
            )
            return
        self.timeline.observe_message(message.lamport)
        self.dispatch(PeerMessageReceived(sender, body))

    async def run_ticks(self) -> None:
        """Dispatch a tick at a fixed interval."""
        while True:
            self.dispatch(Tick())
            await sleep_until_tick()

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine until it ends or the runtime closes."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.handle_task_done)

    def handle_task_done(self, task: asyncio.Task[None]) -> None:
        """Discard a finished task; an exception in it is a bug and is logged."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOGGER.error("event=task-failed", exc_info=task.exception())

    def record_event(self, kind: str, **fields: object) -> None:
        """Add an event to the timeline and write it to the log output."""
        texts = {key: str(value) for key, value in fields.items()}
        self.timeline.record(kind, texts)
        log_event(LOGGER, kind, **texts)

    def record_log_reachability(self, reachable: bool) -> None:
        """Record whether the log service is reachable and dispatch changes."""
        if reachable == self.blackboard.log_reachable:
            return
        self.blackboard.log_reachable = reachable
        self.record_event("log-reachability", reachable=reachable)
        self.dispatch(LogReachability(reachable))

    async def append(self, effect: AppendToLog) -> None:
        """Append a record to the log and dispatch the outcome."""
        data = encode_message(effect.record)
        offset = None
        may_have_applied = False
        try:
            offset = await self.adapters.log.append(effect.stream, data)
        except LogUnavailableError:
            self.record_log_reachability(False)
        except LogError:
            may_have_applied = True
        self.wake_follower(effect.stream)
        self.dispatch(LogAppendFinished(effect.append_id, offset, may_have_applied))

    def wake_follower(self, stream: str) -> None:
        """Read a followed stream now, as it may have grown."""
        follower = self.followers.get(stream)
        if follower is not None:
            follower.wake_up.set()

    def follow(self, stream: str, poll_ms: int = 0) -> None:
        """Start following a stream unless it is followed already.

        :param poll_ms: poll interval; 0 uses the one from the settings.
        """
        if stream in self.followers:
            return
        settings = self.settings.log
        if poll_ms:
            settings = attrs.evolve(settings, poll_ms=poll_ms)
        follower = LogFollower(
            settings,
            self.adapters.log,
            stream,
            self.dispatch,
            self.record_log_reachability,
            self.rng,
        )
        self.followers[stream] = follower
        self.spawn(follower.run())

    async def register_member(self, effect: RegisterMember) -> None:
        """Write this daemon's record to the member registry; dispatch the outcome."""
        data = effect.peer_address.encode()
        succeeded = True
        try:
            await self.adapters.store.put(Collection.MEMBERS, effect.daemon_id, data)
        except LogError as error:
            succeeded = False
            log_event(LOGGER, "member-not-registered", error=error)
        self.dispatch(MemberRegistered(succeeded))

    async def unregister_member(self) -> None:
        """Remove this daemon's record from the member registry, if one is used.

        The removal names the end of the registry: without a response it could
        otherwise be applied after the next process of this daemon has registered.
        """
        if self.settings.membership.member_source != "registry":
            return
        try:
            async with asyncio.timeout(MAX_UNREGISTER_TIME.total_seconds()):
                await self.remove_member_record()
        except (LogError, TimeoutError) as error:
            log_event(LOGGER, "member-not-unregistered", error=error)

    async def remove_member_record(self) -> None:
        """Remove the record; again if the registry changes at the same time.

        :raises LogError: if the store doesn't take it.
        """
        end = 0
        while True:
            try:
                await self.adapters.store.put(
                    Collection.MEMBERS, self.settings.daemon_id, b"", end
                )
                return
            except CollectionChangedError as error:
                end = error.end

    async def list_members(self) -> None:
        """Read the member registry and dispatch the addresses in it."""
        try:
            records = await self.adapters.store.read_newest(Collection.MEMBERS)
        except LogError as error:
            log_event(LOGGER, "members-not-listed", error=error)
            return
        addresses = {
            name: value.decode(errors="replace")
            for name, value in records.values.items()
            if value
        }
        self.dispatch(MembersListed(addresses))

    async def continue_table_build(self, effect: ContinueTableBuild) -> None:
        """Dispatch that the next accounts of a table are to be added."""
        await asyncio.sleep(effect.pause.total_seconds())
        self.dispatch(TableBuildDue())

    async def run_probe(self, effect: ProbeTarget) -> None:
        """Probe a target and dispatch the result."""
        self.dispatch(await self.adapters.probe(effect))


async def sleep_until_tick() -> None:
    """Sleep for a tick interval, and some more if the process stood still meanwhile.

    At a tick, controllers draw conclusions from others' silence. After a stall that is
    the silence of this process, until what others sent meanwhile has been handled.
    """
    loop = asyncio.get_running_loop()
    interval_s = TICK_INTERVAL_MS / 1_000
    for _ in range(MAX_SLEEPS_BEFORE_TICK):
        due_at = loop.time() + interval_s
        await asyncio.sleep(interval_s)
        if loop.time() < due_at + interval_s:
            return


@functools.singledispatch
def apply_effect(effect: Any, runtime: Runtime) -> None:
    """Carry out one effect.

    :raises TypeError: if no handler is registered for this type of effect.
    """
    raise TypeError(f"no handler for effects of type {type(effect).__name__}")


@apply_effect.register
def _(effect: SendToPeer, runtime: Runtime) -> None:
    lamport = runtime.timeline.stamp_message()
    stamped = StampedMessage.from_message(lamport, effect.message)
    runtime.adapters.channel.send(effect.address, stamped, effect.urgent)


@apply_effect.register
def _(effect: AppendToLog, runtime: Runtime) -> None:
    runtime.spawn(runtime.append(effect))


@apply_effect.register
def _(effect: FollowStream, runtime: Runtime) -> None:
    runtime.follow(effect.stream, effect.poll_ms)


@apply_effect.register
def _(effect: ProbeTarget, runtime: Runtime) -> None:
    runtime.spawn(runtime.run_probe(effect))


@apply_effect.register
def _(effect: ContinueTableBuild, runtime: Runtime) -> None:
    runtime.spawn(runtime.continue_table_build(effect))


@apply_effect.register
def _(effect: RecordEvent, runtime: Runtime) -> None:
    runtime.record_event(effect.kind, **effect.fields)


@apply_effect.register
def _(effect: RegisterMember, runtime: Runtime) -> None:
    runtime.spawn(runtime.register_member(effect))


@apply_effect.register
def _(effect: ListMembers, runtime: Runtime) -> None:
    runtime.spawn(runtime.list_members())
