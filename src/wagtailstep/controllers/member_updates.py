"""Which news of members goes onto the next message."""

import math

import attrs

from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.membership import MemberChange, MemberEntry, MemberUpdates

UPDATES_BYTES_PER_MESSAGE = 1_000
CHANGE_OVERHEAD_BYTES = 13
RETRANSMIT_FACTOR = 4


@attrs.define
class PendingUpdate:
    """News of one member that has to be sent some more times.

    :param sends_left: messages that it still goes onto.
    :param urgent: whether it goes before routine news.
    :param whole: whether the receiver needs the whole entry.
    """

    sends_left: int
    urgent: bool
    whole: bool


@attrs.define
class UpdateQueue:
    """News waiting to be sent, at most one piece for each member.

    :param members: the member table, where the content is read when it is sent.
    """

    members: dict[str, Member]
    pending: dict[str, PendingUpdate] = attrs.field(factory=dict)

    def add(self, member: Member, whole: bool) -> None:
        """Queue the newest news of a member; it replaces what was queued of it."""
        sends = RETRANSMIT_FACTOR * math.ceil(math.log10(len(self.members) + 1))
        urgent = member.state is not MemberState.ALIVE
        queued = self.pending.pop(member.daemon_id, None)
        whole = whole or (queued is not None and queued.whole)
        self.pending[member.daemon_id] = PendingUpdate(max(sends, 2), urgent, whole)

    def clear(self) -> None:
        """Forget all news that is waiting."""
        self.pending.clear()

    def take(self, exclude: str = "") -> MemberUpdates:
        """Return the news for one message: urgent first, then the least sent.

        :param exclude: member that the message goes to; it knows its own news.
        """
        if not self.pending:
            return MemberUpdates()
        entries: list[MemberEntry] = []
        changes: list[MemberChange] = []
        size = 0
        for daemon_id in self._order():
            member = self.members.get(daemon_id)
            if member is None:
                del self.pending[daemon_id]
                continue
            if daemon_id == exclude:
                continue
            update = self.pending[daemon_id]
            size += estimate_bytes(member, update.whole)
            if size > UPDATES_BYTES_PER_MESSAGE and (entries or changes):
                break
            if update.whole:
                entries.append(MemberEntry.from_member(member))
            else:
                changes.append(MemberChange.from_member(member))
            self._count(daemon_id, update)
        return MemberUpdates(tuple(entries), tuple(changes))

    def _order(self) -> list[str]:
        return sorted(
            self.pending,
            key=lambda name: (
                not self.pending[name].urgent,
                -self.pending[name].sends_left,
            ),
        )

    def _count(self, daemon_id: str, update: PendingUpdate) -> None:
        update.sends_left -= 1
        if update.sends_left <= 0:
            del self.pending[daemon_id]


def estimate_bytes(member: Member, whole: bool) -> int:
    """Return about how many bytes the news of a member takes in a message."""
    size = len(member.daemon_id) + CHANGE_OVERHEAD_BYTES
    if not whole:
        return size
    size += len(member.peer_address) + len(member.gate_address)
    size += len(member.availability_zone) + 5
    return size + sum(len(name) + 1 for name in member.services)
