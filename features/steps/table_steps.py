"""Steps for the fold of the table, its snapshots and files, and daemons' tables."""

import random
from datetime import UTC, datetime, timedelta

import attrs
from behave import given, then, when
from benchmarks.table_fleet import TableFleet

from wagtailstep.commands.table_changes import copy_fold, table_rows
from wagtailstep.commands.table_csv import read_csv, write_csv
from wagtailstep.exceptions import SettingsError
from wagtailstep.models.log import LogRecord
from wagtailstep.models.settings import LogSettings, TableSettings
from wagtailstep.models.table import (
    AccountRow,
    BackendServerRow,
    RowKind,
    ServiceRow,
    pack_accounts,
)
from wagtailstep.models.table_edits import RowId, TableChanges, TableEdit
from wagtailstep.models.table_fold import hash_table
from wagtailstep.models.table_reader import TableReader
from wagtailstep.models.table_snapshot import split_snapshot
from wagtailstep.utils.codec import encode_message

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def append(context, data):
    record = LogRecord(len(context.records), data)
    context.records.append(record)
    outcomes = context.reader.apply_log_record(record)
    context.outcome = outcomes[0] if outcomes else None


def append_edit(context, edit_id, base, changes):
    edit = TableEdit(edit_id, base, "ann", "test", NOW, changes)
    append(context, encode_message(edit))


def build_account_change(number):
    key = f"contracts/a{number}"
    return TableChanges(accounts={key: AccountRow(key, number)})


@given(
    'a table with service "{service}" of floor {floor:d} and {count:d} backend servers'
)
def create_table(context, service, floor, count):
    context.records = []
    context.reader = TableReader()
    keys = [f"{service}/10.0.0.{index}:1" for index in range(1, count + 1)]
    services = {service: ServiceRow(service, floor_weight=floor)}
    servers = {key: BackendServerRow(key) for key in keys}
    append_edit(context, "first", 0, TableChanges(services, servers))
    assert context.reader.fold.version == 1


@when('an edit based on version {base:d} sets "{row}" to "{assignment}"')
def set_row(context, base, row, assignment):
    kind, key = row.split()
    row_id = RowId(RowKind(kind), key)
    name, value = assignment.split("=")
    found = context.reader.fold.table.rows(row_id.kind).get(key)
    previous_row = found or row_id.kind.row_type(key)
    changes = TableChanges()
    changes.rows(row_id.kind)[key] = attrs.evolve(previous_row, **{name: float(value)})
    if isinstance(getattr(previous_row, name), int):
        changes.rows(row_id.kind)[key] = attrs.evolve(
            previous_row, **{name: int(value)}
        )
    append_edit(context, f"edit-{len(context.records)}", base, changes)


@when('an edit based on version {base:d} removes "{row}"')
def remove_row(context, base, row):
    kind, key = row.split()
    changes = TableChanges()
    changes.rows(RowKind(kind))[key] = None
    append_edit(context, f"edit-{len(context.records)}", base, changes)


@when("the same record is appended again")
def append_again(context):
    append(context, context.records[-1].data)


@when("{count:d} edits of other rows follow")
def append_many(context, count):
    for number in range(count):
        version = context.reader.fold.version
        append_edit(context, f"other-{number}", version, build_account_change(number))


@when("the first of these edits is appended again")
def append_first_again(context):
    append(context, context.records[1].data)


@when('the record "{text}" is appended')
def append_text(context, text):
    append(context, text.encode())


@then('the edit is "{verdict}" and its reason contains "{reason}"')
def check_outcome(context, verdict, reason):
    assert context.outcome.verdict.value == verdict, context.outcome
    assert reason in context.outcome.reason, context.outcome


@then('the edit is "{verdict}" and its reason contains ""')
def check_verdict(context, verdict):
    check_outcome(context, verdict, "")


@then("the table has version {version:d}")
def check_version(context, version):
    assert context.reader.fold.version == version


@when("a snapshot of the table is appended late, after {count:d} more edits")
def append_late_snapshot(context, count):
    context.snapshot_offset = context.reader.position
    parts = split_snapshot("late", context.reader.fold, NOW)
    append_many(context, count)
    for part in parts:
        append(context, encode_message(part))


@when("the log keeps only the records from the snapshot's last edit on")
def retain_from_snapshot(context):
    context.retained_records = context.records[context.snapshot_offset :]


@when("the log keeps only the records after {count:d} of these edits")
def retain_after(context, count):
    context.retained_records = context.records[context.snapshot_offset + count :]


