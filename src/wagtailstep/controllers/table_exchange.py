"""Builders of the messages and events that describe the table's state."""

from collections.abc import Iterable

from wagtailstep.models.events import RecordEvent
from wagtailstep.models.log import LogRecord
from wagtailstep.models.table_edits import EditOutcome, EditVerdict
from wagtailstep.models.table_messages import TableDigest
from wagtailstep.models.table_reader import TAIL_BYTES, TableReader, decode_part


def build_digest(
    reader: TableReader, in_force: bool, wants_answer: bool = False
) -> TableDigest:
    """Return the digest of a reader's position and content.

    :param in_force: whether its table is in force.
    :param wants_answer: whether the receiver has to answer in any case.
    """
    fold = reader.fold
    if fold is None:
        return TableDigest(-1, 0, 0, 0, False, wants_answer)
    return TableDigest(
        fold.next_offset,
        fold.version,
        fold.content_hash,
        reader.tail.start,
        in_force,
        wants_answer,
    )


def select_first_records(
    records: Iterable[LogRecord], max_bytes: int
) -> tuple[LogRecord, ...]:
    """Return the first records, without the data of snapshots.

    The selection ends before a record that is too long for the tails that daemons
    keep for each other.

    :param max_bytes: approximate limit of the data; the first record may exceed it.
    """
    selected: list[LogRecord] = []
    size = 0
    for record in records:
        if decode_part(record) is not None:
            record = LogRecord(record.offset, b"")
        size += len(record.data)
        if len(record.data) > TAIL_BYTES or (selected and size > max_bytes):
            break
        selected.append(record)
    return tuple(selected)


def build_outcome_event(outcome: EditOutcome) -> RecordEvent:
    """Return the event for one decided edit."""
    fields = {"edit_id": outcome.edit_id, "version": str(outcome.version)}
    if outcome.verdict is not EditVerdict.ACCEPTED:
        fields["reason"] = outcome.reason
    return RecordEvent(f"table-edit-{outcome.verdict.value}", fields)
