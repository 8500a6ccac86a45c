"""Rates of the requests that enter at this daemon, and shares of limited targets."""

import math
from datetime import timedelta

import attrs

# Time constant of the exponential average.
AVERAGING_TIME = timedelta(seconds=5)
# Fraction of its weight that a limited target keeps, so that the end of its limit is
# detected.
MIN_RATE_SHARE = 0.02


@attrs.define
class RateEstimate:
    """Exponentially decaying average of a request rate.

    :param per_s: requests a second as of ``updated_at``.
    :param updated_at: monotonic time of the last request.
    """

    per_s: float = 0.0
    updated_at: timedelta = timedelta()

    def record(self, now: timedelta) -> None:
        """Record a request."""
        self.per_s = self.decay(now) + 1 / AVERAGING_TIME.total_seconds()
        self.updated_at = now

    def decay(self, now: timedelta) -> float:
        """Return the rate if no further request arrived until now."""
        return self.per_s * math.exp(-((now - self.updated_at) / AVERAGING_TIME))


def compute_rate_share(rate_limit: float, usual_rate: float) -> float:
    """Return the part of its weight that a target with a rate limit can use.

    :param rate_limit: requests a second that it takes.
    :param usual_rate: requests a second that it would get without the limit.
    """
    if usual_rate <= rate_limit:
        return 1.0
    return max(MIN_RATE_SHARE, rate_limit / usual_rate)
