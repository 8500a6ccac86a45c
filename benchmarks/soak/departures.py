"""Backend servers that leave, with heartbeats that come late or from another writer."""

import asyncio
import random
from collections.abc import Sequence

from benchmarks.soak.callers import AttemptEnded
from benchmarks.soak.fleet import (
    STORE_HOST,
    DepartedServer,
    Disruption,
    Host,
    SoakFleet,
)
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.http_client import HttpClient
from wagtailstep.utils.clock import LoopClock

# The platform's bound on new work after an acknowledged departure.
DRAIN_S = 2.0
# Time without a disruption after which the platform holds a daemon to its bounds.
STABLE_S = 3.0
MAX_HEARTBEAT_DELAY_S = 5.0
# A backend server serves for this long after its departure.
SERVES_ON_S = 7.0
RESTART_SHARE = 0.7
KILL_ALL_SHARE = 0.15
ALONE_SHARE = 0.25
# Longer than the bound on new work and the time until daemons count as stable again.
PARTIAL_OUTAGE_S = 9.0
DOWN_S = 0.9
# The platform's bound on the time to an acknowledgement.
ACK_S = 4.0
LEAVE_INTERVAL_S = 1.0
OPTIONAL_FIELDS = ("zone", "version", "warmup-left", "sequence", "born")


async def leave_before_late_heartbeats(
    fleet: SoakFleet, host: Host, rng: random.Random
) -> None:
    """Let a server leave, restart its daemon, and let heartbeats arrive late."""
    if host.backend is None or host.daemon is None or host.is_leaving:
        return
    late = fleet.build_heartbeat(host, "ready")
    host.is_leaving = True
    left_at_s = await leave(fleet, host, rng.choice(("DELETE", "draining")))
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    await restart_some(fleet, host, rng)
    loop = asyncio.get_running_loop()
    delay_s = rng.uniform(0.5, MAX_HEARTBEAT_DELAY_S)
    await asyncio.sleep(max(0.0, left_at_s + delay_s - loop.time()))
    await call(fleet, host, "PUT", late)
    await call(fleet, host, "PUT", leave_out_fields(late, rng))
    await asyncio.sleep(max(0.0, left_at_s + SERVES_ON_S - loop.time()))
    await fleet.replace_backend(host, rng.uniform(0.2, 2.0))


async def leave_during_partial_outage(
    fleet: SoakFleet, host: Host, rng: random.Random
) -> None:
    """Let a server leave before a kill, and the store refuse its daemon after it.

    In most cases all daemons are killed, so that none reminds this one.
    """
    if host.backend is None or host.daemon is None or host.is_leaving:
        return
    late = [fleet.build_heartbeat(host, "ready") for _ in range(rng.randint(1, 3))]
    host.is_leaving = True
    left_at_s = await leave(fleet, host, rng.choice(("DELETE", "draining")))
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    fleet.start_outage(host, silent=rng.random() < 0.5)
    is_alone = rng.random() < ALONE_SHARE
    await kill([host] if is_alone else fleet.hosts, fleet)
    loop = asyncio.get_running_loop()
    for heartbeat in late:
        delay_s = rng.uniform(1.5, MAX_HEARTBEAT_DELAY_S)
        await asyncio.sleep(max(0.0, left_at_s + delay_s - loop.time()))
        await call(fleet, host, "PUT", heartbeat)
    await asyncio.sleep(max(0.0, left_at_s + PARTIAL_OUTAGE_S - loop.time()))
    fleet.end_outage(host)
    await fleet.replace_backend(host, rng.uniform(0.2, 2.0))


async def kill(hosts: Sequence[Host], fleet: SoakFleet) -> None:
    """Kill the daemons of some hosts at once and start them again."""
    killed = [host for host in hosts if host.daemon is not None]
    for host in killed:
        fleet.power_off(host)
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(fleet.restore_power(host) for host in killed))


