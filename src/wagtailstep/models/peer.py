"""Envelope of control messages, and interface of the channel that carries them."""

from collections.abc import Callable
from typing import ClassVar, Protocol

import msgspec

from wagtailstep.utils.codec import message


@message
class StampedMessage(msgspec.Struct, array_like=True, frozen=True):
    """A control message with the Lamport time at which it was sent.

    :param lamport: Lamport time of the sender.
    :param body: an encoded message.
    """

    wire_name: ClassVar[str] = "S"

    lamport: int
    body: bytes


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
