"""Obtains the tokens that requests of client accounts with a quota need."""

import random
from collections import OrderedDict
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.accounts.account_leases import (
    AccountLeases,
    Lease,
    LocalBucket,
    PendingTokens,
)
from wagtailstep.accounts.directory import ClientAccount
from wagtailstep.accounts.quota_bucket import BOUND_WINDOW, compute_local_rate
from wagtailstep.accounts.quota_home import IDLE_TIME, QuotaHome
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.quotas import (
    QuotaDecided,
    QuotaDecision,
    QuotaGrant,
    QuotaOutcome,
    QuotaRequest,
    ScheduleQuotaCheck,
)
from wagtailstep.utils.clock import Clock

LEASE_VALIDITY = timedelta(seconds=1)
HOME_TIMEOUT = timedelta(milliseconds=60)
DEPUTY_TIMEOUT = timedelta(milliseconds=60)
# Timers may fire slightly early, by the resolution of the event loop's clock.
TIMER_TOLERANCE = timedelta(microseconds=100)
# A busy entry asks for what it needs during this time.
FORECAST_S = 0.25
# After a refusal by the home, requests are refused without asking for at most this
# long, since other entries may return tokens meanwhile.
MAX_DENIAL = timedelta(milliseconds=250)
RETRY_JITTER_RATIO = 0.1
RETRY_JITTER = timedelta(milliseconds=10)
SERIAL_BITS = 20
MAX_ASKED = 2  # Home and deputy.
MAX_ACCOUNTS = 65_536
MAX_TRACKED_REQUESTS = 4_096


@attrs.frozen
class SentRequest:
    """A message to a home or deputy whose answer is still accepted.

    :param account: name of the account.
    :param sent_at: monotonic time at which it was sent.
    :param receiver: ``daemon_id`` of the receiver.
    """

    account: str
    sent_at: timedelta
    receiver: str


