"""Steps that drive the control plane of several daemons on a bus."""

from datetime import timedelta
from unittest import mock

import attrs
from behave import given, then, when

from wagtailstep.controllers import dissemination
from wagtailstep.controllers.member_table import MemberTable
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.controllers.probing import Prober
from wagtailstep.controllers.target_leases import TargetLeases
from wagtailstep.fakes.control_bus import ControlBus
from wagtailstep.models.events import PeerMessageReceived, TargetWithdrawn
from wagtailstep.models.fleet import MemberState, TargetState
from wagtailstep.models.membership import (
    Digest,
    MemberChange,
    MemberEntry,
    MemberUpdates,
    Ping,
    TargetEntry,
    TargetsUpdate,
    member_reference,
)
from wagtailstep.models.settings import MembershipSettings
from wagtailstep.utils.codec import encode_message

SEEDS = ("d00.test:7003", "d01.test:7003")
# A short retention lets a scenario see dead daemons forgotten.
SETTINGS = MembershipSettings(seeds=SEEDS, dead_retention_s=120.0)


@given('a bus of {count:d} daemons that serve "{service}", all from seed {seed:d}')
def make_bus(context, count, service, seed):
    context.bus = ControlBus(seed)
    context.membership = SETTINGS
    context.sent = []
    carry = context.bus.send

    def send(node, effect):
        context.sent.append((node.daemon_id, effect))
        carry(node, effect)

    context.bus.send = send
    for index in range(count):
        context.bus.add(f"d{index:02d}", context.membership, [service])


@given("a bus of {count:d} daemons that know only a seed that is gone")
def make_lost_bus(context, count):
    context.bus = ControlBus(3)
    settings = attrs.evolve(SETTINGS, seeds=("gone.test:7003",))
    for index in range(count):
        context.bus.add(f"d{index:03d}", settings)


@given('{count:d} more daemons on the bus that serve "{service}" and want nothing')
def add_daemons(context, count, service):
    first = len(context.bus.nodes)
    for index in range(first, first + count):
        context.bus.add(f"d{index:02d}", context.membership, [service])


@given(
    "{loss:d} percent of the messages on the bus get lost and {doubled:d} percent twice"
)
def set_loss(context, loss, doubled):
    context.bus.rules.loss = loss / 100
    context.bus.rules.duplication = doubled / 100
    context.bus.rules.delay_ms = (0.5, 80.0)


def count_ages_from_arrival(self, daemon_id, heartbeat, made_at, version):
    self.last_heartbeats.pop(daemon_id, None)
    return RENEW(self, daemon_id, heartbeat, made_at, version)


RENEW = TargetLeases.renew
FAULTS = {
    "leases never end": [(TargetLeases, "lapse", lambda self, now: [])],
    "ages are not kept": [
        (TargetLeases, "renew", count_ages_from_arrival),
        (dissemination, "_age_units", lambda age: 0),
    ],
    "nobody asks others and nobody refutes": [
        (Prober, "request_indirect_probes", lambda self, now: []),
        (MembershipController, "_refute", lambda self, incarnation, state: []),
    ],
    "forgotten daemons leave no trace": [
        (MemberTable, "add_tombstone", lambda self, daemon_id, incarnation: None),
    ],
}


@given('the fault "{fault}" is planted in every daemon')
def plant_fault(context, fault):
    for owner, name, replacement in FAULTS[fault]:
        patch = mock.patch.object(owner, name, replacement)
        patch.start()
        context.add_cleanup(patch.stop)


@when("{seconds:d} seconds pass on the bus")
def pass_time(context, seconds):
    context.bus.run(timedelta(seconds=seconds))


@when("{seconds:d} seconds pass on the bus after the start is over")
def pass_time_after_start(context, seconds):
    context.lapses_before = count_lapses(context.bus.nodes.values())
    context.bus.run(timedelta(seconds=seconds))


def names(context, text):
    if text == "nobody":
        return []
    return list(context.bus.nodes) if text == "everybody" else text.split(",")


@when("messages from {senders} to {receivers} are cut")
def cut_links(context, senders, receivers):
    context.bus.rules.block(names(context, senders), names(context, receivers))
    context.lapses_before = count_lapses(context.bus.nodes.values())


@when("all cuts are mended")
def mend(context):
    context.bus.rules.blocked_links.clear()


