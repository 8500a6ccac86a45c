"""Choice of the peers that get a daemon's digests.

In a small fleet they are drawn at random. In a large one almost every random draw would
open a new connection, which costs more than the message. There a daemon keeps a few
partners for some time: its successors in several random cycles through all daemons,
which all daemons compute alike. Each daemon therefore also gets digests from as many
others as it sends to, and the cycles together connect everyone in few steps.
"""

import random
from collections.abc import Sequence
from datetime import datetime

import xxhash

from wagtailstep.utils.clock import Clock

MAX_RANDOM_PEERS = 32
# Within the age at which the channel replaces connections anyway.
PARTNER_PERIOD_S = 20
CYCLE_LENGTH = 2**32


class GossipPartners:
    """The current partners of this daemon, by service.

    :param daemon_id: this daemon.
    :param cycles: number of cycles, and so of partners for one service.
    :param clock: source of the wall-clock time that numbers the periods. A daemon whose
        clock is wrong uses the cycles of another period, which costs others at most one
        of their sources.
    :param rng: source of random draws in small fleets.
    """

    def __init__(
        self, daemon_id: str, cycles: int, clock: Clock, rng: random.Random
    ) -> None:
        self.daemon_id = daemon_id
        self.cycles = cycles
        self.clock = clock
        self.rng = rng
        self.known: dict[str, tuple[int, int, list[str]]] = {}
        self.next_cycles: dict[str, int] = {}

    def choose(self, service: str, names: Sequence[str], count: int) -> list[str]:
        """Return the next partners for a service in turn.

        :param names: the peers of the service, without this daemon.
        """
        partners = self.find_partners(service, names)
        first = self.next_cycles.get(service, 0)
        self.next_cycles[service] = first + count
        chosen = [partners[(first + i) % len(partners)] for i in range(count)]
        return list(dict.fromkeys(chosen))

    def find_partners(self, service: str, names: Sequence[str]) -> list[str]:
        """Return this daemon's successors in the cycles of the current period."""
        period = count_periods(self.clock.utc())
        known = self.known.get(service)
        if known is not None and known[:2] == (period, len(names)):
            if all(name in names for name in known[2]):
                return known[2]
        partners = [
            find_successor(self.daemon_id, names, self.cycles * period + cycle)
            for cycle in range(self.cycles)
        ]
        self.known[service] = (period, len(names), partners)
        return partners


def count_periods(now: datetime) -> int:
    """Return the number of the partner period at a wall-clock time."""
    return int(now.timestamp()) // PARTNER_PERIOD_S


def find_successor(daemon_id: str, names: Sequence[str], seed: int) -> str:
    """Return the daemon that follows in the random cycle with a given seed."""
    position = compute_position(daemon_id, seed)
    return min(
        names, key=lambda name: (compute_position(name, seed) - position) % 2**32
    )


def compute_position(daemon_id: str, seed: int) -> int:
    """Return a daemon's position on a cycle, below ``CYCLE_LENGTH``."""
    return xxhash.xxh32_intdigest(daemon_id.encode(), seed % CYCLE_LENGTH)
