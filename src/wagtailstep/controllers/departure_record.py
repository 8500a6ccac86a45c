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

# Bounds the size of the record; the oldest departures are dropped first.
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
        self.departures = blackboard.departures
        self.clock = clock
        # Monotonic times by target.
        self.counts_until: dict[str, timedelta] = {}
        self.save_at: timedelta | None = None

    def add(self, departure: Departure) -> None:
        """Keep a departure on the blackboard without saving it."""
        name = departure.target_id
        self.departures.pop(name, None)
        self.departures[name] = departure
        self.counts_until[name] = self.clock.monotonic() + MAX_ANNOUNCEMENT_DELAY
        while len(self.departures) > MAX_DEPARTURES:
            self.remove(next(iter(self.departures)))

    def add_and_save(self, departure: Departure) -> list[Any]:
        """Keep a departure and save the record."""
        self.add(departure)
        return self.save()

    def save(self) -> list[Any]:
        """Save the record with the departures that count now."""
        self.save_at = None
        return [SaveDepartures(tuple(self.departures.values()))]

    def complete_save(self, succeeded: bool) -> None:
        """Handle the outcome of a save; a failed one is repeated later."""
        if not succeeded:
            self.save_at = self.clock.monotonic() + SAVE_RETRY_INTERVAL

    def expire(self) -> list[Any]:
        """Remove departures that no longer count, and repeat a failed save."""
        now = self.clock.monotonic()
        expired = [name for name, until in self.counts_until.items() if now >= until]
        for name in expired:
            self.remove(name)
        is_due = self.save_at is not None and now >= self.save_at
        return self.save() if expired or is_due else []

    def remove(self, target_id: str) -> None:
        """Remove the departure of a target."""
        del self.departures[target_id], self.counts_until[target_id]
