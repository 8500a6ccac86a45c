"""Run the demo: traffic, a gray failure, a drain and an edit of the table.

All results come from counts of the callers and of the simulated backend servers, not
of the daemons. ``demo.sh`` starts and stops the processes.
"""

import asyncio
import itertools
import json
import pathlib
import random
import sys
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import attrs
import cattrs
import msgspec

from demo_fleet import Fleet
from demo_traffic import CallerCounts, CallerGroup, CallerRequest, SendOutcome
from wagtailstep.commands.table_client import Proposal, TableClient
from wagtailstep.commands.table_edit import plan_row_change
from wagtailstep.models.settings import LogSettings, RequestSettings
from wagtailstep.models.status import DaemonStatus
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.daemon_client import DaemonClient
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.log_client import HttpLogService
from wagtailstep.utils.clock import LoopClock

REQUEST_RATES_PER_S = {
    "contracts": 100.0,
    "archive": 15.0,
    "staffroom": 40.0,
    "eventday": 15.0,
}
JOIN_TIMEOUT_S = 15
POLL_S = 0.05
DETECTION_QUIET_S = 1.0
NORMAL_TRAFFIC_S = 4
GRAY_FAILURE_S = 8
AFTER_DRAIN_S = 6
AFTER_EDIT_S = 3
CHAOS_PHASE_S = 4


@attrs.define
class Measurements:
    """Results in the last line of output that are not counted by the callers.

    :param detection_ms: time from the start of the gray failure to the last real
        request that failed at the backend server before it got none for
        ``DETECTION_QUIET_S``; -1 if requests kept reaching it.
    :param healthy_ejected: healthy targets that any daemon reported as ejected.
    :param config_in_force_ms: time from the acceptance of the table edit until it was
        in force at all daemons; -1 if that did not happen in time.
    """

    detection_ms: float = -1.0
    healthy_ejected: set[str] = attrs.field(factory=set)
    config_in_force_ms: float = -1.0