@when("the bus is parted between {last} and {first}")
def part(context, last, first):
    everybody = sorted(context.bus.nodes)
    left = everybody[: everybody.index(first)]
    right = everybody[everybody.index(first) :]
    assert left[-1] == last
    context.bus.rules.block(left, right)
    context.bus.rules.block(right, left)


@when("daemon {daemon_id} ends without a word")
def end_daemon(context, daemon_id):
    context.bus.stop(daemon_id)


@when("daemon {daemon_id} starts on the bus knowing only {seed}")
def start_daemon(context, daemon_id, seed):
    settings = attrs.evolve(context.membership, seeds=(f"{seed}.test:7003",))
    context.bus.add(daemon_id, settings, ["contracts"])


@when("daemon {daemon_id} starts again with a wall clock {seconds:d} seconds behind")
def restart_daemon(context, daemon_id, seconds):
    skew = timedelta(seconds=-seconds)
    settings = context.membership
    context.bus.add(daemon_id, settings, ["contracts"], clock_skew=skew)


@when("the log of the bus goes away")
def lose_log(context):
    context.bus.log_unavailable = True


@when("daemon {daemon_id} hears that {other} is suspect")
def hear_suspicion(context, daemon_id, other):
    node = context.bus.nodes[daemon_id]
    member = node.blackboard.members[other]
    context.incarnation = member.incarnation
    suspect = attrs.evolve(member, state=MemberState.SUSPECT)
    updates = MemberUpdates(changes=(MemberChange.from_member(suspect),))
    hear(context, daemon_id, Ping(1, SEEDS[0], updates))


@when("daemon {daemon_id} hears the old entry of {other}")
def hear_old_entry(context, daemon_id, other):
    old = context.bus.nodes[other].blackboard.this_member
    updates = MemberUpdates(entries=(MemberEntry.from_member(old),))
    hear(context, daemon_id, Ping(1, SEEDS[0], updates))


def hear(context, daemon_id, message):
    event = PeerMessageReceived("d01", message)
    context.bus.dispatch(context.bus.nodes[daemon_id], event)


@when('daemon {daemon_id} begins to want "{service}"')
def want_service(context, daemon_id, service):
    context.bus.nodes[daemon_id].blackboard.requested_services.add(service)


@when("the backend server beside {daemon_id} leaves")
def leave(context, daemon_id):
    node = context.bus.nodes[daemon_id]
    for target_id in list(node.announced_targets):
        del node.announced_targets[target_id]
        context.bus.dispatch(node, TargetWithdrawn(target_id))


@when("the update of {daemon_id} is kept back")
def keep_update(context, daemon_id):
    context.kept = next(
        effect.message
        for _, effect in reversed(context.sent)
        if isinstance(effect.message, TargetsUpdate)
        and effect.message.daemon_id == daemon_id
    )


@when("the update that was kept back reaches {daemon_id}")
def deliver_update(context, daemon_id):
    hear(context, daemon_id, context.kept)


@when("daemon {daemon_id} hears ages and states that can't be")
def hear_nonsense(context, daemon_id):
    reference = member_reference("d03")
    far = 2**62
    target = TargetEntry("contracts/d03.test:9", 4, 99, 1)
    change = MemberChange("d03", far, 99)
    entry = MemberEntry("d99", 1, 99, "d99.test:7003", "d99.test:7002", "bole")
    for message in (
        Digest(0, (reference, far, far, 1)),
        Digest(0, (reference, far, -far, 1, 7)),
        Digest(far, (reference,)),
        TargetsUpdate("d03", "bole", far, far, 1, ("contracts",), ()),
        TargetsUpdate("d03", "bole", far, 0, 1, ("contracts",), (target,)),
        Ping(1, SEEDS[0], MemberUpdates((entry,), (change,))),
    ):
        hear(context, daemon_id, message)


def running(context):
    return [node for node in context.bus.nodes.values() if node.running]


def count_alive(node):
    members = node.blackboard.members.values()
    return sum(member.state is MemberState.ALIVE for member in members)


@then("every running daemon knows {count:d} alive daemons")
def check_alive(context, count):
    found = {node.daemon_id: count_alive(node) for node in running(context)}
    assert set(found.values()) == {count}, found


