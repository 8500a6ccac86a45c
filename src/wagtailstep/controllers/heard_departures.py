"""Departures of backend servers that this daemon has heard of from their daemons."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.models.departures import (
    MAX_ANNOUNCEMENT_DELAY,
    Departure,
    DepartureReminder,
)
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.fleet import Member, Target, TargetState
from wagtailstep.models.membership import TargetsUpdate

# Bounds the memory; the oldest are dropped first.
MAX_DEPARTURES = 4_096


@attrs.define
class HeardDeparture:
    """A departure and until when it counts.

    :param departure: the departure.
    :param until: monotonic time.
    :param daemon_id: the daemon beside the server.
    :param incarnation: incarnation of that daemon which knows of the departure.
    """

    departure: Departure
    until: timedelta
    daemon_id: str
    incarnation: int


class HeardDepartures:
    """Remember departures in case the daemon beside the server is restarted.

    A new process of that daemon may announce a departed server again because of a late
    announcement. Here it stays leaving, for ``MAX_ANNOUNCEMENT_DELAY`` after the
    departure was heard of. Only that process of the server is excluded, which will end
    anyway; the server's next process and all others are not.
    """

    def __init__(self) -> None:
        self.heard: OrderedDict[str, HeardDeparture] = OrderedDict()

    def add(
        self,
        departures: Iterable[Departure],
        daemon_id: str,
        members: Mapping[str, Member],
        now: timedelta,
    ) -> None:
        """Remember departures; one that is known counts no longer than before.

        :param daemon_id: the daemon that told of them.
        """
        member = members.get(daemon_id)
        incarnation = 0 if member is None else member.incarnation
        for departure in departures:
            known = self.heard.get(departure.target_id)
            if known is not None and known.departure == departure:
                continue
            until = now + MAX_ANNOUNCEMENT_DELAY
            self.heard[departure.target_id] = HeardDeparture(
                departure, until, daemon_id, incarnation
            )
            if len(self.heard) > MAX_DEPARTURES:
                self.heard.popitem(last=False)

    def find(self, target_id: str, process_started: int) -> Departure | None:
        """Return the departure of a process, if it has departed.

        :param process_started: start time of the process; 0 if unknown.
        """
        known = self.heard.get(target_id)
        if known is None or not process_started:
            return None
        departed = process_started <= known.departure.process_started
        return known.departure if departed else None

    def correct(self, target: Target) -> Target:
        """Return the target, as leaving if its process has departed."""
        if self.find(target.target_id, target.process_started) is None:
            return target
        return attrs.evolve(target, state=TargetState.LEAVING)

    def remind_of(
        self, update: TargetsUpdate, members: Mapping[str, Member]
    ) -> list[Any]:
        """Remind a daemon of departures whose processes it announces as serving."""
        serving = list(TargetState).index(TargetState.SERVING)
        found = (
            self.find(entry.target_id, entry.process_started)
            for entry in update.targets
            if entry.state == serving
        )
        departures = tuple(departure for departure in found if departure is not None)
        member = members.get(update.daemon_id)
        if not departures or member is None:
            return []
        return [build_reminder(member, departures)]

    def remind_restarted(self, members: Mapping[str, Member]) -> list[Any]:
        """Remind daemons, once in each incarnation, of departures beside them."""
        effects = []
        for known in self.heard.values():
            member = members.get(known.daemon_id)
            if member is not None and member.incarnation > known.incarnation:
                known.incarnation = member.incarnation
                effects.append(build_reminder(member, (known.departure,)))
        return effects

    def list_of(self, targets: Iterable[Target]) -> tuple[Departure, ...]:
        """Return the departures of some targets."""
        found = (self.heard.get(target.target_id) for target in targets)
        return tuple(known.departure for known in found if known is not None)

    def list_beside(self, daemon_id: str) -> tuple[Departure, ...]:
        """Return the departures that a daemon told of."""
        return tuple(
            known.departure
            for known in self.heard.values()
            if known.daemon_id == daemon_id
        )

    def expire(self, now: timedelta) -> None:
        """Forget departures after which no late announcement can arrive any more."""
        expired = [name for name, known in self.heard.items() if now >= known.until]
        for name in expired:
            del self.heard[name]


def build_reminder(member: Member, departures: tuple[Departure, ...]) -> SendToPeer:
    """Return the effect that reminds a daemon of departures."""
    return SendToPeer(member.peer_address, DepartureReminder(departures), urgent=True)
