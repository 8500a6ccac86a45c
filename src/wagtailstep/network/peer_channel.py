"""The control channel between daemons, over ZeroMQ."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable

import attrs
import zmq
import zmq.asyncio

from wagtailstep.exceptions import DecodeError
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import decode_message, encode_message
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)

SEND_HIGH_WATER_MARK = 32
RECEIVE_HIGH_WATER_MARK = 1_000
# A table document with 47,000 client accounts has 2.1 MiB when compressed.
MAX_MESSAGE_BYTES = 4 << 20
MAX_PENDING = 16
MAX_CONNECTIONS = 256
CONNECT_TIMEOUT_MS = 500
RETRY_INTERVAL_MS = 10
SWEEP_INTERVAL_MS = 1_000
IDLE_TIMEOUT_MS = 5_000
MAX_CONNECTION_AGE_MS = 20_000
MAX_REPORTED_SENDERS = 256


@attrs.define
class ChannelCounters:
    """Traffic counters of a channel.

    :param sent: messages handed to ZeroMQ.
    :param sent_bytes: their size without the framing of the transport.
    :param received: messages received.
    :param received_bytes: their size without the framing of the transport.
    :param dropped: messages dropped before they were sent.
    :param malformed: received messages that could not be decoded.
    :param connections: connections opened.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: int = 0
    malformed: int = 0
    connections: int = 0


@attrs.define
class PeerConnection:
    """An outgoing connection.

    :param socket: a DEALER socket.
    :param opened_at: monotonic time in milliseconds.
    :param last_used_at: monotonic time in milliseconds of the last send.
    :param pending: messages queued until the connection is established, each with
        the monotonic time in milliseconds at which it expires.
    """

    socket: zmq.Socket
    opened_at: float
    last_used_at: float
    pending: deque[tuple[float, list[bytes]]] = attrs.field(factory=deque)


