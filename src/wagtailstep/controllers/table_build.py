"""Builds published tables with many client accounts in steps."""

from datetime import timedelta

import attrs

from wagtailstep.models.published_table import TableDocument
from wagtailstep.models.table import Table

# 47,000 accounts with two keys each take over a second of processor time on a busy
# machine (docs/measurements/accounts.md), during which no request would be served.
ACCOUNTS_PER_STEP = 400
BUILD_PAUSE = timedelta(milliseconds=5)


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
        if build is None or not build.add_accounts():
            return None
        self.current, self.waiting = self.waiting, None
        return build
