"""Picks free loopback ports for processes that are started later."""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 32_000


class PortPicker:
    """Picks free loopback ports and keeps them bound until :meth:`release`.

    They are below the usual range of ephemeral ports, so that no outgoing connection
    takes one before its process listens.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []
        self.next_port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT - 1_000)

    def pick(self) -> str:
        """Bind a free port and return its address.

        :raises OSError: if no port is free.
        """
        while self.next_port < LAST_PORT:
            listener = socket.socket()
            self.next_port += 1
            try:
                listener.bind((HOST, self.next_port))
            except OSError:
                listener.close()
                continue
            self.sockets.append(listener)
            return f"{HOST}:{self.next_port}"
        raise OSError(f"no free port below {LAST_PORT}")

    def release(self) -> None:
        """Release all picked ports to the processes that will listen on them."""
        for listener in self.sockets:
            listener.close()


def pick_addresses(count: int) -> list[str]:
    """Return addresses with currently free ports."""
    picker = PortPicker()
    addresses = [picker.pick() for _ in range(count)]
    picker.release()
    return addresses
