"""Simulation of the quota controllers of a fleet, on a manual clock.

Requests, control messages, ticks and changes of members are events of one queue, so a
run depends on its seed only. The simulation knows no event loop, gates or servers: an
admitted request counts as received by a server at once.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.accounts.directory import ClientAccount, build_directory
from wagtailstep.accounts.quota_bucket import (
    BOUND_EXTRA,
    BOUND_FACTOR,
    BOUND_WINDOW,
    get_burst,
)
from wagtailstep.accounts.quota_home import QuotaHome
from wagtailstep.accounts.quota_leases import QuotaLeases
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.quotas import QuotaDecided, QuotaDecision, ScheduleQuotaCheck
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import ManualClock

ZONES = ("bole", "kirkos", "yeka")
ZONE_SHARES = (40, 32, 6)
SAME_ZONE_LATENCY_S = 0.0003
OTHER_ZONE_LATENCY_S = 0.0014
TICK_S = 0.1
# A silent daemon is suspected by the others after a ping and its timeout; the news
# spreads within about a second.
SUSPICION_DELAYS_S = (1.0, 3.0)
RECOVERY_DELAYS_S = (0.2, 2.0)
ACCOUNT_COUNT = 74
# Share of an account's rate that it normally uses.
USUAL_USE = 0.6
WINDOW_S = BOUND_WINDOW.total_seconds()


@attrs.define
class SimulatedDaemon:
    """The quota controllers of one daemon.

    :param running: whether it handles events.
    :param side: daemons with different sides can't exchange messages.
    """

    member: Member
    board: Blackboard
    home: QuotaHome
    leases: QuotaLeases
    running: bool = True
    side: int = 0


@attrs.frozen
class Outcome:
    """How one request ended.

    :param arrived_s: time of its arrival in seconds.
    :param decided_s: time of the decision.
    :param admitted: whether it was admitted.
    """

    arrived_s: float
    decided_s: float
    admitted: bool


def create_accounts(
    rng: random.Random, demand: float, count: int = ACCOUNT_COUNT
) -> list[ClientAccount]:
    """Create accounts whose usual demand falls with their position.

    :param demand: requests per second of all accounts.
    """
    weights = [1 / (position + 1) ** 0.9 for position in range(count)]
    return [
        ClientAccount(
            f"account-{position}",
            None,
            round(demand * weight / sum(weights) / USUAL_USE, 2),
            rng.choice((5, 10, 20)) + round(demand * weight / sum(weights)),
        )
        for position, weight in enumerate(weights)
    ]


class QuotaFleet:
    """Daemons that share the quotas of some accounts.

    :param daemon_count: number of daemons.
    :param accounts: the accounts, all with a rate.
    :param loss: share of the control messages that get lost.
    """

    def __init__(
        self,
        seed: int,
        daemon_count: int,
        accounts: Iterable[ClientAccount],
        loss: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.loss = loss
        self.accounts = {account.name: account for account in accounts}
        self.table = Table(
            client_accounts=build_directory(
                (each, ()) for each in self.accounts.values()
            )
        )
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.arrivals: dict[str, tuple[str, float]] = {}
        self.outcomes: dict[str, list[Outcome]] = {name: [] for name in self.accounts}
        self.messages = 0
        members = [self.create_member(number) for number in range(daemon_count)]
        self.daemons = {
            member.daemon_id: self.create_daemon(member, members) for member in members
        }
        for daemon_id in self.daemons:
            self.schedule(self.rng.uniform(0, TICK_S), self.tick, daemon_id)

    def create_member(self, number: int) -> Member:
        """Create the member entry of a daemon; the shares of the zones are fixed."""
        zone = self.rng.choices(ZONES, ZONE_SHARES)[0]
        return Member(f"d{number}", 1, f"d{number}", "", zone)

    def create_daemon(
        self, member: Member, members: Iterable[Member]
    ) -> SimulatedDaemon:
        """Create a daemon that knows the given members."""
        board = Blackboard(member, table=self.table, table_known=True)
        board.members = {each.daemon_id: each for each in members}
        home = QuotaHome(board, self.clock)
        rng = random.Random(self.rng.random())
        return SimulatedDaemon(
            member, board, home, QuotaLeases(board, self.clock, rng, home)
        )

    @property
    def now_s(self) -> float:
        """Return the time since the start in seconds."""
        return self.clock.monotonic().total_seconds()

    def schedule(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Run an action after a delay."""
        entry = (self.now_s + delay_s, next(self.numbers), lambda: action(*args))
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        end_s = self.now_s + seconds
        while self.queue and self.queue[0][0] <= end_s:
            due_s, _, action = heapq.heappop(self.queue)
            self.advance_to(due_s)
            action()
        self.advance_to(end_s)

    def advance_to(self, time_s: float) -> None:
        """Move the clock forward to a time."""
        step = timedelta(seconds=time_s) - self.clock.monotonic()
        self.clock.advance(max(timedelta(), step))

    def tick(self, daemon_id: str) -> None:
        """Send a tick to the controllers of a daemon."""
        daemon = self.daemons[daemon_id]
        if daemon.running:
            self.apply(daemon, daemon.home.handle(Tick()))
            self.apply(daemon, daemon.leases.handle(Tick()))
        self.schedule(TICK_S, self.tick, daemon_id)

    def apply(self, daemon: SimulatedDaemon, effects: Iterable[Any]) -> None:
        """Apply the effects of a daemon's controllers."""
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self.send(daemon, effect)
            elif isinstance(effect, QuotaDecided):
                self.record(effect.request_id, effect.decision)
            elif isinstance(effect, ScheduleQuotaCheck):
                delay_s = effect.delay.total_seconds()
                self.schedule(delay_s, self.check, daemon.member.daemon_id, daemon)

    def check(self, daemon_id: str, daemon: SimulatedDaemon) -> None:
        """Check for overdue answers, unless the daemon has ended."""
        if daemon.running and self.daemons[daemon_id] is daemon:
            self.apply(daemon, daemon.leases.check_pending())

    def send(self, sender: SimulatedDaemon, effect: SendToPeer) -> None:
        """Deliver a control message after the latency of its path."""
        self.messages += 1
        receiver = self.daemons[effect.address]
        same_zone = sender.member.availability_zone == receiver.member.availability_zone
        delay_s = SAME_ZONE_LATENCY_S if same_zone else OTHER_ZONE_LATENCY_S
        delay_s *= self.rng.uniform(1.0, 1.5)
        if self.rng.random() >= self.loss:
            self.schedule(delay_s, self.deliver, sender, receiver, effect.message)

    def deliver(
        self, sender: SimulatedDaemon, receiver: SimulatedDaemon, message: Any
    ) -> None:
        """Deliver a message that arrives now, unless the path is cut."""
        current = self.daemons[receiver.member.daemon_id]
        if not current.running or current.side != sender.side:
            return
        event = PeerMessageReceived(sender.member.daemon_id, message)
        self.apply(current, current.home.handle(event))
        self.apply(current, current.leases.handle(event))

    def offer(self, loads: dict[str, float], seconds: float) -> None:
        """Schedule requests of accounts, with random times and daemons.

        :param loads: requests per second by account.
        """
        for account, load in loads.items():
            delay_s = self.rng.expovariate(load) if load else seconds
            while delay_s < seconds:
                self.schedule(delay_s, self.arrive, account)
                delay_s += self.rng.expovariate(load)

    def usual_loads(self) -> dict[str, float]:
        """Return the usual requests per second of each account."""
        return {
            name: USUAL_USE * account.rate_per_s
            for name, account in self.accounts.items()
        }

    def arrive(self, account: str) -> None:
        """Let a request arrive at a random running daemon."""
        running = [daemon for daemon in self.daemons.values() if daemon.running]
        daemon = self.rng.choice(running)
        request_id = f"r{next(self.numbers)}"
        self.arrivals[request_id] = (account, self.now_s)
        directory = daemon.board.table.client_accounts
        outcome = daemon.leases.decide(directory.find_name(account), request_id)
        if outcome.decision is not None:
            self.record(request_id, outcome.decision)
        self.apply(daemon, outcome.effects)

    def record(self, request_id: str, decision: QuotaDecision) -> None:
        """Record the decision on a request."""
        account, arrived_s = self.arrivals.pop(request_id)
        outcome = Outcome(arrived_s, self.now_s, decision.admitted)
        self.outcomes[account].append(outcome)

    def crash(self, daemon_ids: Collection[str]) -> None:
        """End daemons at once; the others suspect them later."""
        for daemon_id in daemon_ids:
            self.daemons[daemon_id].running = False
        for daemon in self.daemons.values():
            for daemon_id in daemon_ids:
                delay_s = self.rng.uniform(*SUSPICION_DELAYS_S)
                self.schedule(delay_s, self.update_view, daemon, daemon_id)

    def restart(self, daemon_ids: Collection[str]) -> None:
        """Start crashed daemons again, without any state."""
        for daemon_id in daemon_ids:
            old = self.daemons[daemon_id]
            member = attrs.evolve(old.member, incarnation=old.member.incarnation + 1)
            running = [each.member for each in self.daemons.values() if each.running]
            self.daemons[daemon_id] = self.create_daemon(member, [*running, member])
        for daemon in self.daemons.values():
            for daemon_id in daemon_ids:
                delay_s = self.rng.uniform(*RECOVERY_DELAYS_S)
                self.schedule(delay_s, self.update_view, daemon, daemon_id)

    def partition(self, sides: dict[str, int]) -> None:
        """Cut or heal the paths between daemons.

        :param sides: number of the side of each daemon.
        """
        for daemon_id, daemon in self.daemons.items():
            daemon.side = sides[daemon_id]
        for daemon in self.daemons.values():
            for daemon_id, other in self.daemons.items():
                same = daemon.side == other.side
                delays = RECOVERY_DELAYS_S if same else SUSPICION_DELAYS_S
                delay_s = self.rng.uniform(*delays)
                self.schedule(delay_s, self.update_view, daemon, daemon_id)

    def update_view(self, daemon: SimulatedDaemon, daemon_id: str) -> None:
        """Let a daemon notice whether another one can be reached now."""
        other = self.daemons[daemon_id]
        reached = other.running and other.side == daemon.side
        state = MemberState.ALIVE if reached else MemberState.SUSPECT
        daemon.board.members[daemon_id] = attrs.evolve(other.member, state=state)

    def publish(self, accounts: Iterable[ClientAccount]) -> None:
        """Bring a table with other limits into force at all daemons."""
        self.accounts = {account.name: account for account in accounts}
        self.table = Table(
            client_accounts=build_directory(
                (each, ()) for each in self.accounts.values()
            )
        )
        for daemon in self.daemons.values():
            daemon.board.table = self.table


