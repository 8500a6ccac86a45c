"""Steps that run the control plane of several daemons on a simulated bus."""

from datetime import timedelta
from unittest import mock

import attrs
from behave import given, then, when

from wagtailstep.controllers import digest_rows
from wagtailstep.controllers.member_table import MemberTable
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.controllers.probing import Prober
from wagtailstep.controllers.target_leases import TargetLeases
from wagtailstep.fakes.control_bus import ControlBus
from wagtailstep.models.events import (
    MembersListed,
    PeerMessageReceived,
    TargetWithdrawn,
)
from wagtailstep.models.fleet import MemberState, TargetStanding, TargetState
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
# A short retention, so that dead daemons expire within a scenario.
SETTINGS = MembershipSettings(seeds=SEEDS, dead_retention_s=120.0)


@given('a bus of {count:d} daemons that serve "{service}", with random seed {seed:d}')
def create_bus(context, count, service, seed):
    context.bus = ControlBus(seed)
    context.membership = SETTINGS
    context.sent = []
    deliver = context.bus.send

    def send(node, effect):
        context.sent.append((node.daemon_id, effect))
        deliver(node, effect)

    context.bus.send = send
    for index in range(count):
        context.bus.add(f"d{index:02d}", context.membership, [service])


@given("a bus of {count:d} daemons whose only seed does not answer")
def create_bus_without_seed(context, count):
    context.bus = ControlBus(3)
    settings = attrs.evolve(SETTINGS, seeds=("gone.test:7003",))
    for index in range(count):
        context.bus.add(f"d{index:03d}", settings)


@given(
    '{count:d} more daemons on the bus that serve "{service}" and request no service'
)
def add_daemons(context, count, service):
    first = len(context.bus.nodes)
    for index in range(first, first + count):
        context.bus.add(f"d{index:02d}", context.membership, [service])


@given(
    "{loss:d} percent of the messages on the bus are lost "
    "and {doubled:d} percent duplicated"
)
def configure_message_faults(context, loss, doubled):
    context.bus.rules.loss = loss / 100
    context.bus.rules.duplication = doubled / 100
    context.bus.rules.delay_ms = (0.5, 80.0)


def count_ages_from_arrival(self, daemon_id, *heartbeat):
    self.last_heartbeats.pop(daemon_id, None)
    return original_renew(self, daemon_id, *heartbeat)


