"""Sharing evidence: who collects it, and what is sent to whom.

A few daemons collect the evidence on a service. They are chosen by rendezvous
hashing among the daemons with an interest in the service, so all daemons with the
same members choose the same ones, and no one has to be told.
"""

import math
import random
from collections.abc import Iterable, Iterator
from datetime import timedelta

import attrs
import xxhash

from wagtailstep.controllers.evidence_state import (
    SLOT_CAP,
    Counts,
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

COLLECTORS = 2
MAX_ENTRIES = 32
MAX_ASKED_DAEMONS = 32
MAX_NOTIFIED_DAEMONS = 200
DIGEST_INTERVAL_S = 0.1
DIGEST_INTERVAL_PER_DAEMON_S = 0.005
ASKED_FOR_S = 2.0
ASK_AGAIN_S = 0.4
REFRESH_S = 1.0
BYTES_PER_S = 8_000
BURST_BYTES = 24_000

# A daemon's own sum of this many nats makes it tell without being asked: one
# failure, or several slow outcomes.
ALERT_NATS = 1.4
# While the pooled sum has this many nats, a collector goes on asking.
DOUBT_NATS = 2.0
# A target is asked about once there are this many times the alerts, and this many
# more, than on the service's targets on average.
ALERT_FACTOR = 2.0
ALERT_SURPLUS = 2.0
LEAST_ALERTS = 0.05
SUSPECT_SHARE = 0.3


def interested_members(blackboard: Blackboard, service: str) -> list[Member]:
    """Return the daemons with an interest in a service, this one always included.

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

    return sorted(members, key=rank)[:COLLECTORS]


@attrs.define
class ByteBudget:
    """A token bucket for the bytes of evidence that this daemon sends.

    :param available: bytes that may be sent now.
    :param refilled_at: monotonic time in seconds of the last refill.
    """

    available: float = BURST_BYTES
    refilled_at: float = 0.0

    def take(self, size: int, now_s: float) -> bool:
        """Take bytes if there are enough, and tell whether there were."""
        gained = (now_s - self.refilled_at) * BYTES_PER_S
        self.available = min(BURST_BYTES, self.available + gained)
        self.refilled_at = now_s
        if self.available < size:
            return False
        self.available -= size
        return True


@attrs.define
class ServiceSharing:
    """What was told and asked about one service.

    :param next_digest: monotonic time of the next digest.
    :param asked_until: until when digests on a target were asked for.
    :param alerts: how many times other daemons told about a target unasked; old
        ones fade.
    :param faded_at: monotonic time when they faded last.
    :param members: daemons with an interest in the service.
    :param collectors: those of them that collect the evidence.
    :param next_refresh: monotonic time when both are looked up again.
    """

    next_digest: timedelta = timedelta()
    asked_until: dict[str, timedelta] = attrs.field(factory=dict)
    alerts: dict[str, float] = attrs.field(factory=dict)
    faded_at: timedelta = timedelta()
    members: list[Member] = attrs.field(factory=list)
    collectors: list[Member] = attrs.field(factory=list)
    next_refresh: timedelta = timedelta()


class EvidenceSharing:
    """Make the messages that carry evidence between daemons.

    :param blackboard: read for members.
    :param rng: spreads the times of digests.
    """

    def __init__(self, blackboard: Blackboard, rng: random.Random) -> None:
        self.blackboard = blackboard
        self.rng = rng
        self.budget = ByteBudget()
        self.services: dict[str, ServiceSharing] = {}
        self.bytes_sent = 0

    def sharing_of(self, service: str) -> ServiceSharing:
        """Return what was told about a service, made on first use."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = ServiceSharing()
        return found

    def note_request(self, request: EvidenceRequest, now: timedelta) -> None:
        """Remember for which targets a collector wants digests."""
        asked = self.sharing_of(request.service).asked_until
        for target_id in request.target_ids[:MAX_ENTRIES]:
            asked[target_id] = now + timedelta(seconds=ASKED_FOR_S)

    def share(self, service: ServiceEvidence, now: timedelta) -> list[SendToPeer]:
        """Return the messages on a service that are due now."""
        sharing = self.sharing_of(service.service)
        if now < sharing.next_digest:
            return []
        members = self.refresh(sharing, service.service, now).members
        interval = max(DIGEST_INTERVAL_S, len(members) * DIGEST_INTERVAL_PER_DAEMON_S)
        spread = interval * (0.8 + 0.4 * self.rng.random())
        sharing.next_digest = now + timedelta(seconds=spread)
        digest = self.make_digest(service, sharing, now)
        effects = self.send(sharing.collectors, digest, now) if digest else []
        if self.blackboard.this_member in sharing.collectors:
            effects += self.ask(service, sharing, now)
        return effects

    def refresh(
        self, sharing: ServiceSharing, service: str, now: timedelta
    ) -> ServiceSharing:
        """Look up the interested daemons again if that is due."""
        if now >= sharing.next_refresh or not sharing.members:
            sharing.next_refresh = now + timedelta(seconds=REFRESH_S)
            sharing.members = interested_members(self.blackboard, service)
            sharing.collectors = choose_collectors(sharing.members, service)
        return sharing

    def alert(self, service: str, target_id: str) -> None:
        """Take note that another daemon doubts a target."""
        alerts = self.sharing_of(service).alerts
        alerts[target_id] = alerts.get(target_id, 0.0) + 1.0

    def make_digest(
        self, service: ServiceEvidence, sharing: ServiceSharing, now: timedelta
    ) -> EvidenceDigest | None:
        """Return what is worth telling, and count from zero again."""
        answers, alerts = [], []
        names, service.unsent = service.unsent, {}
        for target in [service.targets[n] for n in names if n in service.targets]:
            asked = sharing.asked_until.get(target.target_id, now) > now
            for entry in take_entries(target, asked):
                (answers if asked else alerts).append(pack_evidence(entry))
        if not answers and not alerts:
            return None
        return EvidenceDigest(
            daemon_id=self.blackboard.this_member.daemon_id,
            service=service.service,
            answers=self.sample(answers),
            alerts=self.sample(alerts),
        )

    def sample(self, rows: list[EvidenceRow]) -> tuple[EvidenceRow, ...]:
        """Return as many rows as a digest may have, chosen whatever they say."""
        if len(rows) > MAX_ENTRIES:
            rows = self.rng.sample(rows, MAX_ENTRIES)
        return tuple(rows)

    def ask(
        self, service: ServiceEvidence, sharing: ServiceSharing, now: timedelta
    ) -> list[SendToPeer]:
        """Ask other daemons about targets that are in doubt here."""
        names = names_to_ask(service, sharing, now)
        if not names:
            return []
        this_id = self.blackboard.this_member.daemon_id
        for name in names:
            if sharing.asked_until.get(name, now) <= now:
                service.targets[name].asked_at = now
        request = EvidenceRequest(this_id, service.service, tuple(names))
        self.note_request(request, now)
        count = min(len(sharing.members), MAX_ASKED_DAEMONS)
        members = self.rng.sample(sharing.members, count)
        return self.send(members, request, now)

    def notify(self, notice: UnhealthyNotice, now: timedelta) -> list[SendToPeer]:
        """Tell the other daemons that a target is sick."""
        sharing = self.sharing_of(notice.service)
        members = self.refresh(sharing, notice.service, now).members
        return self.send(members[:MAX_NOTIFIED_DAEMONS], notice, now, urgent=True)

    def send(
        self,
        members: Iterable[Member],
        message: EvidenceDigest | EvidenceRequest | UnhealthyNotice,
        now: timedelta,
        urgent: bool = False,
    ) -> list[SendToPeer]:
        """Address a message to members, as far as the byte budget allows.

        Urgent messages are few and are sent in any case.
        """
        size = len(encode_message(message))
        effects = []
        for member in members:
            if member.daemon_id == self.blackboard.this_member.daemon_id:
                continue
            if not self.budget.take(size, now.total_seconds()) and not urgent:
                break
            self.bytes_sent += size
            effects.append(SendToPeer(member.peer_address, message, urgent))
        return effects


def names_to_ask(
    service: ServiceEvidence, sharing: ServiceSharing, now: timedelta
) -> list[str]:
    """Return the targets in doubt whose last request has nearly ended."""
    fade_alerts(sharing, service.limits, now)
    soon = now + timedelta(seconds=ASK_AGAIN_S)
    asked = sharing.asked_until
    mean = sum(sharing.alerts.values()) / max(1, len(service.targets))
    least = ALERT_FACTOR * mean + ALERT_SURPLUS
    doubts = {t.target_id: measure_doubt(t) for t in service.targets.values()}
    suspect = SUSPECT_SHARE * service.limits.threshold
    # The neighbours of a suspect tell whether its whole zone is to blame.
    zones = {t.zone for t in service.targets.values() if doubts[t.target_id] >= suspect}
    names = [
        target.target_id
        for target in service.targets.values()
        if asked.get(target.target_id, now) <= soon
        if sharing.alerts.get(target.target_id, 0.0) >= least
        or doubts[target.target_id] >= DOUBT_NATS
        or target.zone in zones
    ]
    return names[:MAX_ENTRIES]


def fade_alerts(sharing: ServiceSharing, limits: TestLimits, now: timedelta) -> None:
    """Let old alerts count less, by half the service's window."""
    window_s = limits.slot_s * SLOTS_PER_WINDOW
    age_s = (now - sharing.faded_at).total_seconds()
    factor = math.exp(-2 * age_s / window_s)
    sharing.faded_at = now
    for target_id, count in list(sharing.alerts.items()):
        if count * factor < LEAST_ALERTS:
            del sharing.alerts[target_id]
        else:
            sharing.alerts[target_id] = count * factor


def take_entries(target: TargetEvidence, asked: bool) -> Iterator[RouteEvidence]:
    """Yield what is to be told of a target, and count from zero again.

    :param asked: whether a collector asked for all outcomes.
    """
    for route, tests in target.routes.items():
        unsent = tests.unsent
        if not unsent.count:
            continue
        tests.unsent = Counts()
        if asked or strongest(tests.own) >= ALERT_NATS:
            yield RouteEvidence(
                target_id=target.target_id,
                route=route,
                count=unsent.count,
                failed=unsent.failed,
                timed=unsent.timed,
                slow=unsent.slow,
            )


def measure_doubt(target: TargetEvidence) -> float:
    """Return the strongest sum in nats of what all daemons saw of a target."""
    return max((strongest(t.pooled) for t in target.routes.values()), default=0.0)


def strongest(tests: dict[Symptom, SequentialTest]) -> float:
    """Return the largest sum of some tests, in nats."""
    largest = 0.0
    for symptom, test in tests.items():
        if test.score or test.gain > 0:
            largest = max(largest, test.value(SLOT_CAP[symptom]))
    return largest
