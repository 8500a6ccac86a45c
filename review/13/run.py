"""Requests with heads that the operator allows are ended with 431."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from fleet import TROUBLE, build_config, read_body, read_head, run_case  # noqa: E402

HOST = "ficu95.example"
CONFIG_APPLY_S = 2.0
USUAL_HEAD = 12_000
LARGE_HEAD = 48_000
# What one packet of an ordinary link carries, and the time that one of 10 Mbit/s takes.
PACKET_BYTES = 1_460
PACKET_S = 0.0012
REQUESTS = 120
LARGE_IN = 5
PLAIN_PATHS = ("/lohu930/2f", "GET", b""), ("/pufi791/2f", "POST", b"deposit")


async def send(fleet, machine, number, head_bytes):
    """Send a request whose head arrives packet by packet; return the status."""
    path, method, body = PLAIN_PATHS[number % 2]
    request_id = f"r{number:05d}"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Wagtailstep-Request-Id: {request_id}",
        "Wagtailstep-Timeout-Ms: 5000",
        f"Content-Length: {len(body)}",
    ]
    while (left := head_bytes - sum(map(len, lines)) - 2 * len(lines) - 30) > 0:
        lines.append(f"Cookie-{len(lines)}: " + "c" * min(left, 1_000))
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    status, text = 0, b""
    host, _, port = machine.outbound.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    reading = asyncio.create_task(read_head(reader))
    sent_at = fleet.record.now()
    try:
        async with asyncio.timeout(6.0):
            for start in range(0, len(data), PACKET_BYTES):
                if reading.done():
                    break
                writer.write(data[start : start + PACKET_BYTES])
                await asyncio.sleep(PACKET_S)
            head = await reading
            if head is not None:
                status = int(head[0].split()[1])
                text = await read_body(reader, head[1], until_end=True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        reading.cancel()
        writer.close()
    fleet.record.write(
        f"client at {machine.name}: {request_id} {method} {path}, a head of "
        f"{len(data) - len(body)} bytes, {(fleet.record.now() - sent_at) * 1000:.0f} ms "
        f"-> {status or 'no answer'} {text[:80]!r}"
    )
    return status


async def play(fleet):
    record = fleet.record
    machines = [
        await fleet.add_machine(z, "huvo11a") for z in ("bole", "piassa", "kirkos")
    ]
    routes = [
        ("r-1", HOST, "/pufi791/", "unsafe", "3000ms", "huvo11a"),
        ("r-2", HOST, "/lohu930/", "safe", "4000ms", "huvo11a"),
    ]
    fleet.store.put_config(build_config("r3", routes, ["huvo11a"]))
    targets = [await fleet.add_target(machine) for machine in machines]
    for machine in machines:
        machine.start()
    await asyncio.sleep(1.0)
    for target in targets:
        target.start_beats()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(4.0)
    if TROUBLE:
        fleet.store.put_config(build_config("r7", routes, ["huvo11a"], 65_536))
    await asyncio.sleep(CONFIG_APPLY_S + 3.0)
    statuses = []
    for number in range(REQUESTS):
        is_large = TROUBLE and number % LARGE_IN == 0
        size = LARGE_HEAD if is_large else USUAL_HEAD
        statuses.append(await send(fleet, machines[number % 3], number, size))
        await asyncio.sleep(0.02)
    denied = sum(300 <= s < 500 and s not in (408, 421, 429) for s in statuses)
    allowed = 5 + len(statuses) / 500
    record.write(
        f"{denied} of {len(statuses)} requests ended with a 3xx or 4xx of the daemon, "
        f"{allowed:.1f} allowed; {statuses.count(200)} got 200"
    )
    return denied <= allowed


run_case(FOLDER, play)
