"""Choosing members to pass the table on to."""

import random
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.fleet import Member, MemberState

# Draws beyond those asked for, in place of this daemon itself and of gone members.
SPARE_DRAWS = 8

_GONE = (MemberState.DEAD, MemberState.LEAVING)


@attrs.define
class TableMembers:
    """The other members, as far as this daemon knows them."""

    daemon_id: str
    blackboard: Blackboard
    rng: random.Random

    def count(self) -> int:
        """Return the number of other members that may answer."""
        return sum(self._may_answer(m) for m in self.blackboard.members.values())

    def sample(self, count: int) -> list[Member]:
        """Return some random members."""
        members = self.blackboard.members
        names = list(members)
        drawn = self.rng.sample(names, min(len(names), count + SPARE_DRAWS))
        usable = [members[name] for name in drawn if self._may_answer(members[name])]
        return usable[:count]

    def _may_answer(self, member: Member) -> bool:
        return member.daemon_id != self.daemon_id and member.state not in _GONE

    def send_to(self, daemon_id: str, message: Any) -> list[SendToPeer]:
        """Return the effect that sends a message to a known member."""
        member = self.blackboard.members.get(daemon_id)
        return [] if member is None else [SendToPeer(member.peer_address, message)]
