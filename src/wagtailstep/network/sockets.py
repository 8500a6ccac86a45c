"""State and reset of the sockets below asyncio's transports."""

import asyncio
import select
import socket
import struct

LINGER_AND_RESET = struct.pack("ii", 1, 0)


def poll_socket(transport: asyncio.BaseTransport, events: int) -> int:
    """Return which events a socket has now, errors included; 0 if it is closed here.

    :param events: those to look for, as in :meth:`select.poll.register`.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    poller = select.poll()
    poller.register(sock, events)
    found = poller.poll(0)
    return found[0][1] if found else 0


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has reset the connection, or it is closed here."""
    sock = transport.get_extra_info("socket")
    is_closed = sock is None or sock.fileno() < 0
    return is_closed or bool(poll_socket(transport, 0))


def reset_transport(transport: asyncio.WriteTransport) -> None:
    """Close immediately and make the kernel drop undelivered data.

    Otherwise the kernel would go on delivering a request that was abandoned.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_AND_RESET)
    transport.abort()
