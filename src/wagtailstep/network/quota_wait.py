"""Keeps requests waiting until the quota of their client account permits them."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from wagtailstep.accounts.directory import ClientAccount
from wagtailstep.accounts.quota_home import QuotaHome
from wagtailstep.accounts.quota_leases import QuotaLeases
from wagtailstep.exceptions import DeadlineExceededError, QuotaExceededError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.quotas import (
    QuotaDecided,
    QuotaDecision,
    ScheduleQuotaCheck,
)
from wagtailstep.models.request import RequestContext
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.deadlines import SettledTimer, limit_time
from wagtailstep.network.exchanges import Exchange
from wagtailstep.utils.clock import Clock


class QuotaWait:
    """Obtain a token for each request of an account with a rate.

    :param blackboard: source of the accounts and the members.
    :param clock: source of monotonic time.
    :param rng: source of jitter.
    :param apply: applies the effects of the controllers. It passes
        :class:`~wagtailstep.models.quotas.QuotaDecided` to :meth:`deliver_decision`
        and :class:`~wagtailstep.models.quotas.ScheduleQuotaCheck` to
        :meth:`schedule_check`.

    Attributes: ``home`` and ``leases``, controllers for the runtime.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        apply: Callable[[list[Any]], None],
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.apply = apply
        self.home = QuotaHome(blackboard, clock)
        self.leases = QuotaLeases(blackboard, clock, rng, self.home)
        self.serials = itertools.count(1)
        self.futures: dict[str, tuple[str, asyncio.Future[QuotaDecision]]] = {}

    @asynccontextmanager
    async def hold_token(self, exchange: Exchange) -> AsyncIterator[None]:
        """Hold a token while a request is sent.

        The token is returned if the request ends before a backend server received it.

        :raises QuotaExceededError: if the account has no token left.
        :raises DeadlineExceededError: if the deadline passes first.
        """
        account = self.find_account(exchange.request)
        if account is None:
            yield
            return
        decision = await self.acquire(account, exchange.request)
        try:
            yield
        except BaseException:
            # A server that rejected the request has received it: that counts.
            unsent = not exchange.sent
            if unsent and exchange.verdict_if_cancelled is Verdict.NOT_RUN:
                self.apply(self.leases.return_token(account.name, decision))
            raise

    def find_account(self, request: RequestContext) -> ClientAccount | None:
        """Return the account of a request if the table sets a rate for it."""
        return self.home.find_account(request.account) if request.account else None

    async def acquire(
        self, account: ClientAccount, request: RequestContext
    ) -> QuotaDecision:
        """Wait for a token and return the decision that granted it.

        :raises QuotaExceededError: if the account has no token left.
        :raises DeadlineExceededError: if the deadline passes first.
        """
        # Callers may send several requests with the same identifier.
        wait_id = str(next(self.serials))
        outcome = self.leases.decide(account, wait_id)
        decision = outcome.decision
        if decision is not None:
            self.apply(list(outcome.effects))
        else:
            effects = list(outcome.effects)
            decision = await self.wait(account, request, wait_id, effects)
        if not decision.admitted:
            raise QuotaExceededError(
                f"client account {account.name!r} has used up its quota of "
                f"{account.rate_per_s:g} requests per second; retry after the time "
                "in Retry-After",
                decision.retry_after,
            )
        return decision

    async def wait(
        self,
        account: ClientAccount,
        request: RequestContext,
        wait_id: str,
        effects: list[Any],
    ) -> QuotaDecision:
        """Wait until :meth:`deliver_decision` passes on the decision.

        :param wait_id: identifier of this wait.
        :raises DeadlineExceededError: if the deadline passes first.
        """
        future = asyncio.get_running_loop().create_future()
        self.futures[wait_id] = (account.name, future)
        self.apply(effects)
        decision = None
        try:
            async with limit_time(request.deadline - self.clock.monotonic()):
                decision = await future
            return decision
        except TimeoutError:
            raise DeadlineExceededError(
                "deadline exceeded while the request waited for the quota of its "
                "client account; send the request again with a longer timeout",
                Verdict.NOT_RUN,
            ) from None
        finally:
            if decision is None:
                self.cancel_wait(account, wait_id, future)

    def cancel_wait(
        self,
        account: ClientAccount,
        wait_id: str,
        future: asyncio.Future[QuotaDecision],
    ) -> None:
        """Withdraw a request, or return the token that it has just been given.

        The decision may arrive in the same event loop step as the cancellation.
        """
        if self.futures.pop(wait_id, None) is not None:
            self.leases.cancel_wait(account.name, wait_id)
        elif future.done() and not future.cancelled():
            self.return_unused(account.name, future.result())

    def return_unused(self, account: str, decision: QuotaDecision) -> None:
        """Return the token of a decision that nobody waits for."""
        if decision.admitted:
            self.apply(self.leases.return_token(account, decision))

    def deliver_decision(self, effect: QuotaDecided) -> None:
        """Pass the decision to the request that waits for it."""
        waiting = self.futures.pop(effect.request_id, None)
        if waiting is None:
            return
        account, future = waiting
        if future.done():
            # The caller has just left.
            self.return_unused(account, effect.decision)
        else:
            future.set_result(effect.decision)

    def schedule_check(self, effect: ScheduleQuotaCheck) -> None:
        """Check after a delay whether tokens that were asked for have arrived."""
        due_at = asyncio.get_running_loop().time() + effect.delay.total_seconds()
        SettledTimer(due_at, self.check_pending)

    def check_pending(self) -> None:
        """Ask other daemons for tokens where an answer is overdue."""
        self.apply(self.leases.check_pending())
