"""Token bucket of one client account at the daemon that decides on its quota."""

import math
from collections import deque
from datetime import timedelta

import attrs

from wagtailstep.accounts.directory import ClientAccount
from wagtailstep.utils.durations import compute_refill_time

# The promised bound on the requests of an account that reach servers in any window:
# (rate x window + burst) x BOUND_FACTOR + BOUND_EXTRA.
BOUND_WINDOW = timedelta(seconds=5)
BOUND_FACTOR = 1.1
BOUND_EXTRA = 20
# Shares of what the bound leaves beyond rate and burst. Their sum stays below 1, since
# a new home, a deputy and the local buckets may all grant in one window.
START_SHARE = 0.25
DEPUTY_SHARE = 0.4
LOCAL_SHARE = 0.25
# Time for which daemons that don't reach an account's home use their local buckets,
# until it is found unusable.
DETECTION_TIME = timedelta(seconds=3)
DEPUTY_RATE_RATIO = 0.5


def get_burst(account: ClientAccount) -> float:
    """Return the burst of an account, by default what its rate gives in a second."""
    return max(1.0, account.burst or account.rate_per_s)


def compute_spare(account: ClientAccount) -> float:
    """Return the requests per window that the bound permits beyond rate and burst."""
    promised = account.rate_per_s * BOUND_WINDOW.total_seconds() + get_burst(account)
    return (BOUND_FACTOR - 1) * promised + BOUND_EXTRA


def compute_start(account: ClientAccount) -> float:
    """Return the tokens of a bucket whose account another daemon may just have served.

    It is half the burst, or less if the bound leaves too little for that.
    """
    start = min(get_burst(account) / 2, START_SHARE * compute_spare(account))
    return max(1.0, start)


def compute_local_rate(account: ClientAccount, daemon_count: int) -> float:
    """Return the tokens per second of one daemon's local bucket."""
    detection_s = DETECTION_TIME.total_seconds()
    limit = LOCAL_SHARE * compute_spare(account) / detection_s
    return min(account.rate_per_s, limit) / daemon_count


@attrs.define
class QuotaBucket:
    """Tokens of one account, refilled at its rate.

    :param account: limits that the bucket was last refilled by.
    :param tokens: tokens as of ``updated_at``.
    :param updated_at: monotonic time of the last refill.
    :param used_at: monotonic time of the last request for tokens.
    :param is_home: whether this daemon is the account's home and not its deputy.
    :param first_since: monotonic time since which this daemon is the first choice for
        the account by its own view; ``None`` if it is not.
    :param scale: share of the quota that the usable members grant.
    :param deputy_grants: monotonic times and amounts granted as deputy within the last
        window, oldest first.
    """

    account: ClientAccount
    tokens: float
    updated_at: timedelta
    used_at: timedelta
    is_home: bool
    scale: float
    first_since: timedelta | None = None
    deputy_grants: deque[tuple[timedelta, int]] = attrs.field(factory=deque)

    @property
    def rate(self) -> float:
        """Return the tokens per second that it gains."""
        share = self.scale if self.is_home else self.scale * DEPUTY_RATE_RATIO
        return self.account.rate_per_s * share

    @property
    def capacity(self) -> float:
        """Return the most tokens that it holds."""
        if self.is_home:
            return max(1.0, get_burst(self.account) * self.scale)
        return compute_start(self.account)

    def update(
        self, account: ClientAccount, is_home: bool, scale: float, now: timedelta
    ) -> None:
        """Refill it by its former limits, then apply the current ones.

        Tokens beyond a lowered burst are discarded.
        """
        self._add((now - self.updated_at).total_seconds() * self.rate)
        self.updated_at = now
        self.account, self.is_home, self.scale = account, is_home, scale
        self._add(0.0)

    def take(self, amount: int, now: timedelta) -> int:
        """Take up to an amount of whole tokens; return how many."""
        available = self.tokens
        if not self.is_home:
            available = min(available, self._compute_deputy_rest(now))
        granted = max(0, min(amount, math.floor(available)))
        self.tokens -= granted
        if granted and not self.is_home:
            self.deputy_grants.append((now, granted))
        return granted

    def is_full(self, now: timedelta) -> bool:
        """Return whether it holds as many tokens as it can, if it were refilled now."""
        gained = (now - self.updated_at).total_seconds() * self.rate
        return self.tokens + gained >= self.capacity

    def give_back(self, amount: int) -> None:
        """Add tokens that were granted and not used."""
        self._add(amount)

    def compute_wait(self, now: timedelta) -> timedelta:
        """Return the time until the next token is available."""
        missing = max(0.0, 1.0 - self.tokens)
        wait = compute_refill_time(missing, self.rate)
        if not self.is_home and self._compute_deputy_rest(now) < 1:
            wait = max(wait, self.deputy_grants[0][0] + BOUND_WINDOW - now)
        return wait

    def _add(self, amount: float) -> None:
        self.tokens = min(self.capacity, self.tokens + amount)

    def _compute_deputy_rest(self, now: timedelta) -> float:
        """Return what a deputy may still grant in this window.

        The home may be alive and grant the whole quota to daemons that reach it.
        """
        grants = self.deputy_grants
        while grants and grants[0][0] <= now - BOUND_WINDOW:
            grants.popleft()
        limit = DEPUTY_SHARE * compute_spare(self.account)
        return limit - sum(amount for _, amount in grants)
