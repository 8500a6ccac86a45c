"""Settings of the daemon, read from one JSON file."""

import attrs


@attrs.frozen
class RequestSettings:
    """How requests are queued, limited and retried.

    :param default_timeout_ms: time allowed to a request that names no deadline.
    :param queue_length: requests that may wait at the gate for one target.
    :param queue_timeout_ms: longest wait at the gate before shedding.
    :param retry_ratio: retries allowed per first attempt, on average.
    :param retry_burst: retries allowed at once when there were none before.
    :param max_attempts: attempts at one request, the first one included.
    :param connect_timeout_ms: time to open a connection to a gate.
    :param connection_idle_ms: an idle connection older than this is not reused.
    """

    default_timeout_ms: int = 30_000
    queue_length: int = 16
    queue_timeout_ms: int = 1_000
    retry_ratio: float = 0.1
    retry_burst: int = 10
    max_attempts: int = 3
    connect_timeout_ms: int = 1_000
    connection_idle_ms: int = 5_000


@attrs.frozen
class MembershipSettings:
    """How daemons find and watch each other.

    :param seeds: ``host:port`` control channels to ask first.
    :param probe_interval_ms: time between two pings of this daemon.
    :param probe_timeout_ms: time to wait for an answer to a ping.
    :param suspicion_timeout_ms: time a suspect daemon has to refute.
    :param lease_ms: a target not renewed for this long has lapsed.
    :param renew_ms: time between two renewals.
    :param announce_lease_ms: a backend server beside the daemon that doesn't renew
        its announcement for this long has left.
    :param indirect_probes: daemons asked to ping a third one that doesn't answer.
    :param rejoin_ms: time between two attempts to reach a seed or a dead daemon.
    :param dead_retention_s: how long a dead daemon is remembered and tried again.
    :param digest_fanout: daemons of one service that a heartbeat is sent to in one
        round; there are three rounds in each ``renew_ms``.
    :param digest_sends: times that one daemon passes on one heartbeat of another.
    :param member_append_s: mean time between two appends to the log's stream of
        members by the whole fleet.
    """

    seeds: tuple[str, ...] = ()
    probe_interval_ms: int = 1_000
    probe_timeout_ms: int = 300
    suspicion_timeout_ms: int = 3_000
    lease_ms: int = 1_800
    renew_ms: int = 600
    announce_lease_ms: int = 3_000
    indirect_probes: int = 3
    rejoin_ms: int = 5_000
    dead_retention_s: float = 7_200.0
    digest_fanout: int = 2
    digest_sends: int = 4
    member_append_s: float = 20.0


@attrs.frozen
class LogSettings:
    """Where the log service is and how it is used.

    :param address: ``host:port`` of the log service.
    :param timeout_ms: time allowed to one call.
    :param poll_ms: time between two reads of a followed stream.
    :param retention_s: how long the log keeps a record.
    """

    address: str = ""
    timeout_ms: int = 1_000
    poll_ms: int = 500
    retention_s: float = 86_400.0


@attrs.frozen
class DaemonSettings:
    """All settings of one daemon.

    :param daemon_id: unique name of the daemon.
    :param availability_zone: availability zone of its instance.
    :param caller_address: ``host:port`` where callers send requests.
    :param gate_address: ``host:port`` where other daemons send requests.
    :param peer_address: ``host:port`` of the control channel.
    :param announce_address: loopback ``host:port`` for announcements.
    :param log_level: name of a level of the :mod:`logging` module.
    :param event_ring_size: events kept in memory for the time line.
    :param seed: seed of all random choices; ``None`` takes one from the system.
    """

    daemon_id: str
    availability_zone: str
    caller_address: str
    gate_address: str
    peer_address: str
    announce_address: str
    log_level: str = "INFO"
    event_ring_size: int = 4_096
    seed: int | None = None
    requests: RequestSettings = RequestSettings()
    membership: MembershipSettings = MembershipSettings()
    log: LogSettings = LogSettings()
