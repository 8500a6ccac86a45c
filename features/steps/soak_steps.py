"""Steps for the soak test on the platform."""

import asyncio
import logging
import random
from datetime import timedelta
from unittest import mock

import detangle
from behave import given, then, when
from benchmarks.platform_soak import SoakSize, run_soak
from benchmarks.soak.callers import CallerGroup
from benchmarks.soak.fleet import SERVICE, SoakDaemon, SoakFleet
from benchmarks.table_soak import run_table_soak

from wagtailstep.controllers import (
    candidates,
    dissemination,
    suspects,
    target_judge,
)
from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.published_table import PublishedTableController
from wagtailstep.controllers.retries import RetryPolicy
from wagtailstep.controllers.suspects import CrashSuspects, Suspect
from wagtailstep.controllers.table_freshness import TableFreshness
from wagtailstep.fakes.faults import Faults
from wagtailstep.models.server_notices import ServerNotices
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.suspects import ServerCrashed
from wagtailstep.network import server_notices
from wagtailstep.network.http_client import HttpClient
from wagtailstep.utils.clock import LoopClock

# A call that removes the daemon from the registry follows its last request.
EXIT_CALLS_MS = 100


@given("a retry policy that also resends non-idempotent requests")
def disable_resend_check(context):
    patch = mock.patch.object(
        RetryPolicy, "try_acquire_retry", lambda *args: args[3] < 3
    )
    patch.start()
    context.add_cleanup(patch.stop)


@given("daemons that shut down without draining")
def disable_drain(context):
    patch = mock.patch.object(SoakDaemon, "shut_down", SoakDaemon.close)
    patch.start()
    context.add_cleanup(patch.stop)


@given("daemons that never read the table for want of fresh knowledge")
def trust_readers(context):
    patch = mock.patch.object(
        TableFreshness, "decide_reading", lambda self, behind: self.designated
    )
    patch.start()
    context.add_cleanup(patch.stop)


@given("daemons that exclude failing servers until their log odds decay")
def exclude_failing(context):
    for patch in (
        mock.patch.object(target_judge, "FAILING_HOLD", timedelta(days=1)),
        mock.patch.object(candidates, "MAX_PROBE_RATIO", candidates.MIN_PROBE_RATIO),
        mock.patch.object(dissemination, "limit_standing", lambda target: target),
    ):
        patch.start()
        context.add_cleanup(patch.stop)


@given("daemons that put any table in force")
def ignore_versions(context):
    patch = mock.patch.object(PublishedTableController, "version", -1)
    patch.start()
    context.add_cleanup(patch.stop)


@given("daemons that read no notices in responses")
def ignore_notices(context):
    patch = mock.patch.object(
        server_notices, "read_server_notices", lambda headers: ServerNotices()
    )
    patch.start()
    context.add_cleanup(patch.stop)


@given("daemons that acknowledge departures without a record")
def forget_departures(context):
    def settle(self, target_id):
        self.registrations.by_target[target_id].departure_settled = True
        return []

    patch = mock.patch.object(AnnouncementController, "_record_departure", settle)
    patch.start()
    context.add_cleanup(patch.stop)


@given("daemons that forget crashes")
def forget_crashes(context):
    patch = mock.patch.object(CrashSuspects, "handle", lambda self, event: [])
    patch.start()
    context.add_cleanup(patch.stop)


@given("daemons that block a request after one crash")
def block_at_once(context):
    for owner, name, value in (
        (suspects, "CRASHES_BEFORE_EXCLUSIVE", 0),
        (Suspect, "is_answered_since", lambda self, crash: False),
        (ServerCrashed, "was_exclusive", True),
    ):
        patch = mock.patch.object(owner, name, value)
        patch.start()
        context.add_cleanup(patch.stop)


