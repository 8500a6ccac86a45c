"""A departed target gets requests again after a restart of all daemons.

All daemons are killed at one moment while the store turns away the machine beside the
departed target. A heartbeat of the target from before its leave arrives late.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from fleet import TROUBLE, CannotRun, build_config, run_case  # noqa: E402

HOST, PATH = "ficu95.example", "/pufi791/2f"
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# Of the heartbeat, from its sending to its arrival.
DELAY_S = 3.0


async def play(fleet):
    record = fleet.record
    machines = [
        await fleet.add_machine(z, "huvo11a") for z in ("bole", "piassa", "kirkos")
    ]
    routes = [("r-1", HOST, "/pufi791/", "unsafe", "3000ms", "huvo11a")]
    fleet.store.put_config(build_config("r3", routes, ["huvo11a"]))
    targets = [await fleet.add_target(machine) for machine in machines]
    for machine in machines:
        machine.start()
    await asyncio.sleep(1.0)
    for target in targets:
        target.start_beats()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)

    home, leaving = machines[0], targets[0]
    leaving.beating.cancel()
    held_up = leaving.build_beat()
    held_up_at = record.now()
    record.write(f"a heartbeat of {leaving.id} is sent and held up: {held_up}")
    await asyncio.sleep(0.1)
    acknowledged_at = await leaving.leave()
    if acknowledged_at is None:
        raise CannotRun("the leave was not acknowledged")
    await asyncio.sleep(0.4)
    started_at = 0.0
    if TROUBLE:
        fleet.store.refused.add(home.name)
        record.write(f"the store answers all calls of {home.name} with 503 from now on")
        for machine in machines:
            machine.send_signal(signal.SIGKILL)
        for machine in machines:
            await machine.wait_ended()
        await asyncio.sleep(0.5)
        for machine in machines:
            machine.start()
        started_at = record.now()
    await asyncio.sleep(max(0.0, held_up_at + DELAY_S - record.now()))
    await leaving.send_beat(held_up, "the heartbeat that was held up arrives")
    # All machines have run for the stable window again, and the drain time is over.
    judged_from = max(acknowledged_at + DRAIN_S, started_at + STABLE_WINDOW_S) + 0.5
    await asyncio.sleep(max(0.0, judged_from - record.now()))
    taken_at_home = set()
    while record.now() < judged_from + 3.0:
        for machine in machines:
            answer = await fleet.request(machine, HOST, PATH, "POST", b"deposit")
            if machine is home:
                taken_at_home.add(answer.id)
        await asyncio.sleep(0.1)
    reached = [
        run
        for run in fleet.runs
        if run.target is leaving and run.at > acknowledged_at + DRAIN_S
    ]
    # Only the machine that gave the acknowledgement is bound while the store is in
    # disruption.
    late = [run for run in reached if run.id in taken_at_home]
    served = sum(run.target is not leaving for run in fleet.runs)
    record.write(
        f"{len(reached)} requests reached the departed target later than {DRAIN_S} s "
        f"after the acknowledgement, {len(late)} of them from clients at {home.name}; "
        f"the other targets ran {served}"
    )
    if not served:
        raise CannotRun("no request was served by the other targets")
    return not late


run_case(FOLDER, play)
