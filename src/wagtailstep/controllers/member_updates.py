"""Member updates that are piggybacked on other messages."""

import math

import attrs

from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.membership import MemberChange, MemberEntry, MemberUpdates

MAX_UPDATE_BYTES_PER_MESSAGE = 1_000
CHANGE_OVERHEAD_BYTES = 13
RETRANSMIT_FACTOR = 4


@attrs.define
class PendingUpdate:
    """An update of one member that still has to be sent a number of times.

    :param sends_left: number of messages that it still has to be added to.
    :param urgent: whether it is sent before routine updates.
    :param full_entry: whether to send the full entry instead of the state only.
    """

    sends_left: int
    urgent: bool
    full_entry: bool


@attrs.define
class UpdateQueue:
    """Updates waiting to be sent, at most one for each member.

    :param members: the member table, read at the time of sending.
    """

    members: dict[str, Member]
    pending: dict[str, PendingUpdate] = attrs.field(factory=dict)

    def add(self, member: Member, full_entry: bool) -> None:
        """Queue an update of a member, replacing one that is already queued."""
        sends = RETRANSMIT_FACTOR * math.ceil(math.log10(len(self.members) + 1))
        urgent = member.state is not MemberState.ALIVE
        queued = self.pending.pop(member.daemon_id, None)
        full_entry = full_entry or (queued is not None and queued.full_entry)
        self.pending[member.daemon_id] = PendingUpdate(
            max(sends, 2), urgent, full_entry
        )

    def clear(self) -> None:
        """Discard all queued updates."""
        self.pending.clear()

    def pop_updates(self, exclude: str = "") -> MemberUpdates:
        """Return updates for one message: urgent ones first, then the least sent.

        :param exclude: receiver of the message, which needs no update about itself.
        """
        if not self.pending:
            return MemberUpdates()
        entries: list[MemberEntry] = []
        changes: list[MemberChange] = []
        size = 0
        for daemon_id in self._sort_by_priority():
            member = self.members.get(daemon_id)
            if member is None:
                del self.pending[daemon_id]
                continue
            if daemon_id == exclude:
                continue
            update = self.pending[daemon_id]
            size += estimate_bytes(member, update.full_entry)
            if size > MAX_UPDATE_BYTES_PER_MESSAGE and (entries or changes):
                break
            if update.full_entry:
                entries.append(MemberEntry.from_member(member))
            else:
                changes.append(MemberChange.from_member(member))
            self._count_send(daemon_id, update)
        return MemberUpdates(tuple(entries), tuple(changes))

    def _sort_by_priority(self) -> list[str]:
        return sorted(
            self.pending,
            key=lambda name: (
                not self.pending[name].urgent,
                -self.pending[name].sends_left,
            ),
        )

    def _count_send(self, daemon_id: str, update: PendingUpdate) -> None:
        update.sends_left -= 1
        if update.sends_left <= 0:
            del self.pending[daemon_id]


def estimate_bytes(member: Member, full_entry: bool) -> int:
    """Return the approximate size of a member's update in a message."""
    size = len(member.daemon_id) + CHANGE_OVERHEAD_BYTES
    if not full_entry:
        return size
    size += len(member.peer_address) + len(member.gate_address)
    size += len(member.availability_zone) + 5
    return size + sum(len(name) + 1 for name in member.services)
