"""Measure idle daemons as real processes: processor time, memory, control bytes.

Run with ``python -m benchmarks.control_daemons --seed=1``. Starts a fake log service,
one process with all fake backend servers, and daemons, all on loopback. Stops each
process by its process id.
"""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

import attrs
import fire

from benchmarks.report import Report, fit_slope
from wagtailstep.fakes.backend_server import BackendServerSettings
from wagtailstep.fakes.ports import pick_addresses
from wagtailstep.models.settings import (
    DaemonSettings,
    LogSettings,
    MembershipSettings,
)

REPORT_PATH = pathlib.Path("docs/measurements/control_daemons.md")
SIZES = (4, 16, 32, 64)
WARM_UP_S = 12.0
DURATION_S = 20.0
STOP_TIMEOUT_S = 60.0
HELPER_STARTUP_S = 1.5
MAX_ATTEMPTS = 4
HOST = "127.0.0.1"
PROGRAM_CODE = "from wagtailstep.cli.{name} import main; main()"


@attrs.frozen
class ProcessLoad:
    """Resources that one daemon used.

    :param cpu_percent: processor time in percent of a core.
    :param resident_mb: resident memory.
    :param private_mb: resident memory that is not shared with other processes.
    :param sent_bytes: control bytes sent per second.
    :param received_bytes: control bytes received per second.
    :param messages: control messages sent and received per second.
    :param connections: control connections opened per second.
    :param dropped: control messages dropped per second.
    """

    cpu_percent: float
    resident_mb: float
    private_mb: float
    sent_bytes: float
    received_bytes: float
    messages: float
    connections: float
    dropped: float


