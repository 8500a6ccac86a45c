"""Grants tokens of the client accounts whose home or deputy this daemon is."""

import math
from collections import OrderedDict
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.accounts.directory import AccountDirectory, ClientAccount
from wagtailstep.accounts.quota_bucket import (
    BOUND_WINDOW,
    QuotaBucket,
    compute_start,
    get_burst,
)
from wagtailstep.accounts.quota_members import QuotaMembers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.quotas import QuotaGrant, QuotaRequest
from wagtailstep.utils.clock import Clock

# A full bucket that is not used for this long is forgotten. One that is not full would
# get tokens too early if it was created anew.
IDLE_TIME = timedelta(minutes=1)
# At the design scale of 47,000 accounts and 1,800 daemons one daemon is home or deputy
# of about 52 accounts.
MAX_BUCKETS = 4_096
# Members are read also without accounts. A first list of accounts would otherwise find
# all members new, and homes would grant less than the quotas.
UNUSED_REFRESH_INTERVAL = timedelta(seconds=1)
# Daemons notice a change of members one after the other. Meanwhile several may be the
# home of one account: one with 84 requests per second exceeded the bound by 19 requests
# in a partition without a delay, and by 16 after restarts with a delay that only lost
# members started.
SETTLING_TIME = timedelta(seconds=1)
MAX_PROMOTION_DELAY = timedelta(milliseconds=1_500)
MILLISECOND = timedelta(milliseconds=1)


class QuotaHome:
    """Hold the token buckets of accounts and answer requests for tokens.

    After a change of members, a daemon can't know what an account's former home has
    just granted, so a new bucket starts with half the burst or less. It starts full if
    the members have not changed for a whole window.

    :param blackboard: source of the members and the table.
    :param clock: source of monotonic time.
    :param members: usable members; refreshed at each tick.

    Attributes: ``basis``, the accounts and the time of the last change of members by
    which all buckets were last updated.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        members: QuotaMembers | None = None,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.evicted_at: timedelta | None = None
        self.basis: tuple[AccountDirectory | None, timedelta] | None = None
        self.members = members or QuotaMembers(blackboard, clock)
        self.buckets: OrderedDict[str, QuotaBucket] = OrderedDict()

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that quotas do not depend on."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        directory = self.blackboard.table.client_accounts
        is_unused = directory is None and not self.buckets
        if is_unused and self.members.age < UNUSED_REFRESH_INTERVAL:
            return []
        self.members.refresh()
        now = self.clock.monotonic()
        for name, bucket in list(self.buckets.items()):
            if now - bucket.used_at < IDLE_TIME:
                break
            if bucket.is_full(now):
                del self.buckets[name]
        basis = (directory, self.members.changed_at)
        if basis != self.basis:
            self.basis = basis
            self._update_all(now)
        return []

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self._receive(event.message, event.sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> list[Any]:
        return []

    @_receive.register
    def _(self, message: QuotaRequest, sender: str) -> list[Any]:
        member = self.members.find(sender)
        account = self.find_account(message.account)
        if account is None or message.amount < 0 or message.returned < 0:
            return []
        self.take_back(account, message.returned)
        # A sender that is not known yet can't be answered and asks the deputy.
        if message.amount == 0 or member is None:
            return []
        grant = self.grant(account, message.amount, message.serial)
        return [SendToPeer(member.peer_address, grant, urgent=True)]

    def find_account(self, name: str) -> ClientAccount | None:
        """Return an account that the table limits, or ``None``."""
        directory = self.blackboard.table.client_accounts
        account = directory.find_name(name) if directory is not None else None
        return account if account is not None and account.rate_per_s else None

    def grant(self, account: ClientAccount, amount: int, serial: int = 0) -> QuotaGrant:
        """Grant up to an amount of tokens of an account.

        :param serial: repeated in the grant.
        """
        now = self.clock.monotonic()
        bucket = self._get_bucket(account, now)
        granted = bucket.take(amount, now)
        if granted == amount:
            return QuotaGrant(serial, granted, 0)
        wait_ms = max(1, math.ceil(bucket.compute_wait(now) / MILLISECOND))
        return QuotaGrant(serial, granted, wait_ms)

    def take_back(self, account: ClientAccount, amount: int) -> None:
        """Add tokens that were granted here and not used."""
        bucket = self.buckets.get(account.name)
        if bucket is not None and amount > 0:
            self._update(bucket, account, self.clock.monotonic())
            bucket.give_back(amount)

    def _update_all(self, now: timedelta) -> None:
        """Apply a new table or changed members to all buckets."""
        for name, bucket in list(self.buckets.items()):
            account = self.find_account(name)
            if account is None:
                del self.buckets[name]
            else:
                self._update(bucket, account, now)

    def _get_bucket(self, account: ClientAccount, now: timedelta) -> QuotaBucket:
        bucket = self.buckets.get(account.name)
        if bucket is None:
            bucket = self.buckets[account.name] = QuotaBucket(
                account,
                self._compute_first_tokens(account, now),
                now,
                now,
                self.members.is_first(account.name)
                and self.members.is_settled(SETTLING_TIME),
                self.members.scale,
            )
            if len(self.buckets) > MAX_BUCKETS:
                _, evicted = self.buckets.popitem(last=False)
                self.evicted_at = evicted.used_at
        self._update(bucket, account, now)
        bucket.used_at = now
        self.buckets.move_to_end(account.name)
        return bucket

    def _compute_first_tokens(self, account: ClientAccount, now: timedelta) -> float:
        """Return the tokens of a new bucket.

        It is the whole burst if neither another home nor an evicted bucket can have
        granted some of it within the window of the bound.
        """
        window_start = now - BOUND_WINDOW
        is_settled = self.members.is_settled(BOUND_WINDOW)
        if self.evicted_at is not None and self.evicted_at > window_start:
            is_settled = False
        return get_burst(account) if is_settled else compute_start(account)

    def _update(
        self, bucket: QuotaBucket, account: ClientAccount, now: timedelta
    ) -> None:
        is_home = self._decide_role(bucket, account, now)
        bucket.update(account, is_home, self.members.scale, now)

    def _decide_role(
        self, bucket: QuotaBucket, account: ClientAccount, now: timedelta
    ) -> bool:
        """Return whether to act as the home of an account, and not as its deputy.

        While members change, a daemon that takes over waits for the views of the
        others.
        """
        if not self.members.is_first(account.name):
            bucket.first_since = None
            return False
        if bucket.first_since is None:
            bucket.first_since = now
        return (
            bucket.is_home
            or self.members.is_settled(SETTLING_TIME)
            or now - bucket.first_since >= MAX_PROMOTION_DELAY
        )
