"""What the daemons of a fleet believed at a given time, according to their logs."""

from collections import Counter
from collections.abc import Sequence
from datetime import datetime, timedelta

import attrs

from wagtailstep.models.log_lines import LogLine, format_line

# Events that a daemon logs when its own belief changes.
STANDING_EVENT = "target-standing"
PATH_EVENT = "path-avoided"
TABLE_EVENT = "table-in-force"
STORE_EVENT = "log-reachability"
MEMBER_EVENT = "member-state"
BELIEF_EVENTS = frozenset(
    {STANDING_EVENT, PATH_EVENT, TABLE_EVENT, STORE_EVENT, MEMBER_EVENT}
)
# The field that names the subject of a belief; the other events are about the daemon
# itself.
SUBJECT_FIELDS = {
    STANDING_EVENT: "target",
    PATH_EVENT: "target",
    MEMBER_EVENT: "member",
}
LIFECYCLE_EVENTS = ("daemon-started", "daemon-draining", "daemon-stopped")


@attrs.frozen
class FleetBeliefs:
    """What the daemons believed at a given time, and the changes around it.

    :param tables: number of daemons by the version of the table in force.
    :param standings: standing of each target that its gate doubted or saw failing.
    :param members: number of daemons by the member and state that they saw, for
        members that were not alive.
    :param without_store: daemons that could not reach the store.
    :param changes: changed beliefs, and starts and stops of daemons, near that time.
    """

    tables: Counter[str]
    standings: dict[str, str]
    members: Counter[str]
    without_store: Sequence[str]
    changes: Sequence[LogLine]


def find_beliefs_at(lines: Sequence[LogLine], at: datetime) -> list[LogLine]:
    """Return the events that established what daemons believed at a given time.

    :param lines: lines of all daemons; those of one daemon in their logged order.
    """
    newest: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        if line.time > at:
            continue
        if line.event == "daemon-started":
            # A restarted daemon doesn't keep the beliefs of its previous process.
            newest = {k: v for k, v in newest.items() if k[1] != line.process}
        elif line.event in BELIEF_EVENTS:
            subject = line.get(SUBJECT_FIELDS.get(line.event, ""))
            newest[line.event, line.process, subject] = line
    return list(newest.values())


def compute_fleet_beliefs(
    lines: Sequence[LogLine], at: datetime, span: timedelta
) -> FleetBeliefs:
    """Return what the daemons believed at a given time.

    :param lines: lines of all daemons; those of one daemon in their logged order.
    :param span: changes within this time before and after are included.
    """
    beliefs = find_beliefs_at(lines, at)
    members = Counter(
        f"{line.get('member')} {line.get('state')}"
        for line in beliefs
        if line.event == MEMBER_EVENT and line.get("state") != "alive"
    )
    return FleetBeliefs(
        tables=Counter(
            line.get("version") for line in beliefs if line.event == TABLE_EVENT
        ),
        standings={
            line.get("target"): line.get("standing")
            for line in beliefs
            if line.event == STANDING_EVENT
            and line.get("standing") in ("doubted", "failing")
        },
        members=members,
        without_store=sorted(
            line.process
            for line in beliefs
            if line.event == STORE_EVENT and line.get("reachable") == "False"
        ),
        changes=sorted(
            (
                line
                for line in lines
                if line.event in BELIEF_EVENTS.union(LIFECYCLE_EVENTS)
                and abs(line.time - at) <= span
            ),
            key=lambda line: line.time,
        ),
    )


def format_fleet_beliefs(beliefs: FleetBeliefs, at: datetime) -> str:
    """Format beliefs as text."""
    output_lines = [
        f"table version {v}: {n} daemons" for v, n in beliefs.tables.items()
    ]
    output_lines += [
        f"target {name}: {standing}" for name, standing in beliefs.standings.items()
    ]
    output_lines += [
        f"member {name}: {n} daemons" for name, n in beliefs.members.items()
    ]
    output_lines += [f"store not reached by {name}" for name in beliefs.without_store]
    output_lines.append("changes around then:")
    for line in beliefs.changes:
        offset_s = (line.time - at).total_seconds()
        output_lines.append(
            f"  {offset_s:+7.3f} s  {line.process}  {format_line(line)}"
        )
    return "\n".join(output_lines)
