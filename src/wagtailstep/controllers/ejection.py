"""Take targets out of service for the whole fleet, never below the floor.

A claim is appended to the stream of the service and takes effect, or doesn't, by
the deterministic fold of that stream. A daemon applies what the fold holds to be
out only while it surely reads the stream's end, only as long as the claim is
renewed, and only as far as the floor holds in its own view.
"""

import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from wagtailstep.controllers.ejection_fold import FoldResult
from wagtailstep.controllers.ejection_state import (
    FRESH_MS,
    HeldEjection,
    StreamState,
    Strikes,
)
from wagtailstep.controllers.floor import select_returns
from wagtailstep.controllers.standing import (
    GOOD_PROBES,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_MS,
    STRIKE_MEMORY_S,
    away_time,
)
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

LEASE_S = 30.0
RENEW_S = 10.0
MAX_HOLD_TIMES = 4
CLAIM_JITTER_S = 0.2
CLAIM_RETRY_S = 2.0
RETURN_JITTER_S = 2.0
RETURN_RETRY_S = 3.0
BASE_OUT_S = 10.0


class EjectionController:
    """Claim ejections, follow those of all daemons, and return targets.

    :param settings: settings of the daemon.
    :param blackboard: ``ejected`` is written.
    :param clock: tells the monotonic time.
    :param rng: spreads the claims and returns of several daemons.
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
        """Take one event and return effects; unknown events are ignored."""
        return []

    @handle.register
    def _(self, event: LogRecordsRead) -> list[Any]:
        state = self.streams.get(event.stream)
        if state is None:
            return []
        now = self.clock.monotonic()
        effects = []
        for record in event.records:
            effects += self.take_record(state, record, now)
        state.note_read(now)
        self.write_ejected()
        return effects

    @handle.register
    def _(self, event: LogCaughtUp) -> list[Any]:
        state = self.streams.get(event.stream)
        if state is not None:
            state.live = True
            state.fresh_until = event.read_sent_at + timedelta(milliseconds=FRESH_MS)
            state.note_read(self.clock.monotonic())
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
            held = state.held.get(event.target_id)
            ejection = state.fold.out.get(event.target_id)
            if held is None or ejection is None or not self.owns(ejection):
                continue
            held.good_probes = held.good_probes + 1 if event.succeeded else 0
            if held.good_probes >= GOOD_PROBES:
                return self.put_back(ejection, state, "recovered", jitter=False)
        return []

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        effects: list[Any] = self.follow_streams()
        now = self.clock.monotonic()
        for state in self.streams.values():
            if not self.is_fresh(state, now):
                continue
            effects += self.tend_ejections(state, now)
            effects += self.claim_candidates(state, now)
        self.write_ejected()
        return effects

    def follow_streams(self) -> list[Any]:
        """Follow the streams of services that are served or asked for here."""
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
        """Tell whether the stream's end was reached not long ago."""
        return state.live and now < state.fresh_until

    def owns(self, ejection: Ejection) -> bool:
        """Tell whether this daemon answers for an ejection."""
        return ejection.claimant == self.blackboard.this_member.daemon_id

    def take_record(
        self, state: StreamState, record: LogRecord, now: timedelta
    ) -> list[Any]:
        """Fold one record and keep the time-bound state beside it."""
        try:
            message = decode_message(record.data)
        except DecodeError as error:
            fields = {"stream": state.service, "reason": str(error)}
            return [RecordEvent("ejection-record-ignored", fields)]
        result = state.fold.apply(record.offset, message)
        if result in (FoldResult.EJECTED, FoldResult.RENEWED):
            self.hold(state, message, now)
        if result is FoldResult.RETURNED:
            del state.held[message.target_id]
            state.strikes.setdefault(message.target_id, Strikes()).ended = now
        if result is FoldResult.IGNORED or not state.live:
            return []
        if result is FoldResult.RENEWED:
            return []
        return [describe(result, message)]

    def hold(self, state: StreamState, claim: EjectionClaim, now: timedelta) -> None:
        """Start or extend the lease of an ejection."""
        held = state.held.get(claim.target_id)
        if held is None:
            held = HeldEjection(first_read=now, lease_until=now, renew_at=now)
            state.held[claim.target_id] = held
        held.read_live = state.live
        held.lease_until = now + timedelta(seconds=LEASE_S)
        held.renew_at = now + timedelta(seconds=RENEW_S)
        strikes = state.strikes.setdefault(claim.target_id, Strikes())
        strikes.count = claim.strikes

    def serving_weights(self, service: str) -> dict[str, float]:
        """Return the weights of the service's targets that take work, by view."""
        board = self.blackboard
        return {
            target.target_id: board.table.weight(target.target_id)
            for target in board.targets_of(service)
            if target.state is TargetState.SERVING
        }

    def forced_returns(self, state: StreamState) -> list[str]:
        """Return ejected targets that the floor needs back in this view."""
        if not state.fold.out:
            return []
        floor = self.blackboard.table.service_row(state.service).floor_weight
        weights = self.serving_weights(state.service)
        return select_returns(weights, list(state.fold.out), floor)

    def write_ejected(self) -> None:
        """Write the targets that are out in this daemon's view."""
        now = self.clock.monotonic()
        ejected: set[str] = set()
        for state in self.streams.values():
            if self.is_fresh(state, now):
                ejected.update(self.effective_ejections(state, now))
        if ejected != self.blackboard.ejected:
            self.blackboard.ejected = ejected

    def effective_ejections(self, state: StreamState, now: timedelta) -> set[str]:
        """Return the targets of one service that are out in this view."""
        forced = set(self.forced_returns(state))
        ejected = set()
        for target_id, ejection in state.fold.out.items():
            held = state.held[target_id]
            in_force = held.read_live and now < held.lease_until
            if in_force and target_id not in forced and not self.was_replaced(ejection):
                ejected.add(target_id)
        return ejected

    def was_replaced(self, ejection: Ejection) -> bool:
        """Tell whether the target restarted after it was judged."""
        target = self.blackboard.targets.get(ejection.target_id)
        return target is not None and target.incarnation > ejection.incarnation

    def tend_ejections(self, state: StreamState, now: timedelta) -> list[Any]:
        """Renew and probe what this daemon ejected; end what has to end."""
        effects: list[Any] = []
        forced = set(self.forced_returns(state))
        for ejection in list(state.fold.out.values()):
            held = state.held[ejection.target_id]
            reason = self.reason_to_return(ejection, held, forced, now)
            if reason:
                effects += self.put_back(ejection, state, reason)
            elif self.owns(ejection):
                effects += self.tend_own(state, ejection, held, now)
        return effects

    def reason_to_return(
        self,
        ejection: Ejection,
        held: HeldEjection,
        forced: set[str],
        now: timedelta,
    ) -> str:
        """Return why an ejection has to end, or an empty string."""
        if ejection.target_id in forced:
            return "floor"
        if self.was_replaced(ejection):
            return "restarted"
        if held.lease_until <= now:
            return "lapsed"
        longest = MAX_HOLD_TIMES * away_time(ejection.consecutive_ejections, BASE_OUT_S)
        if now - held.first_read > longest:
            return "held-longest"
        return ""

    def tend_own(
        self,
        state: StreamState,
        ejection: Ejection,
        held: HeldEjection,
        now: timedelta,
    ) -> list[Any]:
        """Renew an ejection of this daemon and probe the target after its time."""
        effects: list[Any] = []
        if now >= held.renew_at:
            held.renew_at = now + timedelta(seconds=CLAIM_RETRY_S)
            reason, strikes = "renewal", ejection.consecutive_ejections
            effects += self.claim(state, ejection.target_id, reason, strikes)
        over = held.first_read + away_time(ejection.consecutive_ejections, BASE_OUT_S)
        if now >= over and now >= held.next_probe:
            held.next_probe = now + timedelta(seconds=PROBE_INTERVAL_S)
            timeout = timedelta(milliseconds=PROBE_TIMEOUT_MS)
            effects.append(ProbeTarget(ejection.target_id, timeout))
        return effects

    def claim_candidates(self, state: StreamState, now: timedelta) -> list[Any]:
        """Claim the gravest candidates, each after a short random wait."""
        mine = [
            candidate
            for candidate in self.blackboard.ejection_candidates.values()
            if candidate.target_id.partition("/")[0] == state.service
            and candidate.target_id not in state.fold.out
        ]
        effects: list[Any] = []
        for candidate in sorted(mine, key=lambda c: (-c.severity, c.target_id)):
            if self.is_due(f"claim {candidate.target_id}", CLAIM_JITTER_S, now):
                effects += self.claim_candidate(state, candidate, now)
        return effects

    def claim_candidate(
        self, state: StreamState, candidate: EjectionCandidate, now: timedelta
    ) -> list[Any]:
        """Claim the ejection of a candidate."""
        target_id = candidate.target_id
        strikes = state.strikes.get(target_id, Strikes())
        recent = now - strikes.ended < timedelta(seconds=STRIKE_MEMORY_S)
        count = strikes.count + 1 if recent else 1
        reason = f"{candidate.symptom.value} {candidate.route}".strip()
        return self.claim(state, target_id, reason, count)

    def claim(
        self, state: StreamState, target_id: str, reason: str, strikes: int
    ) -> list[Any]:
        """Append a claim, unless this daemon's own fold would refuse it."""
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
            out=tuple(state.fold.out),
            floor=row.floor_weight,
            table_version=self.blackboard.table.version,
            basis_offset=state.fold.next_offset,
            settled_offset=state.settled_offset(now),
        )
        self.not_before[f"claim {target_id}"] = now + timedelta(seconds=CLAIM_RETRY_S)
        if not state.fold.leaves_floor(claim):
            return []
        return self.append(state, claim)

    def put_back(
        self, ejection: Ejection, state: StreamState, reason: str, jitter: bool = True
    ) -> list[Any]:
        """End an ejection; several daemons may do so at once without harm."""
        now = self.clock.monotonic()
        key = f"return {ejection.claim_id}"
        spread = RETURN_JITTER_S if jitter and not self.owns(ejection) else 0.0
        if not self.is_due(key, spread, now):
            return []
        self.not_before[key] = now + timedelta(seconds=RETURN_RETRY_S)
        record = EjectionReturn(
            target_id=ejection.target_id,
            daemon_id=self.blackboard.this_member.daemon_id,
            claim_id=ejection.claim_id,
            reason=reason,
        )
        return self.append(state, record)

    def is_due(self, key: str, spread_s: float, now: timedelta) -> bool:
        """Tell whether an action may be taken, at first after a random wait."""
        due = self.not_before.get(key)
        if due is None:
            self.forget_waits(now)
            due = now + timedelta(seconds=spread_s * self.rng.random())
            self.not_before[key] = due
        return now >= due

    def forget_waits(self, now: timedelta) -> None:
        """Drop waits that ended long ago."""
        oldest = now - timedelta(seconds=2 * LEASE_S)
        for key in [key for key, due in self.not_before.items() if due < oldest]:
            del self.not_before[key]

    def append(
        self, state: StreamState, record: EjectionClaim | EjectionReturn
    ) -> list[Any]:
        """Return the effect that appends a record to the service's stream."""
        append_id = make_id(self.rng)
        return [AppendToLog(ejection_stream(state.service), record, append_id)]


def describe(
    result: FoldResult, message: EjectionClaim | EjectionReturn
) -> RecordEvent:
    """Return the time-line event for what became of a record."""
    by = message.claimant if isinstance(message, EjectionClaim) else message.daemon_id
    fields = {"target": message.target_id, "by": by, "reason": message.reason}
    return RecordEvent(f"ejection-{result.value}", fields)
