"""Measure bytes, processor time and memory of membership and dissemination.

Run with ``python -m benchmarks.control --seed=1``. The controllers of whole fleets run
on an in-memory bus with a manual clock. A few daemons are observed; only their messages
are encoded and decoded. ``--largest=600`` skips the largest fleet, which takes minutes.
"""

import pathlib

import attrs
import fire

from benchmarks.control_channel import ChannelCost, measure_channel
from benchmarks.control_fleet import (
    FleetShape,
    Load,
    build_fleet,
    count_lapsed_leases,
    count_missing_targets,
    make_fleet_pull_only,
    measure_load,
    schedule_restarts,
)
from benchmarks.control_memory import MemoryUse, measure_memory
from benchmarks.report import Report, fit_slope
from wagtailstep.models.settings import MembershipSettings

REPORT_PATH = pathlib.Path("docs/measurements/control.md")
DESIGN_DAEMONS = 1_800
DESIGN_SERVICES = 460
RESTARTS_PER_DAY = 5_800 + 66
DESIGN_SETTINGS = MembershipSettings(renew_ms=1_000, lease_ms=3_000)
SLOW_SETTINGS = MembershipSettings(renew_ms=1_500, lease_ms=4_500)
DEFAULT_SETTINGS = MembershipSettings()
WARM_UP_S = 5.0
DURATION_S = 6.0
RESTARTS_PER_S = 5
BASE_MEMORY_MB = 44.0


@attrs.frozen
class Case:
    """Parameters of one measured fleet.

    :param name: the parameter that differs from the other cases.
    :param shape: size and services of the fleet.
    :param settings: membership settings of its daemons.
    :param pull_only: whether heartbeats are only pulled, never pushed.
    :param restarts: daemons restarted per second.
    """

    name: str
    shape: FleetShape
    settings: MembershipSettings = DESIGN_SETTINGS
    pull_only: bool = False
    restarts: int = 0


@attrs.frozen
class Result:
    """Load and errors of the observed daemons in one case.

    :param case: the case.
    :param interested: mean number of members with targets that a daemon needs.
    :param load: mean load of one daemon, per second.
    :param lapses: leases of healthy targets that lapsed during the measurement.
    :param missing: targets that the daemons did not know at the end.
    :param needed: targets that they should have known.
    """

    case: Case
    interested: float
    load: Load
    lapses: int
    missing: int
    needed: int

    @property
    def sent_bytes(self) -> float:
        """Return bytes sent per second."""
        return sum(self.load.sent_bytes.values())

    @property
    def total_bytes(self) -> float:
        """Return bytes sent and received per second."""
        return self.sent_bytes + self.load.received_bytes

    @property
    def messages(self) -> float:
        """Return messages sent and received per second."""
        return sum(self.load.sent.values()) + self.load.received


def build_shape(
    daemons: int, wants: int = 6, targets_per_service: int = 4
) -> FleetShape:
    """Build a fleet shape with the design size's ratio of services to daemons."""
    services = max(2, round(daemons * DESIGN_SERVICES / DESIGN_DAEMONS))
    return FleetShape(daemons, services, 3, wants, targets_per_service)


def build_cases(largest: int) -> list[Case]:
    """Return all cases, the fastest ones first."""
    current_shape = FleetShape(26, 2, 1, 1, 1)
    cases = [
        Case("today", current_shape, DEFAULT_SETTINGS),
        Case("today, pull only", current_shape, DEFAULT_SETTINGS, pull_only=True),
    ]
    cases += [Case("pull only", build_shape(200), pull_only=True)]
    cases += [Case("targets", build_shape(200, 6, count)) for count in (1, 10)]
    cases += [Case("wanted services", build_shape(200, count)) for count in (0, 12, 24)]
    cases += [Case("restarts", build_shape(200), restarts=RESTARTS_PER_S)]
    cases += [Case("default settings", build_shape(200), DEFAULT_SETTINGS)]
    sizes = [count for count in (50, 200, 600, 1_800) if count <= largest]
    cases += [Case("daemons", build_shape(count)) for count in sizes]
    return cases + [Case("slower renewals", build_shape(sizes[-1]), SLOW_SETTINGS)]


def run_case(case: Case, seed: int) -> Result:
    """Run one fleet and observe some of its daemons."""
    bus = build_fleet(case.shape, case.settings, seed)
    if case.pull_only:
        make_fleet_pull_only(bus)
    if case.restarts:
        schedule_restarts(bus, case.restarts, WARM_UP_S, WARM_UP_S + DURATION_S)
    load = measure_load(bus, WARM_UP_S, DURATION_S)
    observed = [bus.nodes[name] for name in bus.observed]
    interested = [
        len(node.controllers[1].interest.needed_by_member) for node in observed
    ]
    missing, needed = count_missing_targets(bus)
    mean = sum(interested) / len(interested)
    lapses = count_lapsed_leases(bus) - bus.lapses_before
    return Result(case, mean, load, lapses, missing, needed)