@then("daemon {daemon_id} knows {count:d} alive daemons")
def check_alive_at(context, daemon_id, count):
    assert count_alive(context.bus.nodes[daemon_id]) == count


def deaths(nodes):
    return [
        (node.daemon_id, event.fields["member"])
        for node in nodes
        for event in node.events
        if event.kind == "member-state" and event.fields["state"] == "dead"
    ]


@then("no daemon was ever found dead")
def check_no_death(context):
    found = deaths(context.bus.nodes.values())
    assert not found, found


@then("a healthy daemon was found dead")
def check_death(context):
    assert deaths(context.bus.nodes.values())


@then("a running daemon remembers {daemon_id}")
def check_remembered(context, daemon_id):
    nodes = running(context)
    assert any(daemon_id in node.blackboard.members for node in nodes)


@then("daemon {daemon_id} has found nobody dead")
def check_no_death_at(context, daemon_id):
    found = deaths([context.bus.nodes[daemon_id]])
    assert not found, found


@then('every running daemon holds {daemon_id} for "{state}"')
def check_state(context, daemon_id, state):
    check_states(running(context), daemon_id, state)


@then('every daemon but {exception} holds {daemon_id} for "{state}"')
def check_state_elsewhere(context, exception, daemon_id, state):
    nodes = [node for node in running(context) if node.daemon_id != exception]
    check_states(nodes, daemon_id, state)


def check_states(nodes, daemon_id, state):
    found = {
        node.daemon_id: node.blackboard.members[daemon_id].state.value for node in nodes
    }
    assert set(found.values()) == {state}, found


@then("the incarnation of {daemon_id} has risen")
def check_incarnation(context, daemon_id):
    for node in running(context):
        found = node.blackboard.members[daemon_id].incarnation
        assert found > context.incarnation, (node.daemon_id, found)


@then("no running daemon remembers {daemon_id}")
def check_forgotten(context, daemon_id):
    found = [
        node.daemon_id
        for node in running(context)
        if daemon_id in node.blackboard.members
    ]
    assert not found, found


@then("the log of the bus holds at most {count:d} records of members")
def check_log(context, count):
    assert 0 < len(context.bus.log) <= count, len(context.bus.log)


@then("no message on the bus was larger than {limit:d} bytes")
def check_sizes(context, limit):
    sizes = [len(encode_message(effect.message)) for _, effect in context.sent]
    assert 0 < max(sizes) <= limit, max(sizes)


@then('daemon {daemon_id} uses {count:d} targets of "{service}"')
def check_targets(context, daemon_id, count, service):
    board = context.bus.nodes[daemon_id].blackboard
    found = [
        target.target_id
        for target in board.targets_of(service)
        if target.state is TargetState.SERVING
    ]
    assert len(found) == count, found


@then('no target of "{service}" was ever sent to {daemon_id}')
def check_not_sent(context, service, daemon_id):
    address = context.bus.nodes[daemon_id].address
    updates = [
        effect.message
        for _, effect in context.sent
        if effect.address == address and isinstance(effect.message, TargetsUpdate)
    ]
    assert updates
    services = {entry.service for update in updates for entry in update.targets}
    assert service not in services, services


def users_of_target(context, daemon_id):
    users = []
    for node in running(context):
        target = node.blackboard.targets.get(f"contracts/{daemon_id}.test:8000")
        if target is not None and target.state is TargetState.SERVING:
            users.append(node.daemon_id)
    return users


@then("no daemon of the bus sends new work to the target beside {daemon_id}")
def check_unused(context, daemon_id):
    found = users_of_target(context, daemon_id)
    assert not found, found


@then("a daemon of the bus still sends new work to the target beside {daemon_id}")
def check_still_used(context, daemon_id):
    assert users_of_target(context, daemon_id)


def count_lapses(nodes):
    return {
        node.daemon_id: sum(event.kind == "targets-lapsed" for event in node.events)
        for node in nodes
    }


@then("no lease has lapsed at {daemon_id} since the cut")
def check_lapses_at(context, daemon_id):
    now = count_lapses(context.bus.nodes.values())
    assert now[daemon_id] == context.lapses_before[daemon_id], now


@then("no lease has lapsed anywhere since the start was over")
def check_lapses(context):
    now = count_lapses(context.bus.nodes.values())
    assert now == context.lapses_before, now
