"""Real platform daemons on simulated hosts, each beside a fake backend server."""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

import attrs
import detangle
import msgspec

from wagtailstep.exceptions import RequestError
from wagtailstep.fakes.backend_server import BackendServer, BackendServerSettings
from wagtailstep.fakes.faults import Faults
from wagtailstep.models.settings import (
    DaemonSettings,
    MembershipSettings,
    RequestSettings,
)
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.memory_channel import InMemoryPeerChannel, MemoryNetwork
from wagtailstep.network.problems import yield_body
from wagtailstep.platform.daemon import PlatformDaemon
from wagtailstep.platform.settings import PlatformSettings, StoreSettings
from wagtailstep.platform.stand_in import StandInStore
from wagtailstep.utils.clock import Clock, LoopClock, get_unix_ms

STORE_HOST = "store"
# Each host calls the store at a port of its own, from this one on.
STORE_PORT = 8_000
SERVICE = "contracts"
ROUTE_HOST = "book.example"
ZONES = ("bole", "piassa", "kirkos")
HEARTBEAT_INTERVAL_S = 1.5
HEARTBEAT_TIMEOUT = timedelta(seconds=1)
SHUTDOWN_NOTICE_MS = 1_000
SHUTDOWN_MS = 4_000
MAX_STARTS_PER_HOST = 1_000
# Requests whose names begin with this crash each server that runs them.
CRASHING_PREFIX = "crashing"
PAUSE_AFTER_CRASH_S = (1.0, 4.0)


def build_configuration(version: int, limits: dict[str, Any] | None = None) -> bytes:
    """Build a configuration record as an operator writes it to the store.

    :param limits: limits on what callers send; ``None`` for the defaults.
    """
    columns = "name host path-prefix kind timeout aim priority service max-attempts"
    rows = [
        ["lookup", ROUTE_HOST, "/lookup/", "safe", "4000ms", "800ms", 2, SERVICE, 3],
        ["sign", ROUTE_HOST, "/sign/", "unsafe", "5000ms", "800ms", 1, SERVICE, 1],
    ]
    return msgspec.json.encode(
        {
            "version": f"r{version}",
            "routes": {"columns": columns.split(), "rows": rows},
            "services": {"columns": ["name"], "rows": [[SERVICE]]},
            "limits": limits or {},
        }
    )


class SoakClock(LoopClock):
    """The event loop's clock, with a time of day that follows virtual time."""

    start = datetime(2026, 1, 1, tzinfo=UTC)

    def utc(self) -> datetime:
        """Return the time of day."""
        return self.start + self.monotonic()


class SoakDaemon(PlatformDaemon):
    """A platform daemon whose control channel is in memory.

    ZeroMQ sockets would run in real time, not in the simulation's virtual time.
    """

    def __init__(self, settings: PlatformSettings, network: MemoryNetwork) -> None:
        self.network = network
        super().__init__(settings, SoakClock())

    def create_channel(self) -> InMemoryPeerChannel:
        """Create a control channel on the in-memory network."""
        return InMemoryPeerChannel(
            self.network, self.settings.daemon_id, self.settings.peer_address
        )


@attrs.define
class Host:
    """A simulated host with a daemon and a backend server.

    :param number: unique number of the host.
    :param zone: its availability zone.
    :param daemon: the running daemon, or its process; ``None`` while there is none.
    :param backend: the running backend server; ``None`` while the power is off.
    :param starts: how often its daemon was started.
    :param born: start time of the backend server, as Unix time in milliseconds.
    :param sequence: number of its last heartbeat.
    :param is_leaving: whether it sends no heartbeats, since it has said that it leaves.
    """

    number: int
    zone: str
    daemon: Any = None
    backend: BackendServer | None = None
    starts: int = 0
    born: int = 0
    sequence: int = 0
    is_leaving: bool = False

    @property
    def name(self) -> str:
        """Return the name of the host, which is also its daemon's identifier."""
        return f"d{self.number}"


