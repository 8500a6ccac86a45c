"""Builds published tables with many client accounts in steps."""

from datetime import timedelta

import attrs

from wagtailstep.models.peer import CompressedMessage, MessageCompressor
from wagtailstep.models.published_table import TableDocument, TableDocumentMessage
from wagtailstep.models.table import Table

# In one step, 47,000 accounts with two keys each stall the event loop for 670 to 750 ms
# (docs/measurements/accounts.md).
ACCOUNTS_PER_STEP = 400
BUILD_PAUSE = timedelta(milliseconds=5)
# Compressing the document of 47,000 accounts for another daemon takes 130 ms.
COMPRESSED_BYTES_PER_STEP = 1 << 18
# Larger documents with accounts are compressed in steps, once.
LARGE_BYTES = 1 << 18


@attrs.define
class TableBuild:
    """A table to which client accounts may still have to be added.

    :param document: the document that it is built from.
    :param source: where the document was read; for log lines.
    :param table: the table; not in force yet.
    :param message: the document for other daemons.
    :param compressor: compresses the message if the document is large.
    """

    document: TableDocument
    source: str
    table: Table
    message: TableDocumentMessage | CompressedMessage
    compressor: MessageCompressor | None = None

    @property
    def is_large(self) -> bool:
        """Return whether each step has to be small enough not to delay requests."""
        accounts = self.table.client_accounts
        return accounts is not None and len(self.document.data) > LARGE_BYTES

    def advance(self) -> bool:
        """Do the next step.

        :return: whether the table is complete.
        """
        accounts = self.table.client_accounts
        if accounts is not None and not accounts.complete:
            accounts.add_next(ACCOUNTS_PER_STEP)
            return accounts.complete and not self.is_large
        if not self.is_large:
            return True
        if self.compressor is None:
            self.compressor = MessageCompressor(self.message)
        compressed = self.compressor.advance(COMPRESSED_BYTES_PER_STEP)
        if compressed is None:
            return False
        self.message = compressed
        return True


def start_build(document: TableDocument, source: str, table: Table) -> TableBuild:
    """Return the build of a table from its document."""
    message = TableDocumentMessage(document.version, document.data)
    return TableBuild(document, source, table, message)


class TableBuilder:
    """Builds one table at a time.

    A build is finished before a newer one starts; otherwise versions that follow each
    other faster than they are built would never come into force.

    Attributes: ``current``, the unfinished build; ``waiting``, the newest one that was
    added during it.
    """

    def __init__(self) -> None:
        self.current: TableBuild | None = None
        self.waiting: TableBuild | None = None

    @property
    def version(self) -> int:
        """Return the newest version that was added and is unfinished, or -1."""
        newest = self.waiting or self.current
        return -1 if newest is None else newest.document.version

    def add(self, build: TableBuild) -> bool:
        """Add the build of a newer version than that of all earlier builds.

        :return: whether it is the next one to do a step of.
        """
        if self.current is not None:
            self.waiting = build
            return False
        self.current = build
        return True

    def advance(self) -> TableBuild | None:
        """Do the next step.

        :return: the build that this completed, if any.
        """
        build = self.current
        if build is None or not build.advance():
            return None
        self.current, self.waiting = self.waiting, None
        return build