@when(
    'a soak test of {hosts:d} hosts with the faults "{faults}" runs with seed {seed:d}'
)
def run_large_soak(context, hosts, faults, seed):
    # Few requests may be repeated, so few of them can try a server that failed.
    size = SoakSize(hosts, rate_per_s=120.0, fault_phase_s=14.0, unsafe_share=0.8)
    logging.disable(logging.CRITICAL)
    try:
        context.result = run_soak(seed, tuple(faults.split(", ")), size)
    finally:
        logging.disable(logging.NOTSET)


@when('a soak test with the faults "{names}" runs with seed {seed:d}')
def run_soak_with_faults(context, names, seed):
    logging.disable(logging.CRITICAL)
    try:
        context.result = run_soak(seed, tuple(names.split(", ")))
    finally:
        logging.disable(logging.NOTSET)


@when(
    'a table soak of {hosts:d} hosts with the fault "{fault}" runs with seed {seed:d}'
)
def run_table_soak_with_fault(context, hosts, fault, seed):
    logging.disable(logging.CRITICAL)
    try:
        context.result = run_table_soak(seed, fault, hosts)
    finally:
        logging.disable(logging.NOTSET)


@then("no version was in force too late, of at least {count:d} judged")
def check_delays(context, count):
    assert not context.result.violations, context.result.violations
    assert context.result.judged >= count, context.result.judged


@then("it finds no broken guarantee")
def check_no_violation(context):
    assert not context.result.violations, context.result.violations


@then("at least {count:d} requests succeeded")
def check_served(context, count):
    served = sum(outcome.status == 200 for outcome in context.result.outcomes)
    assert served >= count, served


@then('it finds a broken guarantee whose description contains "{text}"')
def check_violation(context, text):
    violations = context.result.violations
    assert any(text in violation for violation in violations), violations


@when("all {count:d} hosts of a fleet lose power and restart at the same time")
def set_host_count(context, count):
    context.count = count


@then("{time:d} ms later each daemon knows {targets:d} targets")
def check_known(context, time, targets):
    async def main():
        fleet = SoakFleet(context.count, random.Random(1))
        await fleet.start()
        await asyncio.sleep(6)
        for host in fleet.hosts:
            fleet.power_off(host)
        await asyncio.sleep(1)
        for host in fleet.hosts:
            await fleet.restore_power(host)
        await asyncio.sleep(time / 1_000)
        boards = [host.daemon.blackboard for host in fleet.hosts]
        context.known = [len(board.targets.of_service(SERVICE)) for board in boards]

    detangle.run(main, seed=1)
    assert context.known == [targets] * context.count, context.known


@when("a daemon that has issued a ticket is told to exit while a request hangs")
def exit_with_unused_ticket(context):
    measure_exit(context, Faults(hang_share=1.0))


@when("a daemon that has issued a ticket is told to exit")
def exit_with_ticket_only(context):
    measure_exit(context, None)


def measure_exit(context, faults):
    """Measure the shutdown of a daemon, in virtual time.

    :param faults: faults of the backend servers while a request is sent, or ``None``
        to send none.
    """

    async def main():
        fleet = SoakFleet(2, random.Random(1))
        await fleet.start()
        await asyncio.sleep(6)
        host = fleet.hosts[0]
        if faults is not None:
            for other in fleet.hosts:
                fleet.set_faults(other, faults)
            callers = CallerGroup(fleet, 1.0, random.Random(1))
            callers.client = HttpClient(RequestSettings(), LoopClock())
            detangle.spawn(callers.send_request("k1", host.name, True), host="callers")
            await asyncio.sleep(0.1)
        await host.daemon.entry.issue_ticket(SERVICE)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        exiting = detangle.spawn(host.daemon.shut_down(), host=host.name)
        await asyncio.wait({exiting})
        context.whole = exiting.result()
        context.exit_ms = (loop.time() - started_s) * 1_000

    detangle.run(main, seed=1)


@then("it has ended {limit:d} ms after that, with {cut} cut")
def check_exit(context, limit, cut):
    assert context.exit_ms <= limit + EXIT_CALLS_MS, context.exit_ms
    assert context.whole is (cut == "no request"), context.whole
