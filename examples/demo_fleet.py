"""Plan the fleets of the demo on loopback, one for each user of the program.

Writes the settings file of each daemon, the process lists that ``demo.sh`` reads and
the plan that ``demo_run.py`` reads. Starts no process.
"""

import json
import pathlib
import sys

import attrs

from wagtailstep.fakes.backend_server import BackendServerSettings
from wagtailstep.fakes.ports import PortPicker
from wagtailstep.models.settings import (
    DaemonSettings,
    LogSettings,
    MembershipSettings,
)

MEMBERSHIP_SEED_COUNT = 3


@attrs.frozen
class User:
    """An organisation that runs a fleet in the demo.

    :param name: name of the organisation.
    :param zones: its availability zones.
    :param services: number of backend servers by service name.
    """

    name: str
    zones: tuple[str, ...]
    services: dict[str, int]


USERS = (
    User("addis", ("bole", "piassa", "kirkos"), {"contracts": 20, "archive": 6}),
    User(
        "hokkaido",
        ("sapporo-a", "sapporo-b", "obihiro"),
        {"staffroom": 20, "eventday": 6},
    ),
)


@attrs.frozen
class Instance:
    """An instance: one backend server and the daemon beside it.

    :param service: service of the backend server.
    :param backend_address: ``host:port`` of the backend server.
    :param settings: settings of the daemon.
    """

    service: str
    backend_address: str
    settings: DaemonSettings


@attrs.frozen
class Fleet:
    """All processes of one user's fleet.

    :param user: owner of the fleet.
    :param log_address: ``host:port`` of its simulated log service.
    :param instances: its instances.
    """

    user: User
    log_address: str
    instances: tuple[Instance, ...]


def plan_fleet(user: User, ports: PortPicker, seed: int) -> Fleet:
    """Assign free addresses to all processes of a user's fleet."""
    log_address = ports.pick()
    count = sum(user.services.values())
    peers = [ports.pick() for _ in range(count)]
    instances = []
    for service, size in user.services.items():
        for number in range(1, size + 1):
            index = len(instances)
            settings = DaemonSettings(
                daemon_id=f"{service}-{number}",
                availability_zone=user.zones[index % len(user.zones)],
                caller_address=ports.pick(),
                gate_address=ports.pick(),
                peer_address=peers[index],
                announce_address=ports.pick(),
                seed=seed * 1_000 + index,
                membership=MembershipSettings(
                    seeds=tuple(peers[:MEMBERSHIP_SEED_COUNT])
                ),
                log=LogSettings(address=log_address),
            )
            instances.append(Instance(service, ports.pick(), settings))
    return Fleet(user, log_address, tuple(instances))


def plan_fleets(seed: int) -> list[Fleet]:
    """Plan the fleets of all users, all on different free ports."""
    ports = PortPicker()
    fleets = [plan_fleet(user, ports, seed) for user in USERS]
    ports.release()
    return fleets


def build_backend_settings(instance: Instance, index: int) -> BackendServerSettings:
    """Build the settings of the simulated backend server of an instance."""
    return BackendServerSettings(
        service=instance.service,
        address=instance.backend_address,
        announce_address=instance.settings.announce_address,
        seed=index,
    )


def write_plan(fleets: list[Fleet], folder: pathlib.Path) -> None:
    """Write the settings files, the process lists and the plan as JSON."""
    folder.mkdir(parents=True, exist_ok=True)
    for fleet in fleets:
        for instance in fleet.instances:
            path = folder / f"{instance.settings.daemon_id}.json"
            path.write_text(json.dumps(attrs.asdict(instance.settings), indent=1))
    logs = [fleet.log_address for fleet in fleets]
    (folder / "logs").write_text("\n".join(logs) + "\n")
    daemons = [p.settings.daemon_id for f in fleets for p in f.instances]
    (folder / "daemons").write_text("\n".join(daemons) + "\n")
    for fleet in fleets:
        servers = [
            attrs.asdict(build_backend_settings(instance, index))
            for index, instance in enumerate(fleet.instances)
        ]
        path = folder / f"{fleet.user.name}.backends.json"
        path.write_text(json.dumps(servers, indent=1))
    plan = [attrs.asdict(fleet) for fleet in fleets]
    (folder / "plan.json").write_text(json.dumps(plan))


if __name__ == "__main__":
    write_plan(plan_fleets(int(sys.argv[1])), pathlib.Path(sys.argv[2]))
