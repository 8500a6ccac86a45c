"""Messages between daemons about members and targets.

They are array-like structs because attrs classes are encoded with the names of all
fields, which would make these frequent messages too long.
"""

import functools
from typing import ClassVar

import msgspec
import xxhash

from wagtailstep.models.departures import Departure
from wagtailstep.models.fleet import (
    Member,
    MemberState,
    Target,
    TargetStanding,
    TargetState,
)
from wagtailstep.models.server_notices import NO_RATE_LIMIT
from wagtailstep.utils.codec import message

MEMBERS_STREAM = "members"
# Heartbeats are numbered by the wall-clock time since the epoch below, in this unit.
HEARTBEAT_UNIT_MS = 100
HEARTBEAT_EPOCH_MS = 1_577_836_800_000
AGE_UNIT_MS = 20
MAX_CACHED_REFERENCES = 16_384

_STATES = tuple(MemberState)
_TARGET_STATES = tuple(TargetState)


class MemberEntry(msgspec.Struct, array_like=True, frozen=True):
    """All data on one daemon.

    :param daemon_id: unique name of the daemon.
    :param incarnation: as in :class:`wagtailstep.models.fleet.Member`.
    :param state: index of the state in :class:`MemberState`.
    :param peer_address: ``host:port`` of its control channel.
    :param gate_address: ``host:port`` where it accepts requests of other daemons.
    :param availability_zone: its availability zone.
    :param serves: services of the backend servers beside it.
    :param requested: other services whose targets it requests.
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
        """Build the entry of a member."""
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
        """Build the member of an entry.

        :raises IndexError: if there is no state with the index in the entry.
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
    """A new state of a daemon, without the data that receivers already have.

    :param daemon_id: unique name of the daemon.
    :param incarnation: the incarnation that the state applies to.
    :param state: index of the state in :class:`MemberState`.
    """

    daemon_id: str
    incarnation: int
    state: int

    @classmethod
    def from_member(cls, member: Member) -> "MemberChange":
        """Build the change that carries a member's state."""
        return cls.from_state(member.daemon_id, member.incarnation, member.state)

    @classmethod
    def from_state(
        cls, daemon_id: str, incarnation: int, state: MemberState
    ) -> "MemberChange":
        """Build the change that carries a state of a daemon."""
        return cls(daemon_id, incarnation, _STATES.index(state))

    def member_state(self) -> MemberState:
        """Return the state.

        :raises IndexError: if there is no state with the index in the change.
        """
        return _STATES[self.state]


class MemberUpdates(msgspec.Struct, array_like=True, frozen=True):
    """Updates on members, piggybacked on other messages.

    :param entries: new or restarted daemons, and changed services.
    :param changes: changed states.
    """

    entries: tuple[MemberEntry, ...] = ()
    changes: tuple[MemberChange, ...] = ()


@message
class Ping(msgspec.Struct, array_like=True, frozen=True):
    """Request an :class:`Ack` from a daemon.

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
    :param known_count: number of daemons that the sender knows, except dead ones.
    """

    wire_name: ClassVar[str] = "A"

    sequence: int
    known_count: int = 0
    updates: MemberUpdates = MemberUpdates()


