"""State that the entry keeps of one request until the request has ended."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from http import HTTPStatus

import attrs

from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import BadRequestError, RequestError
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Target
from wagtailstep.models.headers import read_int_header
from wagtailstep.models.idempotency import StoredAnswer
from wagtailstep.models.request import RequestContext
from wagtailstep.models.verdict import Verdict, combine_verdicts
from wagtailstep.network.bodies import ReplayableBody
from wagtailstep.network.deadlines import SettledTimer
from wagtailstep.network.interpret import fingerprint_work

OnEnd = Callable[[Verdict, StoredAnswer | None], None]
StartHedgeTimer = Callable[[asyncio.Timeout], SettledTimer | None]


@attrs.define
class Exchange:
    """An admitted request, from its head to the end of its response.

    :param request: what was read from the request's head.
    :param incoming: the request as the HTTP server read it.
    :param body: the request body.
    :param routing: released when the request has ended.
    :param attempts: number of attempts made.
    :param sent: number of attempts that may have reached a backend server.
    :param declined: number of those attempts that a server proved not to have executed;
        stays 0 unless declined requests may wait for a retry.
    :param retries_charged: retries that were charged to the budget after a decline; if
        it equals ``sent``, the next arrival at a server is charged already.
    :param last_declined: ``target_id`` of the last server that declined, or empty.
    :param tried: ``target_id`` of the targets tried so far.
    :param verdict: combined verdict of all attempts that have ended.
    :param expected_waits: wait for a slot that each gate without a free one has
        announced, by ``target_id``.
    :param last_resort: a doubted target that is tried before giving up.
    :param attempt_in_progress: whether an attempt waits for its response head.
    :param abandoned: whether the attempt was cancelled by its attempt timeout, or since
        a second copy has won.
    :param crashes: number of attempts during which a backend server crashed.
    :param on_end: called once at the end of a run that the duplicate guard allowed.
    :param ended: whether :meth:`end` was called.
    :param released: whether :meth:`release` was called.
    :param hedged: whether a second copy has been sent; there is never another one.
    :param start_hedge_timer: called when an attempt begins to wait for its response
        head, with the timeout that cancels it; ``None`` without hedging.
    :param is_hedge: whether this is the state of a second copy only.
    :param kept_admitted: whether :meth:`release` has no effect for the moment.
    """

    request: RequestContext
    incoming: IncomingRequest
    body: ReplayableBody
    routing: RoutingController
    attempts: int = 0
    sent: int = 0
    declined: int = 0
    retries_charged: int = 0
    last_declined: str = ""
    tried: set[str] = attrs.field(factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    expected_waits: dict[str, timedelta] = attrs.field(factory=dict)
    last_resort: Target | None = None
    attempt_in_progress: bool = False
    abandoned: bool = False
    crashes: int = 0
    on_end: OnEnd | None = None
    ended: bool = False
    released: bool = False
    hedged: bool = False
    start_hedge_timer: StartHedgeTimer | None = None
    is_hedge: bool = False
    kept_admitted: bool = False

    @property
    def has_small_body(self) -> bool:
        """Return whether the announced body is small enough to be buffered."""
        length = read_int_header(self.incoming.headers, "content-length") or 0
        return 0 < length <= self.body.limit

    @property
    def executions(self) -> int:
        """Return the number of backend servers that may have executed the request."""
        return self.sent - self.declined

    def identify(self) -> None:
        """Add the fingerprint to the request, from as much as is known of its body."""
        body = b"".join(self.body.buffered) if self.body.complete else b""
        fingerprint = fingerprint_work(self.request, self.incoming, body)
        self.request = attrs.evolve(self.request, fingerprint=fingerprint)

    @property
    def verdict_if_cancelled(self) -> Verdict:
        """Return the verdict in case the request is cancelled now."""
        if self.attempt_in_progress:
            return combine_verdicts(self.verdict, Verdict.MAY_HAVE_RUN)
        return self.verdict

    def build_incoming(self) -> IncomingRequest:
        """Return the request with its body readable from the start."""
        incoming = self.incoming
        return IncomingRequest(
            incoming.method, incoming.path, incoming.headers, self.body.open()
        )

    def correct_verdict(self, error: RequestError) -> RequestError:
        """End the attempt; drop ``NOT_RUN`` if the caller aborted the body.

        That error does not tell how much had been sent by then.

        :return: the error, its verdict changed if needed.
        """
        self.attempt_in_progress = False
        if self.body.error is not None and isinstance(error, BadRequestError):
            error.verdict = Verdict.MAY_HAVE_RUN
        return error

    def include_earlier_attempts(self, error: RequestError) -> None:
        """Extend an error's verdict and status to all attempts before it."""
        promised_not_run = error.verdict is Verdict.NOT_RUN
        error.verdict = combine_verdicts(error.verdict, self.verdict)
        self.verdict = error.verdict
        if promised_not_run and error.verdict is not Verdict.NOT_RUN:
            # The status of a rejection would promise that nothing was run.
            error.status = HTTPStatus.BAD_GATEWAY

    def end(self, verdict: Verdict, answer: StoredAnswer | None = None) -> None:
        """Report the end of the run and release the request; later calls do nothing."""
        if not self.ended:
            self.ended = True
            if self.on_end is not None:
                self.on_end(verdict, answer)
        self.release()

    def release(self) -> None:
        """Release the request's admission; later calls do nothing."""
        if not self.released and not self.kept_admitted:
            self.released = True
            self.routing.release(self.request)

    @contextlib.asynccontextmanager
    async def keep_admitted(self) -> AsyncIterator[None]:
        """Keep the request admitted while a response that is not used is closed."""
        self.kept_admitted = True
        try:
            yield
        finally:
            self.kept_admitted = False
