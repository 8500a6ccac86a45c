"""Decides when a slow request is hedged, and whether the limits permit it."""

from datetime import timedelta

from wagtailstep.controllers.attempt_timeout import RecentRefusals
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.shared_budget import SharedRetryBudget, WindowedSum
from wagtailstep.hedging.latencies import LatencyTracker
from wagtailstep.models.hedging import HedgeDenial
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.utils.clock import Clock

# Part of its retry allowance that a daemon keeps for requests that failed.
BUDGET_RESERVE_RATIO = 0.5
# Share of the requests beyond the 95th percentile. A lower limit can't cover them all;
# a longer delay leaves it to the slowest ones.
FULL_COVERAGE_RATIO = 0.05
LONGER_DELAY_FACTOR = 2.0
# As many gates without a free slot show that the service lacks capacity.
FULL_GATES = 3
# Absorbs the rounding of the product of ratio and requests.
ROUNDING_MARGIN = 1e-9


class HedgePolicy:
    """Decides on hedges of one daemon.

    In any window of ``retry_window_ms`` that ends with a hedge, a daemon sends at most
    ``hedge_ratio`` times the requests that it received for the service in that window.
    The sum over all daemons stays within the same ratio without any communication.

    :param settings: the limit and the length of the window.
    :param clock: source of monotonic time.
    :param retries: provides the attempts left and the shared budget, which is needed.
    :param refusals: services that recently lacked a free slot.
    """

    def __init__(
        self,
        settings: RequestSettings,
        clock: Clock,
        retries: RetryPolicy,
        refusals: RecentRefusals,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.retries = retries
        self.refusals = refusals
        self.latencies = LatencyTracker(clock)
        self.window = timedelta(milliseconds=settings.retry_window_ms)
        self.hedges: dict[str, WindowedSum] = {}

    def record_latency(self, request: RequestContext, latency: timedelta) -> None:
        """Record how long the first copy of a request took, or at least took."""
        self.latencies.record(request.service, request.route, latency)

    def compute_delay(self, request: RequestContext) -> timedelta | None:
        """Return the time without a response head after which a request is hedged.

        :return: ``None`` if it must not be hedged or if too little is known.
        """
        if not request.idempotent or not self.settings.hedge_ratio:
            return None
        latency = self.latencies.get_high_latency(request.service, request.route)
        if latency is None or self.settings.hedge_ratio >= FULL_COVERAGE_RATIO:
            return latency
        return LONGER_DELAY_FACTOR * latency

    def find_denial(
        self,
        request: RequestContext,
        delay: timedelta,
        sent: int,
        replayable: bool,
        full_gates: int = 0,
    ) -> HedgeDenial | None:
        """Return why a request must not be hedged now, or ``None`` if it may be.

        :param delay: expected time until the hedge has a response.
        :param sent: copies that a backend server may have received.
        :param replayable: whether the body can be sent again.
        :param full_gates: gates that had no free slot for this request.
        """
        service = request.service
        if not replayable:
            return HedgeDenial.BODY_NOT_KEPT
        if full_gates >= FULL_GATES or self.refusals.has_recent(service):
            return HedgeDenial.NO_CAPACITY
        if request.deadline - self.clock.monotonic() < delay:
            return HedgeDenial.NO_TIME
        if not self.retries.has_attempts_left(request, sent):
            return HedgeDenial.NO_ATTEMPTS
        if self.latencies.is_service_slow(service):
            return HedgeDenial.SERVICE_SLOW
        budget = self.retries.shared_budget
        if budget is None or not self.has_reserve(budget, request):
            return HedgeDenial.LOW_BUDGET
        if not self.is_below_limit(budget, service):
            return HedgeDenial.OVER_LIMIT
        return None

    def has_reserve(self, budget: SharedRetryBudget, request: RequestContext) -> bool:
        """Return whether enough of the allowance of each charged service is left."""
        return all(
            budget.compute_own_remaining(name)
            >= max(cost, BUDGET_RESERVE_RATIO * budget.compute_allowed(name))
            for name, cost in budget.compute_costs(request).items()
        )

    def is_below_limit(self, budget: SharedRetryBudget, service: str) -> bool:
        """Return whether one more hedge is within the limit of a service."""
        allowed = self.settings.hedge_ratio * budget.count_requests(service)
        return self.count_hedges(service) + 1 <= allowed + ROUNDING_MARGIN

    def count_hedges(self, service: str) -> float:
        """Return the hedges of a service within the window."""
        hedges = self.hedges.setdefault(service, WindowedSum())
        hedges.expire_before(self.clock.monotonic() - self.window)
        return hedges.total

    def try_charge(self, request: RequestContext) -> bool:
        """Charge a hedge to its limit and to the retry budget, if that suffices."""
        budget = self.retries.shared_budget
        if budget is None or not budget.try_acquire(request):
            return False
        self.count_hedges(request.service)
        self.hedges[request.service].add(1.0, self.clock.monotonic())
        return True