def compute_excess(
    account: ClientAccount, outcomes: Iterable[Outcome], since_s: float = 0.0
) -> float:
    """Return by how much the admitted requests exceed the bound in the worst window.

    :param since_s: windows that start earlier are not considered.
    :return: requests above the bound; negative if it was kept.
    """
    times = sorted(
        outcome.decided_s
        for outcome in outcomes
        if outcome.admitted and outcome.decided_s >= since_s
    )
    bound = account.rate_per_s * WINDOW_S + get_burst(account)
    bound = bound * BOUND_FACTOR + BOUND_EXTRA
    most = start = 0
    for end, time in enumerate(times):
        while times[start] <= time - WINDOW_S:
            start += 1
        most = max(most, end - start + 1)
    return most - bound


def count_permitted(account: ClientAccount, outcomes: Iterable[Outcome]) -> int:
    """Return how many of the requests one bucket for the whole fleet would admit."""
    burst = get_burst(account)
    tokens, last_s, permitted = burst, 0.0, 0
    for outcome in sorted(outcomes, key=lambda each: each.arrived_s):
        gained = (outcome.arrived_s - last_s) * account.rate_per_s
        tokens = min(burst, tokens + gained)
        last_s = outcome.arrived_s
        if tokens >= 1:
            tokens -= 1
            permitted += 1
    return permitted