def plan_daemons(ports: list[str], seed: int, log_address: str) -> list[DaemonSettings]:
    """Return the settings of all daemons.

    :param ports: four free addresses for each daemon.
    """
    seeds = tuple(ports[2::4][:3])
    return [
        DaemonSettings(
            f"daemon-{index:02d}",
            f"zone-{index % 3}",
            *ports[4 * index : 4 * index + 4],
            seed=seed * 1_000 + index,
            membership=MembershipSettings(seeds=seeds),
            log=LogSettings(address=log_address),
        )
        for index in range(len(ports) // 4)
    ]


def start_program(name: str, *arguments: str, output: pathlib.Path) -> subprocess.Popen:
    """Start one of the package's command-line programs."""
    command = [sys.executable, "-c", PROGRAM_CODE.format(name=name), *arguments]
    with output.open("w") as file:
        return subprocess.Popen(command, stdout=file, stderr=subprocess.STDOUT)


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(pid: int) -> tuple[float, float]:
    """Return the resident memory of a process and the private part of it."""
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    sizes = dict(re.findall(r"^(\w+):\s+(\d+) kB", text, re.MULTILINE))
    private = int(sizes["Private_Clean"]) + int(sizes["Private_Dirty"])
    return int(sizes["Rss"]) / 1_024, private / 1_024


def read_counters(output: pathlib.Path) -> dict[str, float]:
    """Return a daemon's channel counters, which it logs when it shuts down."""
    found = re.findall(r"event=channel-closed (.*)", output.read_text())
    pairs = (pair.split("=") for pair in found[-1].split())
    return {key: float(value) for key, value in pairs}


def stop_process(process: subprocess.Popen) -> None:
    """Terminate a process; kill it if it does not exit in time."""
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def run_size(count: int, seed: int, folder: pathlib.Path) -> list[ProcessLoad]:
    """Run a fleet and return the load of each daemon.

    :return: empty if a fake service ended early.
    """
    log_address, *ports = pick_addresses(1 + 5 * count)
    backend_addresses = ports[:count]
    daemons = plan_daemons(ports[count:], seed, log_address)
    servers = [
        BackendServerSettings(
            service="contracts" if index % 4 else "archive",
            address=address,
            announce_address=daemon.announce_address,
        )
        for index, (address, daemon) in enumerate(
            zip(backend_addresses, daemons, strict=True)
        )
    ]
    servers_file = folder / "backends.json"
    servers_file.write_text(json.dumps([attrs.asdict(server) for server in servers]))
    helpers = [
        start_program(
            "fakes", "log", f"--address={log_address}", output=folder / "log.out"
        ),
        start_program(
            "fakes", "backends", str(servers_file), output=folder / "backends.out"
        ),
    ]
    processes = {}
    try:
        time.sleep(HELPER_STARTUP_S)
        for daemon in daemons:
            file = folder / f"{daemon.daemon_id}.json"
            file.write_text(json.dumps(attrs.asdict(daemon)))
            output = folder / f"{daemon.daemon_id}.out"
            processes[output] = start_program("daemon", "run", str(file), output=output)
        loads = measure_daemons(processes)
        helpers_running = all(helper.poll() is None for helper in helpers)
        return loads if helpers_running else []
    finally:
        for process in [*processes.values(), *helpers]:
            stop_process(process)


def run_with_retries(count: int, seed: int) -> list[ProcessLoad]:
    """Run a fleet; retry if a fake service lost its port to another process.

    :raises RuntimeError: if that happened in all attempts.
    """
    for _ in range(MAX_ATTEMPTS):
        with tempfile.TemporaryDirectory() as folder:
            loads = run_size(count, seed, pathlib.Path(folder))
        if loads:
            return loads
        print(f"{count} daemons: a fake service exited early; retrying", flush=True)
    raise RuntimeError(f"fake services for {count} daemons exited in all attempts")


def measure_daemons(
    processes: dict[pathlib.Path, subprocess.Popen],
) -> list[ProcessLoad]:
    """Measure running daemons, stop them and read their channel counters."""
    started = time.monotonic()
    time.sleep(WARM_UP_S)
    processes = remove_exited(processes)
    before = {path: read_cpu_s(process.pid) for path, process in processes.items()}
    time.sleep(DURATION_S)
    processes = remove_exited(processes)
    after = {path: read_cpu_s(process.pid) for path, process in processes.items()}
    memory = {path: read_memory_mb(process.pid) for path, process in processes.items()}
    lifetime = time.monotonic() - started
    for process in processes.values():
        process.send_signal(signal.SIGTERM)
    for process in processes.values():
        stop_process(process)
    loads = []
    for path in processes:
        counters = read_counters(path)
        loads.append(
            ProcessLoad(
                cpu_percent=100 * (after[path] - before[path]) / DURATION_S,
                resident_mb=memory[path][0],
                private_mb=memory[path][1],
                sent_bytes=counters["sent_bytes"] / lifetime,
                received_bytes=counters["received_bytes"] / lifetime,
                messages=(counters["sent"] + counters["received"]) / lifetime,
                connections=counters["connections"] / lifetime,
                dropped=counters["dropped"] / lifetime,
            )
        )
    return loads


def remove_exited(
    processes: dict[pathlib.Path, subprocess.Popen],
) -> dict[pathlib.Path, subprocess.Popen]:
    """Return the daemons that still run; print the last line of each other."""
    for path, process in processes.items():
        if process.poll() is not None:
            last = path.read_text().splitlines()[-1:]
            print(f"daemon exited early: {path.stem} {last}", flush=True)
    return {
        path: process for path, process in processes.items() if process.poll() is None
    }


def mean(loads: list[ProcessLoad], name: str) -> float:
    """Return the mean of one field of the loads."""
    return sum(getattr(load, name) for load in loads) / len(loads)


def main(seed: int = 1, sizes: tuple[int, ...] = SIZES) -> None:
    """Measure fleets of several sizes and write the page of results.

    :param seed: seed of the daemons' random choices.
    :param sizes: numbers of daemons of the fleets.
    """
    report = Report("Daemons as processes", "control_daemons", seed)
    names = [field.name for field in attrs.fields(ProcessLoad)]
    rows, points = [], []
    for count in sizes:
        loads = run_with_retries(count, seed)
        figures = {name: mean(loads, name) for name in names}
        rows.append([str(len(loads)), *(f"{figures[name]:.2f}" for name in names)])
        points.append((count, figures))
        print(dict(zip(["daemons", *names], rows[-1], strict=True)), flush=True)
    report.add_text(
        "Idle daemons, each beside one backend server that announces itself twice a "
        "second; 3 of 4 serve one service, the rest another. Means over all daemons. "
        f"Processor time and memory over {DURATION_S:.0f} s after a warm-up of "
        f"{WARM_UP_S:.0f} s; bytes and messages since the start, as the channel counts "
        "them (without headers of ZeroMQ, TCP and IP)."
    )
    report.add_table(["daemons", *names], rows)
    last = points[-1][1]
    cpu = fit_slope([(count, figures["cpu_percent"]) for count, figures in points])
    memory = fit_slope([(count, figures["resident_mb"]) for count, figures in points])
    line = (
        f"daemon_cpu_percent={last['cpu_percent']:.2f} "
        f"daemon_resident_mb={last['resident_mb']:.1f} "
        f"daemon_private_mb={last['private_mb']:.1f} "
        f"daemon_control_sent_bytes_per_s={last['sent_bytes']:.0f} "
        f"daemon_control_received_bytes_per_s={last['received_bytes']:.0f} "
        f"cpu_percent_per_daemon={cpu[1]:.4f} "
        f"resident_mb_per_daemon={memory[1]:.4f}"
    )
    report.write(REPORT_PATH, line)
    print(line)


if __name__ == "__main__":
    fire.Fire(main)
