"""Steps for the adapter to the platform."""

import asyncio
import functools
import json
import pathlib
import random
import re
from datetime import timedelta

import detangle
import msgspec
from behave import given, then, when
from benchmarks.soak.fleet import SoakFleet
from benchmarks.soak.tables import list_registered
from hypothesis import HealthCheck, strategies
from hypothesis import given as property_given
from hypothesis import settings as hypothesis_settings

from wagtailstep.commands.read_settings import structure_settings
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.controllers.table_freshness import READERS_PER_ZONE, TableFreshness
from wagtailstep.exceptions import (
    AppendUnknownError,
    BadRequestError,
    DecodeError,
    LogError,
    SettingsError,
    UnreadableRouteError,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import StoreEraRead
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.fleet import Member
from wagtailstep.models.keyed_store import Collection, KeyedRecords
from wagtailstep.models.log import NullLogService
from wagtailstep.models.published_table import (
    TableDocument,
    TablePublished,
    TableReadConfirmed,
)
from wagtailstep.models.settings import (
    DaemonSettings,
    MembershipSettings,
    TableSettings,
)
from wagtailstep.models.status import describe_status
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.daemon import build_local_member
from wagtailstep.network.interpret import find_route
from wagtailstep.network.runtime import Runtime, RuntimeAdapters
from wagtailstep.network.table_follower import TableFollower
from wagtailstep.platform.configuration import build_table, find_document
from wagtailstep.platform.heartbeats import HeartbeatHandler
from wagtailstep.platform.settings import PlatformSettings, StoreSettings
from wagtailstep.platform.stand_in import StandInStore
from wagtailstep.platform.store import PlatformStore
from wagtailstep.utils.clock import LoopClock, ManualClock

CONFIGURATION = (
    '{"version":"r7","routes":{"columns":["name","host","path-prefix","kind","timeout",'
    '"aim","priority","service","max-attempts","traffic-split"],"rows":[["r-hh2b9wu",'
    '"ficu95.example","/pufi791/","unsafe","3000ms","800ms",1,"huvo11a",2,null],'
    '["r-zji9n73","ficu95.example","/lohu930/","safe","4000ms","800ms",2,null,2,'
    '[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]]]},'
    '"services":{"columns":["name"],"rows":[["huvo11a"]]},"limits":{"max-body-bytes":67108864,'
    '"max-header-bytes":16384,"header-timeout":"10s","idle-timeout":"90000ms"}}'
)
SETTINGS = DaemonSettings(
    "d1", "bole", "10.1.0.38:1", "10.1.0.38:2", "10.1.0.38:3", "10.1.0.38:4"
)
OTHER_STORE = "other-store:8142"
STORE = "store:8142"
NODE = {
    "node-name": "sidecar-bole-1",
    "ip": "10.1.0.38",
    "zone": "bole",
    "service": "huvo11a",
    "listen-addrs": {
        "inbound": "10.1.0.38:8146",
        "outbound": "10.1.0.38:8147",
        "ready": "10.1.0.38:8141",
        "control": "10.1.0.38:8144",
    },
    "internal-ports": [7380, 7395],
    "bounds": {"budget-slack": 60, "retry-budget-ratio": 0.2},
    "platform": {"address": "10.200.1.7:8142"},
}


def build_configuration(version):
    return CONFIGURATION.replace('"r7"', f'"r{version}"').encode()


@given("the platform's example configuration")
def set_configuration(context):
    context.document = TableDocument(7, CONFIGURATION.encode())
    context.routes = {r.name: r for r in build_table(context.document).host_routes}


@then("its version is {version:d}")
def check_version(context, version):
    assert build_table(context.document).version == version


@then("it allows request bodies of {size:d} bytes")
def check_limit(context, size):
    assert build_table(context.document).max_body_bytes == size


@given("the platform's example configuration without {text}")
def shorten_configuration(context, text):
    assert text in CONFIGURATION
    context.document = TableDocument(7, CONFIGURATION.replace(text, "").encode())


@then("callers have {head_ms:d} ms for a head and {idle_ms:d} ms between requests")
def check_connection_limits(context, head_ms, idle_ms):
    limits = build_table(context.document).connection_limits
    assert limits.head_timeout == timedelta(milliseconds=head_ms), limits
    assert limits.idle_timeout == timedelta(milliseconds=idle_ms), limits


@then(
    'route "{name}" is "{kind}" with timeout {timeout:d} ms, aim {aim:d} ms and '
    "{attempts:d} attempts"
)
def check_route(context, name, kind, timeout, aim, attempts):
    route = context.routes[name]
    assert route.kind.value == kind
    assert route.timeout == timedelta(milliseconds=timeout)
    assert route.aim == timedelta(milliseconds=aim)
    assert route.max_attempts == attempts


@then('route "{name}" is split "{parts}"')
def check_split(context, name, parts):
    found = [f"{p.service}*{p.weight:g}" for p in context.routes[name].parts]
    assert " ".join(found) == parts, found


@given("the platform's example configuration with {old} in place of {new}")
def corrupt_configuration(context, old, new):
    assert new in CONFIGURATION
    context.corrupt_data = CONFIGURATION.replace(new, old, 1).encode()


def is_readable(data):
    """Return whether a configuration can be read."""
    try:
        version = msgspec.json.decode(data)["version"]
        number = int(str(version).strip("r"))
    except (msgspec.MsgspecError, LookupError, TypeError, ValueError):
        number = 1
    try:
        build_table(TableDocument(number, data))
    except DecodeError:
        return False
    return True


@then("it can't be read")
def check_unreadable(context):
    try:
        document = find_document(KeyedRecords({"config": context.corrupt_data}, 1))
    except DecodeError:
        return
    assert not is_readable(document.data)


def build_changed_table(context):
    document = find_document(KeyedRecords({"config": context.corrupt_data}, 1))
    return build_table(document)


@then('it is in force, and path "{path}" selects route "{name}"')
def check_in_force(context, path, name):
    table = build_changed_table(context)
    assert table.host_routes.find("ficu95.example", path).name == name


@then('requests of path "{path}" are rejected as not run with status {status:d}')
def check_unreadable_route(context, path, status):
    incoming = IncomingRequest("POST", path, (("host", "ficu95.example"),), None)
    try:
        find_route(incoming, build_changed_table(context))
    except UnreadableRouteError as error:
        assert (error.status, error.verdict) == (status, Verdict.NOT_RUN), error
        assert error.retry_after is not None
    else:
        raise AssertionError(f"{path} has a route")


@then("its status counts {count:d} unreadable route")
def check_unreadable_count(context, count):
    board = Blackboard(build_local_member(SETTINGS, ManualClock()))
    board.table = build_changed_table(context)
    assert describe_status(board).unreadable_routes == count


@then(
    'route "{name}" has the kind "{kind}", {idempotent} idempotent and is sent to at '
    "most {attempts:d}"
)
def check_kind(context, name, kind, idempotent, attempts):
    routes = {each.name: each for each in build_changed_table(context).host_routes}
    route = routes[name]
    assert route.kind.value == kind, route
    assert route.kind.idempotent == (idempotent == "is"), route
    assert route.max_attempts == attempts, route


def json_values():
    scalars = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(max_size=8),
    )
    return strategies.recursive(
        scalars,
        lambda children: strategies.one_of(
            strategies.lists(children, max_size=4),
            strategies.dictionaries(strategies.text(max_size=8), children, max_size=4),
        ),
        max_leaves=12,
    )


