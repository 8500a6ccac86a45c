"""Eject targets for the whole fleet without going below the floor.

A claim is appended to the service's log stream, whose deterministic fold accepts or
refuses it. A daemon applies an accepted ejection only while known to be up to date
with the stream, while the claim is renewed, and as far as the floor holds in its view.
"""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.avoidance import (
    MIN_GOOD_PROBES,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_MS,
    REPEAT_WINDOW_S,
    compute_backoff,
)
from wagtailstep.controllers.ejection_fold import FoldResult
from wagtailstep.controllers.ejection_state import (
    FRESHNESS_MS,
    EjectionCount,
    EjectionLease,
    StreamState,
)
from wagtailstep.controllers.floor import select_returns
from wagtailstep.exceptions import DecodeError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.ejection import (
    Ejection,
    EjectionClaim,
    EjectionReturn,
    ejection_stream,
)
from wagtailstep.models.events import (
    AppendToLog,
    FollowStream,
    LogCaughtUp,
    LogGap,
    LogRecordsRead,
    ProbeFinished,
    ProbeTarget,
    RecordEvent,
    Tick,
)
from wagtailstep.models.evidence import EjectionCandidate
from wagtailstep.models.fleet import TargetState
from wagtailstep.models.log import LogRecord
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import decode_message
from wagtailstep.utils.ids import make_id

LEASE_S = 30.0  # An ejection lapses unless its claimant renews it within the lease.
RENEW_INTERVAL_S = 10.0
MAX_HOLD_RATIO = 4  # An ejection ends after at most its planned duration times this.
CLAIM_JITTER_S = 0.2
CLAIM_RETRY_S = 2.0
RETURN_JITTER_S = 2.0
RETURN_RETRY_S = 3.0
BASE_S = 10.0  # Planned duration of a first ejection.


