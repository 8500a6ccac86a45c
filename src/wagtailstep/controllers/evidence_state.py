"""Evidence on targets that one daemon has, and how outcomes are counted."""

import functools
from datetime import timedelta

import attrs

from wagtailstep.controllers.latency_reference import LatencyReference
from wagtailstep.controllers.sequential_test import (
    DecayedCounts,
    LikelihoodRatios,
    SequentialTest,
    TestLimits,
)
from wagtailstep.models.evidence import STALL_ROUTE, Symptom
from wagtailstep.models.hedging import SlowCopyLost
from wagtailstep.utils.clock import Clock

# Limit on what one time slot may add to a score or take from it, in nats.
SLOT_CAP = {
    Symptom.FAILING: 8.0,
    Symptom.SLOW: 2.0,
    Symptom.HANGING: 8.0,
    Symptom.UNREACHABLE: 7.0,
}
# Expected rates of symptoms among the outcomes of healthy and unhealthy targets.
HEALTHY_FAILURE_RATE = 0.01
HEALTHY_SLOW_RATE = 0.1
HEALTHY_HANGING_RATE = 0.1
UNHEALTHY_FAILURE_RATE = 0.5
UNHEALTHY_SLOW_RATE = 0.45
UNHEALTHY_HANGING_RATE = 0.9
UNHEALTHY_UNREACHABLE_RATE = 0.6
# Weight of an unresponsive connection as evidence against the path.
CONNECTION_FAILURE_WEIGHT = 0.5
MAX_HEALTHY_RATE = 0.65
MAX_UNHEALTHY_RATE = 0.97
# Number of assumed healthy outcomes added to the measured ones.
PRIOR_SAMPLES = 20.0
# Weight of the newest sample in the smoothed latency.
LATENCY_WEIGHT = 0.1


UNHEALTHY_RATES = {
    Symptom.FAILING: UNHEALTHY_FAILURE_RATE,
    Symptom.SLOW: UNHEALTHY_SLOW_RATE,
    Symptom.HANGING: UNHEALTHY_HANGING_RATE,
    Symptom.UNREACHABLE: UNHEALTHY_UNREACHABLE_RATE,
}
HEALTHY_RATES = {
    Symptom.FAILING: HEALTHY_FAILURE_RATE,
    Symptom.SLOW: HEALTHY_SLOW_RATE,
    Symptom.HANGING: HEALTHY_HANGING_RATE,
    Symptom.UNREACHABLE: HEALTHY_FAILURE_RATE,
}
# Factor by which a target must be worse than the others to count as worse.
HEALTHY_RATE_MARGIN = 1.3
# Minimum difference between the rates of unhealthy and healthy targets.
MIN_RATE_GAP = 0.3


@functools.lru_cache(maxsize=512)
def likelihood_ratios(symptom: Symptom, healthy_rate: float) -> LikelihoodRatios:
    """Return the ratios for a symptom, given its rate at healthy targets."""
    unhealthy_rate = min(
        max(UNHEALTHY_RATES[symptom], healthy_rate + MIN_RATE_GAP), MAX_UNHEALTHY_RATE
    )
    return LikelihoodRatios.from_rates(healthy_rate, unhealthy_rate)


def get_tested_symptoms(route: str) -> tuple[Symptom, ...]:
    """Return the symptoms that are tested on a route."""
    if route == STALL_ROUTE:
        return (Symptom.HANGING,)
    return (Symptom.FAILING, Symptom.SLOW)


@attrs.define
class OutcomeCounts:
    """Numbers of outcomes since the last digest."""

    count: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0

    def add(self, failed: bool, slow: bool | None) -> None:
        """Add one outcome; ``slow`` is ``None`` if its latency was not assessed."""
        self.count += 1
        self.failed += failed
        if slow is not None:
            self.timed += 1
            self.slow += slow


@attrs.define
class RouteTests:
    """Tests of one target on one route.

    :param local: tests by symptom over the outcomes of this daemon.
    :param pooled: the same over the outcomes of this daemon and all that report to it.
    :param recent_counts: recent outcomes of this daemon.
    :param unsent: outcomes of this daemon since its last digest.
    """

    local: dict[Symptom, SequentialTest]
    pooled: dict[Symptom, SequentialTest]
    recent_counts: DecayedCounts = attrs.field(factory=DecayedCounts)
    unsent: OutcomeCounts = attrs.field(factory=OutcomeCounts)


