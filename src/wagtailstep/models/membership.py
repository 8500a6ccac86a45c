"""Messages between daemons about members and targets.

They are array-like structs instead of attrs classes since attrs classes are
encoded with the name of every field, which these frequent messages can't afford.
"""

from typing import ClassVar

import msgspec
import xxhash

from wagtailstep.models.fleet import (
    Member,
    MemberState,
    Target,
    TargetStanding,
    TargetState,
)
from wagtailstep.utils.codec import message

MEMBERS_STREAM = "members"
HEARTBEAT_UNIT_MS = 100
HEARTBEAT_EPOCH_MS = 1_577_836_800_000
AGE_UNIT_MS = 20

_STATES = tuple(MemberState)
_TARGET_STATES = tuple(TargetState)


class MemberEntry(msgspec.Struct, array_like=True, frozen=True):
    """All that is known of one daemon.

    :param daemon_id: unique name of the daemon.
    :param incarnation: as in :class:`wagtailstep.models.fleet.Member`.
    :param state: position of the state in :class:`MemberState`.
    :param peer_address: ``host:port`` of its control channel.
    :param gate_address: ``host:port`` where it takes requests of other daemons.
    :param availability_zone: its availability zone.
    :param serves: services of the backend servers beside it.
    :param wants: further services that it asks for.
    """

    daemon_id: str
    incarnation: int
    state: int
    peer_address: str
    gate_address: str
    availability_zone: str
    serves: tuple[str, ...] = ()
    requested: tuple[str, ...] = ()

    @classmethod
    def from_member(cls, member: Member) -> "MemberEntry":
        """Make the entry of a member."""
        return cls(
            member.daemon_id,
            member.incarnation,
            _STATES.index(member.state),
            member.peer_address,
            member.gate_address,
            member.availability_zone,
            member.serves,
            tuple(name for name in member.services if name not in member.serves),
        )

    def to_member(self) -> Member:
        """Make the member of an entry.

        :raises IndexError: if the entry names a state that doesn't exist.
        """
        return Member(
            daemon_id=self.daemon_id,
            incarnation=self.incarnation,
            peer_address=self.peer_address,
            gate_address=self.gate_address,
            availability_zone=self.availability_zone,
            services=self.serves + self.requested,
            state=_STATES[self.state],
            serves=self.serves,
        )


class MemberChange(msgspec.Struct, array_like=True, frozen=True):
    """A new state of a daemon, without what the receiver knows of it anyway.

    :param daemon_id: unique name of the daemon.
    :param incarnation: the incarnation that the state is about.
    :param state: position of the state in :class:`MemberState`.
    """

    daemon_id: str
    incarnation: int
    state: int

    @classmethod
    def from_member(cls, member: Member) -> "MemberChange":
        """Make the change that tells a member's state."""
        return cls.from_state(member.daemon_id, member.incarnation, member.state)

    @classmethod
    def from_state(
        cls, daemon_id: str, incarnation: int, state: MemberState
    ) -> "MemberChange":
        """Make the change that tells a state of a daemon."""
        return cls(daemon_id, incarnation, _STATES.index(state))

    def member_state(self) -> MemberState:
        """Return the state.

        :raises IndexError: if the change names a state that doesn't exist.
        """
        return _STATES[self.state]


class MemberUpdates(msgspec.Struct, array_like=True, frozen=True):
    """News of members that travels on other messages.

    :param entries: new or restarted daemons, and changed services.
    :param changes: changed states.
    """

    entries: tuple[MemberEntry, ...] = ()
    changes: tuple[MemberChange, ...] = ()


@message
class Ping(msgspec.Struct, array_like=True, frozen=True):
    """Ask a daemon to answer with :class:`Ack`.

    :param sequence: repeated in the answer.
    :param reply_to: ``host:port`` of the control channel for the answer.
    """

    wire_name: ClassVar[str] = "P"

    sequence: int
    reply_to: str
    updates: MemberUpdates = MemberUpdates()


@message
class Ack(msgspec.Struct, array_like=True, frozen=True):
    """Answer to a ping.

    :param sequence: as in the ping.
    :param known: number of daemons, dead ones left out, that the sender knows.
    """

    wire_name: ClassVar[str] = "A"

    sequence: int
    known_count: int = 0
    updates: MemberUpdates = MemberUpdates()


