"""Evidence on backend servers: what daemons tell each other, and what follows."""

import enum
from datetime import timedelta
from typing import ClassVar

import attrs

from wagtailstep.utils.codec import message

# Stands for all routes where waiting requests are counted, whatever they ask for.
STALL_ROUTE = "*"


class Symptom(enum.Enum):
    """What is wrong with a target."""

    FAILING = "failing"
    SLOW = "slow"
    HANGING = "hanging"
    UNREACHABLE = "unreachable"


@attrs.frozen
class RouteEvidence:
    """Outcomes that one daemon saw at one target and route since its last digest.

    :param target_id: the target.
    :param route: name of the route.
    :param count: outcomes that speak for or against the backend server.
    :param failed: those that ended in a failure of the backend server.
    :param timed: outcomes whose latency was judged.
    :param slow: those slower than the service's other targets mostly are; on
        :data:`STALL_ROUTE`, those that found the target to end no request.
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
    """What one daemon saw since its last digest at some targets.

    Rows have the fields of :class:`RouteEvidence` in their order; ``target_id`` is
    without the service's name.

    :param daemon_id: the reporter.
    :param service: the service of all targets named.
    :param answers: rows that a collector asked for, good or bad.
    :param alerts: rows told unasked because outcomes were bad.
    """

    daemon_id: str
    service: str
    answers: tuple[EvidenceRow, ...] = ()
    alerts: tuple[EvidenceRow, ...] = ()


def pack_evidence(entry: RouteEvidence) -> EvidenceRow:
    """Return the row of an entry."""
    _, _, name = entry.target_id.partition("/")
    _, *rest = attrs.astuple(entry)
    return (name, *rest)


def unpack_evidence(service: str, row: EvidenceRow) -> RouteEvidence:
    """Return the entry of a row."""
    name, *rest = row
    return RouteEvidence(f"{service}/{name}", *rest)


@attrs.frozen
class EjectionCandidate:
    """A target that the evidence of several daemons speaks against.

    :param target_id: the target.
    :param symptom: what is wrong with it.
    :param route: the route that shows it.
    :param severity: how far the evidence exceeds its threshold; at least 1.
    :param since: monotonic time of the judgement.
    """

    target_id: str
    symptom: Symptom
    route: str
    severity: float
    since: timedelta


@message
@attrs.frozen
class EvidenceRequest:
    """Ask for digests on targets that a collector doubts.

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
    """Tell that the evidence of several daemons speaks against a target.

    :param daemon_id: the collector that judged it.
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
