"""Detection of crashes of the backend server, at its gate.

A broken exchange has many causes. The server has crashed if nothing listens at its
address immediately afterwards.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.exceptions import (
    ConnectionFailedError,
    CrashingRequestError,
    RequestError,
    ServerCrashedError,
    TruncatedAnswerError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.gate import GateRequest
from wagtailstep.models.suspects import InterruptedRun, ServerCrashed
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.http_client import HttpClient
from wagtailstep.utils.clock import Clock

# A closed port on the same instance refuses at once.
CHECK_TIMEOUT = timedelta(milliseconds=200)
# Exchanges that broke within this time before the check belong to the same crash.
SAME_CRASH_WINDOW = timedelta(milliseconds=500)


@attrs.define
class WatchedRun:
    """A request that was sent to a backend server.

    :param target_id: the backend server.
    :param address: ``host:port`` of the server.
    :param run: the request and when it was sent.
    :param broken_at: monotonic time when its exchange broke, or ``None``.
    """

    target_id: str
    address: str
    run: InterruptedRun
    broken_at: timedelta | None = None


class CrashWatch:
    """Tracks the requests in progress and reports them if their server crashes.

    :param client: opens connections to the backend servers.
    :param clock: source of monotonic time.
    :param dispatch: receives :class:`~wagtailstep.models.suspects.ServerCrashed`.
    """

    def __init__(
        self, client: HttpClient, clock: Clock, dispatch: Callable[[Any], None]
    ) -> None:
        self.client = client
        self.clock = clock
        self.dispatch = dispatch
        self.runs: dict[int, WatchedRun] = {}
        self.checks: dict[str, asyncio.Task[bool]] = {}

    def start(self, request: GateRequest, address: str) -> None:
        """Track a request that is being sent."""
        run = InterruptedRun(request.fingerprint, self.clock.monotonic())
        self.runs[request.serial] = WatchedRun(request.target_id, address, run)

    def end(self, request: GateRequest) -> None:
        """Stop tracking a request."""
        self.runs.pop(request.serial, None)

    async def assess(self, request: GateRequest, error: RequestError) -> RequestError:
        """Return the error of a failed exchange, or a specific one after a crash."""
        watched = self.runs.get(request.serial)
        is_broken = isinstance(error, ConnectionFailedError | TruncatedAnswerError)
        if watched is None or not is_broken or error.verdict is Verdict.NOT_RUN:
            self.end(request)
            return error
        watched.broken_at = self.clock.monotonic()
        try:
            has_crashed = await asyncio.shield(self.check(watched))
        finally:
            self.end(request)
        if not has_crashed:
            return error
        message = f"{request.target_id} crashed while it ran the request"
        return ServerCrashedError(message, error.verdict)

    def check_later(self, request: GateRequest) -> None:
        """Check a server whose response broke off, without waiting for the result."""
        watched = self.runs.get(request.serial)
        if watched is None:
            return
        watched.broken_at = self.clock.monotonic()
        self.check(watched).add_done_callback(lambda _: self.end(request))

    def check(self, watched: WatchedRun) -> "asyncio.Task[bool]":
        """Return the check whether a server has crashed; one runs at a time."""
        task = self.checks.get(watched.target_id)
        if task is None:
            task = asyncio.create_task(self.run_check(watched))
            self.checks[watched.target_id] = task
            task.add_done_callback(lambda _: self.checks.pop(watched.target_id, None))
        return task

    async def run_check(self, watched: WatchedRun) -> bool:
        """Return whether a server has crashed; report its requests if so."""
        if await self.client.is_listening(watched.address, CHECK_TIMEOUT):
            return False
        oldest = self.clock.monotonic() - SAME_CRASH_WINDOW
        runs = tuple(
            each.run
            for each in self.runs.values()
            if each.target_id == watched.target_id
            and (each.broken_at is None or each.broken_at >= oldest)
        )
        if runs:
            self.dispatch(ServerCrashed(watched.target_id, runs))
        return True


def check_not_blocked(board: Blackboard, fingerprint: str, now: timedelta) -> None:
    """Reject a request that is blocked because it crashes backend servers.

    :param now: monotonic time.
    :raises CrashingRequestError: if it is blocked.
    """
    suspect = board.suspects.get(fingerprint)
    if suspect is None or suspect.blocked_until is None:
        return
    if suspect.blocked_until > now:
        raise CrashingRequestError(
            f"{suspect.crashes} backend servers crashed one after the other while they "
            "ran this request; it was not run again",
            suspect.blocked_until - now,
        )
