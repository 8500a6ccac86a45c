"""Uploads whose first target rejects them before their body is in."""

import asyncio
import pathlib
import random

from fleet import CaseCannotRun, build_request, read_answer, run_case

HOST, SERVICE, PREFIX = "fixi12.example", "xano55b", "/pule252/"
UPLOADS_PER_S, SECONDS = 9, 16
BODY_BYTES, UPLOAD_S = 200_000, 0.5
DECLINE_SHARE = 0.4
# Two spells of six seconds, as in the site file.
SPELLS = ((0.0, 6.0), (9.0, 15.0))


async def upload(fleet, daemon, answers):
    """Send one upload as a client on an ordinary line does, and read the answer."""
    request_id = fleet.next_id()
    headers = [
        ("Host", HOST),
        ("Wagtailstep-Request-Id", request_id),
        ("Wagtailstep-Timeout-Ms", "8000"),
    ]
    fleet.record.write(f"client sends {request_id} to {daemon.name}")
    status, reason = 0, ""
    reader, writer = await asyncio.open_connection(*daemon.address("outbound"))
    try:
        head = build_request(b"POST", PREFIX + "2f", headers, length=BODY_BYTES)
        writer.write(head)
        reading = asyncio.create_task(read_answer(reader))
        parts = 20
        for _ in range(parts):
            if reading.done():
                break
            writer.write(b"x" * (BODY_BYTES // parts))
            await writer.drain()
            await asyncio.sleep(UPLOAD_S / parts)
        answer = await asyncio.wait_for(reading, 9)
        status = answer.status
        reason = answer.headers.get("wagtailstep-reason", "")
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    answers[request_id] = status
    fleet.record.write(f"client gets {status} {reason} for {request_id}")


async def case(fleet, trouble):
    await fleet.start_store()
    fleet.publish(
        7, [["r-1", HOST, PREFIX, "upload", "8000ms", "1000ms", 1, SERVICE, 2, None]]
    )
    rng = random.Random(1)
    began = None

    def decline(length):
        if not trouble or began is None or length <= 16_384:
            return False
        at = fleet.record.now() - began
        in_spell = any(start <= at < end for start, end in SPELLS)
        return in_spell and rng.random() < DECLINE_SHARE

    for number in range(3):
        daemon = await fleet.add_daemon(SERVICE)
        # Two of three targets are within the share 0.7.
        await fleet.add_target(daemon, decline=decline if number < 2 else None)
    for daemon in fleet.daemons:
        await daemon.wait_ready()
    await asyncio.sleep(5)
    began = fleet.record.now()
    answers, tasks = {}, []
    for number in range(UPLOADS_PER_S * SECONDS):
        daemon = fleet.daemons[number % 3]
        tasks.append(asyncio.create_task(upload(fleet, daemon, answers)))
        await asyncio.sleep(1 / UPLOADS_PER_S)
    await asyncio.gather(*tasks)
    if len(answers) < UPLOADS_PER_S * SECONDS:
        raise CaseCannotRun("uploads are missing")
    denied = [name for name, status in answers.items() if status == 400]
    counts = {s: list(answers.values()).count(s) for s in set(answers.values())}
    limit = 5 + len(answers) / 500
    fleet.record.write(f"statuses {counts}; 400: {len(denied)}, allowed {limit:.1f}")
    return len(denied) <= limit


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
