"""Runs of guarded requests that this daemon remembers, with their answers."""

import enum
import itertools
from collections import OrderedDict

import attrs

from wagtailstep.exceptions import BadRequestError, DuplicateRequestError
from wagtailstep.models.claims import ClaimEntry
from wagtailstep.models.idempotency import (
    Decision,
    Refuse,
    Replay,
    RequestDecided,
    RunLocally,
    StoredAnswer,
    Wait,
)
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict

UNPROCESSABLE = 422


class RunState(enum.Enum):
    """Where a run is. ``READY`` may start, once; the others never start again."""

    READY = "ready"
    RUNNING = "running"
    MAY_HAVE_RUN = "may-have-run"
    RUN = "run"


@attrs.define
class Run:
    """One run of a guarded request.

    :param run_id: its name, unique within the daemon.
    :param service: the service that it is for.
    :param state: where it is.
    :param fingerprint: digest of the request that started it; empty before.
    :param answer: its answer, if it is kept.
    :param waiting: ``request_id`` of resends that wait for its end.
    :param claim: the claim that it runs under; ``None`` for a ticket's run.
    """

    run_id: str
    service: str
    state: RunState = RunState.READY
    fingerprint: str = ""
    answer: StoredAnswer | None = None
    waiting: list[str] = attrs.field(factory=list)
    claim: ClaimEntry | None = None


class RunStore:
    """A bounded memory of runs.

    When it is full, the oldest run that is not running is forgotten. The owner of
    the store must treat a forgotten run as one that may have run.
    """

    def __init__(self, settings: RequestSettings) -> None:
        self.settings = settings
        self.by_id: OrderedDict[str, Run] = OrderedDict()
        self.answered: OrderedDict[str, int] = OrderedDict()
        self.answers_bytes = 0

    def find(self, run_id: str) -> Run | None:
        """Return a run, or ``None`` if it is unknown or forgotten."""
        return self.by_id.get(run_id)

    def add(self, run: Run) -> None:
        """Remember a run, forgetting old ones where needed."""
        self.by_id[run.run_id] = run
        excess = len(self.by_id) - self.settings.tickets_kept
        if excess <= 0:
            return
        idle = (r for r in self.by_id.values() if r.state is not RunState.RUNNING)
        for forgotten in list(itertools.islice(idle, excess)):
            self.forget(forgotten.run_id)

    def forget(self, run_id: str) -> None:
        """Drop a run and its answer, if they are remembered."""
        self.by_id.pop(run_id, None)
        self.drop_answer(run_id)

    def drop_answer(self, run_id: str) -> None:
        """Drop the kept answer of a run, if there is one."""
        self.answers_bytes -= self.answered.pop(run_id, 0)
        run = self.by_id.get(run_id)
        if run is not None:
            run.answer = None

    def start(self, run: Run, request_id: str, fingerprint: str) -> Decision:
        """Start a run, or say how it went or will go.

        :param request_id: the request that asks.
        :param fingerprint: digest of that request.
        """
        if run.fingerprint and run.fingerprint != fingerprint:
            return Refuse(make_mismatch_error())
        if run.state is RunState.READY:
            run.state = RunState.RUNNING
            run.fingerprint = fingerprint
            return RunLocally(run.run_id)
        if run.state is RunState.RUNNING:
            run.waiting.append(request_id)
            return Wait()
        return decide_resend(run)

    def finish(
        self, run: Run, verdict: Verdict, answer: StoredAnswer | None
    ) -> list[RequestDecided]:
        """End a run and decide about the requests that waited for it.

        After a ``NOT_RUN`` end the run is ready again and the first request that
        waited takes it over.

        :param verdict: how it ended.
        :param answer: its whole answer if it is small enough to keep.
        """
        run.state = _STATE_AFTER[verdict]
        if answer is not None and verdict is Verdict.RUN:
            self.keep_answer(run, answer)
        waiting, run.waiting = run.waiting, []
        return [
            RequestDecided(request_id, self.start(run, request_id, run.fingerprint))
            for request_id in waiting
        ]

    def keep_answer(self, run: Run, answer: StoredAnswer) -> None:
        """Keep an answer, dropping the oldest kept ones where needed."""
        size = measure_answer(answer)
        run.answer = answer
        self.answered[run.run_id] = size
        self.answers_bytes += size
        while self.answers_bytes > self.settings.answers_kept_bytes:
            self.drop_answer(next(iter(self.answered)))


_STATE_AFTER = {
    Verdict.NOT_RUN: RunState.READY,
    Verdict.MAY_HAVE_RUN: RunState.MAY_HAVE_RUN,
    Verdict.RUN: RunState.RUN,
}


def decide_resend(run: Run) -> Decision:
    """Decide about the resend of a request that has ended."""
    if run.answer is not None:
        return Replay(run.answer)
    if run.state is RunState.RUN:
        return Refuse(
            DuplicateRequestError(
                "the request has run and its answer is no longer kept; look up its "
                "effect at the service",
                Verdict.RUN,
            )
        )
    return Refuse(make_unknown_error("an earlier sending of it broke off"))


def make_unknown_error(cause: str) -> DuplicateRequestError:
    """Make the error for a keyed request of which nobody knows if it has run.

    :param cause: what is the matter, as a clause.
    """
    return DuplicateRequestError(
        f"the request may have run and is not run again: {cause}; look up its effect "
        "at the service before sending it with a new key",
        Verdict.MAY_HAVE_RUN,
    )


def make_mismatch_error() -> BadRequestError:
    """Make the error for a key that was used for another request."""
    return BadRequestError(
        "this Idempotency-Key was used for another method, path, client account or "
        "body; send each request with its own key",
        UNPROCESSABLE,
    )


def measure_answer(answer: StoredAnswer) -> int:
    """Return the size of an answer in bytes, headers included."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return headers + len(answer.body)
