"""Lifecycle of local targets: announced, renewed, leaving and removed."""

import random
from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.controllers.departure_record import (
    SAVE_RETRY_INTERVAL,
    DepartureRecord,
)
from wagtailstep.controllers.registrations import Registration, Registrations
from wagtailstep.controllers.server_addresses import ServerAddresses
from wagtailstep.controllers.unrouted_announcements import UnroutedAnnouncements
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.departures import (
    MAX_ANNOUNCEMENT_DELAY,
    Departure,
    DepartureReminder,
    DeparturesListed,
    DeparturesSaved,
)
from wagtailstep.models.events import (
    InstanceWithdrawn,
    PeerMessageReceived,
    RecordEvent,
    TargetAnnounced,
    TargetWithdrawn,
    Tick,
)
from wagtailstep.models.fleet import Target, TargetStanding, TargetState
from wagtailstep.models.server_notices import NO_RATE_LIMIT, ServerNoticesReceived
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock


@attrs.define
class LocalLease:
    """The lease that keeps a local target on the blackboard.

    :param renewed_at: monotonic time of the last announcement.
    :param leaving_since: monotonic time when the target began to leave, or ``None``.
    :param said_leaving: whether a response said so; further announcements of the same
        process don't contradict it.
    """

    renewed_at: timedelta
    leaving_since: timedelta | None = None
    said_leaving: bool = False


