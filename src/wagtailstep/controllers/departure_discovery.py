"""Finds out, after a start, which departures earlier processes acknowledged."""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.departures import (
    MAX_ANNOUNCEMENT_DELAY,
    DepartureReminder,
    DeparturesListed,
    DeparturesRequest,
    RetryDeparturesRead,
)
from wagtailstep.models.events import (
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    Tick,
)
from wagtailstep.models.fleet import Member, MemberState, Target
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# The daemon's own read, which has a head start, usually ends within it.
OWN_READ_TIME = timedelta(milliseconds=100)
REQUEST_INTERVAL = timedelta(milliseconds=500)
# Once the wait has ended. Each request makes a call to a store that may be in trouble.
LATER_REQUEST_INTERVAL = timedelta(seconds=2)
# One that was in contact with the earlier process, and one that may be able to read the
# store if all of the first kind are refused.
PEERS_REQUESTED = 2
# Without a table a daemon serves nothing, so the time runs from the first one on.
MAX_UNKNOWN_TIME = timedelta(seconds=1)


class DepartureDiscovery:
    """Learn the departures from the store, or from daemons that can read it.

    Until they are known, this daemon sends its own callers' requests to other servers
    than those beside it, and doesn't offer these to other daemons. Its gate serves
    what others send: only those do that have known the server from before. It ends

    - with this daemon's own read of its records,
    - with the answer of a daemon that read them, or, if it can't, was in contact with
      the earlier process until its end,
    - ``MAX_UNKNOWN_TIME`` after the first table came into force,
    - ``MAX_ANNOUNCEMENT_DELAY`` after the start in any case,

    none of which depends on requests of callers. Other exclusions may follow it, not
    overlap with it: a server has no standing and no failed path yet at a daemon that
    has just started.

    :param settings: names the service of the servers beside this daemon.
    :param blackboard: ``departures_unknown`` is written.
    :param clock: source of monotonic time.
    :param rng: source of the choice of daemons to ask.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.service = settings.service
        self.started_at = clock.monotonic()
        self.process_started = blackboard.this_member.incarnation
        self.table_since: timedelta | None = None
        self.next_request_at = self.started_at + OWN_READ_TIME
        # Whether all recorded departures are known for certain.
        self.is_complete = False
        blackboard.departures_unknown = True

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that the discovery does not depend on."""
        return []

    @handle.register
    def _(self, event: DeparturesListed) -> list[Any]:
        self.is_complete = True
        return self._stop_waiting("read")

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        message = event.message
        is_answer = (
            isinstance(message, DepartureReminder)
            and message.process_started == self.process_started
        )
        if is_answer and (message.has_read_all or message.has_heard_all):
            self.is_complete = self.is_complete or message.has_read_all
            return self._stop_waiting(event.sender)
        return self._request(self.clock.monotonic())

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects = self._check_table(now)
        table_since = self.table_since
        if now - self.started_at >= MAX_ANNOUNCEMENT_DELAY:
            self.is_complete = True
            effects += self._stop_waiting("delay")
        elif table_since is not None and now - table_since >= MAX_UNKNOWN_TIME:
            effects += self._stop_waiting("limit")
        return effects + self._request(now)

    def _check_table(self, now: timedelta) -> list[Any]:
        """Read the records again when the first table is there.

        The store may have just come back, and the next retry may be due later than
        ``MAX_UNKNOWN_TIME`` from now.
        """
        if self.table_since is not None or not self.blackboard.table_known:
            return []
        self.table_since = now
        return [] if self.is_complete else [RetryDeparturesRead()]

    def _stop_waiting(self, source: str) -> list[Any]:
        if not self.blackboard.departures_unknown:
            return []
        self.blackboard.departures_unknown = False
        waited_ms = (self.clock.monotonic() - self.started_at) // timedelta(
            milliseconds=1
        )
        fields = {"source": source, "waited_ms": str(waited_ms)}
        return [RecordEvent("departures-known", fields)]

    def _request(self, now: timedelta) -> list[Any]:
        """Send requests to other daemons, at intervals, until all are known."""
        if self.is_complete or now < self.next_request_at:
            return []
        peers = self._choose_peers()
        if not peers:
            return []
        is_waiting = self.blackboard.departures_unknown
        self.next_request_at = now + (
            REQUEST_INTERVAL if is_waiting else LATER_REQUEST_INTERVAL
        )
        this = self.blackboard.this_member
        uptime_ms = (now - self.started_at) // timedelta(milliseconds=1)
        request = DeparturesRequest(
            this.daemon_id, this.peer_address, self.process_started, uptime_ms
        )
        return [SendToPeer(peer.peer_address, request, urgent=True) for peer in peers]

    def _choose_peers(self) -> list[Member]:
        """Choose a daemon that uses the same service, and any other one."""
        this_id = self.blackboard.this_member.daemon_id
        usable = [
            member
            for member in self.blackboard.members.values()
            if member.state is MemberState.ALIVE and member.daemon_id != this_id
        ]
        self.rng.shuffle(usable)
        interested = [member for member in usable if self.service in member.services]
        first = interested[:1]
        others = [member for member in usable if member not in first]
        return first + others[: PEERS_REQUESTED - len(first)]


def may_have_departed(board: Blackboard, target: Target) -> bool:
    """Return whether a target may have told an earlier process that it leaves."""
    return board.departures_unknown and target.target_id in board.local_targets
