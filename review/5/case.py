"""A late heartbeat reaches a daemon that was killed after it acknowledged a DELETE."""

import asyncio
import pathlib
import signal

from fleet import exchange, run_case

HOST, SERVICE, PREFIX = "fixi12.example", "dele69a", "/bopu901/"
DRAIN_S, STABLE_S = 2.0, 3.0
REQUESTS_PER_S = 20
BEAT_LATE_S, EXIT_AFTER_S, DOWN_S = 4.0, 7.0, 1.0


async def request(fleet, daemon, answers):
    request_id = fleet.next_id()
    headers = [
        ("Host", HOST),
        ("Wagtailstep-Request-Id", request_id),
        ("Wagtailstep-Timeout-Ms", "3000"),
    ]
    fleet.record.write(f"client sends {request_id} to {daemon.name}")
    sent_at = fleet.record.now()
    try:
        answer = await asyncio.wait_for(
            exchange(daemon.address("outbound"), b"POST", PREFIX + "2f", headers, b"x"),
            4,
        )
        status = answer.status
    except (OSError, EOFError, asyncio.TimeoutError):
        status = 0
    answers.append((sent_at, request_id, status))
    fleet.record.write(f"client gets {status} for {request_id}")


async def send_requests(fleet, daemon, answers, until):
    tasks = []
    while not until.is_set():
        tasks.append(asyncio.create_task(request(fleet, daemon, answers)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def deliver_late(fleet, target, body, delay):
    await asyncio.sleep(delay)
    status = await target.send_beat(body)
    fleet.record.write(f"late heartbeat of {target.id} (ready) gets {status}")


async def case(fleet, trouble):
    record = fleet.record
    await fleet.start_store()
    fleet.publish(
        7, [["r-1", HOST, PREFIX, "unsafe", "3000ms", "800ms", 1, SERVICE, 2, None]]
    )
    for _ in range(3):
        daemon = await fleet.add_daemon(SERVICE)
        await fleet.add_target(daemon, work_s=0.27)
    for daemon in fleet.daemons:
        await daemon.wait_ready()
    await asyncio.sleep(STABLE_S + 1)

    entry, gate = fleet.daemons[0], fleet.daemons[2]
    target = fleet.targets[2]
    answers, until = [], asyncio.Event()
    traffic = asyncio.create_task(send_requests(fleet, entry, answers, until))
    await asyncio.sleep(2)

    # This heartbeat is under way for seconds; the target leaves meanwhile.
    target.beats.cancel()
    late = asyncio.create_task(
        deliver_late(fleet, target, target.build_beat(), BEAT_LATE_S)
    )
    await asyncio.sleep(1)
    status = await target.send_beat(b"", b"DELETE")
    acknowledged_at = record.now()
    record.write(f"DELETE of {target.id} gets {status}")
    started_at = 0.0
    await asyncio.sleep(0.2)
    if trouble:
        await gate.kill()
        await asyncio.sleep(DOWN_S)
        await gate.start()
        started_at = record.now()
    await asyncio.sleep(acknowledged_at + EXIT_AFTER_S - record.now())
    await target.exit()
    exited_at = record.now()
    # The platform stops the daemon after its target has terminated.
    gate.send_signal(signal.SIGTERM)
    await late
    await asyncio.sleep(3)
    until.set()
    await traffic

    bound = max(acknowledged_at + DRAIN_S, started_at + STABLE_S)
    arrived = [
        name for at, where, name in fleet.arrivals if where is target and at > bound
    ]
    statuses = dict((name, status) for _, name, status in answers)
    lost = [name for name in arrived if statuses.get(name) != 200]
    record.write(
        f"acknowledged {acknowledged_at:.2f}, restarted {started_at:.2f}, exited "
        f"{exited_at:.2f}; arrivals after {bound:.2f}: {len(arrived)}, not answered "
        f"with 200: {len(lost)}"
    )
    return not arrived


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