original_renew = TargetLeases.renew
FAULTS = {
    "leases never end": [(TargetLeases, "lapse", lambda self, now: [])],
    "ages are not kept": [
        (TargetLeases, "renew", count_ages_from_arrival),
        (digest_rows, "count_age_units", lambda age: 0),
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
def advance_clock(context, seconds):
    context.bus.run(timedelta(seconds=seconds))


@when("{seconds:d} seconds pass on the bus after the start-up phase")
def advance_clock_after_start(context, seconds):
    context.earlier_lapses = count_lapses(context.bus.nodes.values())
    context.bus.run(timedelta(seconds=seconds))


def parse_daemon_ids(context, text):
    if text == "nobody":
        return []
    return list(context.bus.nodes) if text == "everybody" else text.split(",")


@when("messages from {senders} to {receivers} are dropped")
def drop_messages(context, senders, receivers):
    context.bus.rules.block(
        parse_daemon_ids(context, senders), parse_daemon_ids(context, receivers)
    )
    context.earlier_lapses = count_lapses(context.bus.nodes.values())


@when("all messages are delivered again")
def restore_links(context):
    context.bus.rules.blocked_links.clear()


@when("the bus is partitioned between {last} and {first}")
def partition_bus(context, last, first):
    everybody = sorted(context.bus.nodes)
    lower = everybody[: everybody.index(first)]
    upper = everybody[everybody.index(first) :]
    assert lower[-1] == last
    context.bus.rules.block(lower, upper)
    context.bus.rules.block(upper, lower)


@when("daemon {daemon_id} stops without notice")
def stop_daemon(context, daemon_id):
    context.bus.stop(daemon_id)


@when("daemon {daemon_id} starts on the bus with the only seed {seed}")
def start_daemon(context, daemon_id, seed):
    settings = attrs.evolve(context.membership, seeds=(f"{seed}.test:7003",))
    context.bus.add(daemon_id, settings, ["contracts"])


@when("daemon {daemon_id} starts again with a wall clock {seconds:d} seconds behind")
def restart_daemon(context, daemon_id, seconds):
    skew = timedelta(seconds=-seconds)
    settings = context.membership
    context.bus.add(daemon_id, settings, ["contracts"], clock_skew=skew)


@when("the log of the bus becomes unavailable")
def make_log_unavailable(context):
    context.bus.log_unavailable = True


@when("daemon {daemon_id} receives a message that {other} is suspect")
def receive_suspicion(context, daemon_id, other):
    node = context.bus.nodes[daemon_id]
    member = node.blackboard.members[other]
    context.incarnation = member.incarnation
    suspect = attrs.evolve(member, state=MemberState.SUSPECT)
    updates = MemberUpdates(changes=(MemberChange.from_member(suspect),))
    receive(context, daemon_id, Ping(1, SEEDS[0], updates))


@when("daemon {daemon_id} receives the old entry of {other}")
def receive_old_entry(context, daemon_id, other):
    old = context.bus.nodes[other].blackboard.this_member
    updates = MemberUpdates(entries=(MemberEntry.from_member(old),))
    receive(context, daemon_id, Ping(1, SEEDS[0], updates))


def receive(context, daemon_id, message):
    event = PeerMessageReceived("d01", message)
    context.bus.dispatch(context.bus.nodes[daemon_id], event)


@when('daemon {daemon_id} starts to request "{service}"')
def request_service(context, daemon_id, service):
    context.bus.nodes[daemon_id].blackboard.requested_services.add(service)


@when("the backend server beside {daemon_id} leaves")
def withdraw_targets(context, daemon_id):
    node = context.bus.nodes[daemon_id]
    for target_id in list(node.announced_targets):
        del node.announced_targets[target_id]
        context.bus.dispatch(node, TargetWithdrawn(target_id))


@when('the backend servers beside {daemon_ids} become "{standing}"')
def change_standing(context, daemon_ids, standing):
    for daemon_id in daemon_ids.split(","):
        node = context.bus.nodes[daemon_id]
        for target_id in node.blackboard.local_targets:
            target = node.blackboard.targets[target_id]
            changed = attrs.evolve(target, standing=TargetStanding[standing.upper()])
            node.blackboard.targets[target_id] = changed
    context.sent.clear()


@then('all daemons consider the servers beside {daemon_ids} "{standing}"')
def check_standing(context, daemon_ids, standing):
    check_standing_at(get_running_nodes(context), daemon_ids, standing)


@then('all other daemons consider the servers beside {daemon_ids} "{standing}"')
def check_standing_elsewhere(context, daemon_ids, standing):
    others = [
        node
        for node in get_running_nodes(context)
        if node.daemon_id not in daemon_ids.split(",")
    ]
    assert others
    check_standing_at(others, daemon_ids, standing)


def check_standing_at(nodes, daemon_ids, standing):
    for node in nodes:
        for target in node.blackboard.targets.values():
            if target.daemon_id in daemon_ids.split(","):
                found = target.standing.name.lower()
                assert found == standing, (node.daemon_id, target)


@then("{count:d} updates of targets were sent since")
def check_updates(context, count):
    updates = [
        (sender, effect.message)
        for sender, effect in context.sent
        if isinstance(effect.message, TargetsUpdate)
    ]
    assert len(updates) == count, (len(updates), updates[:3])


@when("the messages of {seconds:d} seconds are counted")
def count_messages(context, seconds):
    context.earlier_lapses = count_lapses(context.bus.nodes.values())
    context.sent.clear()
    context.bus.run(timedelta(seconds=seconds))
    context.counted_seconds = seconds


@then("a daemon sent at most {limit:d} messages a second on average")
def check_message_rate(context, limit):
    rate = len(context.sent) / len(context.bus.nodes) / context.counted_seconds
    assert rate <= limit, rate


@then("a daemon sent at most {limit:d} messages on average")
def check_message_count(context, limit):
    mean = len(context.sent) / len(context.bus.nodes)
    assert mean <= limit, mean


@then("it sent to at most {limit:d} others in that time on average")
def check_receivers(context, limit):
    pairs = {(sender, effect.address) for sender, effect in context.sent}
    assert len(pairs) / len(context.bus.nodes) <= limit, len(pairs)


@given("each daemon on the bus lists those that started before it")
def list_earlier_daemons(context):
    listed = {}
    for daemon_id, node in context.bus.nodes.items():
        listed[daemon_id] = node.address
        context.bus.dispatch(node, MembersListed(dict(listed)))


@when("the last update of {daemon_id} is delayed")
def delay_update(context, daemon_id):
    context.delayed_update = next(
        effect.message
        for _, effect in reversed(context.sent)
        if isinstance(effect.message, TargetsUpdate)
        and effect.message.daemon_id == daemon_id
    )


@when("the delayed update reaches {daemon_id}")
def deliver_delayed_update(context, daemon_id):
    receive(context, daemon_id, context.delayed_update)


@when("daemon {daemon_id} receives ages and states out of range")
def receive_out_of_range_values(context, daemon_id):
    reference = member_reference("d03")
    out_of_range = 2**62
    target = TargetEntry("contracts/d03.test:9", 4, 99, 1)
    change = MemberChange("d03", out_of_range, 99)
    entry = MemberEntry("d99", 1, 99, "d99.test:7003", "d99.test:7002", "bole")
    for message in (
        Digest(0, (reference, out_of_range, out_of_range, 1)),
        Digest(0, (reference, out_of_range, -out_of_range, 1, 7)),
        Digest(out_of_range, (reference,)),
        TargetsUpdate("d03", "bole", out_of_range, out_of_range, 1, ("contracts",), ()),
        TargetsUpdate("d03", "bole", out_of_range, 0, 1, ("contracts",), (target,)),
        Ping(1, SEEDS[0], MemberUpdates((entry,), (change,))),
    ):
        receive(context, daemon_id, message)


def get_running_nodes(context):
    return [node for node in context.bus.nodes.values() if node.running]


def count_alive(node):
    members = node.blackboard.members.values()
    return sum(member.state is MemberState.ALIVE for member in members)


@then("every running daemon knows {count:d} alive daemons")
def check_alive(context, count):
    found = {node.daemon_id: count_alive(node) for node in get_running_nodes(context)}
    assert set(found.values()) == {count}, found


@then("daemon {daemon_id} knows {count:d} alive daemons")
def check_alive_at(context, daemon_id, count):
    assert count_alive(context.bus.nodes[daemon_id]) == count


def list_deaths(nodes):
    return [
        (node.daemon_id, event.fields["member"])
        for node in nodes
        for event in node.events
        if event.kind == "member-state" and event.fields["state"] == "dead"
    ]


@then("no daemon was ever declared dead")
def check_no_death(context):
    found = list_deaths(context.bus.nodes.values())
    assert not found, found


@then("a healthy daemon was declared dead")
def check_death(context):
    assert list_deaths(context.bus.nodes.values())


@then("a running daemon has an entry of {daemon_id}")
def check_entry_exists(context, daemon_id):
    nodes = get_running_nodes(context)
    assert any(daemon_id in node.blackboard.members for node in nodes)


@then("daemon {daemon_id} has declared no daemon dead")
def check_no_death_at(context, daemon_id):
    found = list_deaths([context.bus.nodes[daemon_id]])
    assert not found, found


@then('every running daemon considers {daemon_id} "{state}"')
def check_state(context, daemon_id, state):
    check_states(get_running_nodes(context), daemon_id, state)


@then('every daemon except {exception} considers {daemon_id} "{state}"')
def check_state_elsewhere(context, exception, daemon_id, state):
    nodes = [node for node in get_running_nodes(context) if node.daemon_id != exception]
    check_states(nodes, daemon_id, state)


def check_states(nodes, daemon_id, state):
    found = {
        node.daemon_id: node.blackboard.members[daemon_id].state.value for node in nodes
    }
    assert set(found.values()) == {state}, found


@then("the incarnation of {daemon_id} has risen")
def check_incarnation(context, daemon_id):
    for node in get_running_nodes(context):
        found = node.blackboard.members[daemon_id].incarnation
        assert found > context.incarnation, (node.daemon_id, found)


@then("no running daemon has an entry of {daemon_id}")
def check_no_entry(context, daemon_id):
    found = [
        node.daemon_id
        for node in get_running_nodes(context)
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


def list_users_of_target(context, daemon_id):
    users = []
    for node in get_running_nodes(context):
        target = node.blackboard.targets.get(f"contracts/{daemon_id}.test:8000")
        if target is not None and target.state is TargetState.SERVING:
            users.append(node.daemon_id)
    return users


@then("no daemon of the bus sends new requests to the target beside {daemon_id}")
def check_unused(context, daemon_id):
    found = list_users_of_target(context, daemon_id)
    assert not found, found


@then("a daemon of the bus still sends new requests to the target beside {daemon_id}")
def check_still_used(context, daemon_id):
    assert list_users_of_target(context, daemon_id)


def count_lapses(nodes):
    return {
        node.daemon_id: sum(event.kind == "targets-lapsed" for event in node.events)
        for node in nodes
    }


@then("no lease has lapsed at {daemon_id} since messages are dropped")
def check_lapses_at(context, daemon_id):
    lapses = count_lapses(context.bus.nodes.values())
    assert lapses[daemon_id] == context.earlier_lapses[daemon_id], lapses


@then("no lease has lapsed anywhere since the start-up phase")
def check_lapses(context):
    lapses = count_lapses(context.bus.nodes.values())
    assert lapses == context.earlier_lapses, lapses
