"""Exchange of targets and heartbeats between daemons, by push and pull."""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.digest_rows import DigestRows, iterate_rows
from wagtailstep.controllers.digests import DigestQueue
from wagtailstep.controllers.gossip_partners import GossipPartners
from wagtailstep.controllers.interest import InterestIndex
from wagtailstep.controllers.packed_standings import (
    NO_STANDINGS,
    differ_in_standing_only,
    limit_standing,
    pack_standings,
)
from wagtailstep.controllers.renewal_times import compute_renewal_times
from wagtailstep.controllers.target_leases import TargetLeases
from wagtailstep.controllers.target_puller import TargetPuller
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    InstanceWithdrawn,
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    TargetAnnounced,
    Tick,
)
from wagtailstep.models.fleet import MemberState, Target, TargetState
from wagtailstep.models.membership import (
    AGE_UNIT_MS,
    HEARTBEAT_EPOCH_MS,
    HEARTBEAT_UNIT_MS,
    Digest,
    DigestRequest,
    TargetEntry,
    TargetsBatch,
    TargetsBatchRequest,
    TargetsRequest,
    TargetsUpdate,
    member_reference,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

LOCAL_UPDATE_FANOUT = 8
DIRECT_FANOUT = 32  # Changes go directly, one message a peer, to fewer peers than this.
FORWARD_FANOUT = 4
MAX_BATCH_UPDATES = 64
VERSION_MASK = 0xFFFF
STALE_HEARTBEAT_LAG = 100


class DisseminationController:
    """Send a service's targets to the daemons that serve or request it only.

    A daemon's heartbeats, made every ``renew_ms``, are rows of digests. Each receiver
    relays them a few times with their age, so that a lease ends everywhere at one time.
    Targets are sent when they change, and pulled if a heartbeat's version is not held.
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
        self.times = compute_renewal_times(self.settings, peers=0)
        self.interest = InterestIndex(blackboard)
        self.leases = TargetLeases(blackboard, self.times.lease)
        partners = GossipPartners(blackboard, self.settings.digest_sends, clock)
        self.digests = DigestQueue(self.settings, self.interest, partners, rng)
        self.local_reference = member_reference(blackboard.this_member.daemon_id)
        self.started_at = clock.monotonic()
        self.heartbeat = 0
        self.heartbeat_at = timedelta()
        self.version = 0
        self.advertised_targets: tuple[Target, ...] = ()
        # Random phase, so that daemons that start together don't renew in step.
        first_ms = self.settings.renew_ms * rng.random()
        self.renew_at = self.started_at + timedelta(milliseconds=first_ms)
        self.next_digest_at = timedelta()
        self.scan_at = timedelta()
        self.puller = TargetPuller(blackboard, self.interest, self.leases, rng)
        self.pulls = self.puller.schedule
        self.receive = self._receive  # Cached: dispatch look-up costs more than a call.

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that dissemination does not depend on."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        if self.interest.refresh(now):
            self._discard_unneeded()
            peers = max(map(len, self.interest.peers_by_service.values()), default=0)
            self.times = compute_renewal_times(self.settings, peers)
            self.leases.lease = self.times.lease
        effects = self._push_local_changes(now)
        effects += self.leases.departures.remind_restarted(self.blackboard.members)
        self._renew_local_targets(now)
        effects += self._send_digests(now)
        if now >= self.scan_at:
            self.scan_at = now + self.times.scan_interval
            effects += self._expire_leases(now)
            effects += self.puller.pull(now, self.times.lease)
        return effects

    @handle.register
    def _(self, event: InstanceWithdrawn | TargetAnnounced) -> list[Any]:
        # A departure is acknowledged next, and this process may end right after that.
        return self._push_local_changes(self.clock.monotonic())

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
        for reference, heartbeat, age, version, standings in iterate_rows(message):
            if not 0 <= age * AGE_UNIT_MS <= self.times.lease_ms:
                continue
            made_at = now - timedelta(milliseconds=age * AGE_UNIT_MS)
            if reference == self.local_reference:
                self._advance_heartbeat(heartbeat)
                continue
            daemon_id = self.interest.daemon_ids.get(reference)
            if daemon_id is None:
                continue
            if self.leases.renew(daemon_id, heartbeat, made_at, version, standings):
                self.pulls.discard(daemon_id)
                self.digests.add(daemon_id, self.interest.needed_by_member[daemon_id])
                effects += self.puller.pull_changed(daemon_id, sender, now)
            elif daemon_id == sender:
                effects += self._correct_stale_heartbeat(sender, heartbeat)
        return effects

    @_receive.register
    def _(self, message: DigestRequest, sender: str) -> list[Any]:
        names = [self.interest.daemon_ids.get(ref) for ref in message.references]
        known = [name for name in names if name is not None]
        if self.local_reference in message.references:
            known.append(self.blackboard.this_member.daemon_id)
        digest = self._build_digest(known)
        return [SendToPeer(message.reply_to, digest)] if digest.rows else []

    @_receive.register
    def _(self, message: TargetsRequest, sender: str) -> list[Any]:
        services = frozenset(message.services)
        if message.daemon_id == self.blackboard.this_member.daemon_id:
            update = self._build_local_update(services)
        else:
            update = self._build_held_update(message.daemon_id, services)
        return [] if update is None else [SendToPeer(message.reply_to, update)]

    @_receive.register
    def _(self, message: TargetsBatchRequest, sender: str) -> list[Any]:
        services = frozenset(message.services)
        updates = []
        for reference in message.references:
            name = self.interest.daemon_ids.get(reference)
            if reference == self.local_reference:
                updates.append(self._build_local_update(services))
            elif name is not None:
                updates.append(self._build_held_update(name, services))
        found = [update for update in updates if update is not None]
        return [
            SendToPeer(message.reply_to, TargetsBatch(tuple(batch)))
            for batch in split_batches(found, MAX_BATCH_UPDATES)
        ]

    @_receive.register
    def _(self, message: TargetsBatch, sender: str) -> list[Any]:
        effects: list[Any] = []
        for update in message.updates:
            effects += self.receive(update, sender)
        return effects

    @_receive.register
    def _(self, message: TargetsUpdate, sender: str) -> list[Any]:
        this_id = self.blackboard.this_member.daemon_id
        if message.daemon_id == this_id:
            return []
        if not 0 <= message.age_ms <= self.times.lease_ms:
            return []
        if self.interest.services.isdisjoint(message.services):
            return []
        try:
            changed = self.leases.store(message, self.clock.monotonic())
        except IndexError:
            return []
        if not changed:
            return []
        effects = self.leases.departures.remind_of(message, self.blackboard.members)
        self.pulls.discard(message.daemon_id)
        needed = self.interest.needed_by_member.get(message.daemon_id, frozenset())
        self.digests.add(message.daemon_id, needed)
        effects += self._record_leaving(message)
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
            forwarded = self._build_held_update(update.daemon_id, covered, urgent=True)
            if forwarded is not None:
                effects.append(SendToPeer(peer.peer_address, forwarded, urgent=True))
        return effects

    def _start_heartbeat(self, now: timedelta) -> None:
        uptime_ms = (now - self.started_at) // timedelta(milliseconds=1)
        wall_ms = self.blackboard.this_member.incarnation + uptime_ms
        self.heartbeat = max(
            self.heartbeat + 1, (wall_ms - HEARTBEAT_EPOCH_MS) // HEARTBEAT_UNIT_MS
        )
        self.heartbeat_at = now

    def _advance_heartbeat(self, heartbeat: int) -> None:
        # An earlier process of this daemon used later numbers: its clock was ahead.
        self.heartbeat = max(self.heartbeat, heartbeat)

    def _correct_stale_heartbeat(self, sender: str, heartbeat: int) -> list[Any]:
        member = self.blackboard.members.get(sender)
        last = self.leases.last_heartbeats[sender]
        if member is None or last - heartbeat < STALE_HEARTBEAT_LAG:
            return []
        # Lets a daemon whose clock was ahead earlier continue above its old numbers.
        rows = DigestRows(self.heartbeat)
        rows.add(sender, last, timedelta(), 0, NO_STANDINGS)
        return [SendToPeer(member.peer_address, rows.build())]

    def _renew_local_targets(self, now: timedelta) -> None:
        if now < self.renew_at or not self.advertised_targets:
            return
        self.renew_at = now + self.times.renew
        self._start_heartbeat(now)
        services = frozenset(target.service for target in self.advertised_targets)
        self.digests.add(self.blackboard.this_member.daemon_id, services)

    def _push_local_changes(self, now: timedelta) -> list[Any]:
        board = self.blackboard
        offered = () if board.departures_unknown else sorted(board.local_targets)
        targets = tuple(limit_standing(board.targets[name]) for name in offered)
        if targets == self.advertised_targets:
            return []
        services = frozenset(t.service for t in targets + self.advertised_targets)
        standing_only = differ_in_standing_only(targets, self.advertised_targets)
        self.advertised_targets = targets
        self._start_heartbeat(now)
        self.digests.add(board.this_member.daemon_id, services)
        interested = self.interest.choose_interested(services, DIRECT_FANOUT, self.rng)
        # Forwarding sends several copies to each peer: it only pays off for many peers.
        needs_forwarding = len(interested) == DIRECT_FANOUT
        if standing_only and needs_forwarding:
            # Digests carry standings. Until they arrive, gates refuse requests for
            # which the standing is too bad.
            return []
        self.version = self.heartbeat & VERSION_MASK
        peers = interested[:LOCAL_UPDATE_FANOUT] if needs_forwarding else interested
        effects = []
        for peer in peers:
            covered = services.intersection(peer.services)
            update = self._build_local_update(covered, urgent=needs_forwarding)
            effects.append(SendToPeer(peer.peer_address, update, urgent=True))
        return effects

    def _build_local_update(
        self, services: frozenset[str], urgent: bool = False
    ) -> TargetsUpdate:
        this = self.blackboard.this_member
        age = self.clock.monotonic() - self.heartbeat_at
        return TargetsUpdate(
            daemon_id=this.daemon_id,
            availability_zone=this.availability_zone,
            heartbeat=self.heartbeat,
            age_ms=age // timedelta(milliseconds=1),
            version=self.version,
            services=tuple(sorted(services)),
            targets=tuple(
                TargetEntry.from_target(target, position)
                for position, target in enumerate(self.advertised_targets)
                if target.service in services
            ),
            urgent=urgent,
            departures=tuple(self.blackboard.departures.values()),
        )

    def _build_held_update(
        self, daemon_id: str, services: frozenset[str], urgent: bool = False
    ) -> TargetsUpdate | None:
        held = self.leases.held_targets.get(daemon_id)
        member = self.blackboard.members.get(daemon_id)
        if held is None or member is None or not held.published:
            return None
        covered = services & held.services
        if held.targets_version != held.newest_version or not covered:
            return None
        age = self.clock.monotonic() - held.renewed_at
        return TargetsUpdate(
            daemon_id=daemon_id,
            availability_zone=member.availability_zone,
            heartbeat=held.heartbeat,
            age_ms=-(-age // timedelta(milliseconds=1)),
            version=held.targets_version,
            services=tuple(sorted(covered)),
            targets=tuple(
                TargetEntry.from_target(t, held.positions.get(t.target_id, -1))
                for t in held.targets
                if t.service in covered
            ),
            urgent=urgent,
            departures=self.leases.departures.list_of(held.targets),
        )

    def _expire_leases(self, now: timedelta) -> list[Any]:
        return [
            RecordEvent("targets-lapsed", {"member": daemon_id})
            for daemon_id in self.leases.lapse(now)
        ]

    def _discard_unneeded(self) -> None:
        for daemon_id, held in list(self.leases.held_targets.items()):
            unneeded = daemon_id not in self.interest.needed_by_member
            if unneeded or (self._is_dead(daemon_id) and not held.published):
                self.leases.discard(daemon_id)
                self.pulls.discard(daemon_id)

    def _is_dead(self, daemon_id: str) -> bool:
        member = self.blackboard.members.get(daemon_id)
        return member is None or member.state is MemberState.DEAD

    def _send_digests(self, now: timedelta) -> list[Any]:
        if now < self.next_digest_at:
            return []
        self.next_digest_at = now + self.times.digest_interval
        effects = []
        for peer_id, names in self.digests.pop_round().items():
            digest = self._build_digest(names)
            peer = self.blackboard.members.get(peer_id)
            if digest.rows and peer is not None:
                effects.append(SendToPeer(peer.peer_address, digest))
        return effects

    def _build_digest(self, names: list[str]) -> Digest:
        now = self.clock.monotonic()
        rows = DigestRows(self.heartbeat)
        for name in names:
            if name == self.blackboard.this_member.daemon_id:
                age = now - self.heartbeat_at
                packed = pack_standings(self.advertised_targets)
                rows.add(name, self.heartbeat, age, self.version, packed)
                continue
            held = self.leases.held_targets.get(name)
            if held is None or now - held.renewed_at >= self.times.lease:
                continue
            age = now - held.renewed_at
            rows.add(name, held.heartbeat, age, held.newest_version, held.standings)
        return rows.build()


def split_batches(items: list[Any], size: int) -> list[list[Any]]:
    """Return the items in lists of at most a size."""
    return [items[start : start + size] for start in range(0, len(items), size)]
