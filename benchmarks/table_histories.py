"""Simulate histories of the table under random faults, and check them."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
import detangle

from benchmarks.table_fleet import TableFleet
from wagtailstep.commands.table_client import Proposal, TableClient
from wagtailstep.controllers.table import TableController
from wagtailstep.exceptions import LogError, LogUnavailableError, TableError
from wagtailstep.fakes.log_service import InMemoryLogService, LogFaults
from wagtailstep.models.settings import LogSettings
from wagtailstep.models.table import ServiceRow
from wagtailstep.models.table_edits import TABLE_STREAM, TableChanges, TableEdit
from wagtailstep.models.table_snapshot import split_snapshot
from wagtailstep.utils.clock import LoopClock
from wagtailstep.utils.codec import encode_message

ROWS = tuple(f"s{index}" for index in range(6))
HISTORY_DURATION = timedelta(seconds=240)
CONVERGENCE_DURATION = timedelta(seconds=30)
RETENTION_S = 120.0
MAX_SNAPSHOTS = 30


def build_change(row: str, value: int) -> TableChanges:
    """Build a change of one service row that carries a value to recognise."""
    return TableChanges(services={row: ServiceRow(row, drain_limit_s=float(value))})


# Daemons


@attrs.define
class Oracle:
    """Reference implementation of the table, to compare the daemons with.

    :param version: version of the table.
    :param rows: version of the last change and value of each row.
    :param edit_ids: identifiers of all edits decided so far.
    """

    version: int = 0
    rows: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    edit_ids: set[str] = attrs.field(factory=set)

    def apply_edit(self, edit: TableEdit) -> None:
        """Apply or reject the next edit in the order of the log.

        An edit is rejected if its row changed after its base version.
        """
        if edit.edit_id in self.edit_ids:
            return
        self.edit_ids.add(edit.edit_id)
        ((name, row),) = edit.changes.services.items()
        if self.rows.get(name, (0, 0.0))[0] <= edit.base_version:
            self.version += 1
            self.rows[name] = (self.version, row.drain_limit_s)

    def values(self) -> dict[str, float]:
        """Return the value of each row."""
        return {name: value for name, (_, value) in self.rows.items()}


@attrs.define
class FleetHistory:
    """One run of a small fleet with random edits and faults.

    :param fleet: the fleet.
    :param rng: source of edits and faults.
    :param oracle: the table as it must be.
    :param sent: all edits that were appended.
    """

    fleet: TableFleet
    rng: random.Random
    oracle: Oracle = attrs.field(factory=Oracle)
    sent: list[TableEdit] = attrs.field(factory=list)

    def schedule_edits_and_faults(self) -> None:
        """Schedule all edits and faults."""
        now = 0.0
        while now < HISTORY_DURATION.total_seconds():
            now += self.rng.expovariate(1.5)
            self.fleet.schedule(timedelta(seconds=now), self.edit)
        now = 0.0
        while now < HISTORY_DURATION.total_seconds():
            now += self.rng.expovariate(0.4)
            self.fleet.schedule(timedelta(seconds=now), self.cause_fault)

    def edit(self) -> None:
        """Append an edit, perhaps with an old base version, or repeat an old edit."""
        if self.sent and self.rng.random() < 0.1:
            edit = self.rng.choice(self.sent[-5:])
        else:
            base = max(0, self.oracle.version - self.rng.choice((0, 0, 0, 1, 3)))
            change = build_change(self.rng.choice(ROWS), len(self.sent))
            edit_id = f"e{len(self.sent)}"
            utc = self.fleet.clock.utc()
            edit = TableEdit(edit_id, base, "operator", "history", utc, change)
        try:
            self.fleet.append_edit(edit)
        except LogUnavailableError:
            return
        self.sent.append(edit)
        self.oracle.apply_edit(edit)

    def cause_fault(self) -> None:
        """Inject one random fault; most end after a random time."""
        faults = (
            self.make_log_unavailable,
            self.restrict_log_access,
            self.block_links,
            self.block_links,
            self.restart_random_daemon,
            self.restart_random_daemon,
            self.delay_appends,
        )
        self.rng.choice(faults)()
        if self.rng.random() < 0.03:
            self.restart_all_daemons()

    def random_duration(self, longest_s: float) -> timedelta:
        """Return a random duration."""
        return timedelta(seconds=self.rng.uniform(0.1, longest_s))

    def make_log_unavailable(self) -> None:
        """Make the log unavailable to all for a while."""
        self.fleet.log.faults.away = True
        self.fleet.schedule(self.random_duration(25), self.restore_log)

    def restore_log(self) -> None:
        """Make the log available again."""
        self.fleet.log.faults.away = False

    def restrict_log_access(self) -> None:
        """Deny two daemons reading the log, appending to it, or both, for a while."""
        reads, appends = self.rng.choice(((False, True), (True, False), (False, False)))
        for name in self.rng.sample(list(self.fleet.daemons), 2):
            self.set_log_access(name, reads, appends)
            end = self.random_duration(40)
            self.fleet.schedule(end, lambda n=name: self.set_log_access(n, True, True))

    def set_log_access(self, name: str, reads: bool, appends: bool) -> None:
        """Set whether a daemon can read the log and append to it."""
        daemon = self.fleet.daemons[name]
        daemon.reads_log = reads
        daemon.appends = appends

    def block_links(self) -> None:
        """Block a daemon's links to some others, in one direction or both."""
        names = list(self.fleet.daemons)
        isolated = self.rng.choice(names)
        others = self.rng.sample(names, self.rng.randint(1, len(names) - 1))
        outgoing = {(isolated, other) for other in others}
        incoming = {(other, isolated) for other in others}
        blocked_links = self.rng.choice((outgoing, incoming, outgoing | incoming))
        self.fleet.network.blocked_links |= blocked_links
        self.fleet.schedule(
            self.random_duration(15), lambda: self.restore_links(blocked_links)
        )

    def restore_links(self, blocked_links: set[tuple[str, str]]) -> None:
        """Unblock links."""
        self.fleet.network.blocked_links -= blocked_links

    def restart_random_daemon(self) -> None:
        """Restart a random daemon."""
        name = self.rng.choice(list(self.fleet.daemons))
        self.fleet.restart(name, self.random_duration(3))

    def restart_all_daemons(self) -> None:
        """Restart all daemons at the same time."""
        for name in list(self.fleet.daemons):
            self.fleet.restart(name, self.random_duration(3))

    def delay_appends(self) -> None:
        """Delay a daemon's appends, as if it had been suspended before each."""
        daemon = self.fleet.daemons[self.rng.choice(list(self.fleet.daemons))]
        daemon.append_delay = self.random_duration(30)

    def end_faults(self) -> None:
        """End all faults."""
        self.restore_log()
        self.fleet.network.blocked_links.clear()
        for name, daemon in self.fleet.daemons.items():
            daemon.append_delay = timedelta()
            self.set_log_access(name, True, True)

    def find_faults(self) -> list[str]:
        """Return descriptions of all violations in the history."""
        found = self.fleet.find_reverts()
        for daemon in self.fleet.daemons.values():
            found += self.compare_daemon(daemon.name)
        snapshots = self.count_snapshots()
        if snapshots > MAX_SNAPSHOTS:
            found.append(f"{snapshots} snapshots were appended")
        return found

    def compare_daemon(self, name: str) -> list[str]:
        """Compare the table of one daemon with the reference."""
        board = self.fleet.daemons[name].blackboard
        if not board.table_known:
            return [f"{name} has no table"]
        if board.table.version != self.oracle.version:
            return [f"{name} has {board.table.version}, not {self.oracle.version}"]
        values = {key: row.drain_limit_s for key, row in board.table.services.items()}
        return [] if values == self.oracle.values() else [f"{name} has other rows"]

    def count_snapshots(self) -> int:
        """Return how many snapshots were appended."""
        return self.fleet.log.append_count - len(self.sent)


