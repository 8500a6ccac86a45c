"""Checks of the tables and member records that the soak test's daemons hold."""

import asyncio

from benchmarks.soak.fleet import SoakDaemon, SoakFleet
from wagtailstep.models.keyed_store import Collection
from wagtailstep.platform.store import TOPICS, parse_keyed_record

SAMPLE_INTERVAL_S = 0.2


class TableWatch:
    """Samples the version in force at each daemon.

    :param fleet: the fleet.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.versions: dict[SoakDaemon, int] = {}
        self.violations: list[str] = []

    async def run(self) -> None:
        """Sample until cancelled; a version must never fall while a daemon runs."""
        while True:
            for host in self.fleet.hosts:
                if host.daemon is not None:
                    self.record(host.name, host.daemon)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def record(self, name: str, daemon: SoakDaemon) -> None:
        """Compare the version in force with the last one of the same process."""
        version = daemon.blackboard.table.version
        known = self.versions.get(daemon, version)
        if version < known:
            self.violations.append(f"table of {name} went from {known} to {version}")
        self.versions[daemon] = max(version, known)

    def find_violations(self) -> list[str]:
        """Return what was found, with what is wrong after all faults have ended."""
        found = list(self.violations)
        registered = list_registered(self.fleet)
        for host in self.fleet.hosts:
            if host.daemon is None:
                continue
            version = host.daemon.blackboard.table.version
            if version != self.fleet.version:
                found.append(
                    f"{host.name} has table {version} in force, not "
                    f"{self.fleet.version}"
                )
            if host.name not in registered:
                found.append(f"{host.name} is not registered")
        return found


def list_registered(fleet: SoakFleet) -> set[str]:
    """Return the names of the daemons in the store's registry."""
    newest = {}
    for _, record in fleet.store.get_topic(TOPICS[Collection.MEMBERS]).records:
        key, value = parse_keyed_record(record)
        newest[key] = value
    return {key for key, value in newest.items() if value}
