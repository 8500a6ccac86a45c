"""Explanation of one request's outcome, reconstructed from the logs of all daemons."""

from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta

import attrs

from wagtailstep.commands.fleet_beliefs import (
    MEMBER_EVENT,
    PATH_EVENT,
    STANDING_EVENT,
    find_beliefs_at,
)
from wagtailstep.models.connection import ConnectionEnd
from wagtailstep.models.log_lines import LogLine, format_line

MILLISECOND = timedelta(milliseconds=1)
END_EVENTS = ("request-ended", "request-unanswered")
SERVED_OUTCOME = "status-200"
# As ended_by in lines of the event request-cancelled; older daemons log none.
ENDED_BY_CALLER = frozenset(
    {ConnectionEnd.CALLER_CLOSED.value, ConnectionEnd.CONNECTION_FAILED.value, ""}
)
# Outcomes that are never attributed to a backend server, even if an earlier attempt
# failed there.
OUTCOMES_NOT_CAUSED_BY_WORK = frozenset({"overloaded", "doubted", "caller-left"})


@attrs.frozen
class Belief:
    """What a daemon believed when a request ended.

    :param line: the log line of the event that established the belief.
    :param age: time from that event to the end of the request.
    """

    line: LogLine
    age: timedelta


@attrs.frozen
class RequestExplanation:
    """What the logs show about one request.

    :param request_id: identifier of the request.
    :param lines: events of the request and of its nested calls, in causal order.
    :param beliefs: what the daemons involved believed when it ended.
    :param cause: why it failed, or ``served``.
    """

    request_id: str
    lines: Sequence[LogLine]
    beliefs: Sequence[Belief]
    cause: str


def explain_request(lines: Sequence[LogLine], request_id: str) -> RequestExplanation:
    """Reconstruct a request from log lines and determine the cause of its outcome.

    :param lines: lines of all daemons; those of one daemon in their logged order.
    """
    request_lines = [line for line in lines if belongs_to_request(line, request_id)]
    ordered_lines = sort_causally(request_lines)
    end = find_end_event(ordered_lines, request_id)
    beliefs = (
        select_relevant_beliefs(lines, ordered_lines, end) if end is not None else []
    )
    cause = determine_cause(ordered_lines, beliefs, request_id)
    if not request_lines and (dropped := count_dropped_lines(lines)):
        cause += f"; {dropped} log lines were dropped because their reader was too slow"
    return RequestExplanation(request_id, ordered_lines, beliefs, cause)


def belongs_to_request(line: LogLine, request_id: str) -> bool:
    """Return whether a line belongs to a request or one of its nested calls."""
    found = line.request_id
    return found == request_id or found.startswith(f"{request_id}.")


def sort_causally(lines: Sequence[LogLine]) -> list[LogLine]:
    """Sort by time, but place the end of a request after all of its other events.

    Time alone doesn't suffice: clocks of daemons differ by a few milliseconds, which
    is as much as a network hop takes.
    """
    latest: dict[str, datetime] = {}
    for line in lines:
        for request_id in find_ancestors(line.request_id):
            latest[request_id] = max(latest.get(request_id, line.time), line.time)

    def get_sort_key(line: LogLine) -> tuple[datetime, int]:
        if line.event in END_EVENTS:
            return latest[line.request_id], 1 + END_EVENTS.index(line.event)
        return line.time, 0

    return sorted(lines, key=get_sort_key)


def find_ancestors(request_id: str) -> Iterable[str]:
    """Yield a request and the requests it is nested in, innermost first."""
    while request_id:
        yield request_id
        request_id, _, _ = request_id.rpartition(".")


def find_end_event(lines: Sequence[LogLine], request_id: str) -> LogLine | None:
    """Return the event with the outcome of a request at its entry."""
    ends = [
        line
        for line in lines
        if line.event in END_EVENTS and line.request_id == request_id
    ]
    attempts = [line for line in ends if line.event == END_EVENTS[0]]
    return (attempts or ends or [None])[-1]


def select_relevant_beliefs(
    lines: Sequence[LogLine], trace_lines: Sequence[LogLine], end: LogLine
) -> list[Belief]:
    """Return what the entry and the gates it tried believed when a request ended."""
    tried = set(end.get("tried").split(",")) - {""}
    gates = {line.process for line in trace_lines if line.event == "work-ended"}

    def is_relevant(line: LogLine) -> bool:
        at_entry = line.process == end.process
        if line.event == STANDING_EVENT:
            return line.get("target") in tried
        if line.event == PATH_EVENT:
            return at_entry and line.get("target") in tried
        if line.event == MEMBER_EVENT:
            return at_entry and line.get("member") in gates
        return at_entry

    beliefs = find_beliefs_at(lines, end.time)
    return [Belief(line, end.time - line.time) for line in beliefs if is_relevant(line)]


def determine_cause(
    lines: Sequence[LogLine], beliefs: Sequence[Belief], request_id: str
) -> str:
    """Describe the cause of a request's outcome in a few words."""
    end = find_end_event(lines, request_id)
    if end is None:
        return determine_cause_without_end(lines)
    outcome = end.get("outcome") or end.get("reason")
    if outcome == SERVED_OUTCOME:
        return "served"
    call = find_first_failed_call(lines, request_id)
    if call is not None and outcome.startswith("status-"):
        because = determine_cause(lines, beliefs, call.request_id)
        return f"a call to {call.get('service') or 'a service'} failed: {because}"
    work = find_last_failed_work(lines, request_id)
    if work is not None and outcome not in OUTCOMES_NOT_CAUSED_BY_WORK:
        return describe_failed_work(work, beliefs)
    if outcome == "caller-left":
        return describe_interruption(lines, end)
    return describe_outcome(end, outcome)