@attrs.frozen
class QuotaResult:
    """Figures of one run.

    :param excess: requests above the bound in the worst window of any account;
        negative if the bound was kept.
    :param wrongly_refused: share of the requests of accounts below their limit that
        were refused.
    :param used: share of what one bucket for the fleet would admit that was admitted,
        over accounts above their limit; 1 without such an account.
    :param messages_per_request: control messages per request.
    :param slowest_ms: longest wait for a decision.
    """

    excess: float
    wrongly_refused: float
    used: float
    messages_per_request: float
    slowest_ms: float


def evaluate(fleet: QuotaFleet, since_s: float = 0.0) -> QuotaResult:
    """Return the figures of a run.

    :param since_s: windows of the bound that start earlier are not considered.
    """
    excess = max(
        compute_excess(account, fleet.outcomes[name], since_s)
        for name, account in fleet.accounts.items()
    )
    below = refused = above_permitted = above_admitted = 0
    for name, account in fleet.accounts.items():
        outcomes = fleet.outcomes[name]
        permitted = count_permitted(account, outcomes)
        admitted = sum(outcome.admitted for outcome in outcomes)
        if permitted == len(outcomes):
            below += permitted
            refused += permitted - admitted
        else:
            above_permitted += permitted
            above_admitted += admitted
    everything = [each for found in fleet.outcomes.values() for each in found]
    return QuotaResult(
        excess,
        refused / max(1, below),
        above_admitted / above_permitted if above_permitted else 1.0,
        fleet.messages / max(1, len(everything)),
        max((each.decided_s - each.arrived_s) * 1_000 for each in everything),
    )
