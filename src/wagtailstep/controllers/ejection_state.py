"""What a daemon keeps of one stream of ejections besides its fold."""

from datetime import timedelta

import attrs

from wagtailstep.controllers.ejection_fold import EjectionFold

# A reader whose last proof of having read the end is older applies no ejection.
FRESHNESS_MS = 5_000
# A claimant counts a returned target as out until it read the return this long
# ago. Longer than FRESHNESS_MS plus the longest read, so that by then no daemon still
# holds the target to be out.
SETTLE_MS = 8_000


@attrs.define
class EjectionLease:
    """What this daemon keeps of one ejection besides the fold.

    :param first_read_at: monotonic time when this daemon read of it.
    :param expires_at: monotonic time when it lapses unless renewed.
    :param read_caught_up: whether the latest renewal was read after the stream's end
        had been reached, and so is not an old one.
    :param renew_at: when this daemon renews it, if it is the claimant.
    :param next_probe_at: when this daemon probes the target, if it is the claimant.
    :param good_probes: probes in a row that succeeded.
    """

    first_read_at: timedelta
    expires_at: timedelta
    renew_at: timedelta
    read_caught_up: bool = False
    next_probe_at: timedelta = timedelta()
    good_probes: int = 0


@attrs.define
class EjectionCount:
    """Ejections of one target in a row.

    :param count: how many.
    :param ended_at: monotonic time when this daemon read of the latest return.
    """

    count: int = 0
    ended_at: timedelta = timedelta()


@attrs.define
class StreamState:
    """One followed stream of ejections.

    :param service: the service.
    :param fold: the fold of its records.
    :param fresh_until: until when the fold is known to be fresh enough.
    :param caught_up: whether the end of the stream was reached once.
    :param leases: by ``target_id``, one for each ejection in the fold.
    :param counts: by ``target_id``.
    :param read_positions: pairs of time and offset, to tell what is settled.
    """

    service: str
    fold: EjectionFold = attrs.field(factory=EjectionFold)
    fresh_until: timedelta = timedelta(seconds=-1)
    caught_up: bool = False
    leases: dict[str, EjectionLease] = attrs.field(factory=dict)
    counts: dict[str, EjectionCount] = attrs.field(factory=dict)
    read_positions: list[tuple[timedelta, int]] = attrs.field(factory=list)

    def record_read_position(self, now: timedelta) -> None:
        """Remember how far the stream was read, as long as that matters."""
        self.read_positions.append((now, self.fold.next_offset))
        oldest = now - timedelta(milliseconds=SETTLE_MS)
        while len(self.read_positions) > 1 and self.read_positions[1][0] <= oldest:
            self.read_positions.pop(0)

    def settled_offset(self, now: timedelta) -> int:
        """Return the first offset not read for at least :data:`SETTLE_MS`."""
        oldest = now - timedelta(milliseconds=SETTLE_MS)
        settled = [offset for at, offset in self.read_positions if at <= oldest]
        return settled[-1] if settled else 0
