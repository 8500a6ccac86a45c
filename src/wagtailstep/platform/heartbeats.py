"""Converts heartbeats of the target on this machine into announcements."""

import logging
import re
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import msgspec
from blacksheep import Application, Request, Response

from wagtailstep.exceptions import BadRequestError, DecodeError
from wagtailstep.models.events import InstanceWithdrawn, TargetAnnounced
from wagtailstep.models.fleet import Target, TargetStanding, TargetState
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.announcements import (
    check_address,
    check_slots,
    read_limited_body,
)
from wagtailstep.network.departure_answers import (
    acknowledge_at_once,
    build_acknowledgement,
)
from wagtailstep.network.route_handlers import wrap_handler
from wagtailstep.utils.clock import Clock, get_unix_ms
from wagtailstep.utils.codec import DECODE_FAILURES
from wagtailstep.utils.durations import parse_duration
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
INSTANCE_PATH = "/v1/instances/{id}"
# Identifiers become part of header values and log lines.
INSTANCE_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
SERVICE_PATTERN = r"^[A-Za-z0-9._-]{1,64}$"
# Part of the messages between daemons, whose numbers have 64 bits.
Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
# A process that says it started later than this from now can't be believed: it would
# hide all that start before that time.
MAX_CLOCK_ERROR_MS = 60_000
MAX_HEARTBEAT_BYTES = 65_536
TARGET_STATES = {"ready": TargetState.SERVING, "draining": TargetState.LEAVING}


class Heartbeat(msgspec.Struct, rename="kebab"):
    """Body of a heartbeat. One without all fields was not written by a target.

    :param address: ``host:port`` of the target; reachable only from its own machine.
    :param warmup_left: remaining time of its warm-up, during which it is slow.
    :param sequence: increases with each heartbeat of one process.
    :param born: start time of the process, as Unix time in milliseconds; required.
    """

    service: Annotated[str, msgspec.Meta(pattern=SERVICE_PATTERN)]
    address: str
    state: str
    zone: str
    version: str
    slots: int
    warmup_left: str
    sequence: Count
    born: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]


class HeartbeatHandler:
    """Converts heartbeats into events; logs and rejects malformed ones.

    :param dispatch: called with each event.
    :param settings: settings of the daemon.
    :param clock: clock for the time of a withdrawal.
    :param answer_departure: answers an instance that leaves.
    """

    def __init__(
        self,
        dispatch: Callable[[Any], None],
        settings: DaemonSettings,
        clock: Clock,
        answer_departure: Callable[[str], Awaitable[Response]] = acknowledge_at_once,
    ) -> None:
        self.dispatch = dispatch
        self.answer_departure = answer_departure
        self.settings = settings
        self.clock = clock

    async def handle_heartbeat(self, request: Request) -> Response:
        """Handle a heartbeat."""
        instance_id = request.route_values["id"]
        try:
            body = await read_limited_body(request, MAX_HEARTBEAT_BYTES)
            event = self.parse_heartbeat(instance_id, body)
        except (*DECODE_FAILURES, BadRequestError, DecodeError) as error:
            log_event(
                LOGGER, "heartbeat-refused", instance=instance_id[:64], error=error
            )
            return Response(400)
        self.dispatch(event)
        if event.target.state is TargetState.LEAVING:
            return await self.answer_departure(instance_id)
        return build_acknowledgement()

    def parse_heartbeat(self, instance_id: str, body: bytes) -> TargetAnnounced:
        """Convert the body of a heartbeat into an announcement.

        :raises MsgspecError: if the body has missing or invalid fields.
        :raises RecursionError: if the body is nested too deeply.
        :raises BadRequestError: if a value is not allowed.
        :raises DecodeError: if a duration is malformed.
        """
        if INSTANCE_ID.fullmatch(instance_id) is None:
            raise BadRequestError("the identifier is too long or has other characters")
        heartbeat = msgspec.json.decode(body, type=Heartbeat)
        if heartbeat.state not in TARGET_STATES:
            raise BadRequestError(f"state {heartbeat.state!r} is unknown")
        check_address(heartbeat.address, self.settings)
        check_slots(heartbeat.slots)
        if heartbeat.born > get_unix_ms(self.clock) + MAX_CLOCK_ERROR_MS:
            raise BadRequestError(f"born {heartbeat.born} is in the future")
        warming = bool(parse_duration(heartbeat.warmup_left))
        target = Target(
            target_id=f"{heartbeat.service}/{instance_id}",
            service=heartbeat.service,
            daemon_id=self.settings.daemon_id,
            availability_zone=self.settings.availability_zone,
            slots=heartbeat.slots,
            state=TARGET_STATES[heartbeat.state],
            standing=TargetStanding.WARMING if warming else TargetStanding.GOOD,
            address=heartbeat.address,
        )
        return TargetAnnounced(target, heartbeat.born, heartbeat.sequence)

    async def handle_withdrawal(self, request: Request) -> Response:
        """Handle the withdrawal of a target."""
        instance_id = request.route_values["id"]
        if INSTANCE_ID.fullmatch(instance_id) is None:
            return Response(400)
        event = InstanceWithdrawn(
            instance_id, self.settings.service, get_unix_ms(self.clock)
        )
        self.dispatch(event)
        return await self.answer_departure(instance_id)


def add_heartbeat_routes(
    app: Application,
    dispatch: Callable[[Any], None],
    settings: DaemonSettings,
    clock: Clock,
    answer_departure: Callable[[str], Awaitable[Response]],
) -> None:
    """Add the routes for heartbeats to an application."""
    handler = HeartbeatHandler(dispatch, settings, clock, answer_departure)
    app.router.add("PUT", INSTANCE_PATH, wrap_handler(handler.handle_heartbeat))
    app.router.add("DELETE", INSTANCE_PATH, wrap_handler(handler.handle_withdrawal))
