"""Which daemons have to do with the services that this daemon serves or wants."""

import random
from datetime import timedelta

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.membership import member_reference

# A small fleet learns of a member's services at the next tick. A rebuild takes about
# 1 us for each member, so a two-thousandth of a core up to 500 members.
LEAST_REBUILD_MS = 100
MOST_REBUILD_MS = 1_000
REBUILD_MS_PER_MEMBER = 2.0


class InterestIndex:
    """Index of the member table by the services of interest to this daemon.

    :param blackboard: where members and wanted services are read.

    Attributes: ``services`` of interest; ``needed`` services by the ``daemon_id``
    that serves them; ``peers`` that serve or want a service, by service;
    ``references`` of members that stand for them in digests.
    """

    def __init__(self, blackboard: Blackboard) -> None:
        self.blackboard = blackboard
        self.services: frozenset[str] = frozenset()
        self.needed: dict[str, frozenset[str]] = {}
        self.peers: dict[str, list[str]] = {}
        self.references: dict[int, str] = {}
        self.rebuild_at = timedelta()

    def refresh(self, now: timedelta) -> bool:
        """Rebuild the index if the interest changed or the index is old.

        :return: whether it was rebuilt.
        """
        board = self.blackboard
        local = board.local_services
        services = frozenset(local | board.requested_services)
        if services == self.services and now < self.rebuild_at:
            return False
        self.services = services
        rebuild_ms = len(board.members) * REBUILD_MS_PER_MEMBER
        rebuild_ms = min(MOST_REBUILD_MS, max(LEAST_REBUILD_MS, rebuild_ms))
        self.rebuild_at = now + timedelta(milliseconds=rebuild_ms)
        self._rebuild()
        return True

    def _rebuild(self) -> None:
        self.needed = {}
        self.references = {}
        self.peers = {service: [] for service in sorted(self.services)}
        this_id = self.blackboard.this_member.daemon_id
        for daemon_id, member in self.blackboard.members.items():
            if daemon_id == this_id:
                continue
            needed = self.services.intersection(member.serves)
            if needed:
                self.needed[daemon_id] = needed
                self.references[member_reference(daemon_id)] = daemon_id
            if member.state is not MemberState.DEAD:
                for service in self.services.intersection(member.services):
                    self.peers[service].append(daemon_id)

    def choose_peers(
        self, service: str, count: int, chosen: set[str], rng: random.Random
    ) -> list[str]:
        """Choose peers of a service, those already chosen for others first.

        :param chosen: peers that a message goes to anyway.
        """
        names = self.peers.get(service, [])
        if len(names) <= count:
            return names
        known = [name for name in names if name in chosen]
        picked = rng.sample(known, min(count, len(known)))
        while len(picked) < count:
            name = rng.choice(names)
            if name not in picked:
                picked.append(name)
        return picked

    def choose_interested(
        self, services: frozenset[str], count: int, rng: random.Random
    ) -> list[Member]:
        """Choose peers that serve or want one of some services."""
        names = {name for service in services for name in self.peers.get(service, ())}
        picked = rng.sample(sorted(names), min(count, len(names)))
        members = self.blackboard.members
        return [members[name] for name in picked if name in members]
