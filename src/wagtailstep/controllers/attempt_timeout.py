"""When an attempt that takes long is broken off for another one."""

from datetime import timedelta

from wagtailstep.models.request import RequestContext
from wagtailstep.utils.clock import Clock

# An attempt is replaced after this share of the aim, so that the next one can still be
# answered within it, but not before it takes this many times as long as usual.
ATTEMPT_TIMEOUT_FRACTION = 0.6
TYPICAL_LATENCY_FACTOR = 3.0
# About as long as the work that holds the slots takes, with some to spare.
REFUSAL_RETENTION = timedelta(seconds=1)


class RecentRefusals:
    """Services whose slots were all taken a moment ago.

    :param clock: ages the refusals.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.refused_at: dict[str, timedelta] = {}

    def record_refusal(self, service: str) -> None:
        """Note that a request found no slot."""
        self.refused_at[service] = self.clock.monotonic()

    def has_recent(self, service: str) -> bool:
        """Tell whether a request for a service found no slot just now."""
        refused_at = self.refused_at.get(service)
        if refused_at is None:
            return False
        return self.clock.monotonic() - refused_at < REFUSAL_RETENTION


def compute_attempt_timeout(
    request: RequestContext, time_left: timedelta, typical_latency: timedelta | None
) -> timedelta | None:
    """Return how long an attempt may take before another one is worth more.

    :param typical_latency: usual latency at the target, if known.
    :return: ``None`` if the request may not be sent twice, or has no aim.
    """
    if not request.idempotent or not request.aim:
        return None
    timeout = ATTEMPT_TIMEOUT_FRACTION * request.aim
    if typical_latency is not None:
        timeout = max(timeout, TYPICAL_LATENCY_FACTOR * typical_latency)
    return timeout if timeout < ATTEMPT_TIMEOUT_FRACTION * time_left else None
