"""Choice of the peers that get a daemon's digests.

In a small fleet they are drawn at random. In a large one almost every random draw would
open a new connection, which costs more than the message. There a daemon keeps a few
partners for some time: its successors in several random cycles through all daemons,
which all daemons compute alike. Each daemon therefore also gets digests from as many
others as it sends to, and the cycles together connect everyone in few steps. All but
one of the cycles stay within an availability zone, as bytes between zones are charged.
"""

from collections.abc import Sequence
from datetime import datetime

import xxhash

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.utils.clock import Clock

# With more peers of a service than this a daemon has partners.
MAX_RANDOM_PEERS = 32
# In a zone with fewer peers its cycles would be too short to spread anything.
MIN_ZONE_PEERS = 8
# Within the age at which the channel replaces connections anyway.
PARTNER_PERIOD_S = 20
CYCLE_LENGTH = 2**32


class GossipPartners:
    """The current partners of this daemon, by service, in a large fleet.

    :param blackboard: source of this daemon's name and of the zones.
    :param cycles: number of cycles, and so of partners for one service.
    :param clock: source of the wall-clock time that numbers the periods. A daemon whose
        clock is wrong uses the cycles of another period, which costs others at most one
        of their sources.
    """

    def __init__(self, blackboard: Blackboard, cycles: int, clock: Clock) -> None:
        self.blackboard = blackboard
        self.daemon_id = blackboard.this_member.daemon_id
        self.cycles = cycles
        self.clock = clock
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
        near = self.select_own_zone(names)
        partners = [
            find_successor(
                self.daemon_id,
                names if cycle == 0 or len(near) < MIN_ZONE_PEERS else near,
                self.cycles * period + cycle,
            )
            for cycle in range(self.cycles)
        ]
        self.known[service] = (period, len(names), partners)
        return partners

    def select_own_zone(self, names: Sequence[str]) -> list[str]:
        """Return the peers in this daemon's availability zone."""
        members = self.blackboard.members
        zone = self.blackboard.this_member.availability_zone
        return [
            name
            for name in names
            if name in members and members[name].availability_zone == zone
        ]


def count_periods(now: datetime) -> int:
    """Return the number of the partner period at a wall-clock time."""
    return int(now.timestamp()) // PARTNER_PERIOD_S


def find_successor(daemon_id: str, names: Sequence[str], seed: int) -> str:
    """Return the daemon that follows in the random cycle with a given seed."""
    position = compute_position(daemon_id, seed)

    def compute_distance(name: str) -> int:
        return (compute_position(name, seed) - position) % CYCLE_LENGTH

    return min(names, key=compute_distance)


def compute_position(daemon_id: str, seed: int) -> int:
    """Return a daemon's position on a cycle, below ``CYCLE_LENGTH``."""
    return xxhash.xxh32_intdigest(daemon_id.encode(), seed % CYCLE_LENGTH)
