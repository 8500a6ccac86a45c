"""When a daemon without a table may put its first one in force."""

from datetime import timedelta

import attrs

from wagtailstep.models.settings import TableSettings
from wagtailstep.models.table_messages import TableDigest
from wagtailstep.utils.clock import Clock


@attrs.define
class FirstTableCheck:
    """What a daemon has heard of the table since it started.

    :param recency_limit: how long a read of the log counts as recent.
    :param member_digests: furthest digest that each member sent.
    :param seen_in_force: whether a member told of a table that is in force.
    :param requesting_since: when this daemon began to ask members.
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
        """Note that members are being asked."""
        if self.requesting_since is None:
            self.requesting_since = self.clock.monotonic()

    def record_digest(self, member: str, digest: TableDigest) -> None:
        """Note how far a member's table is."""
        before = self.member_digests.get(member)
        if before is None or before.position <= digest.position:
            self.member_digests[member] = digest
        self.seen_in_force = self.seen_in_force or digest.in_force

    def furthest_position(self) -> int:
        """Return the furthest position that was heard of; -1 for none."""
        return max(
            (digest.position for digest in self.member_digests.values()), default=-1
        )

    def record_caught_up(self, offset: int) -> None:
        """Note that the log's end was reached."""
        self.caught_up_at = self.clock.monotonic()
        if self.first_caught_up_at is None:
            self.first_caught_up_at = self.caught_up_at
        self.caught_up_offset = offset

    def is_caught_up(self) -> bool:
        """Tell whether the log's end was reached a moment ago."""
        if self.caught_up_at is None:
            return False
        return self.clock.monotonic() - self.caught_up_at < self.recency_limit

    def accepts(self, position: int, other_count: int) -> bool:
        """Tell whether a table is as new as any that was heard of.

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
        """Tell whether another daemon has the table too, or none told in time."""
        if not other_count or self.furthest_position() >= position:
            return True
        assert self.first_caught_up_at is not None
        timeout = timedelta(milliseconds=self.settings.confirm_timeout_ms)
        return self.clock.monotonic() - self.first_caught_up_at >= timeout

    def has_enough_answers(self, other_count: int) -> bool:
        """Tell whether enough members answered, for a start without the log."""
        # A member without a table in force may have read a part of the log only.
        if self.requesting_since is None or not self.seen_in_force:
            return False
        if len(self.member_digests) >= min(self.settings.first_answers, other_count):
            return True
        timeout = timedelta(milliseconds=self.settings.first_answers_timeout_ms)
        return self.clock.monotonic() - self.requesting_since >= timeout