class ZeroMqPeerChannel:
    """Control channel that drops messages instead of blocking or queueing them.

    Messages are queued only while a connection is being opened, for a short time and
    in small number. Connections are replaced when they reach a maximum age, since the
    sender can't distinguish an unresponsive connection from a working one.

    :param settings: address to bind and identifier of this daemon.
    :param clock: used for the age of connections.
    """

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self.daemon_id = settings.daemon_id.encode()
        self.address = settings.peer_address
        self.clock = clock
        self.counters = ChannelCounters()
        self.context = zmq.asyncio.Context()
        self.send_context = zmq.Context.shadow(self.context)
        self.router: zmq.asyncio.Socket | None = None
        self.connections: dict[str, PeerConnection] = {}
        self.retired_sockets: list[zmq.Socket] = []
        self.reported_senders: set[bytes] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.retry_needed = asyncio.Event()

    async def start(self, deliver: Callable[[str, object], None]) -> None:
        """Bind and start receiving; port 0 in ``address`` becomes the bound port.

        :param deliver: called with the sender's ``daemon_id`` and the message.
        """
        router = self.context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.RCVHWM, RECEIVE_HIGH_WATER_MARK)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        router.bind(f"tcp://{self.address}")
        endpoint = router.getsockopt(zmq.LAST_ENDPOINT).decode()
        self.address = endpoint.removeprefix("tcp://")
        self.router = router
        self.tasks = [
            asyncio.ensure_future(self._run_receiver(router, deliver)),
            asyncio.ensure_future(self._run_retries()),
            asyncio.ensure_future(self._run_sweeps()),
        ]

    def send(self, address: str, message: object, urgent: bool = False) -> None:
        """Send one message, or drop it; never blocks and never raises.

        :param address: ``host:port`` of the receiver's control channel.
        :param urgent: whether it precedes other messages queued for the connection.
        """
        frames = [self.daemon_id, encode_message(message)]
        connection = self._connect(address)
        if connection is None:
            self.counters.dropped += 1
            return
        connection.last_used_at = self._now_ms()
        if connection.pending or not self._send_now(connection, frames):
            self._queue_for_connection(connection, frames, urgent)

    async def close(self) -> None:
        """Stop receiving, drop unsent messages and log the counters."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        log_event(LOGGER, "channel-closed", **attrs.asdict(self.counters))
        for connection in self.connections.values():
            connection.socket.close()
        for socket in self.retired_sockets:
            socket.close()
        self.connections.clear()
        self.retired_sockets.clear()
        if self.router is not None:
            self.router.close()
        self.context.term()

    def _now_ms(self) -> float:
        return self.clock.monotonic().total_seconds() * 1_000

    def _connect(self, address: str) -> PeerConnection | None:
        connection = self.connections.get(address)
        if connection is not None:
            return connection
        if len(self.connections) >= MAX_CONNECTIONS:
            self._retire_least_recently_used()
        now = self._now_ms()
        socket = self._open_socket(address)
        if socket is None:
            return None
        connection = PeerConnection(socket, now, now)
        self.connections[address] = connection
        self.counters.connections += 1
        return connection

    def _open_socket(self, address: str) -> zmq.Socket | None:
        socket = self.send_context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, 1)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError as error:
            socket.close()
            log_event(
                LOGGER,
                "peer-address-unusable",
                logging.WARNING,
                address=address,
                error=error,
            )
            return None
        return socket

    def _send_now(self, connection: PeerConnection, frames: list[bytes]) -> bool:
        try:
            connection.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self.counters.sent += 1
        self.counters.sent_bytes += sum(map(len, frames))
        return True

    def _queue_for_connection(
        self, connection: PeerConnection, frames: list[bytes], urgent: bool
    ) -> None:
        if len(connection.pending) >= MAX_PENDING:
            self.counters.dropped += 1
            return
        item = (self._now_ms() + CONNECT_TIMEOUT_MS, frames)
        if urgent:
            connection.pending.appendleft(item)
        else:
            connection.pending.append(item)
        self.retry_needed.set()

    async def _run_retries(self) -> None:
        while True:
            await self.retry_needed.wait()
            self.retry_needed.clear()
            await asyncio.sleep(RETRY_INTERVAL_MS / 1_000)
            for connection in self.connections.values():
                self._retry(connection)

    def _retry(self, connection: PeerConnection) -> None:
        pending = connection.pending
        now = self._now_ms()
        while pending:
            expires_at, frames = pending[0]
            if self._send_now(connection, frames):
                pending.popleft()
            elif now >= expires_at:
                pending.popleft()
                self.counters.dropped += 1
            else:
                self.retry_needed.set()
                return

    async def _run_sweeps(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1_000)
            while self.retired_sockets:
                self.retired_sockets.pop().close()
            now = self._now_ms()
            for address, connection in list(self.connections.items()):
                idle = now - connection.last_used_at >= IDLE_TIMEOUT_MS
                old = now - connection.opened_at >= MAX_CONNECTION_AGE_MS
                if (idle or old) and not connection.pending:
                    self._retire(address)

    def _retire(self, address: str) -> None:
        # Closed at the next sweep, so that messages just sent can still be delivered.
        self.retired_sockets.append(self.connections.pop(address).socket)

    def _retire_least_recently_used(self) -> None:
        least_recently_used = min(
            self.connections, key=lambda name: self.connections[name].last_used_at
        )
        self._retire(least_recently_used)

    async def _run_receiver(
        self, router: zmq.asyncio.Socket, deliver: Callable[[str, object], None]
    ) -> None:
        while True:
            frames = await router.recv_multipart()
            self.counters.received += 1
            self.counters.received_bytes += sum(map(len, frames[1:]))
            self._deliver(frames, deliver)

    def _deliver(
        self, frames: list[bytes], deliver: Callable[[str, object], None]
    ) -> None:
        try:
            if len(frames) != 3:
                raise DecodeError(
                    f"expected a message of 2 parts, got {len(frames) - 1}"
                )
            sender = frames[1].decode()
            message = decode_message(frames[2])
        except (DecodeError, UnicodeDecodeError) as error:
            self._report_malformed(frames, error)
            return
        try:
            deliver(sender, message)
        except Exception:
            LOGGER.exception("event=message-failed sender=%s", sender)

    def _report_malformed(self, frames: list[bytes], error: Exception) -> None:
        self.counters.malformed += 1
        sender = frames[1] if len(frames) == 3 else b""
        if (
            sender in self.reported_senders
            or len(self.reported_senders) >= MAX_REPORTED_SENDERS
        ):
            return
        self.reported_senders.add(sender)
        log_event(
            LOGGER,
            "message-malformed",
            logging.WARNING,
            sender=sender[:64].decode(errors="replace"),
            error=error,
        )
