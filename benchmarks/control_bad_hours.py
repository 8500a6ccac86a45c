"""Measure membership and dissemination during failures of many daemons.

Run with ``python -m benchmarks.control_bad_hours --seed=1``. A fleet of real
controllers on the in-memory bus loses an availability zone, is partitioned from a
region and reconnected, and has daemons restarted at a high rate.
"""

import pathlib
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs
import fire

from benchmarks.control import DESIGN_SETTINGS, build_shape
from benchmarks.control_fleet import (
    Load,
    MeasuredBus,
    build_fleet,
    restart_random_daemon,
)
from benchmarks.report import Report
from wagtailstep.fakes.control_bus import BusNode
from wagtailstep.models.fleet import MemberState

REPORT_PATH = pathlib.Path("docs/measurements/control_bad_hours.md")
DAEMONS = 200
REGION_ZONES = ("zone-00", "zone-01")
STEP = timedelta(seconds=0.5)
SETTLE_S = 8.0
PARTITION_S = 40.0
TIMEOUT_S = 90.0
RESTART_STEP_S = 0.25


@attrs.frozen
class FaultResult:
    """Convergence time and load after a failure.

    The names of the fields are the headings of the table. Loads are means over the
    observed daemons.

    :param name: the failure and the state that is waited for.
    :param seconds: time until the fleet reached this state; negative after a time-out.
    :param peak_bytes: most bytes per second sent and received in any time step.
    :param mean_bytes: mean bytes per second sent and received.
    :param cpu_percent: processor time of controllers and codec.
    """

    name: str
    seconds: float
    peak_bytes: float
    mean_bytes: float
    cpu_percent: float


def run_until(
    bus: MeasuredBus, name: str, has_converged: Callable[[], bool], timeout_s: float
) -> FaultResult:
    """Advance time until the fleet has converged or a time-out ends."""
    started = bus.clock.monotonic()
    rates, cpu_s, seconds = [], 0.0, -1.0
    while bus.clock.monotonic() - started < timedelta(seconds=timeout_s):
        bus.load = Load()
        bus.run(STEP)
        total = sum(bus.load.sent_bytes.values()) + bus.load.received_bytes
        rates.append(total / len(bus.observed) / STEP.total_seconds())
        cpu_s += bus.load.cpu_s / len(bus.observed)
        if has_converged():
            seconds = (bus.clock.monotonic() - started).total_seconds()
            break
    mean = sum(rates) / len(rates)
    cpu = 100 * cpu_s / (len(rates) * STEP.total_seconds())
    return FaultResult(name, seconds, max(rates), mean, cpu)


def get_daemons_in_zones(bus: MeasuredBus, zones: Iterable[str]) -> list[BusNode]:
    """Return the daemons in some availability zones."""
    requested_zones = set(zones)
    return [
        node
        for node in bus.nodes.values()
        if node.blackboard.this_member.availability_zone in requested_zones
    ]


def use_any_target_of(nodes: list[BusNode], daemon_ids: set[str]) -> bool:
    """Return whether any of these nodes still uses targets of given daemons."""
    return any(
        target.daemon_id in daemon_ids
        for node in nodes
        for target in node.blackboard.targets.values()
    )


def all_have_state(nodes: list[BusNode], names: set[str], state: MemberState) -> bool:
    """Return whether all of these nodes see the named members in a state.

    Members that a node has forgotten are not counted.
    """
    return all(
        node.blackboard.members[name].state is state
        for node in nodes
        for name in names
        if name in node.blackboard.members
    )


def all_consider_alive(nodes: list[BusNode]) -> bool:
    """Return whether all of these nodes consider each other alive."""
    names = {node.daemon_id for node in nodes}
    return all(
        names <= node.blackboard.members.keys() for node in nodes
    ) and all_have_state(nodes, names, MemberState.ALIVE)


def count_targets(nodes: list[BusNode]) -> int:
    """Return the number of targets in use, summed over nodes."""
    return sum(len(node.blackboard.targets) for node in nodes)


