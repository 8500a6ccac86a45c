"""State that a daemon keeps for one stream of ejections besides the fold."""

from datetime import timedelta

import attrs

from wagtailstep.controllers.ejection_fold import EjectionFold

# A reader applies no ejections if it last confirmed reading the end of the stream
# longer ago than this.
FRESHNESS_MS = 5_000
# A claimant counts a returned target as ejected until this long after it read the
# return. Longer than FRESHNESS_MS plus the longest read, so that by then no daemon
# still treats the target as ejected.
SETTLE_MS = 8_000


@attrs.define
class EjectionLease:
    """Lease and probe state of one ejection.

    :param first_read_at: monotonic time when this daemon read the first claim.
    :param expires_at: monotonic time when the ejection lapses unless renewed.
    :param read_caught_up: whether the latest claim was read after the end of the
        stream had been reached once; an earlier one may be long out of date.
    :param renew_at: when the claimant renews the ejection.
    :param next_probe_at: when the claimant probes the target again.
    :param good_probes: consecutive successful probes.
    """

    first_read_at: timedelta
    expires_at: timedelta
    renew_at: timedelta
    read_caught_up: bool = False
    next_probe_at: timedelta = timedelta()
    good_probes: int = 0


@attrs.define
class EjectionCount:
    """Number of consecutive ejections of one target.

    :param count: the number.
    :param ended_at: monotonic time when this daemon read the latest return.
    """

    count: int = 0
    ended_at: timedelta = timedelta()


@attrs.define
class StreamState:
    """State of one followed stream of ejections.

    :param service: the service.
    :param fold: the fold of its records.
    :param fresh_until: monotonic time until which the fold counts as up to date.
    :param caught_up: whether the end of the stream has been reached once.
    :param leases: by ``target_id``, one for each ejection in the fold.
    :param counts: consecutive ejections by ``target_id``.
    :param read_positions: monotonic times of reads and the offsets reached by them.
    """

    service: str
    fold: EjectionFold = attrs.field(factory=EjectionFold)
    fresh_until: timedelta = timedelta(seconds=-1)
    caught_up: bool = False
    leases: dict[str, EjectionLease] = attrs.field(factory=dict)
    counts: dict[str, EjectionCount] = attrs.field(factory=dict)
    read_positions: list[tuple[timedelta, int]] = attrs.field(factory=list)

    def record_read_position(self, now: timedelta) -> None:
        """Record the next offset to read; drop positions older than needed."""
        self.read_positions.append((now, self.fold.next_offset))
        oldest = now - timedelta(milliseconds=SETTLE_MS)
        while len(self.read_positions) > 1 and self.read_positions[1][0] <= oldest:
            self.read_positions.pop(0)

    def settled_offset(self, now: timedelta) -> int:
        """Return the first offset that was unread :data:`SETTLE_MS` ago."""
        oldest = now - timedelta(milliseconds=SETTLE_MS)
        settled = [offset for at, offset in self.read_positions if at <= oldest]
        return settled[-1] if settled else 0
