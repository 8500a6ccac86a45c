"""Discrete-event simulation of fake targets and the real controllers of daemons.

Time is a :class:`ManualClock`; nothing sleeps and no socket is opened. Routing is a
fake that chooses the better of two random targets. It avoids the targets that the
controllers mark on the blackboard, within the floor.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

from benchmarks.detection_faults import (
    BACKGROUND_ERRORS,
    FAULTS_WITHOUT_FAULTY_TARGET,
    LATENCY_SIGMA,
    MAX_PAUSE_S,
    MEAN_PAUSE_INTERVAL_S,
    OVERLOAD_FACTOR,
    PARTITIONS,
    ROUTES,
    Behaviour,
    Fault,
    get_fault_behaviour,
)
from wagtailstep.controllers.ejection import EjectionController
from wagtailstep.controllers.evidence import EvidenceController
from wagtailstep.controllers.floor import select_removable, sum_in_service
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    AppendToLog,
    LogCaughtUp,
    LogRecordsRead,
    PeerMessageReceived,
    ProbeFinished,
    ProbeTarget,
    RecordEvent,
    SendToPeer,
    Tick,
)
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.log import LogRecord
from wagtailstep.models.request import AttemptEnded, Blame, RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import ServiceRow, Table
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message

TICK_INTERVAL_S = 0.1
SAMPLE_INTERVAL_S = 0.04
POLL_INTERVAL_S = 0.5
APPEND_LATENCY_S = 0.01
ATTEMPT_TIMEOUT_S = 1.0
HANG_TIMEOUT_S = 30.0
QUEUE_TIMEOUT_S = 1.0
SLOTS = 4
PROBE_LATENCY_S = 0.025


@attrs.frozen
class Scenario:
    """Parameters of one simulation.

    :param row: row of the service, with the floor and the two detection settings.
    :param zones: availability zones; targets and daemons are assigned to them in turn.
    :param zone_delay_s: one-way network delay between zones in seconds.
    :param targets: number of targets.
    :param daemons: number of daemons that get requests from callers.
    :param rate: requests per second and target.
    :param fault: the injected fault.
    :param onset_s: time in seconds when the fault starts.
    :param end_s: time in seconds when the simulation ends.
    """

    row: ServiceRow
    zones: tuple[str, ...]
    zone_delay_s: float
    targets: int = 20
    daemons: int = 26
    rate: float = 20.0
    fault: Fault = Fault.NONE
    onset_s: float = 8.0
    end_s: float = 20.0


@attrs.define
class FakeTarget:
    """A backend server with slots, a queue and random pauses of its process.

    :param target: its target.
    :param free_at: heap of the times when its slots become free.
    :param next_pause: earliest time of its next pause.
    :param sent: requests sent to it after the onset of a fault.
    """

    target: Target
    free_at: list[float]
    next_pause: float
    sent: int = 0

    def run(self, arrival: float, work_s: float, rng: random.Random) -> tuple:
        """Run a request and return its start and end time.

        :return: ``None`` if its wait in the queue would exceed ``QUEUE_TIMEOUT_S``.
        """
        if arrival >= self.next_pause:
            pause = rng.uniform(0.02, MAX_PAUSE_S)
            self.free_at = [max(at, arrival + pause) for at in self.free_at]
            self.next_pause = arrival + rng.expovariate(1 / MEAN_PAUSE_INTERVAL_S)
            heapq.heapify(self.free_at)
        start = max(arrival, self.free_at[0])
        if start - arrival > QUEUE_TIMEOUT_S:
            return None
        heapq.heapreplace(self.free_at, start + work_s)
        return start, start + work_s


@attrs.define(eq=False)
class FakeDaemon:
    """A daemon with its blackboard and the controllers under test.

    :param candidates: targets that its fake routing chooses from.
    :param avoided: targets that it does not use, ejected ones included.
    :param offset: offset up to which it has read the stream of ejections.
    """

    member: Member
    board: Blackboard
    controllers: list[Any]
    candidates: list[str] = attrs.field(factory=list)
    avoided: set[str] = attrs.field(factory=set)
    offset: int = 0


class Simulation:
    """The simulated fleet of one scenario and its measurements.

    :param scenario: what to simulate.
    :param seed: seed of all random choices.
    :param policy: creates the controllers of one daemon.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy: Callable[..., list[Any]] | None = None,
    ) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.now = 0.0
        self.queue: list[tuple] = []
        self.sequence_numbers = itertools.count()
        self.stream: list[LogRecord] = []
        self.log_available = True
        self.bytes_sent = 0
        self.messages_sent = 0
        self.targets = self.create_targets()
        self.table = Table(version=1, services={scenario.row.service: scenario.row})
        self.daemons = self.create_daemons(policy or create_controllers)
        self.faulty_targets = self.choose_faulty_targets()
        self.detected_at: dict[str, float] = {}
        self.avoiding_daemons: dict[str, set[str]] = {}
        self.false_ejections = 0
        self.false_avoidances_by_one_daemon = 0
        self.removed_before: set[str] = set()
        self.avoided_pairs_before: set[tuple[str, str]] = set()
        self.lowest_weight = math.inf
        self.floor_violations = 0
        self.requests = 0
        self.events: list[tuple[float, str, RecordEvent]] = []
        self.restarted = False

    def create_targets(self) -> dict[str, FakeTarget]:
        """Create the targets of the service."""
        targets = {}
        for number in range(self.scenario.targets):
            name = f"{self.scenario.row.service}/10.0.0.{number + 1}:80"
            zone = self.scenario.zones[number % len(self.scenario.zones)]
            target = Target(name, self.scenario.row.service, f"d{number:02d}", zone)
            pause = self.rng.expovariate(1 / MEAN_PAUSE_INTERVAL_S)
            targets[name] = FakeTarget(target, [0.0] * SLOTS, pause)
        return targets

    def create_daemons(self, policy: Callable[..., list[Any]]) -> dict[str, FakeDaemon]:
        """Create the daemons with their controllers."""
        service = self.scenario.row.service
        members = {}
        for number in range(self.scenario.daemons):
            name = f"d{number:02d}"
            zone = self.scenario.zones[number % len(self.scenario.zones)]
            members[name] = Member(name, 0, name, name, zone, (service,))
        daemons = {}
        for name, member in members.items():
            targets = {
                key: fake_target.target for key, fake_target in self.targets.items()
            }
            board = Blackboard(
                member, table=self.table, members=members, targets=targets
            )
            addresses = [f"127.0.0.1:{port}" for port in range(9_001, 9_005)]
            settings = DaemonSettings(name, member.availability_zone, *addresses)
            rng = random.Random(self.rng.getrandbits(64))
            controllers = policy(settings, board, self.clock, rng)
            daemons[name] = FakeDaemon(member, board, controllers)
        return daemons

    def choose_faulty_targets(self) -> list[str]:
        """Choose the targets that the fault affects."""
        names = list(self.targets)
        fault = self.scenario.fault
        if fault is Fault.ZONE_SLOW:
            zone = self.scenario.zones[0]
            return [n for n in names if zone == self.get_zone(n)]
        if fault in (Fault.NONE, Fault.OVERLOAD):
            return []
        return self.rng.sample(names, 2 if fault is Fault.TWO else 1)

    def get_zone(self, target_id: str) -> str:
        """Return the availability zone of a target."""
        return self.targets[target_id].target.availability_zone

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        heapq.heappush(
            self.queue, (self.now + delay, next(self.sequence_numbers), action)
        )

    def run(self, stop: Callable[["Simulation"], bool] | None = None) -> "Simulation":
        """Run to the end of the scenario, or until ``stop`` returns True."""
        for daemon in self.daemons.values():
            self.schedule(
                self.rng.random() * TICK_INTERVAL_S, lambda d=daemon: self.tick(d)
            )
            self.schedule(
                self.rng.random() * POLL_INTERVAL_S, lambda d=daemon: self.poll(d)
            )
        self.schedule(0.0, self.handle_arrival)
        self.schedule(TICK_INTERVAL_S, self.sample_metrics)
        while self.queue and self.queue[0][0] <= self.scenario.end_s:
            at, _, action = heapq.heappop(self.queue)
            self.now = at
            self.clock.elapsed = timedelta(seconds=at)
            action()
            if stop is not None and stop(self):
                break
        return self

    def dispatch(self, daemon: FakeDaemon, event: Any) -> None:
        """Dispatch an event to a daemon's controllers and apply their effects."""
        for controller in daemon.controllers:
            effects = controller.handle(event)
            for effect in effects:
                self.apply(daemon, effect)
            if effects:
                self.refresh_candidates(daemon)

    def apply(self, daemon: FakeDaemon, effect: Any) -> None:
        """Apply one effect."""
        if isinstance(effect, SendToPeer):
            self.bytes_sent += len(encode_message(effect.message))
            self.messages_sent += 1
            peer = self.daemons[effect.address]
            event = PeerMessageReceived(daemon.member.daemon_id, effect.message)
            network_delay_s = self.scenario.zone_delay_s + 0.001
            self.schedule(network_delay_s, lambda: self.dispatch(peer, event))
        elif isinstance(effect, AppendToLog):
            self.schedule(APPEND_LATENCY_S, lambda: self.append(daemon, effect))
        elif isinstance(effect, ProbeTarget):
            self.probe(daemon, effect)
        elif isinstance(effect, RecordEvent):
            self.events.append((self.now, daemon.member.daemon_id, effect))

    def probe(self, daemon: FakeDaemon, effect: ProbeTarget) -> None:
        """Probe a target; probes succeed unless a partition separates them.

        Every other fault only affects real requests.
        """
        name = effect.target_id
        has_started = self.now >= self.scenario.onset_s
        partitioned = (
            has_started
            and self.scenario.fault in PARTITIONS
            and self.is_partitioned(daemon, name)
        )
        time_s = effect.timeout.total_seconds() if partitioned else PROBE_LATENCY_S
        event = ProbeFinished(name, not partitioned, timedelta(seconds=time_s))
        self.schedule(time_s, lambda: self.dispatch(daemon, event))

    def append(self, daemon: FakeDaemon, effect: AppendToLog) -> None:
        """Append a record if the log is available, and read the log at once."""
        if not self.log_available:
            return
        data = encode_message(effect.record)
        self.stream.append(LogRecord(len(self.stream), data))
        self.read(daemon)

    def poll(self, daemon: FakeDaemon) -> None:
        """Read the stream and schedule the next poll."""
        self.schedule(
            POLL_INTERVAL_S * self.rng.uniform(0.75, 1.25), lambda: self.poll(daemon)
        )
        if self.log_available:
            self.read(daemon)

    def read(self, daemon: FakeDaemon) -> None:
        """Read the stream up to its end."""
        stream = f"ejections.{self.scenario.row.service}"
        records = tuple(self.stream[daemon.offset :])
        daemon.offset = len(self.stream)
        if records:
            self.dispatch(daemon, LogRecordsRead(stream, records))
        self.dispatch(
            daemon, LogCaughtUp(stream, daemon.offset, self.clock.monotonic())
        )
        self.refresh_candidates(daemon)

    def tick(self, daemon: FakeDaemon) -> None:
        """Dispatch a tick to a daemon and schedule the next one."""
        self.schedule(TICK_INTERVAL_S, lambda: self.tick(daemon))
        self.dispatch(daemon, Tick())
        self.refresh_candidates(daemon)

    def refresh_candidates(self, daemon: FakeDaemon) -> None:
        """Update which targets a daemon chooses from, within the floor."""
        board = daemon.board
        weights = dict.fromkeys(self.targets, 1.0)
        health = board.health
        steered = [name for name, h in health.items() if h.avoided]
        steered.sort(key=lambda name: -health[name].penalty)
        for name in board.ejected:
            weights.pop(name, None)
        avoided = select_removable(weights, steered, self.scenario.row.floor_weight)
        daemon.avoided = {*board.ejected, *avoided}
        daemon.candidates = [n for n in self.targets if n not in daemon.avoided]

    def handle_arrival(self) -> None:
        """Handle a caller's request at a random daemon and schedule the next one."""
        rate = self.scenario.rate * len(self.targets)
        overloaded = self.scenario.fault is Fault.OVERLOAD
        if overloaded and self.now >= self.scenario.onset_s:
            rate *= OVERLOAD_FACTOR
        self.schedule(self.rng.expovariate(rate), self.handle_arrival)
        daemon = self.rng.choice(list(self.daemons.values()))
        if daemon.candidates:
            self.send(daemon, self.choose_target(daemon))

    def choose_target(self, daemon: FakeDaemon) -> str:
        """Choose the one of two random targets with the lower cost."""
        first = self.rng.choice(daemon.candidates)
        second = self.rng.choice(daemon.candidates)
        return min(first, second, key=lambda name: self.compute_cost(daemon, name))

    def compute_cost(self, daemon: FakeDaemon, name: str) -> float:
        """Return the cost of choosing a target, from its load and health."""
        waiting = daemon.board.in_flight.by_target.get(name, 0) + 1
        health = daemon.board.health.get(name)
        if health is None or health.latency is None:
            return float(waiting)
        return waiting * health.penalty / max(health.ramp, 0.05)

    def send(self, daemon: FakeDaemon, name: str) -> None:
        """Send a request to a target and schedule its outcome."""
        self.requests += 1
        fake_target = self.targets[name]
        if name in self.faulty_targets and self.now >= self.scenario.onset_s:
            if daemon in self.affected_daemons(name):
                fake_target.sent += 1
        draw, route, median = self.rng.random(), *self.choose_route()
        behaviour = self.get_request_behaviour(daemon, name, route, draw)
        same_zone = (
            fake_target.target.availability_zone == daemon.member.availability_zone
        )
        network_delay_s = 0.0002 if same_zone else self.scenario.zone_delay_s
        sent_at = self.now
        daemon.board.in_flight.by_target[name] = (
            daemon.board.in_flight.by_target.get(name, 0) + 1
        )
        if behaviour.lost:
            self.schedule_outcome(
                daemon,
                name,
                route,
                self.choose_loss_blame(),
                sent_at,
                self.compute_loss_time_s(),
                0.0,
            )
            return
        work = median * math.exp(self.rng.gauss(0, LATENCY_SIGMA)) * behaviour.factor
        if behaviour.failed:
            work = 0.005
        run_times = fake_target.run(self.now + network_delay_s, work, self.rng)
        if run_times is None:
            self.schedule_outcome(
                daemon,
                name,
                route,
                Blame.OVERLOAD,
                sent_at,
                2 * network_delay_s + 0.001,
                0.0,
            )
            return
        start, end = run_times
        failed = behaviour.failed or self.rng.random() < BACKGROUND_ERRORS
        blame = Blame.BACKEND_SERVER if failed else Blame.NONE
        queueing = start - self.now - network_delay_s
        self.schedule_outcome(
            daemon,
            name,
            route,
            blame,
            sent_at,
            end + network_delay_s - sent_at,
            queueing,
        )

    def choose_loss_blame(self) -> Blame:
        """Return the blame of an attempt without a response."""
        if self.scenario.fault in PARTITIONS:
            return Blame.PATH
        if self.scenario.fault is Fault.HANGS:
            return Blame.BACKEND_SERVER
        return Blame.CONNECTION

    def compute_loss_time_s(self) -> float:
        """Return the time until an attempt without a response fails, in seconds."""
        return (
            HANG_TIMEOUT_S if self.scenario.fault is Fault.HANGS else ATTEMPT_TIMEOUT_S
        )

    def choose_route(self) -> tuple[str, float]:
        """Choose a route and return its name and median time in seconds."""
        draw = self.rng.random()
        for name, probability, median in ROUTES:
            draw -= probability
            if draw < 0:
                return name, median
        return ROUTES[-1][0], ROUTES[-1][2]

    def get_request_behaviour(
        self, daemon: FakeDaemon, name: str, route: str, draw: float
    ) -> Behaviour:
        """Return what happens to a daemon's request at a target."""
        age = self.now - self.scenario.onset_s
        if age < 0 or name not in self.faulty_targets:
            return Behaviour()
        if self.scenario.fault in PARTITIONS:
            return Behaviour(lost=self.is_partitioned(daemon, name))
        is_second_target = (
            name != self.faulty_targets[0] and self.scenario.fault is Fault.TWO
        )
        return get_fault_behaviour(
            self.scenario.fault, age, route, draw, is_second_target
        )

    def is_partitioned(self, daemon: FakeDaemon, name: str) -> bool:
        """Return whether a partition separates a daemon from the faulty target.

        It affects the daemons in one other zone.
        """
        zones = self.scenario.zones
        other = zones[(zones.index(self.get_zone(name)) + 1) % len(zones)]
        return daemon.member.availability_zone == other

    def schedule_outcome(
        self,
        daemon: FakeDaemon,
        name: str,
        route: str,
        blame: Blame,
        sent_at: float,
        latency: float,
        queueing: float,
    ) -> None:
        """Schedule the outcome of a request."""
        context = RequestContext(
            "r",
            self.scenario.row.service,
            route,
            "",
            "GET",
            "/",
            True,
            None,
            timedelta(),
        )
        outcome = AttemptEnded(
            request=context,
            target_id=name,
            verdict=Verdict.RUN,
            status=None,
            blame=blame,
            latency=timedelta(seconds=latency),
            queueing=timedelta(seconds=max(0.0, queueing)),
        )
        self.schedule(latency, lambda: self.handle_outcome(daemon, outcome))

    def handle_outcome(self, daemon: FakeDaemon, outcome: AttemptEnded) -> None:
        """Dispatch the outcome of a request to the daemon that sent it."""
        daemon.board.in_flight.by_target[outcome.target_id] -= 1
        self.dispatch(daemon, outcome)

    def affected_daemons(self, name: str) -> list[FakeDaemon]:
        """Return the daemons whose requests to a faulty target are affected."""
        if self.scenario.fault not in PARTITIONS:
            return list(self.daemons.values())
        return [d for d in self.daemons.values() if self.is_partitioned(d, name)]

    def sample_metrics(self) -> None:
        """Sample detection, false ejections and the floor."""
        self.schedule(SAMPLE_INTERVAL_S, self.sample_metrics)
        if self.now >= self.scenario.onset_s:
            self.announce_cold_restart()
            self.measure_detection()
        self.measure_false_ejections()
        self.measure_floor()

    def measure_detection(self) -> None:
        """Record when 90 % of the affected daemons have avoided a faulty target."""
        for name in self.faulty_targets:
            if name in self.detected_at:
                continue
            affected_daemons = self.affected_daemons(name)
            avoiding = self.avoiding_daemons.setdefault(name, set())
            avoiding.update(
                d.member.daemon_id for d in affected_daemons if name in d.avoided
            )
            if len(avoiding) >= 0.9 * len(affected_daemons):
                self.detected_at[name] = self.now - self.scenario.onset_s

    def announce_cold_restart(self) -> None:
        """Announce a new incarnation of the target that restarts cold."""
        if self.scenario.fault is not Fault.COLD_START or self.restarted:
            return
        self.restarted = True
        name = self.faulty_targets[0]
        target = attrs.evolve(self.targets[name].target, incarnation=1)
        for daemon in self.daemons.values():
            daemon.board.targets[name] = target

    def all_detected(self) -> bool:
        """Return whether all faulty targets were detected."""
        return bool(self.faulty_targets) and len(self.detected_at) == len(
            self.faulty_targets
        )

    def healthy(self) -> set[str]:
        """Return the targets that should not be avoided now."""
        if (
            self.scenario.fault in FAULTS_WITHOUT_FAULTY_TARGET
            or self.now < self.scenario.onset_s
        ):
            return set(self.targets)
        return set(self.targets) - set(self.faulty_targets)

    def measure_false_ejections(self) -> None:
        """Count healthy targets that were ejected or avoided.

        A target that more than half of the daemons avoid counts as ejected. During a
        partition no target is faulty, so that every ejection is false.
        """
        healthy = self.healthy()
        if self.scenario.fault in PARTITIONS:
            healthy = set(self.targets)
        removed = set().union(*(d.board.ejected for d in self.daemons.values()))
        for name in self.targets:
            avoiding = sum(name in d.avoided for d in self.daemons.values())
            if avoiding > len(self.daemons) / 2:
                removed.add(name)
        self.false_ejections += len((removed - self.removed_before) & healthy)
        self.removed_before = removed
        if self.scenario.fault in PARTITIONS:
            healthy -= set(self.faulty_targets)
        pairs = {
            (d.member.daemon_id, n) for d in self.daemons.values() for n in d.avoided
        }
        new_pairs = pairs - self.avoided_pairs_before
        self.false_avoidances_by_one_daemon += sum(
            name in healthy for _, name in new_pairs
        )
        self.avoided_pairs_before = pairs

    def measure_floor(self) -> None:
        """Record the lowest weight in service and whether it is below the floor.

        The weight is taken in each daemon's view, and without all targets that any
        daemon considers ejected.
        """
        weights = dict.fromkeys(self.targets, 1.0)
        union = set().union(*(d.board.ejected for d in self.daemons.values()))
        views = [sum_in_service(weights, d.avoided) for d in self.daemons.values()]
        lowest = min(sum_in_service(weights, union), *views)
        self.lowest_weight = min(self.lowest_weight, lowest)
        self.floor_violations += lowest < self.scenario.row.floor_weight


def create_controllers(
    settings: DaemonSettings, board: Blackboard, clock: ManualClock, rng: random.Random
) -> list[Any]:
    """Create the controllers under test."""
    return [
        EvidenceController(settings, board, clock, rng),
        EjectionController(settings, board, clock, rng),
    ]
