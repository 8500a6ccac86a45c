"""What a gate remembers of the requests that it took."""

from collections import OrderedDict
from datetime import timedelta

from wagtailstep.models.gate import AttemptState, GateRequest
from wagtailstep.utils.clock import Clock

# An entry trusts an answer about an attempt for much less than this.
ENDED_RETENTION = timedelta(seconds=60)
REVOKED_RETENTION = timedelta(minutes=10)


class ExpiringSet:
    """Identifiers that are forgotten some time after they were added.

    :param clock: source of monotonic time.
    :param retention: how long an identifier is kept.
    """

    def __init__(self, clock: Clock, retention: timedelta) -> None:
        self.clock = clock
        self.retention = retention
        self.added_at: OrderedDict[str, timedelta] = OrderedDict()

    def __contains__(self, identifier: str) -> bool:
        """Tell whether an identifier is kept."""
        return identifier in self.added_at

    def add(self, identifier: str) -> None:
        """Keep an identifier from now on, and forget the old ones."""
        now = self.clock.monotonic()
        self.added_at[identifier] = now
        self.added_at.move_to_end(identifier)
        oldest = next(iter(self.added_at))
        while now - self.added_at[oldest] > self.retention:
            del self.added_at[oldest]
            oldest = next(iter(self.added_at))

    def discard(self, identifier: str) -> None:
        """Forget an identifier, if it is kept."""
        self.added_at.pop(identifier, None)


class RequestHistory:
    """Attempts that a gate holds, ended or barred, and requests it won't run again.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self.held: set[str] = set()
        self.ended = ExpiringSet(clock, ENDED_RETENTION)
        self.revoked = ExpiringSet(clock, REVOKED_RETENTION)
        self.accepted = ExpiringSet(clock, REVOKED_RETENTION)

    def record_accepted(self, request: GateRequest) -> None:
        """Note a request that waits or runs from now on."""
        self.held.add(request.attempt_id)
        if not request.idempotent:
            self.accepted.add(request.request_id)

    def record_ended(self, request: GateRequest) -> None:
        """Note that a request that was started has ended."""
        self.held.discard(request.attempt_id)
        self.ended.add(request.attempt_id)

    def discard_unstarted(self, request: GateRequest) -> None:
        """Forget a request that was certainly not started."""
        self.held.discard(request.attempt_id)
        self.accepted.discard(request.request_id)

    def was_accepted(self, request: GateRequest) -> bool:
        """Tell whether a request must not be run because it may have run."""
        if request.attempt_id in self.held or request.attempt_id in self.ended:
            return True
        return not request.idempotent and request.request_id in self.accepted

    def is_revoked(self, attempt_id: str) -> bool:
        """Tell whether an attempt was barred before it arrived."""
        return attempt_id in self.revoked

    def revoke(self, attempt_id: str) -> AttemptState:
        """Bar an attempt unless it has arrived, and return what is known of it."""
        if attempt_id in self.held:
            return AttemptState.HELD
        if attempt_id in self.ended:
            return AttemptState.ENDED
        self.revoked.add(attempt_id)
        return AttemptState.REVOKED
