"""What the entry keeps of one request until it has ended."""

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

import attrs

from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import BadRequestError, RequestError
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Target
from wagtailstep.models.headers import read_number
from wagtailstep.models.idempotency import StoredAnswer
from wagtailstep.models.request import RequestContext
from wagtailstep.models.verdict import Verdict, worst_verdict
from wagtailstep.network.bodies import ReplayableBody

OnEnd = Callable[[Verdict, StoredAnswer | None], None]


@attrs.define
class Exchange:
    """One admitted request, from its head to the end of its answer.

    :param request: the request.
    :param incoming: the request as the adapter read it.
    :param body: its body.
    :param routing: counts it out when it ends.
    :param attempts: attempts made.
    :param sent: attempts that a backend server may have got.
    :param tried: ``target_id`` of targets that were tried.
    :param verdict: verdict of all attempts that have ended.
    :param expected_waits: how long gates that had no free slot expected it to wait, by
        ``target_id``.
    :param last_resort: the doubted target that is tried in place of a refusal.
    :param attempt_in_progress: whether an attempt is under way.
    :param abandoned: whether the attempt was ended since it took too long.
    :param on_end: called once when a guarded run has ended.
    :param ended: whether the run has ended.
    :param released: whether it has been counted out.
    """

    request: RequestContext
    incoming: IncomingRequest
    body: ReplayableBody
    routing: RoutingController
    attempts: int = 0
    sent: int = 0
    tried: set[str] = attrs.field(factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    expected_waits: dict[str, timedelta] = attrs.field(factory=dict)
    last_resort: Target | None = None
    attempt_in_progress: bool = False
    abandoned: bool = False
    on_end: OnEnd | None = None
    ended: bool = False
    released: bool = False

    @property
    def has_small_body(self) -> bool:
        """Return whether the body is known to be small enough to read ahead."""
        length = read_number(self.incoming.headers, "content-length") or 0
        return 0 < length <= self.body.limit

    @property
    def verdict_if_cancelled(self) -> Verdict:
        """Return the verdict if the request stops now."""
        if self.attempt_in_progress:
            return worst_verdict(self.verdict, Verdict.MAY_HAVE_RUN)
        return self.verdict

    def build_incoming(self) -> IncomingRequest:
        """Return the request with its body readable from the start."""
        incoming = self.incoming
        return IncomingRequest(
            incoming.method, incoming.path, incoming.headers, self.body.open()
        )

    def correct_verdict(self, error: RequestError) -> RequestError:
        """Take back a ``NOT_RUN`` of an attempt whose body the caller cut.

        That error says nothing about what had been sent by then.

        :return: the error, its verdict changed if needed.
        """
        self.attempt_in_progress = False
        if self.body.error is not None and isinstance(error, BadRequestError):
            error.verdict = Verdict.MAY_HAVE_RUN
        return error

    def include_earlier_attempts(self, error: RequestError) -> None:
        """Have an error's verdict and status cover the attempts before it, too."""
        promises = error.verdict is Verdict.NOT_RUN
        error.verdict = worst_verdict(error.verdict, self.verdict)
        self.verdict = error.verdict
        if promises and error.verdict is not Verdict.NOT_RUN:
            # Statuses of refusals tell that nothing was run.
            error.status = HTTPStatus.BAD_GATEWAY

    def end(self, verdict: Verdict, answer: StoredAnswer | None = None) -> None:
        """End a guarded run and count the request out; later calls do nothing."""
        if not self.ended:
            self.ended = True
            if self.on_end is not None:
                self.on_end(verdict, answer)
        self.release()

    def release(self) -> None:
        """Count the request out; later calls do nothing."""
        if not self.released:
            self.released = True
            self.routing.release(self.request)
