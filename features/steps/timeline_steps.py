"""Steps for the timeline of events."""

import asyncio
import json
from datetime import timedelta

from behave import given, then, when

from wagtailstep.commands import merge_timeline
from wagtailstep.controllers.timeline import Timeline
from wagtailstep.exceptions import ConnectionFailedError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import Member
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.timeline import MergedTimeline, sort_events
from wagtailstep.models.verdict import Verdict
from wagtailstep.utils.clock import ManualClock


def add_daemon(context, name, seconds=0, size=100):
    if not hasattr(context, "timelines"):
        context.timelines = {}
    address = "127.0.0.1:1"
    settings = DaemonSettings(
        name, "z", address, address, address, address, event_ring_size=size
    )
    clock = ManualClock()
    clock.advance(timedelta(seconds=seconds))
    blackboard = Blackboard(Member(name, 1, address, address, "z"))
    context.timelines[name] = Timeline(settings, blackboard, clock)


@given('a daemon "{name}" whose wall clock is {seconds:d} seconds ahead')
def add_daemon_with_fast_clock(context, name, seconds):
    add_daemon(context, name, seconds=seconds)


@given('a daemon "{name}" whose wall clock is right')
def add_daemon_with_correct_clock(context, name):
    add_daemon(context, name)


@given('a daemon "{name}" that keeps {size:d} events')
def add_daemon_with_ring_size(context, name, size):
    add_daemon(context, name, size=size)


@when('daemon "{first}" records "{kind}" and its message reaches daemon "{second}"')
def record_and_send(context, first, kind, second):
    context.timelines[first].record(kind, {})
    stamp = context.timelines[first].stamp_message()
    context.timelines[second].observe_message(stamp)


@when('daemon "{name}" records "{kind}"')
def record_one(context, name, kind):
    context.timelines[name].record(kind, {})


@when('daemon "{name}" records {count:d} events')
def record_many(context, name, count):
    for _ in range(count):
        context.timelines[name].record("event", {})


@then('the merged timeline is "{kinds}"')
def check_merged(context, kinds):
    events = [e for t in context.timelines.values() for e in t.events]
    assert [e.kind for e in sort_events(events)] == kinds.split(", ")


@then('its events have the sequence numbers "{numbers}"')
def check_sequence(context, numbers):
    (timeline,) = context.timelines.values()
    assert [str(e.sequence) for e in timeline.events] == numbers.split(", ")


class FakeSource:
    """Returns the events of known daemons and fails for all others."""

    def __init__(self, timelines):
        self.timelines = timelines

    async def fetch(self, address):
        name = address.split(":")[0]
        if name not in self.timelines:
            raise ConnectionFailedError("no answer", Verdict.NOT_RUN)
        self.timelines[name].record("asked", {})
        return list(self.timelines[name].events)


@when(
    'the timeline is gathered from "{first}" and from "{second}", which does not answer'
)
def gather(context, first, second):
    source = FakeSource(context.timelines)
    context.merged = asyncio.run(
        merge_timeline.gather_timeline(source, [first, second])
    )
    assert isinstance(context.merged, MergedTimeline)


@then('the text and the trace both report "{address}" as unreachable')
def check_unreachable(context, address):
    assert f"unreachable={address}" in merge_timeline.format_text(context.merged)
    trace = json.loads(merge_timeline.format_chrome_trace(context.merged))
    assert list(trace["otherData"]["unreachable"]) == [address]


@then('the trace is valid JSON with a process named "{name}"')
def check_trace(context, name):
    trace = json.loads(merge_timeline.format_chrome_trace(context.merged))
    named = [r["args"]["name"] for r in trace["traceEvents"] if r["ph"] == "M"]
    assert named == [name]
