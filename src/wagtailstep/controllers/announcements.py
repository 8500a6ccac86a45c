"""Backend servers beside this daemon: announced, renewed, leaving and gone."""

import random
from collections import OrderedDict
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    InstanceWithdrawn,
    RecordEvent,
    TargetAnnounced,
    TargetWithdrawn,
    Tick,
)
from wagtailstep.models.fleet import Target, TargetStanding, TargetState
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# Processes of backend servers beside one daemon whose late announcements are told; one
# instance sees a few a day.
MAX_REGISTRATIONS = 64
# An announcement is seconds late at the most. Beyond that a clock that was set back is
# the likelier reason for a start that seems to lie before a withdrawal.
LATE_ANNOUNCEMENTS = timedelta(seconds=10)


@attrs.define
class LocalLease:
    """What keeps a local target on the blackboard.

    :param renewed_at: monotonic time of the last announcement.
    :param leaving_since: monotonic time at which it began to leave, or ``None``.
    """

    renewed_at: timedelta
    leaving_since: timedelta | None = None


@attrs.define
class Registration:
    """The newest announcement of a backend server, kept after it has left.

    :param born: when its process started.
    :param sequence: number of the announcement.
    :param left: whether that process said that it leaves.
    :param forget_at: monotonic time when it is forgotten; ``None`` for never.
    """

    born: int = 0
    sequence: int = 0
    left: bool = False
    forget_at: timedelta | None = None

    def take(self, born: int, sequence: int) -> bool:
        """Take an announcement.

        :return: whether it is newer than all before it.
        """
        if born and born < self.born:
            return False
        if born > self.born:
            self.born, self.sequence, self.left = born, sequence, False
            self.forget_at = None
            return True
        if sequence and sequence <= self.sequence:
            return False
        self.sequence = sequence
        return True


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
        self.registrations: OrderedDict[str, Registration] = OrderedDict()
        self.incarnation = 0

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that announcements do not depend on."""
        return []

    @handle.register
    def _(self, event: TargetAnnounced) -> list[Any]:
        target_id = event.target.target_id
        if not self._is_newest(event):
            return []
        if event.target.state is TargetState.LEAVING:
            self.registrations[target_id].left = True
            return self._start_leaving(target_id, "announced")
        known = self.blackboard.targets.get(target_id)
        lease = self.leases.get(target_id)
        is_leaving = lease is not None and lease.leaving_since is not None
        if is_leaving and self.blackboard.draining:
            # It leaves since its daemon does, and may well go on renewing itself.
            return []
        is_renewal = lease is not None and not is_leaving
        self.leases[target_id] = LocalLease(self.clock.monotonic())
        if is_renewal and known is not None:
            renewed = attrs.evolve(
                event.target,
                incarnation=known.incarnation,
                standing=_keep_judgement(known.standing, event.target.standing),
            )
            return self._store(self._fit(renewed), known)
        target = attrs.evolve(event.target, incarnation=self._next_incarnation())
        return self._store(self._fit(target), known)

    def _is_newest(self, event: TargetAnnounced) -> bool:
        """Tell whether an announcement is neither late nor of a process that left."""
        target = event.target
        if event.process_started and event.process_started < self._born_at(
            target.address
        ):
            return False
        registration = self.registrations.setdefault(target.target_id, Registration())
        self.registrations.move_to_end(target.target_id)
        while len(self.registrations) > MAX_REGISTRATIONS:
            self.registrations.popitem(last=False)
        if not registration.take(event.process_started, event.sequence):
            return False
        if registration.left and event.process_started:
            return False
        self._replace_at(target)
        return True

    def _born_at(self, address: str) -> int:
        """Return when the newest process known at an address started."""
        board = self.blackboard
        return max(
            (
                self.registrations[name].born
                for name in board.local_targets
                if address and board.targets[name].address == address
            ),
            default=0,
        )

    def _replace_at(self, target: Target) -> None:
        """Drop an older backend server whose address another one has now."""
        board = self.blackboard
        for name in list(board.local_targets):
            same = target.address and board.targets[name].address == target.address
            if same and name != target.target_id:
                self._remove(name)

    @handle.register
    def _(self, event: TargetWithdrawn) -> list[Any]:
        return self._withdraw(event.target_id)

    @handle.register
    def _(self, event: InstanceWithdrawn) -> list[Any]:
        names = [
            name
            for name in self.registrations
            if name.partition("/")[2] == event.instance_id
        ]
        if not names:
            # It was announced to an earlier process of this daemon. Announcements that
            # it made before are late ones from now on.
            name = f"{event.service}/{event.instance_id}"
            forget_at = self.clock.monotonic() + LATE_ANNOUNCEMENTS
            self.registrations[name] = Registration(
                born=event.left_at, left=True, forget_at=forget_at
            )
            return []
        effects: list[Any] = []
        for name in names:
            effects += self._withdraw(name)
        return effects

    def _withdraw(self, target_id: str) -> list[Any]:
        registration = self.registrations.get(target_id)
        if registration is not None:
            registration.left = True
        return self._start_leaving(target_id, "withdrawn")

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects: list[Any] = []
        self._forget_registrations()
        for target_id, lease in list(self.leases.items()):
            effects += self._check(target_id, lease)
        return effects

    def _forget_registrations(self) -> None:
        now = self.clock.monotonic()
        for name, registration in list(self.registrations.items()):
            if registration.forget_at is not None and now >= registration.forget_at:
                del self.registrations[name]

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


def _keep_judgement(known: TargetStanding, announced: TargetStanding) -> TargetStanding:
    """Return a gate's judgement of a target, or else what the target says."""
    return known if known >= TargetStanding.DOUBTED else announced
