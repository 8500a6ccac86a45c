"""Measure the processor time of the ZeroMQ channel per message and connection."""

import asyncio
import time
from collections.abc import Callable

import attrs

from wagtailstep.models.membership import Digest
from wagtailstep.models.peer import StampedMessage
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.peer_channel import ZeroMqPeerChannel
from wagtailstep.utils.clock import LoopClock
from wagtailstep.utils.codec import encode_message

MESSAGE_COUNT = 4_000
BURST_SIZE = 8
BURST_INTERVAL_S = 0.01
CONNECTION_COUNT = 200


@attrs.frozen
class ChannelCost:
    """Processor time of both endpoints together, including ZeroMQ's I/O threads.

    :param seconds_per_message: time to send and receive one message.
    :param seconds_per_connection: time to open a connection and close it again.
    """

    seconds_per_message: float
    seconds_per_connection: float


def create_channel(daemon_id: str) -> ZeroMqPeerChannel:
    """Create a channel on a free loopback port."""
    address = "127.0.0.1:0"
    settings = DaemonSettings(daemon_id, "bole", address, address, address, address)
    return ZeroMqPeerChannel(settings, LoopClock())


async def run_channels() -> ChannelCost:
    """Measure messages and connections between two channels in this process."""
    sender, receiver = create_channel("sender"), create_channel("receiver")
    await sender.start(discard_message)
    await receiver.start(discard_message)
    rows = tuple(range(40))
    body = encode_message(Digest(1, rows))
    message = StampedMessage(1_000_000, body)
    idle_cpu_s = await measure_cpu(lambda: None, 50)
    busy_cpu_s = await measure_cpu(
        lambda: send_burst(sender, receiver.address, message),
        MESSAGE_COUNT // BURST_SIZE,
    )
    cpu_per_pause_s = idle_cpu_s / 50
    message_cpu_s = busy_cpu_s - cpu_per_pause_s * (MESSAGE_COUNT // BURST_SIZE)
    reopen_cpu_s = await measure_cpu(
        lambda: send_on_new_connection(sender, receiver.address, message),
        CONNECTION_COUNT,
    )
    per_message = message_cpu_s / max(1, receiver.counters.received)
    per_connection = reopen_cpu_s / CONNECTION_COUNT - cpu_per_pause_s - per_message
    await sender.close()
    await receiver.close()
    return ChannelCost(per_message, per_connection)


def discard_message(sender: str, message: object) -> None:
    """Discard a received message."""


def send_burst(sender: ZeroMqPeerChannel, address: str, message: object) -> None:
    """Send ``BURST_SIZE`` messages."""
    for _ in range(BURST_SIZE):
        sender.send(address, message)


def send_on_new_connection(
    sender: ZeroMqPeerChannel, address: str, message: object
) -> None:
    """Close the current connection and send one message on a new one."""
    connection = sender.connections.pop(address, None)
    if connection is not None:
        connection.socket.close()
    sender.send(address, message)


async def measure_cpu(action: Callable[[], None], times: int) -> float:
    """Return the processor time of this process while repeating an action.

    Includes the pauses between repetitions, which let the channels run.
    """
    started = time.process_time()
    for _ in range(times):
        action()
        await asyncio.sleep(BURST_INTERVAL_S)
    return time.process_time() - started


def measure_channel() -> ChannelCost:
    """Measure the cost of the channel on loopback."""
    return asyncio.run(run_channels())
