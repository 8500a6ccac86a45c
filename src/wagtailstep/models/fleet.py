"""Daemons and backend servers of the fleet, as known to one daemon."""

import enum
from datetime import timedelta

import attrs

from wagtailstep.models.server_notices import NO_RATE_LIMIT


class TargetState(enum.Enum):
    """Stage in the life of a backend server."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class TargetStanding(enum.IntEnum):
    """How well a backend server performs, as judged by its gate.

    A ``DOUBTED`` server failed recently and gets only requests whose failure does no
    harm. A ``FAILING`` one has just failed several and gets none for a short time; only
    its own gate knows it as such.
    """

    GOOD = 0
    WARMING = 1
    DOUBTED = 2
    FAILING = 3


@attrs.frozen
class Target:
    """One backend server of one service.

    :param target_id: ``service/host:port`` of the backend server, or ``service/``
        and its own identifier if it announced one; unique.
    :param service: name of the service.
    :param daemon_id: identifier of the daemon (gate) beside it.
    :param availability_zone: availability zone of the instance.
    :param slots: requests that it runs concurrently.
    :param state: stage in its life.
    :param incarnation: increases when it is announced again after a restart.
    :param standing: how well it performs, as judged by its gate.
    :param address: ``host:port``, known to its gate only; if empty, the one in
        ``target_id`` is used.
    :param rate_limit: requests a second that it takes, as its responses said to its
        gate; ``NO_RATE_LIMIT`` if the gate knows of no limit.
    :param process_started: start time of its process, in any unit that increases; 0
        if unknown.
    """

    target_id: str
    service: str
    daemon_id: str
    availability_zone: str
    slots: int = 4
    state: TargetState = TargetState.SERVING
    incarnation: int = 0
    standing: TargetStanding = TargetStanding.GOOD
    address: str = ""
    rate_limit: float = NO_RATE_LIMIT
    process_started: int = 0

    @property
    def instance_id(self) -> str:
        """Return the identifier that the server announced, or else its address."""
        return self.target_id.partition("/")[2]

    @property
    def dial_address(self) -> str:
        """Return the ``host:port`` that its gate connects to."""
        return self.address or self.instance_id


class MemberState(enum.Enum):
    """State of a member as this daemon knows it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class Member:
    """One daemon.

    :param daemon_id: unique name of the daemon, from its settings.
    :param incarnation: increases with each restart and each refuted suspicion.
    :param peer_address: ``host:port`` of its control channel (ZeroMQ).
    :param gate_address: ``host:port`` where it accepts requests of other daemons.
    :param availability_zone: its availability zone, from its settings.
    :param services: services that it has targets of or requests the targets of.
    :param state: its state as this daemon knows it.
    :param serves: those of ``services`` that have a target beside it.
    """

    daemon_id: str
    incarnation: int
    peer_address: str
    gate_address: str
    availability_zone: str
    services: tuple[str, ...] = ()
    state: MemberState = MemberState.ALIVE
    serves: tuple[str, ...] = ()


@attrs.define
class TargetHealth:
    """Assessment of one target by this daemon, read by the routing controller.

    :param penalty: factor of at least 1 on the cost of choosing the target; 1 for a
        healthy target.
    :param latency: typical time to a complete response; ``None`` before the first.
    :param avoided: whether this daemon avoids it, as far as the floor permits.
    :param ramp: fraction of its weight in use during slow start, from 0 to 1.
    """

    penalty: float = 1.0
    latency: timedelta | None = None
    avoided: bool = False
    ramp: float = 1.0
