"""Settings of the daemon, read from one JSON file."""

import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.exceptions import SettingsError

_ADDRESS = re.compile(r"^[^\s:/]+:\d{1,5}$")
MAX_PORT = 65_535
MILLISECOND = timedelta(milliseconds=1)
# Part of the time between SIGTERM and SIGKILL in which requests may end. The rest is
# for closing.
SHUTDOWN_SHARE = 0.95
# Leaves requests that arrive at the end of the notice as much time as it took.
MAX_NOTICE_SHARE = 0.5


class SettingValueError(SettingsError, ValueError):
    """The value of a setting has the right type but is not allowed.

    :param name: name of the setting.
    """

    def __init__(self, name: str, message: str) -> None:
        super().__init__(message)
        self.name = name


def check_positive(_: Any, attribute: attrs.Attribute, value: float) -> None:
    """Reject zero and negative values.

    :raises SettingValueError: if the value is not positive.
    """
    if value <= 0:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give a number above 0"
        )


def check_not_negative(_: Any, attribute: attrs.Attribute, value: float) -> None:
    """Reject negative values.

    :raises SettingValueError: if the value is negative.
    """
    if value < 0:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give 0 or more"
        )


def check_address(_: Any, attribute: attrs.Attribute, value: str) -> None:
    """Reject a value that is not ``host:port``.

    :raises SettingValueError: if the value is not an address.
    """
    is_address = bool(_ADDRESS.match(value))
    if not is_address or int(value.rpartition(":")[2]) > MAX_PORT:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give an address as host:port"
        )


