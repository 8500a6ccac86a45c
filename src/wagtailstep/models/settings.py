"""Settings of the daemon, read from one JSON file."""

import re
from collections.abc import Callable
from typing import Any

import attrs

from wagtailstep.exceptions import SettingsError

_ADDRESS = re.compile(r"^[^\s:/]+:\d{1,5}$")
MAX_PORT = 65_535


class SettingValueError(SettingsError, ValueError):
    """A value has the right type and is not allowed.

    :param name: name of the setting.
    """

    def __init__(self, name: str, message: str) -> None:
        super().__init__(message)
        self.name = name


def check_positive(_: Any, attribute: attrs.Attribute, value: float) -> None:
    """Refuse zero and less.

    :raises SettingValueError: if the value is not positive.
    """
    if value <= 0:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give a number above 0"
        )


def check_not_negative(_: Any, attribute: attrs.Attribute, value: float) -> None:
    """Refuse less than zero.

    :raises SettingValueError: if the value is negative.
    """
    if value < 0:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give 0 or more"
        )


def check_address(_: Any, attribute: attrs.Attribute, value: str) -> None:
    """Refuse what is not ``host:port``.

    :raises SettingValueError: if the value is not an address.
    """
    is_address = bool(_ADDRESS.match(value))
    if not is_address or int(value.rpartition(":")[2]) > MAX_PORT:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give an address as host:port"
        )


def check_addresses(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Refuse a list with an element that is not ``host:port``.

    :raises SettingValueError: if an element is not an address.
    """
    for element in value:
        check_address(instance, attribute, element)


def check_name(_: Any, attribute: attrs.Attribute, value: str) -> None:
    """Refuse an empty name and one with spaces or slashes.

    :raises SettingValueError: if the value is not a name.
    """
    if not re.fullmatch(r"[A-Za-z0-9._-]+", value):
        raise SettingValueError(
            attribute.name,
            f"{value!r} is not allowed; use letters, digits, dot, dash, underscore",
        )


def check_choice(*choices: str) -> Callable[[Any, attrs.Attribute, str], None]:
    """Return a validator that refuses what is none of some choices.

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

    :param default_timeout_ms: time allowed to a request that names no deadline.
    :param queue_length: requests that may wait at the gate for one target.
    :param queue_timeout_ms: expected wait at the gate from which on it sheds.
    :param retry_ratio: retries allowed per first attempt, on average.
    :param retry_burst: retries allowed at once when there were none before.
    :param max_attempts: attempts at one request, the first one included.
    :param connect_timeout_ms: time to open a connection to a gate.
    :param connection_idle_ms: an idle connection older than this is not reused.
    :param probe_path: path that a probe of a backend server asks for.
    :param other_zone_cost: factor on the cost of a target in another availability
        zone; 1 ignores zones.
    :param other_zone_share: factor on the weight with which such a target is drawn
        for a first attempt; 1 draws from all zones alike.
    :param replay_body_bytes: size up to which a request body is kept for a resend.
    :param account_buckets: client accounts whose rates are remembered at once.
    :param tickets_kept: tickets and claimed keys that one daemon remembers.
    :param answer_bytes: size up to which the answer of a keyed request is kept.
    :param answers_kept_bytes: total size of the kept answers.
    :param claims_kept: claims that one daemon remembers, all services together.
    :param unsafe_idle_ms: an idle connection older than this takes no non-idempotent
        request.
    :param caller_request_ids: whether callers name their requests, backend servers
        repeat the name in their answers, and say whether they executed a request.
    :param trust_slots: whether backend servers run as many requests as they announce
        and get none but through their gate.
    :param retry_slack: retries that all daemons together may make for a service in
        ``retry_window_ms`` beyond ``retry_ratio``; 0 gives each daemon its own
        ``retry_burst``.
    :param retry_window_ms: length of any window in which the retries are counted.
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
    :param timeout_ms: time allowed to one call.
    :param poll_ms: time between two reads of a followed stream.
    :param retention_s: how long the log keeps a record.
    """

    address: str = attrs.field(default="127.0.0.1:7400", validator=check_address)
    timeout_ms: int = positive(1_000)
    poll_ms: int = positive(500)
    retention_s: float = positive(86_400.0)


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
    :param event_ring_size: events kept in memory for the time line.
    :param seed: seed of all random choices; ``None`` takes one from the system.
    :param service: service of the backend server beside the daemon, which backend
        servers are told as the caller of requests that begin here; may be empty.
    :param ready_address: ``host:port`` where readiness is asked for; empty for none.
    :param metrics_address: ``host:port`` of ``GET /metrics``; empty for none.
    :param shutdown_ms: longest time between SIGTERM and the end of the process; 0
        takes the drain limits of the table.
    :param shutdown_notice_ms: time for which the daemon takes new connections after
        SIGTERM, so that whoever watches its readiness sees it end first.
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
