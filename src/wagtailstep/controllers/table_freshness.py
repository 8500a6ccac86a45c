"""How old a daemon's knowledge of the published table is, and who reads the table.

A daemon knows up to which time it has every version that was published: from its own
reads at the platform, or from daemons that report the age of their knowledge. A few
daemons in each availability zone read all the time, and tell the others of the zone
after each read. A daemon whose knowledge gets too old in spite of that reads for
itself, whatever the reason, and then tells its zone too, so that few others have to.
"""

import random
from datetime import timedelta

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import MemberState
from wagtailstep.models.membership import member_reference
from wagtailstep.models.settings import TableSettings
from wagtailstep.utils.clock import Clock

READERS_PER_ZONE = 2
# Shares of the time within which a version has to be in force.
READ_INTERVAL_SHARE = 0.7
LONE_READ_INTERVAL_SHARE = 0.45
MAX_AGE_SHARE = 0.6
TAKEOVER_SPREAD_SHARE = 0.15
# Makes up for the time that a report of an age travels. Without it, knowledge that
# daemons pass to each other in turn would never get old.
TRANSIT_ALLOWANCE = timedelta(milliseconds=50)
# A daemon that had to read for itself goes on for this long.
TAKEOVER_TIME = timedelta(seconds=3)
# Time that other daemons get to deliver a version that they have announced.
MAX_BEHIND = timedelta(milliseconds=400)
WAIT_JITTER = 0.1
# Intervals after which a reader that was not heard of again is not relied on, and up to
# which the end of a read still counts as its confirmation.
MAX_PEER_AGE_INTERVALS = 1.15
CONFIRMED_INTERVALS = 0.15
MILLISECOND = timedelta(milliseconds=1)
# Stands for no knowledge at all, until the first read here or elsewhere is heard of.
INITIAL_AGE = timedelta(hours=1)
UNKNOWN_AGE_MS = -1


class TableFreshness:
    """Measures the age of a daemon's knowledge and decides whether it reads.

    :param settings: the time within which a version has to be in force.
    :param blackboard: source of the members; ``table_known_at`` is written.
    :param clock: source of monotonic time.
    :param rng: source of this daemon's place in a takeover and of varied waits.
    """

    def __init__(
        self,
        settings: TableSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        limit = settings.apply_limit_ms * MILLISECOND
        self.read_interval = limit * READ_INTERVAL_SHARE
        self.lone_read_interval = limit * LONE_READ_INTERVAL_SHARE
        self.max_age = limit * MAX_AGE_SHARE
        self.takeover_delay = limit * TAKEOVER_SPREAD_SHARE * rng.random()
        self.known_at = clock.monotonic() - INITIAL_AGE
        self.peer_known_at = self.known_at
        self.too_old_since: timedelta | None = None
        self.reads_until = timedelta()
        self.designated = True
        self.is_first = True

    def confirm_age(self, age_ms: int) -> None:
        """Record the age of the knowledge of a daemon whose version is in force here.

        :param age_ms: as returned by :meth:`measure_age_ms` there; negative if unknown.
        """
        if age_ms < 0:
            return
        known_at = self.clock.monotonic() - age_ms * MILLISECOND - TRANSIT_ALLOWANCE
        if known_at > self.known_at:
            self.peer_known_at = known_at
            self.raise_known_at(known_at)

    def raise_known_at(self, known_at: timedelta) -> None:
        """Record that all versions published before a monotonic time are known."""
        self.known_at = max(self.known_at, known_at)
        self.blackboard.table_known_at = self.known_at

    def measure_age(self) -> timedelta:
        """Return the age of this daemon's knowledge."""
        return self.clock.monotonic() - self.known_at

    def measure_age_ms(self) -> int:
        """Return the age of this daemon's knowledge in milliseconds, rounded up."""
        return -(-self.measure_age() // MILLISECOND)

    def decide_reading(self, behind: timedelta) -> bool:
        """Return whether this daemon reads the table at the platform from now on.

        :param behind: time since a newer version than the one in force was announced;
            zero if there is none.
        """
        now = self.clock.monotonic()
        if self.is_too_old(now) or behind > MAX_BEHIND:
            self.reads_until = now + TAKEOVER_TIME
        return self.designated or now < self.reads_until

    def is_too_old(self, now: timedelta) -> bool:
        """Return whether the knowledge has been too old for this daemon's delay.

        The delays differ, so that daemons whose knowledge gets too old at the same time
        don't all read.
        """
        if now - self.known_at <= self.max_age:
            self.too_old_since = None
            return False
        if self.too_old_since is None:
            self.too_old_since = now
        return now - self.too_old_since >= self.takeover_delay

    def choose_wait(self) -> timedelta:
        """Return for how long the next read at the platform may wait for a change.

        Readers that hear of each other read by turns: one at its own pace, the others
        half an interval later. A read that brought a change confirms little, so the
        next one ends sooner, as do the reads of a daemon that hears of no reader.
        """
        now = self.clock.monotonic()
        interval = self.read_interval
        peer_age = now - self.peer_known_at
        if peer_age > interval * MAX_PEER_AGE_INTERVALS or (
            now - self.known_at > interval * CONFIRMED_INTERVALS
        ):
            factor = self.rng.uniform(1 - WAIT_JITTER, 1)
            wait = self.known_at + self.lone_read_interval * factor - now
            return max(wait, timedelta())
        if self.is_first:
            return interval
        wait = (interval / 2 - peer_age) % interval
        # A read that has just ended need not be repeated at once.
        return wait if wait > interval / 4 else wait + interval

    def update_designated(self) -> None:
        """Find out whether this daemon is one of the readers of its zone.

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
        self.is_first = better == 0
        self.designated = better < READERS_PER_ZONE
