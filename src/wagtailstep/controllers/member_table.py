"""The member table, and the rules by which updates supersede known states."""

from datetime import timedelta

import attrs

from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.membership import MemberChange

MAX_TOMBSTONES = 8_192

_STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def is_newer(
    incarnation: int, state: MemberState, known_incarnation: int, known: MemberState
) -> bool:
    """Return whether an update supersedes the known state of a member.

    A higher incarnation always does. Within one incarnation the worse state does,
    so that all daemons converge in whatever order updates arrive.
    """
    update = (incarnation, _STATE_RANK[state])
    return update > (known_incarnation, _STATE_RANK[known])


@attrs.define
class MemberTable:
    """All known members, and tombstones of removed ones.

    :param members: members by ``daemon_id``, dead ones too; shared with the
        blackboard.
    :param tombstones: last incarnation of removed members, oldest first, so that
        stale updates don't add them again.
    :param died_at: monotonic time at which each dead member was marked dead.
    :param suspected_at: monotonic time at which each suspicion began.
    """

    members: dict[str, Member]
    tombstones: dict[str, int] = attrs.field(factory=dict)
    died_at: dict[str, timedelta] = attrs.field(factory=dict)
    suspected_at: dict[str, timedelta] = attrs.field(factory=dict)

    def is_alone(self, this: Member) -> bool:
        """Return whether no other daemon is known to be alive."""
        return not any(
            member.state is MemberState.ALIVE and name != this.daemon_id
            for name, member in self.members.items()
        )

    def accepts(self, daemon_id: str, incarnation: int, state: MemberState) -> bool:
        """Return whether an update of a member supersedes what is known of it."""
        known = self.members.get(daemon_id)
        if known is not None:
            return is_newer(incarnation, state, known.incarnation, known.state)
        return incarnation > self.tombstones.get(daemon_id, -1)

    def put(self, member: Member, now: timedelta) -> None:
        """Store a member and the time at which its state began."""
        daemon_id = member.daemon_id
        self.members[daemon_id] = member
        self.tombstones.pop(daemon_id, None)
        self.suspected_at.pop(daemon_id, None)
        self.died_at.pop(daemon_id, None)
        if member.state is MemberState.SUSPECT:
            self.suspected_at[daemon_id] = now
        elif member.state is MemberState.DEAD:
            self.died_at[daemon_id] = now

    def get_suspicion(self, daemon_id: str) -> MemberChange | None:
        """Return the suspect or dead state that a daemon has to refute, if any."""
        member = self.members.get(daemon_id)
        if member is not None:
            is_suspected = member.state in (MemberState.SUSPECT, MemberState.DEAD)
            return MemberChange.from_member(member) if is_suspected else None
        incarnation = self.tombstones.get(daemon_id)
        if incarnation is None:
            return None
        return MemberChange.from_state(daemon_id, incarnation, MemberState.DEAD)

    def add_tombstone(self, daemon_id: str, incarnation: int) -> None:
        """Keep only the incarnation of a dead member that is not in the table."""
        last = max(incarnation, self.tombstones.pop(daemon_id, -1))
        self.tombstones[daemon_id] = last
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def expire_dead(self, now: timedelta, retention: timedelta) -> None:
        """Replace members that were dead for the retention period by tombstones."""
        expired = [name for name, at in self.died_at.items() if now - at >= retention]
        for daemon_id in expired:
            del self.died_at[daemon_id]
            member = self.members.pop(daemon_id)
            self.add_tombstone(daemon_id, member.incarnation)

    def expired_suspects(self, now: timedelta, timeout: timedelta) -> list[str]:
        """Return the suspect members that did not refute the suspicion in time."""
        started = self.suspected_at.items()
        return [name for name, at in started if now - at >= timeout]

    def restart_suspicions(self, now: timedelta) -> None:
        """Restart the timeout of all suspicions, after this daemon was paused."""
        self.suspected_at.update(dict.fromkeys(self.suspected_at, now))

    def count_live(self) -> int:
        """Return the number of members that are not known to be dead."""
        return len(self.members) - len(self.died_at)

    def dead_members(self) -> list[Member]:
        """Return the members that are known to be dead."""
        return [self.members[name] for name in self.died_at]