def read_retained_records(context):
    reader = TableReader()
    for record in context.retained_records:
        reader.apply_log_record(record)
    return reader


@then("a new reader has the same table")
def check_same_table(context):
    found = read_retained_records(context).fold
    expected = context.reader.fold
    assert table_rows(found.table) == table_rows(expected.table)
    assert (found.version, found.accepted) == (expected.version, expected.accepted)


@then("a new reader has no table")
def check_no_table(context):
    assert read_retained_records(context).fold is None


@when("a snapshot with other rows is appended")
def append_wrong_rows(context):
    fold = copy_fold(context.reader.fold)
    fold.table.services["contracts"] = ServiceRow("contracts", floor_weight=1)
    fold.content_hash += 1
    append_snapshot(context, split_snapshot("wrong", fold, NOW))


@when("a snapshot with a later offset is appended")
def append_wrong_offset(context):
    parts = split_snapshot("wrong", context.reader.fold, NOW)
    append_snapshot(context, [attrs.evolve(part, next_offset=99) for part in parts])


def append_snapshot(context, parts):
    context.retained_records = context.records[1:]
    for part in parts:
        append(context, encode_message(part))
    context.retained_records = context.records[1:]


@then("the old reader reports the snapshot as wrong")
def check_existing_reader(context):
    assert context.reader.checked_snapshots[-1].problem


@then("a new reader reports the snapshot as wrong")
def check_new_reader(context):
    reader = read_retained_records(context)
    assert reader.checked_snapshots[-1].problem
    assert reader.fold is None


@when("an older snapshot of the table is restored")
def restore_older_snapshot(context):
    older = TableReader()
    older.start_empty()
    assert context.reader.restore(older.fold) == []


@when("the table is exported as CSV and read back")
def export_table(context):
    append_edit(context, "account", 1, build_account_change(7))
    context.file = read_csv(write_csv(context.reader.fold.table))


@when('the table is exported as CSV with ";" and read back')
def export_with_semicolons(context):
    append_edit(context, "account", 1, build_account_change(7))
    text = write_csv(context.reader.fold.table).replace(",", ";")
    context.file = read_csv("\ufeff" + text.replace("\n", "\r\n"))


@then("the file has the same rows and base version {version:d}")
def check_file(context, version):
    assert context.file.base_version == version + 1
    assert context.file.rows == table_rows(context.reader.fold.table)


@when('the exported CSV has "{old}" replaced by "{new}"')
def corrupt_file(context, old, new):
    text = write_csv(context.reader.fold.table)
    assert old in text, text
    context.csv_text = text.replace(old, new)


@then('reading it fails and the message contains "{message}"')
def check_file_error(context, message):
    try:
        read_csv(context.csv_text)
    except SettingsError as error:
        assert message in str(error), error
    else:
        raise AssertionError("the file was read")


@then("packed rows match a dictionary over {count:d} random operations")
def check_packed(context, count):
    rng = random.Random(5)
    packed, dictionary = pack_accounts(), {}
    for _ in range(count):
        key = rng.choice("abé") + str(rng.randrange(900))
        if rng.random() < 0.7:
            packed[key] = dictionary[key] = AccountRow(key, rng.random())
        elif key in dictionary:
            del packed[key], dictionary[key]
        assert packed.get(key) == dictionary.get(key)
    assert list(packed) == sorted(dictionary)
    assert dict(packed.items()) == dictionary
    assert len(packed) == len(dictionary)
    prefixed = [key for key, _ in packed.numbers_with_prefix("b1")]
    assert prefixed == sorted(key for key in dictionary if key.startswith("b1"))


@then("packed rows refuse keys that are out of order")
def check_order(context):
    for keys in (("b", "a"), ("a", "a")):
        try:
            pack_accounts().load_sorted((key, 1.0) for key in keys)
        except ValueError as error:
            assert "does not come after" in str(error)
        else:
            raise AssertionError(f"{keys} were accepted")


def append_fleet_edit(context, changes):
    fleet = context.fleet
    context.version += 1
    edit_id = f"fleet-{context.version}"
    base = context.version - 1
    utc = fleet.clock.utc()
    fleet.append_edit(TableEdit(edit_id, base, "ann", "test", utc, changes))


@given("a fleet of {count:d} daemons with a table in force")
def create_fleet(context, count):
    settings = TableSettings(chunk_bytes=128)
    context.fleet = TableFleet(3, count, LogSettings(retention_s=120.0), settings)
    context.version = 0
    append_fleet_edit(context, TableChanges({"contracts": ServiceRow("contracts")}))
    context.fleet.run(timedelta(seconds=10))
    check_newest(context)


