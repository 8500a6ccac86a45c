"""Evidence on the health of backend servers, and the messages that carry it."""

import enum
from datetime import timedelta
from typing import ClassVar

import attrs

from wagtailstep.utils.codec import message

# Route name for counts of waiting requests, which are not kept per route.
STALL_ROUTE = "*"


class Symptom(enum.Enum):
    """How an unhealthy target misbehaves."""

    FAILING = "failing"
    SLOW = "slow"
    HANGING = "hanging"
    UNREACHABLE = "unreachable"


@attrs.frozen
class RouteEvidence:
    """Outcomes that one daemon observed for a target and route since its last digest.

    :param target_id: the target.
    :param route: name of the route.
    :param count: number of outcomes that are evidence for or against the backend
        server.
    :param failed: how many of ``count`` were failures of the backend server.
    :param timed: number of outcomes whose latency was assessed.
    :param slow: how many of ``timed`` were slower than is typical of the service's
        other targets; on :data:`STALL_ROUTE`, how many found that the target
        completed no request.
    """

    target_id: str
    route: str
    count: int
    failed: int
    timed: int
    slow: int


EvidenceRow = tuple[str, str, int, int, int, int]


@message
@attrs.frozen
class EvidenceDigest:
    """What one daemon observed of some targets since its last digest.

    Rows hold the fields of :class:`RouteEvidence` in order; ``target_id`` lacks the
    name of the service.

    :param daemon_id: the reporting daemon.
    :param service: the service that all targets belong to.
    :param answers: rows that a collector requested, good or bad.
    :param alerts: rows sent without a request because outcomes were bad.
    """

    daemon_id: str
    service: str
    answers: tuple[EvidenceRow, ...] = ()
    alerts: tuple[EvidenceRow, ...] = ()


def pack_evidence(entry: RouteEvidence) -> EvidenceRow:
    """Convert evidence to a row of a digest."""
    _, _, name = entry.target_id.partition("/")
    _, *rest = attrs.astuple(entry)
    return (name, *rest)


def unpack_evidence(service: str, row: EvidenceRow) -> RouteEvidence:
    """Convert a row of a digest to evidence."""
    name, *rest = row
    return RouteEvidence(f"{service}/{name}", *rest)


@attrs.frozen
class EjectionCandidate:
    """A target that is unhealthy by the evidence of several daemons.

    :param target_id: the target.
    :param symptom: how it misbehaves.
    :param route: the route that shows it.
    :param severity: ratio of the evidence to its threshold; at least 1.
    :param since: monotonic time at which it was found unhealthy.
    """

    target_id: str
    symptom: Symptom
    route: str
    severity: float
    since: timedelta


@message
@attrs.frozen
class EvidenceRequest:
    """Request digests on targets that a collector suspects of being unhealthy.

    :param daemon_id: the collector.
    :param service: the service.
    :param target_ids: the targets.
    """

    daemon_id: str
    service: str
    target_ids: tuple[str, ...]


@message
@attrs.frozen
class UnhealthyNotice:
    """Notify that a target is unhealthy by the evidence of several daemons.

    :param daemon_id: the collector that found it unhealthy.
    :param service: the service.
    :param target_id: the target.
    :param symptom: value of a :class:`Symptom`.
    :param route: the route that shows it.
    """

    wire_name: ClassVar[str] = "SickNotice"

    daemon_id: str
    service: str
    target_id: str
    symptom: str
    route: str
