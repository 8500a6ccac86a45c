"""Steps for seeded random histories of the table, with and without planted faults."""

from datetime import timedelta

from behave import given, then, when
from benchmarks.table_fleet import TableFleet
from benchmarks.table_histories import (
    TableModel,
    build_change,
    run_fleet_history,
    run_operator_history,
)

from wagtailstep.commands.table_client import TableClient
from wagtailstep.controllers.table import TableController
from wagtailstep.exceptions import AppendUnknownError
from wagtailstep.models.table_edits import (
    TABLE_STREAM,
    EditOutcome,
    EditVerdict,
    TableEdit,
)
from wagtailstep.models.table_fold import TableFold
from wagtailstep.models.table_reader import TableReader
from wagtailstep.models.table_snapshot import decode_snapshot
from wagtailstep.utils.codec import encode_message


class StaleStartController(TableController):
    """Planted fault: puts the first table that it receives in force, however old."""

    def activate_first_table(self):
        if self.reader.position < 0 or self.blackboard.table_known:
            return []
        self.blackboard.table_known = True
        return self.put_in_force()


class UnconfirmedController(TableController):
    """Planted fault: puts records in force before any other daemon has them."""

    def hold_records(self, records):
        return self.apply_log_records(records)


class ConflictAcceptingFold(TableFold):
    """Planted fault: accepts an edit although another one changed its rows first."""

    def _check_base(self, edit):
        return None


class ConflictAcceptingReader(TableReader):
    """Uses the fold that accepts conflicting edits."""

    def start_empty(self):
        if self.fold is None:
            self.fold = ConflictAcceptingFold()


class ConflictAcceptingController(TableController):
    """Follows the table with the fold that accepts conflicting edits."""

    reader_class = ConflictAcceptingReader


class GapIgnoringReader(TableReader):
    """Planted fault: uses a snapshot although records after it are missing."""

    def _decode_if_usable(self, part, data):
        return decode_snapshot(data)

    def apply_record(self, record):
        if self.fold is not None and record.offset > self.position:
            self.fold.next_offset = record.offset
        return super().apply_record(record)


class GapIgnoringController(TableController):
    """Follows the table with the reader that ignores gaps."""

    reader_class = GapIgnoringReader


class NewIdRetryingClient(TableClient):
    """Planted fault: repeats an edit under a new id after a lost acknowledgment."""

    async def propose(self, edit):
        try:
            await self.log.append(TABLE_STREAM, encode_message(edit))
        except AppendUnknownError:
            repeated_edit = self.build_edit(edit.base_version, edit.changes, edit)
            return await super().propose(repeated_edit)
        return await super().propose(edit)


class AcknowledgmentTrustingClient(TableClient):
    """Planted fault: reports an acknowledged edit as accepted."""

    async def propose(self, edit):
        await self.log.append(TABLE_STREAM, encode_message(edit))
        version = edit.base_version + 1
        return EditOutcome(edit.edit_id, EditVerdict.ACCEPTED, version)


CONTROLLERS = {
    "none": TableController,
    "first table however old": StaleStartController,
    "in force before another daemon has it": UnconfirmedController,
    "conflicting edits accepted": ConflictAcceptingController,
    "snapshot with a gap after it": GapIgnoringController,
}
CLIENTS = {
    "none": TableClient,
    "lost edit repeated under a new name": NewIdRetryingClient,
    "acknowledged taken for accepted": AcknowledgmentTrustingClient,
}


@given('table daemons with the planted fault "{fault}"')
def choose_controller(context, fault):
    context.create_controller = CONTROLLERS[fault]


@given('table operators with the planted fault "{fault}"')
def choose_client(context, fault):
    context.create_client = CLIENTS[fault]


@when("table daemons run the histories {first:d} to {last:d}")
def run_daemon_histories(context, first, last):
    histories = (
        run_fleet_history(seed, context.create_controller)
        for seed in range(first, last + 1)
    )
    context.found = [fault for history in histories for fault in history.find_faults()]


@when("table operators run the histories {first:d} to {last:d}")
def run_operator_histories(context, first, last):
    context.found = []
    for seed in range(first, last + 1):
        history = run_operator_history(seed, context.create_client)
        result = history.check(TableModel())
        if not result.ok:
            context.found.append(f"seed {seed}: {result.explain()}")


@then("no table history shows a fault")
def check_no_fault_found(context):
    assert not context.found, "\n".join(context.found)


@then("a table history shows a fault")
def check_fault_found(context):
    assert context.found


@when("the only daemon that read a version restarts while the log is unavailable")
def restart_only_reader(context):
    fleet = TableFleet(1, 3, create_controller=context.create_controller)
    utc = fleet.clock.utc()
    fleet.append_edit(TableEdit("e1", 0, "a", "b", utc, build_change("s", 1)))
    fleet.run(timedelta(seconds=5))
    for name in ("d0001", "d0002"):
        fleet.daemons[name].reads_log = False
        fleet.network.blocked_links.add(("d0000", name))
    fleet.append_edit(TableEdit("e2", 1, "a", "b", utc, build_change("s", 2)))
    fleet.run(timedelta(milliseconds=600))
    fleet.log.faults.away = True
    fleet.restart("d0000", timedelta(seconds=1))
    fleet.network.blocked_links.clear()
    fleet.run(timedelta(seconds=20))
    assert fleet.versions_in_force() != {None}
    context.found = fleet.find_reverts()
