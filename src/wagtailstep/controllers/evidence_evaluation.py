"""Evaluate a target by its evidence, compared with its service's other targets."""

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

# A test whose score reaches this fraction of its threshold counts as symptomatic: too
# little to decide about its target, but enough to show that others are affected too.
SYMPTOMATIC_FRACTION = 0.15
# A cause is common if at least this fraction of the other targets is symptomatic.
COMMON_FRACTION = 0.5
# Scores with a common cause are reduced to this fraction of the threshold.
COMMON_SCORE_FRACTION = 0.3
# Fractions of the threshold at which this daemon alone avoids an unreachable or hanging
# target. Avoiding a path costs other daemons nothing, so less evidence suffices.
PATH_THRESHOLD_FRACTION = 0.4
STALL_THRESHOLD_FRACTION = 0.6
BAD_REPORT_WINDOW_S = 10.0
# A hanging backend server completes no request of any daemon. If one succeeded within
# this time, the fault lies in the paths or connections of the waiting daemons.
NO_SUCCESS_S = 0.5
# Time after the first request by which other daemons have reported successes.
REPORT_WAIT_S = 0.3
# Daemons that must have reported bad outcomes within BAD_REPORT_WINDOW_S before the
# pooled evidence counts.
MIN_REPORTERS = 2
# Nats deducted from each route's score before summing over routes, since with several
# routes some scores are above 0 by chance.
ROUTE_DEDUCTION = 1.0


@attrs.frozen
class Finding:
    """A fault of a target that the evidence shows.

    :param symptom: what is wrong.
    :param route: the affected route, or an empty string.
    :param severity: the score divided by its threshold, at least 1.
    :param pooled: whether the evidence of all daemons shows it, or only local evidence.
    """

    symptom: Symptom
    route: str
    severity: float
    pooled: bool


def get_score(
    target: TargetEvidence, route: str, symptom: Symptom, pooled: bool
) -> float:
    """Return the score of one test, 0 if there is no evidence."""
    tests = target.routes.get(route)
    if tests is None:
        return 0.0
    test = (tests.pooled if pooled else tests.local)[symptom]
    return test.value(SLOT_CAP[symptom])


def get_other_targets(
    service: ServiceEvidence, target: TargetEvidence
) -> list[TargetEvidence]:
    """Return the service's other targets with evidence."""
    return [other for other in service.targets.values() if other is not target]


def symptomatic_fraction(
    service: ServiceEvidence,
    others: list[TargetEvidence],
    route: str,
    symptom: Symptom,
    pooled: bool,
) -> float:
    """Return the fraction of targets in use on a route that show a symptom."""
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
    """Return whether the cause affects the whole service or one availability zone.

    Slowness in a whole zone is caused by the zone or the path to it. Failures are
    responses of the backend server itself, which its zone does not explain.
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
    """Yield a finding for each test of a target that reaches its threshold."""
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
    """Sum the scores of a symptom over all routes.

    :return: the route with the highest score, and the sum.
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
    """Return how many daemons recently reported a bad outcome."""
    oldest = now - timedelta(seconds=BAD_REPORT_WINDOW_S)
    return sum(at >= oldest for at in target.bad_reports.values())


def evaluate_target(
    service: ServiceEvidence, target: TargetEvidence, now: timedelta, daemons: int
) -> Finding | None:
    """Evaluate a target.

    :param daemons: number of daemons that could report outcomes, including this one.
    :return: the most severe finding, pooled ones before local ones, or ``None`` if
        there is none.
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
    """Reduce scores that a common cause explains.

    Otherwise a small random excess could single out one of many affected targets.

    :param max_score: highest score that remains. It keeps the target symptomatic, so
        that the cause still counts as common for the other targets.
    """
    for tests in target.routes.values():
        test = (tests.pooled if pooled else tests.local).get(symptom)
        if test is not None and test.value(SLOT_CAP[symptom]) > max_score:
            test.clear()
            test.score = max_score


def is_path_fault(symptom: Symptom, target: TargetEvidence, now: timedelta) -> bool:
    """Return whether a target may be hanging for only some daemons."""
    if symptom is not Symptom.HANGING:
        return False
    reports_due = now - target.requested_at >= timedelta(seconds=REPORT_WAIT_S)
    no_recent_success = now - target.succeeded_at >= timedelta(seconds=NO_SUCCESS_S)
    return not reports_due or not no_recent_success


def evaluate_path(service: ServiceEvidence, target: TargetEvidence) -> Finding | None:
    """Evaluate this daemon's path to a target.

    If the paths to many targets fail, the fault is near this daemon and avoiding
    single targets does not help.
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
