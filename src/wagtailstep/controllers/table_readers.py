"""Which daemons follow the published table at the platform.

A change wakes every read that waits for it, so reads by all daemons cost calls in
proportion to the fleet. A few daemons in each availability zone read for all; the
others get new versions from them. If no designated reader is known to read, every
daemon reads for itself.
"""

import math
import random
from datetime import timedelta

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import MemberState
from wagtailstep.models.membership import member_reference
from wagtailstep.utils.clock import Clock

READERS_PER_ZONE = 2
# The age of the last confirmed read travels with the version messages, one a second
# from each daemon, so in a healthy fleet it grows with the logarithm of its size.
MAX_AGE_PER_DOUBLING = timedelta(seconds=1.5)
# Spreads the reads of daemons that miss the readers at the same time.
TAKEOVER_SPREAD = timedelta(seconds=2)
UNKNOWN_AGE_MS = -1


class TableReaders:
    """Decides whether this daemon follows the table at the platform.

    :param blackboard: source of the members and of whether the platform is reachable.
    :param clock: source of monotonic time.
    :param rng: source of this daemon's place in a takeover.
    """

    def __init__(
        self, blackboard: Blackboard, clock: Clock, rng: random.Random
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.confirmed_at = clock.monotonic()
        self.takeover_delay = TAKEOVER_SPREAD * rng.random()

    def must_read(self) -> bool:
        """Return whether this daemon has to follow the table."""
        now = self.clock.monotonic()
        if self.is_designated():
            if self.blackboard.log_reachable:
                self.confirmed_at = now
            return True
        daemons = len(self.blackboard.members)
        max_age = MAX_AGE_PER_DOUBLING * math.log2(max(daemons, 2))
        return now - self.confirmed_at > max_age + self.takeover_delay

    def is_designated(self) -> bool:
        """Return whether this daemon is one of the readers of its zone.

        These are the ones with the lowest hashes of their names. The choice depends
        only on the members, so daemons that know the same ones agree on it. If they
        don't, there is a reader more or less for a while.
        """
        this = self.blackboard.this_member
        own_rank = member_reference(this.daemon_id)
        better = 0
        for member in self.blackboard.members.values():
            if member.daemon_id == this.daemon_id:
                continue
            if member.availability_zone != this.availability_zone:
                continue
            if member.state is not MemberState.ALIVE:
                continue
            better += member_reference(member.daemon_id) < own_rank
        return better < READERS_PER_ZONE

    def measure_age_ms(self) -> int:
        """Return the milliseconds since a designated reader was known to read."""
        age = self.clock.monotonic() - self.confirmed_at
        return age // timedelta(milliseconds=1)

    def observe_age(self, age_ms: int) -> None:
        """Record the age that another daemon knows.

        :param age_ms: as returned by :meth:`measure_age_ms` there; negative if unknown.
        """
        if not 0 <= age_ms <= self.measure_age_ms():
            return
        self.confirmed_at = self.clock.monotonic() - timedelta(milliseconds=age_ms)
