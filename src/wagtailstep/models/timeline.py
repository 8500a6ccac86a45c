"""Events of several daemons, merged."""

import attrs

from wagtailstep.models.events import TimelineEvent


@attrs.define
class MergedTimeline:
    """One time line over all daemons that answered.

    :param events: all events; each after those that caused it.
    :param unreachable: addresses of daemons that did not answer, with the reason.
    """

    events: list[TimelineEvent] = attrs.field(factory=list)
    unreachable: dict[str, str] = attrs.field(factory=dict)


def sort_events(events: list[TimelineEvent]) -> list[TimelineEvent]:
    """Order events causally; events without a causal order by name of daemon.

    The wall clock decides nothing, since the clocks of instances differ.
    """
    return sorted(events, key=_order_key)


def _order_key(event: TimelineEvent) -> tuple[int, str, int, int]:
    return event.lamport, event.daemon_id, event.incarnation, event.sequence
