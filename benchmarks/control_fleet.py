"""Run fleets of real membership and dissemination controllers on an in-memory bus."""

import functools
import random
import time
from collections import Counter
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.digests import DigestQueue
from wagtailstep.fakes.control_bus import BusNode, ControlBus
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.fleet import Member
from wagtailstep.models.membership import MemberEntry
from wagtailstep.models.peer import StampedMessage
from wagtailstep.models.settings import MembershipSettings
from wagtailstep.utils.codec import decode_message, encode_message

OBSERVED_DAEMON_COUNT = 6
LAMPORT_EXAMPLE = 1_000_000


@attrs.frozen
class FleetShape:
    """Size and services of a fleet.

    :param daemons: number of daemons.
    :param services: number of services.
    :param served_per_daemon: services with backend servers beside each daemon.
    :param requested_per_daemon: further services whose targets each daemon needs.
    :param targets_per_service: backend servers of each served service per daemon.
    """

    daemons: int
    services: int
    served_per_daemon: int
    requested_per_daemon: int
    targets_per_service: int

    @property
    def targets(self) -> int:
        """Return the number of targets of the fleet."""
        return self.daemons * self.served_per_daemon * self.targets_per_service


@attrs.define
class Load:
    """Messages and processor time of the observed daemons during a measurement.

    :param sent: messages sent by type.
    :param sent_bytes: their encoded size by type, with sender and logical time.
    :param received: messages received.
    :param received_bytes: their encoded size.
    :param cpu_s: processor time of controllers and codec.
    """

    sent: Counter[str] = attrs.field(factory=Counter)
    sent_bytes: Counter[str] = attrs.field(factory=Counter)
    received: int = 0
    received_bytes: int = 0
    cpu_s: float = 0.0


def encode_stamped(sender: str, message: Any) -> list[bytes]:
    """Encode a message as the runtime does, with its sender and logical time."""
    stamped = StampedMessage.from_message(LAMPORT_EXAMPLE, message)
    return [sender.encode(), encode_message(stamped)]


def decode_stamped(frames: list[bytes]) -> Any:
    """Decode the frames that :func:`encode_stamped` built."""
    return decode_message(frames[1]).decode_body()


@functools.lru_cache(maxsize=100_000)
def intern_member(entry: MemberEntry) -> Member:
    """Return one shared member for equal entries, to save memory in this process."""
    return _TO_MEMBER(entry)


_TO_MEMBER = MemberEntry.to_member
MemberEntry.to_member = intern_member


