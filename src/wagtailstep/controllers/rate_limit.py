"""Rate limit that a backend server requests, enforced by its gate."""

import math
from datetime import timedelta

from wagtailstep.controllers.limits import TokenBucket
from wagtailstep.models.server_notices import NO_RATE_LIMIT

# After an idle period, requests worth this time at the full rate may start at once.
BURST_DURATION = timedelta(milliseconds=250)
MICROSECOND = timedelta(microseconds=1)
MICROSECONDS_PER_S = 1_000_000


class RateLimit:
    """Token bucket that starts empty, since requests were sent before it existed.

    :param rate: requests a second; ``NO_RATE_LIMIT`` for no limit.
    :param is_confirmed: whether the rate is from a response of the server, and not from
        an entry.
    """

    def __init__(self) -> None:
        self.rate = NO_RATE_LIMIT
        self.is_confirmed = False
        self.bucket = TokenBucket(0.0, timedelta())

    def set_rate(self, rate: float, now: timedelta) -> None:
        """Change the rate; tokens beyond the burst at the new rate are lost."""
        if rate == self.rate:
            return
        if self.rate == NO_RATE_LIMIT:
            self.bucket = TokenBucket(0.0, now)
        self.refill(now)
        self.rate = rate
        self.refill(now)

    def refill(self, now: timedelta) -> None:
        """Add the tokens earned since the last refill."""
        burst = max(1.0, self.rate * BURST_DURATION.total_seconds())
        self.bucket.refill(now, self.rate, burst)

    def compute_wait(self, now: timedelta, ahead: int = 0) -> timedelta:
        """Return the time until a request may be sent.

        :param ahead: number of requests that are sent before it.
        """
        if self.rate == NO_RATE_LIMIT:
            return timedelta()
        self.refill(now)
        missing = ahead + 1 - self.bucket.tokens
        if missing <= 0:
            return timedelta()
        return math.ceil(missing / self.rate * MICROSECONDS_PER_S) * MICROSECOND

    def record_sent(self, now: timedelta) -> None:
        """Consume the token of a request that is sent now."""
        if self.rate != NO_RATE_LIMIT:
            self.refill(now)
            self.bucket.tokens -= 1
