"""The departures of local backend servers that this daemon records."""

from datetime import timedelta
from typing import Any

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.departures import (
    MAX_ANNOUNCEMENT_DELAY,
    Departure,
    SaveDepartures,
)
from wagtailstep.utils.clock import Clock

# Bounds the number of records and the size of messages to other daemons.
MAX_DEPARTURES = 16
SAVE_RETRY_INTERVAL = timedelta(seconds=1)


class DepartureRecord:
    """Keep departures on the blackboard and in the store while they count.

    A departure counts for ``MAX_ANNOUNCEMENT_DELAY``, as long as earlier announcements
    of its process may arrive. It excludes that process only: a later one of the same
    target is accepted at once, and so is any process that has not departed.

    :param blackboard: where other controllers find the departures.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        self.blackboard = blackboard
        self.departures = blackboard.departures
        self.clock = clock
        # Monotonic times by target.
        self.counts_until: dict[str, timedelta] = {}
        self.save_at: timedelta | None = None
        self.saved_era = blackboard.store_era

    def add(self, departure: Departure) -> bool:
        """Keep a departure on the blackboard without saving it.

        :return: whether it is kept. There is no room for more than ``MAX_DEPARTURES``;
            none is dropped before it expires, since it may have been acknowledged.
        """
        name = departure.target_id
        known = self.departures.get(name)
        if known == departure:
            return True
        if known is None and len(self.departures) >= MAX_DEPARTURES:
            return False
        self.departures[name] = departure
        self.counts_until[name] = self.clock.monotonic() + MAX_ANNOUNCEMENT_DELAY
        return True

    def add_and_save(self, departure: Departure) -> list[Any]:
        """Keep a departure and save it, also if an earlier save of it has failed."""
        return self.save() if self.add(departure) else []

    def save(self) -> list[Any]:
        """Save the departures that count now."""
        self.save_at = None
        self.saved_era = self.blackboard.store_era
        return [SaveDepartures(tuple(self.departures.values()), self.saved_era)]

    def schedule_save(self, delay: timedelta) -> None:
        """Save the departures that count after a delay, or earlier if that is due."""
        save_at = self.clock.monotonic() + delay
        self.save_at = save_at if self.save_at is None else min(self.save_at, save_at)

    def save_if_due(self) -> list[Any]:
        """Save the departures if that is scheduled, or if the store has lost some."""
        is_due = self.save_at is not None and self.clock.monotonic() >= self.save_at
        is_restored = self.blackboard.store_era > self.saved_era
        return self.save() if is_due or (is_restored and self.departures) else []

    def expire(self) -> list[Departure]:
        """Remove and return the departures that no longer count."""
        now = self.clock.monotonic()
        names = [name for name, until in self.counts_until.items() if now >= until]
        if names:
            self.schedule_save(timedelta())
        return [self.remove(name) for name in names]

    def remove(self, target_id: str) -> Departure:
        """Remove the departure of a target and return it."""
        del self.counts_until[target_id]
        return self.departures.pop(target_id)
