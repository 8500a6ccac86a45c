"""Builder of the digests by which daemons exchange heartbeats."""

from collections.abc import Iterator
from datetime import timedelta

import attrs

from wagtailstep.controllers.packed_standings import MAX_PACKED_STANDINGS, NO_STANDINGS
from wagtailstep.models.membership import AGE_UNIT_MS, Digest, member_reference


@attrs.define
class DigestRows:
    """Rows of one digest.

    :param base: heartbeat of the sender, to which the others are relative.
    """

    base: int
    rows: list[int] = attrs.field(factory=list)
    standings: list[int] = attrs.field(factory=list)

    def add(
        self,
        daemon_id: str,
        heartbeat: int,
        age: timedelta,
        version: int,
        standings: int,
    ) -> None:
        """Add the heartbeat of a daemon.

        :param heartbeat: its number.
        :param age: its age.
        :param version: version of the daemon's targets.
        :param standings: packed standings of the daemon's targets.
        """
        relative = heartbeat - self.base
        reference = member_reference(daemon_id)
        self.rows += (reference, relative, count_age_units(age), version)
        self.standings.append(standings)

    def build(self) -> Digest:
        """Return the digest."""
        return Digest(self.base, tuple(self.rows), tuple(self.standings))


def count_age_units(age: timedelta) -> int:
    """Return an age in units of ``AGE_UNIT_MS``, rounded up."""
    return -(-age // timedelta(milliseconds=AGE_UNIT_MS))


def iterate_rows(digest: Digest) -> Iterator[tuple[int, int, int, int, int]]:
    """Yield reference, heartbeat, age, version and packed standings of each row.

    The age is in units of ``AGE_UNIT_MS``. Standings that are missing or out of range
    are yielded as ``NO_STANDINGS``.
    """
    rows, standings = digest.rows, digest.standings
    for number in range(len(rows) // 4):
        reference, heartbeat, age, version = rows[4 * number : 4 * number + 4]
        packed = standings[number] if number < len(standings) else NO_STANDINGS
        if not NO_STANDINGS <= packed <= MAX_PACKED_STANDINGS:
            packed = NO_STANDINGS
        yield reference, heartbeat + digest.base, age, version, packed
