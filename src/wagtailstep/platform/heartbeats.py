"""Heartbeats of the target on this machine, turned into announcements."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from blacksheep import Application, Content, Request, Response

from wagtailstep.exceptions import BadRequestError, DecodeError
from wagtailstep.models.events import InstanceWithdrawn, TargetAnnounced
from wagtailstep.models.fleet import Target, TargetStanding, TargetState
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.announcements import check_address, check_slots
from wagtailstep.platform.configuration import read_time
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
PATH = "/v1/instances/{id}"
STATES = {"ready": TargetState.SERVING, "draining": TargetState.LEAVING}


class Heartbeat(msgspec.Struct, rename="kebab"):
    """What a target says of itself.

    :param address: ``host:port``; only processes on its machine reach it.
    :param warmup_left: how much longer it is slow after its start.
    :param sequence: rises with each call of one process.
    :param born: Unix time of its start in milliseconds.
    """

    service: str
    address: str
    state: str
    slots: int
    warmup_left: str = "0ms"
    sequence: int = 0
    born: int = 0


class HeartbeatRoutes:
    """Turn heartbeats into events, or refuse them with a reason.

    :param dispatch: takes the events.
    :param settings: settings of the daemon.
    :param clock: tells when a target left.
    """

    def __init__(
        self, dispatch: Callable[[Any], None], settings: DaemonSettings, clock: Clock
    ) -> None:
        self.dispatch = dispatch
        self.settings = settings
        self.clock = clock

    async def beat(self, request: Request) -> Response:
        """Take a heartbeat."""
        instance_id = request.route_values["id"]
        try:
            event = self.read(instance_id, await request.read() or b"")
        except (msgspec.MsgspecError, BadRequestError, DecodeError) as error:
            log_event(LOGGER, "heartbeat-refused", instance=instance_id, error=error)
            return Response(400)
        self.dispatch(event)
        return Response(200, None, Content(b"application/json", b"{}"))

    def read(self, instance_id: str, body: bytes) -> TargetAnnounced:
        """Return the announcement that a heartbeat stands for.

        :raises MsgspecError: if the body has missing or wrong fields.
        :raises BadRequestError: if a value is not allowed.
        :raises DecodeError: if a time can't be read.
        """
        beat = msgspec.json.decode(body, type=Heartbeat)
        if beat.state not in STATES:
            raise BadRequestError(f"state {beat.state!r} is unknown")
        check_address(beat.address, self.settings)
        check_slots(beat.slots)
        warming = bool(read_time(beat.warmup_left))
        target = Target(
            target_id=f"{beat.service}/{instance_id}",
            service=beat.service,
            daemon_id=self.settings.daemon_id,
            availability_zone=self.settings.availability_zone,
            slots=beat.slots,
            state=STATES[beat.state],
            standing=TargetStanding.WARMING if warming else TargetStanding.GOOD,
            address=beat.address,
        )
        return TargetAnnounced(target, beat.born, beat.sequence)

    async def leave(self, request: Request) -> Response:
        """Take the withdrawal of a target."""
        instance_id = request.route_values["id"]
        # ``born`` of a heartbeat is Unix time in milliseconds as well.
        now_ms = int(self.clock.utc().timestamp() * 1_000)
        event = InstanceWithdrawn(instance_id, self.settings.service, now_ms)
        self.dispatch(event)
        return Response(200, None, Content(b"application/json", b"{}"))


def add_heartbeat_routes(
    app: Application,
    dispatch: Callable[[Any], None],
    settings: DaemonSettings,
    clock: Clock,
) -> None:
    """Add the routes for heartbeats to an application."""
    routes = HeartbeatRoutes(dispatch, settings, clock)

    # The router marks its handlers, which only plain functions allow.
    async def beat(request: Request) -> Response:
        return await routes.beat(request)

    async def leave(request: Request) -> Response:
        return await routes.leave(request)

    app.router.add("PUT", PATH, beat)
    app.router.add("DELETE", PATH, leave)
