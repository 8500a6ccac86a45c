"""Reading the table from the log and proposing edits to it."""

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
    """What an operator says about an edit.

    :param author: who proposes it.
    :param reason: why.
    """

    author: str
    reason: str


class TableClient:
    """The table as the log has it.

    :param log: the log service.
    :param clock: tells the time.
    :param rng: source of identifiers.
    :param outcome_timeout: how long a lost acknowledgment is inquired into.
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
        """Fold the stream from its oldest record on.

        :param stop_version: stop as soon as the table has this version.
        :raises LogError: if the log can't be read or has no usable snapshot.
        :raises TableError: if the log no longer knows ``stop_version``.
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
        """Feed a reader from an offset on, and return where it stopped.

        :raises LogError: if the log can't be read, or not without a gap.
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
                reader.read_log(record)
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
        """Return the fold of the whole stream, which the next call changes.

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
        """Return the newest table or that of a version.

        :raises LogError: if the log can't be read.
        :raises TableError: if the log no longer knows the version.
        """
        reader = await self.read(version)
        assert reader.fold is not None
        return reader.fold.table

    def build_edit(
        self, base_version: int, changes: TableChanges, proposal: Proposal
    ) -> TableEdit:
        """Return an edit with an identifier of its own."""
        return TableEdit(
            f"e{make_id(self.rng)}",
            base_version,
            proposal.author,
            proposal.reason,
            self.clock.utc(),
            changes,
        )

    async def propose(self, edit: TableEdit) -> EditOutcome:
        """Append an edit and find out what became of it.

        An append whose acknowledgment was lost is looked for in the log. If it
        is not there, the same edit is appended again, which is safe: readers
        accept an identifier once.

        :return: the outcome of an accepted edit.
        :raises LogUnavailableError: if the edit certainly was not appended.
        :raises AppendUnknownError: if it stays unknown whether it was accepted.
        :raises TableConflictError: if another edit changed a row first.
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
                    f"edit {edit.edit_id} may have been accepted, now or later; ask "
                    f"again with: wagtailstep-table outcome {edit.edit_id}"
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

    :raises TableConflictError: if the edit lost to another one.
    :raises TableError: if it was refused for another reason.
    """
    if outcome.verdict is EditVerdict.ACCEPTED:
        return outcome
    text = f"edit {outcome.edit_id} was refused: {outcome.reason}"
    if outcome.winner:
        raise TableConflictError(text, outcome.winner)
    raise TableError(text)
