"""Free loopback ports for processes that are started later."""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 32_000


class PortPicker:
    """Pick free loopback ports; all stay bound until :meth:`release`.

    They lie below the ports that systems commonly give to outgoing connections, so
    that none of those takes one before its process listens.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []
        self.next_port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT - 1_000)

    def pick(self) -> str:
        """Return the address of a port that was free.

        :raises OSError: if there is none.
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
        """Free all picked ports for the processes that are to use them."""
        for listener in self.sockets:
            listener.close()


def pick_addresses(count: int) -> list[str]:
    """Return addresses with ports that were free just now."""
    picker = PortPicker()
    addresses = [picker.pick() for _ in range(count)]
    picker.release()
    return addresses
