"""Record of the requests that a gate has accepted, used to detect duplicates."""

from collections import OrderedDict
from datetime import timedelta

from wagtailstep.models.gate import AttemptState, GateRequest
from wagtailstep.utils.clock import Clock

# Entries rely on a reported attempt state for a much shorter time than this.
ENDED_RETENTION = timedelta(seconds=60)
# Also applies to accepted requests that are not idempotent.
REVOKED_RETENTION = timedelta(minutes=10)


class ExpiringSet:
    """Set of identifiers that expire some time after they were added.

    :param clock: source of monotonic time.
    :param retention: minimum time that an identifier is kept.
    """

    def __init__(self, clock: Clock, retention: timedelta) -> None:
        self.clock = clock
        self.retention = retention
        self.added_at: OrderedDict[str, timedelta] = OrderedDict()

    def __contains__(self, identifier: str) -> bool:
        """Return whether an identifier is in the set."""
        return identifier in self.added_at

    def add(self, identifier: str) -> None:
        """Add an identifier, or restart its retention, and remove the expired ones."""
        now = self.clock.monotonic()
        self.added_at[identifier] = now
        self.added_at.move_to_end(identifier)
        oldest = next(iter(self.added_at))
        while now - self.added_at[oldest] > self.retention:
            del self.added_at[oldest]
            oldest = next(iter(self.added_at))

    def discard(self, identifier: str) -> None:
        """Remove an identifier if it is in the set."""
        self.added_at.pop(identifier, None)


class RequestHistory:
    """Tracks held, ended and revoked attempts, and requests not to be run again.

    A held attempt waits for a slot or runs.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self.held: set[str] = set()
        self.ended = ExpiringSet(clock, ENDED_RETENTION)
        self.revoked = ExpiringSet(clock, REVOKED_RETENTION)
        self.accepted = ExpiringSet(clock, REVOKED_RETENTION)

    def record_accepted(self, request: GateRequest) -> None:
        """Record a request that waits or runs from now on."""
        self.held.add(request.attempt_id)
        if not request.idempotent:
            self.accepted.add(request.request_id)

    def record_ended(self, request: GateRequest) -> None:
        """Record that a request that was started has ended."""
        self.held.discard(request.attempt_id)
        self.ended.add(request.attempt_id)

    def discard_unstarted(self, request: GateRequest) -> None:
        """Remove a request that was certainly not started."""
        self.held.discard(request.attempt_id)
        self.accepted.discard(request.request_id)

    def was_accepted(self, request: GateRequest) -> bool:
        """Return whether a request must not be run because it may already have run."""
        if request.attempt_id in self.held or request.attempt_id in self.ended:
            return True
        return not request.idempotent and request.request_id in self.accepted

    def is_revoked(self, attempt_id: str) -> bool:
        """Return whether an attempt was revoked before it arrived."""
        return attempt_id in self.revoked

    def revoke(self, attempt_id: str) -> AttemptState:
        """Revoke an attempt unless it has arrived, and return its state."""
        if attempt_id in self.held:
            return AttemptState.HELD
        if attempt_id in self.ended:
            return AttemptState.ENDED
        self.revoked.add(attempt_id)
        return AttemptState.REVOKED
