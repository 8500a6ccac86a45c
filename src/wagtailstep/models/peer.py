"""Envelope of control messages, and interface of the channel that carries them."""

import zlib
from collections.abc import Callable
from typing import ClassVar, Protocol

import attrs
import msgspec

from wagtailstep.exceptions import DecodeError
from wagtailstep.utils.codec import decode_message, encode_message, message

# Longer than the longest page of members that older releases request.
MAX_UNCOMPRESSED_BYTES = 4_096
MAX_BODY_BYTES = 32 << 20
# Names and addresses repeat so much that higher levels gain little.
COMPRESSION_LEVEL = 1


@attrs.frozen
class CompressedMessage:
    """A message that is encoded and compressed already.

    :param body: the compressed message; it may be large, so ``repr`` leaves it out.
    """

    body: bytes = attrs.field(repr=False)


class MessageCompressor:
    """Compresses one long message in steps.

    :param value: the message.
    """

    def __init__(self, value: object) -> None:
        self.rest = memoryview(encode_message(value))
        self.compressor = zlib.compressobj(COMPRESSION_LEVEL)
        self.chunks: list[bytes] = []

    def advance(self, count: int) -> CompressedMessage | None:
        """Compress the next bytes.

        :param count: number of bytes.
        :return: the complete message if these were the last ones.
        """
        self.chunks.append(self.compressor.compress(self.rest[:count]))
        self.rest = self.rest[count:]
        if self.rest:
            return None
        self.chunks.append(self.compressor.flush())
        return CompressedMessage(b"".join(self.chunks))


@message
class StampedMessage(msgspec.Struct, array_like=True, frozen=True):
    """A control message with the Lamport time at which it was sent.

    :param lamport: Lamport time of the sender.
    :param body: an encoded message.
    :param compressed: whether ``body`` is compressed with zlib. Only replies that no
        older release requests are long enough for that.
    """

    wire_name: ClassVar[str] = "S"

    lamport: int
    body: bytes
    compressed: bool = False

    @classmethod
    def from_message(cls, lamport: int, value: object) -> "StampedMessage":
        """Encode a message; a long one is compressed.

        :raises TypeError: if the class of ``value`` is not registered as a message.
        """
        if isinstance(value, CompressedMessage):
            return cls(lamport, value.body, True)
        body = encode_message(value)
        if len(body) <= MAX_UNCOMPRESSED_BYTES:
            return cls(lamport, body)
        return cls(lamport, zlib.compress(body, COMPRESSION_LEVEL), True)

    def decode_body(self) -> object:
        """Return the message in the body.

        :raises DecodeError: if it is corrupt or not a known message.
        """
        if not self.compressed:
            return decode_message(self.body)
        stream = zlib.decompressobj()
        try:
            body = stream.decompress(self.body, MAX_BODY_BYTES)
        except zlib.error as error:
            raise DecodeError(f"a control message is corrupt: {error}") from error
        if not stream.eof:
            raise DecodeError("a control message is truncated or too long")
        return decode_message(body)


class PeerChannel(Protocol):
    """Carries control messages between daemons; they may get lost, not duplicated."""

    async def start(self, deliver: Callable[[str, object], None]) -> None:
        """Start to receive messages.

        :param deliver: called with the sender's ``daemon_id`` and the message.
        """

    def send(self, address: str, message: object, urgent: bool = False) -> None:
        """Send one message, or drop it; never blocks and never raises.

        :param address: ``host:port`` of the receiver's control channel.
        :param urgent: whether it is sent ahead of other messages that wait for a
            connection.
        """

    async def close(self) -> None:
        """Stop receiving and drop unsent messages."""
