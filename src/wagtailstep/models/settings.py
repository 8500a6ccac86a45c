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
    """

    seeds: tuple[str, ...] = ()
    probe_interval_ms: int = 1_000
    probe_timeout_ms: int = 300
    suspicion_timeout_ms: int = 3_000
    lease_ms: int = 2_000
    renew_ms: int = 600


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
class TableSettings:
    """How daemons pass the table on and keep it in the log.

    :param digest_interval_ms: time between two digests to a random member.
    :param repeat_interval_ms: time between two repetitions of the newest records to
        a random member, which may be able to hear and unable to ask.
    :param repeat_bytes: most bytes of older records that go with newer ones.
    :param push_fanout: random members that a new record is passed on to.
    :param confirm_timeout_ms: a record read from the log waits this long for a
        member that holds it too, before it takes effect.
    :param first_answers: members that a daemon without a table hears first, if
        the log can't be read.
    :param first_answers_timeout_ms: after this it goes on with fewer of them.
    :param reply_bytes: most bytes of records in one message.
    :param chunk_bytes: bytes of a snapshot in one message.
    :param chunk_timeout_ms: a chunk that did not come by then is asked for again.
    :param snapshot_edits: records after the last snapshot that make one due.
    """

    digest_interval_ms: int = 1_000
    repeat_interval_ms: int = 4_000
    repeat_bytes: int = 1_024
    push_fanout: int = 3
    confirm_timeout_ms: int = 1_000
    first_answers: int = 5
    first_answers_timeout_ms: int = 5_000
    reply_bytes: int = 8_192
    chunk_bytes: int = 16_384
    chunk_timeout_ms: int = 1_000
    snapshot_edits: int = 256


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
    table: TableSettings = TableSettings()
