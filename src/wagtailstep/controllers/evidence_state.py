"""What one daemon knows about targets from outcomes, and how it is counted."""

import functools
from datetime import timedelta

import attrs

from wagtailstep.controllers.latency_reference import LatencyReference
from wagtailstep.controllers.sequential_test import (
    Hypotheses,
    Rates,
    SequentialTest,
    TestLimits,
)
from wagtailstep.models.evidence import STALL_ROUTE, Symptom

# Most that one slot of time may add to a sum, in nats.
SLOT_CAP = {
    Symptom.FAILING: 8.0,
    Symptom.SLOW: 2.0,
    Symptom.HANGING: 8.0,
    Symptom.UNREACHABLE: 7.0,
}
HEALTHY_FAILED = 0.01
HEALTHY_SLOW = 0.1
HEALTHY_HANGING = 0.1
SICK_FAILED = 0.5
SICK_SLOW = 0.45
SICK_HANGING = 0.9
SICK_UNREACHABLE = 0.6
CONNECTION_SHARE = 0.5
MOST_HEALTHY = 0.65
MOST_SICK = 0.97
PRIOR_SAMPLES = 20.0
LATENCY_WEIGHT = 0.1


SICK = {
    Symptom.FAILING: SICK_FAILED,
    Symptom.SLOW: SICK_SLOW,
    Symptom.HANGING: SICK_HANGING,
    Symptom.UNREACHABLE: SICK_UNREACHABLE,
}
HEALTHY = {
    Symptom.FAILING: HEALTHY_FAILED,
    Symptom.SLOW: HEALTHY_SLOW,
    Symptom.HANGING: HEALTHY_HANGING,
    Symptom.UNREACHABLE: HEALTHY_FAILED,
}
# How much worse than the others a target has to be to count as worse at all.
MARGIN = 1.3
LEAST_GAP = 0.3


@functools.lru_cache(maxsize=512)
def hypotheses_for(symptom: Symptom, healthy: float) -> Hypotheses:
    """Return the ratios for a symptom, given how often healthy targets show it."""
    sick = min(max(SICK[symptom], healthy + LEAST_GAP), MOST_SICK)
    return Hypotheses.between(healthy, sick)


def symptoms_of(route: str) -> tuple[Symptom, ...]:
    """Return the symptoms that are tested on a route."""
    if route == STALL_ROUTE:
        return (Symptom.HANGING,)
    return (Symptom.FAILING, Symptom.SLOW)


@attrs.define
class Counts:
    """Outcomes since the last digest."""

    count: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0

    def add(self, failed: bool, slow: bool | None) -> None:
        """Add one outcome; ``slow`` is ``None`` if its latency was not judged."""
        self.count += 1
        self.failed += failed
        if slow is not None:
            self.timed += 1
            self.slow += slow


@attrs.define
class RouteTests:
    """Tests of one target on one route.

    :param own: tests by symptom, over the outcomes of this daemon.
    :param pooled: the same over the outcomes of all daemons that report here.
    :param rates: recent outcomes of this daemon.
    :param unsent: outcomes of this daemon since its last digest.
    """

    own: dict[Symptom, SequentialTest]
    pooled: dict[Symptom, SequentialTest]
    rates: Rates = attrs.field(factory=Rates)
    unsent: Counts = attrs.field(factory=Counts)


def make_tests(route: str) -> RouteTests:
    """Return tests of a route without evidence."""
    return RouteTests(
        own={symptom: SequentialTest() for symptom in symptoms_of(route)},
        pooled={symptom: SequentialTest() for symptom in symptoms_of(route)},
    )


@attrs.define
class TargetEvidence:
    """Evidence on one target.

    :param target_id: the target.
    :param service: its service.
    :param zone: its availability zone.
    :param routes: tests by route.
    :param path: test of the path from this daemon to the target.
    :param incarnation: incarnation of the target that the evidence is about.
    :param complaints: monotonic time of the latest bad report, by reporter.
    :param latency_s: smoothed latency in seconds, or ``None``.
    :param succeeded_at: monotonic time when any daemon last saw a success.
    :param asked_at: since when the other daemons are asked about the target.
    """

    target_id: str
    service: str
    zone: str
    routes: dict[str, RouteTests] = attrs.field(factory=dict)
    path: SequentialTest = attrs.field(factory=SequentialTest)
    incarnation: int = 0
    complaints: dict[str, timedelta] = attrs.field(factory=dict)
    latency_s: float | None = None
    succeeded_at: timedelta = timedelta()
    asked_at: timedelta = timedelta()

    def tests_of(self, route: str) -> RouteTests:
        """Return the tests of a route, made on first use."""
        tests = self.routes.get(route)
        if tests is None:
            tests = self.routes[route] = make_tests(route)
        return tests

    def add_latency(self, latency_s: float) -> None:
        """Smooth one latency in seconds into the typical one."""
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def note_success(self, now: timedelta, own: bool) -> None:
        """Take note that a request succeeded, so the target isn't hanging now.

        :param own: whether this daemon sent it.
        """
        self.succeeded_at = now
        tests = self.routes.get(STALL_ROUTE)
        if tests is None:
            return
        tests.pooled[Symptom.HANGING].clear()
        if own:
            tests.own[Symptom.HANGING].clear()

    def clear(self) -> None:
        """Forget what speaks against the target."""
        self.path.clear()
        self.complaints.clear()
        for tests in self.routes.values():
            for test in (*tests.own.values(), *tests.pooled.values()):
                test.clear()


