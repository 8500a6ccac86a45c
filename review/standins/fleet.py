"""Stand-ins and process control shared by the review's scripts.

The daemons run as separate processes with the command and the settings template of the
deploy file. The platform's store, the targets and the clients live in this process.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

from wagtailstep.platform.stand_in import StandInStore

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
ZONE = "bole"
BOUNDS = {"budget-slack": 60}


class Record:
    """Writes ``record.txt``: what was sent, answered and run, and the checks."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)


def render(template, fields):
    """Fill the placeholders of the settings template."""

    def replace(match):
        path, _, mode = match[1].partition("|")
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if mode == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Daemon:
    """One daemon process on a loopback address of its own."""

    def __init__(self, fleet, number, service):
        self.fleet = fleet
        self.name = f"sidecar-{ZONE}-{number}"
        self.service = service
        self.ip = f"127.{fleet.net[0]}.{fleet.net[1]}.{number + 1}"
        ports = [free_port(self.ip) for _ in range(5)]
        names = ("inbound", "outbound", "ready", "control")
        self.listen = {n: f"{self.ip}:{p}" for n, p in zip(names, ports, strict=False)}
        self.internal = [ports[4], ports[4]]
        self.settings = fleet.folder / f"{self.name}.json"
        self.process = None
        self.starts = 0

    def address(self, name):
        host, port = self.listen[name].split(":")
        return host, int(port)

    def write_settings(self):
        """Write the settings file as the platform fills it, and return the role."""
        with open(ROOT / "deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["daemon"]
        fields = {
            "node-name": self.name,
            "zone": ZONE,
            "service": self.service,
            "ip": self.ip,
            "listen-addrs": self.listen,
            "internal-ports": self.internal,
            "bounds": BOUNDS,
            "platform": {"address": self.fleet.store_address},
        }
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, fields))
        return role

    async def start(self):
        role = self.write_settings()
        self.starts += 1
        log = open(self.fleet.folder / f"{self.name}.{self.starts}.log", "wb")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["WAGTAILSTEP_NODE_FILE"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.fleet.record.write(f"daemon {self.name} started")

    def send_signal(self, number):
        self.fleet.record.write(f"daemon {self.name} gets {number.name}")
        self.process.send_signal(number)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                exchange(self.address("ready"), b"GET", "/v1/ready"), 1
            )
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False

    async def wait_ready(self, limit=20):
        ends = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > ends:
                raise CaseCannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
        self.fleet.record.write(f"daemon {self.name} is ready")


