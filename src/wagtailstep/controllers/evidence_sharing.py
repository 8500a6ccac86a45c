"""Sharing evidence: who collects it, and what is sent to whom.

A few daemons collect the evidence on a service. They are chosen by rendezvous
hashing among the daemons with an interest in the service, so all daemons with the
same members choose the same ones, and no one has to be told.
"""

import random
from collections.abc import Iterable
from datetime import timedelta

import attrs
import xxhash

from wagtailstep.controllers.evidence_state import (
    SLOT_CAP,
    Counts,
    RouteTests,
    ServiceEvidence,
)
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.evidence import (
    EvidenceDigest,
    EvidenceRequest,
    RouteEvidence,
    SickNotice,
)
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.utils.codec import encode_message

COLLECTORS = 2
MAX_ENTRIES = 16
MAX_NOTIFIED = 200
DIGEST_INTERVAL_S = 0.1
DIGEST_INTERVAL_PER_DAEMON_S = 0.005
ASKED_FOR_S = 2.0
ASK_INTERVAL_S = 1.0
REFRESH_S = 1.0
BYTES_PER_S = 3_000
BURST_BYTES = 12_000

# A sum of this many nats is worth telling: one failure or one slow outcome.
DOUBT_NATS = 1.4


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
    :param next_ask: monotonic time of the next request of this collector.
    :param members: daemons with an interest in the service.
    :param collectors: those of them that collect the evidence.
    :param next_refresh: monotonic time when both are looked up again.
    """

    next_digest: timedelta = timedelta()
    asked_until: dict[str, timedelta] = attrs.field(factory=dict)
    next_ask: timedelta = timedelta()
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
            effects += self.ask(service, sharing, members, now)
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

    def make_digest(
        self, service: ServiceEvidence, sharing: ServiceSharing, now: timedelta
    ) -> EvidenceDigest | None:
        """Return what is worth telling, and count from zero again."""
        doubtful: list[tuple[float, RouteEvidence]] = []
        for target in service.targets.values():
            asked = sharing.asked_until.get(target.target_id, now) > now
            for route, tests in target.routes.items():
                doubt = measure_doubt(tests)
                unsent = tests.unsent
                if not unsent.count:
                    continue
                tests.unsent = Counts()
                if asked or doubt >= DOUBT_NATS:
                    entry = RouteEvidence(
                        target_id=target.target_id,
                        route=route,
                        count=unsent.count,
                        failed=unsent.failed,
                        timed=unsent.timed,
                        slow=unsent.slow,
                    )
                    doubtful.append((doubt, entry))
        if not doubtful:
            return None
        doubtful.sort(key=lambda pair: -pair[0])
        entries = tuple(entry for _, entry in doubtful[:MAX_ENTRIES])
        this_id = self.blackboard.this_member.daemon_id
        return EvidenceDigest(this_id, service.service, entries)

    def ask(
        self,
        service: ServiceEvidence,
        sharing: ServiceSharing,
        members: list[Member],
        now: timedelta,
    ) -> list[SendToPeer]:
        """Ask the other daemons about targets that are in doubt here."""
        if now < sharing.next_ask:
            return []
        doubtful = [
            target.target_id
            for target in service.targets.values()
            if any(measure_doubt(t) >= DOUBT_NATS for t in target.routes.values())
        ]
        if not doubtful:
            return []
        sharing.next_ask = now + timedelta(seconds=ASK_INTERVAL_S)
        this_id = self.blackboard.this_member.daemon_id
        names = tuple(doubtful[:MAX_ENTRIES])
        request = EvidenceRequest(this_id, service.service, names)
        self.note_request(request, now)
        return self.send(members[:MAX_NOTIFIED], request, now)

    def notify(self, notice: SickNotice, now: timedelta) -> list[SendToPeer]:
        """Tell the other daemons that a target is sick."""
        sharing = self.sharing_of(notice.service)
        members = self.refresh(sharing, notice.service, now).members
        return self.send(members[:MAX_NOTIFIED], notice, now, urgent=True)

    def send(
        self,
        members: Iterable[Member],
        message: EvidenceDigest | EvidenceRequest | SickNotice,
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


def measure_doubt(tests: RouteTests) -> float:
    """Return the largest sum of a target's tests on one route, in nats."""
    return max(
        test.value(SLOT_CAP[symptom])
        for kind in (tests.own, tests.pooled)
        for symptom, test in kind.items()
    )
