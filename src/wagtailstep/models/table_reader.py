"""Reader of the log stream ``table``; snapshots bridge gaps between records."""

import collections

import attrs

from wagtailstep.exceptions import DecodeError
from wagtailstep.models.log import LogRecord
from wagtailstep.models.table_edits import EditOutcome, TableSnapshotPart
from wagtailstep.models.table_fold import TableFold
from wagtailstep.models.table_snapshot import decode_snapshot
from wagtailstep.utils.codec import decode_message

MAX_INCOMPLETE_SNAPSHOTS = 8
TAIL_BYTES = 65_536

# Searching for the encoded class name avoids decoding every record.
_PART_NAME = TableSnapshotPart.__name__.encode()


def decode_part(record: LogRecord) -> TableSnapshotPart | None:
    """Return the snapshot part in a record, or ``None`` for any other record."""
    if _PART_NAME not in record.data[:40]:
        return None
    try:
        value = decode_message(record.data)
    except DecodeError:
        return None
    return value if isinstance(value, TableSnapshotPart) else None


@attrs.frozen
class CheckedSnapshot:
    """A complete snapshot that was read from the log, and whether it is correct.

    :param last_part: the part that was read last, without data.
    :param problem: why it differs from the fold at its offset; empty if no
        difference is known.
    """

    last_part: TableSnapshotPart
    problem: str = ""


@attrs.define
class RecordTail:
    """The newest applied records, to be sent to peers that are slightly behind.

    :param start: offset of the oldest record held.
    :param records: the records, without the data of snapshots.
    :param size: total size of the records held, in bytes.
    """

    start: int = 0
    records: collections.deque[LogRecord] = attrs.field(factory=collections.deque)
    size: int = 0

    def add(self, record: LogRecord) -> None:
        """Add the next record and discard the oldest beyond ``TAIL_BYTES``."""
        self.records.append(record)
        self.size += len(record.data)
        while self.size > TAIL_BYTES:
            self.size -= len(self.records.popleft().data)
            self.start += 1

    def reset(self, start: int) -> None:
        """Discard all records and continue at an offset."""
        self.start = start
        self.records.clear()
        self.size = 0

    def read_last(self, max_bytes: int) -> tuple[LogRecord, ...]:
        """Return the newest records.

        :param max_bytes: size limit of the records.
        """
        found: list[LogRecord] = []
        size = 0
        for record in reversed(self.records):
            size += len(record.data)
            if size > max_bytes:
                break
            found.append(record)
        return tuple(reversed(found))

    def read(self, offset: int, max_bytes: int) -> tuple[LogRecord, ...]:
        """Return records from an offset on; none if the offset is not held.

        :param max_bytes: size limit of the records; the first one may exceed it.
        """
        if offset < self.start:
            return ()
        found: list[LogRecord] = []
        size = 0
        for index in range(offset - self.start, len(self.records)):
            record = self.records[index]
            size += len(record.data)
            if found and size > max_bytes:
                break
            found.append(record)
        return tuple(found)


