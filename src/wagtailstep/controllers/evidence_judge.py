"""Judging a target by its evidence, in comparison with its service's others."""

from collections.abc import Iterator
from datetime import timedelta

import attrs

from wagtailstep.controllers.evidence_state import (
    SLOT_CAP,
    ServiceEvidence,
    TargetEvidence,
)
from wagtailstep.models.evidence import Symptom

# A test at this share of its threshold is doubtful: too little to decide about
# its target, enough to see that the cause is not this target alone.
DOUBT_SHARE = 0.25
COMMON_SHARE = 0.5
COMPLAINT_WINDOW_S = 10.0
MIN_COMPLAINANTS = 2


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
    if symptom is not Symptom.SLOW:
        return False
    near = [other for other in others if other.zone == target.zone]
    return share_in_doubt(service, near, route, symptom, shared) >= COMMON_SHARE


def find_crossings(
    service: ServiceEvidence, target: TargetEvidence
) -> Iterator[Judgement]:
    """Yield the tests of a target that exceed the threshold."""
    threshold = service.limits.threshold
    for route in target.routes:
        for symptom in (Symptom.FAILING, Symptom.SLOW):
            for shared in (True, False):
                score = score_of(target, route, symptom, shared)
                if score >= threshold:
                    yield Judgement(symptom, route, score / threshold, shared)


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
    found = [
        crossing
        for crossing in find_crossings(service, target)
        if corroborated or not crossing.shared
        if not has_common_cause(
            service, target, crossing.route, crossing.symptom, crossing.shared
        )
    ]
    path_score = target.path.value(SLOT_CAP[Symptom.UNREACHABLE])
    if path_score >= service.limits.threshold:
        severity = path_score / service.limits.threshold
        found.append(Judgement(Symptom.UNREACHABLE, "", severity, False))
    return max(found, key=lambda j: (j.shared, j.severity), default=None)