class MeasuredBus(ControlBus):
    """A bus that measures the load of some of its daemons.

    :param seed: seed of all random choices.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.observed: set[str] = set()
        self.lapses_before = 0
        self.restarts: list[timedelta] = []
        self.load = Load()

    def send(self, node: BusNode, effect: SendToPeer) -> None:
        """Send one message; encode it if an observed daemon sends or receives it."""
        receiver = self.addresses.get(effect.address)
        sends = node.daemon_id in self.observed
        receives = receiver is not None and receiver.daemon_id in self.observed
        if sends or receives:
            started = time.process_time()
            frames = encode_stamped(node.daemon_id, effect.message)
            size = sum(map(len, frames))
            if sends:
                self.load.cpu_s += time.process_time() - started
                name = type(effect.message).__name__
                self.load.sent[name] += 1
                self.load.sent_bytes[name] += size
            if receives:
                self._receive(frames, size)
        super().send(node, effect)

    def _receive(self, frames: list[bytes], size: int) -> None:
        started = time.process_time()
        decode_stamped(frames)
        self.load.cpu_s += time.process_time() - started
        self.load.received += 1
        self.load.received_bytes += size

    def dispatch(self, node: BusNode, event: Any) -> None:
        """Dispatch an event to a daemon, and measure the time if it is observed."""
        if node.daemon_id not in self.observed:
            super().dispatch(node, event)
            return
        started = time.process_time()
        effects = node.handle(event)
        self.load.cpu_s += time.process_time() - started
        for effect in effects:
            self._apply(node, effect)


def build_fleet(shape: FleetShape, settings: MembershipSettings, seed: int) -> Any:
    """Start a fleet whose daemons all know all members.

    :return: the bus.
    """
    bus = MeasuredBus(seed)
    rng = random.Random(seed)
    for index in range(shape.daemons):
        first = index * shape.served_per_daemon
        serves = [
            name_service(first + i, shape) for i in range(shape.served_per_daemon)
        ]
        other_indices = [
            i for i in range(shape.services) if name_service(i, shape) not in serves
        ]
        requested_indices = rng.sample(
            other_indices, min(shape.requested_per_daemon, len(other_indices))
        )
        requested = [name_service(i, shape) for i in requested_indices]
        node = bus.add(
            f"daemon-{index:04d}",
            settings,
            serves,
            requested,
            zone=f"zone-{index % 14:02d}",
            targets_per_service=shape.targets_per_service,
        )
        set_services(node, tuple(sorted(set(serves))), tuple(sorted(requested)))
    members = {name: node.blackboard.this_member for name, node in bus.nodes.items()}
    for node in bus.nodes.values():
        node.blackboard.members.update(members)
    bus.observed = set(
        rng.sample(sorted(bus.nodes), min(OBSERVED_DAEMON_COUNT, shape.daemons))
    )
    return bus


def name_service(index: int, shape: FleetShape) -> str:
    """Return the name of a service."""
    return f"service-{index % shape.services:03d}"


def set_services(
    node: BusNode, serves: tuple[str, ...], wants: tuple[str, ...]
) -> None:
    """Set the services of a daemon as if it had announced them."""
    member = attrs.evolve(
        node.blackboard.this_member, serves=serves, services=serves + wants
    )
    node.blackboard.this_member = member
    node.blackboard.members[node.daemon_id] = member


def measure_load(bus: MeasuredBus, warm_up_s: float, duration_s: float) -> Load:
    """Run a fleet and return the mean load per second of an observed daemon."""
    run_with_restarts(bus, warm_up_s)
    bus.load = Load()
    bus.lapses_before = count_lapsed_leases(bus)
    run_with_restarts(bus, duration_s)
    return scale_load(bus.load, 1.0 / (duration_s * len(bus.observed)))


def schedule_restarts(
    bus: MeasuredBus, per_second: int, start_s: float, end_s: float
) -> None:
    """Schedule restarts of daemons that are not observed, at a constant rate."""
    count = round((end_s - start_s) * per_second)
    bus.restarts = [
        timedelta(seconds=start_s + index / per_second) for index in range(count)
    ]


def run_with_restarts(bus: MeasuredBus, duration_s: float) -> None:
    """Advance time and restart daemons at the scheduled times."""
    end = bus.clock.monotonic() + timedelta(seconds=duration_s)
    while bus.restarts and bus.restarts[0] < end:
        bus.run(bus.restarts.pop(0) - bus.clock.monotonic())
        restart_random_daemon(bus)
    bus.run(end - bus.clock.monotonic())


def restart_random_daemon(bus: MeasuredBus) -> None:
    """Replace a random daemon by a new one with its name that has one seed peer."""
    names = sorted(name for name in bus.nodes if name not in bus.observed)
    daemon_id = bus.rng.choice(names)
    old_node = bus.nodes[daemon_id]
    old_node.running = False
    seed = bus.nodes[bus.rng.choice(names)].address
    settings = attrs.evolve(old_node.controllers[0].settings, seeds=(seed,))
    local_member = old_node.blackboard.this_member
    services = sorted(
        {target.service for target in old_node.announced_targets.values()}
    )
    requested = [name for name in local_member.services if name not in services]
    per_service = len(old_node.announced_targets) // len(services)
    bus.add(
        daemon_id,
        settings,
        services,
        requested,
        zone=local_member.availability_zone,
        targets_per_service=per_service,
    )


def scale_load(load: Load, factor: float) -> Load:
    """Return a load multiplied by a factor."""
    return Load(
        sent=Counter({k: v * factor for k, v in load.sent.items()}),
        sent_bytes=Counter({k: v * factor for k, v in load.sent_bytes.items()}),
        received=load.received * factor,
        received_bytes=load.received_bytes * factor,
        cpu_s=load.cpu_s * factor,
    )


def count_missing_targets(bus: MeasuredBus) -> tuple[int, int]:
    """Return how many targets observed daemons don't know and how many they need."""
    missing = needed = 0
    targets = [
        t for node in bus.nodes.values() for t in node.announced_targets.values()
    ]
    for name in bus.observed:
        board = bus.nodes[name].blackboard
        requested = [t for t in targets if t.service in board.this_member.services]
        needed += len(requested)
        missing += sum(t.target_id not in board.targets for t in requested)
    return missing, needed


def count_lapsed_leases(bus: MeasuredBus) -> int:
    """Return how many leases of targets have lapsed at observed daemons so far."""
    return sum(
        event.kind == "targets-lapsed"
        for name in bus.observed
        for event in bus.nodes[name].events
    )


class PullOnlyQueue(DigestQueue):
    """A queue that pushes no digests, so that all heartbeats are pulled."""

    def add(self, daemon_id: str, services: frozenset[str]) -> None:
        """Queue nothing."""


def make_fleet_pull_only(bus: MeasuredBus) -> None:
    """Make all daemons of a fleet pull heartbeats instead of pushing them."""
    for node in bus.nodes.values():
        controller = node.controllers[1]
        queue = controller.digests
        controller.digests = PullOnlyQueue(
            queue.settings, queue.interest, queue.partners, queue.rng
        )
