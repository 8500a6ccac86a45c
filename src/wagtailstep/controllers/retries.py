"""Whether the system itself sends a request again.

Retries draw on a budget per service that first attempts fill, so that at most
``retry_ratio`` of the work in the long run consists of retries, however much fails.
"""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

import attrs

from wagtailstep.exceptions import (
    BadRequestError,
    LeavingError,
    OverloadedError,
    RequestError,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.utils.clock import Clock

MIN_TIME_LEFT_MS = 5
MAX_LEAVING_ATTEMPTS = 8
# Gates refuse in a few milliseconds; after as many refusals the service is full.
MAX_UNSENT_ATTEMPTS = 6
MAX_OVERLOADED_ATTEMPTS = 3
# Before a daemon knows the others it takes itself for one of at least so many.
MIN_ASSUMED_DAEMONS = 16


@attrs.define
class RetryBudget:
    """The retries that one service may still make.

    :param tokens: retries left; fractions add up.
    """

    tokens: float


@attrs.define
class WindowedSum:
    """Amounts with the time at which each was added.

    :param entries: monotonic time and amount, oldest first.
    :param total: sum of the amounts.
    """

    entries: deque[tuple[timedelta, float]] = attrs.field(factory=deque)
    total: float = 0.0

    def add(self, amount: float, now: timedelta) -> None:
        """Add an amount."""
        self.entries.append((now, amount))
        self.total += amount

    def expire_before(self, oldest: timedelta) -> None:
        """Take out what was added at ``oldest`` or before."""
        while self.entries and self.entries[0][0] <= oldest:
            self.total -= self.entries.popleft()[1]


class SharedRetryBudget:
    """This daemon's share of the retries that all daemons may make for a service.

    In any window of ``retry_window_ms`` a daemon makes at most ``retry_ratio`` times
    the requests that it took for the service in that window, and
    its equal part of ``retry_slack``. The sum over all daemons keeps within the
    fleet's budget without a message, as long as none counts too few daemons. Windows
    of daemons end at different moments, so ``retry_ratio`` is to be set a little
    below the ratio that the fleet may reach.

    :param count_daemons: returns the number of daemons that is known now.
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
        self.calls_by_route: dict[str, dict[str, float]] = {}

    def record_request(self, service: str) -> None:
        """Count a request for a service."""
        self.max_daemon_count = max(self.max_daemon_count, self.count_daemons())
        self._get_window(self.requests, service).add(1.0, self.clock.monotonic())

    def record_calls(self, route: str, calls_per_run: dict[str, float]) -> None:
        """Note which calls a run of a route makes."""
        self.calls_by_route[route] = calls_per_run

    def try_acquire(self, request: RequestContext) -> bool:
        """Take one retry from the budget of a request's service if it has one.

        The calls that the repeated run makes again are taken from the budgets of the
        called services.
        """
        costs = self.compute_costs(request)
        if not self.can_afford(costs):
            return False
        now = self.clock.monotonic()
        for name, cost in costs.items():
            self._get_window(self.retries, name).add(cost, now)
        return True

    def can_acquire(self, request: RequestContext) -> bool:
        """Tell whether a request may be sent again now."""
        return self.can_afford(self.compute_costs(request))

    def can_afford(self, costs: dict[str, float]) -> bool:
        """Tell whether the budgets have room for some costs, by service."""
        self.max_daemon_count = max(self.max_daemon_count, self.count_daemons())
        return all(self.compute_remaining(name) >= cost for name, cost in costs.items())

    def compute_costs(self, request: RequestContext) -> dict[str, float]:
        """Return what one more run takes from the budgets, by service."""
        costs = {request.service: 1.0}
        for called, ratio in self.calls_by_route.get(request.route, {}).items():
            costs[called] = costs.get(called, 0.0) + ratio
        return costs

    def compute_remaining(self, service: str) -> float:
        """Return the retries that this daemon may still make for a service."""
        allowed = (
            self.settings.retry_ratio * self._get_window(self.requests, service).total
        )
        allowed += self.settings.retry_slack / self.max_daemon_count
        return allowed - self._get_window(self.retries, service).total

    def compute_remaining_by_service(self) -> dict[str, float]:
        """Return the retries that this daemon may still make, by service."""
        return {
            service: self.compute_remaining(service) for service in list(self.requests)
        }

    def _get_window(self, counted: dict[str, WindowedSum], service: str) -> WindowedSum:
        amounts = counted.setdefault(service, WindowedSum())
        amounts.expire_before(self.clock.monotonic() - self.window)
        return amounts


class RetryPolicy:
    """Decide on retries by verdict, idempotency, attempts, time and budget."""

    def __init__(
        self,
        settings: RequestSettings,
        clock: Clock,
        count_daemons: Callable[[], int] = lambda: 1,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.shared_budget = None
        if settings.retry_slack:
            self.shared_budget = SharedRetryBudget(settings, clock, count_daemons)
        self.budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, service: str) -> None:
        """Add a first attempt's share to the budget of its service."""
        if self.shared_budget is not None:
            self.shared_budget.record_request(service)
            return
        budget = self.get_budget(service)
        filled = budget.tokens + self.settings.retry_ratio
        budget.tokens = min(float(self.settings.retry_burst), filled)

    def get_budget(self, service: str) -> RetryBudget:
        """Return the budget of a service; a new one starts full."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(float(self.settings.retry_burst))
            self.budgets[service] = budget
        return budget

    def try_acquire_retry(
        self,
        request: RequestContext,
        error: RequestError,
        attempts: int,
        sent: int = 0,
    ) -> bool:
        """Tell whether to send again, and pay for it from the budget.

        :param request: the request.
        :param error: how the last attempt ended.
        :param attempts: attempts made so far, the first one included.
        :param sent: those of them that a backend server may have got.
        """
        if not error.verdict.allows_resend(request.idempotent):
            return False
        if isinstance(error, BadRequestError) or not self.has_time_left(request):
            return False
        if isinstance(error, LeavingError):
            return attempts < MAX_LEAVING_ATTEMPTS
        if self.shared_budget is not None:
            return self.try_acquire_shared_retry(request, error, attempts, sent)
        if isinstance(error, OverloadedError) and attempts > 1:
            return False
        if attempts >= self.settings.max_attempts:
            return False
        return self.try_acquire_token(request.service)

    def try_acquire_shared_retry(
        self, request: RequestContext, error: RequestError, attempts: int, sent: int
    ) -> bool:
        """Tell whether to send again within the budget of all daemons.

        What no backend server got costs nothing of the budget until one gets it.
        """
        assert self.shared_budget is not None
        if attempts >= MAX_UNSENT_ATTEMPTS + sent:
            return False
        if not self.has_attempts_left(request, sent):
            return False
        if isinstance(error, OverloadedError) and attempts > MAX_OVERLOADED_ATTEMPTS:
            return False
        return not sent or self.shared_budget.try_acquire(request)

    def record_calls(self, route: str, calls_per_run: dict[str, float]) -> None:
        """Note which calls a run of a route makes, and makes again if repeated."""
        if self.shared_budget is not None:
            self.shared_budget.record_calls(route, calls_per_run)

    def try_acquire_replacement(self, request: RequestContext, sent: int) -> bool:
        """Tell whether a failure that a backend server answered is to be replaced."""
        if self.shared_budget is None or not request.idempotent:
            return False
        if not self.has_attempts_left(request, sent):
            return False
        return self.has_time_left(request) and self.shared_budget.try_acquire(request)

    def can_retry_failure(self, request: RequestContext) -> bool:
        """Tell whether the failure of a first attempt could be made good."""
        if not request.idempotent or not self.has_attempts_left(request, 1):
            return False
        return self.shared_budget is None or self.shared_budget.can_acquire(request)

    def has_attempts_left(self, request: RequestContext, sent: int) -> bool:
        """Tell whether a request may be sent to one more backend server."""
        return sent < min(request.max_attempts, self.settings.max_attempts)

    def has_time_left(self, request: RequestContext) -> bool:
        """Tell whether enough time is left for another attempt."""
        left = request.deadline - self.clock.monotonic()
        return left.total_seconds() * 1_000 >= MIN_TIME_LEFT_MS

    def try_acquire_token(self, service: str) -> bool:
        """Take one retry from the budget of a service if it has one."""
        budget = self.get_budget(service)
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True
