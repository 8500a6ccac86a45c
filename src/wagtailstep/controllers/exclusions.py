"""Reports how many targets of a service this daemon excludes, and why."""

import enum
from collections import Counter
from collections.abc import Collection
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.models.events import RecordEvent
from wagtailstep.utils.clock import Clock

# Standings change several times a second in a large fleet.
REPORT_INTERVAL = timedelta(seconds=1)


class ExclusionReason(enum.StrEnum):
    """Why a target is not in the draw for a first attempt."""

    NOT_SERVING = "not_serving"
    EJECTED = "ejected"
    WITHOUT_WEIGHT = "without_weight"
    GATE_GONE = "gate_gone"
    DEPARTURES_UNKNOWN = "departures_unknown"
    PATH_AVOIDED = "path_avoided"
    DOUBTED = "doubted"
    FAILING = "failing"


@attrs.define
class ServiceExclusions:
    """Targets of one service in the draw, and excluded from it by reason.

    :param drawn: number of targets in the draw.
    :param excluded: number of the others by reason.
    :param reported: fields of the last report, or ``None``.
    :param reported_at: monotonic time of the last report.
    """

    drawn: int = 0
    excluded: Counter[ExclusionReason] = attrs.field(factory=Counter)
    reported: dict[str, str] | None = None
    reported_at: timedelta | None = None

    def build_fields(self, service: str) -> dict[str, str]:
        """Return the fields of a report; reasons that exclude nothing are omitted."""
        fields = {"service": service, "drawn": str(self.drawn)}
        for reason in ExclusionReason:
            if self.excluded[reason]:
                fields[reason] = str(self.excluded[reason])
        return fields

    def is_due(self, service: str, now: timedelta) -> bool:
        """Return whether the counts changed and the last report is old enough."""
        if self.reported_at is None:
            return self.excluded.total() > 0
        is_old = now - self.reported_at >= REPORT_INTERVAL
        return is_old and self.build_fields(service) != self.reported


class ExclusionLog:
    """Creates a log event when the counts of a service changed.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.services: dict[str, ServiceExclusions] = {}

    def record(
        self, service: str, drawn: int, excluded: Counter[ExclusionReason]
    ) -> None:
        """Record the current counts of a service."""
        state = self.services.setdefault(service, ServiceExclusions())
        state.drawn, state.excluded = drawn, excluded

    def create_events(self, requested: Collection[str]) -> list[Any]:
        """Return an event for each service that changed, at most one per interval.

        :param requested: the services that are still requested; others are forgotten.
        """
        now = self.clock.monotonic()
        events = []
        for service, state in list(self.services.items()):
            if service not in requested:
                del self.services[service]
            elif state.is_due(service, now):
                state.reported, state.reported_at = state.build_fields(service), now
                events.append(RecordEvent("targets-excluded", state.reported))
        return events
