"""Requests for targets and heartbeats that were not received in time."""

import random
from datetime import timedelta
from typing import Any

from wagtailstep.controllers.interest import InterestIndex
from wagtailstep.controllers.pulls import BatchSchedule, PullSchedule
from wagtailstep.controllers.target_leases import TargetLeases, needs_pull
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.fleet import Member
from wagtailstep.models.membership import (
    DigestRequest,
    TargetsBatchRequest,
    TargetsRequest,
    member_reference,
)

MAX_PULLS_PER_SEARCH = 10
REFRESH_LEASE_FRACTION = 0.65


class TargetPuller:
    """Request what the leases lack, from the daemon concerned or from its peers.

    :param blackboard: source of the members.
    :param interest: index of the daemons whose targets are needed.
    :param leases: what is held.
    :param rng: source of random choices.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        interest: InterestIndex,
        leases: TargetLeases,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.interest = interest
        self.leases = leases
        self.rng = rng
        self.schedule = PullSchedule()
        self.batches = BatchSchedule()

    def pull(self, now: timedelta, lease: timedelta) -> list[Any]:
        """Request missing targets, and heartbeats that are due."""
        oldest = now - lease * REFRESH_LEASE_FRACTION
        missing = {
            daemon_id: needed
            for daemon_id, needed in self.interest.needed_by_member.items()
            if needs_pull(self.leases.held_targets.get(daemon_id), needed, oldest)
        }
        unknown = [name for name in missing if self._has_no_targets(name)]
        if self.batches.uses_batches(unknown):
            for name in unknown:
                del missing[name]
            return self._request_batch(unknown, now) + self._pull_each(missing, now)
        return self._pull_each(missing, now)

    def pull_changed(self, daemon_id: str, informant: str, now: timedelta) -> list[Any]:
        """Request targets that changed from the daemon that told of the change.

        Its messages arrive, while those of the owner may be lost.
        """
        held = self.leases.held_targets[daemon_id]
        needed = self.interest.needed_by_member[daemon_id]
        peer = self.blackboard.members.get(informant)
        if held.targets_version < 0 or held.is_complete(needed) or peer is None:
            return []
        if not self.schedule.try_start(daemon_id, now):
            return []
        return [SendToPeer(peer.peer_address, self._build_request(daemon_id, needed))]

    def _has_no_targets(self, daemon_id: str) -> bool:
        held = self.leases.held_targets.get(daemon_id)
        return held is None or held.targets_version < 0

    def _request_batch(self, names: list[str], now: timedelta) -> list[Any]:
        if not self.batches.try_start(names, now):
            return []
        peers = self.interest.choose_interested(self.interest.services, 1, self.rng)
        if not peers:
            return []
        request = TargetsBatchRequest(
            self.blackboard.this_member.peer_address,
            tuple(member_reference(name) for name in names),
            tuple(sorted(self.interest.services)),
        )
        return [SendToPeer(peers[0].peer_address, request)]

    def _pull_each(
        self, missing: dict[str, frozenset[str]], now: timedelta
    ) -> list[Any]:
        effects: list[Any] = []
        stale: list[str] = []
        for daemon_id, needed in missing.items():
            held = self.leases.held_targets.get(daemon_id)
            if len(effects) >= MAX_PULLS_PER_SEARCH:
                break
            if not self.schedule.try_start(daemon_id, now):
                continue
            if held is not None and held.is_complete(needed):
                stale.append(daemon_id)
            else:
                effects += self._request_targets(daemon_id, needed)
        return effects + self._request_digests(stale)

    def _request_targets(self, daemon_id: str, needed: frozenset[str]) -> list[Any]:
        request = self._build_request(daemon_id, needed)
        peer = self._choose_peer(daemon_id)
        is_unknown = daemon_id not in self.leases.held_targets
        if peer is None or self.schedule.asks_owner(daemon_id, owner_first=is_unknown):
            peer = self.blackboard.members.get(daemon_id)
        return [] if peer is None else [SendToPeer(peer.peer_address, request)]

    def _build_request(self, daemon_id: str, needed: frozenset[str]) -> TargetsRequest:
        reply_to = self.blackboard.this_member.peer_address
        return TargetsRequest(reply_to, daemon_id, tuple(sorted(needed)))

    def _choose_peer(self, daemon_id: str) -> Member | None:
        needed = self.interest.needed_by_member[daemon_id]
        others = self.interest.choose_interested(needed, 1, self.rng)
        return others[0] if others else None

    def _request_digests(self, stale: list[str]) -> list[Any]:
        effects: list[Any] = []
        relayed = [name for name in stale if not self.schedule.asks_owner(name)]
        for daemon_id in stale:
            if daemon_id not in relayed:
                owner = self.blackboard.members.get(daemon_id)
                effects += self._request_digest(owner, [daemon_id])
        while relayed:
            peer = self._choose_peer(relayed[0])
            services = frozenset(peer.services if peer else ())
            batch = [n for n in relayed if services & self.interest.needed_by_member[n]]
            batch = batch or relayed[:1]
            effects += self._request_digest(peer, batch)
            relayed = [name for name in relayed if name not in batch]
        return effects

    def _request_digest(self, peer: Member | None, names: list[str]) -> list[Any]:
        if peer is None:
            return []
        references = tuple(member_reference(name) for name in names)
        reply_to = self.blackboard.this_member.peer_address
        return [SendToPeer(peer.peer_address, DigestRequest(reply_to, references))]
