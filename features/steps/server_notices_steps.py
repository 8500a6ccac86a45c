"""Steps for what backend servers say of themselves in their responses."""

import random
from collections import Counter
from datetime import timedelta

import attrs
import detangle
from behave import given, then, when
from gate_steps import TARGET_ID
from scripted_servers import start_scripted_server
from target_answers_steps import (
    ANSWERS,
    SETTINGS,
    ScriptedTarget,
    build_answer,
    create_gate,
    send,
)

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.dissemination import DisseminationController
from wagtailstep.controllers.gate import GateController
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.controllers.server_notices import (
    ServerNoticesController,
    get_rate_limit,
)
from wagtailstep.exceptions import LeavingError, NoTargetError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, TargetAnnounced, Tick
from wagtailstep.models.fleet import Member, Target
from wagtailstep.models.gate import GateRequest, GateRequestArrived
from wagtailstep.models.membership import TargetEntry, TargetsUpdate
from wagtailstep.models.request import RequestContext
from wagtailstep.models.server_notices import (
    QueueWakeDue,
    ServerNotices,
    ServerNoticesForwarded,
    ServerNoticesReceived,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.server_notices import read_server_notices
from wagtailstep.utils.clock import LoopClock, ManualClock

MILLISECOND = timedelta(milliseconds=1)
SERVER_ID = "contracts/i-1"
LIMIT_HEADER = "Server-Limit: 1.5\r\n"

ANSWERS["its own answer with a limit"] = build_answer(
    "two", "two", headers=LIMIT_HEADER
)
ANSWERS["a limit of another instance"] = build_answer(
    "two", "", "421 No", headers=LIMIT_HEADER
)
ANSWERS["a limit in a late answer"] = build_answer("one", "late", headers=LIMIT_HEADER)
ANSWERS["a limit in 503 not executed"] = build_answer(
    "two", "", "503 Full", LIMIT_HEADER + "Wagtailstep-Not-Executed: 1\r\n"
)


def build_notices(text):
    """Return the notices of a response with a limit, several, or none."""
    if text == "none":
        return read_server_notices(())
    values = ("" if value == "empty" else value for value in text.split(" and "))
    return read_server_notices(tuple(("server-limit", value) for value in values))


@when('its response names the limit "{text}"')
def name_limit(context, text):
    event = ServerNoticesReceived(TARGET_ID, build_notices(text))
    controller = context.gate.controller
    controller.get_queue(TARGET_ID)
    context.gate.dispatch(event)


@when("the backend server rejects a request and names no limit")
def reject_without_limit(context):
    event = ServerNoticesReceived(TARGET_ID, ServerNotices(), executed=False)
    context.gate.dispatch(event)


@when("{time_ms:d} ms pass and the queue wakes")
def wake_queue(context, time_ms):
    context.gate.clock.advance(time_ms * MILLISECOND)
    context.gate.dispatch(QueueWakeDue(TARGET_ID))


@when("request {serial:d} arrives without time to wait")
def arrive_without_time(context, serial):
    context.gate.arrive(serial, may_wait=False)


@when("request {serial:d} arrives from an entry that knows the limit {limit:g}")
def arrive_with_known_limit(context, serial, limit):
    context.gate.arrive(serial, known_rate_limit=limit)


@when("the backend server is announced by a new process")
def announce_new_process(context):
    targets = context.gate.blackboard.targets
    targets[TARGET_ID] = attrs.evolve(targets[TARGET_ID], process_started=7)


@then("nothing runs yet")
def check_nothing_runs(context):
    assert not context.gate.running, context.gate.running
    assert not context.gate.refusals, context.gate.refusals


@then("the gate's limit is {limit:g} requests a second")
def check_gate_limit(context, limit):
    assert context.gate.queue.rate_limit.rate == limit, context.gate.queue.rate_limit


@then("the gate believes the limit {limit:g}")
def check_believed_limit(context, limit):
    async def main():
        clock = LoopClock()
        client = HttpClient(SETTINGS.requests, clock)
        gate = create_gate(client, clock)
        target = ScriptedTarget(context.target_answer)
        server = await start_scripted_server(target.serve, "127.0.0.1", 9000)
        await send(gate, "one")
        await send(gate, "two")
        client.close()
        server.close()
        (queue,) = gate.controller.queues.values()
        return queue.rate_limit.rate

    assert detangle.run(main, seed=1) == limit


@when('the backend server is asked and answers with "{answer}"')
def choose_answer(context, answer):
    context.target_answer = ANSWERS[answer]


class DaemonAndEntry:
    """The controllers of a daemon with a backend server, and of another daemon."""

    def __init__(self):
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.members = {
            name: Member(
                name, 1, f"h:{name}", f"g:{name}", "bole", services=("contracts",)
            )
            for name in ("d1", "d2")
        }
        self.process_started = 5
        self.sequence = 0
        self.entry_board = Blackboard(self.members["d2"], members=dict(self.members))
        self.entry = self.create_controllers("d2", self.entry_board)
        self.entry_routing = self.entry[-1]
        self.heartbeat = 0
        self.start_daemon()

    def create_controllers(self, name, board):
        settings = DaemonSettings(name, "bole", "h:1", "h:2", "h:3", "h:4")
        arguments = (settings, board, self.clock, self.rng)
        return [
            AnnouncementController(*arguments),
            DisseminationController(*arguments),
            ServerNoticesController(*arguments),
            RoutingController(*arguments),
        ]

    def start_daemon(self):
        """Start the daemon beside the backend server, without any memory."""
        started = self.clock.elapsed // MILLISECOND + 1
        self.members["d1"] = attrs.evolve(self.members["d1"], incarnation=started)
        self.board = Blackboard(self.members["d1"], members=dict(self.members))
        self.daemon = self.create_controllers("d1", self.board)
        self.gate = GateController(
            DaemonSettings("d1", "bole", "h:1", "h:2", "h:3", "h:4"),
            self.board,
            self.clock,
            self.rng,
        )
        self.announce()

    def announce(self):
        self.sequence += 1
        target = Target(SERVER_ID, "contracts", "d1", "bole", address="127.0.0.1:9")
        event = TargetAnnounced(target, self.process_started, self.sequence)
        self.dispatch(self.daemon, event)
        self.send_targets()

    def dispatch(self, controllers, event):
        for controller in controllers:
            controller.handle(event)

    def send_targets(self):
        """Deliver the daemon's targets to the entry."""
        self.clock.advance(timedelta(milliseconds=200))
        self.heartbeat += 1
        targets = [self.board.targets[name] for name in self.board.local_targets]
        update = TargetsUpdate(
            "d1",
            "bole",
            self.heartbeat,
            0,
            self.heartbeat,
            ("contracts",),
            tuple(TargetEntry.from_target(target, 0) for target in targets),
        )
        self.entry_board.requested_services.add("contracts")
        self.dispatch(self.entry, Tick())
        self.dispatch(self.entry, PeerMessageReceived("d1", update))

    def receive_notices(self, notices):
        event = ServerNoticesReceived(SERVER_ID, notices)
        self.gate.handle(event)
        self.dispatch(self.daemon, event)
        self.send_targets()

    def forward_notices(self, notices):
        self.dispatch(self.entry, ServerNoticesForwarded(SERVER_ID, notices))


@given("a daemon beside a backend server, and an entry")
def create_daemon_and_entry(context):
    context.pair = DaemonAndEntry()


@when('the backend server\'s response names the limit "{text}" at its daemon')
def name_limit_at_daemon(context, text):
    context.pair.receive_notices(build_notices(text))


@when("the backend server's response says at its daemon that it leaves")
def say_leaving_at_daemon(context):
    context.pair.receive_notices(ServerNotices(leaving=True))


@when('the entry passes on a response with the limit "{text}"')
def forward_limit(context, text):
    context.pair.forward_notices(build_notices(text))


@when("the entry passes on a response of a leaving server")
def forward_leaving(context):
    context.pair.forward_notices(ServerNotices(leaving=True))


@when("the daemon beside the backend server restarts")
def restart_daemon(context):
    context.pair.clock.advance(timedelta(seconds=1))
    context.pair.start_daemon()


@when("the leaving server announces itself again")
def announce_again(context):
    context.pair.announce()


@when("the backend server restarts under the same name")
def restart_server(context):
    context.pair.process_started += 1
    context.pair.announce()


@then("the entry knows the limit {limit:g}")
def check_known_limit(context, limit):
    board = context.pair.entry_board
    found = get_rate_limit(board, board.targets[SERVER_ID])
    assert found == limit, found


@then('the gate refuses its requests as "leaving"')
def check_gate_refuses(context):
    deadline = context.pair.clock.monotonic() + timedelta(seconds=5)
    request = GateRequest(1, "r1", "a1", SERVER_ID, "sign", False, deadline)
    (effect,) = context.pair.gate.handle(GateRequestArrived(request))
    assert isinstance(effect.error, LeavingError), effect


@then("the entry picks no target")
def check_no_pick(context):
    try:
        found = context.pair.entry_routing.pick("contracts")
    except NoTargetError:
        return
    raise AssertionError(found)


@then("the entry picks the target")
def check_pick(context):
    assert context.pair.entry_routing.pick("contracts").target_id == SERVER_ID


@given("an entry with {count:d} targets, of which {limited:d} take 1 request a second")
def create_limited_targets(context, count, limited):
    members = {f"d{i}": Member(f"d{i}", 1, "", "", "bole") for i in range(count)}
    context.limited = limited
    context.clock = ManualClock()
    context.board = Blackboard(members["d0"], members=members)
    for i in range(count):
        target = Target(
            f"contracts/i-{i}",
            "contracts",
            f"d{i}",
            "bole",
            rate_limit=1.0 if i < limited else 0.0,
        )
        context.board.targets[target.target_id] = target


@when("it gets {rate:d} requests a second, like the daemons beside them")
def pick_targets(context, rate):
    board = context.board
    settings = DaemonSettings("d0", "bole", "h:1", "h:2", "h:3", "h:4")
    routing = RoutingController(settings, board, context.clock, random.Random(1))
    context.routing = routing
    context.picked = Counter()
    for _ in range(60 * rate):
        context.clock.advance(timedelta(seconds=1 / rate))
        request = RequestContext(
            request_id="r",
            service="contracts",
            route="sign",
            account="",
            method="GET",
            path="/",
            idempotent=True,
            idempotency_key=None,
            deadline=context.clock.monotonic() + timedelta(seconds=1),
        )
        routing.admit(request)
        context.picked[routing.pick("contracts").target_id] += 1
        routing.release(request)


@when("requests that were refused by a limited target look for another")
def pick_again(context):
    context.picked = Counter(
        context.routing.pick("contracts", {"contracts/i-0"}).target_id
        for _ in range(200)
    )


@then("none of them goes to a limited target")
def check_unlimited(context):
    limited = {f"contracts/i-{i}" for i in range(context.limited)}
    assert not limited & set(context.picked), context.picked


@then("a limited target gets {least:g} to {most:g} % of them")
def check_share(context, least, most):
    total = context.picked.total()
    for i in range(context.limited):
        share = 100 * context.picked[f"contracts/i-{i}"] / total
        assert least <= share <= most, context.picked