def lose_zone(bus: MeasuredBus) -> list[FaultResult]:
    """Stop all daemons of a zone at once."""
    lost_nodes = get_daemons_in_zones(bus, ["zone-00"])
    names = {node.daemon_id for node in lost_nodes}
    surviving_nodes = [
        node for node in bus.nodes.values() if node.daemon_id not in names
    ]
    bus.observed -= names
    for node in lost_nodes:
        bus.stop(node.daemon_id)
    return [
        run_until(
            bus,
            f"zone of {len(lost_nodes)} daemons lost: none of its targets in use",
            lambda: not use_any_target_of(surviving_nodes, names),
            TIMEOUT_S,
        ),
        run_until(
            bus,
            "zone lost: all its daemons known to be dead",
            lambda: all_have_state(surviving_nodes, names, MemberState.DEAD),
            TIMEOUT_S,
        ),
    ]


def lose_region(bus: MeasuredBus) -> list[FaultResult]:
    """Partition a region in both directions, then reconnect it."""
    inside = get_daemons_in_zones(bus, REGION_ZONES)
    names = {node.daemon_id for node in inside}
    outside = [node for node in bus.nodes.values() if node.daemon_id not in names]
    outside_names = {node.daemon_id for node in outside}
    bus.rules.block(sorted(names), sorted(outside_names))
    bus.rules.block(sorted(outside_names), sorted(names))
    used = count_targets(outside + inside)
    results = [
        run_until(
            bus,
            f"region of {len(inside)} daemons cut: no target across the cut in use",
            lambda: (
                not (
                    use_any_target_of(outside, names)
                    or use_any_target_of(inside, outside_names)
                )
            ),
            TIMEOUT_S,
        ),
        run_until(
            bus, f"region cut: the next {PARTITION_S:.0f} s", lambda: False, PARTITION_S
        ),
    ]
    bus.rules.blocked_links.clear()
    results.append(
        run_until(
            bus,
            "region back: 99 % of the targets in use again",
            lambda: count_targets(outside + inside) >= 0.99 * used,
            TIMEOUT_S,
        )
    )
    results.append(
        run_until(
            bus,
            "region back: all daemons hold each other for alive",
            lambda: all_consider_alive(outside + inside),
            TIMEOUT_S,
        )
    )
    return results


def restart_all(bus: MeasuredBus) -> list[FaultResult]:
    """Restart random daemons at a constant rate, half as many as the fleet has."""
    bus.load = Load()
    count = DAEMONS // 2
    remaining_restarts = iter(range(count))

    def restart_next() -> bool:
        for _ in range(round(STEP.total_seconds() / RESTART_STEP_S)):
            if next(remaining_restarts, None) is None:
                return True
            restart_random_daemon(bus)
        return False

    name = f"{1 / RESTART_STEP_S:.0f} restarts/s for {count * RESTART_STEP_S:.0f} s"
    return [run_until(bus, name, restart_next, TIMEOUT_S)]


def main(seed: int = 1) -> None:
    """Measure all failures and write the page of results.

    :param seed: seed of all random choices.
    """
    report = Report("Bad hours of the control plane", "control_bad_hours", seed)
    results: list[FaultResult] = []
    for cause_fault in (lose_zone, lose_region, restart_all):
        bus = build_fleet(build_shape(DAEMONS), DESIGN_SETTINGS, seed)
        results.append(
            run_until(bus, f"before: {cause_fault.__name__}", lambda: False, SETTLE_S)
        )
        results += cause_fault(bus)
        print(results, flush=True)
    report.add_text(
        f"{DAEMONS} daemons in 14 zones, renew {DESIGN_SETTINGS.renew_ms} ms, lease "
        f"{DESIGN_SETTINGS.lease_ms} ms. Bytes are those sent and received by one "
        "daemon. A time of -1 means that the state was not reached before the time-out."
    )
    headings = [field.name for field in attrs.fields(FaultResult)]
    rows = [
        [
            result.name,
            f"{result.seconds:.1f}",
            f"{result.peak_bytes:.0f}",
            f"{result.mean_bytes:.0f}",
            f"{result.cpu_percent:.2f}",
        ]
        for result in results
    ]
    report.add_table(headings, rows)
    line = (
        f"zone_lost_lapse_s={results[1].seconds:.1f} "
        f"zone_lost_dead_s={results[2].seconds:.1f} "
        f"region_cut_lapse_s={results[4].seconds:.1f} "
        f"region_back_targets_s={results[6].seconds:.1f} "
        f"region_back_members_s={results[7].seconds:.1f} "
        f"peak_bytes_per_s={max(result.peak_bytes for result in results):.0f}"
    )
    report.write(REPORT_PATH, line)
    print(line)


if __name__ == "__main__":
    fire.Fire(main)