def run_property_check(count, strategy, check):
    configured = hypothesis_settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    configured(property_given(strategy)(check))()


@then("each of {count:d} random configurations is either read or refused")
def check_random_configurations(context, count):
    example = json.loads(CONFIGURATION)

    def check(row, columns):
        changed = {
            **example,
            "routes": {"columns": columns, "rows": [row]},
        }
        is_readable(json.dumps(changed).encode())

    columns = strategies.one_of(
        strategies.just(example["routes"]["columns"]),
        strategies.lists(strategies.text(max_size=6), max_size=10),
    )
    run_property_check(
        count,
        strategies.tuples(strategies.lists(json_values(), max_size=12), columns),
        lambda pair: check(*pair),
    )


def read_heartbeat(body):
    """Return the announcement of a heartbeat, or ``None``."""
    routes = HeartbeatHandler(lambda event: None, SETTINGS, LoopClock())
    try:
        return routes.parse_heartbeat("i-1", body)
    except (msgspec.MsgspecError, BadRequestError, DecodeError):
        return None


@then("each of {count:d} random heartbeats is either read or refused")
def check_random_heartbeats(context, count):
    names = ["service", "address", "zone", "version", "slots", "state"]
    names += ["warmup-left", "sequence", "born"]
    heartbeats = strategies.one_of(
        strategies.dictionaries(strategies.sampled_from(names), json_values()),
        json_values(),
    )
    run_property_check(
        count,
        heartbeats,
        lambda heartbeat: read_heartbeat(json.dumps(heartbeat).encode()),
    )


