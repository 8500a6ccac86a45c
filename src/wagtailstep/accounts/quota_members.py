"""Which daemons decide on the quota of a client account, and for which share of it."""

import heapq
from collections.abc import Iterable
from datetime import timedelta

import xxhash

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.utils.clock import Clock

# A daemon that was usable within this time and did not leave gracefully may be on the
# other side of a partition, where it grants its share of each quota. A value of 10 s
# exceeded the bound by 300 requests in a partition of 22 s.
ABSENCE_MEMORY = timedelta(seconds=60)
# Members are read at once if no tick did so lately, as for the first account.
MAX_AGE = timedelta(seconds=1)
# Bounds the memory for chosen deciders in a fleet of many accounts.
MAX_CACHED_ACCOUNTS = 16_384


# Above this number of hashes, deciders are found anew when they are needed.
MAX_COMPARISONS = 10_000
DECIDERS = 2  # Home and deputy.


def rank_members(account: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the first members for an account by rendezvous hashing.

    A change of members moves only the accounts whose home or deputy joined or left.
    """

    def compute_key(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{account}\n{name}".encode()), name

    return tuple(heapq.nlargest(DECIDERS, members, key=compute_key))


class QuotaMembers:
    """The usable members, and the home and deputy that they give each account.

    Attributes: ``changed_at``, monotonic time at which the usable members last
    changed; ``refreshed_at``, monotonic time at which they were last read.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.usable: frozenset[str] = frozenset()
        self.changed_at = self.refreshed_at = clock.monotonic()
        self.absent_since: dict[str, timedelta] = {}
        self.deciders: dict[str, tuple[str, ...]] = {}
        self.refresh()

    @property
    def this_id(self) -> str:
        """Return the ``daemon_id`` of this daemon."""
        return self.blackboard.this_member.daemon_id

    @property
    def age(self) -> timedelta:
        """Return the time since the members were last read."""
        return self.clock.monotonic() - self.refreshed_at

    @property
    def scale(self) -> float:
        """Return the share of each quota that the usable members grant together."""
        return len(self.usable) / self.total

    @property
    def total(self) -> int:
        """Return the number of usable members and of those that may be cut off."""
        return len(self.usable) + len(self.absent_since)

    def refresh(self) -> None:
        """Read the members anew; call it at each tick while accounts are in use."""
        now = self.refreshed_at = self.clock.monotonic()
        members = self.blackboard.members
        alive = MemberState.ALIVE
        names = [name for name, member in members.items() if member.state is alive]
        usable = frozenset(names or [self.this_id])
        if usable != self.usable:
            self.update_deciders(self.usable - usable, usable - self.usable)
            for daemon_id in self.usable - usable:
                self.absent_since[daemon_id] = now
            self.usable = usable
            self.changed_at = now
        for daemon_id, since in list(self.absent_since.items()):
            member = members.get(daemon_id)
            left = member is not None and member.state is MemberState.LEAVING
            if left or daemon_id in usable or now - since >= ABSENCE_MEMORY:
                del self.absent_since[daemon_id]

    def update_deciders(self, gone: frozenset[str], joined: frozenset[str]) -> None:
        """Apply changed members to the deciders found so far.

        Ranking all members of a large fleet for each account would stall the daemon.
        """
        if len(self.deciders) * len(joined) > MAX_COMPARISONS:
            self.deciders.clear()
            return
        for account, found in list(self.deciders.items()):
            if gone.intersection(found) or len(found) < DECIDERS:
                del self.deciders[account]
            elif joined:
                self.deciders[account] = rank_members(account, (*found, *joined))

    def find_deciders(self, account: str) -> tuple[str, ...]:
        """Return the home of an account and its deputy, if there is another daemon."""
        if self.clock.monotonic() - self.refreshed_at >= MAX_AGE:
            self.refresh()
        found = self.deciders.get(account)
        if found is None:
            if len(self.deciders) >= MAX_CACHED_ACCOUNTS:
                self.deciders.clear()
            found = self.deciders[account] = rank_members(account, self.usable)
        return found

    def is_first(self, account: str) -> bool:
        """Return whether this daemon is the home of an account by its own view."""
        return self.find_deciders(account)[0] == self.this_id

    def is_settled(self, duration: timedelta) -> bool:
        """Return whether the usable members have not changed for a duration."""
        return self.clock.monotonic() - self.changed_at >= duration

    def find(self, daemon_id: str) -> Member | None:
        """Return a known member, or ``None``."""
        return self.blackboard.members.get(daemon_id)