def check_addresses(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Reject a list with an element that is not ``host:port``.

    :raises SettingValueError: if an element is not an address.
    """
    for element in value:
        check_address(instance, attribute, element)


def check_name(_: Any, attribute: attrs.Attribute, value: str) -> None:
    """Reject an empty name and one with other than the allowed characters.

    :raises SettingValueError: if the value is not a valid name.
    """
    if not re.fullmatch(r"[A-Za-z0-9._-]+", value):
        raise SettingValueError(
            attribute.name,
            f"{value!r} is not allowed; use letters, digits, dot, dash, underscore",
        )


def check_choice(*choices: str) -> Callable[[Any, attrs.Attribute, str], None]:
    """Return a validator that accepts only the given choices.

    The validator raises :class:`SettingValueError`.
    """

    def check(_: Any, attribute: attrs.Attribute, value: str) -> None:
        if value not in choices:
            raise SettingValueError(
                attribute.name,
                f"{value!r} is not allowed; give one of {', '.join(choices)}",
            )

    return check


check_log_level = check_choice("DEBUG", "INFO", "WARNING", "ERROR")
check_member_source = check_choice("stream", "registry")


def positive(default: Any) -> Any:
    """Declare a field whose value must be above 0."""
    return attrs.field(default=default, validator=check_positive)


def not_negative(default: Any) -> Any:
    """Declare a field whose value must be 0 or more."""
    return attrs.field(default=default, validator=check_not_negative)


@attrs.frozen
class RequestSettings:
    """How requests are queued, limited and retried.

    :param default_timeout_ms: timeout of a request that sets none.
    :param queue_length: requests that may queue at the gate for one target.
    :param queue_timeout_ms: expected queueing time above which the gate sheds load.
    :param retry_ratio: retries allowed per first attempt, on average.
    :param retry_burst: retries allowed at once after a time without retries.
    :param max_attempts: attempts per request, including the first.
    :param connect_timeout_ms: time to open a connection to a gate.
    :param connection_idle_ms: an idle connection older than this is not reused.
    :param probe_path: path requested by probes of a backend server.
    :param other_zone_cost: factor on the cost of a target in another availability
        zone; 1 ignores zones.
    :param other_zone_share: factor on the weight of such a target in the random choice
        for a first attempt; 1 ignores zones.
    :param replay_body_bytes: size up to which a request body is buffered for a retry.
    :param account_buckets: number of client accounts whose rates are tracked.
    :param tickets_kept: number of tickets and claimed keys that one daemon stores.
    :param answer_bytes: size up to which the response to a keyed request is stored.
    :param answers_kept_bytes: total size of the stored responses.
    :param claims_kept: number of claims that one daemon stores, over all services.
    :param unsafe_idle_ms: an idle connection older than this is not used for
        non-idempotent requests.
    :param caller_request_ids: whether callers assign request identifiers, and backend
        servers repeat these in responses and report whether they ran a request.
    :param trust_slots: whether backend servers can run as many requests as they
        announce, and get requests only through their gate.
    :param retry_slack: retries in excess of ``retry_ratio`` that all daemons together
        may make for a service within ``retry_window_ms``; 0 gives each daemon a
        ``retry_burst`` of its own instead.
    :param retry_window_ms: length of the sliding window in which retries are counted.
    :param declined_queue_length: requests declined by a backend server that may wait
        for a retry at one daemon; 0 refuses them when the budget is used up, and
        counts a declined arrival as an execution. Needs ``retry_slack``.
    :param hedge_ratio: second copies of slow idempotent requests that a daemon may send
        within ``retry_window_ms``, as a share of its requests for the service; 0 for
        none. Each one also takes a retry, so it needs ``retry_slack``.
    """

    default_timeout_ms: int = positive(30_000)
    queue_length: int = not_negative(16)
    queue_timeout_ms: int = positive(1_000)
    retry_ratio: float = not_negative(0.1)
    retry_burst: int = not_negative(10)
    max_attempts: int = positive(3)
    connect_timeout_ms: int = positive(1_000)
    connection_idle_ms: int = positive(5_000)
    probe_path: str = "/health"
    other_zone_cost: float = positive(1.25)
    other_zone_share: float = positive(1.0)
    replay_body_bytes: int = positive(65_536)
    account_buckets: int = positive(1_024)
    tickets_kept: int = positive(10_000)
    answer_bytes: int = positive(16_384)
    answers_kept_bytes: int = positive(4_194_304)
    claims_kept: int = positive(20_000)
    unsafe_idle_ms: int = not_negative(500)
    caller_request_ids: bool = False
    trust_slots: bool = False
    retry_slack: float = not_negative(0.0)
    retry_window_ms: int = positive(10_000)
    declined_queue_length: int = not_negative(0)
    hedge_ratio: float = not_negative(0.0)


@attrs.frozen
class MembershipSettings:
    """How daemons find and monitor each other.

    :param seeds: ``host:port`` control channels through which to join the fleet.
    :param probe_interval_ms: time between two pings sent by this daemon.
    :param probe_timeout_ms: time to wait for an answer to a ping.
    :param suspicion_timeout_ms: time that a suspect daemon has to refute suspicion.
    :param lease_ms: time after which a target lapses if it is not renewed.
    :param renew_ms: time between two renewals of a daemon's targets.
    :param announce_lease_ms: a backend server beside the daemon that doesn't renew
        its announcement for this long is considered gone.
    :param indirect_probes: number of daemons asked to ping one that doesn't answer.
    :param rejoin_ms: time between two attempts to reach a seed or a dead daemon.
    :param dead_retention_s: how long a dead daemon stays known and is contacted again.
    :param digest_fanout: daemons of one service that a heartbeat is sent to in each
        round; there are three rounds per ``renew_ms``.
    :param digest_sends: how often a daemon forwards the same heartbeat of another.
    :param member_append_s: mean time between two appends of the whole fleet to the
        log's stream of members.
    :param member_source: ``stream`` reads the log's stream of members; ``registry``
        lists a registry that holds one record for each daemon.
    """

    seeds: tuple[str, ...] = attrs.field(default=(), validator=check_addresses)
    probe_interval_ms: int = positive(1_000)
    probe_timeout_ms: int = positive(300)
    suspicion_timeout_ms: int = positive(3_000)
    lease_ms: int = positive(1_800)
    renew_ms: int = positive(600)
    announce_lease_ms: int = positive(3_000)
    indirect_probes: int = not_negative(3)
    rejoin_ms: int = positive(5_000)
    dead_retention_s: float = positive(7_200.0)
    digest_fanout: int = positive(2)
    digest_sends: int = positive(4)
    member_append_s: float = positive(20.0)
    member_source: str = attrs.field(default="stream", validator=check_member_source)


@attrs.frozen
class LogSettings:
    """Where the log service is and how it is used.

    :param address: ``host:port`` of the log service.
    :param timeout_ms: timeout of one call.
    :param poll_ms: time between two reads of a followed stream.
    :param retention_s: how long the log keeps a record.
    """

    address: str = attrs.field(default="127.0.0.1:7400", validator=check_address)
    timeout_ms: int = positive(1_000)
    poll_ms: int = positive(500)
    retention_s: float = positive(86_400.0)


@attrs.frozen
class TableSettings:
    """How daemons exchange the table and store it in the log.

    :param apply_limit_ms: time within which a published version has to be in force at
        each daemon that can reach the platform.
    :param digest_interval_ms: time between two digests to a random member.
    :param repeat_interval_ms: time between two unsolicited sends of the newest records
        to a random member, which may be able to receive but not to send requests.
    :param repeat_bytes: size limit of older records sent along with newer ones.
    :param push_fanout: number of random members that a new record, or the version of
        a published table, is sent to.
    :param confirm_timeout_ms: how long a record read from the log waits for another
        member to confirm that it holds it too, before the record takes effect.
    :param first_answers: number of members whose answers a daemon without a table
        waits for, if the log can't be read.
    :param first_answers_timeout_ms: time after which it continues with fewer answers.
    :param reply_bytes: size limit of the records in one message.
    :param chunk_bytes: size of the part of a snapshot in one message.
    :param chunk_timeout_ms: time after which a missing chunk is requested again.
    :param snapshot_edits: number of records after the last snapshot at which the next
        one is due.
    """

    apply_limit_ms: int = positive(2_000)
    digest_interval_ms: int = positive(1_000)
    repeat_interval_ms: int = positive(4_000)
    repeat_bytes: int = positive(1_024)
    push_fanout: int = positive(3)
    confirm_timeout_ms: int = positive(1_000)
    first_answers: int = positive(5)
    first_answers_timeout_ms: int = positive(5_000)
    reply_bytes: int = positive(8_192)
    chunk_bytes: int = positive(16_384)
    chunk_timeout_ms: int = positive(1_000)
    snapshot_edits: int = positive(256)


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
    :param event_ring_size: number of events kept in memory for the timeline.
    :param seed: seed of all random choices; ``None`` for one from the system.
    :param service: service of the backend server beside the daemon. It is reported to
        backend servers as the caller of requests that enter here; may be empty.
    :param ready_address: ``host:port`` of the readiness check; empty for none.
    :param metrics_address: ``host:port`` of ``GET /metrics``; empty for none.
    :param shutdown_ms: longest time between SIGTERM and the end of the process; 0
        for the drain limits of the table.
    :param shutdown_notice_ms: time for which the daemon accepts new connections after
        SIGTERM, so that load balancers first see that it is not ready any more.
    """

    daemon_id: str = attrs.field(validator=check_name)
    availability_zone: str = attrs.field(validator=check_name)
    caller_address: str = attrs.field(validator=check_address)
    gate_address: str = attrs.field(validator=check_address)
    peer_address: str = attrs.field(validator=check_address)
    announce_address: str = attrs.field(validator=check_address)
    log_level: str = attrs.field(default="INFO", validator=check_log_level)
    event_ring_size: int = positive(4_096)
    seed: int | None = None
    service: str = ""
    ready_address: str = ""
    metrics_address: str = ""
    shutdown_ms: int = not_negative(0)
    shutdown_notice_ms: int = positive(1_000)
    requests: RequestSettings = RequestSettings()
    membership: MembershipSettings = MembershipSettings()
    log: LogSettings = LogSettings()
    table: TableSettings = TableSettings()


# Settings of a daemon that a running one takes over from a changed file.
RELOADED_SETTINGS = frozenset(
    {
        "log_level",
        "shutdown_ms",
        "shutdown_notice_ms",
        "requests.retry_ratio",
        "requests.retry_slack",
    }
)


def list_changes(old: Any, new: Any, prefix: str = "") -> list[str]:
    """Return the names of the settings that differ, with dots between levels.

    :param old: settings of one class.
    :param new: settings of the same class.
    """
    names: list[str] = []
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        name = f"{prefix}{field.name}"
        if attrs.has(type(before)) and type(before) is type(after):
            names += list_changes(before, after, f"{name}.")
        elif before != after:
            names.append(name)
    return names


def fit_to_grace(settings: DaemonSettings, grace: timedelta) -> DaemonSettings:
    """Return settings whose shutdown uses the time that the platform grants for it.

    :param grace: time between SIGTERM and SIGKILL.
    """
    grace_ms = grace / MILLISECOND
    longest_notice_ms = max(1, round(MAX_NOTICE_SHARE * grace_ms))
    return attrs.evolve(
        settings,
        shutdown_ms=max(1, round(SHUTDOWN_SHARE * grace_ms)),
        shutdown_notice_ms=min(settings.shutdown_notice_ms, longest_notice_ms),
    )