def format_result(result: Result) -> list[str]:
    """Return the cells of one row of the table."""
    shape = result.case.shape
    return [
        result.case.name,
        f"{shape.daemons}",
        f"{shape.targets}",
        f"{shape.services}",
        f"{result.interested:.0f}",
        f"{result.sent_bytes:.0f}",
        f"{result.load.received_bytes:.0f}",
        f"{result.messages:.0f}",
        f"{result.load.cpu_s * 100:.2f}",
        f"{result.lapses}",
        f"{result.missing} of {result.needed}",
    ]


HEADINGS = [
    "varied",
    "daemons",
    "targets",
    "services",
    "interested daemons",
    "sent B/s",
    "received B/s",
    "messages/s",
    "CPU %",
    "false lapses",
    "missing targets",
]


def summarize_figures(
    results: list[Result], memory: list[MemoryUse], cost: ChannelCost, report: Report
) -> dict[str, float]:
    """Fit slopes, add them to the report and return the figures at design size."""
    interest_results = [
        r for r in results if r.case.name in ("daemons", "wanted services")
    ]
    by_interest = fit_slope([(r.interested, r.total_bytes) for r in interest_results])
    cpu_slope = fit_slope(
        [(r.interested, r.load.cpu_s * 100) for r in interest_results]
    )
    largest = max(
        (r for r in results if r.case.name == "daemons"),
        key=lambda r: r.case.shape.daemons,
    )
    without_restarts = next(
        r for r in results if r.case == Case("daemons", build_shape(200))
    )
    with_restarts = next(r for r in results if r.case.restarts)
    per_restart = (
        with_restarts.total_bytes - without_restarts.total_bytes
    ) / with_restarts.case.restarts
    restarts = per_restart * RESTARTS_PER_DAY / 86_400
    channel_cpu = 100 * largest.messages / 2 * cost.seconds_per_message
    table = fit_slope([(use.members, use.table_bytes) for use in memory])
    report.add_text(
        f"Bytes/s both ways against interested daemons: {by_interest[0]:.0f} "
        f"+ {by_interest[1]:.1f} each. CPU %: {cpu_slope[0]:.2f} + "
        f"{cpu_slope[1]:.4f} each. One restart costs each daemon {per_restart:.0f} "
        f"bytes; {RESTARTS_PER_DAY} a day are {restarts:.0f} B/s. Memory: "
        f"{table[1]:.0f} bytes a member. The channel costs "
        f"{cost.seconds_per_message * 1e6:.0f} µs of processor time for a message "
        f"sent and received, {cost.seconds_per_connection * 1e6:.0f} µs for a new "
        f"connection; at {largest.case.shape.daemons} daemons that is "
        f"{channel_cpu:.2f} % of a core, without connections."
    )
    memory_mb = (table[0] + table[1] * DESIGN_DAEMONS) / 1e6
    return {
        "control_bytes_per_s_at_1800": largest.total_bytes + restarts,
        "control_cpu_percent_at_1800": largest.load.cpu_s * 100 + channel_cpu,
        "control_memory_mb_at_1800": memory_mb,
    }


def main(seed: int = 1, largest: int = DESIGN_DAEMONS) -> None:
    """Measure all cases and write the page of results.

    :param seed: seed of all random choices.
    :param largest: largest number of daemons of a fleet to run.
    """
    report = Report("Membership and dissemination", "control", seed)
    cost = measure_channel()
    print(f"channel: {cost}", flush=True)
    memory = [measure_memory(count) for count in (200, 600, 1_800)]
    print(f"memory: {memory}", flush=True)
    results = []
    for case in build_cases(largest):
        results.append(run_case(case, seed))
        print(" ".join(format_result(results[-1])), flush=True)
    report.add_text(
        "Bytes are encoded messages with sender and logical time, without the "
        "headers of ZeroMQ, TCP and IP. CPU is that of controllers and codec. "
        f"Settings: renew {DESIGN_SETTINGS.renew_ms} ms, lease "
        f"{DESIGN_SETTINGS.lease_ms} ms; in rows `today` and `default settings` "
        f"{DEFAULT_SETTINGS.renew_ms} and {DEFAULT_SETTINGS.lease_ms} ms, in "
        f"`slower renewals` {SLOW_SETTINGS.renew_ms} and {SLOW_SETTINGS.lease_ms} ms."
    )
    report.add_table(HEADINGS, [format_result(result) for result in results])
    report.add_table(
        ["members", "member table and targets, bytes"],
        [[f"{use.members}", f"{use.table_bytes}"] for use in memory],
    )
    figures = summarize_figures(results, memory, cost, report)
    line = " ".join(f"{key}={value:.2f}" for key, value in figures.items())
    report.write(REPORT_PATH, line)
    print(line)


if __name__ == "__main__":
    fire.Fire(main)