class CaseCannotRun(Exception):
    """The case could not be set up."""


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            if not line:
                raise asyncio.IncompleteReadError(b"", None)
            size = int(line.split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


async def read_answer(reader):
    while True:
        first, headers = await read_head(reader)
        status = int(first.split()[1])
        if status >= 200:
            return Answer(status, headers, await read_body(reader, headers, True))


async def exchange(address, method, path, headers=(), body=b""):
    """Send one request over a new connection and return the complete answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(build_request(method, path, headers, body))
        await writer.drain()
        return await read_answer(reader)
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    finally:
        writer.close()


def build_request(method, path, headers, body=b"", length=None):
    lines = [f"{method.decode()} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append("Host: control")
    if length or body:
        lines.append(f"Content-Length: {length or len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Target:
    """A target that follows the pages; ``decline`` may reject long requests early.

    :param decline: called with the length of a request before its body is read;
        returns whether the request is rejected unrun.
    """

    def __init__(
        self, fleet, daemon, instance, slots=4, work_s=0.1, decline=None, address=""
    ):
        self.fleet, self.daemon, self.id = fleet, daemon, instance
        self.slots, self.work_s = slots, work_s
        self.decline = decline or (lambda length: False)
        self.service = daemon.service
        self.address = address or f"{daemon.ip}:{free_port(daemon.ip)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.free = asyncio.Semaphore(slots)
        self.queue_length = 40
        self.server = self.beats = None
        self.writers = set()
        self.beat_answers = []
        self.work_of = {}

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beats = asyncio.create_task(self.send_beats())

    async def exit(self):
        """End as a process does: its connections close."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.fleet.record.write(f"target {self.id} exits")

    def build_beat(self, state="ready"):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup-left": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(body).encode()

    async def send_beat(self, body, method=b"PUT"):
        headers = [("Content-Type", "application/json")]
        path = f"/v1/instances/{self.id}"
        try:
            answer = await asyncio.wait_for(
                exchange(self.daemon.address("control"), method, path, headers, body), 1
            )
            return answer.status
        except (OSError, asyncio.TimeoutError, EOFError):
            return 0

    async def send_beats(self):
        while True:
            status = await self.send_beat(self.build_beat())
            self.beat_answers.append((self.fleet.record.now(), status))
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                if not await self.handle(first, headers, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first, headers, reader, writer):
        method, path, _ = first.split()
        request_id = headers.get("wagtailstep-request-id", "")
        record = self.fleet.record
        if path == "/healthz":
            await self.answer(writer, 200, [("Wagtailstep-Instance-Id", self.id)])
            return True
        record.write(f"target {self.id} gets {request_id} {method} {path}")
        self.fleet.arrivals.append((record.now(), self, request_id))
        length = int(headers.get("content-length", "0"))
        echo = [("Wagtailstep-Request-Id", request_id)]
        expected = headers.get("wagtailstep-expected-instance", self.id)
        if expected != self.id:
            await self.answer(writer, 421, echo)
            await read_body(reader, headers)
            return True
        if self.decline(length) or self.running >= self.slots + self.queue_length:
            record.write(f"target {self.id} rejects {request_id}, not executed")
            await self.answer(writer, 503, [*echo, ("Wagtailstep-Not-Executed", "1")])
            # It keeps the connection and reads on, as the rules say it may.
            await read_body(reader, headers)
            return True
        body = await read_body(reader, headers)
        self.running += 1
        try:
            async with self.free:
                record.write(f"target {self.id} runs {request_id} {len(body)} bytes")
                self.fleet.runs.append((record.now(), self, request_id, len(body)))
                caller = headers.get("wagtailstep-caller-service", "")
                self.fleet.callers.append((request_id, caller))
                await asyncio.sleep(self.work_of.get(path, self.work_s))
        finally:
            self.running -= 1
        signed = [*echo, ("Wagtailstep-Response-Signature", f"sig.{request_id}")]
        await self.answer(writer, 200, signed, b"done\n")
        return True

    async def answer(self, writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()


class Fleet:
    """The store, the daemons and the targets of one run.

    Attributes: ``arrivals`` and ``runs``, what the targets saw; ``callers``, the service
    that each run named as its caller.
    """

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = (random.randrange(2, 250), random.randrange(2, 250))
        self.store = StandInStore()
        self.daemons, self.targets = [], []
        self.arrivals, self.runs, self.callers = [], [], []
        self.serials = 0

    async def start_store(self):
        self.store_address = await self.store.start("127.0.0.1:0")

    def publish(self, version, routes, idle="15000ms"):
        columns = ["name", "host", "path-prefix", "kind", "timeout", "aim"]
        columns += ["priority", "service", "max-attempts", "traffic-split"]
        services = sorted({route[7] for route in routes})
        rows = [[name, "/healthz", 360, "h1", False] for name in services]
        config = {
            "version": f"r{version}",
            "routes": {"columns": columns, "rows": routes},
            "services": {
                "columns": [
                    "name",
                    "health-path",
                    "max-connections",
                    "protocol",
                    "tls",
                ],
                "rows": rows,
            },
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": idle,
            },
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.write(f"operator: version r{version} acknowledged")

    async def add_daemon(self, service):
        daemon = Daemon(self, len(self.daemons) + 1, service)
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def add_target(self, daemon, **options):
        instance = f"i-{random.getrandbits(32):08x}"
        target = Target(self, daemon, instance, **options)
        self.targets.append(target)
        await target.start()
        return target

    def next_id(self):
        self.serials += 1
        return f"{random.getrandbits(40):010x}{self.serials:04x}"

    async def close(self):
        for target in self.targets:
            if target.beats is not None:
                target.beats.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, folder):
    """Run a case; exit with 1 if the rule broke, 0 if it held, 2 if it could not run.

    :param case: called with the fleet and whether to make the disruption; returns
        whether the rule held.
    """
    record = Record(pathlib.Path(folder).resolve() / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(case(fleet, trouble), 110)
        finally:
            await fleet.close()

    try:
        held = asyncio.run(main())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        traceback.print_exc()
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
