"""What a daemon tells about itself."""

from collections import Counter
from datetime import datetime

import attrs

from wagtailstep.models.blackboard import Blackboard


@attrs.frozen
class DaemonStatus:
    """Answer to ``GET /.wagtailstep/status``.

    :param daemon_id: name of the daemon.
    :param incarnation: rises with each restart.
    :param availability_zone: its availability zone.
    :param table_version: version of the table in force here.
    :param table_known: whether it has a table at all.
    :param table_since_utc: since when that version is in force.
    :param log_reachable: whether the log service answered last time.
    :param draining: whether it is shutting down.
    :param members: number of daemons by what is believed of them.
    :param targets: number of known targets by service.
    :param ejected: targets out of service for the whole fleet.
    :param steered: targets that this daemon avoids as far as the floor permits.
    :param in_flight: requests of its callers that have not ended.
    """

    daemon_id: str
    incarnation: int
    availability_zone: str
    table_version: int
    table_known: bool
    table_since_utc: datetime | None
    log_reachable: bool
    draining: bool
    members: dict[str, int]
    targets: dict[str, int]
    ejected: list[str]
    steered: list[str]
    in_flight: int


def describe_status(blackboard: Blackboard) -> DaemonStatus:
    """Read a daemon's status off its blackboard."""
    member = blackboard.this_member
    steered = [name for name, h in blackboard.health.items() if h.avoided]
    return DaemonStatus(
        daemon_id=member.daemon_id,
        incarnation=member.incarnation,
        availability_zone=member.availability_zone,
        table_version=blackboard.table.version,
        table_known=blackboard.table_known,
        table_since_utc=blackboard.table_since,
        log_reachable=blackboard.log_reachable,
        draining=blackboard.draining,
        members=dict(Counter(m.state.value for m in blackboard.members.values())),
        targets=dict(Counter(t.service for t in blackboard.targets.values())),
        ejected=sorted(blackboard.ejected),
        steered=sorted(steered),
        in_flight=sum(blackboard.in_flight.by_service.values()),
    )