class EjectionController:
    """Claim ejections, apply those of all daemons, and return targets to service.

    :param settings: settings of the daemon.
    :param blackboard: ``ejected`` is written.
    :param clock: source of the monotonic time.
    :param rng: adds jitter to the times of claims and returns.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.streams: dict[str, StreamState] = {}
        self.not_before: dict[str, timedelta] = {}

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Handle one event and return effects; unknown events are ignored."""
        return []

    @handle.register
    def _(self, event: LogRecordsRead) -> list[Any]:
        state = self.streams.get(event.stream)
        if state is None:
            return []
        now = self.clock.monotonic()
        effects = []
        for record in event.records:
            effects += self.apply(state, record, now)
        state.record_read_position(now)
        self.write_ejected()
        return effects

    @handle.register
    def _(self, event: LogCaughtUp) -> list[Any]:
        state = self.streams.get(event.stream)
        if state is not None:
            state.caught_up = True
            state.fresh_until = event.read_sent_at + timedelta(
                milliseconds=FRESHNESS_MS
            )
            state.record_read_position(self.clock.monotonic())
            self.write_ejected()
        return []

    @handle.register
    def _(self, event: LogGap) -> list[Any]:
        state = self.streams.get(event.stream)
        if state is not None:
            self.streams[event.stream] = StreamState(state.service)
            self.write_ejected()
        return []

    @handle.register
    def _(self, event: ProbeFinished) -> list[Any]:
        for state in self.streams.values():
            lease = state.leases.get(event.target_id)
            ejection = state.fold.ejections.get(event.target_id)
            if lease is None or ejection is None or not self.owns(ejection):
                continue
            lease.good_probes = lease.good_probes + 1 if event.succeeded else 0
            if lease.good_probes >= MIN_GOOD_PROBES:
                return self.return_target(ejection, state, "recovered", jitter=False)
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects: list[Any] = self.follow_streams()
        now = self.clock.monotonic()
        for state in self.streams.values():
            if not self.is_fresh(state, now):
                continue
            effects += self.update_ejections(state, now)
            effects += self.claim_candidates(state, now)
        self.write_ejected()
        return effects

    def follow_streams(self) -> list[Any]:
        """Follow the streams of services that are served or requested here."""
        board = self.blackboard
        services = {*board.this_member.services, *board.requested_services}
        effects = []
        for service in sorted(services):
            stream = ejection_stream(service)
            if stream not in self.streams:
                self.streams[stream] = StreamState(service)
                effects.append(FollowStream(stream))
        return effects

    def is_fresh(self, state: StreamState, now: timedelta) -> bool:
        """Return whether the stream was recently read to its end."""
        return state.caught_up and now < state.fresh_until

    def owns(self, ejection: Ejection) -> bool:
        """Return whether this daemon is the claimant of an ejection."""
        return ejection.claimant == self.blackboard.this_member.daemon_id

    def apply(self, state: StreamState, record: LogRecord, now: timedelta) -> list[Any]:
        """Apply one record to the fold and update leases and ejection counts."""
        try:
            message = decode_message(record.data)
        except DecodeError as error:
            fields = {"stream": state.service, "reason": str(error)}
            return [RecordEvent("ejection-record-ignored", fields)]
        result = state.fold.apply(record.offset, message)
        if result in (FoldResult.EJECTED, FoldResult.RENEWED):
            self.renew(state, message, now)
        if result is FoldResult.RETURNED:
            del state.leases[message.target_id]
            state.counts.setdefault(message.target_id, EjectionCount()).ended_at = now
        if result is FoldResult.IGNORED or not state.caught_up:
            return []
        if result is FoldResult.RENEWED:
            return []
        return [build_outcome_event(result, message)]

    def renew(self, state: StreamState, claim: EjectionClaim, now: timedelta) -> None:
        """Start or renew the lease of an ejection."""
        lease = state.leases.get(claim.target_id)
        if lease is None:
            lease = EjectionLease(first_read_at=now, expires_at=now, renew_at=now)
            state.leases[claim.target_id] = lease
        lease.read_caught_up = state.caught_up
        lease.expires_at = now + timedelta(seconds=LEASE_S)
        lease.renew_at = now + timedelta(seconds=RENEW_INTERVAL_S)
        previous = state.counts.setdefault(claim.target_id, EjectionCount())
        previous.count = claim.strikes

    def serving_weights(self, service: str) -> dict[str, float]:
        """Return the weights of the service's targets known to be serving."""
        board = self.blackboard
        return {
            target.target_id: board.table.weight(target.target_id)
            for target in board.targets_of(service)
            if target.state is TargetState.SERVING
        }

    def forced_returns(self, state: StreamState) -> list[str]:
        """Return the ejected targets that the floor requires in this daemon's view."""
        if not state.fold.ejections:
            return []
        floor = self.blackboard.table.service_row(state.service).floor_weight
        weights = self.serving_weights(state.service)
        return select_returns(weights, list(state.fold.ejections), floor)

    def write_ejected(self) -> None:
        """Write the targets that this daemon treats as ejected to the blackboard."""
        now = self.clock.monotonic()
        ejected: set[str] = set()
        for state in self.streams.values():
            if self.is_fresh(state, now):
                ejected.update(self.effective_ejections(state, now))
        if ejected != self.blackboard.ejected:
            self.blackboard.ejected = ejected

    def effective_ejections(self, state: StreamState, now: timedelta) -> set[str]:
        """Return the targets of a service that this daemon treats as ejected."""
        forced = set(self.forced_returns(state))
        ejected = set()
        for target_id, ejection in state.fold.ejections.items():
            lease = state.leases[target_id]
            in_force = lease.read_caught_up and now < lease.expires_at
            if in_force and target_id not in forced and not self.is_outdated(ejection):
                ejected.add(target_id)
        return ejected

    def is_outdated(self, ejection: Ejection) -> bool:
        """Return whether the target has restarted since the ejection was claimed."""
        target = self.blackboard.targets.get(ejection.target_id)
        return target is not None and target.incarnation > ejection.incarnation

    def update_ejections(self, state: StreamState, now: timedelta) -> list[Any]:
        """End ejections that are due to end; renew and probe this daemon's own."""
        effects: list[Any] = []
        forced = set(self.forced_returns(state))
        for ejection in list(state.fold.ejections.values()):
            lease = state.leases[ejection.target_id]
            reason = self.get_return_reason(ejection, lease, forced, now)
            if reason:
                effects += self.return_target(ejection, state, reason)
            elif self.owns(ejection):
                effects += self.update_local_ejection(state, ejection, lease, now)
        return effects

    def get_return_reason(
        self, ejection: Ejection, lease: EjectionLease, forced: set[str], now: timedelta
    ) -> str:
        """Return why an ejection has to end, or an empty string."""
        if ejection.target_id in forced:
            return "floor"
        if self.is_outdated(ejection):
            return "restarted"
        if lease.expires_at <= now:
            return "lapsed"
        limit = MAX_HOLD_RATIO * compute_backoff(ejection.consecutive_ejections, BASE_S)
        if now - lease.first_read_at > limit:
            return "held-longest"
        return ""

    def update_local_ejection(
        self,
        state: StreamState,
        local: Ejection,
        lease: EjectionLease,
        now: timedelta,
    ) -> list[Any]:
        """Renew an ejection claimed here and probe its target once its time is over."""
        effects: list[Any] = []
        if now >= lease.renew_at:
            lease.renew_at = now + timedelta(seconds=CLAIM_RETRY_S)
            reason, strikes = "renewal", local.consecutive_ejections
            effects += self.claim(state, local.target_id, reason, strikes)
        end = lease.first_read_at + compute_backoff(local.consecutive_ejections, BASE_S)
        if now >= end and now >= lease.next_probe_at:
            lease.next_probe_at = now + timedelta(seconds=PROBE_INTERVAL_S)
            timeout = timedelta(milliseconds=PROBE_TIMEOUT_MS)
            effects.append(ProbeTarget(local.target_id, timeout))
        return effects

    def claim_candidates(self, state: StreamState, now: timedelta) -> list[Any]:
        """Claim candidates, the most severe first, each after a short random wait."""
        candidates = [
            candidate
            for candidate in self.blackboard.ejection_candidates.values()
            if candidate.target_id.partition("/")[0] == state.service
            and candidate.target_id not in state.fold.ejections
        ]
        effects: list[Any] = []
        for candidate in sorted(candidates, key=lambda c: (-c.severity, c.target_id)):
            if self.is_due(f"claim {candidate.target_id}", CLAIM_JITTER_S, now):
                effects += self.claim_candidate(state, candidate, now)
        return effects

    def claim_candidate(
        self, state: StreamState, candidate: EjectionCandidate, now: timedelta
    ) -> list[Any]:
        """Claim the ejection of a candidate."""
        target_id = candidate.target_id
        previous = state.counts.get(target_id, EjectionCount())
        recent = now - previous.ended_at < timedelta(seconds=REPEAT_WINDOW_S)
        count = previous.count + 1 if recent else 1
        reason = f"{candidate.symptom.value} {candidate.route}".strip()
        return self.claim(state, target_id, reason, count)

    def claim(
        self, state: StreamState, target_id: str, reason: str, strikes: int
    ) -> list[Any]:
        """Append a claim, unless it would break the floor by this daemon's fold."""
        target = self.blackboard.targets.get(target_id)
        if target is None:
            return []
        now = self.clock.monotonic()
        row = self.blackboard.table.service_row(state.service)
        claim = EjectionClaim(
            claim_id=make_id(self.rng),
            claimant=self.blackboard.this_member.daemon_id,
            target_id=target_id,
            incarnation=target.incarnation,
            reason=reason,
            strikes=strikes,
            weights=self.serving_weights(state.service),
            out=tuple(state.fold.ejections),
            floor=row.floor_weight,
            table_version=self.blackboard.table.version,
            basis_offset=state.fold.next_offset,
            settled_offset=state.settled_offset(now),
        )
        self.not_before[f"claim {target_id}"] = now + timedelta(seconds=CLAIM_RETRY_S)
        if not state.fold.keeps_floor(claim):
            return []
        return self.append(state, claim)

    def return_target(
        self, ejection: Ejection, state: StreamState, reason: str, jitter: bool = True
    ) -> list[Any]:
        """Append the end of an ejection; duplicates by other daemons are harmless."""
        now = self.clock.monotonic()
        key = f"return {ejection.claim_id}"
        max_wait_s = RETURN_JITTER_S if jitter and not self.owns(ejection) else 0.0
        if not self.is_due(key, max_wait_s, now):
            return []
        self.not_before[key] = now + timedelta(seconds=RETURN_RETRY_S)
        record = EjectionReturn(
            target_id=ejection.target_id,
            daemon_id=self.blackboard.this_member.daemon_id,
            claim_id=ejection.claim_id,
            reason=reason,
        )
        return self.append(state, record)

    def is_due(self, key: str, max_wait_s: float, now: timedelta) -> bool:
        """Return whether an action is due; a new one waits a random time first."""
        due = self.not_before.get(key)
        if due is None:
            self.expire_waits(now)
            due = now + timedelta(seconds=max_wait_s * self.rng.random())
            self.not_before[key] = due
        return now >= due

    def expire_waits(self, now: timedelta) -> None:
        """Remove wait times that have long passed."""
        oldest = now - timedelta(seconds=2 * LEASE_S)
        for key in [key for key, due in self.not_before.items() if due < oldest]:
            del self.not_before[key]

    def append(
        self, state: StreamState, record: EjectionClaim | EjectionReturn
    ) -> list[Any]:
        """Return the effect that appends a record to the stream of the service."""
        append_id = make_id(self.rng)
        return [AppendToLog(ejection_stream(state.service), record, append_id)]


def build_outcome_event(
    result: FoldResult, message: EjectionClaim | EjectionReturn
) -> RecordEvent:
    """Return the timeline event for the outcome of a record."""
    by = message.claimant if isinstance(message, EjectionClaim) else message.daemon_id
    fields = {"target": message.target_id, "by": by, "reason": message.reason}
    return RecordEvent(f"ejection-{result.value}", fields)
