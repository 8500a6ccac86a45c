"""The retry budget that all daemons share, and this daemon's part of it."""

import heapq
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import attrs

from wagtailstep.controllers.retry_forecast import (
    MAX_WINDOWS_PREDICTED,
    RetryForecast,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.utils.clock import Clock

# A daemon that does not know the other daemons yet assumes at least this many.
MIN_ASSUMED_DAEMONS = 16
# Part of its allowance that a daemon keeps for its own requests when it lends.
LENDING_RESERVE_RATIO = 0.25
# A borrower uses a loan within this time of its request, and drops it then.
LOAN_VALIDITY = timedelta(seconds=1)
# A lender counts a loan as used for this long after it was made, in addition to the
# window. Above the validity, since clocks of two machines drift.
LOAN_HOLD = timedelta(seconds=2)
# Loans of this time predict those to come. Lenders refill within the window, so an
# older loan says little.
LOAN_RATE_WINDOW = timedelta(seconds=2)
# A shorter time since the first request of a window gives no usable rate.
MIN_RATE_TIME = timedelta(seconds=1)


@attrs.define
class WindowedSum:
    """Sum of the amounts that were added within a time window.

    :param entries: monotonic time and amount, oldest first.
    :param total: sum of the amounts.
    """

    entries: deque[tuple[timedelta, float]] = attrs.field(factory=deque)
    total: float = 0.0

    def add(self, amount: float, now: timedelta) -> None:
        """Add an amount to the sum."""
        self.entries.append((now, amount))
        self.total += amount

    def expire_before(self, oldest: timedelta) -> None:
        """Remove the amounts that were added at ``oldest`` or before."""
        while self.entries and self.entries[0][0] <= oldest:
            self.total -= self.entries.popleft()[1]


@attrs.define
class Loan:
    """Retries borrowed from another daemon.

    :param amount: how many are left.
    :param expires_at: monotonic time from which they may not be used.
    """

    amount: float
    expires_at: timedelta


class SharedRetryBudget:
    """This daemon's part of the retries that the whole fleet may make for a service.

    In any window of ``retry_window_ms`` a daemon makes at most ``retry_ratio`` times
    the requests that it received for the service in that window, plus an equal part
    of ``retry_slack``. The sum over all daemons stays within the fleet's budget
    without any communication, as long as no daemon counts too few daemons. The
    windows of daemons are not aligned, so set ``retry_ratio`` slightly below the
    ratio that the fleet may reach.

    The part of one daemon is small in a large fleet, and some daemons need more while
    others need none. A daemon therefore lends what it does not need, and counts it as
    used until after the borrower can have used it.

    :param count_daemons: returns the number of currently known daemons.
    """

    def __init__(
        self,
        settings: RequestSettings,
        clock: Clock,
        count_daemons: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.count_daemons = count_daemons
        self.max_daemon_count = MIN_ASSUMED_DAEMONS
        self.window = timedelta(milliseconds=settings.retry_window_ms)
        self.requests: dict[str, WindowedSum] = {}
        self.retries: dict[str, WindowedSum] = {}
        self.lent: dict[str, WindowedSum] = {}
        self.loans: dict[str, deque[Loan]] = {}
        self.borrowed: dict[str, WindowedSum] = {}
        self.calls_by_route: dict[str, dict[str, float]] = {}

    def record_request(self, service: str) -> None:
        """Record a request for a service, which adds to its retry budget."""
        self.max_daemon_count = max(self.max_daemon_count, self.count_daemons())
        self._get_window(self.requests, service).add(1.0, self.clock.monotonic())

    def record_calls(self, route: str, calls_per_run: dict[str, float]) -> None:
        """Record how many calls to each service one run of a route makes."""
        self.calls_by_route[route] = calls_per_run

    def try_acquire(self, request: RequestContext) -> bool:
        """Consume one retry of a request from the budgets; return whether it fits.

        Another run repeats its calls to other services, so these calls are charged to
        the budgets of the called services.
        """
        costs = self.compute_costs(request)
        if not self.can_afford(costs):
            return False
        now = self.clock.monotonic()
        for name, cost in costs.items():
            own = min(cost, max(0.0, self.compute_own_remaining(name)))
            self._get_window(self.retries, name).add(own, now)
            self._use_loans(name, cost - own)
        return True

    def can_acquire(self, request: RequestContext) -> bool:
        """Return whether the budgets currently permit a retry of a request."""
        return self.can_afford(self.compute_costs(request))

    def can_afford(self, costs: dict[str, float]) -> bool:
        """Return whether the budgets cover given costs by service."""
        self.max_daemon_count = max(self.max_daemon_count, self.count_daemons())
        return all(self.compute_remaining(name) >= cost for name, cost in costs.items())

    def can_spare(self, request: RequestContext, kept_ratio: float) -> bool:
        """Return whether a retry leaves a part of this daemon's allowance unused.

        :param kept_ratio: the part, of the allowance for each service.
        """
        return all(
            self.compute_remaining(name) - cost
            >= kept_ratio * self.compute_allowed(name)
            for name, cost in self.compute_costs(request).items()
        )

    def compute_wait(self, costs: dict[str, float]) -> timedelta | None:
        """Return after what time the budgets are expected to cover given costs.

        :param costs: by service.
        :return: ``None`` if nothing indicates that they ever will.
        """
        longest = timedelta()
        for name, cost in costs.items():
            wait = self.forecast(name).compute_wait(cost)
            if wait is None:
                return None
            longest = max(longest, wait)
        return longest

    def forecast(self, service: str) -> RetryForecast:
        """Return what is known of the retries that become available for a service.

        Requests and loans are assumed to arrive at their recent rates.
        """
        now = self.clock.monotonic()
        borrowed = self.borrowed.setdefault(service, WindowedSum())
        borrowed.expire_before(now - LOAN_RATE_WINDOW)
        left = self.compute_own_remaining(service)
        used = self._get_window(self.retries, service).entries
        lent = self._get_window(self.lent, service).entries
        releases = [
            (recorded_at + self.window - now, amount)
            for recorded_at, amount in heapq.merge(used, lent)
        ]
        # An allowance below one retry never covers one without loans.
        is_enough = self.compute_allowed(service) >= 1.0
        if is_enough and left > 0:
            releases.append((self.window, left))
            releases.sort()
        growth, growth_time = self._estimate_growth(service, now)
        return RetryForecast(
            available=left + self.compute_remaining(service) - max(0.0, left),
            releases=releases,
            windows=MAX_WINDOWS_PREDICTED if is_enough else 1,
            window=self.window,
            growth=growth,
            growth_time=growth_time,
            loan_rate=borrowed.total / LOAN_RATE_WINDOW.total_seconds(),
        )

    def _estimate_growth(self, service: str, now: timedelta) -> tuple[float, timedelta]:
        """Return the retries per second that a window not yet full adds, how long."""
        requests = self._get_window(self.requests, service)
        if not requests.entries:
            return 0.0, timedelta()
        age = max(MIN_RATE_TIME, now - requests.entries[0][0])
        rate = requests.total / age.total_seconds()
        return self.settings.retry_ratio * rate, max(timedelta(), self.window - age)

    def compute_costs(self, request: RequestContext) -> dict[str, float]:
        """Return what one more run of a request costs, by service."""
        costs = {request.service: 1.0}
        for called, ratio in self.calls_by_route.get(request.route, {}).items():
            costs[called] = costs.get(called, 0.0) + ratio
        return costs

    def compute_remaining(self, service: str) -> float:
        """Return how many retries this daemon may still make, with those borrowed."""
        borrowed = sum(loan.amount for loan in self._get_loans(service))
        return max(0.0, self.compute_own_remaining(service)) + borrowed

    def count_requests(self, service: str) -> float:
        """Return the requests that this daemon received in the current window."""
        return self._get_window(self.requests, service).total

    def compute_allowed(self, service: str) -> float:
        """Return this daemon's part of the retries for a service."""
        requests = self.count_requests(service)
        slack = self.settings.retry_slack / self.max_daemon_count
        return self.settings.retry_ratio * requests + slack

    def compute_own_remaining(self, service: str) -> float:
        """Return how much of this daemon's part is neither used nor lent."""
        used = self._get_window(self.retries, service).total
        lent = self._get_window(self.lent, service).total
        return self.compute_allowed(service) - used - lent

    def lend(self, service: str, amount: float) -> float:
        """Lend up to an amount of retries for a service; return how many.

        The borrower uses them within ``LOAN_HOLD`` or not at all.
        """
        reserve = LENDING_RESERVE_RATIO * self.compute_allowed(service)
        granted = min(amount, self.compute_own_remaining(service) - reserve)
        if granted <= 0:
            return 0.0
        held_until = self.clock.monotonic() + LOAN_HOLD
        self._get_window(self.lent, service).add(granted, held_until)
        return granted

    def add_loan(self, service: str, amount: float, requested_at: timedelta) -> None:
        """Add retries that another daemon lent, unless they arrived too late.

        :param requested_at: monotonic time at which the loan was requested.
        """
        expires_at = requested_at + LOAN_VALIDITY
        if amount > 0 and self.clock.monotonic() < expires_at:
            loans = self.loans.setdefault(service, deque())
            loans.append(Loan(amount, expires_at))
            now = self.clock.monotonic()
            borrowed = self.borrowed.setdefault(service, WindowedSum())
            borrowed.expire_before(now - LOAN_RATE_WINDOW)
            borrowed.add(amount, now)

    def _use_loans(self, service: str, amount: float) -> None:
        loans = self._get_loans(service)
        while amount > 0 and loans:
            used = min(amount, loans[0].amount)
            loans[0].amount -= used
            amount -= used
            if loans[0].amount <= 0:
                loans.popleft()

    def _get_loans(self, service: str) -> "deque[Loan]":
        loans = self.loans.setdefault(service, deque())
        now = self.clock.monotonic()
        while loans and loans[0].expires_at <= now:
            loans.popleft()
        return loans

    def compute_remaining_by_service(self) -> dict[str, float]:
        """Return how many retries this daemon may still make, by service."""
        return {
            service: self.compute_remaining(service) for service in list(self.requests)
        }

    def _get_window(self, sums: dict[str, WindowedSum], service: str) -> WindowedSum:
        window_sum = sums.setdefault(service, WindowedSum())
        window_sum.expire_before(self.clock.monotonic() - self.window)
        return window_sum
