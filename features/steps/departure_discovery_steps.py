"""Steps for the discovery of earlier departures, with a manual clock."""

import random
from datetime import timedelta

from behave import given, then, when

from wagtailstep.controllers.departure_discovery import DepartureDiscovery
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.departures import DepartureReminder, DeparturesListed
from wagtailstep.models.events import PeerMessageReceived, SendToPeer, Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import ManualClock

STARTED = 1_700_000_000_000
MILLISECOND = timedelta(milliseconds=1)
STEP_MS = 10
END_MS = 12_000


def build_member(name):
    return Member(name, STARTED, f"{name}:1", f"{name}:2", "bole", ("contracts",))


@given("a daemon that has just started beside another one")
def create_discovery(context):
    context.clock = ManualClock()
    settings = DaemonSettings(
        daemon_id="a",
        availability_zone="bole",
        caller_address="a:4",
        gate_address="a:2",
        peer_address="a:1",
        announce_address="a:3",
        service="contracts",
    )
    context.board = Blackboard(build_member("a"))
    context.board.members["b"] = build_member("b")
    context.discovery = DepartureDiscovery(
        settings, context.board, context.clock, random.Random(1)
    )


def build_answer(name):
    if name == "its own read":
        return DeparturesListed(())
    answers = {
        "the records": DepartureReminder((), True, False, STARTED),
        "all that another daemon heard": DepartureReminder((), False, True, STARTED),
        "records for its earlier process": DepartureReminder((), True, True, 1),
        "some departures": DepartureReminder((), False, False, STARTED),
    }
    return PeerMessageReceived("b", answers[name])


@when("it has a table after {table:d} ms and {answer} after {after:d} ms")
def play(context, table, answer, after):
    context.known_at_ms = None
    context.requests = 0
    for now_ms in range(0, END_MS, STEP_MS):
        context.board.table_known = now_ms >= table
        effects = []
        if now_ms == after and answer != "no answer":
            effects += context.discovery.handle(build_answer(answer))
        effects += context.discovery.handle(Tick())
        context.requests += sum(isinstance(effect, SendToPeer) for effect in effects)
        if not context.board.departures_unknown and context.known_at_ms is None:
            context.known_at_ms = now_ms
        context.clock.advance(STEP_MS * MILLISECOND)


@then("it offers the servers beside it from {offered:d} ms on")
def check_offered(context, offered):
    assert context.known_at_ms == offered, context.known_at_ms
    assert context.requests <= END_MS // 500, context.requests
