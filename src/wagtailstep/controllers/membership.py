"""Membership of the fleet: which daemons exist and which are alive."""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.controllers.member_contacts import MemberContacts
from wagtailstep.controllers.member_table import MemberTable
from wagtailstep.controllers.member_updates import UpdateQueue
from wagtailstep.controllers.probing import Prober
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    FollowStream,
    LogAppendFinished,
    LogRecordsRead,
    MemberRegistered,
    MembersListed,
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    Tick,
)
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.membership import (
    MEMBERS_STREAM,
    Ack,
    MemberChange,
    MemberEntry,
    MembersPage,
    MembersRequest,
    MemberUpdates,
    Ping,
    PingRequest,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# About 12 KB, which the slowest links carry in 20 ms.
MAX_PAGE_ENTRIES = 128
MEMBERS_POLL_MS = 10_000
MAX_TICK_GAP_MS = 10_000
PRUNE_INTERVAL_MS = 5_000
SERVICES_UPDATE_INTERVAL_MS = 1_000
URGENT_FANOUT = 4


class MembershipController:
    """Discover other daemons, detect failures and propagate membership changes.

    Each daemon pings one other per second, through helpers too if it gets no answer.
    A daemon that nobody reaches is suspect, and dead if it does not refute the
    suspicion in time. Updates are piggybacked on these messages. The incarnation of a
    daemon starts at the wall-clock time of its start in milliseconds and rises by one
    with each refutation and each change of its services; a daemon that receives a
    higher incarnation of itself continues above that one.
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
        this = blackboard.this_member
        self.self_id = this.daemon_id
        blackboard.members[self.self_id] = this
        self.table = MemberTable(blackboard.members)
        self.updates = UpdateQueue(blackboard.members)
        self.contacts = MemberContacts(self.settings, this, rng)
        self.prober = Prober(
            self.settings, blackboard.members, self.self_id, this.peer_address, rng
        )
        self.last_tick: timedelta | None = None
        self.last_received_at: dict[str, timedelta] = {}
        self.last_message_at = timedelta()
        self.prune_at = timedelta()
        self.next_services_update_at = timedelta()
        # Cached, as looking up a single-dispatch method costs more than a call.
        self.receive = self._receive

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that membership does not depend on."""
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        effects = self._handle_start_or_pause(now)
        effects += self._update_this_member(now)
        effects += self._handle_failed_probe(now)
        effects += self._mark_expired_suspects_dead(now)
        era = self.blackboard.store_era
        self.contacts.check_registration(era, now, self.table.count_live())
        effects += self.contacts.tick(now, self.table, self.blackboard.this_member)
        effects += self.prober.request_indirect_probes(now)
        member = self.prober.start_probe(now)
        if member is not None:
            updates = self._pop_updates_for(member.daemon_id)
            effects.append(self.prober.build_ping(member, updates))
        return effects

    @handle.register
    def _(self, event: LogRecordsRead) -> list[Any]:
        if event.stream == MEMBERS_STREAM:
            self.contacts.add_records(event.records)
        return []

    @handle.register
    def _(self, event: MembersListed) -> list[Any]:
        return self.contacts.handle_member_list(
            event.addresses, self.blackboard.this_member
        )

    @handle.register
    def _(self, event: MemberRegistered) -> list[Any]:
        self.contacts.complete_registration(event.succeeded, self.clock.monotonic())
        return []

    @handle.register
    def _(self, event: LogAppendFinished) -> list[Any]:
        self.contacts.complete_append(event, self.clock.monotonic())
        return []

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        if event.sender == self.self_id:
            return []
        self.last_message_at = self.clock.monotonic()
        self.last_received_at[event.sender] = self.last_message_at
        return self.receive(event.message, event.sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> list[Any]:
        return []

    @_receive.register
    def _(self, message: Ping, sender: str) -> list[Any]:
        effects = self._merge(message.updates)
        known = self.table.count_live()
        ack = Ack(message.sequence, known, self._pop_updates_for(sender))
        this = self.blackboard.this_member
        if self.table.is_alone(this):
            # It knew an earlier process of this daemon, and no seed or registry has
            # named another daemon to join by.
            effects += self.contacts.request_members(this, message.reply_to)
        return [SendToPeer(message.reply_to, ack), *effects]

    @_receive.register
    def _(self, message: Ack, sender: str) -> list[Any]:
        effects = self._merge(message.updates)
        now = self.clock.monotonic()
        reached = self.prober.complete_probe(message.sequence)
        if reached is not None:
            self.last_received_at[reached] = now
        source = self.blackboard.members.get(sender)
        if source is not None:
            address = source.peer_address
            self.contacts.start_catch_up(address, message.known_count, now, self.table)
        if message.sequence in self.prober.relays:
            updates = self._pop_updates_for("")
            effects.append(self.prober.forward_ack(message.sequence, updates))
        return effects

    @_receive.register
    def _(self, message: PingRequest, sender: str) -> list[Any]:
        effects = self._merge(message.updates)
        now = self.clock.monotonic()
        return [
            self.prober.relay_ping(message, self._pop_updates_for(""), now),
            *effects,
        ]

    @_receive.register
    def _(self, message: MembersRequest, sender: str) -> list[Any]:
        effects = self._merge(MemberUpdates(entries=(message.requester,)))
        address = message.requester.peer_address
        if sender in self.table.tombstones:
            effects.append(SendToPeer(address, self._build_ping(sender)))
        if message.limit <= 0:
            return effects
        page = self._build_page(message, sender)
        return [SendToPeer(address, page), *effects]

    @_receive.register
    def _(self, message: MembersPage, sender: str) -> list[Any]:
        # Each daemon reads the pages itself, so their entries are not propagated.
        effects = self._merge(MemberUpdates(entries=message.entries), propagate=False)
        source = self.blackboard.members.get(sender)
        if source is not None:
            now = self.clock.monotonic()
            address = source.peer_address
            self.contacts.handle_page(address, message, now, self.table)
        return effects

    def _build_page(self, request: MembersRequest, requester: str) -> MembersPage:
        after = request.after
        members = self.blackboard.members
        names = sorted(name for name in members if name > after)
        page = names[: min(request.limit, MAX_PAGE_ENTRIES)]
        entries = [MemberEntry.from_member(members[name]) for name in page]
        if after == "" and requester not in page and requester in members:
            # Lets the requester see whether a higher incarnation of itself is known.
            entries.append(MemberEntry.from_member(members[requester]))
        last = page[-1] if len(names) > len(page) else ""
        return MembersPage(after, tuple(entries), last, self.table.count_live())

    def _build_ping(self, receiver: str) -> Ping:
        self.prober.sequence += 1
        address = self.blackboard.this_member.peer_address
        return Ping(self.prober.sequence, address, self._pop_updates_for(receiver))

    def _pop_updates_for(self, receiver: str) -> MemberUpdates:
        updates = self.updates.pop_updates(receiver)
        change = self.table.get_suspicion(receiver)
        if change is None:
            return updates
        return MemberUpdates(updates.entries, (*updates.changes, change))

    def _merge(self, updates: MemberUpdates, propagate: bool = True) -> list[Any]:
        effects: list[Any] = []
        for entry in updates.entries:
            effects += self._merge_entry(entry, propagate)
        for change in updates.changes:
            effects += self._merge_change(change)
        return effects

    def _merge_entry(self, entry: MemberEntry, propagate: bool) -> list[Any]:
        try:
            member = entry.to_member()
        except IndexError:
            return []
        if entry.daemon_id == self.self_id:
            return self._refute(member.incarnation, member.state)
        if not self.table.accepts(entry.daemon_id, entry.incarnation, member.state):
            return []
        if (
            member.state is MemberState.DEAD
            and entry.daemon_id not in self.table.members
        ):
            self.table.add_tombstone(entry.daemon_id, entry.incarnation)
            return []
        return self._put(member, full_entry=True, propagate=propagate)

    def _merge_change(self, change: MemberChange) -> list[Any]:
        try:
            state = change.member_state()
        except IndexError:
            return []
        if change.daemon_id == self.self_id:
            return self._refute(change.incarnation, state)
        if not self.table.accepts(change.daemon_id, change.incarnation, state):
            return []
        known = self.blackboard.members.get(change.daemon_id)
        if known is None:
            if state is MemberState.DEAD:
                self.table.add_tombstone(change.daemon_id, change.incarnation)
            return []
        if state is MemberState.DEAD and self._received_recently(change.daemon_id):
            # The daemon that reported it dead may have lost the path to it; as a
            # suspect it can still refute.
            state = MemberState.SUSPECT
        incarnation = change.incarnation
        return self._put(attrs.evolve(known, incarnation=incarnation, state=state))

    def _received_recently(self, daemon_id: str) -> bool:
        received_at = self.last_received_at.get(daemon_id)
        limit = timedelta(milliseconds=self.settings.suspicion_timeout_ms)
        return received_at is not None and self.clock.monotonic() - received_at < limit

    def _put(
        self, member: Member, full_entry: bool = False, propagate: bool = True
    ) -> list[Any]:
        known = self.blackboard.members.get(member.daemon_id)
        self.table.put(member, self.clock.monotonic())
        if propagate:
            self.updates.add(member, full_entry)
        if known is not None and known.state is member.state:
            return []
        fields = {
            "member": member.daemon_id,
            "member_incarnation": str(member.incarnation),
            "state": member.state.value,
        }
        return [RecordEvent("member-state", fields)]

    def _refute(self, incarnation: int, state: MemberState) -> list[Any]:
        this = self.blackboard.this_member
        if incarnation < this.incarnation:
            return []
        if incarnation == this.incarnation and state in (this.state, MemberState.ALIVE):
            return []
        return self._announce(attrs.evolve(this, incarnation=incarnation + 1))

    def _announce(self, this: Member) -> list[Any]:
        self.blackboard.this_member = this
        effects = self._put(this, full_entry=True)
        return effects + self._send_urgent_pings()

    def _send_urgent_pings(self) -> list[Any]:
        names = sorted(
            member.daemon_id
            for member in self.blackboard.members.values()
            if member.state is not MemberState.DEAD and member.daemon_id != self.self_id
        )
        effects = []
        for name in self.rng.sample(names, min(URGENT_FANOUT, len(names))):
            address = self.blackboard.members[name].peer_address
            effects.append(SendToPeer(address, self._build_ping(name), urgent=True))
        return effects

    def _handle_start_or_pause(self, now: timedelta) -> list[Any]:
        last, self.last_tick = self.last_tick, now
        if last is None:
            self._put(self.blackboard.this_member, full_entry=True)
            if self.contacts.uses_registry:
                return []
            return [FollowStream(MEMBERS_STREAM, MEMBERS_POLL_MS)]
        if now - last > timedelta(milliseconds=MAX_TICK_GAP_MS):
            # After a long pause queued updates and probe results are outdated.
            self.updates.clear()
            self.prober.probe = None
            self.table.restart_suspicions(now)
            self.contacts.rejoin_now()
        return []

    def _update_this_member(self, now: timedelta) -> list[Any]:
        board = self.blackboard
        this = board.this_member
        state = MemberState.LEAVING if board.draining else MemberState.ALIVE
        local = board.local_services
        # Peers route requests to a new target only once they know what is served.
        is_urgent = state is not this.state or not local.issubset(this.serves)
        if not is_urgent and now < self.next_services_update_at:
            return []
        self.next_services_update_at = now + timedelta(
            milliseconds=SERVICES_UPDATE_INTERVAL_MS
        )
        serves = tuple(sorted(local))
        services = serves + tuple(sorted(board.requested_services - local))
        changed = attrs.evolve(this, services=services, serves=serves, state=state)
        if changed == this:
            return []
        return self._announce(attrs.evolve(changed, incarnation=this.incarnation + 1))

    def _handle_failed_probe(self, now: timedelta) -> list[Any]:
        probe = self.prober.pop_timed_out_probe(now)
        if probe is None or self.last_message_at < probe.started_at:
            # A daemon that receives no messages is probably partitioned itself.
            return []
        member = self.blackboard.members.get(probe.daemon_id)
        if member is None or self._received_recently(probe.daemon_id):
            return []
        if member.state is MemberState.ALIVE:
            return self._put(attrs.evolve(member, state=MemberState.SUSPECT))
        if member.state is MemberState.LEAVING:
            return self._put(attrs.evolve(member, state=MemberState.DEAD))
        return []

    def _mark_expired_suspects_dead(self, now: timedelta) -> list[Any]:
        timeout = timedelta(milliseconds=self.settings.suspicion_timeout_ms)
        effects: list[Any] = []
        for daemon_id in self.table.expired_suspects(now, timeout):
            if self._received_recently(daemon_id):
                # It is alive; its refutation has not arrived yet.
                self.table.suspected_at[daemon_id] = now
                continue
            member = self.blackboard.members[daemon_id]
            effects += self._put(attrs.evolve(member, state=MemberState.DEAD))
        if effects:
            effects += self._send_urgent_pings()
        if now >= self.prune_at:
            self._prune(now)
        return effects

    def _prune(self, now: timedelta) -> None:
        self.prune_at = now + timedelta(milliseconds=PRUNE_INTERVAL_MS)
        retention = timedelta(seconds=self.settings.dead_retention_s)
        self.table.expire_dead(now, retention)
        self.last_received_at = {
            name: at
            for name, at in self.last_received_at.items()
            if self._received_recently(name)
        }
