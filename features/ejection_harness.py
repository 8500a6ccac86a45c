"""Several ejection controllers that share one log, under seeded random faults."""

import random
from datetime import timedelta

import attrs

from wagtailstep.controllers.ejection import EjectionController
from wagtailstep.controllers.floor import sum_in_service
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    AppendToLog,
    LogCaughtUp,
    LogRecordsRead,
    ProbeFinished,
    ProbeTarget,
    Tick,
)
from wagtailstep.models.evidence import EjectionCandidate, Symptom
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.log import LogRecord
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import BackendServerRow, ServiceRow, Table
from wagtailstep.utils.clock import ManualClock
from wagtailstep.utils.codec import encode_message

STEP_S = 0.25
# Fraction of the steps in which a fault starts: one in 12 s.
FAULT_RATIO = 0.02
# After this time each daemon has read what was appended, or applies no ejections.
SETTLED_S = 10.0
SERVICE = "s"
STREAM = "ejections.s"
WEIGHTS = (0.0, 0.5, 1.0, 1.0, 1.0, 2.0)


@attrs.define
class Daemon:
    """One daemon and the faults that affect it."""

    board: Blackboard
    controller: EjectionController
    offset: int = 0
    reads_blocked_until: float = 0.0
    appends_blocked_until: float = 0.0
    paused_until: float = 0.0
    stopped: bool = False


