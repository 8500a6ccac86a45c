"""Events that a daemon handles and effects that its controllers return.

Adapters turn input into events; controllers answer with effects, which the runtime
of the daemon turns into I/O.
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
    """A message from another daemon arrived.

    :param sender: ``daemon_id`` that the message names as sender; not authenticated.
    :param message: a class registered with :func:`wagtailstep.utils.codec.message`.
    """

    sender: str
    message: Any


@attrs.frozen
class LogRecordsRead:
    """Records of a followed stream, in order and without gaps.

    :param stream: name of the stream.
    :param records: the records, oldest first.
    """

    stream: str
    records: tuple[LogRecord, ...]


@attrs.frozen
class LogGap:
    """Records of a followed stream expired before they were read.

    :param stream: name of the stream.
    :param oldest_offset: offset at which reading continues.
    """

    stream: str
    oldest_offset: int


@attrs.frozen
class LogCaughtUp:
    """All records that the log had of a followed stream have been delivered.

    Sent after each read that reached the end of the stream, including the first.

    :param stream: name of the stream.
    :param next_offset: offset that the next appended record will have.
    :param read_sent_at: monotonic time when the read was sent; all records appended
        before then have been dispatched.
    """

    stream: str
    next_offset: int
    read_sent_at: timedelta


@attrs.frozen
class LogAppendFinished:
    """An :class:`AppendToLog` effect has ended.

    :param append_id: as in the effect.
    :param offset: offset of the record, or ``None``.
    :param may_have_applied: whether the append may have been applied although no offset
        is known.
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
    """The backend server beside this daemon sent a first or renewed announcement.

    :param target: the target; its state is ``LEAVING`` if it announced its shutdown.
    :param process_started: start time of its process, in any unit that increases; 0
        if unknown.
    :param sequence: increases with each announcement of a process; 0 if unknown.
    """

    target: Target
    process_started: int = 0
    sequence: int = 0


@attrs.frozen
class TargetWithdrawn:
    """The backend server beside this daemon left or did not renew in time."""

    target_id: str


@attrs.frozen
class InstanceWithdrawn:
    """A backend server beside this daemon left and named only its own identifier.

    :param instance_id: the identifier that it announces for itself.
    :param service: its service, for a server that was not announced to this daemon.
    :param left_at: when it left, in the unit of ``TargetAnnounced.process_started``.
    """

    instance_id: str
    service: str
    left_at: int


@attrs.frozen
class GateUnresponsive:
    """A gate could not be queried about a request that it had been sent.

    :param gate_address: ``host:port`` of the gate.
    """

    gate_address: str


@attrs.frozen
class MembersListed:
    """The registry of members has been read.

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
class StoreEraRead:
    """The platform's store is in another era than at the last read.

    A higher era means that it was restored from an older copy and lost recent writes.

    :param era: the era.
    """

    era: int


@attrs.frozen
class FollowTable:
    """Effect: start or stop to follow the published table at the platform.

    :param active: whether to follow it.
    """

    active: bool


@attrs.frozen
class ListMembers:
    """Effect: read the registry of members; ends in :class:`MembersListed`."""


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
    :param succeeded: whether the target answered in time and with success.
    :param latency: duration of the probe.
    """

    target_id: str
    succeeded: bool
    latency: timedelta


@attrs.frozen
class SendToPeer:
    """Effect: send a message to another daemon; it may get lost, never duplicated.

    :param address: ``host:port`` of the peer's control channel.
    :param message: a registered message.
    :param urgent: whether it is sent ahead of messages that are not urgent.
    """

    address: str
    message: Any
    urgent: bool = False


@attrs.frozen
class AppendToLog:
    """Effect: append one record to a stream; ends in :class:`LogAppendFinished`.

    :param append_id: unique identifier, repeated in the event.
    """

    stream: str
    record: Any
    append_id: str


@attrs.frozen
class FollowStream:
    """Effect: read a stream from its oldest record and keep following it.

    :param stream: name of the stream.
    :param poll_ms: time between two reads; 0 for the one in the settings.
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
    """Effect: add an event to the timeline and to the log output.

    :param kind: name of the event, in kebab case.
    :param fields: details of the event by name.
    """

    kind: str
    fields: dict[str, str] = attrs.field(factory=dict)


class Controller(Protocol):
    """Decides how to react to events; does no I/O and never blocks."""

    def handle(self, event: Any) -> list[Any]:
        """Handle one event and return effects, in order.

        Events of types that the controller doesn't know are ignored.
        """


@attrs.frozen
class TimelineEvent:
    """One event on the timeline of all processes.

    :param daemon_id: where it happened.
    :param incarnation: incarnation of that daemon.
    :param sequence: position among the events of that incarnation.
    :param lamport: Lamport time; an event has a higher one than all its causes.
    :param utc: wall-clock time, for display only.
    :param kind: name of the event, in kebab case.
    :param fields: details of the event by name.
    """

    daemon_id: str
    incarnation: int
    sequence: int
    lamport: int
    utc: datetime
    kind: str
    fields: dict[str, str] = attrs.field(factory=dict)
