"""Steps for servers that are excluded for failures and should be used again."""

import random
import statistics

from behave import given, then, when

from standing_load import StandingLoad

CHANCE_FAILURES = 0.012
SERVERS = 69


@given(
    "{count:d} backend servers of 7 slots, and entries that learn a standing after "
    "{delay:d} s"
)
def configure_servers(context, count, delay):
    context.count, context.delay = count, delay
    context.conducts = []
    context.load_options = {}


@given(
    "{share:d} % of the servers fail {fails:d} % of their requests for {last:d} s "
    "every {every:d} s"
)
def fail_in_bursts(context, share, fails, last, every):
    start_s = 3.0

    def behave(load):
        phase_s = (load.now_s - start_s) % every
        if load.now_s >= start_s and phase_s < 0.1:
            for server in load.servers.values():
                fail = load.rng.random() * 100 < share
                server.fail_share = fails / 100 if fail else CHANCE_FAILURES
        elif phase_s >= last:
            for server in load.servers.values():
                server.fail_share = CHANCE_FAILURES

    context.conducts.append(lambda: behave)


@given(
    "{share:d} % of the servers fail {fails:d} % of their requests for {last:d} ms "
    "every {every:d} ms, each {step:d} ms after another"
)
def fail_one_after_another(context, share, fails, last, every, step):
    def create():
        failing = {}

        def behave(load):
            for index, server in enumerate(load.servers.values()):
                phase_s = (load.now_s - 3.0 + index * step / 1_000) % (every / 1_000)
                if load.now_s > 3.0 and phase_s < 0.1:
                    failing[server.name] = load.rng.random() * 100 < share
                fails_now = failing.get(server.name) and phase_s < last / 1_000
                server.fail_share = fails / 100 if fails_now else CHANCE_FAILURES

        return behave

    context.conducts.append(create)


@given(
    "{share:d} % of the servers fail {fails:d} % of their requests, others every "
    "{every:d} s"
)
def fail_in_turns(context, share, fails, every):
    def create():
        changes_at = {}
        return lambda load: change_in_turns(load, changes_at, share, fails, every)

    context.conducts.append(create)


def change_in_turns(load, changes_at, share, fails, every):
    for server in load.servers.values():
        if load.now_s < changes_at.get(server.name, 0.0):
            continue
        is_first = server.name not in changes_at
        low, high = (0.0, 1.0) if is_first else (0.5, 1.5)
        changes_at[server.name] = load.now_s + every * load.rng.uniform(low, high)
        fail = load.rng.random() * 100 < share
        server.fail_share = fails / 100 if fail else CHANCE_FAILURES


@given(
    "all but {count:d} servers are disturbed and spoil {share:d} % of their responses"
)
def disturb_servers(context, count, share):
    def behave(load):
        for server in list(load.servers.values())[count:]:
            server.disturbed.append(load.now_s)
            server.fail_share = max(server.fail_share, share / 100)

    context.conducts.append(lambda: behave)


@given("{share:d} % of the requests may be repeated, while {retries} left")
def limit_repeats(context, share, retries):
    context.load_options = {
        "idempotent_share": share / 100,
        "has_retries": retries == "retries are",
    }


@given("all servers fail {share:d} % of their requests")
def fail_everywhere(context, share):
    def behave(load):
        for server in load.servers.values():
            server.fail_share = share / 100

    context.conducts.append(lambda: behave)


@given("all servers decline {share:d} % of their requests for {last:d} s")
def decline_everywhere(context, share, last):
    def behave(load):
        for server in load.servers.values():
            declines = 8.0 < load.now_s < 8.0 + last
            server.decline_share = share / 100 if declines else 0.0

    context.conducts.append(lambda: behave)


@given("{share:d} % of the servers fail for {last:d} s and return cold")
def return_cold(context, share, last):
    def behave(load):
        for index, server in enumerate(load.servers.values()):
            if index * 100 < share * len(load.servers):
                fails = 8.0 < load.now_s < 8.0 + last
                server.fail_share = 0.95 if fails else CHANCE_FAILURES
                server.cold_until_s = 8.0 + last + 3.0

    context.conducts.append(lambda: behave)


@when(
    "{rate:d} requests a second are sent for {last:d} s with seeds {first:d} to "
    "{final:d}"
)
def send_load(context, rate, last, first, final):
    context.loads = []
    for seed in range(first, final + 1):
        conducts = [create() for create in context.conducts]

        def behave(load, conducts=conducts):
            for conduct in conducts:
                conduct(load)

        load = StandingLoad(
            context.count, rate, behave, seed, context.delay, **context.load_options
        )
        context.loads.append(load.run(last))


def draw_day(seed):
    """Return the behaviour and the load of a random day like that of issue 44."""
    rng = random.Random(seed)
    decline_share = rng.choice([0, 0.3, 0.55, 0.7])
    declines_from_s, declines_for_s = rng.uniform(3, 10), rng.uniform(2, 9)
    failing_share, fail_share = (
        rng.choice([0.1, 0.2, 0.3, 0.5]),
        rng.choice([0.3, 0.6, 0.85]),
    )
    burst_s, every_s = rng.uniform(0.8, 4), rng.uniform(3, 9)
    undisturbed, spoiled = rng.choice([9, 17, 25, 40]), rng.choice([0, 0.05, 0.18])
    options = {
        "idempotent_share": rng.choice([0, 0.1, 0.3]),
        "has_retries": rng.random() < 0.6,
    }
    rate, delay_s = rng.choice([120, 200, 260]), rng.choice([1.0, 2.0, 3.0])
    offset_s = 0.137 * every_s if seed % 2 else 0.0
    failing = {}

    def behave(load):
        now_s = load.now_s
        declines = any(
            start_s < now_s < start_s + declines_for_s
            for start_s in (declines_from_s, declines_from_s + 14)
        )
        for index, server in enumerate(load.servers.values()):
            server.decline_share = decline_share if declines else 0.0
            phase_s = (now_s - 3 + index * offset_s) % every_s
            if now_s > 3 and phase_s < 0.1:
                failing[server.name] = load.rng.random() < failing_share
            fails = failing.get(server.name) and phase_s < burst_s
            server.fail_share = fail_share if fails else CHANCE_FAILURES
            if index >= undisturbed:
                server.disturbed.append(now_s)
                server.fail_share = max(server.fail_share, spoiled)

    return StandingLoad(SERVERS, rate, behave, seed, delay_s, **options)


@when("a day drawn by seed {seed:d} is played for {last:d} s")
def play_drawn_day(context, seed, last):
    context.loads = [draw_day(seed).run(last)]


@then("at least 70 % of the sound servers get requests while 10 to 50 % of all fail")
def check_floor(context):
    for load in context.loads:
        judged, low = load.judge_windows()
        assert judged
        assert not low, f"{len(low)} of {len(judged)} windows: {low[:5]}"


@then(
    "at least {share:g} % of the requests are served, with a tolerance of {tolerance:g}"
)
def check_served(context, share, tolerance):
    shares = [load.compute_served_share() for load in context.loads]
    assert statistics.mean(shares) * 100 >= share - tolerance, shares
