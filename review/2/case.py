"""A daemon is terminated in a deployment whose grace is ten seconds."""

import asyncio
import pathlib
import signal

from fleet import exchange, run_case

HOST, SERVICE, PREFIX = "fixi12.example", "dele69a", "/bopu901/"
GRACE_S, ROUTE_TIMEOUT_S = 10.0, 6.0
REQUESTS_PER_S, SECONDS, TERM_AT_S = 25, 16, 6.0
# The sheet's requests last 0.69 s, one in a hundred five times as long, 5.2 s at most.
WORK_S, LONG_WORK_S = 0.69, 4.8
LONG_SENT_S = (0.8, 1.1, 1.4)


async def request(fleet, daemon, ends, prefix):
    request_id = fleet.next_id()
    headers = [
        ("Host", HOST),
        ("Wagtailstep-Request-Id", request_id),
        ("Wagtailstep-Timeout-Ms", "12000"),
    ]
    sent_at = fleet.record.now()
    fleet.record.write(f"client sends {request_id} {prefix} to {daemon.name}")
    status = 0
    try:
        answer = await asyncio.wait_for(
            exchange(daemon.address("outbound"), b"POST", prefix, headers, b"x"), 14
        )
        status = answer.status
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    ended_at = fleet.record.now()
    ends.append((request_id, daemon, sent_at, ended_at, status))
    what = f"gets {status}" if status else "sees its connection end without an answer"
    fleet.record.write(f"client {what} for {request_id} after {ended_at - sent_at:.2f} s")


async def stop_after_grace(daemon):
    try:
        await asyncio.wait_for(daemon.process.wait(), GRACE_S)
    except asyncio.TimeoutError:
        daemon.send_signal(signal.SIGKILL)


async def case(fleet, trouble):
    record = fleet.record
    await fleet.start_store()
    fleet.publish(
        7, [["r-1", HOST, PREFIX, "unsafe", "6000ms", "2000ms", 1, SERVICE, 2, None]]
    )
    for _ in range(6):
        daemon = await fleet.add_daemon(SERVICE)
        target = await fleet.add_target(daemon, slots=5, work_s=WORK_S)
        target.work_of = {PREFIX + "long": LONG_WORK_S}
    for daemon in fleet.daemons:
        await daemon.wait_ready()
    await asyncio.sleep(4)
    leaving, others = fleet.daemons[0], fleet.daemons[1:]
    ends, tasks = [], []
    terminated_at, in_rotation, misses, stopping = None, True, 0, None
    long_left = list(LONG_SENT_S)
    started = record.now()
    number, next_check = 0, started
    while (now := record.now()) < started + SECONDS:
        if terminated_at is None and now >= started + TERM_AT_S:
            terminated_at = now
            if trouble:
                leaving.send_signal(signal.SIGTERM)
                stopping = asyncio.create_task(stop_after_grace(leaving))
        if now >= next_check:
            # As the platform does, each second; two misses take a daemon out.
            next_check = now + 1
            misses = 0 if await leaving.is_ready() else misses + 1
            in_rotation = misses < 2
        if terminated_at is not None and long_left:
            if now >= terminated_at + long_left[0]:
                long_left.pop(0)
                daemon = leaving if in_rotation else others[0]
                coroutine = request(fleet, daemon, ends, PREFIX + "long")
                tasks.append(asyncio.create_task(coroutine))
        daemons = fleet.daemons if in_rotation else others
        daemon = daemons[number % len(daemons)]
        number += 1
        coroutine = request(fleet, daemon, ends, PREFIX + "2f")
        tasks.append(asyncio.create_task(coroutine))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    if stopping is not None:
        await stopping
    passed_on = {name for _, _, name in fleet.arrivals}
    lost = [
        (name, round(sent_at - terminated_at, 2), round(ended_at - terminated_at, 2))
        for name, daemon, sent_at, ended_at, status in ends
        if daemon is leaving
        and not status
        and name in passed_on
        and sent_at <= terminated_at + 3
        # Work in the last sixth of grace and at the route's timeout is excused.
        and ended_at < terminated_at + GRACE_S * 5 / 6
        and ended_at < sent_at + ROUTE_TIMEOUT_S
    ]
    record.write(
        f"{len(ends)} requests; cut without an answer, as id, sent and cut in seconds "
        f"after SIGTERM: {lost}"
    )
    return not lost


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
