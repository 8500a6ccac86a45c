"""Published table documents, and the messages by which daemons exchange them."""

from datetime import timedelta

import attrs
import msgspec

from wagtailstep.utils.codec import message


@attrs.frozen
class TableDocument:
    """One version of the table as it was published.

    :param version: its version; a higher version replaces it.
    :param data: the document in the format of the platform. It may hold keys of client
        accounts, so it is left out of ``repr``.
    """

    version: int
    data: bytes = attrs.field(repr=False)


@attrs.frozen
class TablePublished:
    """A version of the table was read from the platform.

    :param document: the document.
    :param source: where it was read; for log lines.
    """

    document: TableDocument
    source: str


@attrs.frozen
class TableReadConfirmed:
    """A read of the table at the platform has ended, with or without a new version.

    :param confirmed_at: monotonic time; each version published before it was part of
        this read or of an earlier one, and was reported by :class:`TablePublished`.
    :param is_readable: whether the newest of them could be decoded.
    """

    confirmed_at: timedelta
    is_readable: bool = True


@attrs.frozen
class ContinueTableBuild:
    """Effect: send :class:`TableBuildDue` after a pause.

    :param pause: time for other work.
    """

    pause: timedelta


@attrs.frozen
class TableBuildDue:
    """The next accounts of a large table are to be added."""


@message
class TableVersionMessage(msgspec.Struct, array_like=True, frozen=True):
    """Report the version in force at the sender.

    :param version: the version; -1 for none.
    :param reader_age_ms: same as ``known_age_ms``, for older releases; negative from
        releases that send documents without a request.
    :param store_era: the newest known era of the platform's store; negative if unknown.
    :param known_age_ms: time in milliseconds since which versions may have been
        published that the sender does not know; negative if it knows of one that it
        can't read, and from older releases.
    """

    version: int
    reader_age_ms: int = -1
    store_era: int = -1
    known_age_ms: int = -1


@message
class TableDocumentRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request the document in force at the receiver if it is newer.

    :param version: the version in force at the sender; -1 for none.
    """

    version: int


@message
class TableDocumentMessage(msgspec.Struct, array_like=True, frozen=True):
    """A complete table document.

    :param version: as in :class:`TableDocument`.
    :param data: as in :class:`TableDocument`.
    """

    version: int
    data: bytes
