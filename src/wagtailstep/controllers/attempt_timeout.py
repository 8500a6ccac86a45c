"""Timeout after which a slow attempt is cancelled and replaced by another one."""

from datetime import timedelta

from wagtailstep.models.request import RequestContext
from wagtailstep.utils.clock import Clock

# An attempt times out after this fraction of the aim, so that the next one can still
# be answered within it, but not before this multiple of the typical latency.
ATTEMPT_TIMEOUT_FRACTION = 0.6
TYPICAL_LATENCY_FACTOR = 3.0
# Somewhat longer than the requests that occupy the slots usually take.
REFUSAL_RETENTION = timedelta(seconds=1)


class RecentRefusals:
    """Services that recently refused a request for lack of a free slot.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.refused_at: dict[str, timedelta] = {}

    def record_refusal(self, service: str) -> None:
        """Record that a request for a service found no free slot."""
        self.refused_at[service] = self.clock.monotonic()

    def has_recent(self, service: str) -> bool:
        """Return whether a request for a service recently found no free slot."""
        refused_at = self.refused_at.get(service)
        if refused_at is None:
            return False
        return self.clock.monotonic() - refused_at < REFUSAL_RETENTION


def compute_attempt_timeout(
    request: RequestContext, time_left: timedelta, typical_latency: timedelta | None
) -> timedelta | None:
    """Return how long an attempt may take before it is replaced by another one.

    :param typical_latency: typical latency at the target, if known.
    :return: ``None`` if the request is not idempotent or has no aim, or if too little
        time would be left for another attempt.
    """
    if not request.idempotent or not request.aim:
        return None
    timeout = ATTEMPT_TIMEOUT_FRACTION * request.aim
    if typical_latency is not None:
        timeout = max(timeout, TYPICAL_LATENCY_FACTOR * typical_latency)
    return timeout if timeout < ATTEMPT_TIMEOUT_FRACTION * time_left else None
