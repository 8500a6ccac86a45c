"""The events of one daemon, in a ring of bounded size, causally stamped."""

import collections

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import TimelineEvent
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock


class Timeline:
    """Stamp events with a Lamport clock and keep the newest ones.

    :param settings: gives the size of the ring.
    :param blackboard: names this daemon and its incarnation.
    :param clock: gives the wall-clock time of each event.
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
        """Put one event into the ring, pushing out the oldest one if it is full.

        :param kind: name of the event, in kebab case.
        :param fields: what belongs to it.
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
        """Return the logical time to send along with a message."""
        self.lamport += 1
        return self.lamport

    def observe_message(self, lamport: int) -> None:
        """Move the logical clock past the time that a message carried."""
        self.lamport = max(self.lamport, lamport) + 1
