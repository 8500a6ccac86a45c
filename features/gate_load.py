"""One gate under load of many client accounts, in virtual time."""

import collections
import heapq
import itertools
from datetime import timedelta

import attrs

from wagtailstep.controllers.gate import GateController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.gate import (
    GateRequest,
    GateRequestArrived,
    GateRequestEnded,
    RefuseRequest,
    RunResult,
    StartRequest,
)
from wagtailstep.models.settings import DaemonSettings, RequestSettings
from wagtailstep.utils.clock import ManualClock

MILLISECOND = timedelta(milliseconds=1)
TARGET_ID = "contracts/127.0.0.1:9000"


@attrs.frozen
class AccountLoad:
    """Load of one client account.

    :param weight: its load relative to an ordinary account.
    :param route: route of all its requests.
    """

    name: str
    weight: float
    route: str
    priority: int | None = None


# Work and latency objectives in the range of the new deployments
# (docs/design/milestone-accounts-and-load.md).
ROUTES = {
    "call": (150 * MILLISECOND, 600 * MILLISECOND),
    "page": (200 * MILLISECOND, 800 * MILLISECOND),
    "upload": (300 * MILLISECOND, 1_200 * MILLISECOND),
}
SLOTS = 6
BUSY = "account-0"


def compute_arrival_time(work_offered):
    """Return when load 0.8 for 10 s and 2 for 10 s in turns have offered some work.

    :param work_offered: time in which the full capacity does this work.
    """
    cycles, rest = divmod(work_offered, timedelta(seconds=28))
    calm = min(rest, timedelta(seconds=8))
    return cycles * timedelta(seconds=20) + calm / 0.8 + (rest - calm) / 2


class LoadedGate:
    """One gate under load in virtual time; counts requests served in time."""

    def __init__(self, accounts, rng):
        self.rng = rng
        self.accounts = accounts
        self.clock = ManualClock()
        board = Blackboard(Member("d0", 1, "", "", "bole"))
        board.targets[TARGET_ID] = Target(
            TARGET_ID, "contracts", "d0", "bole", slots=SLOTS
        )
        settings = DaemonSettings(
            "d0",
            "bole",
            "a:1",
            "a:2",
            "a:3",
            "127.0.0.1:4",
            requests=RequestSettings(trust_slots=True),
        )
        self.gate = GateController(settings, board, self.clock, rng)
        self.completions = []
        self.requests = {}
        self.sent = collections.Counter()
        self.in_time = collections.Counter()
        self.work = collections.Counter()

    def run_until(self, until):
        while self.completions and self.completions[0][0] <= until:
            at, serial = heapq.heappop(self.completions)
            self.clock.advance(at - self.clock.monotonic())
            request = self.requests.pop(serial)
            self.in_time[request.account] += at <= request.aim_deadline
            self.apply(self.gate.handle(GateRequestEnded(serial, RunResult.ANSWERED)))
        self.clock.advance(until - self.clock.monotonic())

    def apply(self, effects):
        for effect in effects:
            request = self.requests[effect.serial]
            if isinstance(effect, RefuseRequest):
                assert effect.error.verdict.value == "not-run"
                del self.requests[effect.serial]
            elif isinstance(effect, StartRequest):
                work = ROUTES[request.route][0] * self.rng.lognormvariate(-0.05, 0.3)
                self.work[request.account] += work.total_seconds()
                at = self.clock.monotonic() + work
                heapq.heappush(self.completions, (at, effect.serial))

    def send(self, serial, account):
        now = self.clock.monotonic()
        self.sent[account.name] += 1
        request = self.requests[serial] = GateRequest(
            serial=serial,
            request_id=f"r{serial}",
            attempt_id=f"a{serial}",
            target_id=TARGET_ID,
            route=account.route,
            idempotent=False,
            deadline=now + 4 * timedelta(seconds=1),
            aim_deadline=now + ROUTES[account.route][1],
            arrived_at=now,
            account=account.name,
            account_priority=account.priority,
        )
        self.apply(self.gate.handle(GateRequestArrived(request)))

    def run(self, duration_s):
        """Send requests: 10 s at 0.8 of the capacity, 10 s at 2 times.

        Each account sends at a steady rate with a jitter of half an interval. With
        Poisson arrivals, differences in the number of requests sent would exceed those
        that the queue makes.
        """
        total_weight = sum(account.weight for account in self.accounts)
        # Accounts of equal weight need equal work, so short requests are more frequent.
        intervals = {
            account: ROUTES[account.route][0] * total_weight / account.weight / SLOTS
            for account in self.accounts
        }
        arrivals = [
            (self.rng.random() * interval, index)
            for index, interval in enumerate(intervals.values())
        ]
        heapq.heapify(arrivals)
        for serial in itertools.count():
            work_offered, index = arrivals[0]
            now = compute_arrival_time(work_offered)
            if now > timedelta(seconds=duration_s):
                break
            account = self.accounts[index]
            self.run_until(now)
            self.send(serial, account)
            interval = intervals[account] * self.rng.uniform(0.5, 1.5)
            heapq.heapreplace(arrivals, (work_offered + interval, index))
        self.run_until(now + timedelta(seconds=10))
        return {name: self.in_time[name] / sent for name, sent in self.sent.items()}
