"""A simulated network that carries control messages between controllers."""

import heapq
import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.dissemination import DisseminationController
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    AppendToLog,
    Controller,
    FollowStream,
    LogAppendFinished,
    LogRecordsRead,
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    TargetAnnounced,
    Tick,
)
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.log import LogRecord
from wagtailstep.models.settings import DaemonSettings, MembershipSettings
from wagtailstep.network.memory_channel import LinkRules
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message

TICK_INTERVAL_MS = 100
ANNOUNCE_INTERVAL_MS = 1_000


@attrs.define
class BusNode:
    """The control plane of one daemon on the bus.

    :param blackboard: shared state of the daemon's controllers.
    :param controllers: controllers, in the order in which they handle events.
    :param announced_targets: targets that are announced periodically, by identifier.
    :param events: recorded events, oldest first.
    :param running: whether it handles events; False after it was stopped.
    :param follows_log: whether it follows the log stream of members.
    :param log_offset: offset of the next record to read.
    :param handlers: bound event handlers of ``controllers``.
    """

    blackboard: Blackboard
    controllers: Sequence[Controller]
    announced_targets: dict[str, Target] = attrs.field(factory=dict)
    events: list[RecordEvent] = attrs.field(factory=list)
    running: bool = True
    follows_log: bool = False
    log_offset: int = 0
    handlers: list[Callable[[Any], list[Any]]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Bind the handlers once, like the runtime."""
        self.handlers = [controller.handle for controller in self.controllers]

    @property
    def daemon_id(self) -> str:
        """Return the name of the daemon."""
        return self.blackboard.this_member.daemon_id

    @property
    def address(self) -> str:
        """Return the address of the daemon's control channel."""
        return self.blackboard.this_member.peer_address

    def handle(self, event: Any) -> list[Any]:
        """Pass an event to all controllers and return their effects."""
        effects: list[Any] = []
        for handle in self.handlers:
            effects += handle(event)
        return effects


class ControlBus:
    """Runs the control planes of several daemons on one manual clock.

    :param seed: seed of the random generator.
    """

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.rules = LinkRules(delay_ms=(0.5, 2.0))
        self.nodes: dict[str, BusNode] = {}
        self.addresses: dict[str, BusNode] = {}
        self.queue: list[tuple[timedelta, int, BusNode, Any]] = []
        self.sequence = 0
        self.log: list[LogRecord] = []
        self.log_unavailable = False

    def add(
        self,
        daemon_id: str,
        membership: MembershipSettings,
        services: Sequence[str] = (),
        requested_services: Sequence[str] = (),
        incarnation: int = 0,
        zone: str = "bole",
        clock_skew: timedelta = timedelta(),
        targets_per_service: int = 1,
    ) -> BusNode:
        """Start a daemon with backend servers of the given services.

        :param requested_services: services whose targets the daemon needs to know.
        :param incarnation: 0 uses the wall-clock time in milliseconds.
        """
        address = f"{daemon_id}.test:7003"
        started_ms = round((self.clock.utc() + clock_skew).timestamp() * 1_000)
        member = Member(
            daemon_id=daemon_id,
            incarnation=incarnation or started_ms,
            peer_address=address,
            gate_address=f"{daemon_id}.test:7002",
            availability_zone=zone,
        )
        settings = DaemonSettings(
            daemon_id=daemon_id,
            availability_zone=zone,
            caller_address="127.0.0.1:7001",
            gate_address="127.0.0.1:7002",
            peer_address="127.0.0.1:7003",
            announce_address="127.0.0.1:7004",
            membership=membership,
        )
        node = self._create_node(settings, Blackboard(member), requested_services)
        for service in services:
            for port in range(8_000, 8_000 + targets_per_service):
                target_id = f"{service}/{daemon_id}.test:{port}"
                node.announced_targets[target_id] = Target(
                    target_id, service, daemon_id, zone
                )
        self.nodes[daemon_id] = self.addresses[address] = node
        # A random phase, so that daemons don't tick in lockstep.
        phase = timedelta(milliseconds=self.rng.uniform(0, TICK_INTERVAL_MS))
        self._schedule(phase, node, Tick())
        self._schedule(timedelta(), node, None)
        return node

    def _create_node(
        self,
        settings: DaemonSettings,
        board: Blackboard,
        requested_services: Sequence[str],
    ) -> BusNode:
        board.requested_services.update(requested_services)
        rng = random.Random(self.rng.random())
        arguments = (settings, board, self.clock, rng)
        controller_types = (
            MembershipController,
            DisseminationController,
            AnnouncementController,
        )
        return BusNode(
            board, [controller_type(*arguments) for controller_type in controller_types]
        )

    def stop(self, daemon_id: str) -> None:
        """Stop a daemon abruptly; it sends no more messages."""
        self.nodes[daemon_id].running = False

    def run(self, duration: timedelta) -> None:
        """Advance the clock and process all events that become due."""
        end = self.clock.monotonic() + duration
        while self.queue and self.queue[0][0] <= end:
            due_at, _, node, event = heapq.heappop(self.queue)
            self.clock.advance(max(due_at - self.clock.monotonic(), timedelta()))
            if node.running:
                self._process(node, event)
        self.clock.advance(end - self.clock.monotonic())

    def dispatch(self, node: BusNode, event: Any) -> None:
        """Pass an event to a daemon and apply the effects."""
        for effect in node.handle(event):
            self._apply(node, effect)

    def _process(self, node: BusNode, event: Any) -> None:
        if event is None:
            self._renew_announcements(node)
            return
        if isinstance(event, Tick):
            self._schedule(timedelta(milliseconds=TICK_INTERVAL_MS), node, event)
            self._read_log(node)
        self.dispatch(node, event)

    def _renew_announcements(self, node: BusNode) -> None:
        for target in node.announced_targets.values():
            self.dispatch(node, TargetAnnounced(target))
        self._schedule(timedelta(milliseconds=ANNOUNCE_INTERVAL_MS), node, None)

    def _schedule(self, delay: timedelta, node: BusNode, event: Any) -> None:
        self.sequence += 1
        due_at = self.clock.monotonic() + delay
        heapq.heappush(self.queue, (due_at, self.sequence, node, event))

    def _apply(self, node: BusNode, effect: Any) -> None:
        if isinstance(effect, SendToPeer):
            self.send(node, effect)
        elif isinstance(effect, AppendToLog):
            self._append(node, effect)
        elif isinstance(effect, FollowStream):
            node.follows_log = True
        elif isinstance(effect, RecordEvent):
            node.events.append(effect)

    def send(self, node: BusNode, effect: SendToPeer) -> None:
        """Schedule the delivery of a message, subject to the link rules."""
        receiver = self.addresses.get(effect.address)
        if receiver is None:
            return
        event = PeerMessageReceived(node.daemon_id, effect.message)
        for delay in self.rules.draw_delays(
            node.daemon_id, receiver.daemon_id, self.rng
        ):
            self._schedule(timedelta(milliseconds=delay), receiver, event)

    def _append(self, node: BusNode, effect: AppendToLog) -> None:
        offset = None
        if not self.log_unavailable:
            offset = len(self.log)
            self.log.append(LogRecord(offset, encode_message(effect.record)))
        result = LogAppendFinished(effect.append_id, offset, may_have_applied=False)
        self._schedule(timedelta(milliseconds=1), node, result)

    def _read_log(self, node: BusNode) -> None:
        if self.log_unavailable or not node.follows_log:
            return
        records = tuple(self.log[node.log_offset :])
        if records:
            node.log_offset = len(self.log)
            self.dispatch(node, LogRecordsRead("members", records))