@message
class PingRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask a daemon to ping a third one and to forward the answer.

    :param sequence: repeated in the :class:`Ack` to the requesting daemon.
    :param reply_to: ``host:port`` of the requesting daemon.
    :param target_address: ``host:port`` of the third daemon.
    """

    sequence: int
    reply_to: str
    target_address: str
    updates: MemberUpdates = MemberUpdates()


@message
class MembersRequest(msgspec.Struct, array_like=True, frozen=True):
    """Introduce the sender and request a page of the member table.

    :param requester: the sender.
    :param after: the page starts after this ``daemon_id``.
    :param limit: most entries that the page may have; without a page if it is 0.
    """

    requester: MemberEntry
    after: str = ""
    limit: int = 40


@message
class MembersPage(msgspec.Struct, array_like=True, frozen=True):
    """A page of the member table, ordered by ``daemon_id``.

    :param start: ``after`` of the request.
    :param entries: the members on the page.
    :param after: ``after`` for the next page; empty if this is the last one.
    :param known_count: number of daemons that the sender knows, except dead ones.
    """

    start: str
    entries: tuple[MemberEntry, ...]
    after: str
    known_count: int = 0


@message
class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """Log record that names a daemon through which others can join the fleet.

    :param daemon_id: unique name of the daemon.
    :param peer_address: ``host:port`` of its control channel.
    """

    daemon_id: str
    peer_address: str


class TargetEntry(msgspec.Struct, array_like=True, frozen=True):
    """One target in a :class:`TargetsUpdate`.

    :param target_id: as in :class:`wagtailstep.models.fleet.Target`.
    :param slots: requests that it runs concurrently.
    :param state: index of the state in :class:`TargetState`.
    :param incarnation: increases when it is announced again after a restart.
    :param standing: value of :class:`TargetStanding`.
    :param position: position among all targets of its daemon, under which digests
        carry its standing; -1 if they don't.
    :param rate_limit: requests a second that it takes; ``NO_RATE_LIMIT`` if its gate
        knows of no limit. Daemons of older releases send none.
    :param process_started: start time of its process; 0 if unknown.
    """

    target_id: str
    slots: int
    state: int
    incarnation: int
    standing: int = 0
    position: int = -1
    rate_limit: float = NO_RATE_LIMIT
    process_started: int = 0

    @classmethod
    def from_target(cls, target: Target, position: int) -> "TargetEntry":
        """Build the entry of a target."""
        return cls(
            target.target_id,
            target.slots,
            _TARGET_STATES.index(target.state),
            target.incarnation,
            target.standing,
            position,
            target.rate_limit,
            target.process_started,
        )

    @property
    def service(self) -> str:
        """Return the service, which is the first part of the identifier."""
        return self.target_id.partition("/")[0]

    def to_target(self, daemon_id: str, availability_zone: str) -> Target:
        """Build the target of an entry.

        :raises IndexError: if the entry has an unknown state or standing.
        """
        if not 0 <= self.standing < len(TargetStanding):
            raise IndexError(f"unknown standing {self.standing}")
        return Target(
            target_id=self.target_id,
            service=self.service,
            daemon_id=daemon_id,
            availability_zone=availability_zone,
            slots=self.slots,
            state=_TARGET_STATES[self.state],
            incarnation=self.incarnation,
            standing=TargetStanding(self.standing),
            rate_limit=self.rate_limit,
            process_started=self.process_started,
        )


@message
class Digest(msgspec.Struct, array_like=True, frozen=True):
    """Heartbeats of daemons; each renews the leases of that daemon's targets.

    :param base: heartbeat that the rows are relative to.
    :param rows: four numbers for each daemon: its reference, its heartbeat minus
        ``base``, the age of the heartbeat in units of ``AGE_UNIT_MS``, and the
        version of its targets.
    :param standings: the packed standings of its targets, one number for each daemon;
        negative if they are unknown. Daemons of older releases send and expect none.
    """

    wire_name: ClassVar[str] = "D"

    base: int
    rows: tuple[int, ...]
    standings: tuple[int, ...] = ()


@message
class DigestRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request the newest heartbeats of some daemons.

    :param reply_to: ``host:port`` of the control channel for the :class:`Digest`.
    :param references: the daemons, by :func:`member_reference`.
    """

    wire_name: ClassVar[str] = "Q"

    reply_to: str
    references: tuple[int, ...]


@message
class TargetsRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request the targets beside one daemon.

    :param reply_to: ``host:port`` for the :class:`TargetsUpdate`.
    :param daemon_id: the daemon that the targets are beside.
    :param services: the requested services.
    """

    reply_to: str
    daemon_id: str
    services: tuple[str, ...]


@message
class TargetsUpdate(msgspec.Struct, array_like=True, frozen=True):
    """All targets of some services beside one daemon.

    :param daemon_id: the daemon that they are beside.
    :param availability_zone: its availability zone.
    :param heartbeat: heartbeat of that daemon at which it had these targets.
    :param age_ms: age of that heartbeat in milliseconds.
    :param version: version of the targets, as in digests.
    :param services: the services that are covered; one without an entry in
        ``targets`` has no target beside this daemon.
    :param targets: the targets.
    :param urgent: whether receivers propagate it at once.
    :param departures: processes of these targets that have just left. Daemons of older
        releases send none.
    """

    daemon_id: str
    availability_zone: str
    heartbeat: int
    age_ms: int
    version: int
    services: tuple[str, ...]
    targets: tuple[TargetEntry, ...]
    urgent: bool = False
    departures: tuple[Departure, ...] = ()


@message
class TargetsBatchRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request the targets beside many daemons, as far as the receiver knows them.

    :param reply_to: ``host:port`` for the :class:`TargetsBatch` messages.
    :param references: the daemons, by :func:`member_reference`.
    :param services: the requested services.
    """

    reply_to: str
    references: tuple[int, ...]
    services: tuple[str, ...]


@message
class TargetsBatch(msgspec.Struct, array_like=True, frozen=True):
    """The targets beside several daemons."""

    updates: tuple[TargetsUpdate, ...]


@functools.lru_cache(maxsize=MAX_CACHED_REFERENCES)
def member_reference(daemon_id: str) -> int:
    """Return the 32-bit hash that identifies a daemon in digests."""
    return xxhash.xxh32_intdigest(daemon_id.encode())
