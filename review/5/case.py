"""One heartbeat of another writer, without some fields, says that a target drains."""

import asyncio
import json
import pathlib

from fleet import exchange, run_case

HOST, SERVICE, PREFIX = "fixi12.example", "dele69a", "/lohu930/"
FLOOR_SHARE, WINDOW_S = 0.7, 2.0
REQUESTS_PER_S, SECONDS = 40, 30
ODD_AT_S, WORK_S = 6.0, 0.25


async def request(fleet, daemon, ends):
    request_id = fleet.next_id()
    headers = [
        ("Host", HOST),
        ("Wagtailstep-Request-Id", request_id),
        ("Wagtailstep-Timeout-Ms", "4000"),
    ]
    sent_at = fleet.record.now()
    fleet.record.write(f"client sends {request_id} to {daemon.name}")
    try:
        answer = await asyncio.wait_for(
            exchange(daemon.address("outbound"), b"GET", PREFIX + "2f", headers), 5
        )
        status = answer.status
    except (OSError, EOFError, asyncio.TimeoutError):
        status = 0
    ends.append((sent_at, status))
    fleet.record.write(f"client gets {status} for {request_id}")


def find_broken_windows(fleet, ends, first, last):
    """Return the spans of 2 s in which the floor rule is broken."""
    broken = []
    at = first
    while at + WINDOW_S <= last:
        statuses = [status for sent, status in ends if at <= sent < at + WINDOW_S]
        unserved = sum(status != 200 for status in statuses) / max(1, len(statuses))
        reached = {t.id for when, t, _ in fleet.arrivals if at <= when < at + WINDOW_S}
        share = len(reached) / len(fleet.targets)
        if 0 < share < FLOOR_SHARE and 0.1 < unserved < 0.5:
            broken.append((at, share, unserved))
        at += 0.5
    return broken


async def case(fleet, trouble):
    record = fleet.record
    await fleet.start_store()
    fleet.publish(
        7, [["r-1", HOST, PREFIX, "safe", "4000ms", "800ms", 1, SERVICE, 2, None]]
    )
    for _ in range(3):
        daemon = await fleet.add_daemon(SERVICE)
        await fleet.add_target(daemon, work_s=WORK_S)
    for daemon in fleet.daemons:
        await daemon.wait_ready()
    await asyncio.sleep(6)
    target = fleet.targets[0]
    ends, tasks = [], []
    started = record.now()
    for number in range(REQUESTS_PER_S * SECONDS):
        if trouble and number == int(REQUESTS_PER_S * ODD_AT_S):
            # Without zone, version, warmup-left, sequence and born.
            odd = {
                "service": SERVICE,
                "address": target.address,
                "slots": target.slots,
                "state": "draining",
            }
            status = await target.send_beat(json.dumps(odd).encode())
            record.write(f"heartbeat of another writer gets {status}: {odd}")
        daemon = fleet.daemons[number % 3]
        tasks.append(asyncio.create_task(request(fleet, daemon, ends)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    broken = find_broken_windows(fleet, ends, started + 2, started + SECONDS)
    last = max([when for when, t, _ in fleet.arrivals if t is target])
    beats = [status for when, status in target.beat_answers if when > last + 2]
    unserved = sum(status != 200 for _, status in ends)
    record.write(
        f"{len(ends)} requests, {unserved} not served; last request at {target.id} "
        f"{record.now() - last:.1f} s before the end, its heartbeats since: {beats}"
    )
    record.write(f"spans of 2 s with a broken floor: {len(broken)}: {broken[:3]}")
    return not broken


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