@given("the platform's store with version {version:d}")
def set_store(context, version):
    context.first_version = version


async def start_store(context):
    """Start the store's test double and return it with a client."""
    store = StandInStore()
    store.put("keyed.op", "config", build_configuration(context.first_version))
    detangle.spawn(store.start(STORE), host="store")
    await asyncio.sleep(0.1)
    return store, PlatformStore(StoreSettings(STORE, 1_000), LoopClock())


def follow_table(context, change_store, count=1):
    """Follow the table with daemons of one zone while a coroutine changes the store."""
    context.received_versions = []
    context.eras = []

    async def main():
        loop = asyncio.get_running_loop()
        store, client = await start_store(context)
        clock = LoopClock()
        freshness = [
            TableFreshness(
                TableSettings(),
                Blackboard(Member("d", 1, "", "", "bole")),
                clock,
                random.Random(i),
            )
            for i in range(count)
        ]

        def record(index, event):
            if isinstance(event, StoreEraRead):
                context.eras.append(event.era)
            elif isinstance(event, TablePublished):
                received = (loop.time(), event.document.version)
                context.received_versions.append(received)
            elif isinstance(event, TableReadConfirmed):
                freshness[index].raise_known_at(event.confirmed_at)
                for other in freshness:
                    other.confirm_age(freshness[index].measure_age_ms())

        followers = [
            TableFollower(
                client,
                find_document,
                freshness[index].choose_wait,
                clock,
                functools.partial(record, index),
                lambda reachable: None,
                random.Random(index),
            )
            for index in range(count)
        ]
        tasks = [asyncio.create_task(each.run()) for each in followers]
        context.client = client
        await change_store(store)
        for task in tasks:
            task.cancel()
        context.calls = store.calls

    detangle.run(main, seed=1)


@when(
    "one of the followers in a fleet of {daemons:d} daemons in {zones:d} zones waits "
    "{seconds:d} s"
)
def follow_unchanged_table(context, daemons, zones, seconds):
    async def change_store(store):
        await asyncio.sleep(seconds)

    # Those of one zone hear of each other's reads.
    follow_table(context, change_store, READERS_PER_ZONE)
    followers = min(daemons, zones * READERS_PER_ZONE)
    calls = len(context.calls) / READERS_PER_ZONE
    context.calls_per_s = followers * calls / seconds