@attrs.define
class RouteComparison:
    """What a service's targets are like on one route.

    :param reference: latencies of targets in good standing.
    :param rates: recent outcomes of this daemon at all targets.
    """

    reference: LatencyReference = attrs.field(factory=LatencyReference)
    rates: Rates = attrs.field(factory=Rates)

    def healthy_share(self, symptom: Symptom, target: Rates) -> float:
        """Estimate how often a healthy target shows a symptom.

        Only the service's other targets count. Where they show the symptom too,
        it tells nothing about this one.

        :param target: recent outcomes at the target that is judged.
        """
        if symptom is Symptom.FAILING:
            bad = self.rates.failed - target.failed
            count = self.rates.count - target.count
        else:
            bad, count = self.rates.slow - target.slow, self.rates.timed - target.timed
        least = HEALTHY[symptom]
        bad = max(0.0, bad) + least / MARGIN * PRIOR_SAMPLES
        share = MARGIN * bad / (max(0.0, count) + PRIOR_SAMPLES)
        return round(min(max(share, least), MOST_HEALTHY), 2)


@attrs.define
class ServiceEvidence:
    """Evidence on the targets of one service.

    :param service: its name.
    :param limits: how its targets are judged.
    :param targets: evidence by ``target_id``.
    :param comparisons: by route.
    :param unsent: targets with outcomes since the last digest, as keys.
    """

    service: str
    limits: TestLimits
    targets: dict[str, TargetEvidence] = attrs.field(factory=dict)
    comparisons: dict[str, RouteComparison] = attrs.field(factory=dict)
    unsent: dict[str, None] = attrs.field(factory=dict)

    def target(self, target_id: str, zone: str) -> TargetEvidence:
        """Return the evidence on a target, made on first use."""
        found = self.targets.get(target_id)
        if found is None:
            found = TargetEvidence(target_id, self.service, zone)
            self.targets[target_id] = found
        return found

    def change_limits(self, limits: TestLimits, now: timedelta) -> None:
        """Judge by other limits from now on; slots are renumbered to fit them."""
        if limits == self.limits:
            return
        self.limits = limits
        slot = limits.slot_at(now)
        for comparison in self.comparisons.values():
            comparison.rates.slot = slot
        for target in self.targets.values():
            target.path.slot = slot
            for tests in target.routes.values():
                tests.rates.slot = slot
                for test in (*tests.own.values(), *tests.pooled.values()):
                    test.slot = slot

    def comparison(self, route: str) -> RouteComparison:
        """Return what the service is like on a route, made on first use."""
        found = self.comparisons.get(route)
        if found is None:
            found = self.comparisons[route] = RouteComparison()
        return found

    def add_outcome(
        self,
        target: TargetEvidence,
        route: str,
        failed: bool,
        slow: bool | None,
        slot: int,
    ) -> None:
        """Count one outcome of this daemon.

        :param slow: whether it was slow; ``None`` if its latency was not judged.
        """
        tests = target.tests_of(route)
        comparison = self.comparison(route)
        decay = self.limits.rate_decay
        timed = slow is not None
        for rates in (tests.rates, comparison.rates):
            rates.advance(slot, decay)
            rates.add(1, failed, timed, bool(slow))
        tests.unsent.add(failed, slow)
        self.unsent[target.target_id] = None
        if route == STALL_ROUTE:
            self.add_ratio(tests, comparison, Symptom.HANGING, bool(slow), slot)
            return
        self.add_ratio(tests, comparison, Symptom.FAILING, failed, slot)
        if slow is not None:
            self.add_ratio(tests, comparison, Symptom.SLOW, slow, slot)

    def add_ratio(
        self,
        tests: RouteTests,
        comparison: RouteComparison,
        symptom: Symptom,
        bad: bool,
        slot: int,
    ) -> None:
        """Add one outcome to the tests of one symptom."""
        share = comparison.healthy_share(symptom, tests.rates)
        hypotheses = hypotheses_for(symptom, share)
        ratio = hypotheses.bad if bad else hypotheses.good
        decay, cap = self.limits.score_decay, SLOT_CAP[symptom]
        tests.own[symptom].add(ratio, cap, slot, decay)
        tests.pooled[symptom].add(ratio, cap, slot, decay)

    def add_own_stall(self, target: TargetEvidence, slot: int) -> None:
        """Add one more stall to this daemon's own test only."""
        tests = target.tests_of(STALL_ROUTE)
        ratio = hypotheses_for(Symptom.HANGING, HEALTHY_HANGING).bad
        cap = SLOT_CAP[Symptom.HANGING]
        tests.own[Symptom.HANGING].add(ratio, cap, slot, self.limits.score_decay)

    def add_report(
        self,
        target: TargetEvidence,
        route: str,
        symptom: Symptom,
        good: int,
        bad: int,
        slot: int,
    ) -> None:
        """Add outcomes that another daemon reported to the pooled test."""
        tests = target.tests_of(route)
        comparison = self.comparison(route)
        tests.rates.advance(slot, self.limits.rate_decay)
        comparison.rates.advance(slot, self.limits.rate_decay)
        share = comparison.healthy_share(symptom, tests.rates)
        hypotheses = hypotheses_for(symptom, share)
        ratio = bad * hypotheses.bad + good * hypotheses.good
        decay, cap = self.limits.score_decay, SLOT_CAP[symptom]
        tests.pooled[symptom].add(ratio, cap, slot, decay)
