"""Checks on requests that crash the backend servers which run them."""

from collections.abc import Sequence

from benchmarks.soak.callers import AttemptEnded
from benchmarks.soak.fleet import CRASHING_PREFIX, SoakFleet

# Crashes after which the request has to be recognized.
CRASHES_TO_RECOGNIZE = 3
# Time after that from which on it may reach only this many more servers.
RECOGNIZED_AFTER_S = 3.0
MAX_FURTHER_ARRIVALS = 3
BLOCKED_REASON = "crashes-servers"


def find_suspect_violations(
    fleet: SoakFleet, outcomes: Sequence[AttemptEnded]
) -> list[str]:
    """Return crashing requests that still reached servers, and others blocked.

    :param fleet: the fleet.
    :param outcomes: outcomes of all requests.
    """
    found = [
        f"{outcome.key} crashed no server but was refused for that"
        for outcome in outcomes
        if outcome.reason == BLOCKED_REASON
        and not outcome.key.startswith(CRASHING_PREFIX)
    ]
    names = {crash.key.partition("-")[0] for crash in fleet.crashes}
    for name in sorted(names):
        found += find_further_arrivals(fleet, outcomes, name)
    return found


def find_further_arrivals(
    fleet: SoakFleet, outcomes: Sequence[AttemptEnded], name: str
) -> list[str]:
    """Return a violation if a request reached too many servers after it was known."""
    crashes = sorted(c.at_s for c in fleet.crashes if c.key.partition("-")[0] == name)
    if len(crashes) < CRASHES_TO_RECOGNIZE:
        return []
    known_s = crashes[CRASHES_TO_RECOGNIZE - 1] + RECOGNIZED_AFTER_S
    hosts = {outcome.key: outcome.host for outcome in outcomes}
    further = [
        arrival
        for backend in fleet.backends
        for arrival in backend.arrivals
        if arrival.key.partition("-")[0] == name
        and arrival.at_s > known_s
        and not was_disrupted(fleet, hosts.get(arrival.key, ""), arrival.at_s)
    ]
    if len(further) <= MAX_FURTHER_ARRIVALS:
        return []
    return [
        f"{name} reached {len(further)} further servers after it had crashed "
        f"{CRASHES_TO_RECOGNIZE}; {len(crashes)} crashed in all"
    ]


def was_disrupted(fleet: SoakFleet, host: str, at_s: float) -> bool:
    """Return whether a host was restarted or partitioned shortly before."""
    return any(
        each.host == host and 0 <= at_s - each.at_s <= RECOGNIZED_AFTER_S
        for each in fleet.disruptions
    )
