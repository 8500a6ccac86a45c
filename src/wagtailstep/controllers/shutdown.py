"""Which requests a daemon that shuts down still passes on."""

import random
from collections import OrderedDict, deque
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.request import AttemptEnded, RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# Bounds the memory for services with many routes; those used last are kept.
MAX_ROUTES = 256
# Enough to include slow requests among the usual ones of a route.
KEPT_ATTEMPTS = 32
# Attempts that ended longer ago say little about the servers of today.
RECENT_TIME = timedelta(seconds=60)
# Allows for a request that takes somewhat longer than the recent ones of its route.
DURATION_MARGIN = 1.25
# Allows for the few requests of a route that take far longer than its usual ones.
TAIL_MARGIN = 2.5
# That is asked for in the later part of a shutdown only: callers take a while to notice
# that the daemon leaves, and send most requests in the earlier part.
TAIL_SHARE = 0.5
# Assumed of a route without a latency objective and recent requests.
DEFAULT_DURATION = timedelta(seconds=2)


class ShutdownAdmission:
    """Decide until when a request may be sent to a backend server.

    A daemon that shuts down rejects what it would probably have to cut, and in the
    later part of the shutdown also what it might have to cut. That applies
    to its own callers only, who may send the request to any other daemon at once, and
    lasts from SIGTERM to the end of the process. Nothing is rejected without a limit
    of the shutdown, or if the request's deadline falls before that limit. Other limits
    on a request (retries, quotas, suspects) apply independently.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        # Monotonic times of ends, and durations, by service and route.
        self.attempts: OrderedDict[
            tuple[str, str], deque[tuple[timedelta, timedelta]]
        ] = OrderedDict()

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that says nothing about the duration of requests."""
        return []

    @handle.register
    def _(self, event: AttemptEnded) -> list[Any]:
        if event.status is None:
            return []
        key = (event.request.service, event.request.route)
        attempts = self.attempts.get(key)
        if attempts is None:
            attempts = self.attempts[key] = deque(maxlen=KEPT_ATTEMPTS)
            if len(self.attempts) > MAX_ROUTES:
                self.attempts.popitem(last=False)
        self.attempts.move_to_end(key)
        attempts.append((self.clock.monotonic(), event.duration))
        return []

    def may_start(self, request: RequestContext) -> bool:
        """Return whether a request may be sent to a backend server now."""
        latest_start = self.compute_latest_start(request)
        return latest_start is None or self.clock.monotonic() <= latest_start

    def compute_latest_start(self, request: RequestContext) -> timedelta | None:
        """Return the monotonic time until which a request may be sent.

        :return: ``None`` if the shutdown sets no limit.
        """
        stops_at = self.blackboard.stops_at
        if stops_at is None or request.deadline <= stops_at:
            return None
        duration = self.estimate_duration(request)
        time_needed = max(
            DURATION_MARGIN * duration,
            min(TAIL_MARGIN * duration, self.compute_late_part()),
        )
        return stops_at - time_needed

    def compute_late_part(self) -> timedelta:
        """Return how long the later part of the shutdown is."""
        started_at, stops_at = self.blackboard.stopping_since, self.blackboard.stops_at
        if started_at is None or stops_at is None:
            return timedelta()
        return TAIL_SHARE * (stops_at - started_at)

    def estimate_duration(self, request: RequestContext) -> timedelta:
        """Return how long a request may take, from what is known of its route.

        That is its latency objective, or longer if recent requests took longer.
        """
        oldest = self.clock.monotonic() - RECENT_TIME
        attempts = self.attempts.get((request.service, request.route), ())
        recent = [duration for ended_at, duration in attempts if ended_at >= oldest]
        return max((request.aim, *recent)) or DEFAULT_DURATION
