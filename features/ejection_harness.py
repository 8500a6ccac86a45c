"""Several ejection controllers over one log, with everything going wrong by seed."""

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
# Troubles start in this share of the steps: one in 12 s.
TROUBLE_SHARE = 0.02
# Longest time until all daemons have read what was appended, or apply nothing.
SETTLED_S = 10.0
SERVICE = "s"
STREAM = "ejections.s"
WEIGHTS = (0.0, 0.5, 1.0, 1.0, 1.0, 2.0)


@attrs.define
class Daemon:
    """One daemon and what is wrong with it."""

    board: Blackboard
    controller: EjectionController
    offset: int = 0
    blind_until: float = 0.0
    mute_until: float = 0.0
    paused_until: float = 0.0
    dead: bool = False


class EjectionHarness:
    """A fleet that is judged at random while the log and the network misbehave."""

    def __init__(self, seed, floor=4.0, daemons=5, targets=8):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.now = 0.0
        self.stream = []
        self.later = []
        self.log_away_until = 0.0
        self.changed_at = -SETTLED_S
        self.faults = []
        self.ejections_seen = 0
        self.targets = {}
        weights = {}
        for number in range(targets):
            name = f"{SERVICE}/10.0.0.{number}:80"
            self.targets[name] = Target(name, SERVICE, f"d{number}", "z")
            weights[name] = BackendServerRow(name, self.rng.choice(WEIGHTS))
        rows = {SERVICE: ServiceRow(SERVICE, floor_weight=floor)}
        self.table = Table(1, services=rows, backend_servers=weights)
        self.daemons = [self.make_daemon(number) for number in range(daemons)]

    def make_daemon(self, number):
        name = f"d{number}"
        address = f"127.0.0.1:{9_000 + number}"
        settings = DaemonSettings(name, "z", address, address, address, address)
        member = Member(name, 0, address, address, "z", (SERVICE,))
        board = Blackboard(member, table=self.table, targets=dict(self.targets))
        rng = random.Random(self.rng.getrandbits(64))
        return Daemon(board, EjectionController(settings, board, self.clock, rng))

    def run(self, seconds, judging=(), troubles=()):
        """Let time pass, judging often and making trouble now and then."""
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            self.clock.advance(timedelta(seconds=STEP_S))
            if judging and self.rng.random() < 0.4:
                getattr(self, self.rng.choice(judging))()
            if troubles and self.rng.random() < TROUBLE_SHARE:
                getattr(self, self.rng.choice(troubles))()
            for at, data in sorted(self.later):
                if at <= self.now and self.now >= self.log_away_until:
                    self.later.remove((at, data))
                    self.stream.append(LogRecord(len(self.stream), data))
            for daemon in self.awake():
                self.step(daemon)
            self.check()

    def awake(self):
        return [d for d in self.daemons if not d.dead and d.paused_until <= self.now]

    def step(self, daemon):
        """Let one daemon read and tick."""
        self.handle(daemon, Tick())
        if daemon.blind_until > self.now or self.log_away_until > self.now:
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
                good = self.rng.random() < 0.7
                result = ProbeFinished(effect.target_id, good, timedelta())
                self.handle(daemon, result)

    def append(self, daemon, effect):
        """Append, late or twice now and then; a paused claimant is late."""
        if daemon.mute_until > self.now or self.log_away_until > self.now:
            return
        data = encode_message(effect.record)
        late = self.rng.choice((0.0, 0.0, 0.0, 0.5, 12.0))
        self.later.append((self.now + late, data))
        if self.rng.random() < 0.1:
            self.later.append((self.now + late + 20.0, data))

    # What can go wrong or change.

    def accuse(self):
        daemon = self.rng.choice(self.awake() or self.daemons)
        for name in self.rng.sample(sorted(self.targets), 3):
            candidate = EjectionCandidate(
                name, Symptom.FAILING, "r", 1.0, self.clock.monotonic()
            )
            daemon.board.ejection_candidates[name] = candidate

    def acquit(self):
        for daemon in self.daemons:
            daemon.board.ejection_candidates.clear()

    def blind(self):
        """The way back from the log is cut for one daemon."""
        daemon = self.rng.choice(self.daemons)
        daemon.blind_until = self.now + self.rng.uniform(1, 40)

    def mute(self):
        """The way to the log is cut for one daemon."""
        daemon = self.rng.choice(self.daemons)
        daemon.mute_until = self.now + self.rng.uniform(1, 40)

    def pause(self):
        daemon = self.rng.choice(self.daemons)
        daemon.paused_until = self.now + self.rng.uniform(1, 40)

    def lose_log(self):
        self.log_away_until = self.now + self.rng.uniform(1, 40)

    def raise_floor(self):
        """Edit the floor; daemons learn of it one after another."""
        floor = self.rng.choice((2.0, 4.0, 5.0))
        rows = {SERVICE: ServiceRow(SERVICE, floor_weight=floor)}
        weights = self.table.backend_servers
        self.table = Table(self.table.version + 1, rows, weights)
        self.spread()

    def depart(self):
        """One target leaves or comes back; daemons learn of it one by one."""
        name = self.rng.choice(sorted(self.targets))
        if len(self.targets) > 5:
            del self.targets[name]
        else:
            number = self.rng.randrange(8)
            name = f"{SERVICE}/10.0.0.{number}:80"
            self.targets[name] = Target(name, SERVICE, f"d{number}", "z")
        self.spread()

    def spread(self):
        self.changed_at = self.now
        for daemon in self.daemons:
            if self.rng.random() < 0.5:
                self.learn(daemon)

    def learn(self, daemon):
        daemon.board.table = self.table
        daemon.board.targets = dict(self.targets)

    # What must hold.

    def weights(self, targets):
        return {name: self.table.weight(name) for name in targets}

    def check(self):
        """Note each breach of the floor."""
        if self.now - self.changed_at > 2.0:
            for daemon in self.daemons:
                self.learn(daemon)
        awake = self.awake()
        for daemon in awake:
            self.check_view(daemon)
        union = set().union(*(d.board.ejected for d in awake))
        self.ejections_seen += len(union)
        if self.now - self.changed_at > 2.0 + SETTLED_S:
            self.check_floor("union", self.weights(self.targets), union, self.table)

    def check_view(self, daemon):
        """Check one view, unless it has only just changed."""
        board = daemon.board
        if board.table is not self.table or board.targets != self.targets:
            return
        if self.now - self.changed_at in (0.0, 2.0 + STEP_S):
            return
        weights = self.weights(board.targets)
        self.check_floor("view", weights, board.ejected, board.table)

    def check_floor(self, kind, weights, out, table):
        least = min(table.service_row(SERVICE).floor_weight, sum(weights.values()))
        if sum_in_service(weights, out) < least:
            self.faults.append((kind, self.now))
