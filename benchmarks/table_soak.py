"""Soak test of the published table: daemons get each version in time.

``python -m benchmarks.table_soak --seed=1 --runs=5`` simulates runs of 35 s in virtual
time: real daemons with the platform adapter and a fake store, without callers. An
operator publishes versions in quick succession while a fault cuts daemons off from
each other or from the store, or takes their power. Guarantee: a daemon that runs and
reaches the store has each version in force within the limit.
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

from benchmarks.soak.fleet import Host, SoakFleet
from benchmarks.soak.table_delays import TableDelayWatch
from wagtailstep.models.membership import member_reference

WARMUP_S = 8.0
FAULT_S = 8.0
PAUSE_S = 5.0
REPEATS = 2
POWER_LOSS_S = 2.5
PUBLISH_DELAY_S = 0.1
VERSION_INTERVAL_S = (0.7, 2.0)
MAX_STEPS = 20_000_000

TableFault = Callable[[SoakFleet, random.Random], Awaitable[None]]


@attrs.define
class TableSoakResult:
    """Result of one run.

    :param judged: number of pairs of a daemon and a version that it had to have.
    :param violations: versions that were in force too late.
    """

    judged: int = 0
    violations: list[str] = attrs.field(factory=list)


def select_readers(fleet: SoakFleet) -> list[Host]:
    """Return the two hosts of each zone whose daemons read the table for the others."""
    zones: dict[str, list[Host]] = collections.defaultdict(list)
    for host in sorted(fleet.hosts, key=lambda each: member_reference(each.name)):
        zones[host.zone].append(host)
    return [host for hosts in zones.values() for host in hosts[:2]]


async def run_calm(fleet: SoakFleet, rng: random.Random) -> None:
    """Inject nothing."""
    await asyncio.sleep(FAULT_S)


async def cut_hosts_off(fleet: SoakFleet, rng: random.Random) -> None:
    """Partition two hosts from all others, but not from the store."""
    for host in rng.sample(fleet.hosts, 2):
        fleet.partition(host)
    await asyncio.sleep(FAULT_S)
    fleet.heal()


async def cut_in_halves(fleet: SoakFleet, rng: random.Random) -> None:
    """Partition half of the hosts from the other half, but not from the store."""
    hosts = rng.sample(fleet.hosts, len(fleet.hosts))
    middle = len(hosts) // 2
    for host in hosts[:middle]:
        for other in hosts[middle:]:
            fleet.disconnect(host, other)
    await asyncio.sleep(FAULT_S)
    fleet.heal()


async def cut_readers_off(fleet: SoakFleet, rng: random.Random) -> None:
    """Partition the readers of all zones from all hosts, but not from the store."""
    for host in select_readers(fleet):
        fleet.partition(host)
    await asyncio.sleep(FAULT_S)
    fleet.heal()


async def cut_readers_from_store(fleet: SoakFleet, rng: random.Random) -> None:
    """Cut the readers of all zones off from the store."""
    for host in select_readers(fleet):
        fleet.cut_from_store(host)
    await asyncio.sleep(FAULT_S)
    fleet.heal()


async def lose_power(fleet: SoakFleet, hosts: list[Host]) -> None:
    """Power hosts off at the same time, publish a version, and power them on again."""
    for host in hosts:
        fleet.power_off(host)
    # Members that are gone are announced to until they are known to be.
    await asyncio.sleep(PUBLISH_DELAY_S)
    fleet.publish()
    await asyncio.sleep(POWER_LOSS_S)
    for host in hosts:
        await fleet.restore_power(host)
    await asyncio.sleep(FAULT_S - POWER_LOSS_S)


async def lose_power_of_readers(fleet: SoakFleet, rng: random.Random) -> None:
    """Power the readers of all zones off."""
    await lose_power(fleet, select_readers(fleet))


async def lose_power_of_most(fleet: SoakFleet, rng: random.Random) -> None:
    """Power more than half of the hosts off."""
    await lose_power(fleet, rng.sample(fleet.hosts, len(fleet.hosts) * 11 // 20))


async def cut_half_from_store(fleet: SoakFleet, rng: random.Random) -> None:
    """Cut half of the hosts off from the store."""
    for host in rng.sample(fleet.hosts, len(fleet.hosts) // 2):
        fleet.cut_from_store(host)
    await asyncio.sleep(FAULT_S)
    fleet.heal()


async def silence_store(fleet: SoakFleet, rng: random.Random) -> None:
    """Let the store lose all calls for a moment, which ends no connection."""
    fleet.store.faults.silent = True
    await asyncio.sleep(rng.uniform(0.2, FAULT_S / 2))
    fleet.store.faults.silent = False
    await asyncio.sleep(FAULT_S / 2)


async def refuse_calls(fleet: SoakFleet, rng: random.Random) -> None:
    """Let the store refuse all calls."""
    fleet.store.faults.status = 503
    await asyncio.sleep(rng.uniform(0.2, FAULT_S / 2))
    fleet.store.faults.status = 0
    await asyncio.sleep(FAULT_S / 2)


TABLE_FAULTS: dict[str, TableFault] = {
    "calm": run_calm,
    "hosts-cut-off": cut_hosts_off,
    "halves": cut_in_halves,
    "readers-cut-off": cut_readers_off,
    "readers-without-store": cut_readers_from_store,
    "readers-without-power": lose_power_of_readers,
    "most-without-power": lose_power_of_most,
    "half-without-store": cut_half_from_store,
    "store-silent": silence_store,
    "store-refuses": refuse_calls,
}


async def publish_versions(fleet: SoakFleet, rng: random.Random) -> None:
    """Publish versions until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(*VERSION_INTERVAL_S))
        fleet.publish()


def run_table_soak(seed: int, fault_name: str, hosts: int) -> TableSoakResult:
    """Simulate one run and check it."""
    rng = random.Random(seed)
    result = TableSoakResult()

    async def main() -> None:
        fleet = SoakFleet(hosts, random.Random(rng.random()))
        await fleet.start()
        watch = TableDelayWatch(fleet)
        watching = asyncio.ensure_future(watch.run())
        await asyncio.sleep(WARMUP_S)
        publishing = asyncio.ensure_future(
            publish_versions(fleet, random.Random(rng.random()))
        )
        for _ in range(REPEATS):
            await TABLE_FAULTS[fault_name](fleet, rng)
            await asyncio.sleep(PAUSE_S)
        publishing.cancel()
        watching.cancel()
        result.judged = len(watch.judged)
        result.violations = watch.find_violations()

    detangle.run(main, seed=seed, max_steps=MAX_STEPS, max_time=600.0)
    return result


def main(seed: int = 1, runs: int = 5, fault: str = "", hosts: int = 15) -> None:
    """Simulate runs of each fault and print their violations.

    Run number i has the seed ``seed * 1_000_000 + i``.

    :param seed: determines the seeds of the runs.
    :param runs: number of runs of each fault.
    :param fault: name of the only fault; empty for all.
    :param hosts: number of hosts.
    """
    logging.disable(logging.CRITICAL)
    violations = 0
    for name in [fault] if fault else TABLE_FAULTS:
        for index in range(runs):
            run_seed = seed * 1_000_000 + index
            result = run_table_soak(run_seed, name, hosts)
            late = len(result.violations)
            print(f"seed={run_seed} fault={name} late={late} of {result.judged}")
            for violation in result.violations[:3]:
                print(f"  broken: {violation}", flush=True)
            violations += late
    print(f"violations={violations}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