@when(
    'a daemon follows the table through {seconds:d} s of "lost reads" and version '
    "{version:d} is published {pause:d} s later"
)
def lose_waiting_reads(context, seconds, version, pause):
    async def change_store(store):
        await asyncio.sleep(1)
        store.faults.silent = True
        await asyncio.sleep(seconds)
        store.faults.silent = False
        # Reads that arrived before never get a response.
        await asyncio.sleep(pause)
        store.put("keyed.op", "config", build_configuration(version))
        context.changed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(30)

    follow_table(context, change_store)


@when(
    "a daemon follows the table, its settings name another address of the store, and "
    "the old one {ends}"
)
def move_store(context, ends):
    async def change_store(store):
        await asyncio.sleep(1)
        other = StandInStore()
        other.topics = store.topics
        detangle.spawn(other.start(OTHER_STORE), host="other-store")
        await asyncio.sleep(0.1)
        context.client.apply_settings(StoreSettings(OTHER_STORE, 1_000))
        store.faults.silent = ends == "goes silent"
        store.faults.status = 503 if ends == "refuses calls" else 0
        await asyncio.sleep(1)
        other.put("keyed.op", "config", build_configuration(9))
        context.changed_at = asyncio.get_running_loop().time()
        calls = len(store.calls)
        await asyncio.sleep(5)
        assert len(store.calls) == calls, "the old address was called"

    follow_table(context, change_store)


@then("all of them make at most {limit:g} calls a second")
def check_call_rate(context, limit):
    assert context.calls_per_s <= limit, context.calls_per_s


@when(
    "a daemon follows the table and version {version:d} is published after "
    "{seconds:d} s"
)
def publish_version(context, version, seconds):
    async def change_store(store):
        await asyncio.sleep(seconds)
        store.put("keyed.op", "config", build_configuration(version))
        context.changed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1)

    follow_table(context, change_store)


@when(
    "a daemon follows the table and the history of version {version:d} is lost after "
    "{seconds:d} s"
)
def lose_history(context, version, seconds):
    async def change_store(store):
        await asyncio.sleep(seconds)
        store.faults.status = 503
        await asyncio.sleep(11)
        store.put("keyed.op", "config", build_configuration(version))
        store.get_topic("keyed.op").compact()
        store.faults.status = 0
        await asyncio.sleep(5)

    follow_table(context, change_store)


@when(
    'a daemon follows the table through {seconds:d} s of "{fault}" and version '
    "{version:d} is published meanwhile"
)
def follow_through_fault(context, seconds, fault, version):
    async def change_store(store):
        await asyncio.sleep(1)
        store.faults.status = 503 if fault == "busy" else 0
        store.faults.silent = fault == "silent"
        store.faults.truncated_answers = fault == "garbled"
        await asyncio.sleep(seconds / 2)
        store.put("keyed.op", "config", build_configuration(version))
        await asyncio.sleep(seconds / 2)
        store.faults.status, store.faults.silent = 0, False
        store.faults.truncated_answers = False
        context.changed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(15)

    follow_table(context, change_store)


@when(
    "a daemon follows the table, the store loses version {version:d} in {fault} and "
    "gets {records} again"
)
def lose_recent_writes(context, version, fault, records):
    async def change_store(store):
        await asyncio.sleep(1)
        store.back_up()
        store.put("keyed.op", "config", build_configuration(version))
        await asyncio.sleep(3)
        store.faults.status = 503 if fault == "an outage" else 0
        await asyncio.sleep(0.5)
        store.restore()
        for record in records.split(", "):
            if record == "other":
                store.put("keyed.op", "other", b"x")
            elif record != "nothing":
                store.put("keyed.op", "config", build_configuration(record))
        store.faults.status = 0
        context.changed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5)

    follow_table(context, change_store)


@then("the last version was received within {limit:d} ms")
def check_last_received_soon(context, limit):
    check_received_soon(context, context.received_versions[-1][1], limit)


@then("it learned of {count:d} restored copy")
def check_restored_copies(context, count):
    assert len(context.eras) == 1 + count, context.eras
    assert context.eras == sorted(set(context.eras))