def create_tests(route: str) -> RouteTests:
    """Create the tests of a route, without evidence."""
    return RouteTests(
        local={symptom: SequentialTest() for symptom in get_tested_symptoms(route)},
        pooled={symptom: SequentialTest() for symptom in get_tested_symptoms(route)},
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
    :param bad_reports: monotonic time of the latest bad report, by reporting daemon.
    :param latency_s: smoothed latency in seconds, or ``None``.
    :param succeeded_at: monotonic time of the latest known success at any daemon.
    :param requested_at: monotonic time since when evidence is requested from others.
    """

    target_id: str
    service: str
    zone: str
    routes: dict[str, RouteTests] = attrs.field(factory=dict)
    path: SequentialTest = attrs.field(factory=SequentialTest)
    incarnation: int = 0
    bad_reports: dict[str, timedelta] = attrs.field(factory=dict)
    latency_s: float | None = None
    succeeded_at: timedelta = timedelta()
    requested_at: timedelta = timedelta()

    def get_tests(self, route: str) -> RouteTests:
        """Return the tests of a route, created on first use."""
        tests = self.routes.get(route)
        if tests is None:
            tests = self.routes[route] = create_tests(route)
        return tests

    def add_latency(self, latency_s: float) -> None:
        """Add a sample to the smoothed latency."""
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_success(self, now: timedelta, local: bool) -> None:
        """Record that a request succeeded, which shows that the target isn't hanging.

        :param local: whether this daemon sent the request.
        """
        self.succeeded_at = now
        tests = self.routes.get(STALL_ROUTE)
        if tests is None:
            return
        tests.pooled[Symptom.HANGING].clear()
        if local:
            tests.local[Symptom.HANGING].clear()

    def clear(self) -> None:
        """Clear all tests and reports of the target."""
        self.path.clear()
        self.bad_reports.clear()
        for tests in self.routes.values():
            for test in (*tests.local.values(), *tests.pooled.values()):
                test.clear()


@attrs.define
class RouteBaseline:
    """Outcomes of all targets of a service on one route, for comparison.

    :param reference: latencies of the targets that are neither avoided nor warming up.
    :param recent_counts: recent outcomes of this daemon at all targets.
    """

    reference: LatencyReference = attrs.field(factory=LatencyReference)
    recent_counts: DecayedCounts = attrs.field(factory=DecayedCounts)

    def estimate_healthy_rate(
        self, symptom: Symptom, target_counts: DecayedCounts
    ) -> float:
        """Estimate the rate of a symptom at healthy targets.

        The estimate is based on the service's other targets only: a symptom that they
        show as well is no evidence against this target.

        :param target_counts: recent outcomes of the evaluated target.
        """
        if symptom is Symptom.FAILING:
            bad = self.recent_counts.failed - target_counts.failed
            count = self.recent_counts.count - target_counts.count
        else:
            bad, count = (
                self.recent_counts.slow - target_counts.slow,
                self.recent_counts.timed - target_counts.timed,
            )
        min_rate = HEALTHY_RATES[symptom]
        bad = max(0.0, bad) + min_rate / HEALTHY_RATE_MARGIN * PRIOR_SAMPLES
        healthy_rate = HEALTHY_RATE_MARGIN * bad / (max(0.0, count) + PRIOR_SAMPLES)
        return round(min(max(healthy_rate, min_rate), MAX_HEALTHY_RATE), 2)


@attrs.define
class ServiceEvidence:
    """Evidence on the targets of one service.

    :param service: its name.
    :param limits: limits of the tests.
    :param targets: evidence by ``target_id``.
    :param baselines: by route.
    :param unsent: ``target_id`` of targets with outcomes since the last digest, as
        keys.
    """

    service: str
    limits: TestLimits
    targets: dict[str, TargetEvidence] = attrs.field(factory=dict)
    baselines: dict[str, RouteBaseline] = attrs.field(factory=dict)
    unsent: dict[str, None] = attrs.field(factory=dict)

    def get_target(self, target_id: str, zone: str) -> TargetEvidence:
        """Return the evidence on a target, created on first use."""
        found = self.targets.get(target_id)
        if found is None:
            found = TargetEvidence(target_id, self.service, zone)
            self.targets[target_id] = found
        return found

    def update_limits(self, limits: TestLimits, now: timedelta) -> None:
        """Apply changed limits and renumber the slots to match them."""
        if limits == self.limits:
            return
        self.limits = limits
        slot = limits.slot_at(now)
        for baseline in self.baselines.values():
            baseline.recent_counts.slot = slot
        for target in self.targets.values():
            target.path.slot = slot
            for tests in target.routes.values():
                tests.recent_counts.slot = slot
                for test in (*tests.local.values(), *tests.pooled.values()):
                    test.slot = slot

    def get_baseline(self, route: str) -> RouteBaseline:
        """Return the baseline of a route, created on first use."""
        found = self.baselines.get(route)
        if found is None:
            found = self.baselines[route] = RouteBaseline()
        return found

    def record_outcome(
        self,
        target: TargetEvidence,
        route: str,
        failed: bool,
        slow: bool | None,
        slot: int,
    ) -> None:
        """Record one outcome of this daemon.

        :param slow: whether it was slow; ``None`` if its latency was not assessed.
        """
        tests = target.get_tests(route)
        baseline = self.get_baseline(route)
        decay = self.limits.count_decay
        timed = slow is not None
        for recent_counts in (tests.recent_counts, baseline.recent_counts):
            recent_counts.decay_to_slot(slot, decay)
            recent_counts.add(1, failed, timed, bool(slow))
        tests.unsent.add(failed, slow)
        self.unsent[target.target_id] = None
        if route == STALL_ROUTE:
            self.update_tests(tests, baseline, Symptom.HANGING, bool(slow), slot)
            return
        self.update_tests(tests, baseline, Symptom.FAILING, failed, slot)
        if slow is not None:
            self.update_tests(tests, baseline, Symptom.SLOW, slow, slot)

    def update_tests(
        self,
        tests: RouteTests,
        baseline: RouteBaseline,
        symptom: Symptom,
        bad: bool,
        slot: int,
    ) -> None:
        """Add one outcome to the tests of one symptom."""
        healthy_rate = baseline.estimate_healthy_rate(symptom, tests.recent_counts)
        ratios = likelihood_ratios(symptom, healthy_rate)
        ratio = ratios.bad if bad else ratios.good
        decay, cap = self.limits.score_decay, SLOT_CAP[symptom]
        tests.local[symptom].add(ratio, cap, slot, decay)
        tests.pooled[symptom].add(ratio, cap, slot, decay)

    def record_local_stall(self, target: TargetEvidence, slot: int) -> None:
        """Record a stall in this daemon's local test only."""
        tests = target.get_tests(STALL_ROUTE)
        ratio = likelihood_ratios(Symptom.HANGING, HEALTHY_HANGING_RATE).bad
        cap = SLOT_CAP[Symptom.HANGING]
        tests.local[Symptom.HANGING].add(ratio, cap, slot, self.limits.score_decay)

    def record_slow_copy(
        self, target: TargetEvidence, lost: SlowCopyLost, clock: Clock
    ) -> None:
        """Record that a copy of a request was slow, if its wait shows that.

        It says nothing about success or failure, as the copy was cancelled.
        """
        route = lost.request.route
        baseline = self.get_baseline(route)
        if baseline.reference.is_slow(lost.waited):
            slot = self.limits.slot_at(clock.monotonic())
            tests = target.get_tests(route)
            self.update_tests(tests, baseline, Symptom.SLOW, True, slot)

    def record_report(
        self,
        target: TargetEvidence,
        route: str,
        symptom: Symptom,
        good: int,
        bad: int,
        slot: int,
    ) -> None:
        """Add outcomes reported by another daemon to the pooled test."""
        tests = target.get_tests(route)
        baseline = self.get_baseline(route)
        tests.recent_counts.decay_to_slot(slot, self.limits.count_decay)
        baseline.recent_counts.decay_to_slot(slot, self.limits.count_decay)
        healthy_rate = baseline.estimate_healthy_rate(symptom, tests.recent_counts)
        ratios = likelihood_ratios(symptom, healthy_rate)
        ratio = bad * ratios.bad + good * ratios.good
        decay, cap = self.limits.score_decay, SLOT_CAP[symptom]
        tests.pooled[symptom].add(ratio, cap, slot, decay)
