"""Departures of backend servers that this daemon has heard of from their daemons."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from datetime import timedelta

import attrs

from wagtailstep.models.departures import MAX_ANNOUNCEMENT_DELAY, Departure
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

    def find_announced_again(self, update: TargetsUpdate) -> tuple[Departure, ...]:
        """Return the departures whose processes are announced as serving."""
        serving = list(TargetState).index(TargetState.SERVING)
        found = (
            self.find(entry.target_id, entry.process_started)
            for entry in update.targets
            if entry.state == serving
        )
        return tuple(departure for departure in found if departure is not None)

    def pop_reminders(
        self, members: Mapping[str, Member]
    ) -> dict[str, tuple[Departure, ...]]:
        """Return departures that daemons must be reminded of since they restarted.

        :return: departures by ``host:port`` of the daemon's control channel; each is
            returned once for each incarnation.
        """
        reminders: dict[str, tuple[Departure, ...]] = {}
        for known in self.heard.values():
            member = members.get(known.daemon_id)
            if member is not None and member.incarnation > known.incarnation:
                known.incarnation = member.incarnation
                address = member.peer_address
                reminders[address] = (*reminders.get(address, ()), known.departure)
        return reminders

    def list_of(self, targets: Iterable[Target]) -> tuple[Departure, ...]:
        """Return the departures of some targets."""
        found = (self.heard.get(target.target_id) for target in targets)
        return tuple(known.departure for known in found if known is not None)

    def expire(self, now: timedelta) -> None:
        """Forget departures after which no late announcement can arrive any more."""
        expired = [name for name, known in self.heard.items() if now >= known.until]
        for name in expired:
            del self.heard[name]
