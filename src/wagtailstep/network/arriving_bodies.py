"""Time limits of request bodies that are still arriving."""

import asyncio
import contextlib
from collections.abc import Iterator
from datetime import timedelta

from wagtailstep.controllers.shutdown import ShutdownAdmission
from wagtailstep.models.request import RequestContext
from wagtailstep.network.deadlines import Deadline
from wagtailstep.utils.clock import Clock


class ArrivingBodies:
    """Requests that are sent on once their bodies have arrived.

    :param admission: decides until when that makes sense.
    """

    def __init__(self, admission: ShutdownAdmission, clock: Clock) -> None:
        self.admission = admission
        self.clock = clock
        self.deadlines: dict[Deadline, RequestContext] = {}

    @contextlib.contextmanager
    def track(self, request: RequestContext, deadline: Deadline) -> Iterator[None]:
        """Keep the deadline of a body no later than a shutdown demands."""
        self.deadlines[deadline] = request
        self.limit(request, deadline)
        try:
            yield
        finally:
            del self.deadlines[deadline]

    def limit_all(self) -> None:
        """Shorten the deadlines of all arriving bodies as a shutdown demands."""
        for deadline, request in self.deadlines.items():
            self.limit(request, deadline)

    def limit(self, request: RequestContext, deadline: Deadline) -> None:
        """Shorten the deadline of one body if the daemon shuts down."""
        latest_start = self.admission.compute_latest_start(request)
        if latest_start is not None:
            time_left = max(timedelta(), latest_start - self.clock.monotonic())
            now_s = asyncio.get_running_loop().time()
            deadline.shorten_to(now_s + time_left.total_seconds())
