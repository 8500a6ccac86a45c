"""Which daemons serve or request the services of interest to this daemon."""

import random
from datetime import timedelta

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.membership import member_reference

# The short minimum lets a small fleet see a member's services at the next tick. A
# rebuild takes about 2 us per member, so 1/2000 of a core up to 250 members.
MIN_REBUILD_MS = 100
MAX_REBUILD_MS = 1_000
REBUILD_MS_PER_MEMBER = 4.0


class InterestIndex:
    """Index of the member table by service, for the services of interest.

    These are the services that this daemon serves itself or that its callers request.

    :param blackboard: source of the members and of the services of interest.

    Attributes: ``services`` of interest; ``needed_by_member``, the services of
    interest that each daemon serves; ``peers_by_service``, the daemons not known to
    be dead that serve or request a service; ``daemon_ids`` by reference in digests.
    """

    def __init__(self, blackboard: Blackboard) -> None:
        self.blackboard = blackboard
        self.services: frozenset[str] = frozenset()
        self.needed_by_member: dict[str, frozenset[str]] = {}
        self.peers_by_service: dict[str, list[str]] = {}
        self.daemon_ids: dict[int, str] = {}
        self.rebuild_at = timedelta()

    def refresh(self, now: timedelta) -> bool:
        """Rebuild the index if the services of interest changed or it is outdated.

        :return: whether it was rebuilt.
        """
        board = self.blackboard
        local = board.local_services
        services = frozenset(local | board.requested_services)
        if services == self.services and now < self.rebuild_at:
            return False
        self.services = services
        rebuild_ms = len(board.members) * REBUILD_MS_PER_MEMBER
        rebuild_ms = min(MAX_REBUILD_MS, max(MIN_REBUILD_MS, rebuild_ms))
        self.rebuild_at = now + timedelta(milliseconds=rebuild_ms)
        self._rebuild()
        return True

    def _rebuild(self) -> None:
        self.needed_by_member = {}
        self.daemon_ids = {}
        self.peers_by_service = {service: [] for service in sorted(self.services)}
        this_id = self.blackboard.this_member.daemon_id
        for daemon_id, member in self.blackboard.members.items():
            if daemon_id == this_id:
                continue
            needed = self.services.intersection(member.serves)
            if needed:
                self.needed_by_member[daemon_id] = needed
                self.daemon_ids[member_reference(daemon_id)] = daemon_id
            if member.state is not MemberState.DEAD:
                for service in self.services.intersection(member.services):
                    self.peers_by_service[service].append(daemon_id)

    def choose_peers(
        self, service: str, count: int, chosen: set[str], rng: random.Random
    ) -> list[str]:
        """Choose peers of a service, preferring those chosen for other services.

        :param chosen: peers that get a message in any case.
        """
        names = self.peers_by_service.get(service, [])
        if len(names) <= count:
            return names
        reused = [name for name in names if name in chosen]
        picked = rng.sample(reused, min(count, len(reused)))
        while len(picked) < count:
            name = rng.choice(names)
            if name not in picked:
                picked.append(name)
        return picked

    def choose_interested(
        self, services: frozenset[str], count: int, rng: random.Random
    ) -> list[Member]:
        """Choose random peers that serve or request at least one of some services."""
        names = {
            name
            for service in services
            for name in self.peers_by_service.get(service, ())
        }
        picked = rng.sample(sorted(names), min(count, len(names)))
        members = self.blackboard.members
        return [members[name] for name in picked if name in members]
