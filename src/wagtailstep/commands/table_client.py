"""Reads the table from the log and proposes edits to it."""

import asyncio
import random
from datetime import timedelta

import attrs

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogError,
    LogUnavailableError,
    RecordExpiredError,
    TableConflictError,
    TableError,
)
from wagtailstep.models.log import LogService
from wagtailstep.models.table import Table
from wagtailstep.models.table_edits import (
    TABLE_STREAM,
    EditOutcome,
    EditVerdict,
    TableChanges,
    TableEdit,
)
from wagtailstep.models.table_fold import TableFold
from wagtailstep.models.table_reader import TableReader
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import encode_message
from wagtailstep.utils.ids import make_id

OUTCOME_POLL_INTERVAL_S = 0.5


@attrs.frozen
class Proposal:
    """Author and reason that an operator gives for an edit.

    :param author: who proposes the edit.
    :param reason: why the edit is proposed.
    """

    author: str
    reason: str


class TableClient:
    """Client of the table in the log.

    :param log: the log service.
    :param clock: source of the time.
    :param rng: random generator for identifiers.
    :param outcome_timeout: how long to look for the outcome of an edit whose append
        was not acknowledged.
    """

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        outcome_timeout: timedelta = timedelta(seconds=10),
    ) -> None:
        self.log = log
        self.clock = clock
        self.rng = rng
        self.outcome_timeout = outcome_timeout
        self.reader: TableReader | None = None

    async def read(self, stop_version: int | None = None) -> TableReader:
        """Fold the stream, starting at its oldest record.

        :param stop_version: stop as soon as the table has this version.
        :raises LogError: if the log can't be read or has no usable snapshot.
        :raises TableError: if ``stop_version`` can no longer be read from the log.
        """
        reader = TableReader()
        offset = await self.log.oldest_offset(TABLE_STREAM)
        if offset == 0:
            reader.start_empty()
        await self._read_from(reader, offset, stop_version)
        self._check_version_found(reader, stop_version)
        return reader

    async def _read_from(
        self, reader: TableReader, offset: int, stop_version: int | None = None
    ) -> int:
        """Feed a reader with records from an offset on.

        :return: offset of the next record.
        :raises LogError: if the log can't be read without a gap.
        """
        while not _has_reached_version(reader, stop_version):
            try:
                batch = await self.log.read(TABLE_STREAM, offset)
            except RecordExpiredError as error:
                raise LogUnavailableError(
                    "records of the table expired while they were read; try again"
                ) from error
            if not batch.records:
                break
            for record in batch.records:
                if _has_reached_version(reader, stop_version):
                    break
                reader.apply_log_record(record)
            offset = batch.next_offset
        return offset

    def _check_version_found(
        self, reader: TableReader, stop_version: int | None
    ) -> None:
        if reader.fold is None or reader.pending:
            raise LogError(
                "the log holds no usable snapshot of the table; if a daemon still "
                "has the table, it writes one within an eighth of the log's retention"
            )
        found = reader.fold.version
        if stop_version is not None and found != stop_version:
            raise TableError(
                f"version {stop_version} of the table can't be read from the log, "
                f"which has version {found}; export the table again"
            )

    async def read_fold(self) -> TableFold:
        """Return the fold of the complete stream; the next call changes it in place.

        :raises LogError: if the log can't be read.
        """
        reader = self.reader or await self.read()
        self.reader = None
        if reader.fold is not None:
            await self._read_from(reader, reader.position)
        self._check_version_found(reader, None)
        assert reader.fold is not None
        self.reader = reader
        return reader.fold

    async def read_table(self, version: int | None = None) -> Table:
        """Return the newest table, or the table at a version.

        :raises LogError: if the log can't be read.
        :raises TableError: if that version can no longer be read from the log.
        """
        reader = await self.read(version)
        assert reader.fold is not None
        return reader.fold.table

    def build_edit(
        self, base_version: int, changes: TableChanges, proposal: Proposal
    ) -> TableEdit:
        """Build an edit with a new identifier."""
        return TableEdit(
            f"e{make_id(self.rng)}",
            base_version,
            proposal.author,
            proposal.reason,
            self.clock.utc(),
            changes,
        )

    async def propose(self, edit: TableEdit) -> EditOutcome:
        """Append an edit and wait for its outcome.

        If the acknowledgment of an append is lost, the log is searched for the edit.
        If it is not there, the same edit is appended again, which is safe because
        readers accept an identifier only once.

        :return: the outcome of an accepted edit.
        :raises LogUnavailableError: if the edit was definitely not appended.
        :raises AppendUnknownError: if the outcome is still unknown at the timeout.
        :raises TableConflictError: if another edit changed one of its rows first.
        :raises TableError: if it was refused for another reason.
        """
        data = encode_message(edit)
        deadline = self.clock.monotonic() + self.outcome_timeout
        may_be_appended = False
        while True:
            try:
                await self.log.append(TABLE_STREAM, data)
                may_be_appended = True
            except AppendUnknownError:
                may_be_appended = True
            except LogUnavailableError:
                if not may_be_appended:
                    raise
            outcome = await self._find_outcome(edit.edit_id)
            if outcome is not None:
                return check_outcome(outcome)
            if self.clock.monotonic() >= deadline:
                raise AppendUnknownError(
                    f"edit {edit.edit_id} may have been accepted or may still be; "
                    f"check with: wagtailstep-table outcome {edit.edit_id}"
                )
            await asyncio.sleep(OUTCOME_POLL_INTERVAL_S)

    async def _find_outcome(self, edit_id: str) -> EditOutcome | None:
        try:
            fold = await self.read_fold()
        except LogError:
            return None
        return fold.outcome_of(edit_id)


def _has_reached_version(reader: TableReader, version: int | None) -> bool:
    if version is None or reader.fold is None:
        return False
    return reader.fold.version >= version


def check_outcome(outcome: EditOutcome) -> EditOutcome:
    """Return an accepted outcome.

    :raises TableConflictError: if another edit changed one of its rows first.
    :raises TableError: if it was refused for another reason.
    """
    if outcome.verdict is EditVerdict.ACCEPTED:
        return outcome
    text = f"edit {outcome.edit_id} was refused: {outcome.reason}"
    if outcome.winner:
        raise TableConflictError(text, outcome.winner)
    raise TableError(text)
