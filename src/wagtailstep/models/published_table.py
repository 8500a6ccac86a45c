"""A table published whole, and its messages between daemons."""

import attrs
import msgspec

from wagtailstep.utils.codec import message


@attrs.frozen
class TableDocument:
    """One version of the table, as it was published.

    :param version: its version; a higher one replaces it.
    :param data: the document, for the reader of the platform's format.
    """

    version: int
    data: bytes


@attrs.frozen
class TablePublished:
    """A version of the table was read from the platform.

    :param document: the document.
    :param source: where it was read, for logs.
    """

    document: TableDocument
    source: str


@message
class TableVersionMessage(msgspec.Struct, array_like=True, frozen=True):
    """Tell which version is in force; -1 for none."""

    version: int


@message
class TableDocumentMessage(msgspec.Struct, array_like=True, frozen=True):
    """A whole document.

    :param version: as in :class:`TableDocument`.
    :param data: as in :class:`TableDocument`.
    """

    version: int
    data: bytes