def run_fleet_history(
    seed: int,
    create_controller: Callable[..., TableController] = TableController,
    size: int = 5,
) -> FleetHistory:
    """Run one history of a small fleet until it has converged without faults.

    :param create_controller: creates the controllers; tests pass faulty ones.
    """
    log_settings = LogSettings(poll_ms=500, retention_s=RETENTION_S)
    fleet = TableFleet(seed, size, log_settings, create_controller=create_controller)
    faults = fleet.network
    faults.max_latency_ms = 300.0
    faults.drop = 0.05
    faults.duplicate = 0.1
    history = FleetHistory(fleet, random.Random(seed))
    history.schedule_edits_and_faults()
    fleet.run(HISTORY_DURATION)
    history.end_faults()
    fleet.run(CONVERGENCE_DURATION)
    return history


# Operators


class TableModel(detangle.lin.Model):
    """Sequential model of the table as operators see it.

    The state is the version and the rows with the version of their last change.
    Operations: ``edit`` of (row, value, base version) returns the new version, or 0 if
    refused; ``read`` returns the version and the values of the rows.
    """

    name = "table"

    def init(self) -> Any:
        """Return the empty table."""
        return (0, ())

    def step(self, state: Any, op: Any) -> tuple[bool, Any]:
        """Return whether an operation is possible in a state, and the next state."""
        version, rows = state
        is_known = op.status == "ok"
        if op.f == "read":
            values = tuple((name, value) for name, value, _ in rows)
            return (not is_known or op.output == (version, values), state)
        row, value, base = op.arg
        last_change = next((changed for name, _, changed in rows if name == row), 0)
        if last_change > base:
            return (not is_known or op.output == 0, state)
        other_rows = [item for item in rows if item[0] != row]
        next_state = (
            version + 1,
            tuple(sorted([*other_rows, (row, value, version + 1)])),
        )
        return (not is_known or op.output == version + 1, next_state)


