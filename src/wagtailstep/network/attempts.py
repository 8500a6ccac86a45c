"""One attempt at a request: in-flight accounting, outcome and verdict."""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import DeadlineExceededError, RequestError
from wagtailstep.models import headers
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.exchange import Answer
from wagtailstep.models.headers import find_header
from wagtailstep.models.request import AttemptEnded, Blame, RequestContext
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import Clock

MIN_SERVER_ERROR_STATUS = 500
MAX_QUEUEING_MS = 86_400_000
MAX_CALLS_PER_RUN = 20.0  # A higher ratio comes from a count that has only begun.
# Short: below the target's expected latency times this.
SHORT_DEADLINE_FACTOR = 4
LOGGER = logging.getLogger(__name__)


def read_queueing_time(answer: Answer) -> timedelta:
    """Return how long the request waited for a slot, as reported by the gate.

    A missing or malformed header counts as no wait.
    """
    value = find_header(answer.headers, headers.QUEUEING_MS) or ""
    try:
        return timedelta(milliseconds=min(float(value), MAX_QUEUEING_MS))
    except (ValueError, OverflowError):
        return timedelta()


def read_calls(text: str) -> dict[str, float]:
    """Return calls per run by service; malformed entries are skipped."""
    calls: dict[str, float] = {}
    for entry in text.split(","):
        name, _, ratio = entry.partition("=")
        try:
            calls[name] = min(float(ratio), MAX_CALLS_PER_RUN)
        except ValueError:
            LOGGER.warning("event=calls-unreadable text=%r", entry)
    return calls


@attrs.define
class Attempt:
    """One attempt, counted as in flight from :meth:`start` to the first :meth:`end`.

    :param request: the request.
    :param target_id: the target that the attempt is sent to.
    :param routing: keeps the number of requests in flight per target.
    :param dispatch: passes the outcome to the controllers.
    :param clock: measures the latency.
    :param started: monotonic time at which the attempt began.
    :param answered: monotonic time at which the response head arrived, or ``None``.
    :param status: HTTP status of the response, or ``None`` without a response.
    :param queueing: time that the request waited for a slot at the gate.
    :param ended: whether the outcome has been dispatched.
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
        """Count the attempt as in flight and start to measure its latency."""
        self.started = self.clock.monotonic()
        self.routing.start_attempt(self.target_id)

    def record_answer(self, answer: Answer) -> None:
        """Record the status and queueing time from the head of a response."""
        self.answered = self.clock.monotonic()
        self.status = answer.status
        self.queueing = read_queueing_time(answer)

    def end(self, verdict: Verdict, blame: Blame) -> None:
        """Uncount the attempt and dispatch its outcome; later calls do nothing."""
        if self.ended:
            return
        self.ended = True
        self.routing.end_attempt(self.target_id)
        now = self.clock.monotonic()
        head_time = self.answered or now
        outcome = AttemptEnded(
            request=self.request,
            target_id=self.target_id,
            verdict=verdict,
            status=self.status,
            blame=blame,
            latency=head_time - self.started,
            queueing=self.queueing,
            duration=now - self.started,
        )
        self.dispatch(outcome)

    def end_with_answer(self, verdict: Verdict, error: RequestError | None) -> None:
        """End the attempt when the body of its response has ended.

        :param error: why the body ended early, or ``None``; without an error, a
            verdict other than ``RUN`` means that the caller stopped reading.
        """
        if error is not None:
            self.end(verdict, error.blame)
        elif verdict is not Verdict.RUN:
            self.end(verdict, Blame.CALLER)
        elif self.status is not None and self.status >= MIN_SERVER_ERROR_STATUS:
            self.end(verdict, Blame.BACKEND_SERVER)
        else:
            self.end(verdict, Blame.NONE)


def determine_blame(error: RequestError, attempt: Attempt, board: Blackboard) -> Blame:
    """Return the blame for a failed attempt: the caller's after a short deadline.

    Healthy targets would often miss it too and could get ejected otherwise.
    """
    is_late = isinstance(error, DeadlineExceededError)
    if not is_late or error.blame is not Blame.BACKEND_SERVER:
        return error.blame
    health = board.health.get(attempt.target_id)
    if health is None or health.latency is None:
        return error.blame
    waited = attempt.clock.monotonic() - attempt.started
    is_short = waited < SHORT_DEADLINE_FACTOR * health.latency
    return Blame.CALLER if is_short else error.blame
