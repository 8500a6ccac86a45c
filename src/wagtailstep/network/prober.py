"""Probes of backend servers, through their gates like any request."""

import random
from datetime import timedelta

from wagtailstep.exceptions import RequestError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import ProbeFinished, ProbeTarget
from wagtailstep.models.exchange import Answer, Forwarder, IncomingRequest
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.problems import yield_body
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.ids import make_id

PROBE_ROUTE = "wagtailstep-probe"
FIRST_ERROR_STATUS = 500


class Prober:
    """Send one harmless request to a target and judge the answer.

    :param settings: names the path to ask for.
    :param blackboard: tells which gate is beside the target.
    :param forwarder: sends the request.
    """

    def __init__(
        self,
        settings: RequestSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        forwarder: Forwarder,
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.forwarder = forwarder

    async def probe(self, effect: ProbeTarget) -> ProbeFinished:
        """Probe one target; a target that is not known any more has failed."""
        started = self.clock.monotonic()
        succeeded = await self.send_probe(effect)
        return ProbeFinished(
            effect.target_id, succeeded, self.clock.monotonic() - started
        )

    async def send_probe(self, effect: ProbeTarget) -> bool:
        """Return whether the target answered well in time."""
        target = self.blackboard.targets.get(effect.target_id)
        gate = target and self.blackboard.members.get(target.daemon_id)
        if target is None or gate is None:
            return False
        path = self.settings.probe_path
        incoming = IncomingRequest("GET", path, (), yield_body(b""))
        request = self.build_request(target.service, path, effect.timeout)
        try:
            response = await self.forwarder.forward(
                request, gate, target.target_id, incoming, effect.timeout
            )
            return await self.drain_response(response)
        except RequestError:
            return False

    def build_request(
        self, service: str, path: str, timeout: timedelta
    ) -> RequestContext:
        """Return the context of a probe."""
        return RequestContext(
            request_id=make_id(self.rng),
            service=service,
            route=PROBE_ROUTE,
            account="",
            method="GET",
            path=path,
            idempotent=True,
            idempotency_key=None,
            deadline=self.clock.monotonic() + timeout,
        )

    async def drain_response(self, response: Answer) -> bool:
        """Read an answer to its end and judge its status."""
        try:
            async for _ in response.body:
                pass
        finally:
            await response.close()
        return response.status < FIRST_ERROR_STATUS
