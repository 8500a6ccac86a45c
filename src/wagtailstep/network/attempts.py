"""One attempt at a request: its counts, its outcome and its verdict."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import RequestError
from wagtailstep.models import headers
from wagtailstep.models.exchange import Answer
from wagtailstep.models.headers import find_header
from wagtailstep.models.request import Blame, RequestContext, RequestOutcome
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

MIN_SERVER_ERROR_STATUS = 500
MAX_QUEUEING_MS = 86_400_000


def read_queueing_time(answer: Answer) -> timedelta:
    """Return the time that the gate says the request waited for a slot."""
    value = find_header(answer.headers, headers.QUEUEING_MS) or ""
    try:
        return timedelta(milliseconds=min(float(value), MAX_QUEUEING_MS))
    except (ValueError, OverflowError):
        return timedelta()


@attrs.define
class Attempt:
    """One attempt, counted in flight from its start until its one end.

    :param request: the request.
    :param target_id: the target that is tried.
    :param routing: keeps the in-flight counts.
    :param dispatch: gives events to the controllers.
    :param clock: tells the latency.
    :param started: monotonic time when it began.
    :param answered: monotonic time when the head of the answer came, if it did.
    :param status: HTTP status of the answer, if there was one.
    :param queueing: time spent waiting for a slot at the gate.
    :param ended: whether the outcome has been told.
    """

    request: RequestContext
    target_id: str
    routing: RoutingController
    dispatch: Callable[[Any], None]
    clock: Clock
    started: timedelta = timedelta()
    answered: timedelta | None = None
    status: int | None = None
    queueing: timedelta = timedelta()
    ended: bool = False

    def start(self) -> None:
        """Count the attempt in."""
        self.started = self.clock.monotonic()
        self.routing.start_attempt(self.target_id)

    def record_answer(self, answer: Answer) -> None:
        """Take what the head of an answer tells."""
        self.answered = self.clock.monotonic()
        self.status = answer.status
        self.queueing = read_queueing_time(answer)

    def end(self, verdict: Verdict, blame: Blame) -> None:
        """Count the attempt out and tell its outcome; later calls do nothing."""
        if self.ended:
            return
        self.ended = True
        self.routing.end_attempt(self.target_id)
        head_time = self.answered or self.clock.monotonic()
        outcome = RequestOutcome(
            request=self.request,
            target_id=self.target_id,
            verdict=verdict,
            status=self.status,
            blame=blame,
            latency=head_time - self.started,
            queueing=self.queueing,
        )
        self.dispatch(outcome)

    def end_with_answer(self, verdict: Verdict, error: RequestError | None) -> None:
        """End the attempt with the end of its answer's body."""
        if error is not None:
            self.end(verdict, error.blame)
        elif verdict is not Verdict.RUN:
            self.end(verdict, Blame.CALLER)
        elif self.status is not None and self.status >= MIN_SERVER_ERROR_STATUS:
            self.end(verdict, Blame.BACKEND_SERVER)
        else:
            self.end(verdict, Blame.NONE)
