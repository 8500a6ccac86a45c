"""The services that callers ask this daemon for."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.exceptions import NoTargetError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.utils.clock import Clock

MAX_WANTED_SERVICES = 1_024
WANTED_LIFETIME = timedelta(minutes=10)
DISCOVERY_TIME = timedelta(seconds=1)


@attrs.define
class WantedService:
    """When a service was asked for.

    :param since: monotonic time of the first request.
    :param last: monotonic time of the latest request.
    """

    since: timedelta
    last: timedelta


class WantedServices:
    """Keep ``blackboard.requested_services`` bounded and up to date."""

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.by_name: OrderedDict[str, WantedService] = OrderedDict()

    def note_request(self, service: str) -> None:
        """Note that a caller asks for a service, so that its targets get known.

        :raises NoTargetError: if too many services are wanted.
        """
        now = self.clock.monotonic()
        wanted = self.by_name.get(service)
        if wanted is not None:
            wanted.last = now
            self.by_name.move_to_end(service)
            return
        if len(self.by_name) >= MAX_WANTED_SERVICES:
            raise NoTargetError(
                f"service {service!r} is not known to this daemon, which already "
                f"serves {MAX_WANTED_SERVICES} services; come back later"
            )
        self.by_name[service] = WantedService(now, now)
        self.blackboard.requested_services.add(service)

    def expire(self) -> None:
        """Drop services that nobody asked for lately."""
        oldest_kept = self.clock.monotonic() - WANTED_LIFETIME
        while self.by_name:
            service, wanted = next(iter(self.by_name.items()))
            if wanted.last >= oldest_kept:
                return
            del self.by_name[service]
            self.blackboard.requested_services.discard(service)

    def is_being_discovered(self, service: str) -> bool:
        """Tell whether the targets of a service may get known any moment.

        That is so for a short time after the first request for it.
        """
        wanted = self.by_name.get(service)
        if wanted is None or self.blackboard.targets.of_service(service):
            return False
        return self.clock.monotonic() - wanted.since < DISCOVERY_TIME
