"""Judging a target by its evidence, in comparison with its service's others."""

from collections.abc import Iterator
from datetime import timedelta

import attrs

from wagtailstep.controllers.evidence_state import (
    SLOT_CAP,
    ServiceEvidence,
    TargetEvidence,
    get_tested_symptoms,
)
from wagtailstep.models.evidence import STALL_ROUTE, Symptom

# A test at this share of its threshold is doubtful: too little to decide about
# its target, enough to see that the cause is not this target alone.
SYMPTOMATIC_FRACTION = 0.15
COMMON_FRACTION = 0.5
COMMON_SCORE_FRACTION = 0.3
# A path that is avoided costs no other daemon anything, so less evidence will do.
PATH_THRESHOLD_FRACTION = 0.4
STALL_THRESHOLD_FRACTION = 0.6
BAD_REPORT_WINDOW_S = 10.0
# A hanging backend server ends no request of any daemon. If one succeeded within
# this time, the fault lies in the path or the connection of those that wait.
NO_SUCCESS_S = 0.5
# By this time after they were first asked, other daemons have told of successes.
REPORT_WAIT_S = 0.3
MIN_REPORTERS = 2
# Part of each route's sum that doesn't count when the routes are added up, since
# several sums are more likely to be a little above 0 than one.
ROUTE_DEDUCTION = 1.0


@attrs.frozen
class Finding:
    """What the evidence says of a target.

    :param symptom: what is wrong.
    :param route: the route that shows it, or an empty string.
    :param severity: the sum over its threshold, at least 1.
    :param pooled: whether the daemons together say so, not this one alone.
    """

    symptom: Symptom
    route: str
    severity: float
    pooled: bool


def get_score(
    target: TargetEvidence, route: str, symptom: Symptom, pooled: bool
) -> float:
    """Return the sum of one test, 0 if there is no evidence."""
    tests = target.routes.get(route)
    if tests is None:
        return 0.0
    test = (tests.pooled if pooled else tests.local)[symptom]
    return test.value(SLOT_CAP[symptom])


def get_other_targets(
    service: ServiceEvidence, target: TargetEvidence
) -> list[TargetEvidence]:
    """Return the service's other targets that there is evidence on."""
    return [other for other in service.targets.values() if other is not target]


def symptomatic_fraction(
    service: ServiceEvidence,
    others: list[TargetEvidence],
    route: str,
    symptom: Symptom,
    pooled: bool,
) -> float:
    """Return the share of targets that show a symptom as well, from 0 to 1."""
    seen = [other for other in others if route in other.routes]
    if not seen:
        return 0.0
    min_score = SYMPTOMATIC_FRACTION * service.limits.threshold
    symptomatic = [
        other for other in seen if get_score(other, route, symptom, pooled) >= min_score
    ]
    return len(symptomatic) / len(seen)


def has_common_cause(
    service: ServiceEvidence,
    target: TargetEvidence,
    route: str,
    symptom: Symptom,
    pooled: bool,
) -> bool:
    """Tell whether the cause lies in the whole service or in one zone.

    A slow zone is a matter of the path or the zone. Failures are answers of the
    backend server itself and are not excused by its zone.
    """
    others = get_other_targets(service, target)
    if symptomatic_fraction(service, others, route, symptom, pooled) >= COMMON_FRACTION:
        return True
    if symptom is Symptom.FAILING:
        return False
    near = [other for other in others if other.zone == target.zone]
    return (
        symptomatic_fraction(service, near, route, symptom, pooled) >= COMMON_FRACTION
    )


def find_exceeded_tests(
    service: ServiceEvidence, target: TargetEvidence
) -> Iterator[Finding]:
    """Yield the tests of a target that exceed the threshold."""
    threshold = service.limits.threshold
    for route in target.routes:
        for symptom in get_tested_symptoms(route):
            for pooled in (True, False):
                min_score = threshold
                if symptom is Symptom.HANGING and not pooled:
                    min_score *= STALL_THRESHOLD_FRACTION
                score = get_score(target, route, symptom, pooled)
                if score >= min_score:
                    yield Finding(symptom, route, score / min_score, pooled)
    for pooled in (True, False):
        for symptom in (Symptom.FAILING, Symptom.SLOW):
            route, score = sum_over_routes(target, symptom, pooled)
            if score >= threshold:
                yield Finding(symptom, route, score / threshold, pooled)


