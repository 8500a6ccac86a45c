"""Callers that send operations and resend them as they may."""

import asyncio
import random
from datetime import timedelta

from benchmarks.histories.fleet import (
    SENDING,
    SERVICE,
    FakeDaemon,
    FakeFleet,
    yield_bytes,
)
from benchmarks.histories.history import Kind, Sending
from wagtailstep.exceptions import RequestError
from wagtailstep.models import headers
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.headers import find_header

TIMEOUT_MS = 800
PATIENCE = timedelta(seconds=1)
MAX_SENDINGS = 4
CALLER = "caller"


class Caller:
    """One caller with its operations, one after the other."""

    def __init__(self, number: int, fleet: FakeFleet) -> None:
        self.number = number
        self.fleet = fleet
        self.rng = random.Random(f"{fleet.seed}/caller/{number}")
        self.keys: dict[int, tuple[Kind, str]] = {}

    async def run(self, operations: int) -> None:
        """Do some operations of random kinds."""
        for index in range(operations):
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            kind = self.rng.choice(list(Kind))
            await self.do(self.number * 100 + index, kind)

    def pick_daemon(self) -> FakeDaemon:
        """Return any daemon."""
        return self.rng.choice(list(self.fleet.daemons.values()))

    async def do(self, operation: int, kind: Kind) -> None:
        """Send one operation until it is answered or may not be sent again."""
        key = await self.get_key(operation, kind)
        if kind.keyed and key is None:
            return
        self.keys[operation] = (kind, key)
        for attempt in range(MAX_SENDINGS):
            double = kind.keyed and self.rng.random() < 0.2
            sendings = [
                self.send(operation, kind, key, attempt == 0 and not double)
                for _ in range(2 if double else 1)
            ]
            results = await asyncio.gather(*sendings)
            if not any(self.may_resend(result) for result in results):
                return
            await asyncio.sleep(self.rng.uniform(0, 0.4))

    async def send_once_more(self) -> None:
        """Send each keyed operation that has not run once more."""
        ran = {execution.operation for execution in self.fleet.history.executions}
        for operation, (kind, key) in self.keys.items():
            if kind.keyed and operation not in ran:
                await self.send(operation, kind, key, False)

    async def get_key(self, operation: int, kind: Kind) -> str | None:
        """Return a key, or ask a daemon for a ticket."""
        if kind is not Kind.TICKET:
            return f"key-{operation}" if kind is Kind.KEY else None
        daemon = self.pick_daemon()
        if not daemon.up:
            return None
        return await daemon.entry.issue_ticket(SERVICE)

    def may_resend(self, sending: Sending) -> bool:
        """Tell whether the caller sends again after this."""
        if sending.status == 200:
            return sending.kind.keyed and self.rng.random() < 0.2
        if sending.kind is Kind.UNKEYED:
            return sending.verdict == "not-run"
        return True

    async def send(
        self, operation: int, kind: Kind, key: str | None, is_first: bool
    ) -> Sending:
        """Send once through any daemon and record how it ended."""
        history = self.fleet.history
        loop = asyncio.get_running_loop()
        sending = Sending(operation, len(history.sendings), kind, loop.time())
        history.sendings.append(sending)
        incoming = self.make_incoming(sending, key, is_first)
        exchange = self.fleet.exchange_with_entry(CALLER, self.pick_daemon(), incoming)
        try:
            answer = await self.fleet.wait_for_reply(exchange, PATIENCE)
        except RequestError:
            return sending
        sending.ended = loop.time()
        sending.status = answer.status
        sending.verdict = find_header(answer.headers, headers.VERDICT)
        sending.body = answer.body.decode()
        return sending

    def make_incoming(
        self, sending: Sending, key: str | None, is_first: bool
    ) -> IncomingRequest:
        """Return the request of one sending; its body names the operation."""
        made = [
            (headers.SERVICE, SERVICE),
            (headers.TIMEOUT_MS, str(TIMEOUT_MS)),
            (SENDING, str(sending.sending)),
        ]
        if key is not None:
            made.append((headers.IDEMPOTENCY_KEY, key))
            made.append((headers.FIRST_SENDING, "?1" if is_first else "?0"))
        method = "GET" if sending.kind is Kind.LOOKUP else "POST"
        body = str(sending.operation).encode()
        return IncomingRequest(method, "/sign", tuple(made), yield_bytes(body))
