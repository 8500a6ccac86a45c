"""Steps for seeded histories of the table, and for faults planted into them."""

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


class HastyController(TableController):
    """Puts any first table in force, however old."""

    def activate_first_table(self):
        if self.reader.position < 0 or self.blackboard.table_known:
            return []
        self.blackboard.table_known = True
        return self.put_in_force()


class UnconfirmedController(TableController):
    """Puts what it read from the log in force while nobody else has it."""

    def hold_records(self, records):
        return self.apply_log_records(records)


class LenientFold(TableFold):
    """Accepts an edit although another one changed its rows first."""

    def _check_base(self, edit):
        return None


class LenientReader(TableReader):
    """Folds with the lenient fold."""

    def start_empty(self):
        if self.fold is None:
            self.fold = LenientFold()


class LenientController(TableController):
    """Follows the table with the lenient fold."""

    reader_class = LenientReader


class CarelessReader(TableReader):
    """Takes a snapshot without holding all records after it."""

    def _decode_if_usable(self, part, data):
        return decode_snapshot(data)

    def apply_record(self, record):
        if self.fold is not None and record.offset > self.position:
            self.fold.next_offset = record.offset
        return super().apply_record(record)


class CarelessController(TableController):
    """Follows the table with the careless reader."""

    reader_class = CarelessReader


class RepeatingClient(TableClient):
    """Repeats an edit under another identifier after a lost acknowledgment."""

    async def propose(self, edit):
        try:
            await self.log.append(TABLE_STREAM, encode_message(edit))
        except AppendUnknownError:
            again = self.build_edit(edit.base_version, edit.changes, edit)
            return await super().propose(again)
        return await super().propose(edit)


class TrustingClient(TableClient):
    """Takes an acknowledged edit for an accepted one."""

    async def propose(self, edit):
        await self.log.append(TABLE_STREAM, encode_message(edit))
        version = edit.base_version + 1
        return EditOutcome(edit.edit_id, EditVerdict.ACCEPTED, version)


CONTROLLERS = {
    "none": TableController,
    "first table however old": HastyController,
    "in force before another daemon has it": UnconfirmedController,
    "conflicting edits accepted": LenientController,
    "snapshot with a gap after it": CarelessController,
}
CLIENTS = {
    "none": TableClient,
    "lost edit repeated under a new name": RepeatingClient,
    "acknowledged taken for accepted": TrustingClient,
}


@given('table daemons with the planted fault "{fault}"')
def choose_controller(context, fault):
    context.create_controller = CONTROLLERS[fault]


@given('table operators with the planted fault "{fault}"')
def choose_client(context, fault):
    context.create_client = CLIENTS[fault]


@when("table daemons run the histories {first:d} to {last:d}")
def run_daemons(context, first, last):
    histories = (
        run_fleet_history(seed, context.create_controller)
        for seed in range(first, last + 1)
    )
    context.found = [fault for history in histories for fault in history.find_faults()]


@when("table operators run the histories {first:d} to {last:d}")
def run_operators(context, first, last):
    context.found = []
    for seed in range(first, last + 1):
        history = run_operator_history(seed, context.create_client)
        result = history.check(TableModel())
        if not result.ok:
            context.found.append(f"seed {seed}: {result.explain()}")


@then("no table history shows a fault")
def check_none_found(context):
    assert not context.found, "\n".join(context.found)


@then("a table history shows a fault")
def check_some_found(context):
    assert context.found


@when("the only daemon that read a version restarts while the log is away")
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