async def leave(fleet: SoakFleet, host: Host, kind: str) -> float:
    """Let a server say that it leaves until that is acknowledged, or it gives up.

    :param kind: ``DELETE`` or ``draining``.
    :return: event loop time of the acknowledgement, or of the last call without one.
    """
    loop = asyncio.get_running_loop()
    leaving_since_s = loop.time()
    backend = host.backend
    while host.backend is backend:
        if kind == "DELETE":
            status = await call(fleet, host, "DELETE", {})
        else:
            heartbeat = fleet.build_heartbeat(host, "draining")
            status = await call(fleet, host, "PUT", heartbeat)
        if status == 200:
            fleet.departures.append(DepartedServer(loop.time(), backend))
            return loop.time()
        if loop.time() - leaving_since_s > ACK_S:
            if not fleet.has_outage(host):
                fleet.ignored_leaves.append(Disruption(leaving_since_s, host.name))
            return loop.time()
        await asyncio.sleep(LEAVE_INTERVAL_S)
    # Its successor has started.
    return loop.time()


async def restart_some(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Restart the daemon of a host, or kill all daemons at once, or do neither."""
    draw = rng.random()
    if draw < RESTART_SHARE:
        await fleet.restart_daemon(host)
    elif draw < RESTART_SHARE + KILL_ALL_SHARE:
        await kill(fleet.hosts, fleet)


async def send_odd_heartbeats(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Let another writer send heartbeats for a server, without some of the fields."""
    for _ in range(rng.randint(1, 4)):
        heartbeat = fleet.build_heartbeat(host, rng.choice(("ready", "draining")))
        await call(fleet, host, "PUT", leave_out_fields(heartbeat, rng))
        await asyncio.sleep(rng.uniform(0.1, 1.5))


def leave_out_fields(
    heartbeat: dict[str, object], rng: random.Random
) -> dict[str, object]:
    """Return a heartbeat without some of the fields that name no server."""
    missing = rng.sample(OPTIONAL_FIELDS, rng.randint(1, len(OPTIONAL_FIELDS)))
    return {name: value for name, value in heartbeat.items() if name not in missing}


async def call(
    fleet: SoakFleet, host: Host, method: str, content: dict[str, object]
) -> int:
    """Call the daemon of a host over a new connection and return the status."""
    client = HttpClient(RequestSettings(), LoopClock())
    try:
        return await fleet.call_daemon(client, host, method, content)
    finally:
        client.close()


def find_late_work(fleet: SoakFleet, outcomes: Sequence[AttemptEnded]) -> list[str]:
    """Return new work that reached a server too late after its departure.

    Work counts if it was sent on by a daemon that had run undisturbed for a while.

    :param outcomes: outcomes of all requests.
    """
    sent = {outcome.key: outcome for outcome in outcomes}
    violations = []
    for departed in fleet.departures:
        for arrival in departed.backend.arrivals:
            outcome = sent.get(arrival.key)
            after_s = arrival.at_s - departed.at_s
            if outcome is None or after_s <= DRAIN_S:
                continue
            if not was_disturbed(fleet, outcome.host, arrival.at_s):
                violations.append(
                    f"{arrival.key} reached {departed.backend.address} {after_s:.1f} s "
                    f"after its departure, sent on by {outcome.host}"
                )
    return violations


def find_ignored_leaves(fleet: SoakFleet) -> list[str]:
    """Return leaves without an acknowledgement beside a sound daemon and store."""
    return [
        f"the server beside {leave.host} that left at {leave.at_s:.1f} s had no "
        f"acknowledgement after {ACK_S} s"
        for leave in fleet.ignored_leaves
        if not any(
            disruption.host in (leave.host, STORE_HOST)
            and -ACK_S <= leave.at_s - disruption.at_s < STABLE_S
            for disruption in fleet.disruptions
        )
    ]


def was_disturbed(fleet: SoakFleet, host: str, at_s: float) -> bool:
    """Return whether a daemon was started or cut off shortly before a time."""
    return any(
        disruption.host == host and 0 <= at_s - disruption.at_s < STABLE_S
        for disruption in fleet.disruptions
    )
