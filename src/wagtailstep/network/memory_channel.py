"""In-memory control channel that can lose, duplicate, delay and reorder messages."""

import asyncio
import random
from collections.abc import Callable

import attrs

from wagtailstep.utils.codec import decode_message, encode_message


@attrs.define
class LinkRules:
    """Faults of the simulated network.

    :param blocked_links: pairs of sender and receiver whose messages are lost; the
        other direction is not affected.
    :param loss: probability that a message is lost.
    :param duplication: probability that a message is delivered twice.
    :param delay_ms: minimum and maximum delay; messages with different delays can be
        reordered.
    """

    blocked_links: set[tuple[str, str]] = attrs.field(factory=set)
    loss: float = 0.0
    duplication: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)

    def block(self, senders: list[str], receivers: list[str]) -> None:
        """Block messages from senders to receivers, but not the other way."""
        self.blocked_links.update((a, b) for a in senders for b in receivers if a != b)

    def draw_delays(
        self, sender: str, receiver: str, rng: random.Random
    ) -> list[float]:
        """Draw the delay in milliseconds of each copy of a message that is delivered.

        A lost message has no copies.
        """
        if (sender, receiver) in self.blocked_links or rng.random() < self.loss:
            return []
        copies = 2 if rng.random() < self.duplication else 1
        return [rng.uniform(*self.delay_ms) for _ in range(copies)]


@attrs.define
class MemoryNetwork:
    """The simulated network that in-memory channels share.

    :param rng: source of randomness for faults.
    :param rules: faults to simulate.
    :param receivers: channels by their addresses.
    """

    rng: random.Random
    rules: LinkRules = attrs.field(factory=LinkRules)
    receivers: dict[str, "InMemoryPeerChannel"] = attrs.field(factory=dict)


class InMemoryPeerChannel:
    """Control channel between daemons in one process.

    :param network: the simulated network.
    :param daemon_id: identifier of this daemon.
    :param address: ``host:port`` by which other channels address this one.
    """

    def __init__(self, network: MemoryNetwork, daemon_id: str, address: str) -> None:
        self.network = network
        self.daemon_id = daemon_id
        self.address = address
        self.deliver: Callable[[str, object], None] | None = None

    async def start(self, deliver: Callable[[str, object], None]) -> None:
        """Start receiving."""
        self.deliver = deliver
        self.network.receivers[self.address] = self

    def send(self, address: str, message: object, urgent: bool = False) -> None:
        """Send one message, subject to the rules of the network."""
        data = encode_message(message)
        receiver = self.network.receivers.get(address)
        if receiver is None:
            return
        delays = self.network.rules.draw_delays(
            self.daemon_id, receiver.daemon_id, self.network.rng
        )
        loop = asyncio.get_running_loop()
        for delay in delays:
            loop.call_later(delay / 1_000, receiver.receive, self.daemon_id, data)

    def receive(self, sender: str, data: bytes) -> None:
        """Deliver a message unless the channel has been closed."""
        if self.deliver is not None:
            self.deliver(sender, decode_message(data))

    async def close(self) -> None:
        """Stop receiving."""
        self.deliver = None
        self.network.receivers.pop(self.address, None)
