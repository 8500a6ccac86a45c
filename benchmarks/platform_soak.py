"""Soak test: inject faults into a fleet on the platform and check its guarantees.

``python -m benchmarks.platform_soak --seed=1 --runs=20`` simulates runs of 60 s in
virtual time: real daemons with the platform adapter, a fake store and fake backend
servers. Each run injects two types of faults repeatedly and concurrently, then ends
all faults. Guarantees: no unsafe request runs twice; a request that was refused as not
run never ran; every response is complete and belongs to the caller's request; planned
operations alone interrupt no request; no daemon's table goes back to an older version,
and each version is in force in time at daemons that reach the store; after the faults,
requests are served again, and each daemon is registered and has the newest table.
"""

import asyncio
import collections
import logging
import random
import sys
from collections.abc import Awaitable, Callable

import attrs
import detangle
import fire

from benchmarks.soak.callers import (
    UNSAFE_SHARE,
    AttemptEnded,
    CallerGroup,
    start_callers,
)
from benchmarks.soak.departures import (
    find_ignored_leaves,
    find_late_work,
    leave_before_late_heartbeats,
    send_odd_heartbeats,
)
from benchmarks.soak.fleet import (
    CRASHING_PREFIX,
    PAUSE_AFTER_CRASH_S,
    STORE_HOST,
    Host,
    SoakFleet,
)
from benchmarks.soak.floor import FloorWatch
from benchmarks.soak.server_notices import NoticeCheck
from benchmarks.soak.suspects import find_suspect_violations
from benchmarks.soak.table_delays import TableDelayWatch
from benchmarks.soak.tables import TableWatch
from wagtailstep.fakes.faults import Faults

WARMUP_S = 6.0
# The platform requires a fleet to have recovered within this time after faults.
RECOVERY_S = 15.0
FINAL_PHASE_S = 5.0
MIN_FINAL_SERVED_RATIO = 0.95
# A request that fails because it crossed the close of its connection fails within this
# time; a request that fails later was lost for another reason.
MAX_CROSSED_CLOSE_S = 0.2
SPONTANEOUS_SHARE = 0.3
DISTURBED_SHARE = 0.7
RATE_LIMITS = ("1", "1", "0.5", "2.5", "8", "0", "-1", "nan", "1e309", "few")
REFUSAL_STATUSES = (408, 421, 429, 503)
MAX_STEPS = 6_000_000


@attrs.frozen
class SoakSize:
    """Size of the fleet and of one run.

    :param host_count: number of hosts.
    :param rate_per_s: mean number of requests a second.
    :param fault_phase_s: seconds during which faults are injected.
    :param unsafe_share: fraction of the requests that must not run twice.
    """

    host_count: int = 6
    rate_per_s: float = 40.0
    fault_phase_s: float = 34.0
    unsafe_share: float = UNSAFE_SHARE


@attrs.define
class SoakResult:
    """Result of one run.

    :param seed: seed of the run.
    :param fault_names: names of the injected faults.
    :param outcomes: outcomes of all requests.
    :param violations: violated guarantees.
    """

    seed: int
    fault_names: tuple[str, ...]
    outcomes: list[AttemptEnded] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)


