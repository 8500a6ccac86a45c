"""The condition for putting the first table after a daemon's start in force."""

from datetime import timedelta

import attrs

from wagtailstep.models.settings import TableSettings
from wagtailstep.models.table_messages import TableDigest
from wagtailstep.utils.clock import Clock


@attrs.define
class FirstTableCheck:
    """Checks that the first table is not outdated, by what the log and members report.

    :param recency_limit: how long reaching the end of the log counts as recent.
    :param member_digests: most advanced digest that each member sent.
    :param seen_in_force: whether a member reported that its table is in force.
    :param requesting_since: when this daemon first requested digests of members.
    :param first_caught_up_at: when the log's end was first reached; ``None`` if
        never.
    :param caught_up_at: when the log's end was last reached; ``None`` if never.
    :param caught_up_offset: offset of the log's end then.
    """

    settings: TableSettings
    clock: Clock
    recency_limit: timedelta
    member_digests: dict[str, TableDigest] = attrs.field(factory=dict)
    seen_in_force: bool = False
    requesting_since: timedelta | None = None
    first_caught_up_at: timedelta | None = None
    caught_up_at: timedelta | None = None
    caught_up_offset: int = 0

    def mark_requesting(self) -> None:
        """Record that digests of members are being requested."""
        if self.requesting_since is None:
            self.requesting_since = self.clock.monotonic()

    def record_digest(self, member: str, digest: TableDigest) -> None:
        """Record a member's digest if it is not older than its last one."""
        before = self.member_digests.get(member)
        if before is None or before.position <= digest.position:
            self.member_digests[member] = digest
        self.seen_in_force = self.seen_in_force or digest.in_force

    def furthest_position(self) -> int:
        """Return the highest position that a member reported; -1 if none did."""
        return max(
            (digest.position for digest in self.member_digests.values()), default=-1
        )

    def record_caught_up(self, offset: int) -> None:
        """Record that the log's end was reached."""
        self.caught_up_at = self.clock.monotonic()
        if self.first_caught_up_at is None:
            self.first_caught_up_at = self.caught_up_at
        self.caught_up_offset = offset

    def is_caught_up(self) -> bool:
        """Return whether the log's end was reached within the recency limit."""
        if self.caught_up_at is None:
            return False
        return self.clock.monotonic() - self.caught_up_at < self.recency_limit

    def accepts(self, position: int, other_count: int) -> bool:
        """Return whether a table is at least as new as all that were reported.

        :param position: offset of the next record of its fold; -1 for no table.
        :param other_count: number of other members known.
        """
        if position < 0 or position < self.furthest_position():
            return False
        if self.caught_up_at is not None:
            is_held = self.is_held_elsewhere(position, other_count)
            return position >= self.caught_up_offset and is_held
        return self.has_enough_answers(other_count)

    def is_held_elsewhere(self, position: int, other_count: int) -> bool:
        """Return whether another daemon has the table too, or the wait timed out."""
        if not other_count or self.furthest_position() >= position:
            return True
        assert self.first_caught_up_at is not None
        timeout = timedelta(milliseconds=self.settings.confirm_timeout_ms)
        return self.clock.monotonic() - self.first_caught_up_at >= timeout

    def has_enough_answers(self, other_count: int) -> bool:
        """Return whether enough members answered for a start without the log."""
        # A member without a table in force may have read only part of the log.
        if self.requesting_since is None or not self.seen_in_force:
            return False
        if len(self.member_digests) >= min(self.settings.first_answers, other_count):
            return True
        timeout = timedelta(milliseconds=self.settings.first_answers_timeout_ms)
        return self.clock.monotonic() - self.requesting_since >= timeout