class Demo:
    """One run of the demo over the fleets of all users.

    :param fleets: the fleets with all addresses.
    :param seed: seed of all random choices.
    :param send_signal: requests that ``demo.sh`` sends a signal, given by name, to a
        daemon, given by its identifier.
    :param chaos: whether to kill and freeze daemons and make the log services
        unavailable instead of making the planned changes.
    """

    def __init__(
        self,
        fleets: list[Fleet],
        seed: int,
        send_signal: Callable[[str, str], None],
        chaos: bool,
    ) -> None:
        self.fleets = fleets
        self.seed = seed
        self.send_signal = send_signal
        self.chaos = chaos
        self.client = HttpClient(RequestSettings(), LoopClock())
        self.daemons = DaemonClient(self.client)
        self.measurements = Measurements()
        self.failing_target = ""
        self.leaving_daemon = f"staffroom-{random.Random(seed).randint(2, 20)}"
        self.callers = [
            self.create_callers(fleet, service)
            for fleet in fleets
            for service in fleet.user.services
        ]

    def create_callers(self, fleet: Fleet, service: str) -> CallerGroup:
        """Create the callers of one service."""
        entries = [instance.settings.caller_address for instance in fleet.instances]
        instances = [
            instance for instance in fleet.instances if instance.service == service
        ]
        # Direct lookups skip the first backend server, which gets the gray failure,
        # and the last one, which is drained.
        backends = [instance.backend_address for instance in instances[1:-1]]
        return CallerGroup(service, entries, backends, self.seed)

    async def run(self) -> None:
        """Run the whole demo."""
        await self.wait_for_fleets()
        stop = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for callers in self.callers:
                group.create_task(
                    callers.run(REQUEST_RATES_PER_S[callers.service], stop)
                )
            watcher = group.create_task(self.watch_ejections())
            await (self.run_chaos() if self.chaos else self.run_planned_changes())
            stop.set()
            watcher.cancel()

    async def run_planned_changes(self) -> None:
        """Cause a gray failure, then a drain, a daemon shutdown and a table edit."""
        print_progress(f"traffic={NORMAL_TRAFFIC_S}s")
        await asyncio.sleep(NORMAL_TRAFFIC_S)
        await self.fail_one_backend_server()
        await self.drain_one_backend_server()
        print_progress(f"daemon-exit={self.leaving_daemon}")
        self.send_signal("TERM", self.leaving_daemon)
        await asyncio.sleep(AFTER_DRAIN_S)
        await self.edit_table()
        await asyncio.sleep(AFTER_EDIT_S)

    async def run_chaos(self) -> None:
        """Freeze and kill daemons while the log services fail and recover."""
        rng = random.Random(self.seed)
        await asyncio.sleep(NORMAL_TRAFFIC_S)
        frozen, *killed = rng.sample(range(1, 21), 3)
        print_progress(f"freeze=contracts-{frozen} kill={killed}")
        self.send_signal("STOP", f"contracts-{frozen}")
        self.send_signal("KILL", f"contracts-{killed[0]}")
        await asyncio.sleep(CHAOS_PHASE_S)
        for fleet in self.fleets:
            body = b'{"away": true}'
            await self.send_command(fleet.log_address, "PUT", "/faults", body)
        print_progress("log=away")
        self.send_signal("KILL", f"contracts-{killed[1]}")
        await asyncio.sleep(CHAOS_PHASE_S)
        self.send_signal("CONT", f"contracts-{frozen}")
        print_progress(f"thaw=contracts-{frozen}")
        await asyncio.sleep(CHAOS_PHASE_S)
        for fleet in self.fleets:
            body = b'{"away": false, "lost_acknowledgments": 20}'
            await self.send_command(fleet.log_address, "PUT", "/faults", body)
        print_progress("log=back")
        await asyncio.sleep(CHAOS_PHASE_S)

    async def wait_for_fleets(self) -> None:
        """Wait until every daemon knows the table, all members and all targets."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + JOIN_TIMEOUT_S
        for fleet in self.fleets:
            while loop.time() < ends_at and not await self.has_joined(fleet):
                await asyncio.sleep(0.5)
            print_progress(f"joined={fleet.user.name} daemons={len(fleet.instances)}")

    async def has_joined(self, fleet: Fleet) -> bool:
        """Return whether all daemons of a fleet are up, with members and a table."""
        statuses = await self.read_statuses(fleet)
        size = len(fleet.instances)
        return len(statuses) == size and all(
            status.table_known
            and status.table_version > 0
            and status.members.get("alive") == size
            and status.targets != {}
            for status in statuses
        )

    async def read_statuses(self, fleet: Fleet) -> list[DaemonStatus]:
        """Return the statuses of the daemons that answer."""
        statuses = await asyncio.gather(
            *(
                self.daemons.fetch_status(instance.settings.caller_address)
                for instance in fleet.instances
            ),
            return_exceptions=True,
        )
        return [status for status in statuses if isinstance(status, DaemonStatus)]

    async def send_command(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> dict:
        """Send a command to a simulated service and return its JSON response."""
        callers = self.callers[0]
        request = callers.build_request(CallerRequest("", method, path, body), address)
        return msgspec.json.decode(
            await read_complete_body(await self.client.send(request))
        )

    async def fail_one_backend_server(self) -> None:
        """Make a backend server fail all requests while its health check passes."""
        instance = self.fleets[0].instances[0]
        address = instance.backend_address
        self.failing_target = f"{instance.service}/{address}"
        print_progress(f"gray-failure={self.failing_target}")
        await self.send_command(address, "PUT", "/faults", b'{"fail_share": 1.0}')
        await self.measure_detection(address)
        await self.send_command(address, "PUT", "/faults", b"{}")
        print_progress(
            f"detection_ms={self.measurements.detection_ms:.0f} failure=over"
        )

    async def measure_detection(self, address: str) -> None:
        """Measure for how long the failing backend server still gets requests."""
        loop = asyncio.get_running_loop()
        started = last_seen = loop.time()
        failed = 0
        while loop.time() < started + GRAY_FAILURE_S:
            counts = await self.send_command(address, "GET", "/counts")
            now = loop.time()
            if counts["failed"] > failed:
                failed = counts["failed"]
                last_seen = now
            if (
                now - last_seen > DETECTION_QUIET_S
                and self.measurements.detection_ms < 0
            ):
                self.measurements.detection_ms = (last_seen - started) * 1_000
            await asyncio.sleep(POLL_S)

    async def drain_one_backend_server(self) -> None:
        """Tell a backend server to announce that it leaves, so that it is drained."""
        instance = self.fleets[1].instances[-1]
        print_progress(f"drain={instance.service}/{instance.backend_address}")
        await self.send_command(instance.backend_address, "POST", "/drain")

    async def edit_table(self) -> None:
        """Change a weight and wait until it is in force at all daemons."""
        fleet = self.fleets[0]
        log = HttpLogService(LogSettings(address=fleet.log_address, timeout_ms=5_000))
        client = TableClient(log, LoopClock(), random.Random(self.seed))
        fold = await client.read_fold()
        instance = fleet.instances[2]
        target_id = f"{instance.service}/{instance.backend_address}"
        changes = plan_row_change(
            fold, "backend_server", target_id, {"weight": "0.5"}, False
        )
        edit = client.build_edit(fold.version, changes, Proposal("demo", "halve"))
        outcome = await client.propose(edit)
        loop = asyncio.get_running_loop()
        accepted_at = loop.time()
        print_progress(f"edit-accepted={outcome.edit_id}")
        while loop.time() < accepted_at + 9:
            statuses = await self.read_statuses(fleet)
            if all(status.table_version >= outcome.version for status in statuses):
                elapsed = loop.time() - accepted_at
                self.measurements.config_in_force_ms = elapsed * 1_000
                return
            await asyncio.sleep(POLL_S)
        behind = [s.daemon_id for s in statuses if s.table_version < outcome.version]
        print_progress(f"edit-not-in-force-at={behind} answered={len(statuses)}")

    async def watch_ejections(self) -> None:
        """Record every healthy target that a daemon reports as ejected."""
        while True:
            for fleet in self.fleets:
                for status in await self.read_statuses(fleet):
                    ejected = set(status.ejected) - {self.failing_target}
                    self.measurements.healthy_ejected |= ejected
            await asyncio.sleep(1)

    async def count_runs(self) -> Counter[str]:
        """Return how often each request ran, over all simulated backend servers.

        :raises RequestError: if the counts of a backend server can't be read.
        """
        runs: Counter[str] = Counter()
        for fleet in self.fleets:
            for instance in fleet.instances:
                address = instance.backend_address
                counts = await self.send_command(address, "GET", "/counts")
                runs.update(counts["runs"])
                if counts["late_work_ms"]:
                    print_progress(
                        f"last-work-after-leaving_ms={counts['late_work_ms']:.0f}"
                    )
        return runs

    async def report(self) -> int:
        """Print the line of results and return the exit code."""
        runs = await self.count_runs()
        all_counts = [callers.counts for callers in self.callers]
        refused = sum((Counter(t.refused) for t in all_counts), Counter())
        print_progress(f"refused={dict(refused)}")
        for reason in itertools.chain(*(t.interruption_details for t in all_counts)):
            print_progress(f"cut={reason}")
        non_idempotent = set().union(*(t.non_idempotent for t in all_counts))
        false_not_run = find_false_not_run_verdicts(all_counts, runs)
        violations = {
            "wrong_answers": sum(t.wrong_answers for t in all_counts),
            "doubled": sum(1 for key in non_idempotent if runs[key] > 1),
            "cut": sum(t.interrupted for t in all_counts),
            "false_not_run": len(false_not_run),
        }
        measurements = {
            "requests": sum(t.requests for t in all_counts),
            "answered": sum(t.answered for t in all_counts),
            **violations,
            "detection_ms": f"{self.measurements.detection_ms:.0f}",
            "false_ejections": len(self.measurements.healthy_ejected),
            "config_in_force_ms": f"{self.measurements.config_in_force_ms:.0f}",
            "added_ms_p50": f"{compute_added_latency_ms(all_counts, 0.5):.1f}",
            "added_ms_p99": f"{compute_added_latency_ms(all_counts, 0.99):.1f}",
        }
        print(
            " ".join(f"{key}={value}" for key, value in measurements.items()),
            flush=True,
        )
        if self.chaos:
            # A killed daemon interrupts transfers. That is no violation: the caller
            # sees that the outcome of its request is unknown.
            del violations["cut"]
        return 1 if any(violations.values()) else 0


def find_false_not_run_verdicts(
    all_counts: list[CallerCounts], runs: Counter[str]
) -> list[str]:
    """Return the non-idempotent requests that ran despite the verdict "not run".

    A request that was sent twice at the same time may be refused by one daemon and run
    by way of another, so a verdict is false only if there were more runs than sends
    without the verdict "not run". Prints the outcomes of each request that was both
    refused and run.
    """
    outcomes: dict[str, list[SendOutcome]] = {}
    for counts in all_counts:
        for item in counts.outcomes:
            outcomes.setdefault(item.key, []).append(item)
    false = []
    for key, items in outcomes.items():
        refused = [t for t in items if t.verdict == Verdict.NOT_RUN.value]
        if refused and runs[key]:
            print_progress(f"ran-and-refused={key} runs={runs[key]} told={items}")
        if runs[key] > len(items) - len(refused):
            false.append(key)
    return false


def compute_added_latency_ms(all_counts: list[CallerCounts], quantile: float) -> float:
    """Return a latency quantile through the fleet minus that of direct lookups."""
    fleet = sorted(ms for counts in all_counts for ms in counts.fleet_ms)
    direct = sorted(ms for counts in all_counts for ms in counts.direct_ms)
    if not fleet or not direct:
        return float("nan")
    return compute_quantile(fleet, quantile) - compute_quantile(direct, quantile)


def compute_quantile(ordered: list[float], quantile: float) -> float:
    """Return a quantile of values that are in ascending order."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


def print_progress(text: str) -> None:
    """Print a line about the progress of the demo to standard error."""
    print(f"demo {text}", file=sys.stderr, flush=True)


async def main(folder: pathlib.Path, seed: int, chaos: bool) -> int:
    """Run the demo whose plan ``demo_fleet.py`` wrote to a folder."""
    plan = json.loads((folder / "plan.json").read_text())
    fleets = cattrs.structure(plan, list[Fleet])

    def send_signal(signal: str, daemon_id: str) -> None:
        draft = folder / f"draft-{daemon_id}"
        draft.write_text(f"{signal} {daemon_id}\n")
        draft.rename(folder / f"signal-{signal}-{daemon_id}")

    demo = Demo(fleets, seed, send_signal, chaos)
    async with asyncio.timeout(timedelta(seconds=55).total_seconds()):
        await demo.run()
        return await demo.report()


async def run_script() -> int:
    """Run with the command-line arguments of ``demo.sh``: seed, folder, chaos."""
    seed, folder, chaos = sys.argv[1:]
    return await main(pathlib.Path(folder), int(seed), chaos == "1")


if __name__ == "__main__":
    sys.exit(asyncio.run(run_script()))
