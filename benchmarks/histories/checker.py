"""Check the guarantees of the proxy on the history of one run."""

from collections.abc import Iterator, Sequence

import detangle

from benchmarks.histories.history import RunHistory, Sending, Violation

NOT_RUN = "not-run"
RUN = "run"
OK = 200
INTERNAL_SERVER_ERROR = 500


def build_answer(operation: int, sending: int) -> str:
    """Build the complete response of a backend server to one execution.

    The dots make it long enough to be truncated.
    """
    return f"answer to operation {operation} run for sending {sending}" + "." * 40


def check_history(history: RunHistory) -> list[Violation]:
    """Return all violations of the guarantees in a history."""
    return [
        *check_at_most_once(history),
        *check_answers(history),
        *check_not_run_verdicts(history),
        *check_linearizability(history),
    ]


def check_at_most_once(history: RunHistory) -> Iterator[Violation]:
    """Find non-idempotent requests that ran more than once.

    A keyed operation may run once in all, an unkeyed one once for each send.
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
    """Find responses that are incomplete or belong to another request."""
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
    """Return whether the response of an execution is correct for a send.

    All sends of a keyed operation get the response of its single execution, whichever
    of them caused it.
    """
    if operation != sending.operation:
        return False
    return sending.kind.keyed or number == sending.sending


def check_not_run_verdicts(history: RunHistory) -> Iterator[Violation]:
    """Find requests that ran although their caller got the verdict "not run".

    A send with this verdict must never run, not even later. If its operation has a
    key, no other send of the operation may have run before the verdict either.
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
    """Find keyed operations that never ran although all faults had ended."""
    ran = {execution.operation for execution in history.executions}
    for operation in {s.operation: s for s in history.sendings if s.kind.keyed}:
        if operation not in ran:
            yield Violation("not-stuck", f"operation {operation}")


class AtMostOnceModel(detangle.lin.Model):
    """Sequential model of a keyed operation; its state is whether it has run.

    A ``send`` (of an operation number) with the output ``run`` runs the operation or
    finds that it has run. The output ``not-run`` is only possible before it has run.
    """

    name = "once"

    def init(self) -> bool:
        """Return the state before the first operation: not run."""
        return False

    def step(self, state: bool, op: detangle.lin.Operation) -> tuple[bool, bool]:
        """Return whether an operation is possible in a state, and the next state."""
        if op.output == NOT_RUN:
            return not state, False
        return True, True

    def partition(
        self, operations: Sequence[detangle.lin.Operation]
    ) -> list[list[detangle.lin.Operation]]:
        """Split the operations by key, since keys are independent of each other."""
        groups: dict[int, list[detangle.lin.Operation]] = {}
        for operation in operations:
            groups.setdefault(operation.arg, []).append(operation)
        return list(groups.values())


def check_linearizability(history: RunHistory) -> Iterator[Violation]:
    """Check that the verdicts on keyed operations are linearizable.

    The verdict "may have run" or no response at all counts as an unknown outcome.
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
    """Return the starts and ends of keyed sends in order of time.

    :return: pairs of a send and whether this is its end.
    """
    keyed = [s for s in history.sendings if s.kind.keyed]
    starts = [(s.started, 0, s) for s in keyed]
    ends = [(s.ended, 1, s) for s in keyed if s.ended is not None]
    events = sorted(starts + ends, key=lambda event: event[:2])
    return [(sending, bool(is_end)) for _, is_end, sending in events]
