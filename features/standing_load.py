"""One service under load whose servers fail at times, in virtual time.

The routing controller of an entry, the gates with their judges and the retry budget are
the real ones. The entry learns a gate's standing after a fixed delay.
"""

import collections
import heapq
import itertools
import random
from datetime import timedelta

import attrs

from wagtailstep.controllers.gate import GateController
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.controllers.target_judge import TargetJudge
from wagtailstep.exceptions import NoTargetError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.fleet import Member, Target, TargetStanding
from wagtailstep.models.gate import (
    GateRequest,
    GateRequestArrived,
    GateRequestEnded,
    RefuseRequest,
    RunResult,
    StartRequest,
    WorkEnded,
    WorkResult,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.utils.clock import ManualClock

SLOTS = 7
WORK_S = 0.5
FAILING_TAKES_S = 0.002
COLD_FACTOR = 2.0
TICK_S = 0.1
AIM_S = 1.5
DEADLINE_S = 6.0
MAX_SENDS = 6
# The rule that is checked: see docs/incidents/floor.md.
WINDOW_S = 2.0
SOUND_AFTER_FAILURE_S = 2.0
FLOOR_SHARE = 0.7
UNSERVED_SHARES = (0.1, 0.5)


def seconds(value):
    return timedelta(seconds=value)


@attrs.define
class Server:
    """A server: its gate, its conduct, and what reached it."""

    name: str
    board: Blackboard
    gate: GateController
    judge: TargetJudge
    fail_share: float = 0.0
    decline_share: float = 0.0
    cold_until_s: float = 0.0
    arrivals: list = attrs.field(factory=list)
    failures: list = attrs.field(factory=list)
    disturbed: list = attrs.field(factory=list)

    @property
    def standing(self):
        return self.board.targets[self.name].standing


@attrs.define
class Call:
    """A caller's request on its way through attempts."""

    context: RequestContext
    sent_s: float
    tried: list = attrs.field(factory=list)
    executions: int = 0
    standing: TargetStanding = TargetStanding.GOOD


class StandingLoad:
    """Sends requests for a time and keeps what callers and servers saw.

    :param behave: called each tick with this object; sets how the servers fail.
    :param has_retries: whether the retry budget covers any retry.
    """

    def __init__(
        self,
        count,
        rate,
        behave,
        seed,
        delay_s=0.0,
        idempotent_share=0.3,
        has_retries=True,
    ):
        self.rng = random.Random(seed)
        self.rate, self.behave, self.delay_s = rate, behave, delay_s
        self.idempotent_share = idempotent_share
        self.clock = ManualClock()
        requests = RequestSettings(
            # Zero would select a budget of another kind.
            retry_slack=208 if has_retries else 1e-9,
            retry_ratio=0.15 if has_retries else 0.0,
            trust_slots=True,
            max_attempts=3,
        )
        addresses = ("a:1", "a:2", "a:3", "a:4")
        settings = DaemonSettings("d0", "bole", *addresses, requests=requests)
        members = {f"d{i}": Member(f"d{i}", 1, "", "", "bole") for i in range(count)}
        self.board = Blackboard(members["d0"], members=members)
        self.servers = {}
        for i in range(count):
            target = Target(f"contracts/i-{i}", "contracts", f"d{i}", "bole", SLOTS)
            board = Blackboard(members[f"d{i}"])
            board.targets[target.target_id] = self.board.targets[target.target_id] = (
                target
            )
            board.local_targets.add(target.target_id)
            parts = (settings, board, self.clock, self.rng)
            self.servers[target.target_id] = Server(
                target.target_id, board, GateController(*parts), TargetJudge(*parts)
            )
        self.routing = RoutingController(settings, self.board, self.clock, self.rng)
        # One entry stands for all: its requests and its retries are those of all.
        self.routing.requested_services.estimate_target_rate = lambda service: (
            rate / count
        )
        self.retries = RetryPolicy(requests, self.clock, lambda: 1)
        self.retries.shared_budget.max_daemon_count = 1
        self.events = []
        self.serials = itertools.count()
        self.running = {}
        self.outcomes = []
        self.standings = collections.deque()

    @property
    def now_s(self):
        return self.clock.monotonic().total_seconds()

    def schedule(self, at_s, action, *arguments):
        heapq.heappush(self.events, (at_s, next(self.serials), action, arguments))

    def run(self, duration_s):
        self.schedule(0.0, self.tick)
        self.schedule(0.0, self.arrive)
        while self.events and self.events[0][0] <= duration_s:
            at_s, _, action, arguments = heapq.heappop(self.events)
            self.clock.advance(seconds(at_s) - self.clock.monotonic())
            action(*arguments)
        return self

    def tick(self):
        self.behave(self)
        for server in self.servers.values():
            server.judge.handle(Tick())
        self.routing.handle(Tick())
        self.standings.append(
            (self.now_s, {s.name: s.standing for s in self.servers.values()})
        )
        while self.standings and self.standings[0][0] <= self.now_s - self.delay_s:
            _, standings = self.standings.popleft()
            for name, standing in standings.items():
                standing = min(standing, TargetStanding.DOUBTED)
                target = self.board.targets[name]
                if target.standing is not standing:
                    self.board.targets[name] = attrs.evolve(target, standing=standing)
        self.schedule(self.now_s + TICK_S, self.tick)

    def arrive(self):
        self.schedule(self.now_s + self.rng.expovariate(self.rate), self.arrive)
        now = self.clock.monotonic()
        idempotent = self.rng.random() < self.idempotent_share
        context = RequestContext(
            request_id=f"r{next(self.serials)}",
            service="contracts",
            route="lookup" if idempotent else "sign",
            account="",
            method="GET" if idempotent else "POST",
            path="/",
            idempotent=idempotent,
            idempotency_key=None,
            deadline=now + seconds(DEADLINE_S),
            aim_deadline=now + seconds(AIM_S),
            max_attempts=3 if idempotent else 1,
        )
        self.routing.admit(context)
        self.retries.record_first_attempt("contracts")
        self.send(Call(context, self.now_s))

    def send(self, call):
        request = call.context
        for _ in range(MAX_SENDS):
            try:
                target = self.routing.pick(
                    "contracts",
                    call.tried,
                    lambda: self.retries.can_retry_failure(request),
                )
            except NoTargetError:
                break
            call.tried.append(target.target_id)
            if self.arrive_at_gate(call, target):
                return
        self.finish(call, served=False)

    def arrive_at_gate(self, call, target):
        """Return whether the gate took the request."""
        server = self.servers[target.target_id]
        serial = next(self.serials)
        request = GateRequest(
            serial=serial,
            request_id=call.context.request_id,
            attempt_id=f"a{serial}",
            target_id=target.target_id,
            route=call.context.route,
            idempotent=call.context.idempotent,
            deadline=call.context.deadline,
            aim_deadline=call.context.aim_deadline,
            arrived_at=self.clock.monotonic(),
            may_wait=len(call.tried) > 3,
            expected_standing=self.routing.get_expected_standing(target),
        )
        self.running[serial] = call
        self.routing.start_attempt(target.target_id)
        effects = server.gate.handle(GateRequestArrived(request))
        self.apply(server, effects)
        return not any(
            isinstance(e, RefuseRequest) and e.serial == serial for e in effects
        )

    def apply(self, server, effects):
        for effect in effects:
            if isinstance(effect, RefuseRequest):
                self.running.pop(effect.serial)
                self.routing.end_attempt(server.name)
            elif isinstance(effect, StartRequest):
                self.start(server, effect.serial)

    def start(self, server, serial):
        server.arrivals.append(self.now_s)
        draw = self.rng.random()
        if draw < server.fail_share:
            result, takes_s = WorkResult.FAILED, FAILING_TAKES_S
        elif draw < server.fail_share + server.decline_share:
            result, takes_s = WorkResult.TURNED_AWAY, FAILING_TAKES_S
        else:
            takes_s = WORK_S * self.rng.lognormvariate(-0.05, 0.3)
            if self.now_s < server.cold_until_s:
                takes_s *= COLD_FACTOR
            result = WorkResult.DONE
        self.schedule(self.now_s + takes_s, self.end, server, serial, result, takes_s)

    def end(self, server, serial, result, takes_s):
        call = self.running.pop(serial)
        self.routing.end_attempt(server.name)
        request = call.context
        event = WorkEnded(
            server.name, request.route, request.idempotent, result, seconds(takes_s)
        )
        server.judge.handle(event)
        self.apply(
            server, server.gate.handle(GateRequestEnded(serial, RunResult.ANSWERED))
        )
        if result is WorkResult.DONE:
            self.finish(call, served=True)
            return
        call.executions += 1
        if result is WorkResult.FAILED:
            server.failures.append(self.now_s)
            may_retry = self.retries.try_acquire_replacement(request, call.executions)
        else:
            may_retry = self.retries.shared_budget.try_acquire(request)
        if may_retry:
            self.send(call)
        else:
            self.finish(call, served=False)

    def finish(self, call, served):
        self.routing.release(call.context)
        self.routing.record_outcome("contracts", served)
        self.outcomes.append((call.sent_s, served, self.now_s - call.sent_s))

    def compute_served_share(self):
        return sum(served for _, served, _ in self.outcomes) / len(self.outcomes)

    def judge_windows(self):
        """Return the (left out, sound) servers of each window, and those too low."""
        judged, low = [], []
        for step in range(20, int(self.now_s / 0.25)):
            end_s = step * 0.25
            start_s = end_s - WINDOW_S
            sent = [served for at, served, _ in self.outcomes if start_s <= at < end_s]
            unserved = sent.count(False)
            least, most = UNSERVED_SHARES
            if not least * len(sent) < unserved < most * len(sent):
                continue
            sound = [
                s
                for s in self.servers.values()
                if not any(
                    start_s - SOUND_AFTER_FAILURE_S < f < end_s for f in s.failures
                )
                and not any(start_s - 6.0 < d < end_s for d in s.disturbed)
            ]
            reached = sum(any(start_s <= a < end_s for a in s.arrivals) for s in sound)
            judged.append((len(sound) - reached, len(sound)))
            if reached and reached < FLOOR_SHARE * len(sound):
                low.append(
                    (end_s, len(sound) - reached, len(sound), unserved, len(sent))
                )
        return judged, low
