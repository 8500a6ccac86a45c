"""Limits at a daemon's entry: concurrency, and request rates of client accounts."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.exceptions import OverloadedError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.durations import compute_refill_time

RETRY_AFTER = timedelta(seconds=1)
TOO_MANY_REQUESTS = 429
# A full bucket holds as many tokens as are refilled in this time.
BURST_DURATION = timedelta(seconds=1)


def check_concurrency(blackboard: Blackboard, request: RequestContext) -> None:
    """Refuse a request if its service or route is at its concurrency limit.

    :raises OverloadedError: with the table row that sets the limit in its message.
    """
    table = blackboard.table
    in_flight = blackboard.in_flight
    service = request.service
    service_limit = table.service_row(service).concurrency_limit
    _check_count(in_flight.by_service.get(service, 0), service_limit, service)
    route_id = f"{service}/{request.route}"
    route_limit = table.route_row(service, request.route).concurrency_limit
    _check_count(in_flight.by_route.get(route_id, 0), route_limit, route_id)


def _check_count(count: int, limit: int, row: str) -> None:
    if limit and count >= limit:
        raise OverloadedError(
            f"the concurrency limit of {limit} for {row!r} is reached at this daemon; "
            "retry after the time in Retry-After",
            RETRY_AFTER,
        )


@attrs.define
class TokenBucket:
    """Token bucket of a rate limiter.

    :param tokens: available tokens as of ``updated_at``.
    :param updated_at: monotonic time of the last refill.
    """

    tokens: float
    updated_at: timedelta

    def refill(self, now: timedelta, rate: float, burst: float) -> None:
        """Add the tokens earned since the last refill.

        :param now: monotonic time.
        :param rate: tokens per second.
        :param burst: maximum number of tokens.
        """
        gained = (now - self.updated_at).total_seconds() * rate
        self.tokens = min(burst, self.tokens + gained)
        self.updated_at = now


class AccountLimiter:
    """Limits the request rate of each client account at this daemon.

    Only the buckets of the most recently active accounts are kept, at most
    ``account_buckets``. An evicted account starts again with a full bucket, so it may
    gain one burst, which is one second's worth of requests.
    """

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        self.capacity = settings.account_buckets
        self.clock = clock
        self.buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def acquire_token(self, table: Table, request: RequestContext) -> None:
        """Consume one token of the request's client account.

        :raises OverloadedError: if the account has none left.
        """
        rate = get_rate_limit(table, request.service, request.account)
        if not rate or not request.account:
            return
        account_id = f"{request.service}/{request.account}"
        bucket = self.get_bucket(account_id, rate)
        if bucket.tokens < 1:
            wait = compute_refill_time(1 - bucket.tokens, rate)
            raise OverloadedError(
                f"client account {request.account!r} has exceeded its rate limit of "
                f"{rate:g} requests per second at this daemon; retry after the time "
                "in Retry-After",
                wait,
                TOO_MANY_REQUESTS,
            )
        bucket.tokens -= 1

    def get_bucket(self, account_id: str, rate: float) -> TokenBucket:
        """Return the refilled bucket of an account; evict the oldest one if needed."""
        now = self.clock.monotonic()
        burst = max(1.0, rate * BURST_DURATION.total_seconds())
        bucket = self.buckets.get(account_id)
        if bucket is None:
            bucket = self.buckets[account_id] = TokenBucket(burst, now)
        self.buckets.move_to_end(account_id)
        if len(self.buckets) > self.capacity:
            self.buckets.popitem(last=False)
        bucket.refill(now, rate, burst)
        return bucket


def get_rate_limit(table: Table, service: str, account: str) -> float:
    """Return the rate limit of an account in requests per second; 0 is no limit."""
    row = table.accounts.get(f"{service}/{account}")
    if row is not None:
        return row.rate_limit
    return table.service_row(service).account_rate_limit