@attrs.frozen
class FaultChange:
    """Faults that a backend server has from some time on.

    :param at_s: event loop time in seconds.
    :param backend: the backend server.
    :param faults: its faults.
    """

    at_s: float
    backend: BackendServer
    faults: Faults


@attrs.frozen
class Disruption:
    """A moment from which on the daemon of a host may know less than before.

    :param at_s: event loop time in seconds.
    :param host: name of the host.
    """

    at_s: float
    host: str


@attrs.frozen
class Publication:
    """A version of the configuration that the store acknowledged to the operator.

    :param at_s: event loop time in seconds.
    :param version: the version.
    :param limits: limits on what callers send.
    """

    at_s: float
    version: int
    limits: dict[str, Any]


@attrs.frozen
class ServerCrash:
    """The crash of a backend server by a request.

    :param at_s: event loop time in seconds.
    :param key: name of the request.
    """

    at_s: float
    key: str


@attrs.frozen
class DepartedServer:
    """A backend server whose departure its daemon has acknowledged.

    :param at_s: event loop time in seconds.
    :param backend: the backend server.
    """

    at_s: float
    backend: BackendServer


class SoakFleet:
    """Hosts and a store, with operations that inject faults.

    :param size: number of hosts.
    :param rng: source of random losses of control messages.
    """

    store_host = STORE_HOST

    def __init__(self, size: int, rng: random.Random) -> None:
        self.network = MemoryNetwork(rng)
        self.clock: Clock = SoakClock()
        self.store = StandInStore()
        # The platform's bounds that daemons are told when they start.
        self.bounds: dict[str, str] = {}
        self.shutdown_notice_ms = SHUTDOWN_NOTICE_MS
        self.version = 1
        # The operator's limits on what callers send.
        self.limits: dict[str, Any] = {}
        # Requests within these limits that a daemon refused for good.
        self.wrong_refusals: list[str] = []
        self.hosts = [
            self.create_host(number, ZONES[number % len(ZONES)])
            for number in range(1, size + 1)
        ]
        self.backends: list[BackendServer] = []
        self.fault_changes: list[FaultChange] = []
        self.disruptions: list[Disruption] = []
        self.crashes: list[ServerCrash] = []
        self.publications: list[Publication] = []
        self.departures: list[DepartedServer] = []
        # Servers that said that they leave and got no acknowledgement, by host.
        self.ignored_leaves: list[Disruption] = []
        # Names of the hosts that are cut off from the store.
        self.storeless: set[str] = set()
        # Names of the hosts that are partitioned from all others.
        self.partitioned: set[str] = set()
        # Names of the hosts whose backend servers fail without a disruption.
        self.failing_by_themselves: set[str] = set()
        self.rng = rng
        # Sends the requests of faults; set once the callers exist.
        self.callers: Any = None

    def create_host(self, number: int, zone: str) -> Host:
        """Create a host whose processes don't run yet."""
        return Host(number, zone)

    async def start(self) -> None:
        """Start the store and all hosts."""
        self.publish()
        detangle.spawn(self.start_store(), host=STORE_HOST)
        await asyncio.sleep(0.1)
        for host in self.hosts:
            self.power_on(host)

    async def start_store(self) -> None:
        """Start the store with a port for each host."""
        for host in self.hosts:
            await self.store.start(self.get_store_address(host))

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.publish_again()

    def publish_again(self) -> None:
        """Write the current version of the configuration."""
        record = build_configuration(self.version, self.limits)
        self.store.put("keyed.op", "config", record)
        at_s = asyncio.get_running_loop().time()
        self.publications.append(Publication(at_s, self.version, self.limits))

    def power_on(self, host: Host) -> None:
        """Start the backend server and the daemon of a host."""
        self.spawn(self.run_backend(host), host)
        self.spawn(self.run_daemon(host), host)

    def spawn(self, work: Coroutine[Any, Any, None], host: Host) -> None:
        """Start a task on a host; it ends when the host loses power."""
        detangle.spawn(work, host=host.name)

    def power_off(self, host: Host) -> None:
        """Power off a host; its connections become unresponsive, they don't close."""
        self.network.receivers.pop(f"{host.name}:8005", None)
        detangle.network().crash(host.name)
        host.daemon = host.backend = None

    async def restore_power(self, host: Host) -> None:
        """Power on a host again and start its processes."""
        detangle.network().restart(host.name)
        self.power_on(host)

    async def run_daemon(self, host: Host) -> None:
        """Run a daemon until its host loses power."""
        self.record_disruption(host.name)
        host.starts += 1
        host.daemon = SoakDaemon(self.build_settings(host), self.network)
        await host.daemon.start()

    def build_settings(self, host: Host) -> PlatformSettings:
        """Build the settings of the next start of a host's daemon."""
        return build_settings(
            host,
            self.shutdown_notice_ms,
            self.bounds,
            self.get_store_address(host),
        )

    def get_store_address(self, host: Host) -> str:
        """Return the address at which a host calls the store."""
        return f"{self.store_host}:{STORE_PORT + host.number}"

    async def restart_daemon(self, host: Host) -> None:
        """Shut a daemon down gracefully, as SIGTERM does, and start a new one."""
        daemon = host.daemon
        if daemon is None or daemon.blackboard.draining:
            # A daemon that shuts down ignores a second signal.
            return

        async def shut_down_and_start() -> None:
            await daemon.shut_down()
            await self.run_daemon(host)

        restarting = detangle.spawn(shut_down_and_start(), host=host.name)
        await asyncio.wait({restarting})
        # The task is cancelled if the host loses power during the restart.
        if not restarting.cancelled():
            restarting.result()

    async def run_backend(self, host: Host) -> None:
        """Run a backend server and its heartbeats until it ends."""
        settings = BackendServerSettings(
            SERVICE,
            f"{host.name}:9000",
            seed=host.number,
            queue_length=0,
            crash_key_prefix=CRASHING_PREFIX,
        )
        backend = host.backend = BackendServer(settings)
        self.backends.append(backend)
        await backend.start()
        self.spawn(self.watch_backend(host, backend), host)
        client = HttpClient(RequestSettings(), LoopClock())
        host.born = get_unix_ms(self.clock)
        host.sequence = 0
        host.is_leaving = False
        while host.backend is backend:
            if not host.is_leaving:
                heartbeat = self.build_heartbeat(host, "ready")
                await self.call_daemon(client, host, "PUT", heartbeat)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def watch_backend(self, host: Host, backend: BackendServer) -> None:
        """Stop a backend server that a request crashed, and start its successor."""
        await backend.crashed.wait()
        at_s = asyncio.get_running_loop().time()
        self.crashes.append(ServerCrash(at_s, backend.crashed_by))
        await self.replace_backend(host, self.rng.uniform(*PAUSE_AFTER_CRASH_S))

    def build_heartbeat(self, host: Host, state: str) -> dict[str, Any]:
        """Build the next heartbeat of a backend server."""
        host.sequence += 1
        return {
            "service": SERVICE,
            "address": f"{host.name}:9000",
            "zone": host.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmup-left": "0ms",
            "sequence": host.sequence,
            "born": host.born,
        }

    async def call_daemon(
        self, client: HttpClient, host: Host, method: str, content: dict[str, Any]
    ) -> int:
        """Call the daemon beside a backend server.

        :param content: fields of the JSON body; empty for no body.
        :return: the status of the response; 0 without one.
        """
        data = msgspec.json.encode(content) if content else b""
        request = HttpRequest(
            address=f"{host.name}:8004",
            method=method,
            path=f"/v1/instances/i-{host.name}",
            headers=(("host", host.name), ("content-length", str(len(data)))),
            body=yield_body(data),
            idempotent=True,
            time_left=HEARTBEAT_TIMEOUT,
        )
        try:
            answer = await client.send(request)
            await read_complete_body(answer)
            return answer.status
        except RequestError:
            # The daemon is down; the next heartbeat will register the server again.
            return 0

    def set_faults(self, host: Host, faults: Faults) -> None:
        """Set the faults of the backend server of a host, if it runs."""
        if host.backend is not None:
            host.backend.faults = faults
            at_s = asyncio.get_running_loop().time()
            self.fault_changes.append(FaultChange(at_s, host.backend, faults))

    def record_disruption(self, host_name: str) -> None:
        """Record that a daemon restarts or is partitioned, or that the store fails."""
        at_s = asyncio.get_running_loop().time()
        self.disruptions.append(Disruption(at_s, host_name))

    async def replace_backend(self, host: Host, pause_s: float) -> None:
        """End the backend server of a host and start its successor.

        :param pause_s: time between the two in seconds.
        """
        backend = host.backend
        if backend is None:
            return
        host.backend = None
        await backend.stop()
        await asyncio.sleep(pause_s)
        if host.daemon is not None and host.backend is None:
            self.spawn(self.run_backend(host), host)

    def partition(self, host: Host) -> None:
        """Partition a host from all other hosts, but not from callers and the store."""
        self.record_disruption(host.name)
        self.partitioned.add(host.name)
        for other in self.hosts:
            if other is not host:
                self.disconnect(host, other)

    def disconnect(self, host: Host, other: Host) -> None:
        """Cut two hosts off from each other."""
        detangle.network().disconnect(host.name, other.name)
        self.network.rules.block([host.name], [other.name])
        self.network.rules.block([other.name], [host.name])

    def cut_from_store(self, host: Host) -> None:
        """Cut a host off from the store, but not from the other hosts."""
        self.storeless.add(host.name)
        detangle.network().disconnect(host.name, STORE_HOST)

    def start_outage(self, host: Host, silent: bool) -> None:
        """Let the store refuse the calls of a host, and serve the others."""
        faults = self.store.faults
        ports = faults.silent_ports if silent else faults.refusing_ports
        ports.add(STORE_PORT + host.number)

    def has_outage(self, host: Host) -> bool:
        """Return whether the store refuses the calls of a host."""
        faults = self.store.faults
        return STORE_PORT + host.number in faults.silent_ports | faults.refusing_ports

    def end_outage(self, host: Host) -> None:
        """Let the store serve a host again."""
        self.store.faults.silent_ports.discard(STORE_PORT + host.number)
        self.store.faults.refusing_ports.discard(STORE_PORT + host.number)

    def heal(self) -> None:
        """Restore all links."""
        detangle.network().heal()
        self.storeless.clear()
        self.partitioned.clear()
        self.network.rules.blocked_links.clear()

    def count_runs(self) -> Counter[str]:
        """Return how often each request started to run, over all backend servers."""
        runs: Counter[str] = Counter()
        for backend in self.backends:
            runs.update(backend.counts.started)
        return runs