def determine_cause_without_end(lines: Sequence[LogLine]) -> str:
    """Describe the cause if no entry logged the end of a request."""
    if any(line.event == "work-ended" for line in lines):
        return "its entry stopped or was interrupted before it had a response"
    if lines:
        return "its entry logged no end; it was stopped or its lines are missing"
    return "no daemon logged a line for it"


def find_first_failed_call(lines: Sequence[LogLine], request_id: str) -> LogLine | None:
    """Return the end event of the first nested call that was not served."""
    calls = [
        line
        for line in lines
        if line.event == END_EVENTS[0] and line.request_id.startswith(f"{request_id}.")
    ]
    return next((call for call in calls if call.get("outcome") != SERVED_OUTCOME), None)


def find_last_failed_work(lines: Sequence[LogLine], request_id: str) -> LogLine | None:
    """Return the event of the last failed work for a request."""
    ended = [
        line
        for line in lines
        if line.event == "work-ended" and line.request_id == request_id
    ]
    failed = [line for line in ended if line.get("result") != "done"]
    return failed[-1] if failed else None


def describe_failed_work(work: LogLine, beliefs: Sequence[Belief]) -> str:
    """Describe a backend server's failure and the standing it had before."""
    target = work.get("target")
    verbs = {
        "failed": f"failed the work with {work.get('status')}",
        "broken": "closed the connection before its response was complete",
        "late": "did not answer in time",
        "unreachable": "could not be reached",
        "turned-away": "rejected the work because it was full",
    }
    verb = verbs.get(work.get("result"), f"ended the work as {work.get('result')}")
    # The gate updates the standing after the failure; the routing decision was based on
    # the one before.
    standings = [
        belief.line.get("standing")
        for belief in beliefs
        if belief.line.event == STANDING_EVENT
        and belief.line.get("target") == target
        and belief.line.time < work.time
    ]
    return (
        f"target {target} {verb}, "
        f"believed {standings[-1] if standings else 'good'} before"
    )


def describe_outcome(end: LogLine, outcome: str) -> str:
    """Describe why an entry ended a request for which no work failed."""
    if outcome == "overloaded":
        asked = end.get("gates_full") or "some"
        return f"overloaded: {asked} gates tried had no free slot in time"
    texts = {
        "no-target": "no target of the service was known",
        "unknown-key": "its key of a client account was missing or unknown",
        "no-route": "no route matches the request",
        "not-ready": "the daemon had not received a table yet",
        "leaving": "the targets tried were leaving",
        "doubted": "the targets tried had failed just before",
        "deadline-exceeded": "its deadline passed, and no gate logged work for it",
        "connection-failed": "the connection to a gate was lost, and no gate logged "
        "work for it",
        "bad-request": "the request was malformed or truncated by its caller",
        "duplicate": "a gate had already accepted this transmission",
        "attempt-abandoned": "an attempt timed out and no further attempt was possible",
    }
    return texts.get(outcome, f"ended as {outcome}")


def describe_interruption(lines: Sequence[LogLine], end: LogLine) -> str:
    """Describe who ended the connection of a request in progress."""
    ended_by = next(
        (
            line.get("ended_by")
            for line in lines
            if line.event == "request-cancelled"
            and line.request_id == end.request_id
            and line.process == end.process
        ),
        "",
    )
    if ended_by in ENDED_BY_CALLER:
        return "the caller disconnected"
    return f"the daemon ended the caller's connection: {ended_by}"


def count_dropped_lines(lines: Iterable[LogLine]) -> int:
    """Return how many log lines the daemons report as dropped."""
    reports = (line for line in lines if line.event == "lines-left-out")
    return sum(int(line.get("dropped") or 0) for line in reports)


def count_causes(lines: Sequence[LogLine]) -> Counter[str]:
    """Count the causes of all failed requests of callers.

    Names of targets are replaced by their service, so that similar causes are counted
    together.
    """
    lines_by_caller_request: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.request_id:
            lines_by_caller_request.setdefault(
                line.request_id.split(".")[0], []
            ).append(line)
    causes: Counter[str] = Counter()
    for request_id, request_lines in lines_by_caller_request.items():
        ordered_lines = sort_causally(request_lines)
        if find_end_event(ordered_lines, request_id) is None:
            continue
        cause = determine_cause(ordered_lines, [], request_id)
        if cause != "served":
            causes[replace_target_names(cause, ordered_lines)] += 1
    return causes


def replace_target_names(cause: str, lines: Iterable[LogLine]) -> str:
    """Replace target names in a cause by the name of their service."""
    for target in {line.get("target") for line in lines} - {""}:
        cause = cause.replace(target, f"of {target.partition('/')[0]}")
    return cause.partition(", believed")[0]


def format_explanation(explanation: RequestExplanation) -> str:
    """Format an explanation as text."""
    output_lines = [f"request {explanation.request_id}: {explanation.cause}"]
    start = explanation.lines[0].time if explanation.lines else None
    for line in explanation.lines:
        offset_ms = (line.time - start) / MILLISECOND
        output_lines.append(
            f"  {offset_ms:+9.0f} ms  {line.process}  {format_line(line)}"
        )
    if explanation.beliefs:
        output_lines.append("believed when it ended:")
    for belief in explanation.beliefs:
        line = belief.line
        age_s = belief.age.total_seconds()
        output_lines.append(
            f"  for {age_s:7.3f} s  {line.process}  {format_line(line)}"
        )
    return "\n".join(output_lines)


def format_causes(causes: Counter[str]) -> str:
    """Format causes with their counts, most frequent first."""
    if not causes:
        return "no request failed"
    return "\n".join(f"{count:6d}  {cause}" for cause, count in causes.most_common())