class AnnouncementController:
    """Keep a lease, timed by the local clock, for each local backend server.

    A target that leaves stays on the blackboard as leaving until the drain limit
    of its service has passed, so that its gate can finish the requests in flight.

    A process that has announced that it leaves has departed: its other announcements
    no longer count. See :class:`DepartureRecord` for what limits that.
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
        self.registrations = Registrations(self.is_needed)
        self.incarnation = 0
        self.departures = DepartureRecord(blackboard, clock)
        self.unrouted = UnroutedAnnouncements(settings.service, blackboard)
        self.addresses = ServerAddresses(blackboard, self.unrouted.is_routed)

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that announcements do not depend on."""
        return []

    @handle.register
    def _(self, event: TargetAnnounced) -> list[Any]:
        target_id = event.target.target_id
        is_leaving = event.target.state is TargetState.LEAVING
        if is_leaving:
            self.unrouted.discard_instance(event.target.instance_id)
        elif self.unrouted.keep(event):
            return []
        if not self._register(event):
            return self._repeat_save(event) if is_leaving else []
        if is_leaving:
            return self._withdraw(target_id, "announced")
        known = self.blackboard.targets.get(target_id)
        lease = self.leases.get(target_id)
        was_leaving = lease is not None and lease.leaving_since is not None
        is_replaced = known is not None and event.process_started > (
            known.process_started
        )
        if was_leaving and (
            self.blackboard.draining or (lease.said_leaving and not is_replaced)
        ):
            # It leaves because this daemon drains, or announces although it leaves.
            return []
        is_renewal = lease is not None and not was_leaving
        self.leases[target_id] = LocalLease(self.clock.monotonic())
        if is_renewal and known is not None:
            same_process = known.process_started == event.process_started
            renewed = attrs.evolve(
                event.target,
                incarnation=known.incarnation,
                standing=_merge_standing(known.standing, event.target.standing),
                rate_limit=known.rate_limit if same_process else NO_RATE_LIMIT,
                process_started=event.process_started,
            )
            return self._store(self._with_daemon_attributes(renewed), known)
        target = attrs.evolve(
            event.target,
            incarnation=self._next_incarnation(),
            process_started=event.process_started,
        )
        return self._store(self._with_daemon_attributes(target), known)

    def _register(self, event: TargetAnnounced) -> bool:
        """Record an announcement, and remove a server whose address it takes over.

        A process that leaves takes none over, and may leave whoever has its address.

        :return: whether it is neither late nor from a process that has departed.
        """
        target = event.target
        needs_address = target.state is not TargetState.LEAVING
        known = self.registrations.by_target.get(target.target_id, Registration())
        if known.born and not event.process_started:
            # Processes of this server name their start time, so it is not from one.
            return False
        if needs_address and self._is_address_taken(event):
            return False
        registration = self.registrations.find_or_add(target.target_id)
        if registration is None:
            return False
        if not registration.apply_announcement(event.process_started, event.sequence):
            return False
        if registration.has_departed and event.process_started:
            return False
        if needs_address:
            for name in self.addresses.list_replaced(target):
                self._remove_target(name)
        return True

    def _is_address_taken(self, event: TargetAnnounced) -> bool:
        """Return whether a later process has the address of a server.

        One whose lease has lapsed does not, though it stays until its requests end.
        """
        holders = self.addresses.list_holders(event.target.address)
        return any(
            self.registrations.by_target[name].born > event.process_started
            for name in holders
            if self.leases[name].leaving_since is None
            or self.registrations.by_target[name].has_departed
        )

    @handle.register
    def _(self, event: TargetWithdrawn) -> list[Any]:
        return self._withdraw(event.target_id)

    @handle.register
    def _(self, event: InstanceWithdrawn) -> list[Any]:
        self.unrouted.discard_instance(event.instance_id)
        names = self.registrations.find_names(event.instance_id)
        if not names:
            # It was announced to an earlier process of this daemon. Reject its earlier
            # announcements if they still arrive.
            name = f"{event.service}/{event.instance_id}"
            registration = self.registrations.find_or_add(name)
            if registration is None:
                return []
            registration.born = event.left_at
            registration.has_departed = True
            registration.expires_at = self.clock.monotonic() + MAX_ANNOUNCEMENT_DELAY
            return self._record_departure(name)
        effects: list[Any] = []
        for name in names:
            effects += self._withdraw(name)
        return effects

    @handle.register
    def _(self, event: ServerNoticesReceived) -> list[Any]:
        lease = self.leases.get(event.target_id)
        if not event.notices.leaving or lease is None or lease.said_leaving:
            return []
        lease.said_leaving = True
        return self._withdraw(event.target_id, "response")

    def _withdraw(self, target_id: str, reason: str = "withdrawn") -> list[Any]:
        registration = self.registrations.by_target.get(target_id)
        if registration is None:
            return self._start_leaving(target_id, reason)
        registration.has_departed = True
        return self._start_leaving(target_id, reason) + self._record_departure(
            target_id
        )

    def _record_departure(self, target_id: str) -> list[Any]:
        registration = self.registrations.by_target[target_id]
        if not registration.born:
            # Nothing tells its announcements from those of a later process.
            registration.departure_settled = True
        if registration.departure_settled:
            return []
        return self.departures.add_and_save(Departure(target_id, registration.born))

    def _repeat_save(self, event: TargetAnnounced) -> list[Any]:
        """Save the departure again of a process that still announces that it leaves."""
        target_id = event.target.target_id
        registration = self.registrations.by_target.get(target_id, Registration())
        is_same = registration.born == event.process_started
        if not is_same or not registration.has_departed:
            return []
        return self._record_departure(target_id)

    def is_departure_settled(self, instance_id: str) -> bool:
        """Return whether the departures of a backend server may be acknowledged.

        That is so once they are recorded, or after ``MAX_ANNOUNCEMENT_DELAY``.

        :param instance_id: target identifier without the service.
        """
        names = self.registrations.find_names(instance_id)
        registrations = [self.registrations.by_target[name] for name in names]
        return bool(registrations) and all(
            registration.departure_settled
            for registration in registrations
            if registration.has_departed
        )

    def is_needed(self, target_id: str) -> bool:
        """Return whether the registration of a target has to be kept."""
        return target_id in self.leases or target_id in self.blackboard.departures

    def _settle(self, departures: Iterable[Departure]) -> None:
        for departure in departures:
            registration = self.registrations.by_target.get(departure.target_id)
            is_same = registration is not None and (
                registration.born == departure.process_started
            )
            if is_same and registration.has_departed:
                registration.departure_settled = True

    @handle.register
    def _(self, event: DeparturesSaved) -> list[Any]:
        self._settle(event.recorded)
        if not event.succeeded:
            self.departures.schedule_save(SAVE_RETRY_INTERVAL)
        return []

    @handle.register
    def _(self, event: DeparturesListed) -> list[Any]:
        if event.departures:
            # Removes the records of those that don't count here.
            self.departures.schedule_save(MAX_ANNOUNCEMENT_DELAY)
        effects = self._restore_departures(event.departures)
        self._settle(event.departures)
        return effects

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        reminder = event.message
        if not isinstance(reminder, DepartureReminder):
            return []
        effects = self._restore_departures(reminder.departures)
        if reminder.has_read_all:
            self._settle(reminder.departures)
        return effects

    def _restore_departures(self, departures: Iterable[Departure]) -> list[Any]:
        """Hold backend servers to what they told an earlier process of this daemon."""
        effects: list[Any] = []
        for departure in departures:
            name = departure.target_id
            registration = self.registrations.find_or_add(name)
            if registration is None:
                continue
            is_same = registration.born == departure.process_started
            if registration.born > departure.process_started or (
                is_same and registration.has_departed
            ):
                continue
            registration.born = departure.process_started
            registration.has_departed = True
            registration.departure_settled = False
            registration.expires_at = self.clock.monotonic() + MAX_ANNOUNCEMENT_DELAY
            self.departures.add(departure)
            effects += self._start_leaving(name, "departed-before")
        return effects

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        self.registrations.expire(self.clock.monotonic())
        self._settle(self.departures.expire())
        effects = self.departures.save_if_due()
        for announced in self.unrouted.pop_routed():
            effects += self.handle(announced)
        for target_id, lease in list(self.leases.items()):
            effects += self._check_lease(target_id, lease)
        return effects

    def _check_lease(self, target_id: str, lease: LocalLease) -> list[Any]:
        now = self.clock.monotonic()
        if lease.leaving_since is not None:
            service = self.blackboard.targets[target_id].service
            limit = self.blackboard.table.service_row(service).drain_limit
            is_drained = now - lease.leaving_since >= limit
            return self._remove_target(target_id) if is_drained else []
        if self.blackboard.draining:
            return self._start_leaving(target_id, "daemon-draining")
        limit = timedelta(milliseconds=self.settings.announce_lease_ms)
        if now - lease.renewed_at >= limit:
            return self._start_leaving(target_id, "lapsed")
        return []

    def _with_daemon_attributes(self, target: Target) -> Target:
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

    def _remove_target(self, target_id: str) -> list[Any]:
        del self.leases[target_id]
        self.blackboard.targets.pop(target_id, None)
        self.blackboard.local_targets.discard(target_id)
        return [RecordEvent("target-gone", {"target": target_id})]


def _merge_standing(known: TargetStanding, announced: TargetStanding) -> TargetStanding:
    """Return the standing set by the gate, if any, else the announced one."""
    return known if known >= TargetStanding.DOUBTED else announced