def sum_over_routes(
    target: TargetEvidence, symptom: Symptom, pooled: bool
) -> tuple[str, float]:
    """Add up what all routes tell of a symptom.

    :return: the worst route and the sum over all routes.
    """
    total, worst, worst_route = 0.0, 0.0, ""
    for route in target.routes:
        if route == STALL_ROUTE:
            continue
        score = get_score(target, route, symptom, pooled)
        total += max(0.0, score - ROUTE_DEDUCTION)
        if score > worst:
            worst, worst_route = score, route
    return worst_route, total


def count_reporters(target: TargetEvidence, now: timedelta) -> int:
    """Return how many daemons reported a bad outcome lately."""
    oldest = now - timedelta(seconds=BAD_REPORT_WINDOW_S)
    return sum(at >= oldest for at in target.bad_reports.values())


def evaluate_target(
    service: ServiceEvidence, target: TargetEvidence, now: timedelta, daemons: int
) -> Finding | None:
    """Judge a target.

    :param daemons: number of daemons that could complain, this one included.
    :return: the gravest judgement, one of all daemons before one of this daemon
        alone, or ``None`` for a target in good standing.
    """
    min_reporters = min(MIN_REPORTERS, daemons)
    corroborated = count_reporters(target, now) >= min_reporters
    found = []
    for finding in list(find_exceeded_tests(service, target)):
        symptom, pooled = finding.symptom, finding.pooled
        if has_common_cause(service, target, finding.route, symptom, pooled):
            max_score = COMMON_SCORE_FRACTION * service.limits.threshold
            attribute_to_common_cause(target, symptom, pooled, max_score)
        elif not pooled:
            found.append(finding)
        elif corroborated and not is_path_fault(symptom, target, now):
            found.append(finding)
    path_finding = evaluate_path(service, target)
    if path_finding is not None:
        found.append(path_finding)
    return max(
        found, key=lambda finding: (finding.pooled, finding.severity), default=None
    )


def attribute_to_common_cause(
    target: TargetEvidence, symptom: Symptom, pooled: bool, max_score: float
) -> None:
    """Reduce evidence that has another cause, lest chance single out this target.

    :param max_score: sum that is left at most. It keeps the target doubtful, so that
        the others are excused by it in turn.
    """
    for tests in target.routes.values():
        test = (tests.pooled if pooled else tests.local).get(symptom)
        if test is not None and test.value(SLOT_CAP[symptom]) > max_score:
            test.clear()
            test.score = max_score


def is_path_fault(symptom: Symptom, target: TargetEvidence, now: timedelta) -> bool:
    """Tell whether a target seems to hang for some daemons only."""
    if symptom is not Symptom.HANGING:
        return False
    reports_due = now - target.requested_at >= timedelta(seconds=REPORT_WAIT_S)
    no_recent_success = now - target.succeeded_at >= timedelta(seconds=NO_SUCCESS_S)
    return not reports_due or not no_recent_success


def evaluate_path(service: ServiceEvidence, target: TargetEvidence) -> Finding | None:
    """Judge this daemon's path to a target.

    If the paths to many targets fail, the fault is near this daemon and avoiding
    some of them is of no use.
    """
    min_score = PATH_THRESHOLD_FRACTION * service.limits.threshold
    score = target.path.value(SLOT_CAP[Symptom.UNREACHABLE])
    if score < min_score:
        return None
    others = get_other_targets(service, target)
    cap = SLOT_CAP[Symptom.UNREACHABLE]
    failing = sum(
        other.path.value(cap) >= SYMPTOMATIC_FRACTION * min_score for other in others
    )
    if others and failing >= COMMON_FRACTION * len(others):
        return None
    return Finding(Symptom.UNREACHABLE, "", score / min_score, False)
