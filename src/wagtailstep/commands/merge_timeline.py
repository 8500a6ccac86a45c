"""Merges the events of all daemons into one timeline and formats it."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

import msgspec

from wagtailstep.exceptions import RequestError
from wagtailstep.models.events import TimelineEvent
from wagtailstep.models.timeline import MergedTimeline, sort_events
from wagtailstep.utils.logging import format_fields

MICROSECONDS_PER_SECOND = 1_000_000


class EventSource(Protocol):
    """Fetches the events that a daemon keeps in memory."""

    async def fetch(self, address: str) -> list[TimelineEvent]:
        """Return the events of the daemon at an address.

        :param address: ``host:port`` of its caller address.
        :raises RequestError: if it did not respond.
        """


async def gather_timeline(
    source: EventSource, addresses: Sequence[str]
) -> MergedTimeline:
    """Fetch the events of all daemons concurrently and merge them.

    :param source: fetches the events of one daemon.
    :param addresses: ``host:port`` of each daemon's caller address.
    """
    merged = MergedTimeline()

    async def fetch_one(address: str) -> None:
        try:
            merged.events.extend(await source.fetch(address))
        except RequestError as error:
            merged.unreachable[address] = str(error)

    await asyncio.gather(*(fetch_one(address) for address in addresses))
    merged.events = sort_events(merged.events)
    return merged


def format_text(merged: MergedTimeline) -> str:
    """Format a timeline as text, one line per event."""
    lines = [format_event(event) for event in merged.events]
    for address, reason in sorted(merged.unreachable.items()):
        lines.append(format_fields({"unreachable": address, "reason": reason}))
    return "\n".join(lines)


def format_event(event: TimelineEvent) -> str:
    """Format one event as a line of key=value pairs."""
    fields = {
        "lamport": event.lamport,
        "utc": event.utc.isoformat(timespec="milliseconds"),
        "daemon": f"{event.daemon_id}#{event.incarnation}",
        "event": event.kind,
    }
    return format_fields({**fields, **event.fields})


def format_chrome_trace(merged: MergedTimeline) -> str:
    """Format a timeline as Chrome trace-event JSON.

    Each daemon is a process of the trace, and each event an instant event. Daemons
    that could not be reached are listed under ``otherData``.
    """
    daemons = sorted({event.daemon_id for event in merged.events})
    process_numbers = {daemon_id: index + 1 for index, daemon_id in enumerate(daemons)}
    records: list[dict[str, object]] = [
        {
            "name": "process_name",
            "ph": "M",
            "pid": number,
            "args": {"name": daemon_id},
        }
        for daemon_id, number in process_numbers.items()
    ]
    records.extend(
        {
            "name": event.kind,
            "ph": "i",
            "s": "p",
            "ts": round(event.utc.timestamp() * MICROSECONDS_PER_SECOND),
            "pid": process_numbers[event.daemon_id],
            "tid": event.incarnation,
            "args": {**event.fields, "lamport": event.lamport},
        }
        for event in merged.events
    )
    trace = {"traceEvents": records, "otherData": {"unreachable": merged.unreachable}}
    return msgspec.json.encode(trace).decode()
