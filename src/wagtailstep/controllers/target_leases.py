"""Targets of other daemons as this daemon knows them, under leases."""

from datetime import timedelta

import attrs

from wagtailstep.controllers.heard_departures import HeardDepartures
from wagtailstep.controllers.packed_standings import NO_STANDINGS, apply_standings
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Target
from wagtailstep.models.membership import TargetsUpdate

MAX_REMEMBERED_HEARTBEATS = 16_384


@attrs.define
class HeldTargets:
    """Targets of one other daemon, and their common lease.

    :param heartbeat: newest heartbeat received of the daemon.
    :param renewed_at: monotonic time at which that heartbeat was made, computed from
        the age that it carried.
    :param held_since: the same for the first heartbeat after which the lease has not
        expired.
    :param newest_version: version of its targets according to the newest heartbeat.
    :param targets_version: version of ``targets``; -1 before the first update.
    :param targets_heartbeat: heartbeat of the daemon when ``targets`` were current.
    :param services: services that ``targets_version`` covers in ``targets``.
    :param targets: the targets.
    :param published: whether ``targets`` are on the blackboard.
    :param positions: position of each target among all of its daemon.
    :param standings: packed standings according to the newest heartbeat.
    """

    heartbeat: int
    renewed_at: timedelta
    newest_version: int
    held_since: timedelta
    targets_version: int = -1
    targets_heartbeat: int = -1
    services: frozenset[str] = frozenset()
    targets: tuple[Target, ...] = ()
    published: bool = False
    positions: dict[str, int] = attrs.field(factory=dict)
    standings: int = NO_STANDINGS

    def is_complete(self, needed: frozenset[str]) -> bool:
        """Return whether the current targets of some services are held."""
        current = self.targets_version == self.newest_version
        return current and self.services.issuperset(needed)


def needs_pull(
    held: HeldTargets | None, needed: frozenset[str], oldest: timedelta
) -> bool:
    """Return whether the targets or a newer heartbeat have to be requested.

    :param oldest: a heartbeat made at this monotonic time or before is too old.
    """
    if held is None or held.renewed_at <= oldest:
        return True
    return not held.is_complete(needed)


class TargetLeases:
    """Leases on the targets of other daemons, renewed by heartbeats.

    :param blackboard: where targets with a valid lease are published.
    :param lease: how long after a heartbeat the daemon's targets may be used.
    """

    def __init__(self, blackboard: Blackboard, lease: timedelta) -> None:
        self.blackboard = blackboard
        self.lease = lease
        self.held_targets: dict[str, HeldTargets] = {}
        self.last_heartbeats: dict[str, int] = {}
        self.departures = HeardDepartures()

    def renew(
        self,
        daemon_id: str,
        heartbeat: int,
        made_at: timedelta,
        version: int,
        standings: int = NO_STANDINGS,
    ) -> bool:
        """Record a heartbeat, which renews the lease.

        :param made_at: monotonic time at which it was made.
        :param standings: packed standings of the targets at that time.
        :return: whether it is newer than all received before.
        """
        if heartbeat <= self.last_heartbeats.get(daemon_id, -1):
            return False
        self._record_heartbeat(daemon_id, heartbeat)
        held = self.held_targets.get(daemon_id)
        if held is None:
            held = HeldTargets(
                heartbeat, made_at, version, held_since=made_at, standings=standings
            )
            self.held_targets[daemon_id] = held
            return True
        held.heartbeat = heartbeat
        held.newest_version = version
        if made_at - held.renewed_at >= self.lease:
            held.held_since = made_at
        held.renewed_at = max(held.renewed_at, made_at)
        held.standings = standings
        if held.targets_version == version:
            self._apply_standings(held)
            if not held.published:
                self._publish(held)
        return True

    def store(self, update: TargetsUpdate, now: timedelta) -> bool:
        """Store the targets of a daemon.

        :return: whether the held targets changed.
        :raises IndexError: if a target is in a state that doesn't exist.
        """
        self.departures.add(
            update.departures, update.daemon_id, self.blackboard.members, now
        )
        targets = tuple(
            self.departures.correct(
                entry.to_target(update.daemon_id, update.availability_zone)
            )
            for entry in update.targets
        )
        made_at = now - timedelta(milliseconds=update.age_ms)
        is_newest = self.renew(
            update.daemon_id, update.heartbeat, made_at, update.version
        )
        held = self.held_targets.get(update.daemon_id)
        if held is None or not self._has_new_targets(update, held):
            return False
        # Targets of services that the update omits stay until they are pulled.
        covered = frozenset(update.services)
        others = tuple(t for t in held.targets if t.service not in covered)
        positions = {
            entry.target_id: entry.position
            for entry in update.targets
            if entry.position >= 0
        }
        if update.version == held.targets_version:
            covered |= held.services
            positions = held.positions | positions
        self._withdraw(held)
        held.targets = targets + others
        held.targets_version = update.version
        held.targets_heartbeat = update.heartbeat
        held.services = covered
        held.positions = positions
        if not is_newest:
            self._apply_standings(held)
        if now - held.renewed_at < self.lease:
            self._publish(held)
        return True

    def _has_new_targets(self, update: TargetsUpdate, held: HeldTargets) -> bool:
        if update.heartbeat < held.targets_heartbeat:
            return False
        if update.version != held.targets_version:
            return True
        return not held.services.issuperset(update.services)

    def is_held_since_before(self, daemon_id: str, time: timedelta) -> bool:
        """Return whether a daemon's targets are held since before a time.

        :param time: monotonic time.
        """
        held = self.held_targets.get(daemon_id)
        return held is not None and held.published and held.held_since < time

    def lapse(self, now: timedelta) -> list[str]:
        """Remove targets whose lease has expired from the blackboard.

        :return: the daemons that they belong to.
        """
        lapsed = []
        self.departures.expire(now)
        for daemon_id, held in self.held_targets.items():
            if held.published and now - held.renewed_at >= self.lease:
                self._withdraw(held)
                if held.targets:
                    lapsed.append(daemon_id)
        return lapsed

    def discard(self, daemon_id: str) -> None:
        """Discard the targets of a daemon, but keep its last heartbeat."""
        held = self.held_targets.pop(daemon_id, None)
        if held is not None:
            self._withdraw(held)

    def _record_heartbeat(self, daemon_id: str, heartbeat: int) -> None:
        if daemon_id not in self.last_heartbeats:
            while len(self.last_heartbeats) >= MAX_REMEMBERED_HEARTBEATS:
                del self.last_heartbeats[next(iter(self.last_heartbeats))]
        self.last_heartbeats[daemon_id] = heartbeat

    def _apply_standings(self, held: HeldTargets) -> None:
        targets = apply_standings(held.targets, held.positions, held.standings)
        if targets == held.targets:
            return
        was_published = held.published
        if was_published:
            self._withdraw(held)
        held.targets = targets
        if was_published:
            self._publish(held)

    def _publish(self, held: HeldTargets) -> None:
        for target in held.targets:
            if target.target_id not in self.blackboard.local_targets:
                self.blackboard.targets[target.target_id] = target
        held.published = True

    def _withdraw(self, held: HeldTargets) -> None:
        for target in held.targets:
            known = self.blackboard.targets.get(target.target_id)
            if known is not None and known.daemon_id == target.daemon_id:
                del self.blackboard.targets[target.target_id]
        held.published = False
