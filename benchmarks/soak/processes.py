"""Daemons as processes of their own on loopback addresses, in real time."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
from collections.abc import Coroutine, Iterable
from typing import Any

import attrs

from benchmarks.soak.fleet import Host, SoakFleet
from wagtailstep.platform.program import FILE_VARIABLE
from wagtailstep.utils.clock import LoopClock

GRACE_S = 6.0
# As in the settings template of the platform.
NOTICE_MS = 2_600
START_LIMIT_S = 15.0
POLL_S = 0.05
# The platform's bound on ends that belong to a start, and its delay of a new start.
START_TIME_S = 1.0
RESTART_DELAY_S = 0.5
STORE_NUMBER = 250


@attrs.define
class ProcessHost(Host):
    """A loopback address with a daemon's process and a backend server.

    :param network: second and third number of the addresses of this run, so that
        several runs don't meet.
    :param grace_s: seconds between SIGTERM and SIGKILL.
    """

    network: str = "1.0"
    grace_s: float = GRACE_S

    @property
    def name(self) -> str:
        """Return the address, which is also the daemon's identifier."""
        return f"127.{self.network}.{self.number}"


class ProcessFleet(SoakFleet):
    """Like :class:`SoakFleet`, but daemons are real processes and get real signals.

    The store and the backend servers run in the process of the test.

    :param folder: where the settings and the output of the daemons are written.
    """

    def __init__(self, size: int, rng: random.Random, folder: pathlib.Path) -> None:
        self.folder = folder
        self.network_part = f"{rng.randint(1, 250)}.{rng.randint(0, 250)}"
        super().__init__(size, rng)
        self.store_host = f"127.{self.network_part}.{STORE_NUMBER}"
        self.clock = LoopClock()
        self.shutdown_notice_ms = NOTICE_MS
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopped: set[asyncio.subprocess.Process] = set()
        self.restarting: set[str] = set()
        self.unexpected_ends: list[str] = []

    def create_host(self, number: int, zone: str) -> ProcessHost:
        """Create a host with an address of this run."""
        return ProcessHost(number, zone, network=self.network_part)

    def spawn(self, work: Coroutine[Any, Any, None], host: Host) -> None:
        """Start a task that lasts until the fleet is closed."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self) -> None:
        """Start the store and all hosts, and wait until each daemon serves."""
        self.publish()
        await self.start_store()
        for host in self.hosts:
            self.power_on(host)
        async with asyncio.timeout(START_LIMIT_S):
            for host in self.hosts:
                while not await self.accepts(host):
                    await asyncio.sleep(POLL_S)

    async def accepts(self, host: Host) -> bool:
        """Return whether the daemon of a host accepts connections of callers."""
        try:
            _, writer = await asyncio.open_connection(host.name, 8001)
        except OSError:
            return False
        writer.close()
        return True

    async def run_daemon(self, host: ProcessHost) -> None:
        """Start the process of a host's daemon."""
        self.record_disruption(host.name)
        host.starts += 1
        path = self.write_settings(host)
        with open(self.folder / f"{host.name}.log", "ab") as output:
            host.daemon = await asyncio.create_subprocess_exec(
                *[sys.executable, "-m", "wagtailstep.platform", "run"],
                env={**os.environ, FILE_VARIABLE: str(path)},
                stdout=output,
                stderr=output,
            )
        self.spawn(self.watch_daemon(host, host.daemon), host)

    def write_settings(self, host: ProcessHost) -> pathlib.Path:
        """Write the settings file of a host's daemon, whole or not at all."""
        settings = self.build_settings(host)
        bounds = {"grace": f"{host.grace_s:g}s"}
        path = self.folder / f"{host.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(attrs.asdict(attrs.evolve(settings, bounds=bounds))))
        return new.replace(path)

    async def watch_daemon(
        self, host: Host, process: asyncio.subprocess.Process
    ) -> None:
        """Record a daemon that ends by itself, and start it again.

        A signal that comes before the interpreter runs the program ends it. The
        platform takes an end within a second of a start for a part of that start.
        """
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        status = await process.wait()
        if process in self.stopped:
            return
        host.daemon = None
        ran_s = loop.time() - started_at_s
        if status != -signal.SIGHUP or ran_s > START_TIME_S:
            self.unexpected_ends.append(
                f"the daemon of {host.name} ended with {status} after {ran_s:.2f} s"
            )
        await asyncio.sleep(RESTART_DELAY_S)
        await self.restore_power(host)

    async def restart_daemon(self, host: ProcessHost) -> None:
        """Send SIGTERM, wait for the end and start the daemon again."""
        process = host.daemon
        if process is None or host.name in self.restarting:
            return
        self.restarting.add(host.name)
        self.record_disruption(host.name)
        self.stopped.add(process)
        send_signal(process, signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), host.grace_s)
        except TimeoutError:
            self.unexpected_ends.append(f"{host.name} still ran after the grace")
            send_signal(process, signal.SIGKILL)
            await process.wait()
        if host.daemon is process:
            await self.run_daemon(host)
        self.restarting.discard(host.name)

    def power_off(self, host: Host) -> None:
        """Kill the daemon of a host; its backend server runs on."""
        if host.daemon is not None:
            self.record_disruption(host.name)
            self.stopped.add(host.daemon)
            send_signal(host.daemon, signal.SIGKILL)
            host.daemon = None

    async def restore_power(self, host: Host) -> None:
        """Start the daemon of a host again."""
        if host.daemon is None:
            await self.run_daemon(host)

    def reload_settings(self, host: Host) -> None:
        """Send SIGHUP to a daemon."""
        if host.daemon is not None:
            send_signal(host.daemon, signal.SIGHUP)

    async def close(self) -> None:
        """Kill all daemons and end the tasks of the hosts."""
        for host in self.hosts:
            self.power_off(host)
        await asyncio.gather(*(process.wait() for process in self.stopped))
        await cancel_all(self.tasks)
        for backend in self.backends:
            await backend.stop()
        await self.store.close()


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal to a process unless it has ended."""
    if process.returncode is None:
        process.send_signal(number)


async def cancel_all(tasks: Iterable["asyncio.Task[None]"]) -> None:
    """Cancel tasks and wait for their ends."""
    pending = list(tasks)
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
