"""Published table documents, and the messages by which daemons exchange them."""

import attrs
import msgspec

from wagtailstep.utils.codec import message


@attrs.frozen
class TableDocument:
    """One version of the table as it was published.

    :param version: its version; a higher version replaces it.
    :param data: the document in the format of the platform.
    """

    version: int
    data: bytes


@attrs.frozen
class TablePublished:
    """A version of the table was read from the platform.

    :param document: the document.
    :param source: where it was read; for log lines.
    """

    document: TableDocument
    source: str


@message
class TableVersionMessage(msgspec.Struct, array_like=True, frozen=True):
    """Report the version in force at the sender.

    :param version: the version; -1 for none.
    :param reader_age_ms: time since a designated reader of the table was last known to
        read, in milliseconds; negative if unknown.
    :param store_era: the newest known era of the platform's store; negative if unknown.
    """

    version: int
    reader_age_ms: int = -1
    store_era: int = -1


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