async def run_operator(
    name: str,
    client: TableClient,
    history: detangle.History,
    rng: random.Random,
    count: int,
) -> None:
    """Read and edit the table repeatedly, as one operator."""
    for index in range(count):
        base = await record_read(name, client, history)
        await asyncio.sleep(rng.uniform(0, 2))
        if base is None:
            continue
        value = int(name) * 100 + index + 1
        row = rng.choice(ROWS[:2])
        await record_edit(name, client, history, (row, value, base))


async def record_read(
    name: str, client: TableClient, history: detangle.History
) -> int | None:
    """Read the table, record the result and return its version.

    :return: ``None`` if the log is unavailable.
    """

    async def read() -> tuple[int, Any]:
        table = await client.read_table()
        rows = sorted(table.services.values(), key=lambda row: row.service)
        return table.version, tuple((r.service, int(r.drain_limit_s)) for r in rows)

    try:
        version, _ = await history.call(name, "read", None, read())
    except LogError:
        return None
    return version


async def record_edit(
    name: str,
    client: TableClient,
    history: detangle.History,
    change: tuple[str, int, int],
) -> None:
    """Propose one edit and record the result that its operator gets."""
    row, value, base = change
    edit = client.build_edit(base, build_change(row, value), Proposal(name, "history"))

    async def propose() -> int:
        try:
            return (await client.propose(edit)).version
        except TableError:
            return 0

    try:
        await history.call(
            name, "edit", change, propose(), fail_on=(LogUnavailableError,)
        )
    except LogError:
        pass


async def inject_log_faults(log: InMemoryLogService, rng: random.Random) -> None:
    """Inject random faults of the log until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.2, 3))
        log.faults.away = rng.random() < 0.2
        log.faults.delay_ms = rng.choice((1, 20, 700))
        log.faults.lost_acknowledgments += rng.randint(0, 2)


async def write_snapshots(
    log: InMemoryLogService, client: TableClient, rng: random.Random, pause_s: float
) -> None:
    """Append snapshots to the log until cancelled, each some time after its read.

    :param pause_s: longest time between reading the table and appending the snapshot.
    """
    while True:
        try:
            fold = await client.read_fold()
            parts = split_snapshot(f"{rng.random()}", fold, client.clock.utc())
            await asyncio.sleep(rng.uniform(0, pause_s))
            for part in parts:
                await log.append(TABLE_STREAM, encode_message(part))
        except LogError:
            pass
        await asyncio.sleep(1)


def run_operator_history(
    seed: int,
    create_client: Callable[..., TableClient] = TableClient,
    operators: int = 3,
    edits: int = 4,
) -> detangle.History:
    """Run one history of operators who edit concurrently.

    :param create_client: creates their clients; tests pass faulty ones.
    """
    rng = random.Random(seed)
    history = detangle.History()

    async def main() -> None:
        faults = LogFaults(delay_ms=1, retention_records=12)
        log = InMemoryLogService(LoopClock(), faults)
        create = lambda: create_client(log, LoopClock(), rng)  # noqa: E731
        background = [
            asyncio.create_task(inject_log_faults(log, rng)),
            asyncio.create_task(write_snapshots(log, create(), rng, 0.5)),
            asyncio.create_task(write_snapshots(log, create(), rng, 12)),
        ]
        names = [str(index) for index in range(operators)]
        await asyncio.gather(
            *(run_operator(name, create(), history, rng, edits) for name in names)
        )
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    detangle.run(main, seed=seed)
    return history
