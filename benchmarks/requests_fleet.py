"""Run the processes of the request benchmark: daemons, fakes and baseline proxies."""

import asyncio
import json
import os
import pathlib
import signal
import sys
from datetime import timedelta

import attrs
import msgspec

from benchmarks.requests_load import SERVICE_NAME, LoadSpec, Outcome
from wagtailstep.exceptions import RequestError
from wagtailstep.fakes.backend_server import BackendServerSettings
from wagtailstep.fakes.faults import Faults
from wagtailstep.fakes.ports import pick_addresses
from wagtailstep.models.settings import (
    DaemonSettings,
    LogSettings,
    MembershipSettings,
    RequestSettings,
)
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import LoopClock

HOST = "127.0.0.1"
ZONES = ("bole", "piassa", "kirkos")
SLOTS = 4
PROXIES = 20
BACKENDS_PER_PROCESS = 5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.define
class Program:
    """A process that this benchmark started.

    :param process: the process.
    :param name: its role; for a daemon its identifier.
    """

    process: asyncio.subprocess.Process
    name: str

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        text = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def peak_memory_mb(self) -> float:
        """Return the peak resident memory of the process in MB."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in text.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) / 1024


class Fleet:
    """Daemons and fake backend servers of one service, on free loopback ports.

    :param folder: where settings and results are written.
    :param size: number of instances.
    :param seed: seed of the daemons.
    :param backends: number of instances with a backend server; all by default.
    """

    def __init__(
        self, folder: pathlib.Path, size: int, seed: int, backends: int | None = None
    ) -> None:
        self.folder = folder
        self.programs: list[Program] = []
        self.client = HttpClient(RequestSettings(), LoopClock())
        proxies = PROXIES if size > 2 else 0
        ports = pick_addresses(5 * size + 1 + proxies)
        self.log_address = ports.pop()
        self.proxies = [ports.pop() for _ in range(proxies)]
        peers = [ports.pop() for _ in range(size)]
        self.backends = [ports.pop() for _ in range(size)][: backends or size]
        self.daemons = [
            DaemonSettings(
                daemon_id=f"{SERVICE_NAME}-{index + 1}",
                availability_zone=ZONES[index % len(ZONES)],
                caller_address=ports.pop(),
                gate_address=ports.pop(),
                peer_address=peers[index],
                announce_address=ports.pop(),
                log_level="ERROR",
                seed=seed * 1_000 + index,
                membership=MembershipSettings(seeds=tuple(peers[:3])),
                log=LogSettings(address=self.log_address),
            )
            for index in range(size)
        ]

    @property
    def entries(self) -> list[str]:
        """Return the addresses for callers."""
        return [settings.caller_address for settings in self.daemons]

    async def start(self) -> None:
        """Start all processes and wait until all entries and proxies respond."""
        await self.start_program(
            "log", "wagtailstep.cli.fakes", "log", f"--address={self.log_address}"
        )
        for first in range(0, len(self.backends), BACKENDS_PER_PROCESS):
            await self.start_backends(first)
        for settings in self.daemons:
            path = self.write(f"{settings.daemon_id}.json", attrs.asdict(settings))
            await self.start_program(
                settings.daemon_id, "wagtailstep.cli.daemon", "run", str(path)
            )
        for address in self.proxies:
            await self.start_program(
                "proxy", "benchmarks.round_robin", address, *self.backends
            )
        await self.import_table()
        for address in [*self.entries, *self.proxies]:
            await self.wait_until_ready(address)

    async def start_backends(self, first: int) -> None:
        """Start one process with the next ``BACKENDS_PER_PROCESS`` backend servers."""
        last = min(first + BACKENDS_PER_PROCESS, len(self.backends))
        servers = [
            BackendServerSettings(
                service=SERVICE_NAME,
                address=self.backends[index],
                announce_address=self.daemons[index].announce_address,
                slots=SLOTS,
                seed=index,
            )
            for index in range(first, last)
        ]
        path = self.write(f"backends-{first}.json", [attrs.asdict(s) for s in servers])
        await self.start_program(
            "backends", "wagtailstep.cli.fakes", "backends", str(path)
        )

    async def import_table(self) -> None:
        """Import a table whose floor is two thirds of the backend servers.

        :raises RuntimeError: if the table is not accepted in 20 attempts.
        """
        count = len(self.backends)
        path = self.folder / "table.csv"
        path.write_text(
            "kind,key,floor_weight,unlisted_servers\n"
            f"service,{SERVICE_NAME},{count * 2 // 3},{count}\n"
        )
        for _ in range(20):
            program = await self.start_program(
                "table",
                *("wagtailstep.cli.table", "import", str(path)),
                *(f"--log={self.log_address}", "--author=bench", "--reason=bench"),
            )
            code = await program.process.wait()
            self.programs.remove(program)
            if code == 0:
                return
            await asyncio.sleep(0.5)
        raise RuntimeError(f"the table was not accepted: exit code {code}")

    async def wait_until_ready(self, address: str) -> None:
        """Wait until an address responds to a request with status 200.

        :raises RuntimeError: if it does not.
        """
        for _ in range(100):
            status, _ = await self.send_request(address, "GET", "/lookup/ready")
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{address} is not ready: last status {status}")

    async def send_request(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send one request and return the status and body of the response.

        The status is 0 if the request fails.
        """
        request = HttpRequest(
            address=address,
            method=method,
            path=path,
            headers=(
                ("wagtailstep-service", SERVICE_NAME),
                ("content-length", str(len(body))),
            ),
            body=yield_body(body),
            idempotent=True,
            time_left=timedelta(seconds=10),
        )
        try:
            answer = await self.client.send(request)
            data = b"".join([chunk async for chunk in answer.body])
        except RequestError:
            return 0, b""
        return answer.status, data

    async def set_faults(self, index: int, faults: Faults) -> None:
        """Set the faults of one backend server."""
        body = msgspec.json.encode(faults)
        status, _ = await self.send_request(
            self.backends[index], "PUT", "/faults", body
        )
        if status != 200:
            raise RuntimeError(f"backend server refused faults with status {status}")

    async def count_starts(self) -> dict[str, int]:
        """Return how often each request was started, over all backend servers."""
        total: dict[str, int] = {}
        for address in self.backends:
            _, data = await self.send_request(address, "GET", "/counts")
            for key, count in json.loads(data)["started"].items():
                total[key] = total.get(key, 0) + count
        return total

    async def run_load(self, *specs: LoadSpec) -> list[Outcome]:
        """Run concurrent caller processes and return all outcomes."""
        return sum(await asyncio.gather(*map(self.run_callers, specs)), [])

    async def run_callers(self, spec: LoadSpec) -> list[Outcome]:
        """Run one process of callers and return its outcomes."""
        path = self.write(f"{spec.name}.spec.json", attrs.asdict(spec))
        result = self.folder / f"{spec.name}.result.json"
        program = await self.start_program(
            "callers", "benchmarks.requests_load", str(path), str(result)
        )
        code = await program.process.wait()
        self.programs.remove(program)
        if code:
            raise RuntimeError(f"process of callers {spec.name} failed")
        return msgspec.json.decode(result.read_bytes(), type=list[Outcome])

    async def start_program(self, name: str, module: str, *arguments: str) -> Program:
        """Start a Python module as a process; its output goes to a log file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, *arguments), stdout=log, stderr=log
            )
        program = Program(process, name)
        self.programs.append(program)
        return program

    def write(self, name: str, value: object) -> pathlib.Path:
        """Write a value as JSON and return the path."""
        path = self.folder / name
        path.write_text(json.dumps(value))
        return path

    async def stop(self) -> None:
        """Terminate all processes that were started; kill those that don't exit."""
        self.client.close()
        for program in reversed(self.programs):
            if program.process.returncode is None:
                program.process.send_signal(signal.SIGTERM)
        for program in self.programs:
            try:
                await asyncio.wait_for(program.process.wait(), timeout=15)
            except TimeoutError:
                program.process.kill()
                await program.process.wait()
