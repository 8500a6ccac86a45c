"""What happens to a daemon, and what its controllers want done about it.

Adapters turn the outside into events; controllers answer with effects, which
the runtime of the daemon turns into I/O.
"""

from datetime import datetime, timedelta
from typing import Any, Protocol

import attrs

from wagtailstep.models.fleet import Target
from wagtailstep.models.log import LogRecord


@attrs.frozen
class Tick:
    """Time has passed; sent at least every 100 ms."""


@attrs.frozen
class PeerMessageReceived:
    """A message of another daemon arrived.

    :param sender: ``daemon_id`` that the message names as its sender; not proven.
    :param message: a class registered with :func:`wagtailstep.utils.codec.message`.
    """

    sender: str
    message: Any


@attrs.frozen
class LogRecordsRead:
    """Records of a followed stream, in order, none left out.

    :param stream: name of the stream.
    :param records: the records, oldest first.
    """

    stream: str
    records: tuple[LogRecord, ...]


@attrs.frozen
class LogGap:
    """Records of a followed stream expired before they were read.

    :param stream: name of the stream.
    :param oldest_offset: where reading goes on.
    """

    stream: str
    oldest_offset: int


@attrs.frozen
class LogCaughtUp:
    """All records of a followed stream that the log had were delivered.

    Sent after each read that found the end of the stream, the first one too.

    :param stream: name of the stream.
    :param next_offset: offset that the next record will have.
    :param asked_at: monotonic time when the read was sent; all records appended
        before it have been dispatched.
    """

    stream: str
    next_offset: int
    read_sent_at: timedelta


@attrs.frozen
class LogAppendFinished:
    """An :class:`AppendToLog` effect has ended.

    :param append_id: as in the effect.
    :param offset: offset of the record, or ``None``.
    :param may_have_applied: whether an append without an offset may have applied.
    """

    append_id: str
    offset: int | None
    may_have_applied: bool


@attrs.frozen
class LogReachability:
    """The log service became reachable or unreachable for this daemon."""

    reachable: bool


@attrs.frozen
class TargetAnnounced:
    """The backend server beside this daemon announced or renewed itself.

    :param target: the target; ``LEAVING`` if it says that it leaves.
    :param born: when its process started, in any unit that rises; 0 if unknown.
    :param sequence: rises with each announcement of a process; 0 if unknown.
    """

    target: Target
    process_started: int = 0
    sequence: int = 0


@attrs.frozen
class TargetWithdrawn:
    """The backend server beside this daemon left or was not renewed in time."""

    target_id: str


@attrs.frozen
class InstanceWithdrawn:
    """A backend server beside this daemon left and told its own name only.

    :param instance_id: what it calls itself.
    :param service: its service, if it was not announced to this daemon.
    :param at: when it left, in the unit of ``TargetAnnounced.born``.
    """

    instance_id: str
    service: str
    left_at: int


@attrs.frozen
class GateUnresponsive:
    """A gate could not be reached to ask about a request that it was sent.

    :param gate_address: ``host:port`` of the gate.
    """

    gate_address: str


@attrs.frozen
class MembersListed:
    """The registry of members was listed.

    :param addresses: ``host:port`` of control channels by ``daemon_id``.
    """

    addresses: dict[str, str]


@attrs.frozen
class MemberRegistered:
    """A :class:`RegisterMember` effect has ended.

    :param succeeded: whether the registry acknowledged the record.
    """

    succeeded: bool


@attrs.frozen
class ListMembers:
    """Effect: list the registry of members; ends in :class:`MembersListed`."""


@attrs.frozen
class RegisterMember:
    """Effect: write this daemon's record to the registry of members.

    :param daemon_id: key of the record.
    :param peer_address: its value; empty to remove the record.
    """

    daemon_id: str
    peer_address: str


@attrs.frozen
class ProbeFinished:
    """A :class:`ProbeTarget` effect has ended.

    :param target_id: as in the effect.
    :param succeeded: whether the target answered well in time.
    :param latency: time the probe took.
    """

    target_id: str
    succeeded: bool
    latency: timedelta


@attrs.frozen
class SendToPeer:
    """Effect: send a message to another daemon, at most once, perhaps never.

    :param address: ``host:port`` of the peer's control channel.
    :param message: a registered message.
    :param urgent: whether it goes before routine messages.
    """

    address: str
    message: Any
    urgent: bool = False


@attrs.frozen
class AppendToLog:
    """Effect: append one record to a stream; ends in :class:`LogAppendFinished`.

    :param append_id: unique identifier for the answer.
    """

    stream: str
    record: Any
    append_id: str


@attrs.frozen
class FollowStream:
    """Effect: read a stream from its oldest record on, now and ever after.

    :param stream: name of the stream.
    :param poll_ms: time between two reads; 0 takes it from the settings.
    """

    stream: str
    poll_ms: int = 0


@attrs.frozen
class ProbeTarget:
    """Effect: send one probe through the target's gate."""

    target_id: str
    timeout: timedelta


@attrs.frozen
class RecordEvent:
    """Effect: put an event on the time line and into the log output.

    :param kind: name of the event, in kebab case.
    :param fields: what belongs to it.
    """

    kind: str
    fields: dict[str, str] = attrs.field(factory=dict)


class Controller(Protocol):
    """Decide what to do about an event. Controllers do no I/O and never block."""

    def handle(self, event: Any) -> list[Any]:
        """Take one event and return effects, in order.

        Events of a kind that the controller doesn't know are ignored.
        """


@attrs.frozen
class TimelineEvent:
    """One event on the time line over all processes.

    :param daemon_id: where it happened.
    :param incarnation: incarnation of that daemon.
    :param sequence: position among the events of that incarnation.
    :param lamport: logical time; an event is later than all that caused it.
    :param utc: wall-clock time, for people to read.
    :param kind: name of the event, in kebab case.
    :param fields: what belongs to it.
    """

    daemon_id: str
    incarnation: int
    sequence: int
    lamport: int
    utc: datetime
    kind: str
    fields: dict[str, str] = attrs.field(factory=dict)
