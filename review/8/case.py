"""A departure is acknowledged although it is recorded nowhere; all processes are killed.

A late heartbeat then brings the departed target back, and it gets new work.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from lab import Lab, Target, now, run_case  # noqa: E402

DRAIN_S = 2.0  # bound `drain`
STABLE_S = 3.0  # bound `stable-window`
OUTAGE_S = 4.5  # the store is down (`platform_down`, `busy`)
DOWN_S = 0.9  # pause between the kill and the start of the processes
LATE_S = 4.6  # how late the heartbeat arrives
STAY_S = 14.0  # for how long the target goes on to serve


async def play(lab: Lab):
    machines = [await lab.add_machine(zone, "alpha") for zone in ("bole", "piassa", "kirkos")]
    lab.configure(1, [("lookup", "/lookup/", "safe", "4000ms", "alpha", 2)])
    targets = [
        Target(lab, machine, "alpha", f"i-{machine.name}") for machine in machines
    ]
    for machine, target in zip(machines, targets, strict=True):
        machine.start()
        await target.start()
    for machine in machines:
        assert await machine.wait_ready()
    await asyncio.sleep(STABLE_S + 2)

    # The target of the first machine leaves; it is one that never reports `draining`.
    leaving = targets[0]
    if lab.trouble:
        lab.note("store-down")
        lab.store.modes = {machine.name: "busy" for machine in machines}
    await asyncio.sleep(0.5)
    leaving.beating.cancel()
    late_beat = leaving.build_beat()
    beat_sent_at = now()
    await asyncio.sleep(0.2)
    if not await leaving.withdraw():
        return None
    acknowledged_at = now()
    await asyncio.sleep(0.5)
    if lab.trouble:
        for machine in machines:
            machine.signal(signal.SIGKILL)
        for machine in machines:
            await machine.process.wait(5)
        await asyncio.sleep(DOWN_S)
        for machine in machines:
            machine.start()
        started_at = now()
        await asyncio.sleep(max(0, beat_sent_at - 0.7 + OUTAGE_S - now()))
        lab.note("store-up")
        lab.store.modes = {}
        calm_at = max(now(), started_at)
    else:
        calm_at = now()
    await asyncio.sleep(max(0, beat_sent_at + LATE_S - now()))
    lab.note("late-beat-arrives", target=leaving.name, sequence=late_beat["sequence"])
    await leaving.call("PUT", late_beat)

    # From now on all machines are in touch.
    await asyncio.sleep(max(0, calm_at + STABLE_S + 0.5 - now()))
    for machine in machines:
        assert await machine.wait_ready(5)
    judged_from = now()
    lab.note("judged-from-here")
    serial = 0
    while now() < acknowledged_at + STAY_S:
        serial += 1
        await lab.ask(machines[serial % 3], "GET", f"/lookup/{serial}")
        await asyncio.sleep(0.05)
    late = [
        run
        for run in lab.runs
        if run[2] is leaving and run[0] > max(judged_from, acknowledged_at + DRAIN_S)
    ]
    lab.note("late-requests", target=leaving.name, count=len(late), asked=serial)
    return bool(late)


if __name__ == "__main__":
    run_case(HERE, play)
