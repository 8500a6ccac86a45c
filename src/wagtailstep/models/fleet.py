"""Daemons and backend servers as the fleet knows them."""

import enum
from datetime import timedelta

import attrs


class TargetState(enum.Enum):
    """Where a backend server is between its start and its end."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class TargetStanding(enum.IntEnum):
    """How a backend server does its work, as its gate sees it.

    ``DOUBTED`` has failed lately and takes work only where a failure does no harm;
    ``FAILING`` takes none but what finds out whether it still fails.
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
    :param slots: requests that it runs at the same time.
    :param state: where it is between start and end.
    :param incarnation: rises with each announcement after a restart.
    :param standing: what its gate sees of its work.
    :param address: ``host:port``, known to its gate only; an empty string stands for
        the one in ``target_id``.
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

    @property
    def instance_id(self) -> str:
        """Return what the backend server calls itself; else its address."""
        return self.target_id.partition("/")[2]

    @property
    def dial_address(self) -> str:
        """Return ``host:port`` for its gate."""
        return self.address or self.instance_id


class MemberState(enum.Enum):
    """What this daemon believes of another daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class Member:
    """One daemon.

    :param daemon_id: unique name of the daemon, from its settings.
    :param incarnation: rises with each restart and each refuted suspicion.
    :param peer_address: ``host:port`` of its control channel (ZeroMQ).
    :param gate_address: ``host:port`` where it takes requests of other daemons.
    :param availability_zone: its availability zone, from its settings.
    :param services: services whose targets it serves or asks for.
    :param state: what this daemon believes of it.
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
    """Judgement of one target by this daemon, read by the routing controller.

    :param penalty: factor of at least 1 on the cost of picking the target; 1 is
        a target in good standing.
    :param latency: typical time to a whole answer; ``None`` before the first one.
    :param avoided: whether local picks avoid it, as far as the floor permits.
    :param ramp: share of its weight in use during slow start, from 0 to 1.
    """

    penalty: float = 1.0
    latency: timedelta | None = None
    avoided: bool = False
    ramp: float = 1.0