class EjectionHarness:
    """A fleet with random candidates and faults of the log, network and daemons."""

    def __init__(self, seed, floor=4.0, daemons=5, targets=8):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.now = 0.0
        self.stream = []
        self.delayed_appends = []
        self.log_unavailable_until = 0.0
        self.changed_at = -SETTLED_S
        self.violations = []
        self.observed_ejections = 0
        self.targets = {}
        weights = {}
        for number in range(targets):
            name = f"{SERVICE}/10.0.0.{number}:80"
            self.targets[name] = Target(name, SERVICE, f"d{number}", "z")
            weights[name] = BackendServerRow(name, self.rng.choice(WEIGHTS))
        rows = {SERVICE: ServiceRow(SERVICE, floor_weight=floor)}
        self.table = Table(1, services=rows, backend_servers=weights)
        self.daemons = [self.create_daemon(number) for number in range(daemons)]

    def create_daemon(self, number):
        name = f"d{number}"
        address = f"127.0.0.1:{9_000 + number}"
        settings = DaemonSettings(name, "z", address, address, address, address)
        member = Member(name, 0, address, address, "z", (SERVICE,))
        board = Blackboard(member, table=self.table, targets=dict(self.targets))
        rng = random.Random(self.rng.getrandbits(64))
        return Daemon(board, EjectionController(settings, board, self.clock, rng))

    def run(self, seconds, judgements=(), faults=()):
        """Advance the time; change candidates often and start faults rarely.

        :param judgements: names of methods that change the ejection candidates.
        :param faults: names of methods that start a fault or change the fleet.
        """
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            self.clock.advance(timedelta(seconds=STEP_S))
            if judgements and self.rng.random() < 0.4:
                getattr(self, self.rng.choice(judgements))()
            if faults and self.rng.random() < FAULT_RATIO:
                getattr(self, self.rng.choice(faults))()
            for at, data in sorted(self.delayed_appends):
                if at <= self.now and self.now >= self.log_unavailable_until:
                    self.delayed_appends.remove((at, data))
                    self.stream.append(LogRecord(len(self.stream), data))
            for daemon in self.get_active_daemons():
                self.advance(daemon)
            self.check()

    def get_active_daemons(self):
        return [d for d in self.daemons if not d.stopped and d.paused_until <= self.now]

    def advance(self, daemon):
        """Let one daemon handle a tick and read the log."""
        self.handle(daemon, Tick())
        if (
            daemon.reads_blocked_until > self.now
            or self.log_unavailable_until > self.now
        ):
            return
        records = tuple(self.stream[daemon.offset :])
        daemon.offset = len(self.stream)
        if records:
            self.handle(daemon, LogRecordsRead(STREAM, records))
        self.handle(daemon, LogCaughtUp(STREAM, daemon.offset, self.clock.monotonic()))

    def handle(self, daemon, event):
        for effect in daemon.controller.handle(event):
            if isinstance(effect, AppendToLog):
                self.append(daemon, effect)
            if isinstance(effect, ProbeTarget):
                succeeded = self.rng.random() < 0.7
                result = ProbeFinished(effect.target_id, succeeded, timedelta())
                self.handle(daemon, result)

    def append(self, daemon, effect):
        """Append a record, sometimes late or twice, as a paused claimant would."""
        if (
            daemon.appends_blocked_until > self.now
            or self.log_unavailable_until > self.now
        ):
            return
        data = encode_message(effect.record)
        delay = self.rng.choice((0.0, 0.0, 0.0, 0.5, 12.0))
        self.delayed_appends.append((self.now + delay, data))
        if self.rng.random() < 0.1:
            self.delayed_appends.append((self.now + delay + 20.0, data))

    # Changes and faults; ``run`` calls them by name.

    def add_candidates(self):
        daemon = self.rng.choice(self.get_active_daemons() or self.daemons)
        for name in self.rng.sample(sorted(self.targets), 3):
            candidate = EjectionCandidate(
                name, Symptom.FAILING, "r", 1.0, self.clock.monotonic()
            )
            daemon.board.ejection_candidates[name] = candidate

    def clear_candidates(self):
        for daemon in self.daemons:
            daemon.board.ejection_candidates.clear()

    def block_reads(self):
        """One daemon can append to the log but not read it."""
        daemon = self.rng.choice(self.daemons)
        daemon.reads_blocked_until = self.now + self.rng.uniform(1, 40)

    def block_appends(self):
        """One daemon can read the log but not append to it."""
        daemon = self.rng.choice(self.daemons)
        daemon.appends_blocked_until = self.now + self.rng.uniform(1, 40)

    def pause_daemon(self):
        daemon = self.rng.choice(self.daemons)
        daemon.paused_until = self.now + self.rng.uniform(1, 40)

    def make_log_unavailable(self):
        self.log_unavailable_until = self.now + self.rng.uniform(1, 40)

    def change_floor(self):
        """Change the floor; the daemons apply the change one after another."""
        floor = self.rng.choice((2.0, 4.0, 5.0))
        rows = {SERVICE: ServiceRow(SERVICE, floor_weight=floor)}
        weights = self.table.backend_servers
        self.table = Table(self.table.version + 1, rows, weights)
        self.propagate_change()

    def change_targets(self):
        """One target leaves or returns; the daemons apply it one after another."""
        name = self.rng.choice(sorted(self.targets))
        if len(self.targets) > 5:
            del self.targets[name]
        else:
            number = self.rng.randrange(8)
            name = f"{SERVICE}/10.0.0.{number}:80"
            self.targets[name] = Target(name, SERVICE, f"d{number}", "z")
        self.propagate_change()

    def propagate_change(self):
        self.changed_at = self.now
        for daemon in self.daemons:
            if self.rng.random() < 0.5:
                self.update_view(daemon)

    def update_view(self, daemon):
        daemon.board.table = self.table
        daemon.board.targets = dict(self.targets)

    # Checks of the floor.

    def get_weights(self, targets):
        return {name: self.table.weight(name) for name in targets}

    def check(self):
        """Record each violation of the floor."""
        if self.now - self.changed_at > 2.0:
            for daemon in self.daemons:
                self.update_view(daemon)
        active = self.get_active_daemons()
        for daemon in active:
            self.check_view(daemon)
        union = set().union(*(d.board.ejected for d in active))
        self.observed_ejections += len(union)
        if self.now - self.changed_at > 2.0 + SETTLED_S:
            self.check_floor("union", self.get_weights(self.targets), union, self.table)

    def check_view(self, daemon):
        """Check one view, unless it has only just changed."""
        board = daemon.board
        if board.table is not self.table or board.targets != self.targets:
            return
        if self.now - self.changed_at in (0.0, 2.0 + STEP_S):
            return
        weights = self.get_weights(board.targets)
        self.check_floor("view", weights, board.ejected, board.table)

    def check_floor(self, scope, weights, ejected, table):
        required = min(table.service_row(SERVICE).floor_weight, sum(weights.values()))
        if sum_in_service(weights, ejected) < required:
            self.violations.append((scope, self.now))
