"""Callers that send operations and resend those that are safe to repeat."""

import asyncio
import random
from datetime import timedelta

from benchmarks.histories.fleet import (
    SENDING_HEADER,
    SERVICE,
    FakeDaemon,
    FakeFleet,
    yield_bytes,
)
from benchmarks.histories.history import OperationKind, Sending
from wagtailstep.exceptions import RequestError
from wagtailstep.models import headers
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.headers import find_header

TIMEOUT_MS = 800
REPLY_TIMEOUT = timedelta(seconds=1)
MAX_SEND_ROUNDS = 4
CALLER = "caller"


class Caller:
    """A caller that runs its operations one after the other."""

    def __init__(self, number: int, fleet: FakeFleet) -> None:
        self.number = number
        self.fleet = fleet
        self.rng = random.Random(f"{fleet.seed}/caller/{number}")
        self.keys: dict[int, tuple[OperationKind, str]] = {}

    async def run(self, operations: int) -> None:
        """Run some operations of random types."""
        for index in range(operations):
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            kind = self.rng.choice(list(OperationKind))
            await self.run_operation(self.number * 100 + index, kind)

    def pick_daemon(self) -> FakeDaemon:
        """Return a random daemon."""
        return self.rng.choice(list(self.fleet.daemons.values()))

    async def run_operation(self, operation: int, kind: OperationKind) -> None:
        """Send one operation until it is answered or must not be sent again.

        Keyed operations are sometimes sent twice at the same time.
        """
        key = await self.get_key(operation, kind)
        if kind.keyed and key is None:
            return
        self.keys[operation] = (kind, key)
        for attempt in range(MAX_SEND_ROUNDS):
            sends_twice = kind.keyed and self.rng.random() < 0.2
            sendings = [
                self.send(operation, kind, key, attempt == 0 and not sends_twice)
                for _ in range(2 if sends_twice else 1)
            ]
            results = await asyncio.gather(*sendings)
            if not any(self.should_resend(result) for result in results):
                return
            await asyncio.sleep(self.rng.uniform(0, 0.4))

    async def resend_unexecuted_operations(self) -> None:
        """Send each keyed operation that never ran one more time."""
        ran = {execution.operation for execution in self.fleet.history.executions}
        for operation, (kind, key) in self.keys.items():
            if kind.keyed and operation not in ran:
                await self.send(operation, kind, key, False)

    async def get_key(self, operation: int, kind: OperationKind) -> str | None:
        """Return the idempotency key of an operation, or a ticket from a daemon.

        :return: ``None`` if the operation has no key or the daemon is down.
        """
        if kind is not OperationKind.TICKET:
            return f"key-{operation}" if kind is OperationKind.KEY else None
        daemon = self.pick_daemon()
        if not daemon.up:
            return None
        return await daemon.entry.issue_ticket(SERVICE)

    def should_resend(self, sending: Sending) -> bool:
        """Return whether the caller sends the operation again after an outcome.

        Some keyed operations are repeated although they succeeded.
        """
        if sending.status == 200:
            return sending.kind.keyed and self.rng.random() < 0.2
        if sending.kind is OperationKind.UNKEYED:
            return sending.verdict == "not-run"
        return True

    async def send(
        self, operation: int, kind: OperationKind, key: str | None, is_first: bool
    ) -> Sending:
        """Send an operation once, through a random daemon, and record the outcome."""
        history = self.fleet.history
        loop = asyncio.get_running_loop()
        sending = Sending(operation, len(history.sendings), kind, loop.time())
        history.sendings.append(sending)
        incoming = self.build_request(sending, key, is_first)
        exchange = self.fleet.exchange_with_entry(CALLER, self.pick_daemon(), incoming)
        try:
            answer = await self.fleet.wait_for_reply(exchange, REPLY_TIMEOUT)
        except RequestError:
            return sending
        sending.ended = loop.time()
        sending.status = answer.status
        sending.verdict = find_header(answer.headers, headers.VERDICT)
        sending.body = answer.body.decode()
        return sending

    def build_request(
        self, sending: Sending, key: str | None, is_first: bool
    ) -> IncomingRequest:
        """Build the request of one send; its body is the operation's number."""
        request_headers = [
            (headers.SERVICE, SERVICE),
            (headers.TIMEOUT_MS, str(TIMEOUT_MS)),
            (SENDING_HEADER, str(sending.sending)),
        ]
        if key is not None:
            request_headers.append((headers.IDEMPOTENCY_KEY, key))
            request_headers.append((headers.FIRST_SENDING, "?1" if is_first else "?0"))
        method = "GET" if sending.kind is OperationKind.LOOKUP else "POST"
        body = str(sending.operation).encode()
        return IncomingRequest(
            method, "/sign", tuple(request_headers), yield_bytes(body)
        )
