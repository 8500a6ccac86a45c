"""Choosing members to pass the table on to."""

import random
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.fleet import Member, MemberState

_GONE = (MemberState.DEAD, MemberState.LEAVING)


@attrs.define
class TableMembers:
    """The other members, as far as this daemon knows them."""

    daemon_id: str
    blackboard: Blackboard
    rng: random.Random

    def others(self) -> list[Member]:
        """Return the members that may answer, in a fixed order."""
        members = self.blackboard.members
        names = sorted(n for n, m in members.items() if m.state not in _GONE)
        return [members[name] for name in names if name != self.daemon_id]

    def pick(self, count: int) -> list[Member]:
        """Return some random members."""
        members = self.others()
        return self.rng.sample(members, min(count, len(members)))

    def send_to(self, daemon_id: str, message: Any) -> list[SendToPeer]:
        """Return the effect that sends a message to a known member."""
        member = self.blackboard.members.get(daemon_id)
        return [] if member is None else [SendToPeer(member.peer_address, message)]
