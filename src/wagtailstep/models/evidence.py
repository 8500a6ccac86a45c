"""Evidence on backend servers: what daemons tell each other, and what follows."""

import enum
from collections.abc import Iterable, Iterator
from datetime import timedelta

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

    :param daemon_id: the reporter.
    :param service: the service of all targets named.
    :param rows: one for each target and route, in the order of the fields of
        :class:`RouteEvidence`; ``target_id`` is without the service's name.
    """

    daemon_id: str
    service: str
    rows: tuple[EvidenceRow, ...]

    @classmethod
    def from_entries(
        cls, daemon_id: str, service: str, entries: Iterable[RouteEvidence]
    ) -> "EvidenceDigest":
        """Make a digest of entries that all belong to one service."""
        prefix = f"{service}/"
        rows = []
        for entry in entries:
            name, *rest = attrs.astuple(entry)
            rows.append((name.removeprefix(prefix), *rest))
        return cls(daemon_id, service, tuple(rows))

    def entries(self) -> Iterator[RouteEvidence]:
        """Yield the entries."""
        for name, *rest in self.rows:
            yield RouteEvidence(f"{self.service}/{name}", *rest)


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
class SickNotice:
    """Tell that the evidence of several daemons speaks against a target.

    :param daemon_id: the collector that judged it.
    :param service: the service.
    :param target_id: the target.
    :param symptom: value of a :class:`Symptom`.
    :param route: the route that shows it.
    """

    daemon_id: str
    service: str
    target_id: str
    symptom: str
    route: str