@given(
    "{count:d} registered daemons of which {late:d} registered after the store was "
    "copied"
)
def set_registered_daemons(context, count, late):
    context.daemon_count, context.late_count = count, late


def create_membership(index, store, clock):
    """Return a runtime of the membership controller, without a working channel."""
    address = f"10.0.0.{index}:7"
    settings = DaemonSettings(
        f"d{index}",
        "bole",
        *["10.0.0.1:1", "10.0.0.1:2", address, "10.0.0.1:4"],
        membership=MembershipSettings(member_source="registry"),
    )
    board = Blackboard(build_local_member(settings, clock))
    parts = (settings, board, clock, random.Random(index))
    adapters = RuntimeAdapters(NullLogService(), MuteChannel(), None, store)
    runtime = Runtime(*parts, adapters)
    runtime.controllers = (MembershipController(*parts),)
    return runtime


class MuteChannel:
    async def start(self, deliver):
        pass

    def send(self, address, message, urgent=False):
        pass

    async def close(self):
        pass


@when("the store is restored from its copy")
def restore_registrations(context):
    async def main():
        loop = asyncio.get_running_loop()
        clock = LoopClock()
        store, client = await start_store(context)
        runtimes = [
            create_membership(index, client, clock)
            for index in range(context.daemon_count)
        ]
        for index, runtime in enumerate(runtimes):
            if index == context.daemon_count - context.late_count:
                await asyncio.sleep(1)
                store.back_up()
            await runtime.start()
        await asyncio.sleep(1)
        for runtime in runtimes:
            for other in runtimes:
                member = other.blackboard.this_member
                runtime.blackboard.members[member.daemon_id] = member
            runtime.blackboard.store_era = store.era
        await asyncio.sleep(0.5)
        store.restore()
        context.writes = []
        store.on_append = lambda: context.writes.append(loop.time())
        for runtime in runtimes:
            runtime.blackboard.store_era = store.era
        await asyncio.sleep(5)
        records = await client.read_newest(Collection.MEMBERS)
        context.registered = set(records.values)
        await asyncio.gather(*(runtime.close() for runtime in runtimes))

    context.first_version = 7
    detangle.run(main, seed=1)


@then("all {count:d} daemons are registered again within 5 s")
def check_registered(context, count):
    assert context.registered == {f"d{index}" for index in range(count)}


@then("at most {limit:d} records were written in any second")
def check_write_rate(context, limit):
    assert len(context.writes) == context.daemon_count, len(context.writes)
    for start in context.writes:
        within = [at for at in context.writes if start <= at < start + 1]
        assert len(within) <= limit, len(within)


@then("it received the versions {versions}")
def check_received_versions(context, versions):
    found = []
    for _, version in context.received_versions:
        if version not in found:
            found.append(version)
    assert found == [int(word) for word in versions.split()], context.received_versions


@then("version {version:d} was received within {limit:d} ms")
def check_received_soon(context, version, limit):
    received_at = min(
        at for at, received in context.received_versions if received == version
    )
    assert (received_at - context.changed_at) * 1_000 <= limit, received_at


@then("version {version:d} was received within {limit:d} ms after the fault")
def check_received_after_fault(context, version, limit):
    check_received_soon(context, version, limit)


@then("the store was called {count:d} times")
def check_calls(context, count):
    assert len(context.calls) == count, context.calls


@when("{count:d} daemons register and list members at random times")
def register_all(context, count):
    context.known = {}

    async def join(store, name, rng):
        client = PlatformStore(StoreSettings(STORE, 1_000), LoopClock())
        await asyncio.sleep(rng.random() * 0.02)
        await client.put(Collection.MEMBERS, name, b"10.0.0.1:1")
        await asyncio.sleep(rng.random() * 0.02)
        records = await client.read_newest(Collection.MEMBERS)
        context.known[name] = set(records.values)

    async def main():
        store, _ = await start_store(context)
        rng = random.Random(1)
        await asyncio.gather(*(join(store, f"d{i}", rng) for i in range(count)))

    detangle.run(main, seed=1)


