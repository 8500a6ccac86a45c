"""Measure the cost of evidence to a daemon: processor time, memory and bytes.

Run as ``python -m benchmarks.detection_cost --seed=1``. Writes
``docs/measurements/detection_cost.md``.
"""

import pathlib
import platform
import random
import subprocess
import time
import tracemalloc
from datetime import timedelta

import attrs
import fire

from benchmarks.detection_simulation import Simulation
from benchmarks.detection_users import ADDIS
from wagtailstep.controllers.evidence import EvidenceController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import Tick
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.request import AttemptEnded, Blame, RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock

REPORT_PATH = (
    pathlib.Path(__file__).parent.parent / "docs/measurements/detection_cost.md"
)
OUTCOME_COUNT = 20_000
TICK_COUNT = 300
OUTCOMES_PER_S = 200
ROUTE_COUNT = 3
SIZES = ((20, 1), (80, 2), (320, 8), (960, 24))
DAEMON_COUNTS = (13, 26, 52)


@attrs.frozen
class Cost:
    """Cost of evidence for some number of targets and services.

    :param targets: targets that the daemon sends requests to, over all services.
    :param services: services that it sends requests to.
    :param outcome_us: microseconds for one outcome.
    :param tick_us: microseconds for one tick.
    :param kilobytes: memory of the evidence.
    """

    targets: int
    services: int
    outcome_us: float
    tick_us: float
    kilobytes: float


def create_controller(
    targets: int, services: int, seed: int
) -> tuple[EvidenceController, ManualClock, list[str]]:
    """Create an evidence controller that knows targets of several services."""
    names = [f"s{number % services}/10.0.{number}.1:80" for number in range(targets)]
    targets_by_name = {
        name: Target(name, name.partition("/")[0], f"d{number}", f"z{number % 3}")
        for number, name in enumerate(names)
    }
    requested_services = tuple(f"s{number}" for number in range(services))
    members = {
        f"d{number}": Member(
            f"d{number}", 0, f"d{number}", "", "z0", requested_services
        )
        for number in range(26)
    }
    board = Blackboard(members["d0"], members=members, targets=targets_by_name)
    addresses = [f"127.0.0.1:{port}" for port in range(9_001, 9_005)]
    settings = DaemonSettings("d0", "z0", *addresses)
    clock = ManualClock()
    controller = EvidenceController(settings, board, clock, random.Random(seed))
    return controller, clock, names


def build_outcome(name: str, route: int, rng: random.Random) -> AttemptEnded:
    """Build the outcome of a successful request."""
    service = name.partition("/")[0]
    request = RequestContext(
        "r", service, f"route{route}", "", "GET", "/", True, None, timedelta()
    )
    latency = timedelta(seconds=0.02 * rng.lognormvariate(0, 0.5))
    return AttemptEnded(request, name, Verdict.RUN, 200, Blame.NONE, latency)


def measure_size(targets: int, services: int, seed: int) -> Cost:
    """Measure the cost for some number of targets and services."""
    rng = random.Random(seed)
    controller, clock, names = create_controller(targets, services, seed)
    outcomes = [
        build_outcome(rng.choice(names), rng.randrange(ROUTE_COUNT), rng)
        for _ in range(OUTCOME_COUNT)
    ]
    tracemalloc.start()
    for name in names:
        for route in range(ROUTE_COUNT):
            controller.handle(build_outcome(name, route, rng))
    kilobytes = tracemalloc.get_traced_memory()[0] / 1_000
    tracemalloc.stop()
    step = timedelta(seconds=1 / OUTCOMES_PER_S)
    started = time.process_time()
    for outcome in outcomes:
        clock.advance(step)
        controller.handle(outcome)
    outcome_us = (time.process_time() - started) / OUTCOME_COUNT * 1e6
    started = time.process_time()
    for _ in range(TICK_COUNT):
        clock.advance(timedelta(milliseconds=100))
        controller.handle(Tick())
    tick_us = (time.process_time() - started) / TICK_COUNT * 1e6
    return Cost(targets, services, outcome_us, tick_us, kilobytes)


def measure_bytes(daemons: int, seed: int) -> float:
    """Return the bytes per second that a daemon sends if all targets are healthy."""
    scenario = attrs.evolve(ADDIS[0], daemons=daemons, end_s=10.0)
    simulation = Simulation(scenario, seed).run()
    return simulation.bytes_sent / scenario.end_s / daemons


def main(seed: int = 1) -> None:
    """Measure all sizes, and print and write the tables.

    :param seed: seed of all random choices.
    """
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    lines = [
        "# Cost of evidence for one daemon",
        "",
        f"`python -m benchmarks.detection_cost --seed={seed}`, commit {commit}, "
        f"{platform.machine()}, Python {platform.python_version()}; processor time. "
        f"{ROUTE_COUNT} routes per service; memory for all targets, and for one target "
        "and route.",
        "",
        "| targets | services | us an outcome | us a tick | kB | kB a route |",
        "|---|---|---|---|---|---|",
    ]
    for targets, services in SIZES:
        cost = measure_size(targets, services, seed)
        kilobytes_per_route = cost.kilobytes / targets / ROUTE_COUNT
        lines.append(
            f"| {targets} | {services} | {cost.outcome_us:.1f} | {cost.tick_us:.0f} "
            f"| {cost.kilobytes:.0f} | {kilobytes_per_route:.2f} |"
        )
        print(lines[-1], flush=True)
    lines += [
        "",
        "Bytes of evidence that a daemon sends, mean over all daemons, with 20 healthy "
        "targets that get 20 requests a second each:",
        "",
        "| daemons | bytes a second |",
        "|---|---|",
    ]
    for daemons in DAEMON_COUNTS:
        lines.append(f"| {daemons} | {measure_bytes(daemons, seed):.0f} |")
        print(lines[-1], flush=True)
    REPORT_PATH.write_text("\n".join([*lines, ""]))


if __name__ == "__main__":
    fire.Fire(main)
