"""Active probes of backend servers, sent through their gates like any request."""

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
    """Probe a target with one side-effect-free request.

    :param settings: sets the path of probes.
    :param blackboard: used to look up the target and its gate.
    :param clock: used for deadlines and durations.
    :param rng: source of request identifiers.
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
        """Probe one target; the probe of a target that is no longer known fails."""
        started = self.clock.monotonic()
        succeeded = await self.send_probe(effect)
        return ProbeFinished(
            effect.target_id, succeeded, self.clock.monotonic() - started
        )

    async def send_probe(self, effect: ProbeTarget) -> bool:
        """Send a probe and return whether the target responded successfully in time."""
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
        """Build the request context of a probe."""
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
        """Read a response to its end and return whether its status is no error."""
        try:
            async for _ in response.body:
                pass
        finally:
            await response.close()
        return response.status < FIRST_ERROR_STATUS