@then("of any two of them at least one knows the other")
def check_mutual_discovery(context):
    for first, seen_by_first in context.known.items():
        for second, seen_by_second in context.known.items():
            assert first == second or second in seen_by_first or first in seen_by_second


@when(
    "a daemon is restarted while the store applies its removal from the registry late"
)
def restart_beside_late_removal(context):
    async def main():
        fleet = SoakFleet(2, random.Random(1))
        await fleet.start()
        await asyncio.sleep(3)
        host = fleet.hosts[0]
        restarting = detangle.spawn(fleet.restart_daemon(host), host="operator")
        await asyncio.sleep(0.1)
        # The next append is the removal, which is also tried again.
        fleet.store.faults.late_appends = 2
        await asyncio.wait({restarting})
        fleet.store.faults.late_appends = 0
        await asyncio.sleep(10)
        context.registered = list_registered(fleet)
        context.host_name = host.name

    detangle.run(main, seed=1)


@then("it is registered 10 s after its start")
def check_registered(context):
    assert context.host_name in context.registered, context.registered


@when("the response to an append is lost")
def lose_response(context):
    async def main():
        store, client = await start_store(context)
        store.faults.lost_answers = 1
        try:
            await client.put(Collection.MEMBERS, "d1", b"10.0.0.1:1")
        except LogError as error:
            context.error = error

    detangle.run(main, seed=1)


@then("the append may have taken effect")
def check_unknown(context):
    assert isinstance(context.error, AppendUnknownError), context.error


@when("a heartbeat has the body {body}")
def send_heartbeat(context, body):
    context.announced = read_heartbeat(body.encode())


@then('it announces "{announced}"')
def check_announced(context, announced):
    event = context.announced
    found = "nothing"
    if event is not None:
        target = event.target
        host = target.dial_address.rpartition(":")[0]
        standing = target.standing.name.lower()
        found = f"{target.target_id} {target.state.value} {standing} {host}"
    assert found == announced, found


@given("the platform's example settings")
def set_node_settings(context):
    context.node = NODE


def get_setting(node, name):
    value = node
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


@when('the template "{path}" is rendered with them')
def render(context, path):
    def replace(match):
        name, _, output_format = match[1].partition("|")
        value = get_setting(context.node, name)
        return json.dumps(value) if output_format == "json" else str(value)

    text = pathlib.Path(path).read_text()
    context.rendered = json.loads(re.sub(r"\{\{([^}]+)\}\}", replace, text))


@then('the settings are those of daemon "{daemon_id}"')
def check_settings(context, daemon_id):
    settings = structure_settings(context.rendered, PlatformSettings, "rendered")
    assert settings.daemon.daemon_id == daemon_id


@given("the platform's example settings with the grace {grace}")
def prepare_grace(context, grace):
    given_grace = {} if grace == "nothing" else {"grace": grace}
    context.node = {**NODE, "bounds": {**NODE["bounds"], **given_grace}}


@then(
    "a shutdown ends {shutdown:d} ms after SIGTERM, and {notice:d} ms of that are its "
    "notice"
)
def check_shutdown(context, shutdown, notice):
    settings = structure_settings(context.rendered, PlatformSettings, "rendered")
    daemon = settings.build_daemon_settings()
    found = (daemon.shutdown_ms, daemon.shutdown_notice_ms)
    assert found == (shutdown, notice), found


@then('they are refused with a line that names "{name}"')
def check_refused_settings(context, name):
    try:
        settings = structure_settings(context.rendered, PlatformSettings, "rendered")
        settings.build_daemon_settings()
    except SettingsError as error:
        assert name in str(error) and "\n" not in str(error), error
    else:
        raise AssertionError("the settings were accepted")
