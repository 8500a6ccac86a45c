"""Measure the quotas of client accounts: bound, wrong refusals, messages and cost.

The controllers run on a manual clock and an in-memory channel; processor times are
those of the controllers alone. ``python -m benchmarks.quotas --seed=1``
"""

import pathlib
import random
import time
from collections.abc import Callable
from datetime import timedelta

import fire

from benchmarks.quota_fleet import (
    QuotaFleet,
    QuotaResult,
    create_accounts,
    evaluate,
)
from benchmarks.report import Report
from wagtailstep.accounts.directory import ClientAccount, build_directory
from wagtailstep.accounts.quota_home import QuotaHome
from wagtailstep.accounts.quota_leases import QuotaLeases
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import ManualClock

DAEMON_COUNTS = (20, 78)
DEMAND_PER_S = 300
DURATION_S = 24.0
FAULT_AT_S = 6.0
SETTLING_S = 0.5
BUSY_ACCOUNT = "account-3"
LARGEST_ACCOUNT = "account-0"
BUSY_FACTOR = 6
LARGE_FLEET = 1_800
LARGE_ACCOUNT_COUNT = 47_000
COST_ROUNDS = 5_000
REPORT_PATH = pathlib.Path("docs/measurements/quotas.md")

Fault = Callable[[QuotaFleet, random.Random], None]


def do_nothing(fleet: QuotaFleet, rng: random.Random) -> None:
    """Let nothing fail."""


def cut_in_two(fleet: QuotaFleet, rng: random.Random, seconds: float = 15.0) -> None:
    """Cut the fleet into two random groups."""
    fleet.partition({name: rng.randrange(2) for name in fleet.daemons})
    fleet.run(seconds)
    fleet.partition(dict.fromkeys(fleet.daemons, 0))


def cut_in_three(fleet: QuotaFleet, rng: random.Random) -> None:
    """Cut the fleet into three random groups."""
    fleet.partition({name: rng.randrange(3) for name in fleet.daemons})
    fleet.run(15.0)
    fleet.partition(dict.fromkeys(fleet.daemons, 0))


def crash_third(fleet: QuotaFleet, rng: random.Random) -> None:
    """End a third of the daemons for good."""
    fleet.crash(rng.sample(list(fleet.daemons), len(fleet.daemons) // 3))


def restart_third(fleet: QuotaFleet, rng: random.Random) -> None:
    """End a third of the daemons and start them again."""
    crashed = rng.sample(list(fleet.daemons), len(fleet.daemons) // 3)
    fleet.crash(crashed)
    fleet.run(4.0)
    fleet.restart(crashed)


def lose_messages(fleet: QuotaFleet, rng: random.Random) -> None:
    """Lose a tenth of the control messages from now on."""
    fleet.loss = 0.1


FAULTS: dict[str, Fault] = {
    "none": do_nothing,
    "two groups for 15 s": cut_in_two,
    "three groups for 15 s": cut_in_three,
    "a third crashes": crash_third,
    "a third crashes and restarts": restart_third,
    "a tenth of the messages lost": lose_messages,
}


def play(
    seed: int, daemon_count: int, fault: Fault, busy: str = BUSY_ACCOUNT
) -> QuotaResult:
    """Play one fault, with one account at a multiple of its usual load.

    :param busy: name of that account.
    """
    rng = random.Random(seed)
    fleet = QuotaFleet(seed, daemon_count, create_accounts(rng, DEMAND_PER_S))
    loads = fleet.usual_loads()
    loads[busy] *= BUSY_FACTOR
    fleet.offer(loads, DURATION_S)
    fleet.run(FAULT_AT_S)
    fault(fleet, rng)
    fleet.run(DURATION_S + SETTLING_S - fleet.now_s)
    return evaluate(fleet)


def measure_cost(seed: int) -> dict[str, float]:
    """Return processor times in microseconds at the design scale, at one daemon."""
    clock = ManualClock()
    members = {
        f"d{i}": Member(f"d{i}", 1, f"d{i}", "", "bole") for i in range(LARGE_FLEET)
    }
    accounts = {
        f"a{i}": ClientAccount(f"a{i}", None, 5.0, 5.0)
        for i in range(LARGE_ACCOUNT_COUNT)
    }
    table = Table(
        client_accounts=build_directory((each, ()) for each in accounts.values())
    )
    board = Blackboard(members["d0"], table=table, members=members)
    home = QuotaHome(board, clock)
    rng = random.Random(seed)
    leases = QuotaLeases(board, clock, rng, home)
    chosen = [accounts[f"a{rng.randrange(LARGE_ACCOUNT_COUNT)}"] for _ in range(100)]

    def decide(number: int) -> None:
        leases.decide(chosen[number % len(chosen)], f"r{number}")

    def tick(number: int) -> None:
        clock.advance(timedelta(milliseconds=100))
        home.handle(Tick())
        leases.handle(Tick())

    return {
        "first decision of an account": measure_us(decide, len(chosen)),
        "later decision": measure_us(decide, COST_ROUNDS),
        "tick": measure_us(tick, 200),
    }


def measure_us(action: Callable[[int], None], rounds: int) -> float:
    """Return the mean processor time of an action in microseconds."""
    started = time.process_time()
    for number in range(rounds):
        action(number)
    return (time.process_time() - started) / rounds * 1e6


def main(seed: int = 1) -> None:
    """Measure all cases, write the page of results and print the figures.

    :param seed: seed of the runs.
    """
    report = Report("Quotas of client accounts", "quotas", seed)
    report.add_text(
        f"74 accounts, {DEMAND_PER_S} requests a second in all, each account at 0.6 of "
        f"its rate and one at {BUSY_FACTOR} times that; {DURATION_S:g} s, the fault "
        f"after {FAULT_AT_S:g} s. Members are suspected 1 to 3 s after a fault."
    )
    headings = ["daemons", "fault", "requests above the bound (negative: kept)"]
    headings += ["refused below the limit %", "quota used by the busy account %"]
    headings += ["messages per request", "longest wait ms"]
    results = {}
    for daemon_count in DAEMON_COUNTS:
        for name, fault in FAULTS.items():
            results[daemon_count, name] = play(seed, daemon_count, fault)
            print(daemon_count, name, results[daemon_count, name], flush=True)
    rows = [
        [
            str(daemon_count),
            name,
            f"{result.excess:.1f}",
            f"{100 * result.wrongly_refused:.2f}",
            f"{100 * result.used:.0f}",
            f"{result.messages_per_request:.2f}",
            f"{result.slowest_ms:.0f}",
        ]
        for (daemon_count, name), result in results.items()
    ]
    report.add_table(headings, rows)
    cost = measure_cost(seed)
    report.add_text(
        f"Processor time at one of {LARGE_FLEET} daemons with {LARGE_ACCOUNT_COUNT} "
        "accounts:"
    )
    cost_rows = [[name, f"{micros:.0f}"] for name, micros in cost.items()]
    report.add_table(["step", "CPU us"], cost_rows)
    last_line = (
        f"worst_excess={max(each.excess for each in results.values()):.1f} "
        f"worst_refused={max(each.wrongly_refused for each in results.values()):.4f} "
        f"tick_us={cost['tick']:.0f}"
    )
    report.write(REPORT_PATH, last_line)
    print(last_line)


if __name__ == "__main__":
    fire.Fire(main)
