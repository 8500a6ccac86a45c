"""The services that callers request from this daemon."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.controllers.request_rates import RateEstimate
from wagtailstep.exceptions import NoTargetError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.fleet import MemberState
from wagtailstep.utils.clock import Clock

MAX_REQUESTED_SERVICES = 1_024
REQUESTED_SERVICE_RETENTION = timedelta(minutes=10)
DISCOVERY_PERIOD = timedelta(seconds=1)


@attrs.define
class RequestedService:
    """When a service was requested.

    :param first_requested_at: monotonic time of the first request.
    :param last_requested_at: monotonic time of the latest request.
    :param rate: estimated rate of the requests at this daemon.
    """

    first_requested_at: timedelta
    last_requested_at: timedelta
    rate: RateEstimate = attrs.field(factory=RateEstimate)


class RequestedServices:
    """Keep ``blackboard.requested_services`` bounded and up to date."""

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.by_name: OrderedDict[str, RequestedService] = OrderedDict()

    def record_request(self, service: str) -> None:
        """Record a request for a service, so that this daemon learns its targets.

        :raises NoTargetError: if too many services were requested recently.
        """
        now = self.clock.monotonic()
        requested = self.by_name.get(service)
        if requested is not None:
            requested.last_requested_at = now
            requested.rate.record(now)
            self.by_name.move_to_end(service)
            return
        if len(self.by_name) >= MAX_REQUESTED_SERVICES:
            raise NoTargetError(
                f"service {service!r} cannot be routed: this daemon already tracks "
                f"the maximum of {MAX_REQUESTED_SERVICES} services; retry later"
            )
        self.by_name[service] = requested = RequestedService(now, now)
        requested.rate.record(now)
        self.blackboard.requested_services.add(service)

    def expire(self) -> None:
        """Remove services that were not requested within the retention period."""
        oldest_kept = self.clock.monotonic() - REQUESTED_SERVICE_RETENTION
        while self.by_name:
            service, requested = next(iter(self.by_name.items()))
            if requested.last_requested_at >= oldest_kept:
                return
            del self.by_name[service]
            self.blackboard.requested_services.discard(service)

    def estimate_target_rate(self, service: str) -> float:
        """Return the requests a second that each target of a service would get.

        All daemons are assumed to receive as many requests as this one.
        """
        requested = self.by_name.get(service)
        target_count = len(self.blackboard.targets.of_service(service))
        if requested is None or not target_count:
            return 0.0
        own_rate = requested.rate.decay(self.clock.monotonic())
        states = [member.state for member in self.blackboard.members.values()]
        daemon_count = max(1, states.count(MemberState.ALIVE))
        return own_rate * daemon_count / target_count

    def is_being_discovered(self, service: str) -> bool:
        """Return whether the targets of a service may still be being discovered.

        That is the case for a short time after the first request for it.
        """
        requested = self.by_name.get(service)
        if requested is None or self.blackboard.targets.of_service(service):
            return False
        return self.clock.monotonic() - requested.first_requested_at < DISCOVERY_PERIOD