@attrs.define
class TableReader:
    """The current fold, and records after a gap that a snapshot has to bridge.

    :param fold: the fold; ``None`` until the first record or a snapshot was read.
    :param tail: the newest applied records.
    :param pending: records after a gap, consecutive, oldest first.
    :param incomplete_snapshots: parts read so far of incomplete snapshots, by
        ``snapshot_id``.
    :param checked_snapshots: complete snapshots that were read; callers clear it.
    """

    fold: TableFold | None = None
    tail: RecordTail = attrs.field(factory=RecordTail)
    pending: collections.deque[LogRecord] = attrs.field(factory=collections.deque)
    incomplete_snapshots: dict[str, list[TableSnapshotPart]] = attrs.field(factory=dict)
    checked_snapshots: list[CheckedSnapshot] = attrs.field(factory=list)

    @property
    def position(self) -> int:
        """Return the offset of the next record, or -1 without a table."""
        return -1 if self.fold is None else self.fold.next_offset

    def reset(self) -> None:
        """Discard all state, to start from another daemon's snapshot."""
        self.fold = None
        self.tail.reset(0)
        self.pending.clear()
        self.incomplete_snapshots.clear()

    def start_empty(self) -> None:
        """Start from an empty table, if the stream still has its first record."""
        if self.fold is None:
            self.fold = TableFold()
            self.tail.reset(0)

    def apply_log_record(self, record: LogRecord) -> list[EditOutcome]:
        """Apply the next record of the log.

        :return: outcomes of the edits that the record, or a snapshot that it
            completes, decided.
        """
        if record.offset == 0:
            self.start_empty()
        outcomes = self.apply_record(record)
        part = decode_part(record)
        if part is not None:
            outcomes += self._apply_part(part, record.offset)
        return outcomes

    def apply_record(self, record: LogRecord) -> list[EditOutcome]:
        """Apply a record if it is the next one, or store it if it follows a gap."""
        if record.offset < self.position:
            return []
        if record.offset > self.position:
            self._store_pending(record)
            return []
        outcomes = self._apply(record)
        return outcomes + self._drain_pending()

    def _store_pending(self, record: LogRecord) -> None:
        if self.pending and record.offset <= self.pending[-1].offset:
            return
        if self.pending and record.offset != self.pending[-1].offset + 1:
            self.pending.clear()
        self.pending.append(record)

    def _apply(self, record: LogRecord) -> list[EditOutcome]:
        assert self.fold is not None
        outcome = self.fold.apply(record)
        is_part = decode_part(record) is not None
        self.tail.add(LogRecord(record.offset, b"") if is_part else record)
        return [] if outcome is None else [outcome]

    def _drain_pending(self) -> list[EditOutcome]:
        outcomes: list[EditOutcome] = []
        while self.pending and self.pending[0].offset <= self.position:
            record = self.pending.popleft()
            if record.offset == self.position:
                outcomes += self._apply(record)
        return outcomes

    def _apply_part(self, part: TableSnapshotPart, offset: int) -> list[EditOutcome]:
        parts = self.incomplete_snapshots.setdefault(part.snapshot_id, [])
        parts.append(part)
        if len(self.incomplete_snapshots) > MAX_INCOMPLETE_SNAPSHOTS:
            del self.incomplete_snapshots[next(iter(self.incomplete_snapshots))]
        by_index = {known.index: known for known in parts}
        if len(by_index) < part.count:
            return []
        self.incomplete_snapshots.pop(part.snapshot_id, None)
        data = b"".join(by_index[index].data for index in sorted(by_index))
        return self._apply_snapshot(part, data, offset)

    def _apply_snapshot(
        self, part: TableSnapshotPart, data: bytes, offset: int
    ) -> list[EditOutcome]:
        """Apply a complete snapshot if it is newer and no later record is missing."""
        problem = self._find_problem(part, offset)
        fold = None
        if not problem and part.next_offset > self.position:
            try:
                fold = self._decode_if_usable(part, data)
            except DecodeError as error:
                problem = str(error)
        self.checked_snapshots.append(
            CheckedSnapshot(attrs.evolve(part, data=b""), problem)
        )
        return [] if fold is None else self.restore(fold)

    def _find_problem(self, part: TableSnapshotPart, offset: int) -> str:
        """Return why a snapshot can't be the fold at its offset, or an empty string."""
        if part.next_offset > offset:
            return "it claims to include records that had not been appended yet"
        if self.fold is None or part.next_offset > self.position:
            return ""
        known = self.fold.content_hash_at(part.version)
        if known is not None and known != part.content_hash:
            return f"the content of version {part.version} differs from the one here"
        return ""

    def _decode_if_usable(
        self, part: TableSnapshotPart, data: bytes
    ) -> TableFold | None:
        """Decode a newer snapshot if all later records are held.

        :raises DecodeError: if it is corrupt.
        """
        if not self.pending or self.pending[0].offset > part.next_offset:
            return None
        fold = decode_snapshot(data)
        found = (fold.version, fold.next_offset, fold.content_hash)
        if found != (part.version, part.next_offset, part.content_hash):
            raise DecodeError(
                "version, offset or hash of a table snapshot differ from its parts"
            )
        return fold

    def restore(self, fold: TableFold) -> list[EditOutcome]:
        """Replace the fold by a newer one; an older one is ignored.

        :return: outcomes of pending edits that follow it.
        """
        if fold.next_offset <= self.position:
            return []
        if self.fold is not None and fold.version < self.fold.version:
            return []
        self.fold = fold
        self.tail.reset(fold.next_offset)
        return self._drain_pending()
