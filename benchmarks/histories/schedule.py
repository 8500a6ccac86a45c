"""Run a simulated fleet with its callers under one or two types of faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
import detangle

from benchmarks.histories.callers import CALLER, Caller
from benchmarks.histories.checker import check_history, check_keyed_operations_ran
from benchmarks.histories.fleet import SERVICE, FakeFleet
from benchmarks.histories.history import RunHistory, Violation
from benchmarks.histories.network import LOG
from wagtailstep.models.table import ServiceRow

FLEET_SIZE = 3
CALLER_COUNT = 4
OPERATIONS_PER_CALLER = 3
MAX_FAULT_START_DELAY_S = 1.5
RECOVERY_S = 8.0
MAX_STEPS = 2_000_000

Fault = Callable[[FakeFleet, random.Random], Awaitable[None]]


async def lose_messages(fleet: FakeFleet, rng: random.Random) -> None:
    """Lose some messages."""
    fleet.faults.loss_probability = rng.uniform(0.05, 0.4)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    fleet.faults.loss_probability = 0.0


async def delay_messages(fleet: FakeFleet, rng: random.Random) -> None:
    """Delay some messages, so that they overtake each other."""
    fleet.faults.max_extra_delay_s = rng.uniform(0.2, 1.2)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    fleet.faults.max_extra_delay_s = 0.0


async def truncate_answers(fleet: FakeFleet, rng: random.Random) -> None:
    """Truncate some responses."""
    fleet.faults.truncation_probability = rng.uniform(0.1, 0.8)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    fleet.faults.truncation_probability = 0.0


async def refuse_at_gates(fleet: FakeFleet, rng: random.Random) -> None:
    """Refuse some requests at the gates."""
    fleet.faults.refusal_probability = rng.uniform(0.2, 1.0)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    fleet.faults.refusal_probability = 0.0


async def crash_daemon(fleet: FakeFleet, rng: random.Random) -> None:
    """Crash a daemon and restart it without its state in memory."""
    daemon = rng.choice(list(fleet.daemons.values()))
    daemon.crash()
    await asyncio.sleep(rng.uniform(0.0, 0.8))
    await daemon.boot()


async def crash_backend_servers(fleet: FakeFleet, rng: random.Random) -> None:
    """Crash all backend servers repeatedly, which aborts the requests they run."""
    for _ in range(rng.randint(1, 8)):
        for daemon_id in fleet.daemons:
            crashes = fleet.backend_crashes.get(daemon_id, 0)
            fleet.backend_crashes[daemon_id] = crashes + 1
        await asyncio.sleep(rng.uniform(0.0, 0.2))


async def block_links_one_way(fleet: FakeFleet, rng: random.Random) -> None:
    """Block some links in one direction."""
    ends = [*fleet.daemons, LOG, CALLER]
    blocked_links = [tuple(rng.sample(ends, 2)) for _ in range(rng.randint(1, 3))]
    fleet.faults.blocked_links.update(blocked_links)
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    fleet.faults.blocked_links.difference_update(blocked_links)


async def pause_daemon(fleet: FakeFleet, rng: random.Random) -> None:
    """Suspend a daemon at an arbitrary step and resume it later."""
    daemon = rng.choice(list(fleet.daemons.values()))
    daemon.not_paused.clear()
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    daemon.not_paused.set()


async def make_log_unavailable(fleet: FakeFleet, rng: random.Random) -> None:
    """Make the log service refuse all calls for a while."""
    fleet.faults.log_unavailable = True
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    fleet.faults.log_unavailable = False


async def lose_acknowledgments(fleet: FakeFleet, rng: random.Random) -> None:
    """Leave appends unacknowledged, whether applied at once, late or never."""
    fleet.faults.lost_acknowledgment_probability = rng.uniform(0.3, 1.0)
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    fleet.faults.lost_acknowledgment_probability = 0.0


FAULTS: dict[str, Fault] = {
    "lost-answers": lose_messages,
    "late-answers": delay_messages,
    "truncated-answers": truncate_answers,
    "refusals": refuse_at_gates,
    "daemon-crash": crash_daemon,
    "backend-server-crash": crash_backend_servers,
    "one-way-cut": block_links_one_way,
    "pause": pause_daemon,
    "log-away": make_log_unavailable,
    "lost-acknowledgments": lose_acknowledgments,
}


# These faults never leave it unknown whether a request ran, so after them every keyed
# operation must be able to run; its key must not stay claimed without a run.
CERTAIN_OUTCOME_FAULTS = frozenset({"refusals", "log-away", "lost-acknowledgments"})


@attrs.define
class RunResult:
    """One run and the findings of the checker.

    :param seed: seed of the run.
    :param faults: names of its faults.
    :param history: its sends and executions.
    :param violations: violated guarantees.
    :param appends: number of calls that append to the log.
    """

    seed: int
    faults: tuple[str, ...]
    history: RunHistory
    violations: list[Violation]
    appends: int


def run_schedule(seed: int, faults: tuple[str, ...] | None = None) -> RunResult:
    """Run one seeded schedule and check its history.

    :param faults: names of the faults; by default one or two chosen by the seed.
    """
    rng = random.Random(f"{seed}/faults")
    if faults is None:
        faults = tuple(rng.sample(list(FAULTS), rng.choice([1, 2, 2])))

    async def run() -> FakeFleet:
        rows = {SERVICE: ServiceRow(SERVICE)}
        fleet = FakeFleet(seed, FLEET_SIZE, rows)
        await run_callers_and_faults(fleet, faults, rng)
        return fleet

    fleet = detangle.run(run, seed=seed, max_steps=MAX_STEPS, fail_on_unobserved=False)
    violations = check_history(fleet.history)
    if CERTAIN_OUTCOME_FAULTS.issuperset(faults):
        violations += check_keyed_operations_ran(fleet.history)
    return RunResult(seed, faults, fleet.history, violations, fleet.log.appends)


async def run_callers_and_faults(
    fleet: FakeFleet, faults: tuple[str, ...], rng: random.Random
) -> None:
    """Run callers and faults concurrently, then stop the fleet.

    After faults that leave no outcome unknown, wait until the fleet has recovered and
    resend what has not run.
    """
    for daemon in fleet.daemons.values():
        await daemon.boot()
    callers = [Caller(number, fleet) for number in range(1, CALLER_COUNT + 1)]
    caller_runs = [caller.run(OPERATIONS_PER_CALLER) for caller in callers]
    fault_runs = [run_fault_twice(fleet, name, rng) for name in faults]
    await asyncio.gather(*caller_runs, *fault_runs)
    if CERTAIN_OUTCOME_FAULTS.issuperset(faults):
        await asyncio.sleep(RECOVERY_S)
        for caller in callers:
            await caller.resend_unexecuted_operations()
    await fleet.close()


async def run_fault_twice(fleet: FakeFleet, name: str, rng: random.Random) -> None:
    """Run a fault twice, each time after a random delay."""
    for _ in range(2):
        await asyncio.sleep(rng.uniform(0, MAX_FAULT_START_DELAY_S))
        await FAULTS[name](fleet, rng)
