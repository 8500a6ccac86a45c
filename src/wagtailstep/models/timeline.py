"""Timeline of events merged from several daemons."""

import attrs

from wagtailstep.models.events import TimelineEvent


@attrs.define
class MergedTimeline:
    """A single timeline of all daemons that answered.

    :param events: all events; each one follows its causes.
    :param unreachable: addresses of daemons that did not answer, with the reason.
    """

    events: list[TimelineEvent] = attrs.field(factory=list)
    unreachable: dict[str, str] = attrs.field(factory=dict)


def sort_events(events: list[TimelineEvent]) -> list[TimelineEvent]:
    """Sort events by causality; concurrent events by ``daemon_id``.

    Wall-clock time is ignored, since the clocks of instances differ.
    """
    return sorted(events, key=_order_key)


def _order_key(event: TimelineEvent) -> tuple[int, str, int, int]:
    return event.lamport, event.daemon_id, event.incarnation, event.sequence
