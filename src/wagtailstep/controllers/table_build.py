"""Builds published tables with many client accounts in steps."""

from datetime import timedelta

import attrs

from wagtailstep.models.published_table import TableDocument
from wagtailstep.models.table import Table

# 47,000 accounts with two keys each take 200 to 300 ms of processor time in one step,
# during which no request would be served.
ACCOUNTS_PER_STEP = 1_000
BUILD_PAUSE = timedelta(milliseconds=10)


@attrs.frozen
class TableBuild:
    """A table to which client accounts may still have to be added.

    :param document: the document that it is built from.
    :param source: where the document was read; for log lines.
    :param table: the table; not in force yet.
    """

    document: TableDocument
    source: str
    table: Table

    def add_accounts(self) -> bool:
        """Add the next accounts, if any.

        :return: whether the table is complete.
        """
        accounts = self.table.client_accounts
        if accounts is None:
            return True
        accounts.add_next(ACCOUNTS_PER_STEP)
        return accounts.complete


class TableBuilder:
    """Builds one table at a time.

    A build is finished before a newer document is read; otherwise versions that follow
    each other faster than they are built would never come into force.

    Attributes: ``current``, the unfinished build; ``next_document``, the newest
    document that arrived during it, and where it was read.
    """

    def __init__(self) -> None:
        self.current: TableBuild | None = None
        self.next_document: tuple[TableDocument, str] | None = None

    @property
    def version(self) -> int:
        """Return the version that is being built, or -1 if there is none."""
        return -1 if self.current is None else self.current.document.version

    def postpone(self, document: TableDocument, source: str) -> None:
        """Keep a document for the time after the build if it is the newest."""
        waiting = self.next_document
        if waiting is None or document.version > waiting[0].version:
            self.next_document = (document, source)

    def take_next_document(self) -> tuple[TableDocument, str] | None:
        """Return the document that was kept, if any."""
        document, self.next_document = self.next_document, None
        return document

    def advance(self) -> TableBuild | None:
        """Do the next step of the build.

        :return: the build if this completed it.
        """
        build = self.current
        if build is None or not build.add_accounts():
            return None
        self.current = None
        return build
