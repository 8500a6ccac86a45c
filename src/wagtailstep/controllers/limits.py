"""Limits at one daemon's entry: concurrency and the rates of client accounts."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.exceptions import OverloadedError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.table import Table
from wagtailstep.utils.clock import Clock

RETRY_AFTER = timedelta(seconds=1)
TOO_MANY_REQUESTS = 429
BURST_DURATION = timedelta(seconds=1)


def check_concurrency(blackboard: Blackboard, request: RequestContext) -> None:
    """Refuse a request whose service or route has all it may have in flight.

    :raises OverloadedError: naming the row of the table that holds the limit.
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
            f"concurrency limit {limit} of {row!r} is reached at this daemon; "
            "come back after the time in Retry-After",
            RETRY_AFTER,
        )


@attrs.define
class TokenBucket:
    """Tokens that refill with time.

    :param tokens: tokens left.
    :param updated_at: monotonic time when ``tokens`` was right.
    """

    tokens: float
    updated_at: timedelta

    def refill(self, now: timedelta, rate: float, burst: float) -> None:
        """Add the tokens of the time since the last refill.

        :param now: monotonic time.
        :param rate: tokens per second.
        :param burst: most tokens that may be left.
        """
        gained = (now - self.updated_at).total_seconds() * rate
        self.tokens = min(burst, self.tokens + gained)
        self.updated_at = now


class AccountLimiter:
    """Limit the request rate of each client account at this daemon.

    Only accounts that used their limit lately are remembered, at most
    ``account_buckets`` of them. A forgotten account starts with a full bucket, so
    it may gain one burst, which is one second's worth of requests.
    """

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        self.capacity = settings.account_buckets
        self.clock = clock
        self.buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def acquire_token(self, table: Table, request: RequestContext) -> None:
        """Take one token of the request's client account.

        :raises OverloadedError: if the account has none left.
        """
        rate = get_rate_limit(table, request.service, request.account)
        if not rate or not request.account:
            return
        account_id = f"{request.service}/{request.account}"
        bucket = self.get_bucket(account_id, rate)
        if bucket.tokens < 1:
            wait = timedelta(seconds=(1 - bucket.tokens) / rate)
            raise OverloadedError(
                f"client account {request.account!r} has used its {rate:g} requests "
                "per second at this daemon; come back after the time in Retry-After",
                wait,
                TOO_MANY_REQUESTS,
            )
        bucket.tokens -= 1

    def get_bucket(self, account_id: str, rate: float) -> TokenBucket:
        """Return the refilled bucket of an account, making room for it."""
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
    """Return the requests per second of an account; 0 is no limit."""
    row = table.accounts.get(f"{service}/{account}")
    if row is not None:
        return row.rate_limit
    return table.service_row(service).account_rate_limit
