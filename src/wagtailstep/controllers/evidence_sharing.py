"""Share evidence between daemons: choose its collectors and build the messages.

A few daemons collect the evidence on a service. They are chosen by rendezvous
hashing among the daemons interested in the service, so that all daemons with the
same membership view choose the same collectors without any coordination.
"""

import math
import random
from collections.abc import Iterable, Iterator
from datetime import timedelta

import attrs
import xxhash

from wagtailstep.controllers.evidence_state import (
    SLOT_CAP,
    OutcomeCounts,
    ServiceEvidence,
    TargetEvidence,
)
from wagtailstep.controllers.sequential_test import (
    SLOTS_PER_WINDOW,
    SequentialTest,
    TestLimits,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.evidence import (
    EvidenceDigest,
    EvidenceRequest,
    EvidenceRow,
    RouteEvidence,
    Symptom,
    UnhealthyNotice,
    pack_evidence,
)
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.utils.codec import encode_message

COLLECTOR_COUNT = 2
# Limit on the rows of each part of a digest and on the targets of a request.
MAX_ENTRIES = 32
MAX_REQUESTED_DAEMONS = 32
MAX_NOTIFIED_DAEMONS = 200
DIGEST_INTERVAL_S = 0.1
DIGEST_INTERVAL_PER_DAEMON_S = 0.005
# Daemons report on a requested target for this time; the request is repeated when at
# most REQUEST_RENEWAL_S are left.
REQUEST_LIFETIME_S = 2.0
REQUEST_RENEWAL_S = 0.4
MEMBER_REFRESH_S = 1.0
BYTES_PER_S = 8_000
BURST_BYTES = 24_000

# A daemon reports a target unrequested once one of its local scores reaches this many
# nats: after one failure, or several slow outcomes.
ALERT_NATS = 1.4
# A collector requests evidence on a target whose pooled score reaches this many nats.
REQUEST_NATS = 2.0
# A collector also requests evidence on a target whose alerts reach ALERT_FACTOR times
# the average of the service's targets plus ALERT_SURPLUS.
ALERT_FACTOR = 2.0
ALERT_SURPLUS = 2.0
# Decayed alert counts below this are discarded.
MIN_ALERT_COUNT = 0.05
# A pooled score of this fraction of the threshold makes a collector request evidence on
# all targets in the zone.
ZONE_CHECK_FRACTION = 0.3


def interested_members(blackboard: Blackboard, service: str) -> list[Member]:
    """Return the daemons interested in a service, always including this one.

    :return: members in the order of their names.
    """
    this_id = blackboard.this_member.daemon_id
    found = {
        member.daemon_id: member
        for member in blackboard.members.values()
        if service in member.services
        and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    }
    found[this_id] = blackboard.this_member
    return [found[name] for name in sorted(found)]


def choose_collectors(members: Iterable[Member], service: str) -> list[Member]:
    """Return the daemons that collect the evidence on a service."""

    def rank(member: Member) -> tuple[int, str]:
        key = f"{service}|{member.daemon_id}"
        return xxhash.xxh64_intdigest(key.encode()), member.daemon_id

    return sorted(members, key=rank)[:COLLECTOR_COUNT]


@attrs.define
class ByteBudget:
    """Token bucket for the bytes of evidence that this daemon sends.

    :param available: bytes that may be sent now.
    :param refilled_at: monotonic time in seconds of the last refill.
    """

    available: float = BURST_BYTES
    refilled_at: float = 0.0

    def try_acquire(self, size: int, now_s: float) -> bool:
        """Consume bytes if enough are available, and return whether they were."""
        gained = (now_s - self.refilled_at) * BYTES_PER_S
        self.available = min(BURST_BYTES, self.available + gained)
        self.refilled_at = now_s
        if self.available < size:
            return False
        self.available -= size
        return True


@attrs.define
class ServiceSharingState:
    """State of the evidence exchange for one service.

    :param next_digest_at: monotonic time of the next digest.
    :param requested_until: monotonic time until which digests on a target are
        requested, by ``target_id``.
    :param alerts: decayed number of unrequested reports by other daemons, by
        ``target_id``.
    :param decayed_at: monotonic time when the alerts were last decayed.
    :param members: daemons interested in the service.
    :param collectors: those of them that collect the evidence.
    :param next_refresh_at: monotonic time when both lists are refreshed.
    """

    next_digest_at: timedelta = timedelta()
    requested_until: dict[str, timedelta] = attrs.field(factory=dict)
    alerts: dict[str, float] = attrs.field(factory=dict)
    decayed_at: timedelta = timedelta()
    members: list[Member] = attrs.field(factory=list)
    collectors: list[Member] = attrs.field(factory=list)
    next_refresh_at: timedelta = timedelta()


class EvidenceSharing:
    """Build the messages that carry evidence between daemons.

    :param blackboard: read for members.
    :param rng: adds jitter to the times of digests; samples rows and receivers.
    """

    def __init__(self, blackboard: Blackboard, rng: random.Random) -> None:
        self.blackboard = blackboard
        self.rng = rng
        self.budget = ByteBudget()
        self.services: dict[str, ServiceSharingState] = {}
        self.bytes_sent = 0

    def get_sharing(self, service: str) -> ServiceSharingState:
        """Return the exchange state of a service, created on first use."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = ServiceSharingState()
        return found

    def record_request(self, request: EvidenceRequest, now: timedelta) -> None:
        """Record for which targets a collector requests digests."""
        requested = self.get_sharing(request.service).requested_until
        for target_id in request.target_ids[:MAX_ENTRIES]:
            requested[target_id] = now + timedelta(seconds=REQUEST_LIFETIME_S)

    def build_due_messages(
        self, service: ServiceEvidence, now: timedelta
    ) -> list[SendToPeer]:
        """Build the messages about a service that are due now."""
        sharing = self.get_sharing(service.service)
        if now < sharing.next_digest_at:
            return []
        members = self.refresh_members(sharing, service.service, now).members
        interval_s = max(DIGEST_INTERVAL_S, len(members) * DIGEST_INTERVAL_PER_DAEMON_S)
        jittered_s = interval_s * (0.8 + 0.4 * self.rng.random())
        sharing.next_digest_at = now + timedelta(seconds=jittered_s)
        digest = self.build_digest(service, sharing, now)
        effects = self.send(sharing.collectors, digest, now) if digest else []
        if self.blackboard.this_member in sharing.collectors:
            effects += self.request_evidence(service, sharing, now)
        return effects

    def refresh_members(
        self, sharing: ServiceSharingState, service: str, now: timedelta
    ) -> ServiceSharingState:
        """Refresh the lists of interested daemons and collectors if due."""
        if now >= sharing.next_refresh_at or not sharing.members:
            sharing.next_refresh_at = now + timedelta(seconds=MEMBER_REFRESH_S)
            sharing.members = interested_members(self.blackboard, service)
            sharing.collectors = choose_collectors(sharing.members, service)
        return sharing

    def record_alert(self, service: str, target_id: str) -> None:
        """Record an unrequested report by another daemon on a target."""
        alerts = self.get_sharing(service).alerts
        alerts[target_id] = alerts.get(target_id, 0.0) + 1.0

    def build_digest(
        self, service: ServiceEvidence, sharing: ServiceSharingState, now: timedelta
    ) -> EvidenceDigest | None:
        """Build a digest of the unsent outcomes and reset their counts."""
        answers, alerts = [], []
        names, service.unsent = service.unsent, {}
        for target in [service.targets[n] for n in names if n in service.targets]:
            requested = sharing.requested_until.get(target.target_id, now) > now
            for entry in drain_entries(target, requested):
                (answers if requested else alerts).append(pack_evidence(entry))
        if not answers and not alerts:
            return None
        return EvidenceDigest(
            daemon_id=self.blackboard.this_member.daemon_id,
            service=service.service,
            answers=self.sample_rows(answers),
            alerts=self.sample_rows(alerts),
        )

    def sample_rows(self, rows: list[EvidenceRow]) -> tuple[EvidenceRow, ...]:
        """Return at most :data:`MAX_ENTRIES` rows, sampled uniformly."""
        if len(rows) > MAX_ENTRIES:
            rows = self.rng.sample(rows, MAX_ENTRIES)
        return tuple(rows)

    def request_evidence(
        self, service: ServiceEvidence, sharing: ServiceSharingState, now: timedelta
    ) -> list[SendToPeer]:
        """Request evidence from other daemons on suspicious targets."""
        names = select_targets_to_request(service, sharing, now)
        if not names:
            return []
        this_id = self.blackboard.this_member.daemon_id
        for name in names:
            if sharing.requested_until.get(name, now) <= now:
                service.targets[name].requested_at = now
        request = EvidenceRequest(this_id, service.service, tuple(names))
        self.record_request(request, now)
        count = min(len(sharing.members), MAX_REQUESTED_DAEMONS)
        members = self.rng.sample(sharing.members, count)
        return self.send(members, request, now)

    def send_notice(self, notice: UnhealthyNotice, now: timedelta) -> list[SendToPeer]:
        """Notify the other daemons that a target is unhealthy."""
        sharing = self.get_sharing(notice.service)
        members = self.refresh_members(sharing, notice.service, now).members
        return self.send(members[:MAX_NOTIFIED_DAEMONS], notice, now, urgent=True)

    def send(
        self,
        members: Iterable[Member],
        message: EvidenceDigest | EvidenceRequest | UnhealthyNotice,
        now: timedelta,
        urgent: bool = False,
    ) -> list[SendToPeer]:
        """Send a message to members as far as the byte budget allows.

        Urgent messages are few and are sent regardless of the budget.
        """
        size = len(encode_message(message))
        effects = []
        for member in members:
            if member.daemon_id == self.blackboard.this_member.daemon_id:
                continue
            if not self.budget.try_acquire(size, now.total_seconds()) and not urgent:
                break
            self.bytes_sent += size
            effects.append(SendToPeer(member.peer_address, message, urgent))
        return effects


def select_targets_to_request(
    service: ServiceEvidence, sharing: ServiceSharingState, now: timedelta
) -> list[str]:
    """Return the suspicious targets without a request or with one about to expire."""
    decay_alerts(sharing, service.limits, now)
    renew_before = now + timedelta(seconds=REQUEST_RENEWAL_S)
    requested = sharing.requested_until
    mean = sum(sharing.alerts.values()) / max(1, len(service.targets))
    min_alerts = ALERT_FACTOR * mean + ALERT_SURPLUS
    scores = {t.target_id: compute_pooled_score(t) for t in service.targets.values()}
    min_zone_score = ZONE_CHECK_FRACTION * service.limits.threshold
    # Evidence on its neighbours shows whether the whole zone of a target is affected.
    zones = {
        t.zone
        for t in service.targets.values()
        if scores[t.target_id] >= min_zone_score
    }
    names = [
        target.target_id
        for target in service.targets.values()
        if requested.get(target.target_id, now) <= renew_before
        if sharing.alerts.get(target.target_id, 0.0) >= min_alerts
        or scores[target.target_id] >= REQUEST_NATS
        or target.zone in zones
    ]
    return names[:MAX_ENTRIES]


def decay_alerts(
    sharing: ServiceSharingState, limits: TestLimits, now: timedelta
) -> None:
    """Decay the alerts, with a time constant of half the detection window."""
    window_s = limits.slot_s * SLOTS_PER_WINDOW
    age_s = (now - sharing.decayed_at).total_seconds()
    factor = math.exp(-2 * age_s / window_s)
    sharing.decayed_at = now
    for target_id, count in list(sharing.alerts.items()):
        if count * factor < MIN_ALERT_COUNT:
            del sharing.alerts[target_id]
        else:
            sharing.alerts[target_id] = count * factor


def drain_entries(target: TargetEvidence, requested: bool) -> Iterator[RouteEvidence]:
    """Yield the unsent outcomes of a target that are to be sent; reset all counts.

    :param requested: whether a collector requested all outcomes; without that only
        routes with suspicious outcomes are sent.
    """
    for route, tests in target.routes.items():
        unsent = tests.unsent
        if not unsent.count:
            continue
        tests.unsent = OutcomeCounts()
        if requested or get_max_score(tests.local) >= ALERT_NATS:
            yield RouteEvidence(
                target_id=target.target_id,
                route=route,
                count=unsent.count,
                failed=unsent.failed,
                timed=unsent.timed,
                slow=unsent.slow,
            )


def compute_pooled_score(target: TargetEvidence) -> float:
    """Return the highest pooled score of a target in nats."""
    return max((get_max_score(t.pooled) for t in target.routes.values()), default=0.0)


def get_max_score(tests: dict[Symptom, SequentialTest]) -> float:
    """Return the highest score of some tests in nats."""
    max_score = 0.0
    for symptom, test in tests.items():
        if test.score or test.slot_gain > 0:
            max_score = max(max_score, test.value(SLOT_CAP[symptom]))
    return max_score