@when("all daemons are replaced while the log is unavailable")
def replace_all(context):
    context.fleet.log.faults.away = True
    for name in list(context.fleet.daemons):
        context.fleet.restart(name, timedelta(seconds=1))
    context.fleet.run(timedelta(minutes=1))


@then("no daemon knows a table")
def check_no_table_known(context):
    assert context.fleet.versions_in_force() == {None}


@when("the table fleet's log is available again")
def restore_log(context):
    context.fleet.log.faults.away = False


@then("all daemons have the newest table")
def check_newest(context):
    context.fleet.run(timedelta(seconds=30))
    found = context.fleet.versions_in_force()
    assert found == {context.version}, found
    assert context.fleet.find_reverts() == []


@when("{count:d} daemons can't read the log and {cut}")
def partition_daemons(context, count, cut):
    fleet = context.fleet
    names = list(fleet.daemons)
    for name in names[:count]:
        fleet.daemons[name].reads_log = False
        if cut != "nothing else fails":
            fleet.network.blocked_links |= {(name, other) for other in names}


@when("another edit is accepted")
def append_another_edit(context):
    append_fleet_edit(context, build_account_change(1))


@when("{count:d} more rows are accepted, then the log fails and a daemon is replaced")
def replace_one_after_rows(context, count):
    stop_log_after_rows(context, count)
    context.fleet.restart("d0000", timedelta(seconds=1))


@when(
    "{count:d} more rows are accepted, then the log fails and all but one are replaced"
)
def replace_all_but_one_after_rows(context, count):
    stop_log_after_rows(context, count)
    for name in list(context.fleet.daemons)[1:]:
        context.fleet.restart(name, timedelta(seconds=1))


@then("all daemons have the newest table after {seconds:d} seconds")
def check_newest_after(context, seconds):
    context.fleet.run(timedelta(seconds=seconds))
    check_newest(context)


def stop_log_after_rows(context, count):
    accounts = {f"contracts/{n:064d}": None for n in range(count)}
    rows = {key: AccountRow(key, n + 0.5) for n, key in enumerate(accounts)}
    append_fleet_edit(context, TableChanges(accounts=rows))
    context.fleet.run(timedelta(seconds=10))
    tail = context.fleet.daemons["d0001"].controller.reader.tail
    assert tail.start > 0, "the records are too short to need a snapshot"
    context.fleet.log.faults.away = True


@when("{count:d} times the log's retention period passes")
def pass_retention(context, count):
    for _ in range(count * 4):
        append_fleet_edit(context, build_account_change(context.version))
        context.fleet.run(timedelta(seconds=30))


@then("between {low:d} and {high:d} snapshots were written")
def check_snapshots(context, low, high):
    written = context.fleet.log.append_count - context.version
    assert low <= written <= high, written


@then("a daemon that is replaced afterwards has the newest table")
def check_replaced(context):
    for name in list(context.fleet.daemons):
        context.fleet.stop(name)
    context.fleet.start("d0000")
    check_newest(context)


@when("the log contains only a wrong snapshot and a daemon is replaced")
def replace_with_wrong_snapshot(context):
    fleet = context.fleet
    fold = copy_fold(fleet.daemons["d0001"].controller.reader.fold)
    fold.table.services["contracts"] = ServiceRow("contracts", drain_limit_s=1.0)
    fold.content_hash = hash_table(fold.table)
    for part in split_snapshot("wrong", fold, fleet.clock.utc()):
        fleet.log.store_record("table", encode_message(part))
    fleet.log.faults.retention_records = 1
    fleet.log.drop_expired_records("table")
    cuts = {(name, "d0000") for name in fleet.daemons}
    fleet.network.blocked_links |= cuts
    fleet.restart("d0000", timedelta(seconds=1))
    fleet.run(timedelta(seconds=1.5))
    assert fleet.daemons["d0000"].controller.reader.position > 0
    fleet.network.blocked_links -= cuts


@then("the replaced daemon has the rows of its peers and reported the difference")
def check_difference(context):
    fleet = context.fleet
    tables = [daemon.blackboard.table for daemon in fleet.daemons.values()]
    assert all(table_rows(table) == table_rows(tables[1]) for table in tables)
    assert tables[0].services["contracts"].drain_limit_s == 30.0
    kinds = {(name, event.kind) for _, name, event in fleet.events}
    assert ("d0000", "table-diverged") in kinds
    assert ("d0001", "table-snapshot-rejected") in kinds
