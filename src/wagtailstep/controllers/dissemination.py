"""Targets of other daemons: heard of, renewed, pulled and lapsed."""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.digests import DigestQueue
from wagtailstep.controllers.interest import InterestIndex
from wagtailstep.controllers.pulls import PullSchedule
from wagtailstep.controllers.target_leases import TargetLeases, is_lacking
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    Tick,
)
from wagtailstep.models.fleet import Member, MemberState, Target, TargetState
from wagtailstep.models.membership import (
    AGE_UNIT_MS,
    HEARTBEAT_EPOCH_MS,
    HEARTBEAT_UNIT_MS,
    Digest,
    DigestRequest,
    TargetEntry,
    TargetsRequest,
    TargetsUpdate,
    member_reference,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

ROUNDS_PER_RENEWAL = 3
OWN_UPDATE_FANOUT = 8
# Up to as many peers are told of a change directly, which is one message for each.
DIRECT_FANOUT = 32
FORWARD_FANOUT = 4
PULLS_PER_TICK = 10
REFRESH_SHARE_OF_LEASE = 0.65
MAX_VERSION = 0xFFFF
STALE_OWN_BEATS = 100


class DisseminationController:
    """Tell daemons that serve or want a service of its targets, and nobody else.

    A daemon makes a heartbeat every ``renew_ms``. Heartbeats travel as rows of
    digests, a few times from each daemon that hears them, and carry their age, so
    that a lease ends at the same time everywhere. Targets themselves travel when
    they change, and when a heartbeat names a version that is not held.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings.membership
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.lease = timedelta(milliseconds=self.settings.lease_ms)
        self.interest = InterestIndex(blackboard)
        self.leases = TargetLeases(blackboard, self.lease)
        self.digests = DigestQueue(self.settings, self.interest, rng)
        self.reference = member_reference(blackboard.this_member.daemon_id)
        self.started_at = clock.monotonic()
        self.heartbeat = 0
        self.beat_at = timedelta()
        self.version = 0
        self.own_targets: tuple[Target, ...] = ()
        # Daemons that start together don't renew in step.
        first_ms = self.settings.renew_ms * rng.random()
        self.renew_at = self.started_at + timedelta(milliseconds=first_ms)
        self.round_at = timedelta()
        self.pulls = PullSchedule()
        # Looking up a single-dispatch method costs more than calling it.
        self.receive = self._receive

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that dissemination does not depend on."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        if self.interest.refresh(now):
            self._drop_useless()
        effects = self._push_own_changes(now)
        effects += self._lapse(now)
        self._renew(now)
        effects += self._send_digests(now)
        effects += self._pull(now)
        return effects

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        return self.receive(event.message, event.sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> list[Any]:
        return []

    @_receive.register
    def _(self, message: Digest, sender: str) -> list[Any]:
        now = self.clock.monotonic()
        effects: list[Any] = []
        rows = message.rows
        for index in range(0, len(rows) - 3, 4):
            reference, heartbeat, age, version = rows[index : index + 4]
            heartbeat += message.base
            if not 0 <= age * AGE_UNIT_MS <= self.settings.lease_ms:
                continue
            made_at = now - timedelta(milliseconds=age * AGE_UNIT_MS)
            if reference == self.reference:
                self._surpass(heartbeat)
                continue
            daemon_id = self.interest.references.get(reference)
            if daemon_id is None:
                continue
            if self.leases.renew(daemon_id, heartbeat, made_at, version):
                self.pulls.forget(daemon_id)
                self.digests.add(daemon_id, self.interest.needed[daemon_id])
            elif daemon_id == sender:
                effects += self._answer_stale_owner(sender, heartbeat)
        return effects

    @_receive.register
    def _(self, message: DigestRequest, sender: str) -> list[Any]:
        names = [self.interest.references.get(ref) for ref in message.references]
        rows = self._make_rows([name for name in names if name is not None])
        if self.reference in message.references:
            rows += self._own_row()
        if not rows:
            return []
        return [SendToPeer(message.reply_to, Digest(self.heartbeat, tuple(rows)))]

    @_receive.register
    def _(self, message: TargetsRequest, sender: str) -> list[Any]:
        services = frozenset(message.services)
        if message.daemon_id == self.blackboard.this_member.daemon_id:
            update = self._own_update(services)
        else:
            update = self._held_update(message.daemon_id, services)
        return [] if update is None else [SendToPeer(message.reply_to, update)]

    @_receive.register
    def _(self, message: TargetsUpdate, sender: str) -> list[Any]:
        this_id = self.blackboard.this_member.daemon_id
        if message.daemon_id == this_id:
            return []
        if not 0 <= message.age_ms <= self.settings.lease_ms:
            return []
        if self.interest.services.isdisjoint(message.services):
            return []
        try:
            changed = self.leases.store(message, self.clock.monotonic())
        except IndexError:
            return []
        if not changed:
            return []
        self.pulls.forget(message.daemon_id)
        needed = self.interest.needed.get(message.daemon_id, frozenset())
        self.digests.add(message.daemon_id, needed)
        effects = self._record_leaving(message)
        if message.urgent:
            effects += self._forward(message, sender)
        return effects

    def _record_leaving(self, update: TargetsUpdate) -> list[Any]:
        leaving = list(TargetState).index(TargetState.LEAVING)
        return [
            RecordEvent("target-leaving-heard", {"target": entry.target_id})
            for entry in update.targets
            if entry.state == leaving
        ]

    def _forward(self, update: TargetsUpdate, sender: str) -> list[Any]:
        services = frozenset(update.services)
        peers = self.interest.choose_interested(services, FORWARD_FANOUT, self.rng)
        effects = []
        for peer in peers:
            if peer.daemon_id in (sender, update.daemon_id):
                continue
            covered = services.intersection(peer.services)
            held = self._held_update(update.daemon_id, covered, urgent=True)
            if held is not None:
                effects.append(SendToPeer(peer.peer_address, held, urgent=True))
        return effects

    def _next_beat(self, now: timedelta) -> None:
        uptime_ms = (now - self.started_at) // timedelta(milliseconds=1)
        wall_ms = self.blackboard.this_member.incarnation + uptime_ms
        self.heartbeat = max(
            self.heartbeat + 1, (wall_ms - HEARTBEAT_EPOCH_MS) // HEARTBEAT_UNIT_MS
        )
        self.beat_at = now

    def _surpass(self, heartbeat: int) -> None:
        # An earlier run of this daemon got further, since the wall clock was ahead.
        self.heartbeat = max(self.heartbeat, heartbeat)

    def _answer_stale_owner(self, sender: str, heartbeat: int) -> list[Any]:
        member = self.blackboard.members.get(sender)
        last = self.leases.last_beats[sender]
        if member is None or last - heartbeat < STALE_OWN_BEATS:
            return []
        row = (member_reference(sender), last - self.heartbeat, 0, 0)
        return [SendToPeer(member.peer_address, Digest(self.heartbeat, row))]

    def _renew(self, now: timedelta) -> None:
        if now < self.renew_at or not self.own_targets:
            return
        self.renew_at = now + timedelta(milliseconds=self.settings.renew_ms)
        self._next_beat(now)
        services = frozenset(target.service for target in self.own_targets)
        self.digests.add(self.blackboard.this_member.daemon_id, services)

    def _push_own_changes(self, now: timedelta) -> list[Any]:
        board = self.blackboard
        targets = tuple(board.targets[name] for name in sorted(board.local_targets))
        if targets == self.own_targets:
            return []
        services = frozenset(t.service for t in targets + self.own_targets)
        self.own_targets = targets
        self._next_beat(now)
        self.version = self.heartbeat & MAX_VERSION
        self.digests.add(board.this_member.daemon_id, services)
        everybody = self.interest.choose_interested(services, DIRECT_FANOUT, self.rng)
        # Few peers are told directly. Passing the news on costs several copies for
        # each of them, which only a larger number makes up for.
        spreads = len(everybody) == DIRECT_FANOUT
        peers = everybody[:OWN_UPDATE_FANOUT] if spreads else everybody
        effects = []
        for peer in peers:
            covered = services.intersection(peer.services)
            update = self._own_update(covered, urgent=spreads)
            effects.append(SendToPeer(peer.peer_address, update, urgent=True))
        return effects

    def _own_update(
        self, services: frozenset[str], urgent: bool = False
    ) -> TargetsUpdate:
        this = self.blackboard.this_member
        age = self.clock.monotonic() - self.beat_at
        return TargetsUpdate(
            daemon_id=this.daemon_id,
            availability_zone=this.availability_zone,
            heartbeat=self.heartbeat,
            age_ms=age // timedelta(milliseconds=1),
            version=self.version,
            services=tuple(sorted(services)),
            targets=_make_entries(self.own_targets, services),
            urgent=urgent,
        )

    def _held_update(
        self, daemon_id: str, services: frozenset[str], urgent: bool = False
    ) -> TargetsUpdate | None:
        holding = self.leases.holdings.get(daemon_id)
        member = self.blackboard.members.get(daemon_id)
        if holding is None or member is None or not holding.published:
            return None
        covered = services & holding.services
        if holding.held_version != holding.version or not covered:
            return None
        age = self.clock.monotonic() - holding.renewed_at
        return TargetsUpdate(
            daemon_id=daemon_id,
            availability_zone=member.availability_zone,
            heartbeat=holding.heartbeat,
            age_ms=-(-age // timedelta(milliseconds=1)),
            version=holding.held_version,
            services=tuple(sorted(covered)),
            targets=_make_entries(holding.targets, covered),
            urgent=urgent,
        )

    def _lapse(self, now: timedelta) -> list[Any]:
        return [
            RecordEvent("targets-lapsed", {"member": daemon_id})
            for daemon_id in self.leases.lapse(now)
        ]

    def _drop_useless(self) -> None:
        for daemon_id, holding in list(self.leases.holdings.items()):
            unneeded = daemon_id not in self.interest.needed
            if unneeded or (self._is_dead(daemon_id) and not holding.published):
                self.leases.drop(daemon_id)
                self.pulls.forget(daemon_id)

    def _is_dead(self, daemon_id: str) -> bool:
        member = self.blackboard.members.get(daemon_id)
        return member is None or member.state is MemberState.DEAD

    def _send_digests(self, now: timedelta) -> list[Any]:
        if now < self.round_at:
            return []
        interval = self.settings.renew_ms / ROUNDS_PER_RENEWAL
        self.round_at = now + timedelta(milliseconds=interval)
        effects = []
        for peer_id, names in self.digests.take().items():
            rows = self._make_rows(names)
            if self.blackboard.this_member.daemon_id in names:
                rows += self._own_row()
            peer = self.blackboard.members.get(peer_id)
            if rows and peer is not None:
                digest = Digest(self.heartbeat, tuple(rows))
                effects.append(SendToPeer(peer.peer_address, digest))
        return effects

    def _own_row(self) -> list[int]:
        age = self.clock.monotonic() - self.beat_at
        return [self.reference, 0, _age_units(age), self.version]

    def _make_rows(self, names: list[str]) -> list[int]:
        now = self.clock.monotonic()
        rows: list[int] = []
        for name in names:
            holding = self.leases.holdings.get(name)
            if holding is None or now - holding.renewed_at >= self.lease:
                continue
            age = _age_units(now - holding.renewed_at)
            heartbeat = holding.heartbeat - self.heartbeat
            rows += (member_reference(name), heartbeat, age, holding.version)
        return rows

    def _pull(self, now: timedelta) -> list[Any]:
        oldest = now - self.lease * REFRESH_SHARE_OF_LEASE
        effects: list[Any] = []
        stale: list[str] = []
        for daemon_id, needed in self.interest.needed.items():
            holding = self.leases.holdings.get(daemon_id)
            if not is_lacking(holding, needed, oldest):
                continue
            if len(effects) >= PULLS_PER_TICK:
                break
            if not self.pulls.start(daemon_id, now):
                continue
            if holding is not None and holding.is_complete(needed):
                stale.append(daemon_id)
            else:
                effects += self._request_targets(daemon_id, needed)
        return effects + self._request_digests(stale)

    def _request_targets(self, daemon_id: str, needed: frozenset[str]) -> list[Any]:
        this = self.blackboard.this_member
        request = TargetsRequest(this.peer_address, daemon_id, tuple(sorted(needed)))
        peer = self._choose_other(daemon_id)
        is_unknown = daemon_id not in self.leases.holdings
        if peer is None or self.pulls.asks_owner(daemon_id, owner_first=is_unknown):
            peer = self.blackboard.members.get(daemon_id)
        return [] if peer is None else [SendToPeer(peer.peer_address, request)]

    def _choose_other(self, daemon_id: str) -> Member | None:
        needed = self.interest.needed[daemon_id]
        others = self.interest.choose_interested(needed, 1, self.rng)
        return others[0] if others else None

    def _request_digests(self, stale: list[str]) -> list[Any]:
        effects: list[Any] = []
        shared = [name for name in stale if not self.pulls.asks_owner(name)]
        for daemon_id in stale:
            if daemon_id not in shared:
                owner = self.blackboard.members.get(daemon_id)
                effects += self._request_digest(owner, [daemon_id])
        while shared:
            peer = self._choose_other(shared[0])
            services = frozenset(peer.services if peer else ())
            asked = [n for n in shared if services & self.interest.needed[n]]
            asked = asked or shared[:1]
            effects += self._request_digest(peer, asked)
            shared = [name for name in shared if name not in asked]
        return effects

    def _request_digest(self, peer: Member | None, names: list[str]) -> list[Any]:
        if peer is None:
            return []
        references = tuple(member_reference(name) for name in names)
        reply_to = self.blackboard.this_member.peer_address
        return [SendToPeer(peer.peer_address, DigestRequest(reply_to, references))]


def _make_entries(
    targets: tuple[Target, ...], services: frozenset[str]
) -> tuple[TargetEntry, ...]:
    return tuple(
        TargetEntry.from_target(target)
        for target in targets
        if target.service in services
    )


def _age_units(age: timedelta) -> int:
    return -(-age // timedelta(milliseconds=AGE_UNIT_MS))
