"""Check the promises on the history of one run."""

from collections.abc import Iterator, Sequence

import detangle

from benchmarks.histories.history import RunHistory, Sending, Violation

NOT_RUN = "not-run"
RUN = "run"
OK = 200
INTERNAL_SERVER_ERROR = 500


def build_answer(operation: int, sending: int) -> str:
    """Return the whole answer of a backend server to one execution."""
    return f"answer to operation {operation} run for sending {sending}" + "." * 40


def check_history(history: RunHistory) -> list[Violation]:
    """Return all violations of the promises in a history."""
    return [
        *check_at_most_once(history),
        *check_answers(history),
        *check_not_run_verdicts(history),
        *check_linearizability(history),
    ]


def check_at_most_once(history: RunHistory) -> Iterator[Violation]:
    """Find non-idempotent requests that ran more than once.

    A keyed operation runs once over all its sendings, an unkeyed one once for each.
    """
    keyed = {s.operation: s.kind.keyed for s in history.sendings}
    lookups = {s.operation for s in history.sendings if s.kind.value == "lookup"}
    seen = set()
    for execution in history.executions:
        if execution.operation in lookups:
            continue
        sending = None if keyed[execution.operation] else execution.sending
        identity = (execution.operation, sending)
        if identity in seen:
            yield Violation("at-most-once", str(execution))
        seen.add(identity)


def check_answers(history: RunHistory) -> Iterator[Violation]:
    """Find answers that are not the whole answer to the caller's own request."""
    executed = {(e.operation, e.sending) for e in history.executions}
    for sending in history.sendings:
        if sending.status == INTERNAL_SERVER_ERROR:
            yield Violation("no-fault-of-the-daemon", str(sending))
        if sending.status != OK:
            continue
        acceptable = {
            build_answer(*pair) for pair in executed if may_answer(sending, *pair)
        }
        if sending.body not in acceptable:
            yield Violation("own-whole-answer", str(sending))


def may_answer(sending: Sending, operation: int, number: int) -> bool:
    """Tell whether an execution may answer a sending.

    A keyed resend gets the answer of the one execution, whichever sending led to it.
    """
    if operation != sending.operation:
        return False
    return sending.kind.keyed or number == sending.sending


def check_not_run_verdicts(history: RunHistory) -> Iterator[Violation]:
    """Find requests that had run when their caller was told that they had not.

    Of a sending told "not run" nothing may ever run; of its operation, if it has a
    key, nothing may have run by then.
    """
    for sending in history.sendings:
        if sending.verdict != NOT_RUN:
            continue
        for execution in history.executions:
            if execution.operation != sending.operation:
                continue
            earlier = sending.kind.keyed and execution.time <= sending.ended
            if execution.sending == sending.sending or earlier:
                yield Violation("not-run-is-a-fact", f"{sending} but {execution}")


def check_keyed_operations_ran(history: RunHistory) -> Iterator[Violation]:
    """Find keyed operations that did not run although all faults had gone."""
    ran = {execution.operation for execution in history.executions}
    for operation in {s.operation: s for s in history.sendings if s.kind.keyed}:
        if operation not in ran:
            yield Violation("not-stuck", f"operation {operation}")


class AtMostOnceModel(detangle.lin.Model):
    """A keyed operation: it has run or not; answers agree with that.

    Operation ``send`` (operation number) with the output ``run`` makes or finds it
    run; with the output ``not-run`` it must find it not run.
    """

    name = "once"

    def init(self) -> bool:
        """Return the state before the first operation: not run."""
        return False

    def step(self, state: bool, op: detangle.lin.Operation) -> tuple[bool, bool]:
        """Tell whether an operation is possible now, and the state after it."""
        if op.output == NOT_RUN:
            return not state, False
        return True, True

    def partition(
        self, operations: Sequence[detangle.lin.Operation]
    ) -> list[list[detangle.lin.Operation]]:
        """Split by key: the keys are independent."""
        groups: dict[int, list[detangle.lin.Operation]] = {}
        for operation in operations:
            groups.setdefault(operation.arg, []).append(operation)
        return list(groups.values())


def check_linearizability(history: RunHistory) -> Iterator[Violation]:
    """Check that the answers to keyed operations are linearizable.

    An answer "may have run" or no answer at all is an unknown outcome.
    """
    recorded = detangle.History()
    invoked = {}
    for sending, is_end in order_events(history):
        if not is_end:
            operation = recorded.invoke(sending.sending, "send", sending.operation)
            invoked[sending.sending] = operation
        elif sending.verdict in (NOT_RUN, RUN):
            recorded.ok(invoked[sending.sending], sending.verdict)
        else:
            recorded.info(invoked[sending.sending])
    result = recorded.check(AtMostOnceModel())
    if not result.ok:
        yield Violation("linearizable", result.explain())


def order_events(history: RunHistory) -> list[tuple[Sending, bool]]:
    """Return the starts and ends of keyed sendings in their order."""
    keyed = [s for s in history.sendings if s.kind.keyed]
    starts = [(s.started, 0, s) for s in keyed]
    ends = [(s.ended, 1, s) for s in keyed if s.ended is not None]
    events = sorted(starts + ends, key=lambda event: event[:2])
    return [(sending, bool(is_end)) for _, is_end, sending in events]
