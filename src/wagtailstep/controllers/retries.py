"""Whether the system itself sends a request again.

Retries draw on a budget per service that first attempts fill, so that at most
``retry_ratio`` of the work in the long run consists of retries, however much fails.
"""

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


@attrs.define
class RetryBudget:
    """The retries that one service may still make.

    :param tokens: retries left; fractions add up.
    """

    tokens: float


class RetryPolicy:
    """Decide on retries by verdict, idempotency, attempts, time and budget."""

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, service: str) -> None:
        """Add a first attempt's share to the budget of its service."""
        budget = self.find_budget(service)
        filled = budget.tokens + self.settings.retry_ratio
        budget.tokens = min(float(self.settings.retry_burst), filled)

    def find_budget(self, service: str) -> RetryBudget:
        """Return the budget of a service; a new one starts full."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(float(self.settings.retry_burst))
            self.budgets[service] = budget
        return budget

    def take_retry(
        self, request: RequestContext, error: RequestError, attempts: int
    ) -> bool:
        """Tell whether to send again, and pay for it from the budget.

        :param request: the request.
        :param error: how the last attempt ended.
        :param attempts: attempts made so far, the first one included.
        """
        if not error.verdict.allows_resend(request.idempotent):
            return False
        if isinstance(error, BadRequestError) or not self.has_time(request):
            return False
        if isinstance(error, LeavingError):
            return attempts < MAX_LEAVING_ATTEMPTS
        if isinstance(error, OverloadedError) and attempts > 1:
            return False
        if attempts >= self.settings.max_attempts:
            return False
        return self.take_token(request.service)

    def has_time(self, request: RequestContext) -> bool:
        """Tell whether enough time is left for another attempt."""
        left = request.deadline - self.clock.monotonic()
        return left.total_seconds() * 1_000 >= MIN_TIME_LEFT_MS

    def take_token(self, service: str) -> bool:
        """Take one retry from the budget of a service if it has one."""
        budget = self.find_budget(service)
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True
