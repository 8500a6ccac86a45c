"""Decides whether the fleet itself retries a request.

Retries consume a budget per service that first attempts refill. In the long run
retries are therefore at most ``retry_ratio`` times the first attempts, regardless of
the failure rate.
"""

import enum
from collections.abc import Callable

import attrs

from wagtailstep.controllers.shared_budget import SharedRetryBudget
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
# Gates refuse within a few milliseconds; after this many refusals the service is
# considered full.
MAX_UNSENT_ATTEMPTS = 6
MAX_OVERLOADED_ATTEMPTS = 3


class RetryDenial(enum.StrEnum):
    """Why a request was not sent again."""

    NOT_REPEATABLE = "not-repeatable"
    BODY_NOT_KEPT = "body-not-kept"
    CALL_REFUSED = "call-refused"
    INVALID_REQUEST = "invalid-request"
    NO_TIME = "no-time"
    NO_ATTEMPTS = "no-attempts"
    NO_BUDGET = "no-budget"
    CRASHES_SERVERS = "crashes-servers"


@attrs.define
class RetryBudget:
    """Retry budget of one service.

    :param tokens: remaining retries, including fractions of one.
    """

    tokens: float


class RetryPolicy:
    """Decides on retries by verdict, idempotency, attempts, time and budget.

    :param count_daemons: returns the number of daemons that share a budget.
    :param may_start: returns whether this daemon may still send a request.

    Attributes: ``denial``, why the last decision was negative.
    """

    def __init__(
        self,
        settings: RequestSettings,
        clock: Clock,
        count_daemons: Callable[[], int] = lambda: 1,
        may_start: Callable[[RequestContext], bool] = lambda request: True,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.may_start = may_start
        self.shared_budget = None
        if settings.retry_slack:
            self.shared_budget = SharedRetryBudget(settings, clock, count_daemons)
        self.budgets: dict[str, RetryBudget] = {}
        self.denial: RetryDenial | None = None

    def apply_settings(self, settings: RequestSettings) -> None:
        """Use the retry ratio and slack of changed settings from now on.

        Whether daemons share a budget was decided at the start by the slack.
        """
        self.settings = attrs.evolve(
            self.settings,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
        )
        if self.shared_budget is not None:
            self.shared_budget.settings = self.settings

    def deny(self, reason: RetryDenial) -> bool:
        """Record why a decision is negative, and return it."""
        self.denial = reason
        return False

    def record_first_attempt(self, service: str) -> None:
        """Credit a first attempt to the retry budget of its service."""
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
        declined: int = 0,
    ) -> bool:
        """Return whether to retry a request; if so, charge the budget.

        :param request: the request.
        :param error: how the last attempt ended.
        :param attempts: attempts made so far, the first one included.
        :param sent: those of them that may have reached a backend server.
        :param declined: those of ``sent`` that servers declined, if these are not to
            count as executions.
        """
        self.denial = None
        if not error.verdict.allows_resend(request.idempotent):
            return self.deny(RetryDenial.NOT_REPEATABLE)
        if isinstance(error, BadRequestError):
            return self.deny(RetryDenial.INVALID_REQUEST)
        if not self.has_time_left(request):
            return self.deny(RetryDenial.NO_TIME)
        if isinstance(error, LeavingError):
            may_retry = attempts < MAX_LEAVING_ATTEMPTS
            return may_retry or self.deny(RetryDenial.NO_ATTEMPTS)
        if self.shared_budget is not None:
            return self.try_acquire_shared_retry(
                request, error, attempts, sent, declined
            )
        if isinstance(error, OverloadedError) and attempts > 1:
            return self.deny(RetryDenial.NO_ATTEMPTS)
        if attempts >= self.settings.max_attempts:
            return self.deny(RetryDenial.NO_ATTEMPTS)
        may_retry = self.try_acquire_token(request.service)
        return may_retry or self.deny(RetryDenial.NO_BUDGET)

    def try_acquire_shared_retry(
        self,
        request: RequestContext,
        error: RequestError,
        attempts: int,
        sent: int,
        declined: int,
    ) -> bool:
        """Return whether to retry within the fleet's budget; if so, charge it.

        Retries are free of charge while no attempt has reached a backend server.
        """
        assert self.shared_budget is not None
        if attempts >= MAX_UNSENT_ATTEMPTS + sent:
            return self.deny(RetryDenial.NO_ATTEMPTS)
        if not self.has_attempts_left(request, sent - declined):
            return self.deny(RetryDenial.NO_ATTEMPTS)
        gates_asked = attempts - declined
        if isinstance(error, OverloadedError) and gates_asked > MAX_OVERLOADED_ATTEMPTS:
            return self.deny(RetryDenial.NO_ATTEMPTS)
        may_retry = not sent or self.shared_budget.try_acquire(request)
        return may_retry or self.deny(RetryDenial.NO_BUDGET)

    def may_resend_declined(
        self,
        request: RequestContext,
        error: RequestError,
        gates_asked: int,
        executions: int,
    ) -> bool:
        """Return whether a request that servers declined may be sent again.

        It may be sent once the budget covers it; this method doesn't charge it.

        :param error: how the last attempt ended, with the verdict on all attempts.
        :param gates_asked: attempts that were not declined by a server.
        :param executions: those of them that a server may have executed.
        """
        self.denial = None
        if not error.verdict.allows_resend(request.idempotent):
            return self.deny(RetryDenial.NOT_REPEATABLE)
        if not self.has_time_left(request):
            return self.deny(RetryDenial.NO_TIME)
        if not self.has_attempts_left(request, executions):
            return self.deny(RetryDenial.NO_ATTEMPTS)
        if not error.reached_server and gates_asked > MAX_OVERLOADED_ATTEMPTS:
            return self.deny(RetryDenial.NO_ATTEMPTS)
        return True

    def record_calls(self, route: str, calls_per_run: dict[str, float]) -> None:
        """Record the calls that a run of a route makes, and repeats when retried."""
        if self.shared_budget is not None:
            self.shared_budget.record_calls(route, calls_per_run)

    def try_acquire_replacement(
        self, request: RequestContext, sent: int, kept_ratio: float = 0.0
    ) -> bool:
        """Return whether to replace a failed or slow attempt; if so, charge it.

        :param sent: backend servers that may have executed the request.
        :param kept_ratio: part of the budget that must be left afterwards.
        """
        self.denial = None
        if self.shared_budget is None or not request.idempotent:
            return self.deny(RetryDenial.NOT_REPEATABLE)
        if not self.has_attempts_left(request, sent):
            return self.deny(RetryDenial.NO_ATTEMPTS)
        if not self.has_time_left(request):
            return self.deny(RetryDenial.NO_TIME)
        if kept_ratio and not self.shared_budget.can_spare(request, kept_ratio):
            return self.deny(RetryDenial.NO_BUDGET)
        may_retry = self.shared_budget.try_acquire(request)
        return may_retry or self.deny(RetryDenial.NO_BUDGET)

    def can_retry_failure(self, request: RequestContext) -> bool:
        """Return whether a request could be retried if its first attempt failed."""
        if not request.idempotent or not self.has_attempts_left(request, 1):
            return False
        return self.shared_budget is None or self.shared_budget.can_acquire(request)

    def has_attempts_left(self, request: RequestContext, sent: int) -> bool:
        """Return whether a request may be sent to one more backend server."""
        return sent < min(request.max_attempts, self.settings.max_attempts)

    def has_time_left(self, request: RequestContext) -> bool:
        """Return whether enough time is left for another attempt.

        A shutdown of this daemon may leave less than the deadline does.
        """
        time_left = request.deadline - self.clock.monotonic()
        is_in_time = time_left.total_seconds() * 1_000 >= MIN_TIME_LEFT_MS
        return is_in_time and self.may_start(request)

    def try_acquire_token(self, service: str) -> bool:
        """Consume one retry of a service's budget; return whether there was one."""
        budget = self.get_budget(service)
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True
