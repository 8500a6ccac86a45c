"""The run of the demo: traffic, a gray failure, a drain and an edit of the table.

Everything is counted by the callers and the stand-ins. It starts no process and ends
none; ``demo.sh`` does.
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
from demo_traffic import Callers, Sending, Tally, Told
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

RATES = {"contracts": 100.0, "archive": 15.0, "staffroom": 40.0, "eventday": 15.0}
JOIN_TIMEOUT_S = 15
POLL_S = 0.05
QUIET_S = 1.0
BEFORE_FAULT_S = 4
FAULT_S = 8
AFTER_DRAIN_S = 6
AFTER_EDIT_S = 3
CHAOS_STEP_S = 4


@attrs.define
class Figures:
    """What the last line shows, apart from the callers' own counts.

    :param detection_ms: from the fault's start until no real request reached the
        sick backend server for a second; -1 if that did not happen.
    :param healthy_ejected: healthy targets that a daemon named as ejected.
    :param config_in_force_ms: from acceptance until all daemons had the edit.
    """

    detection_ms: float = -1.0
    healthy_ejected: set[str] = attrs.field(factory=set)
    config_in_force_ms: float = -1.0


class Demo:
    """One run over the fleets of all users.

    :param fleets: where everything is.
    :param seed: seed of all choices.
    :param send_signal: has the shell send a signal, by name, to a daemon.
    :param chaos: whether daemons are killed and frozen and the log goes away
        instead of the planned changes.
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
        self.figures = Figures()
        self.sick = ""
        self.leaving_daemon = f"staffroom-{random.Random(seed).randint(2, 20)}"
        self.callers = [
            self.make_callers(fleet, service)
            for fleet in fleets
            for service in fleet.user.services
        ]

    def make_callers(self, fleet: Fleet, service: str) -> Callers:
        """Return the callers of one service."""
        entries = [place.settings.caller_address for place in fleet.places]
        places = [place for place in fleet.places if place.service == service]
        # Direct lookups spare the servers that fail or leave.
        backends = [place.backend_address for place in places[1:-1]]
        return Callers(service, entries, backends, self.seed)

    async def run(self) -> None:
        """Run the whole demo."""
        await self.wait_for_fleets()
        stop = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for callers in self.callers:
                group.create_task(callers.run(RATES[callers.service], stop))
            watcher = group.create_task(self.watch_ejections())
            await (self.play_chaos() if self.chaos else self.play())
            stop.set()
            watcher.cancel()

    async def play(self) -> None:
        """Cause one failure and planned change after the other."""
        say(f"traffic={BEFORE_FAULT_S}s")
        await asyncio.sleep(BEFORE_FAULT_S)
        await self.fail_one_backend_server()
        await self.drain_one_backend_server()
        say(f"daemon-exit={self.leaving_daemon}")
        self.send_signal("TERM", self.leaving_daemon)
        await asyncio.sleep(AFTER_DRAIN_S)
        await self.edit_table()
        await asyncio.sleep(AFTER_EDIT_S)

    async def play_chaos(self) -> None:
        """Freeze and kill daemons while the log goes away and comes back."""
        rng = random.Random(self.seed)
        await asyncio.sleep(BEFORE_FAULT_S)
        frozen, *killed = rng.sample(range(1, 21), 3)
        say(f"freeze=contracts-{frozen} kill={killed}")
        self.send_signal("STOP", f"contracts-{frozen}")
        self.send_signal("KILL", f"contracts-{killed[0]}")
        await asyncio.sleep(CHAOS_STEP_S)
        for fleet in self.fleets:
            body = b'{"away": true}'
            await self.ask_backend(fleet.log_address, "PUT", "/faults", body)
        say("log=away")
        self.send_signal("KILL", f"contracts-{killed[1]}")
        await asyncio.sleep(CHAOS_STEP_S)
        self.send_signal("CONT", f"contracts-{frozen}")
        say(f"thaw=contracts-{frozen}")
        await asyncio.sleep(CHAOS_STEP_S)
        for fleet in self.fleets:
            body = b'{"away": false, "lost_acknowledgments": 20}'
            await self.ask_backend(fleet.log_address, "PUT", "/faults", body)
        say("log=back")
        await asyncio.sleep(CHAOS_STEP_S)

    async def wait_for_fleets(self) -> None:
        """Wait until every daemon knows the table, all members and all targets."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + JOIN_TIMEOUT_S
        for fleet in self.fleets:
            while loop.time() < ends_at and not await self.has_joined(fleet):
                await asyncio.sleep(0.5)
            say(f"joined={fleet.user.name} daemons={len(fleet.places)}")

    async def has_joined(self, fleet: Fleet) -> bool:
        """Return whether all daemons of a fleet are up and know each other."""
        statuses = await self.read_statuses(fleet)
        size = len(fleet.places)
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
                self.daemons.fetch_status(place.settings.caller_address)
                for place in fleet.places
            ),
            return_exceptions=True,
        )
        return [status for status in statuses if isinstance(status, DaemonStatus)]

    async def ask_backend(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> dict:
        """Send a command to a stand-in and return its JSON answer."""
        callers = self.callers[0]
        request = callers.make_request(Sending("", method, path, body), address)
        return msgspec.json.decode(
            await read_complete_body(await self.client.send(request))
        )

    async def fail_one_backend_server(self) -> None:
        """Make a backend server fail all real work while its health check passes."""
        place = self.fleets[0].places[0]
        address = place.backend_address
        self.sick = f"{place.service}/{address}"
        say(f"gray-failure={self.sick}")
        await self.ask_backend(address, "PUT", "/faults", b'{"fail_share": 1.0}')
        await self.measure_detection(address)
        await self.ask_backend(address, "PUT", "/faults", b"{}")
        say(f"detection_ms={self.figures.detection_ms:.0f} failure=over")

    async def measure_detection(self, address: str) -> None:
        """Watch how long the sick backend server still gets real requests."""
        loop = asyncio.get_running_loop()
        started = last_seen = loop.time()
        failed = 0
        while loop.time() < started + FAULT_S:
            counts = await self.ask_backend(address, "GET", "/counts")
            now = loop.time()
            if counts["failed"] > failed:
                failed = counts["failed"]
                last_seen = now
            if now - last_seen > QUIET_S and self.figures.detection_ms < 0:
                self.figures.detection_ms = (last_seen - started) * 1_000
            await asyncio.sleep(POLL_S)

    async def drain_one_backend_server(self) -> None:
        """Have a backend server leave, and check when its last new work came."""
        place = self.fleets[1].places[-1]
        say(f"drain={place.service}/{place.backend_address}")
        await self.ask_backend(place.backend_address, "POST", "/drain")

    async def edit_table(self) -> None:
        """Change a weight and wait until it is in force at all daemons."""
        fleet = self.fleets[0]
        log = HttpLogService(LogSettings(address=fleet.log_address, timeout_ms=5_000))
        client = TableClient(log, LoopClock(), random.Random(self.seed))
        fold = await client.read_fold()
        place = fleet.places[2]
        target_id = f"{place.service}/{place.backend_address}"
        changes = plan_row_change(
            fold, "backend_server", target_id, {"weight": "0.5"}, False
        )
        edit = client.build_edit(fold.version, changes, Proposal("demo", "halve"))
        outcome = await client.propose(edit)
        loop = asyncio.get_running_loop()
        accepted_at = loop.time()
        say(f"edit-accepted={outcome.edit_id}")
        while loop.time() < accepted_at + 9:
            statuses = await self.read_statuses(fleet)
            if all(status.table_version >= outcome.version for status in statuses):
                elapsed = loop.time() - accepted_at
                self.figures.config_in_force_ms = elapsed * 1_000
                return
            await asyncio.sleep(POLL_S)
        behind = [s.daemon_id for s in statuses if s.table_version < outcome.version]
        say(f"edit-not-in-force-at={behind} answered={len(statuses)}")

    async def watch_ejections(self) -> None:
        """Note every healthy target that a daemon names as ejected."""
        while True:
            for fleet in self.fleets:
                for status in await self.read_statuses(fleet):
                    ejected = set(status.ejected) - {self.sick}
                    self.figures.healthy_ejected |= ejected
            await asyncio.sleep(1)

    async def count_runs(self) -> Counter[str]:
        """Return how often each request was run, over all stand-ins.

        :raises RequestError: if a stand-in does not tell its counts.
        """
        runs: Counter[str] = Counter()
        for fleet in self.fleets:
            for place in fleet.places:
                address = place.backend_address
                counts = await self.ask_backend(address, "GET", "/counts")
                runs.update(counts["runs"])
                if counts["late_work_ms"]:
                    say(f"last-work-after-leaving_ms={counts['late_work_ms']:.0f}")
        return runs

    async def report(self) -> int:
        """Print the last line and return the exit code."""
        runs = await self.count_runs()
        tallies = [callers.tally for callers in self.callers]
        refused = sum((Counter(t.refused) for t in tallies), Counter())
        say(f"refused={dict(refused)}")
        for reason in itertools.chain(*(t.cut_reasons for t in tallies)):
            say(f"cut={reason}")
        non_idempotent = set().union(*(t.non_idempotent for t in tallies))
        false_not_run = find_false_not_run(tallies, runs)
        must_be_zero = {
            "wrong_answers": sum(t.wrong_answers for t in tallies),
            "doubled": sum(1 for key in non_idempotent if runs[key] > 1),
            "cut": sum(t.cut for t in tallies),
            "false_not_run": len(false_not_run),
        }
        figures = {
            "requests": sum(t.requests for t in tallies),
            "answered": sum(t.answered for t in tallies),
            **must_be_zero,
            "detection_ms": f"{self.figures.detection_ms:.0f}",
            "false_ejections": len(self.figures.healthy_ejected),
            "config_in_force_ms": f"{self.figures.config_in_force_ms:.0f}",
            "added_ms_p50": f"{added_ms(tallies, 0.5):.1f}",
            "added_ms_p99": f"{added_ms(tallies, 0.99):.1f}",
        }
        print(" ".join(f"{key}={value}" for key, value in figures.items()), flush=True)
        if self.chaos:
            # A killed daemon breaks transfers; its callers know that they can't know.
            del must_be_zero["cut"]
        return 1 if any(must_be_zero.values()) else 0


def find_false_not_run(tallies: list[Tally], runs: Counter[str]) -> list[str]:
    """Return the non-idempotent requests of which "not run" was false.

    A request that was sent twice at the same time may be refused at one daemon and
    run at the other, so the runs are held against the sendings that were not told
    "not run". What all sendings of a doubtful request were told is shown.
    """
    told: dict[str, list[Told]] = {}
    for tally in tallies:
        for item in tally.told:
            told.setdefault(item.key, []).append(item)
    false = []
    for key, items in told.items():
        refused = [t for t in items if t.verdict == Verdict.NOT_RUN.value]
        if refused and runs[key]:
            say(f"ran-and-refused={key} runs={runs[key]} told={items}")
        if runs[key] > len(items) - len(refused):
            false.append(key)
    return false


def added_ms(tallies: list[Tally], quantile: float) -> float:
    """Return a quantile of lookups through the fleet minus that of direct ones."""
    fleet = sorted(ms for tally in tallies for ms in tally.fleet_ms)
    direct = sorted(ms for tally in tallies for ms in tally.direct_ms)
    if not fleet or not direct:
        return float("nan")
    return pick_quantile(fleet, quantile) - pick_quantile(direct, quantile)


def pick_quantile(ordered: list[float], quantile: float) -> float:
    """Return a quantile of values in rising order."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


def say(text: str) -> None:
    """Show progress."""
    print(f"demo {text}", file=sys.stderr, flush=True)


async def main(folder: pathlib.Path, seed: int, chaos: bool) -> int:
    """Run the demo that was planned in a folder."""
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
    """Run with the arguments that the shell gives: seed, folder, chaos."""
    seed, folder, chaos = sys.argv[1:]
    return await main(pathlib.Path(folder), int(seed), chaos == "1")


if __name__ == "__main__":
    sys.exit(asyncio.run(run_script()))