def build_settings(
    host: Host, shutdown_notice_ms: int, bounds: dict[str, str], store_address: str
) -> PlatformSettings:
    """Build the settings of a host's daemon, as the platform's templates do."""
    name = host.name
    daemon = DaemonSettings(
        daemon_id=name,
        availability_zone=host.zone,
        caller_address=f"{name}:8001",
        gate_address=f"{name}:8002",
        peer_address=f"{name}:8005",
        announce_address=f"{name}:8004",
        service=SERVICE,
        # Request identifiers are generated from the seed, so each start of each daemon
        # needs a seed of its own.
        seed=host.number * MAX_STARTS_PER_HOST + host.starts,
        shutdown_ms=SHUTDOWN_MS,
        shutdown_notice_ms=shutdown_notice_ms,
        requests=RequestSettings(
            trust_slots=True,
            connect_timeout_ms=300,
            unsafe_idle_ms=2_000,
            other_zone_share=0.33,
            retry_ratio=0.15,
            retry_slack=20,
        ),
        membership=MembershipSettings(
            member_source="registry",
            announce_lease_ms=6_000,
            rejoin_ms=2_000,
            lease_ms=4_500,
            renew_ms=1_500,
        ),
    )
    return PlatformSettings(daemon, StoreSettings(store_address), bounds)
