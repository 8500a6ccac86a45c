"""Backend servers beside this daemon: announced, renewed, leaving and gone."""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    RecordEvent,
    TargetAnnounced,
    TargetWithdrawn,
    Tick,
)
from wagtailstep.models.fleet import Target, TargetState
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock


@attrs.define
class LocalLease:
    """What keeps a local target on the blackboard.

    :param renewed_at: monotonic time of the last announcement.
    :param leaving_since: monotonic time at which it began to leave, or ``None``.
    """

    renewed_at: timedelta
    leaving_since: timedelta | None = None


class AnnouncementController:
    """Hold a lease, by the local clock, for each backend server beside this daemon.

    A target that leaves stays on the blackboard as leaving until the drain limit
    of its service has passed, so that its gate can finish what is in flight.
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
        self.leases: dict[str, LocalLease] = {}
        self.incarnation = 0

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that announcements do not depend on."""
        return []

    @handle.register
    def _(self, event: TargetAnnounced) -> list[Any]:
        target_id = event.target.target_id
        known = self.blackboard.targets.get(target_id)
        lease = self.leases.get(target_id)
        is_leaving = lease is not None and lease.leaving_since is not None
        if is_leaving and self.blackboard.draining:
            # It leaves since its daemon does, and may well go on renewing itself.
            return []
        is_renewal = lease is not None and not is_leaving
        self.leases[target_id] = LocalLease(self.clock.monotonic())
        if is_renewal and known is not None:
            renewed = attrs.evolve(event.target, incarnation=known.incarnation)
            return self._store(self._fit(renewed), known)
        target = attrs.evolve(event.target, incarnation=self._next_incarnation())
        return self._store(self._fit(target), known)

    @handle.register
    def _(self, event: TargetWithdrawn) -> list[Any]:
        return self._start_leaving(event.target_id, "withdrawn")

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects: list[Any] = []
        for target_id, lease in list(self.leases.items()):
            effects += self._check(target_id, lease)
        return effects

    def _check(self, target_id: str, lease: LocalLease) -> list[Any]:
        now = self.clock.monotonic()
        if lease.leaving_since is not None:
            service = self.blackboard.targets[target_id].service
            limit = self.blackboard.table.service_row(service).drain_limit
            over = now - lease.leaving_since >= limit
            return self._remove(target_id) if over else []
        if self.blackboard.draining:
            return self._start_leaving(target_id, "daemon-draining")
        limit = timedelta(milliseconds=self.settings.announce_lease_ms)
        if now - lease.renewed_at >= limit:
            return self._start_leaving(target_id, "lapsed")
        return []

    def _fit(self, target: Target) -> Target:
        this = self.blackboard.this_member
        state = TargetState.LEAVING if self.blackboard.draining else target.state
        return attrs.evolve(
            target,
            daemon_id=this.daemon_id,
            availability_zone=this.availability_zone,
            state=state,
        )

    def _next_incarnation(self) -> int:
        this = self.blackboard.this_member
        self.incarnation = max(self.incarnation + 1, this.incarnation)
        return self.incarnation

    def _store(self, target: Target, known: Target | None) -> list[Any]:
        self.blackboard.targets[target.target_id] = target
        self.blackboard.local_targets.add(target.target_id)
        if target.state is TargetState.LEAVING:
            lease = self.leases[target.target_id]
            lease.leaving_since = self.clock.monotonic()
        if known == target:
            return []
        fields = {"target": target.target_id, "state": target.state.value}
        return [RecordEvent("target-announced", fields)]

    def _start_leaving(self, target_id: str, reason: str) -> list[Any]:
        lease = self.leases.get(target_id)
        if lease is None or lease.leaving_since is not None:
            return []
        lease.leaving_since = self.clock.monotonic()
        target = self.blackboard.targets[target_id]
        leaving = attrs.evolve(target, state=TargetState.LEAVING)
        self.blackboard.targets[target_id] = leaving
        fields = {"target": target_id, "reason": reason}
        return [RecordEvent("target-leaving", fields)]

    def _remove(self, target_id: str) -> list[Any]:
        del self.leases[target_id]
        self.blackboard.targets.pop(target_id, None)
        self.blackboard.local_targets.discard(target_id)
        return [RecordEvent("target-gone", {"target": target_id})]
