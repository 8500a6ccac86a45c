"""Steps for the control channel."""

import asyncio
import random
from datetime import timedelta

import attrs
import zmq
from behave import given, then, when

from wagtailstep.models.membership import Ping
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.memory_channel import InMemoryPeerChannel, MemoryNetwork
from wagtailstep.network.peer_channel import (
    CONNECT_TIMEOUT_MS,
    LOGGER,
    MAX_CONNECTION_AGE_MS,
    ZeroMqPeerChannel,
)
from wagtailstep.utils.clock import ManualClock

DELIVERY_TIMEOUT_S = 10


def create_channel(daemon_id, address, clock):
    settings = DaemonSettings(
        daemon_id, "bole", "127.0.0.1:1", "127.0.0.1:1", address, "127.0.0.1:1"
    )
    return ZeroMqPeerChannel(settings, clock)


@attrs.define
class Receiver:
    """Records the messages that a channel delivers and can wait for the first."""

    messages: list = attrs.field(factory=list)
    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)

    def deliver(self, sender, message):
        self.messages.append((sender, message))
        self.arrived.set()

    async def wait(self):
        await asyncio.wait_for(self.arrived.wait(), DELIVERY_TIMEOUT_S)


def run(context, coroutine):
    return context.runner.run(coroutine)


