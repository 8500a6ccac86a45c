"""Checks that daemons put each published version in force in time."""

import asyncio

import attrs

from benchmarks.soak.fleet import Host, SoakDaemon, SoakFleet
from wagtailstep.platform.stand_in import StoreFaults

SAMPLE_INTERVAL_S = 0.1
# What the platform allows from the publication of a version on.
APPLY_LIMIT_S = 2.0
# Time without disruption after which a daemon and the store are held to the limit.
STABLE_S = 3.0


@attrs.define
class Delay:
    """A version that a daemon put in force too late, or not at all.

    :param host: name of the daemon's host.
    :param version: the version.
    :param published_s: event loop time in seconds at which it was published.
    :param seen_s: event loop time in seconds at which it was last missing.
    """

    host: str
    version: int
    published_s: float
    seen_s: float

    def __str__(self) -> str:
        """Return the violation in words."""
        late_s = self.seen_s - self.published_s
        return (
            f"{self.host} did not have version {self.version} in force {late_s:.1f} s "
            f"after its publication at {self.published_s:.1f} s"
        )


class TableDelayWatch:
    """Samples the versions in force and compares them with those published.

    Only daemons are judged that have been running and had a path to an undisturbed
    store for a while. Whether they can reach each other does not matter.

    :param fleet: the fleet.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.disturbed_at: dict[str, float] = {}
        self.store_disturbed_at = -STABLE_S
        self.daemons: dict[str, SoakDaemon | None] = {}
        self.delays: dict[tuple[str, int], Delay] = {}
        self.judged: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample(asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self, now_s: float) -> None:
        """Judge each daemon that is held to the limit."""
        if self.fleet.store.faults != StoreFaults():
            self.store_disturbed_at = now_s
        for host in self.fleet.hosts:
            if self.is_disturbed(host):
                self.disturbed_at[host.name] = now_s
            calm_since = max(self.disturbed_at[host.name], self.store_disturbed_at)
            if now_s >= calm_since + STABLE_S and host.daemon is not None:
                self.judge(host.name, host.daemon, now_s)

    def is_disturbed(self, host: Host) -> bool:
        """Return whether a host is without power, a daemon or a path to the store."""
        daemon = host.daemon
        previous = self.daemons.get(host.name)
        self.daemons[host.name] = daemon
        if (
            daemon is None
            or daemon is not previous
            or host.name in self.fleet.storeless
        ):
            return True
        return daemon.blackboard.draining

    def judge(self, name: str, daemon: SoakDaemon, now_s: float) -> None:
        """Record a delay if a version that is due is not in force."""
        due = [
            publication
            for publication in self.fleet.publications
            if publication.at_s <= now_s - APPLY_LIMIT_S
        ]
        if not due:
            return
        newest = max(due, key=lambda publication: publication.version)
        key = (name, newest.version)
        self.judged.add(key)
        if daemon.blackboard.table.version >= newest.version:
            return
        delay = self.delays.setdefault(
            key, Delay(name, newest.version, newest.at_s, now_s)
        )
        delay.seen_s = now_s

    def find_violations(self) -> list[str]:
        """Return the delays."""
        return [str(delay) for delay in self.delays.values()]
