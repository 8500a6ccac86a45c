"""What this daemon holds of the targets beside other daemons."""

from datetime import timedelta

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Target
from wagtailstep.models.membership import TargetsUpdate

MAX_REMEMBERED_BEATS = 16_384


@attrs.define
class Holding:
    """Targets beside one other daemon, and their common lease.

    :param heartbeat: newest heartbeat heard of the daemon.
    :param renewed_at: monotonic time at which that heartbeat was made, as far as
        the ages on its way tell.
    :param version: version of its targets that the newest heartbeat names.
    :param held_version: version of ``targets``; -1 before the first update.
    :param held_beat: heartbeat at which ``targets`` were so.
    :param services: services that ``held_version`` covers in ``targets``.
    :param targets: the targets.
    :param published: whether ``targets`` are on the blackboard.
    """

    heartbeat: int
    renewed_at: timedelta
    version: int
    held_version: int = -1
    held_beat: int = -1
    services: frozenset[str] = frozenset()
    targets: tuple[Target, ...] = ()
    published: bool = False

    def is_complete(self, needed: frozenset[str]) -> bool:
        """Tell whether the targets of some services are held as they are now."""
        current = self.held_version == self.version
        return current and self.services.issuperset(needed)


def is_lacking(
    holding: Holding | None, needed: frozenset[str], oldest: timedelta
) -> bool:
    """Tell whether targets have to be asked for.

    :param oldest: monotonic time before which a heartbeat is too old.
    """
    if holding is None or holding.renewed_at <= oldest:
        return True
    return not holding.is_complete(needed)


class TargetLeases:
    """Leases on the targets of other daemons, renewed by heartbeats.

    :param blackboard: where targets with a valid lease are published.
    :param lease: how long after its heartbeat a target may be used.
    """

    def __init__(self, blackboard: Blackboard, lease: timedelta) -> None:
        self.blackboard = blackboard
        self.lease = lease
        self.holdings: dict[str, Holding] = {}
        self.last_beats: dict[str, int] = {}

    def renew(
        self, daemon_id: str, heartbeat: int, made_at: timedelta, version: int
    ) -> bool:
        """Take a heartbeat.

        :param made_at: monotonic time at which it was made.
        :return: whether it is newer than all heard before.
        """
        if heartbeat <= self.last_beats.get(daemon_id, -1):
            return False
        self._remember(daemon_id, heartbeat)
        holding = self.holdings.get(daemon_id)
        if holding is None:
            self.holdings[daemon_id] = Holding(heartbeat, made_at, version)
            return True
        holding.heartbeat = heartbeat
        holding.version = version
        holding.renewed_at = max(holding.renewed_at, made_at)
        if not holding.published and holding.held_version == version:
            self._publish(holding)
        return True

    def store(self, update: TargetsUpdate, now: timedelta) -> bool:
        """Take the targets of a daemon.

        :return: whether it changed what is held.
        :raises IndexError: if a target is in a state that doesn't exist.
        """
        targets = tuple(
            entry.to_target(update.daemon_id, update.availability_zone)
            for entry in update.targets
        )
        made_at = now - timedelta(milliseconds=update.age_ms)
        self.renew(update.daemon_id, update.heartbeat, made_at, update.version)
        holding = self.holdings.get(update.daemon_id)
        if holding is None or not self._adds(update, holding):
            return False
        # Targets of services that the update leaves out stay until they are pulled.
        covered = frozenset(update.services)
        others = tuple(t for t in holding.targets if t.service not in covered)
        if update.version == holding.held_version:
            covered |= holding.services
        self._withdraw(holding)
        holding.targets = targets + others
        holding.held_version = update.version
        holding.held_beat = update.heartbeat
        holding.services = covered
        if now - holding.renewed_at < self.lease:
            self._publish(holding)
        return True

    def _adds(self, update: TargetsUpdate, holding: Holding) -> bool:
        if update.heartbeat < holding.held_beat:
            return False
        if update.version != holding.held_version:
            return True
        return not holding.services.issuperset(update.services)

    def lapse(self, now: timedelta) -> list[str]:
        """Take targets whose lease is over off the blackboard.

        :return: the daemons that they are beside.
        """
        lapsed = []
        for daemon_id, holding in self.holdings.items():
            if holding.published and now - holding.renewed_at >= self.lease:
                self._withdraw(holding)
                if holding.targets:
                    lapsed.append(daemon_id)
        return lapsed

    def drop(self, daemon_id: str) -> None:
        """Forget the targets of a daemon, but not its last heartbeat."""
        holding = self.holdings.pop(daemon_id, None)
        if holding is not None:
            self._withdraw(holding)

    def _remember(self, daemon_id: str, heartbeat: int) -> None:
        if daemon_id not in self.last_beats:
            while len(self.last_beats) >= MAX_REMEMBERED_BEATS:
                del self.last_beats[next(iter(self.last_beats))]
        self.last_beats[daemon_id] = heartbeat

    def _publish(self, holding: Holding) -> None:
        for target in holding.targets:
            if target.target_id not in self.blackboard.local_targets:
                self.blackboard.targets[target.target_id] = target
        holding.published = True

    def _withdraw(self, holding: Holding) -> None:
        for target in holding.targets:
            known = self.blackboard.targets.get(target.target_id)
            if known is not None and known.daemon_id == target.daemon_id:
                del self.blackboard.targets[target.target_id]
        holding.published = False
