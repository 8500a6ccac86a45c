"""Status report of a daemon."""

from collections import Counter
from datetime import datetime

import attrs

from wagtailstep.models.blackboard import Blackboard


@attrs.frozen
class DaemonStatus:
    """Response to ``GET /.wagtailstep/status``.

    :param daemon_id: name of the daemon.
    :param incarnation: increases with each restart.
    :param availability_zone: its availability zone.
    :param table_version: version of the table in force here.
    :param table_known: whether it has any table.
    :param table_since_utc: when that version came into force.
    :param unreadable_routes: routes of that version that this release can't read; their
        requests are rejected.
    :param log_reachable: whether the last call of the log service succeeded.
    :param draining: whether it is shutting down.
    :param members: number of daemons by their state as known here.
    :param targets: number of known targets by service.
    :param ejected: targets ejected for the whole fleet.
    :param steered: targets that this daemon avoids as far as the floor permits.
    :param in_flight: unfinished requests of its callers.
    :param accounts: client accounts of that version; ``None`` if it lists none.
    :param unreadable_accounts: those among them that this release can't read; requests
        with their keys are rejected.
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
    unreadable_routes: int = 0
    accounts: int | None = None
    unreadable_accounts: int = 0


def describe_status(blackboard: Blackboard) -> DaemonStatus:
    """Build the status of a daemon from its blackboard."""
    member = blackboard.this_member
    accounts = blackboard.table.client_accounts
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
        unreadable_routes=len(blackboard.table.host_routes.unreadable),
        accounts=None if accounts is None else len(accounts),
        unreadable_accounts=0 if accounts is None else len(accounts.unreadable),
    )
