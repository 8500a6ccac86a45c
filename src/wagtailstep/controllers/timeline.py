"""A bounded ring of one daemon's events, ordered by a Lamport clock."""

import collections

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import TimelineEvent
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock


class Timeline:
    """Stamp events with Lamport times and keep the newest ones.

    :param settings: provides the size of the ring.
    :param blackboard: provides this daemon's identifier and incarnation.
    :param clock: provides the wall-clock time of each event.
    """

    def __init__(
        self, settings: DaemonSettings, blackboard: Blackboard, clock: Clock
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.lamport = 0
        self.sequence = 0
        self.events: collections.deque[TimelineEvent] = collections.deque(
            maxlen=settings.event_ring_size
        )

    def record(self, kind: str, fields: dict[str, str]) -> TimelineEvent:
        """Append an event to the ring; the oldest one is evicted if it is full.

        :param kind: name of the event, in kebab case.
        :param fields: details of the event by name.
        """
        self.lamport += 1
        self.sequence += 1
        event = TimelineEvent(
            daemon_id=self.blackboard.this_member.daemon_id,
            incarnation=self.blackboard.this_member.incarnation,
            sequence=self.sequence,
            lamport=self.lamport,
            utc=self.clock.utc(),
            kind=kind,
            fields=fields,
        )
        self.events.append(event)
        return event

    def stamp_message(self) -> int:
        """Advance the Lamport clock and return the time to send with a message."""
        self.lamport += 1
        return self.lamport

    def observe_message(self, lamport: int) -> None:
        """Advance the Lamport clock past the time of a received message."""
        self.lamport = max(self.lamport, lamport) + 1
