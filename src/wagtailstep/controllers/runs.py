"""In-memory store of the runs of guarded requests, with their responses."""

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
    """State of a run. Only a ``READY`` run may start, and only once."""

    READY = "ready"
    RUNNING = "running"
    MAY_HAVE_RUN = "may-have-run"
    RUN = "run"


@attrs.define
class Run:
    """One run (execution) of a guarded request.

    :param run_id: identifier, unique within the daemon.
    :param service: the service that executes it.
    :param state: its current state.
    :param fingerprint: digest of the request that started it; empty before the start.
    :param answer: its response, if it is stored.
    :param waiting: ``request_id`` of repeated requests that wait for its end.
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
    """Bounded store of runs.

    When it is full, the oldest run that is not running is evicted. The owner of the
    store must treat an evicted run as one that may have run.
    """

    def __init__(self, settings: RequestSettings) -> None:
        self.settings = settings
        self.by_id: OrderedDict[str, Run] = OrderedDict()
        self.answer_sizes: OrderedDict[str, int] = OrderedDict()
        self.answers_bytes = 0

    def find(self, run_id: str) -> Run | None:
        """Return a run, or ``None`` if it is unknown or evicted."""
        return self.by_id.get(run_id)

    def add(self, run: Run) -> None:
        """Store a run, evicting old ones where needed."""
        self.by_id[run.run_id] = run
        excess = len(self.by_id) - self.settings.tickets_kept
        if excess <= 0:
            return
        idle = (r for r in self.by_id.values() if r.state is not RunState.RUNNING)
        for evicted in list(itertools.islice(idle, excess)):
            self.remove(evicted.run_id)

    def remove(self, run_id: str) -> None:
        """Remove a run and its response, if they are stored."""
        self.by_id.pop(run_id, None)
        self.drop_answer(run_id)

    def drop_answer(self, run_id: str) -> None:
        """Remove the stored response of a run, if there is one."""
        self.answers_bytes -= self.answer_sizes.pop(run_id, 0)
        run = self.by_id.get(run_id)
        if run is not None:
            run.answer = None

    def start(self, run: Run, request_id: str, fingerprint: str) -> Decision:
        """Start a ready run, or decide by its state about a repeated request.

        :param request_id: the request to decide about.
        :param fingerprint: digest of that request.
        """
        if run.fingerprint and run.fingerprint != fingerprint:
            return Refuse(build_key_mismatch_error())
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

        After verdict ``NOT_RUN`` the run is ready again and the first waiting request
        starts it.

        :param verdict: how it ended.
        :param answer: its complete response, if it is small enough to store.
        """
        run.state = _STATE_AFTER[verdict]
        if answer is not None and verdict is Verdict.RUN:
            self.store_answer(run, answer)
        waiting, run.waiting = run.waiting, []
        return [
            RequestDecided(request_id, self.start(run, request_id, run.fingerprint))
            for request_id in waiting
        ]

    def store_answer(self, run: Run, answer: StoredAnswer) -> None:
        """Store a response, evicting the oldest stored ones where needed."""
        size = compute_answer_size(answer)
        run.answer = answer
        self.answer_sizes[run.run_id] = size
        self.answers_bytes += size
        while self.answers_bytes > self.settings.answers_kept_bytes:
            self.drop_answer(next(iter(self.answer_sizes)))


_STATE_AFTER = {
    Verdict.NOT_RUN: RunState.READY,
    Verdict.MAY_HAVE_RUN: RunState.MAY_HAVE_RUN,
    Verdict.RUN: RunState.RUN,
}


def decide_resend(run: Run) -> Decision:
    """Decide about the repetition of a request whose run has ended."""
    if run.answer is not None:
        return Replay(run.answer)
    if run.state is RunState.RUN:
        return Refuse(
            DuplicateRequestError(
                "the request was executed and its response is no longer stored; check "
                "its effect at the service",
                Verdict.RUN,
            )
        )
    return Refuse(build_unknown_outcome_error("an earlier attempt was interrupted"))


def build_unknown_outcome_error(cause: str) -> DuplicateRequestError:
    """Return the error for a keyed request that may or may not have been executed.

    :param cause: why its outcome is unknown, as a clause.
    """
    return DuplicateRequestError(
        f"the request may have been executed and is not executed again: {cause}; "
        "check its effect at the service before sending it with a new key",
        Verdict.MAY_HAVE_RUN,
    )


def build_key_mismatch_error() -> BadRequestError:
    """Return the error for a key that was used for a different request."""
    return BadRequestError(
        "this Idempotency-Key was used with a different method, path, client account "
        "or body; send each request with its own key",
        UNPROCESSABLE,
    )


def compute_answer_size(answer: StoredAnswer) -> int:
    """Return the size of a response in bytes, including headers."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return headers + len(answer.body)