@given("two control channels on loopback")
def create_channels(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.channel_clock = ManualClock()
    context.receivers = [Receiver(), Receiver()]
    context.channels = []
    for name, receiver in zip(("first", "second"), context.receivers, strict=True):
        channel = create_channel(name, "127.0.0.1:0", context.channel_clock)
        run(context, channel.start(receiver.deliver))
        context.channels.append(channel)
        context.add_cleanup(run, context, channel.close())


@when("the first one sends a ping to the second one")
def send_ping(context):
    send_numbered_ping(context, 1)


@when("the first one sends a ping with sequence {sequence:d}")
def send_numbered_ping(context, sequence):
    first, second = context.channels

    async def send():
        first.send(second.address, Ping(sequence, first.address))

    run(context, send())


@when("the first one sends pings 1, 2 and an urgent ping 3")
def send_urgent(context):
    first, second = context.channels

    async def send():
        for sequence in (1, 2, 3):
            ping = Ping(sequence, first.address)
            first.send(second.address, ping, urgent=sequence == 3)

    run(context, send())


def wait_for_sequences(context, count):
    async def wait():
        async with asyncio.timeout(DELIVERY_TIMEOUT_S):
            while len(context.receivers[1].messages) < count:
                await asyncio.sleep(0.01)

    run(context, wait())
    return [message.sequence for _, message in context.receivers[1].messages]


@then("the second one delivers pings 3, 1 and 2 in this order")
def check_order(context):
    found = wait_for_sequences(context, 3)
    assert found == [3, 1, 2], found


@when("the connection of the first one reaches its maximum age and is closed")
def expire_connection(context):
    first, second = context.channels
    wait_for_sequences(context, 1)
    context.channel_clock.advance(timedelta(milliseconds=MAX_CONNECTION_AGE_MS))

    async def wait():
        async with asyncio.timeout(DELIVERY_TIMEOUT_S):
            while second.address in first.connections:
                await asyncio.sleep(0.01)

    run(context, wait())


@then("the second one delivers pings 1 and 99, over 2 connections")
def check_connections(context):
    assert wait_for_sequences(context, 2) == [1, 99]
    assert context.channels[0].counters.connections == 2


@then("the second one delivers the ping with the name of the first")
def check_delivered(context):
    receiver = context.receivers[1]
    run(context, receiver.wait())
    first = context.channels[0]
    assert receiver.messages == [("first", Ping(1, first.address))]


@when("the first one sends 500 pings to an absent peer")
def send_to_absent_peer(context):
    first = context.channels[0]
    # Port 1 is privileged and nobody listens there.
    context.absent = "127.0.0.1:1"

    async def send():
        for sequence in range(500):
            first.send(context.absent, Ping(sequence, first.address))

    run(context, send())


@then("at most {count:d} pings are queued and the others were dropped")
def check_dropped(context, count):
    first = context.channels[0]
    waiting = len(first.connections[context.absent].pending)
    assert 0 < waiting <= count, waiting
    assert first.counters.dropped == 500 - waiting
    assert first.counters.sent == 0


@when("the second one closes")
def close_second(context):
    run(context, context.channels[1].close())


@when("the ping is dropped at its time limit")
def expire_ping(context):
    first, second = context.channels
    limit = timedelta(milliseconds=CONNECT_TIMEOUT_MS)
    context.channel_clock.advance(limit)

    async def wait():
        while first.connections[second.address].pending:
            await asyncio.sleep(0.01)

    run(context, asyncio.wait_for(wait(), DELIVERY_TIMEOUT_S))
    assert first.counters.dropped == 1


@when("a successor starts at the address of the second one")
def start_successor(context):
    address = context.channels[1].address
    successor = create_channel("successor", address, context.channel_clock)
    context.receivers[1] = Receiver()
    run(context, successor.start(context.receivers[1].deliver))
    context.channels[1] = successor
    context.add_cleanup(run, context, successor.close())


@then("the successor delivers only the ping with sequence {sequence:d}")
def check_successor(context, sequence):
    receiver = context.receivers[1]
    run(context, receiver.wait())
    assert [message.sequence for _, message in receiver.messages] == [sequence]


@when("{count:d} malformed messages are sent to the second one")
def send_malformed(context, count):
    second = context.channels[1]

    async def send():
        socket = zmq.Context.instance().socket(zmq.DEALER)
        socket.connect(f"tcp://{second.address}")
        for _ in range(count):
            socket.send_multipart([b"rogue", b"\xff\x00 not a message"])
        async with asyncio.timeout(DELIVERY_TIMEOUT_S):
            while second.counters.malformed < count:
                await asyncio.sleep(0.01)
        socket.close(0)

    context.channel_log_records = []
    LOGGER.addFilter(lambda record: context.channel_log_records.append(record) or True)
    context.add_cleanup(LOGGER.filters.clear)
    run(context, send())


@then("the second one logged {lines:d} malformed message of {count:d}")
def check_malformed(context, lines, count):
    assert context.channels[1].counters.malformed == count
    assert len(context.channel_log_records) == lines


@given('two in-memory channels with a partition from "{sender}" to "{receiver}"')
def create_memory_channels(context, sender, receiver):
    context.network = MemoryNetwork(random.Random(5))
    context.network.rules.block([sender], [receiver])
    context.received = {"a": [], "b": []}


@when("the in-memory network duplicates and delays all messages")
def set_rules(context):
    context.network.rules.duplication = 1.0
    context.network.rules.delay_ms = (0.0, 5.0)
    context.received = {"a": [], "b": []}


@when("each in-memory channel sends {count:d} pings to the other")
def send_pings_both_ways(context, count):
    async def exchange_pings():
        channels = {
            name: InMemoryPeerChannel(context.network, name, f"{name}:1")
            for name in context.received
        }
        for name, channel in channels.items():
            received_by_name = context.received[name]
            await channel.start(
                lambda sender, message, received_by_name=received_by_name: (
                    received_by_name.append(message)
                )
            )
        for sequence in range(count):
            channels["a"].send("b:1", Ping(sequence, "a:1"))
            channels["b"].send("a:1", Ping(sequence, "b:1"))
        await asyncio.sleep(0.02)

    asyncio.run(exchange_pings())


@then('"a" received {first:d} pings and "b" received {second:d}')
def check_received(context, first, second):
    assert len(context.received["a"]) == first
    assert len(context.received["b"]) == second


@then('"a" received {count:d} pings, not in the order of sending')
def check_reordered(context, count):
    sequences = [ping.sequence for ping in context.received["a"]]
    assert len(sequences) == count
    assert sequences != sorted(sequences)