async def lose_power(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Power off a host for a while."""
    fleet.power_off(host)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    await fleet.restore_power(host)


async def restart(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Shut a daemon down gracefully and start it, as planned operations do."""
    await fleet.restart_daemon(host)


async def partition_host(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Partition a host from the other hosts for a while."""
    fleet.partition(host)
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    fleet.heal()


async def change_table(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Publish a new version of the configuration."""
    fleet.publish()


async def disrupt_store(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Make the store return errors, hang, lose or delay responses for a while."""
    faults = fleet.store.faults
    values = {"status": 503, "silent": True, "lost_answers": 5, "late_appends": 5}
    fault = rng.choice(list(values))
    fleet.record_disruption(STORE_HOST)
    setattr(faults, fault, values[fault])
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    faults.status = faults.lost_answers = faults.late_appends = 0
    faults.silent = False
    fleet.record_disruption(STORE_HOST)


async def name_limits(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Let a backend server name limits that fall, rise and end, and nonsense."""
    for _ in range(rng.randint(1, 3)):
        fleet.set_faults(host, Faults(rate_limit=rng.choice(RATE_LIMITS)))
        await asyncio.sleep(rng.uniform(2.0, 7.0))
    fleet.set_faults(host, Faults())


async def announce_leaving(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Let a backend server say in its answers only that it leaves, and end later."""
    fleet.set_faults(host, Faults(says_leaving=True))
    await asyncio.sleep(rng.uniform(2.5, 8.0))
    await fleet.replace_backend(host, rng.uniform(0.2, 2.0))


async def send_crashing_requests(
    fleet: SoakFleet, host: Host, rng: random.Random
) -> None:
    """Send a request that crashes its servers repeatedly, to any daemon."""
    name = f"{CRASHING_PREFIX}{rng.getrandbits(32):08x}"
    for number in range(rng.randint(12, 24)):
        entry = rng.choice(fleet.hosts).name
        key = f"{name}-{number}"
        detangle.spawn(
            fleet.callers.send_request(key, entry, False, name), host="callers"
        )
        await asyncio.sleep(rng.uniform(0.3, 1.2))


async def crash_server(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Crash a backend server, or several simultaneously, whatever they run."""
    others = rng.sample(fleet.hosts, rng.choice((0, 0, 0, 2)))
    await asyncio.gather(
        *(
            fleet.replace_backend(each, rng.uniform(*PAUSE_AFTER_CRASH_S))
            for each in {host.name: host, **{h.name: h for h in others}}.values()
        )
    )


async def restore_store(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Restore the store from a copy that is some seconds old.

    The operator then writes the lost configuration again, behind other records, and a
    new one.
    """
    fleet.store.back_up()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    fleet.record_disruption(STORE_HOST)
    fleet.store.faults.status = 503
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    fleet.store.restore()
    fleet.store.faults.status = 0
    fleet.record_disruption(STORE_HOST)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    for _ in range(rng.randrange(3)):
        fleet.store.put("keyed.op", "other", b"x")
    fleet.publish_again()
    fleet.publish()


async def fail_spontaneously(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Let some backend servers fail most requests for a while, without a disruption."""
    chosen = [
        each
        for each in fleet.hosts
        if each.backend is not None
        and each.backend.faults == Faults()
        and rng.random() < SPONTANEOUS_SHARE
    ]
    fleet.failing_by_themselves.update(each.name for each in chosen)
    for each in chosen:
        fleet.set_faults(each, Faults(fail_share=0.85))
    await asyncio.sleep(rng.uniform(2.0, 7.0))
    for each in chosen:
        fleet.set_faults(each, Faults())
    fleet.failing_by_themselves.difference_update(each.name for each in chosen)


async def disturb_most(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Let most backend servers fail some of their requests for a while."""
    count = round(DISTURBED_SHARE * len(fleet.hosts))
    chosen = [
        each
        for each in rng.sample(fleet.hosts, count)
        if each.backend is not None and each.backend.faults == Faults()
    ]
    for each in chosen:
        fleet.set_faults(each, Faults(fail_share=0.4))
    await asyncio.sleep(rng.uniform(4.0, 8.0))
    for each in chosen:
        fleet.set_faults(each, Faults())


def create_gray_failure(**faults: float) -> Callable[..., Awaitable[None]]:
    """Create a fault that gives a backend server some faults for a while."""

    async def run_gray_failure(
        fleet: SoakFleet, host: Host, rng: random.Random
    ) -> None:
        fleet.set_faults(host, Faults(**faults))
        await asyncio.sleep(rng.uniform(2.0, 6.0))
        fleet.set_faults(host, Faults())

    return run_gray_failure


FAULTS: dict[str, Callable[..., Awaitable[None]]] = {
    "power": lose_power,
    "restart": restart,
    "cut": partition_host,
    "table": change_table,
    "store": disrupt_store,
    "older-store": restore_store,
    "spontaneous": fail_spontaneously,
    "most": disturb_most,
    "fail": create_gray_failure(fail_share=0.6),
    "hang": create_gray_failure(hang_share=0.5),
    "lose": create_gray_failure(lose_share=0.4),
    "truncate": create_gray_failure(truncate_share=0.4),
    "limit": name_limits,
    "leaving": announce_leaving,
    "departure": leave_before_late_heartbeats,
    "odd-heartbeats": send_odd_heartbeats,
    "crashing-request": send_crashing_requests,
    "crash": crash_server,
    "slow": create_gray_failure(slow_factor=6.0),
}


PLANNED_OPERATIONS = frozenset({"restart", "table"})


async def inject_faults(
    inject: Callable[[SoakFleet, Host, random.Random], Awaitable[None]],
    fleet: SoakFleet,
    rng: random.Random,
    ends_at: float,
) -> None:
    """Inject a fault at random hosts and times until an end time.

    Does nothing while at most half of the hosts have a daemon.
    """
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        running = [host for host in fleet.hosts if host.daemon is not None]
        if len(running) > len(fleet.hosts) // 2:
            await inject(fleet, rng.choice(running), rng)


def run_soak(
    seed: int, fault_names: tuple[str, ...] = (), size: SoakSize | None = None
) -> SoakResult:
    """Simulate one run and check it.

    :param fault_names: names of the faults; if empty, two are chosen by the seed.
    :param size: size of the fleet and of the run; ``None`` for the default.
    """
    size = size or SoakSize()
    rng = random.Random(seed)
    fault_names = fault_names or tuple(sorted(rng.sample(sorted(FAULTS), 2)))
    result = SoakResult(seed, fault_names)

    async def main() -> None:
        fleet = SoakFleet(size.host_count, random.Random(rng.random()))
        await fleet.start()
        await asyncio.sleep(WARMUP_S)
        tables = TableWatch(fleet)
        delays = TableDelayWatch(fleet)
        floor = FloorWatch(fleet)
        watches = [
            asyncio.ensure_future(each.run()) for each in (tables, delays, floor)
        ]
        callers = CallerGroup(
            fleet, size.rate_per_s, random.Random(rng.random()), size.unsafe_share
        )
        fleet.callers = callers
        calls = start_callers(callers)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + size.fault_phase_s
        await asyncio.gather(
            *(
                inject_faults(FAULTS[name], fleet, random.Random(rng.random()), ends_at)
                for name in fault_names
            )
        )
        final_phase_start = loop.time() + RECOVERY_S
        callers.stop_at = final_phase_start + FINAL_PHASE_S
        await calls
        # Requests that were refused as not run must not run later either.
        await asyncio.sleep(RECOVERY_S)
        result.outcomes = callers.outcomes
        runs = fleet.count_runs()
        result.violations = find_violations(callers.outcomes, runs, final_phase_start)
        result.violations += tables.find_violations()
        result.violations += find_suspect_violations(fleet, callers.outcomes)
        result.violations += find_late_work(fleet, callers.outcomes)
        result.violations += find_ignored_leaves(fleet)
        result.violations += NoticeCheck(fleet, callers.outcomes).find_violations()
        result.violations += delays.find_violations()
        result.violations += floor.find_violations(callers.outcomes)
        for watch in watches:
            watch.cancel()
        if PLANNED_OPERATIONS.issuperset(fault_names):
            result.violations += find_interrupted_requests(callers.outcomes, runs)

    detangle.run(main, seed=seed, max_steps=MAX_STEPS, max_time=600.0)
    return result


def find_violations(
    outcomes: list[AttemptEnded],
    runs: "collections.Counter[str]",
    final_phase_start: float,
) -> list[str]:
    """Return the violated guarantees.

    :param runs: how often each request started to run.
    :param final_phase_start: time from which on requests must be served again.
    """
    violations = []
    for outcome in outcomes:
        if outcome.unsafe and runs[outcome.key] > 1:
            violations.append(f"{outcome.key} ran {runs[outcome.key]} times")
        if outcome.unsafe and outcome.status in REFUSAL_STATUSES and runs[outcome.key]:
            violations.append(
                f"{outcome.key} ran and was refused with {outcome.status}"
            )
        if outcome.status == 200 and not outcome.is_expected_answer:
            violations.append(f"{outcome.key} got the response to another request")
    final_outcomes = [
        outcome
        for outcome in outcomes
        if outcome.at_s >= final_phase_start
        and not outcome.key.startswith(CRASHING_PREFIX)
    ]
    served = sum(outcome.status == 200 for outcome in final_outcomes)
    if served < MIN_FINAL_SERVED_RATIO * len(final_outcomes):
        violations.append(f"only {served} of {len(final_outcomes)} served at the end")
    return violations


def find_interrupted_requests(
    outcomes: list[AttemptEnded], runs: "collections.Counter[str]"
) -> list[str]:
    """Return the requests that were interrupted by planned operations.

    A request that crosses the close of an idle keep-alive connection, so that it never
    ran and its caller sees the close at once, is not counted: in HTTP/1.1 neither end
    can prevent that.
    """
    return [
        f"planned work cut {outcome.key}"
        for outcome in outcomes
        if outcome.interrupted
        and (runs[outcome.key] or outcome.took_s > MAX_CROSSED_CLOSE_S)
    ]


def print_result(
    label: str, outcomes: list[AttemptEnded], violations: list[str]
) -> None:
    """Print how often each status occurred in a run, and the violations."""
    statuses = collections.Counter(outcome.status for outcome in outcomes)
    counted = " ".join(f"{status}={n}" for status, n in sorted(statuses.items()))
    print(f"{label} {counted}")
    for violation in violations:
        print(f"  broken: {violation}")
    sys.stdout.flush()


def main(
    seed: int = 1,
    runs: int = 20,
    faults: str = "",
    hosts: int = 6,
    rate: float = 40.0,
    fault_phase: float = 34.0,
    unsafe_share: float = UNSAFE_SHARE,
) -> None:
    """Simulate runs and print their violations.

    Run number i has the seed ``seed * 1_000_000 + i``.

    :param seed: determines the seeds of the runs.
    :param runs: number of runs.
    :param faults: names of the faults, separated by ``+``; empty for two by the seed.
    :param hosts: number of hosts.
    :param rate: requests a second.
    :param fault_phase: seconds during which faults are injected.
    :param unsafe_share: fraction of the requests that must not run twice.
    """
    size = SoakSize(hosts, rate, fault_phase, unsafe_share)
    logging.disable(logging.CRITICAL)
    violations = 0
    for index in range(runs):
        names = tuple(faults.split("+")) if faults else ()
        result = run_soak(seed * 1_000_000 + index, names, size)
        label = f"seed={result.seed} troubles={'+'.join(result.fault_names)}"
        print_result(label, result.outcomes, result.violations)
        violations += len(result.violations)
    print(f"runs={runs} violations={violations}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
