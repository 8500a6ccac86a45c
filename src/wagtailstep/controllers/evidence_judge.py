"""Judging a target by its evidence, in comparison with its service's others."""

from collections.abc import Iterator
from datetime import timedelta

import attrs

from wagtailstep.controllers.evidence_state import (
    SLOT_CAP,
    ServiceEvidence,
    TargetEvidence,
    symptoms_of,
)
from wagtailstep.models.evidence import STALL_ROUTE, Symptom

# A test at this share of its threshold is doubtful: too little to decide about
# its target, enough to see that the cause is not this target alone.
DOUBT_SHARE = 0.15
COMMON_SHARE = 0.5
EXPLAINED_SHARE = 0.3
# A path that is avoided costs no other daemon anything, so less evidence will do.
PATH_SHARE = 0.4
STALL_SHARE = 0.6
COMPLAINT_WINDOW_S = 10.0
# A hanging backend server ends no request of any daemon. If one succeeded within
# this time, the fault lies in the path or the connection of those that wait.
QUIET_S = 0.5
# By this time after they were first asked, other daemons have told of successes.
ANSWER_S = 0.3
MIN_COMPLAINANTS = 2
# Part of each route's sum that doesn't count when the routes are added up, since
# several sums are more likely to be a little above 0 than one.
ROUTE_ALLOWANCE = 1.0


@attrs.frozen
class Judgement:
    """What the evidence says of a target.

    :param symptom: what is wrong.
    :param route: the route that shows it, or an empty string.
    :param severity: the sum over its threshold, at least 1.
    :param shared: whether the daemons together say so, not this one alone.
    """

    symptom: Symptom
    route: str
    severity: float
    shared: bool


def score_of(
    target: TargetEvidence, route: str, symptom: Symptom, shared: bool
) -> float:
    """Return the sum of one test, 0 if there is no evidence."""
    tests = target.routes.get(route)
    if tests is None:
        return 0.0
    test = (tests.pooled if shared else tests.own)[symptom]
    return test.value(SLOT_CAP[symptom])


def others_of(service: ServiceEvidence, target: TargetEvidence) -> list[TargetEvidence]:
    """Return the service's other targets that there is evidence on."""
    return [other for other in service.targets.values() if other is not target]


def share_in_doubt(
    service: ServiceEvidence,
    others: list[TargetEvidence],
    route: str,
    symptom: Symptom,
    shared: bool,
) -> float:
    """Return the share of targets that show a symptom as well, from 0 to 1."""
    seen = [other for other in others if route in other.routes]
    if not seen:
        return 0.0
    least = DOUBT_SHARE * service.limits.threshold
    doubtful = [o for o in seen if score_of(o, route, symptom, shared) >= least]
    return len(doubtful) / len(seen)


def has_common_cause(
    service: ServiceEvidence,
    target: TargetEvidence,
    route: str,
    symptom: Symptom,
    shared: bool,
) -> bool:
    """Tell whether the cause lies in the whole service or in one zone.

    A slow zone is a matter of the path or the zone. Failures are answers of the
    backend server itself and are not excused by its zone.
    """
    others = others_of(service, target)
    if share_in_doubt(service, others, route, symptom, shared) >= COMMON_SHARE:
        return True
    if symptom is Symptom.FAILING:
        return False
    near = [other for other in others if other.zone == target.zone]
    return share_in_doubt(service, near, route, symptom, shared) >= COMMON_SHARE


def find_crossings(
    service: ServiceEvidence, target: TargetEvidence
) -> Iterator[Judgement]:
    """Yield the tests of a target that exceed the threshold."""
    threshold = service.limits.threshold
    for route in target.routes:
        for symptom in symptoms_of(route):
            for shared in (True, False):
                least = threshold
                if symptom is Symptom.HANGING and not shared:
                    least *= STALL_SHARE
                score = score_of(target, route, symptom, shared)
                if score >= least:
                    yield Judgement(symptom, route, score / least, shared)
    for shared in (True, False):
        for symptom in (Symptom.FAILING, Symptom.SLOW):
            route, score = add_routes(target, symptom, shared)
            if score >= threshold:
                yield Judgement(symptom, route, score / threshold, shared)


def add_routes(
    target: TargetEvidence, symptom: Symptom, shared: bool
) -> tuple[str, float]:
    """Add up what all routes tell of a symptom.

    :return: the worst route and the sum over all routes.
    """
    total, worst, worst_route = 0.0, 0.0, ""
    for route in target.routes:
        if route == STALL_ROUTE:
            continue
        score = score_of(target, route, symptom, shared)
        total += max(0.0, score - ROUTE_ALLOWANCE)
        if score > worst:
            worst, worst_route = score, route
    return worst_route, total


def count_complainants(target: TargetEvidence, now: timedelta) -> int:
    """Return how many daemons reported a bad outcome lately."""
    oldest = now - timedelta(seconds=COMPLAINT_WINDOW_S)
    return sum(at >= oldest for at in target.complaints.values())


def judge_target(
    service: ServiceEvidence, target: TargetEvidence, now: timedelta, daemons: int
) -> Judgement | None:
    """Judge a target.

    :param daemons: number of daemons that could complain, this one included.
    :return: the gravest judgement, one of all daemons before one of this daemon
        alone, or ``None`` for a target in good standing.
    """
    enough = min(MIN_COMPLAINANTS, daemons)
    corroborated = count_complainants(target, now) >= enough
    found = []
    for crossing in list(find_crossings(service, target)):
        symptom, shared = crossing.symptom, crossing.shared
        if has_common_cause(service, target, crossing.route, symptom, shared):
            most = EXPLAINED_SHARE * service.limits.threshold
            explain_away(target, symptom, shared, most)
        elif not shared:
            found.append(crossing)
        elif corroborated and not is_path_fault(symptom, target, now):
            found.append(crossing)
    path = judge_path(service, target)
    if path is not None:
        found.append(path)
    return max(found, key=lambda j: (j.shared, j.severity), default=None)


def explain_away(
    target: TargetEvidence, symptom: Symptom, shared: bool, most: float
) -> None:
    """Reduce evidence that has another cause, lest chance single out this target.

    :param most: sum that is left at most. It keeps the target doubtful, so that
        the others are excused by it in turn.
    """
    for tests in target.routes.values():
        test = (tests.pooled if shared else tests.own).get(symptom)
        if test is not None and test.value(SLOT_CAP[symptom]) > most:
            test.clear()
            test.score = most


def is_path_fault(symptom: Symptom, target: TargetEvidence, now: timedelta) -> bool:
    """Tell whether a target seems to hang for some daemons only."""
    if symptom is not Symptom.HANGING:
        return False
    answered = now - target.asked_at >= timedelta(seconds=ANSWER_S)
    quiet = now - target.succeeded_at >= timedelta(seconds=QUIET_S)
    return not answered or not quiet


def judge_path(service: ServiceEvidence, target: TargetEvidence) -> Judgement | None:
    """Judge this daemon's path to a target.

    If the paths to many targets fail, the fault is near this daemon and avoiding
    some of them is of no use.
    """
    least = PATH_SHARE * service.limits.threshold
    score = target.path.value(SLOT_CAP[Symptom.UNREACHABLE])
    if score < least:
        return None
    others = others_of(service, target)
    cap = SLOT_CAP[Symptom.UNREACHABLE]
    failing = sum(o.path.value(cap) >= DOUBT_SHARE * least for o in others)
    if others and failing >= COMMON_SHARE * len(others):
        return None
    return Judgement(Symptom.UNREACHABLE, "", score / least, False)
