"""Simulates daemons that hedge requests to servers with long-tailed latencies."""

import heapq
import itertools
import random
from datetime import timedelta

from wagtailstep.controllers.attempt_timeout import RecentRefusals
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.hedging.policy import HedgePolicy
from wagtailstep.models.hedging import HedgeDenial
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.utils.clock import ManualClock

SLOTS = 5
MEDIAN_S = 0.25
SIGMA = 0.4
OUTLIER_SHARE = 0.003
OUTLIER_FACTOR = 12
STRAGGLER_FACTOR = 3
DECLINED_SHARE = 0.5
DEADLINE_S = 12.0
GATES_ASKED = 3
RETRY_SLACK = 166
WARMUP_S = 15.0


class Server:
    def __init__(self, index, factor, declined_share):
        self.index = index
        self.factor = factor
        self.declined_share = declined_share
        self.running = 0
        self.queue = []


class Copy:
    def __init__(self, request, server):
        self.request = request
        self.server = server
        self.state = "new"


class Request:
    def __init__(self, seed, daemon, context, started):
        # Of its own, so that runs with different limits see the same requests.
        self.rng = random.Random(seed)
        self.daemon = daemon
        self.context = context
        self.started = started
        self.tried = set()
        self.full = []
        self.sent = 0
        self.copies = []
        self.done = False


class Simulation:
    """Runs all daemons and servers of one service.

    ``latencies`` are those of requests that started after the warm-up, in seconds;
    ``arrivals`` and ``hedges`` hold times by daemon.
    """

    def __init__(self, seed, servers, load, ratio, stragglers=0, declining=0):
        self.rng = random.Random(seed)
        self.seed = seed
        self.request_serials = itertools.count()
        self.clock = ManualClock()
        self.servers = [
            Server(
                i,
                STRAGGLER_FACTOR if i < stragglers else 1.0,
                DECLINED_SHARE if stragglers <= i < stragglers + declining else 0.0,
            )
            for i in range(servers)
        ]
        settings = RequestSettings(
            retry_ratio=0.19, retry_slack=RETRY_SLACK, max_attempts=2, hedge_ratio=ratio
        )
        self.policies = []
        for _ in range(servers):
            retries = RetryPolicy(settings, self.clock, lambda: servers)
            refusals = RecentRefusals(self.clock)
            self.policies.append(HedgePolicy(settings, self.clock, retries, refusals))
        mean_s = MEDIAN_S * 1.083 * (1 + OUTLIER_SHARE * (OUTLIER_FACTOR - 1))
        self.rate = load * servers * SLOTS / mean_s
        self.events = []
        self.serials = itertools.count()
        self.latencies = []
        self.refused = 0
        self.arrivals = [[] for _ in range(servers)]
        self.hedges = [[] for _ in range(servers)]

    @property
    def now(self):
        return self.clock.monotonic().total_seconds()

    def schedule(self, delay, action, *args):
        due = self.now + delay
        heapq.heappush(self.events, (due, next(self.serials), action, args))

    def run(self, seconds):
        self.end = seconds
        self.schedule(0, self.arrive)
        while self.events:
            due, _, action, args = heapq.heappop(self.events)
            step = timedelta(seconds=due) - self.clock.elapsed
            self.clock.advance(max(timedelta(), step))
            action(*args)
        self.latencies.sort()
        return self

    def arrive(self):
        if self.now >= self.end:
            return
        self.schedule(self.rng.expovariate(self.rate), self.arrive)
        daemon = self.rng.randrange(len(self.policies))
        context = RequestContext(
            request_id="r",
            service="contracts",
            route="lookup",
            account="",
            method="GET",
            path="/",
            idempotent=True,
            idempotency_key=None,
            deadline=self.clock.monotonic() + timedelta(seconds=DEADLINE_S),
        )
        seed = f"{self.seed}/{next(self.request_serials)}"
        request = Request(seed, daemon, context, self.now)
        self.arrivals[daemon].append(self.now)
        self.policies[daemon].retries.record_first_attempt("contracts")
        self.send(request)

    def pick(self, request):
        untried = [s for s in self.servers if s.index not in request.tried]
        return request.rng.choice(untried) if untried else None

    def send(self, request):
        """Send the first copy: ask some gates, then join the shortest queue."""
        while len(request.full) < GATES_ASKED:
            server = self.pick(request)
            request.tried.add(server.index)
            if server.running < SLOTS:
                return self.start(Copy(request, server), hedge=False)
            request.full.append(server)
        server = min(request.full, key=lambda s: len(s.queue))
        if len(server.queue) >= 2 * SLOTS:
            self.refused += 1
            policy = self.policies[request.daemon]
            policy.refusals.record_refusal("contracts")
            return
        copy = Copy(request, server)
        copy.state = "queued"
        request.copies.append(copy)
        server.queue.append(copy)
        self.plan_hedge(request)

    def start(self, copy, hedge):
        request = copy.request
        request.copies.append(copy)
        request.sent += 1
        if request.rng.random() < copy.server.declined_share:
            copy.state = "ended"
            request.copies.remove(copy)
            if not hedge and request.sent < 2:
                self.send(request)
            elif not request.copies:
                self.refused += 1
            return
        self.occupy(copy)
        if not hedge:
            self.plan_hedge(request)

    def occupy(self, copy):
        copy.state = "running"
        copy.server.running += 1
        work = copy.request.rng.lognormvariate(0, SIGMA) * MEDIAN_S * copy.server.factor
        if copy.request.rng.random() < OUTLIER_SHARE:
            work *= OUTLIER_FACTOR
        self.schedule(work, self.finish, copy)

    def plan_hedge(self, request):
        if request.sent > 1:
            return
        policy = self.policies[request.daemon]
        delay = policy.compute_delay(request.context)
        if delay is not None:
            self.schedule(delay.total_seconds(), self.hedge, request, delay)

    def hedge(self, request, delay):
        if request.done or not request.copies:
            return
        policy = self.policies[request.daemon]
        denial = policy.find_denial(request.context, delay, 1, True, len(request.full))
        server = self.pick(request)
        if denial is HedgeDenial.OVER_LIMIT:
            self.schedule(delay.total_seconds(), self.hedge, request, delay)
        if denial is not None or server is None:
            return
        if not policy.try_charge(request.context):
            return
        self.hedges[request.daemon].append(self.now)
        for _ in range(GATES_ASKED):
            request.tried.add(server.index)
            if server.running < SLOTS:
                return self.start(Copy(request, server), hedge=True)
            server = self.pick(request)

    def finish(self, copy):
        if copy.state != "running":
            return
        request = copy.request
        request.done = True
        latency = self.now - request.started
        self.policies[request.daemon].record_latency(
            request.context, timedelta(seconds=latency)
        )
        if request.started >= WARMUP_S:
            self.latencies.append(latency)
        for each in request.copies:
            self.release(each)

    def release(self, copy):
        if copy.state == "queued":
            copy.server.queue.remove(copy)
        elif copy.state == "running":
            server = copy.server
            server.running -= 1
            if server.queue:
                following = server.queue.pop(0)
                following.request.sent += 1
                self.occupy(following)
        copy.state = "ended"

    def percentile(self, share):
        return self.latencies[int(share * (len(self.latencies) - 1))]
