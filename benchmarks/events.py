"""Measure the cost of a daemon's ring buffer of events, and of merging many rings.

``python -m benchmarks.events --seed=1`` records events at one daemon, merges the rings
of many, and writes ``docs/measurements/events.md``.
"""

import pathlib
import random
import time
import tracemalloc

import fire
import msgspec

from benchmarks.report import Report, fit_slope
from wagtailstep.commands.merge_timeline import format_text
from wagtailstep.controllers.timeline import Timeline
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import TimelineEvent
from wagtailstep.models.fleet import Member
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.timeline import MergedTimeline, sort_events
from wagtailstep.utils.clock import ManualClock

REPORT_PATH = pathlib.Path("docs/measurements/events.md")
ADDRESS = "127.0.0.1:1"
RING_SIZES = (1_024, 2_048, 4_096)
MERGED_DAEMONS = (4, 16, 64)
MERGED_RING = 4_096


def create_timeline(daemon_id: str, size: int) -> Timeline:
    """Create the empty event ring of a daemon."""
    settings = DaemonSettings(
        *(daemon_id, "zone", ADDRESS, ADDRESS, ADDRESS, ADDRESS),
        event_ring_size=size,
    )
    board = Blackboard(Member(daemon_id, 1, ADDRESS, ADDRESS, "zone"))
    return Timeline(settings, board, ManualClock())


def fill_timeline(timeline: Timeline, count: int, rng: random.Random) -> None:
    """Record events of the most frequent type."""
    for _ in range(count):
        fields = {
            "member": f"contracts-{rng.randrange(1_800)}",
            "member_incarnation": str(rng.randrange(2**40)),
            "state": "alive",
        }
        timeline.record("member-state", fields)


def measure_ring(size: int, rng: random.Random) -> tuple[float, float]:
    """Return the memory of a full ring in MB and microseconds for one event."""
    tracemalloc.start()
    timeline = create_timeline("d", size)
    fill_timeline(timeline, size, rng)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    started = time.process_time()
    fill_timeline(timeline, size, rng)
    return memory_mb, (time.process_time() - started) / size * 1e6


def measure_merge(daemons: int, rng: random.Random) -> tuple[float, float]:
    """Return MB on the wire and seconds of processor time to merge full rings."""
    bodies = []
    for number in range(daemons):
        timeline = create_timeline(f"d{number}", MERGED_RING)
        fill_timeline(timeline, MERGED_RING, rng)
        bodies.append(msgspec.json.encode(list(timeline.events)))
    started = time.process_time()
    events: list[TimelineEvent] = []
    for body in bodies:
        events.extend(msgspec.json.decode(body, type=list[TimelineEvent]))
    format_text(MergedTimeline(sort_events(events)))
    return sum(map(len, bodies)) / 1e6, time.process_time() - started


def main(seed: int = 1) -> None:
    """Measure rings and merges and write the page of results.

    :param seed: seed of the contents of the events.
    """
    rng = random.Random(seed)
    report = Report("Events", "events", seed)
    rings = [(size, *measure_ring(size, rng)) for size in RING_SIZES]
    report.add_text("A full ring of one daemon; the time is that to record one event.")
    rows = [[str(size), f"{mb:.2f}", f"{us:.2f}"] for size, mb, us in rings]
    report.add_table(["events", "memory_mb", "record_us"], rows)
    merges = [(count, *measure_merge(count, rng)) for count in MERGED_DAEMONS]
    report.add_text(f"Merging rings of {MERGED_RING} events in the operator's program.")
    rows = [[str(count), f"{mb:.1f}", f"{s:.2f}"] for count, mb, s in merges]
    report.add_table(["daemons", "wire_mb", "processor_s"], rows)
    slope = fit_slope([(count, s) for count, _, s in merges])[1]
    last = (
        f"event_record_us={rings[-1][2]:.2f} event_ring_mb={rings[-1][1]:.2f} "
        f"merge_s_per_daemon={slope:.3f}"
    )
    report.write(REPORT_PATH, last)
    print(last)


if __name__ == "__main__":
    fire.Fire(main)