class QuotaLeases:
    """Decide whether requests may be sent, with tokens of the account's home.

    A request takes a token from a lease, or else waits for the home's answer. Requests
    of one account wait for the same answer. If the home does not answer, its deputy is
    asked; if that does not either, a small local bucket decides.

    :param blackboard: source of the members.
    :param clock: source of monotonic time.
    :param rng: source of jitter and of the first tokens of local buckets.
    :param home: grants the tokens of accounts whose home or deputy this daemon is.

    Attributes: ``accounts``, all that were used lately, least recently used first;
    ``pending`` and ``leased``, those that wait for an answer and that hold leases.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        home: QuotaHome,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.home = home
        self.members = home.members
        # Late answers to a former process of this daemon must match no serial.
        self.serial = blackboard.this_member.incarnation << SERIAL_BITS
        self.accounts: OrderedDict[str, AccountLeases] = OrderedDict()
        self.pending: dict[str, AccountLeases] = {}
        self.leased: dict[str, AccountLeases] = {}
        self.sent: OrderedDict[int, SentRequest] = OrderedDict()

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that leases do not depend on."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects = self.check_pending()
        for name, state in list(self.leased.items()):
            effects += self._return_expired(state, now)
            if not state.leases:
                del self.leased[name]
        while self.accounts:
            name, state = next(iter(self.accounts.items()))
            if now - state.used_at < IDLE_TIME:
                break
            del self.accounts[name]
        return effects

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        if isinstance(event.message, QuotaGrant):
            return self._receive_grant(event.message, event.sender)
        return []

    def decide(self, account: ClientAccount, request_id: str) -> QuotaOutcome:
        """Decide whether a request may be sent.

        :param account: its account, which has a rate.
        :param request_id: identifier in the :class:`QuotaDecided` effect that follows
            if there is no decision yet.
        """
        now = self.clock.monotonic()
        effects: list[Any] = []
        state = self._get_state(account, now, effects)
        state.record_request(now)
        lease = state.take(now)
        if lease is not None:
            return QuotaOutcome(_admit(lease), tuple(effects))
        if now < state.denied_until:
            refusal = self._refuse(max(timedelta(), state.next_token_at - now))
            return QuotaOutcome(refusal, tuple(effects))
        state.waiting[request_id] = None
        if state.pending is None:
            effects += self._request_tokens(state, now)
        for effect in effects:
            if isinstance(effect, QuotaDecided) and effect.request_id == request_id:
                effects.remove(effect)
                return QuotaOutcome(effect.decision, tuple(effects))
        return QuotaOutcome(None, tuple(effects))

    def cancel_wait(self, account: str, request_id: str) -> None:
        """Cancel the wait of a request for its decision."""
        state = self.accounts.get(account)
        if state is not None:
            state.waiting.pop(request_id, None)

    def return_token(self, account: str, decision: QuotaDecision) -> list[Any]:
        """Return the token of a request that no server received.

        After ``LEASE_VALIDITY`` it is lost: by then the rate has replaced it, and
        tokens returned late could exceed the bound.
        """
        state = self.accounts.get(account)
        now = self.clock.monotonic()
        if state is None or not decision.grantor or now >= decision.expires_at:
            return []
        state.leases.append(Lease(1, decision.expires_at, decision.grantor))
        self.leased[account] = state
        return self._serve_waiting(state, now)

    def check_pending(self) -> list[Any]:
        """Ask the deputy or use the local bucket where an answer is overdue."""
        now = self.clock.monotonic()
        effects: list[Any] = []
        for state in list(self.pending.values()):
            pending = state.pending
            if pending is not None and now >= pending.due_at - TIMER_TOLERANCE:
                effects += self._ask_next(state, pending, now)
        return effects

    def _get_state(
        self, account: ClientAccount, now: timedelta, effects: list[Any]
    ) -> AccountLeases:
        state = self.accounts.get(account.name)
        if state is None:
            state = self.accounts[account.name] = AccountLeases(account, now)
            if len(self.accounts) > MAX_ACCOUNTS:
                self._evict_oldest()
        elif state.account != account:
            # Leases granted under former limits may exceed a lowered burst.
            for lease in state.leases:
                lease.expires_at = now
            effects += self._return_expired(state, now)
            state.account = account
            state.denied_until = timedelta()
        self.accounts.move_to_end(account.name)
        return state

    def _evict_oldest(self) -> None:
        name = next(iter(self.accounts))
        if self.accounts[name].pending is None:
            del self.accounts[name]

    def _request_tokens(self, state: AccountLeases, now: timedelta) -> list[Any]:
        forecast = int(state.rate * FORECAST_S)
        pending = PendingTokens(len(state.waiting) + forecast, now, [])
        state.pending = pending
        self.pending[state.account.name] = state
        return self._ask_next(state, pending, now)

    def _ask_next(
        self, state: AccountLeases, pending: PendingTokens, now: timedelta
    ) -> list[Any]:
        """Ask the home or, after its timeout, the deputy; then decide locally."""
        name = state.account.name
        deciders = self.members.find_deciders(name)
        unasked = [each for each in deciders if each not in pending.asked]
        if not unasked or len(pending.asked) >= MAX_ASKED:
            return self._decide_locally(state, now)
        decider = unasked[0]
        timeout = DEPUTY_TIMEOUT if pending.asked else HOME_TIMEOUT
        pending.asked.append(decider)
        if decider == self.members.this_id:
            grant = self.home.grant(state.account, pending.amount)
            return self._apply_grant(state, grant, now, decider)
        pending.due_at = now + timeout
        member = self.members.find(decider)
        if member is None:
            return [ScheduleQuotaCheck(timeout)]
        self.serial += 1
        pending.serials.add(self.serial)
        self.sent[self.serial] = SentRequest(name, now, decider)
        if len(self.sent) > MAX_TRACKED_REQUESTS:
            self.sent.popitem(last=False)
        request = QuotaRequest(self.serial, name, pending.amount, 0)
        return [
            SendToPeer(member.peer_address, request, urgent=True),
            ScheduleQuotaCheck(timeout),
        ]

    def _receive_grant(self, grant: QuotaGrant, sender: str) -> list[Any]:
        sent = self.sent.get(grant.serial)
        if sent is None or sent.receiver != sender:
            return []
        del self.sent[grant.serial]
        state = self.accounts.get(sent.account)
        if state is None:
            return []
        now = self.clock.monotonic()
        pending = state.pending
        if pending is not None and grant.serial in pending.serials:
            return self._apply_grant(state, grant, now, sent.receiver, sent.sent_at)
        self._add_lease(state, grant.amount, sent.sent_at, sent.receiver)
        return self._serve_waiting(state, now)

    def _apply_grant(
        self,
        state: AccountLeases,
        grant: QuotaGrant,
        now: timedelta,
        grantor: str,
        asked_at: timedelta | None = None,
    ) -> list[Any]:
        """End a request for tokens; refuse what is left without one."""
        pending = state.pending
        assert pending is not None
        self._end_pending(state)
        self._add_lease(state, grant.amount, asked_at or now, grantor)
        effects = self._serve_waiting(state, now)
        if grant.amount >= pending.amount:
            if state.waiting:
                effects += self._request_tokens(state, now)
            return effects
        wait = timedelta(milliseconds=grant.retry_after_ms)
        state.denied_at = now
        state.next_token_at = now + wait
        state.denied_until = now + min(wait, MAX_DENIAL)
        return effects + self._refuse_waiting(state, wait)

    def _decide_locally(self, state: AccountLeases, now: timedelta) -> list[Any]:
        """Decide on waiting requests without home and deputy."""
        self._end_pending(state)
        rate = compute_local_rate(state.account, self.members.total)
        bucket = state.local
        if bucket is None or now - bucket.updated_at >= BOUND_WINDOW:
            bucket = state.local = LocalBucket(self._draw_local_tokens(state, now), now)
        gained = (now - bucket.updated_at).total_seconds() * rate
        bucket.tokens = min(1.0, bucket.tokens + gained)
        bucket.updated_at = now
        effects: list[Any] = []
        if state.waiting and bucket.tokens >= 1:
            bucket.tokens -= 1
            request_id, _ = state.waiting.popitem(last=False)
            effects.append(QuotaDecided(request_id, QuotaDecision(True)))
        wait = timedelta(seconds=(1 - bucket.tokens) / rate)
        return effects + self._refuse_waiting(state, wait)

    def _draw_local_tokens(self, state: AccountLeases, now: timedelta) -> float:
        """Return the first tokens of a local bucket.

        All entries may lose the home at once. Of an account that was over its quota,
        each entry then gets a random fraction of a token, which spreads their first
        tokens over the time in which each earns one.
        """
        denied_at = state.denied_at
        if denied_at is None or now - denied_at >= BOUND_WINDOW:
            return 1.0
        return self.rng.random()

    def _end_pending(self, state: AccountLeases) -> None:
        state.pending = None
        self.pending.pop(state.account.name, None)

    def _add_lease(
        self, state: AccountLeases, amount: int, asked_at: timedelta, grantor: str
    ) -> None:
        if amount > 0:
            lease = Lease(amount, asked_at + LEASE_VALIDITY, grantor)
            state.leases.append(lease)
            self.leased[state.account.name] = state

    def _serve_waiting(self, state: AccountLeases, now: timedelta) -> list[Any]:
        effects: list[Any] = []
        while state.waiting:
            lease = state.take(now)
            if lease is None:
                break
            request_id, _ = state.waiting.popitem(last=False)
            effects.append(QuotaDecided(request_id, _admit(lease)))
        return effects

    def _refuse_waiting(self, state: AccountLeases, wait: timedelta) -> list[Any]:
        refused = list(state.waiting)
        state.waiting.clear()
        return [QuotaDecided(request, self._refuse(wait)) for request in refused]

    def _refuse(self, wait: timedelta) -> QuotaDecision:
        """Build a refusal; the jitter keeps callers from returning all at once."""
        jitter = self.rng.random() * (wait * RETRY_JITTER_RATIO + RETRY_JITTER)
        return QuotaDecision(False, wait + jitter)

    def _return_expired(self, state: AccountLeases, now: timedelta) -> list[Any]:
        effects: list[Any] = []
        for grantor, amount in state.remove_expired(now).items():
            if grantor == self.members.this_id:
                self.home.take_back(state.account, amount)
                continue
            member = self.members.find(grantor)
            if member is not None:
                message = QuotaRequest(0, state.account.name, 0, amount)
                effects.append(SendToPeer(member.peer_address, message))
        return effects


def _admit(lease: Lease) -> QuotaDecision:
    return QuotaDecision(True, timedelta(), lease.grantor, lease.expires_at)