@message
class PingRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask a daemon to ping a third one and to pass the answer on.

    :param sequence: repeated in the :class:`Ack` to the daemon that asks.
    :param reply_to: ``host:port`` of the daemon that asks.
    :param target_address: ``host:port`` of the third daemon.
    """

    sequence: int
    reply_to: str
    target_address: str
    updates: MemberUpdates = MemberUpdates()


@message
class MembersRequest(msgspec.Struct, array_like=True, frozen=True):
    """Introduce the sender and ask for a page of the member table.

    :param requester: the sender.
    :param after: entries with names after this one are asked for.
    """

    requester: MemberEntry
    after: str = ""


@message
class MembersPage(msgspec.Struct, array_like=True, frozen=True):
    """A page of the member table, in the order of names.

    :param start: ``after`` of the request.
    :param entries: the page.
    :param after: where the next page starts; empty after the last page.
    :param known: number of daemons, dead ones left out, that the sender knows.
    """

    start: str
    entries: tuple[MemberEntry, ...]
    after: str
    known_count: int = 0


@message
class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """Record in the log's stream of members: a daemon that others may ask first.

    :param daemon_id: unique name of the daemon.
    :param peer_address: ``host:port`` of its control channel.
    """

    daemon_id: str
    peer_address: str


class TargetEntry(msgspec.Struct, array_like=True, frozen=True):
    """One target of the daemon that the message is about.

    :param target_id: as in :class:`wagtailstep.models.fleet.Target`.
    :param slots: requests that it runs at the same time.
    :param state: position of the state in :class:`TargetState`.
    :param incarnation: rises with each announcement after a restart.
    :param standing: value of :class:`TargetStanding`.
    """

    target_id: str
    slots: int
    state: int
    incarnation: int
    standing: int = 0

    @classmethod
    def from_target(cls, target: Target) -> "TargetEntry":
        """Make the entry of a target."""
        state = _TARGET_STATES.index(target.state)
        return cls(
            target.target_id, target.slots, state, target.incarnation, target.standing
        )

    @property
    def service(self) -> str:
        """Return the service, which is the first part of the identifier."""
        return self.target_id.partition("/")[0]

    def to_target(self, daemon_id: str, availability_zone: str) -> Target:
        """Make the target of an entry.

        :raises IndexError: if the entry names a state that doesn't exist.
        """
        if not 0 <= self.standing < len(TargetStanding):
            raise IndexError(f"no standing {self.standing}")
        return Target(
            target_id=self.target_id,
            service=self.service,
            daemon_id=daemon_id,
            availability_zone=availability_zone,
            slots=self.slots,
            state=_TARGET_STATES[self.state],
            incarnation=self.incarnation,
            standing=TargetStanding(self.standing),
        )


@message
class Digest(msgspec.Struct, array_like=True, frozen=True):
    """Heartbeats of daemons; each renews the leases of that daemon's targets.

    :param base: heartbeat that the rows count from.
    :param rows: four numbers for each daemon: its reference, its heartbeat less
        ``base``, the age of the heartbeat in units of ``AGE_UNIT_MS``, and the
        version of its targets.
    """

    wire_name: ClassVar[str] = "D"

    base: int
    rows: tuple[int, ...]


@message
class DigestRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask for the newest heartbeats of some daemons.

    :param reply_to: ``host:port`` of the control channel for the :class:`Digest`.
    :param references: references of the daemons.
    """

    wire_name: ClassVar[str] = "Q"

    reply_to: str
    references: tuple[int, ...]


@message
class TargetsRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask for the targets beside one daemon.

    :param reply_to: ``host:port`` for the :class:`TargetsUpdate`.
    :param daemon_id: the daemon that the targets are beside.
    :param services: services asked for.
    """

    reply_to: str
    daemon_id: str
    services: tuple[str, ...]


@message
class TargetsUpdate(msgspec.Struct, array_like=True, frozen=True):
    """All targets of some services beside one daemon.

    :param daemon_id: the daemon that they are beside.
    :param availability_zone: its availability zone.
    :param beat: heartbeat of that daemon when the targets were so.
    :param age_ms: age of that heartbeat in milliseconds.
    :param version: version of the targets, as in digests.
    :param services: the services that are covered; a service without a target in
        ``targets`` has none beside this daemon.
    :param targets: the targets.
    :param urgent: whether receivers pass it on at once.
    """

    daemon_id: str
    availability_zone: str
    heartbeat: int
    age_ms: int
    version: int
    services: tuple[str, ...]
    targets: tuple[TargetEntry, ...]
    urgent: bool = False


def member_reference(daemon_id: str) -> int:
    """Return the 32-bit number that stands for a daemon in digests."""
    return xxhash.xxh32_intdigest(daemon_id.encode())
