"""Selection of members to exchange the table with."""

import random
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.fleet import Member, MemberState

# Extra draws, to make up for this daemon itself and unavailable members.
EXTRA_DRAWS = 8

ZONE_SUCCESSORS = 2

_UNAVAILABLE = (MemberState.DEAD, MemberState.LEAVING)


@attrs.define
class TableMembers:
    """The other members that this daemon knows."""

    daemon_id: str
    blackboard: Blackboard
    rng: random.Random

    def count(self) -> int:
        """Return the number of other members that are neither dead nor leaving."""
        return sum(self._may_answer(m) for m in self.blackboard.members.values())

    def sample(self, count: int) -> list[Member]:
        """Return up to a number of random members that may answer."""
        members = self.blackboard.members
        names = list(members)
        drawn = self.rng.sample(names, min(len(names), count + EXTRA_DRAWS))
        usable = [members[name] for name in drawn if self._may_answer(members[name])]
        return usable[:count]

    def list_own_zone(self) -> list[Member]:
        """Return the other members of this daemon's zone that may answer."""
        zone = self.blackboard.this_member.availability_zone
        return [
            member
            for member in self.blackboard.members.values()
            if member.availability_zone == zone and self._may_answer(member)
        ]

    def select_own_zone(self, count: int) -> list[Member]:
        """Return up to a number of members of this daemon's zone.

        If each member of a zone passes something on so, all get it: two successors in
        the order of the names reach everyone past any single member that is gone, and
        the others, random ones, shorten the way.
        """
        usable = self.list_own_zone()
        # Those behind this daemon's name come first, then the order starts over.
        usable.sort(key=lambda each: (each.daemon_id < self.daemon_id, each.daemon_id))
        successors = usable[: min(count, ZONE_SUCCESSORS)]
        others = usable[len(successors) :]
        drawn = self.rng.sample(others, min(count - len(successors), len(others)))
        return successors + drawn

    def is_in_own_zone(self, daemon_id: str) -> bool:
        """Return whether a member is in this daemon's availability zone."""
        member = self.blackboard.members.get(daemon_id)
        zone = self.blackboard.this_member.availability_zone
        return member is not None and member.availability_zone == zone

    def _may_answer(self, member: Member) -> bool:
        return member.daemon_id != self.daemon_id and member.state not in _UNAVAILABLE

    def send_to(self, daemon_id: str, message: Any) -> list[SendToPeer]:
        """Return the effect that sends a message to a known member."""
        member = self.blackboard.members.get(daemon_id)
        return [] if member is None else [SendToPeer(member.peer_address, message)]
