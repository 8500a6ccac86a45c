"""Claims on plain idempotency keys, ordered by the log.

A daemon that is to execute a keyed request appends a claim and decides when it has
read the stream up to its own record: the first claim in the log holds the key. The
acknowledgment of an append can replace reading the record only if all earlier records
have been read. No clock or lease is needed. A claim for which no request waits any
more is never executed; it is released.
"""

import itertools
import random
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.claim_appends import ClaimAppender
from wagtailstep.controllers.claim_errors import (
    build_claim_capacity_error,
    build_log_gap_error,
    build_log_unavailable_error,
)
from wagtailstep.controllers.claim_fold import ClaimCapacity, ClaimFold, matches_claim
from wagtailstep.controllers.runs import (
    Run,
    RunState,
    RunStore,
    build_key_mismatch_error,
    build_unknown_outcome_error,
)
from wagtailstep.exceptions import DecodeError, RequestError
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.claims import (
    ClaimBatch,
    ClaimEntry,
    ClaimHolder,
    claim_stream,
    digest_key,
)
from wagtailstep.models.events import FollowStream, LogAppendFinished, RecordEvent
from wagtailstep.models.fleet import MemberState
from wagtailstep.models.idempotency import (
    Decision,
    Refuse,
    RelayToDaemon,
    RequestDecided,
    RunLocally,
    Wait,
)
from wagtailstep.models.log import LogRecord
from wagtailstep.models.request import RequestContext
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.table import LogUnavailablePolicy
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.codec import decode_message

MAX_CANCELLED_CLAIMS = 10_000


@attrs.define
class PendingClaim:
    """A claim of this daemon whose record has not been read from the log.

    :param entry: the claim.
    :param fingerprint: digest of the request.
    :param waiting: requests that wait for the decision; the first one is executed if
        the claim gets the key.
    """

    entry: ClaimEntry
    fingerprint: str
    waiting: list[RequestContext]


class ServiceClaims:
    """Decides at one daemon about the plain keys of one service."""

    def __init__(
        self,
        service: str,
        boot_id: str,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        runs: RunStore,
        capacity: ClaimCapacity,
    ) -> None:
        self.service = service
        self.boot_id = boot_id
        self.blackboard = blackboard
        self.clock = clock
        self.runs = runs
        self.stream = claim_stream(service)
        retention = timedelta(seconds=settings.log.retention_s)
        self.fold = ClaimFold(capacity, retention)
        self.appender = ClaimAppender(self.stream, settings.daemon_id, boot_id, rng)
        self.pending: dict[bytes, PendingClaim] = {}
        self.releasing_serials: set[int] = set()
        self.cancelled_serials: OrderedDict[int, None] = OrderedDict()
        self.serials = itertools.count(1)
        self.next_offset = 0

    def decide_request(
        self, request: RequestContext, fingerprint: str
    ) -> tuple[Decision, list[Any]]:
        """Decide about a request with a plain key, or append a claim on the key.

        :param fingerprint: digest of the request.
        :return: the decision and effects for the runtime.
        """
        key = digest_key(request.account, request.idempotency_key)
        run = self.runs.find(self.build_run_id(key))
        if run is not None:
            return self.runs.start(run, request.request_id, fingerprint), []
        pending = self.pending.get(key)
        if pending is not None:
            return self.join_pending(pending, request, fingerprint), []
        holder = self.fold.find_holder(key)
        if holder is not None and not self.is_being_released(holder):
            return self.decide_held_key(holder, request), []
        if not self.blackboard.log_reachable:
            return self.decide_without_log(key, request, fingerprint)
        if not self.fold.is_complete(self.clock.monotonic()):
            return Refuse(build_claim_capacity_error(request)), []
        return self.append_claim(key, request, fingerprint)

    def build_run_id(self, key: bytes) -> str:
        """Return the identifier of the run for a claimed key."""
        return f"{self.service}/{key.hex()}"

    def create_claim(self, key: bytes) -> ClaimEntry:
        """Return a new claim on a key."""
        return ClaimEntry(key, next(self.serials))

    def is_being_released(self, holder: ClaimHolder) -> bool:
        """Return whether the holder is a local claim whose release is pending."""
        return (
            holder.boot_id == self.boot_id and holder.serial in self.releasing_serials
        )

    def join_pending(
        self, pending: PendingClaim, request: RequestContext, fingerprint: str
    ) -> Decision:
        """Let a repeated request wait for the decision about the same key."""
        if pending.fingerprint != fingerprint:
            return Refuse(build_key_mismatch_error())
        pending.waiting.append(request)
        return Wait()

    def decide_held_key(self, holder: ClaimHolder, request: RequestContext) -> Decision:
        """Decide about a request whose key is held by a claim without a local run."""
        if holder.daemon_id == self.blackboard.this_member.daemon_id:
            return Refuse(
                build_unknown_outcome_error("this daemon no longer knows how it ended")
            )
        if request.relayed:
            return Refuse(build_unknown_outcome_error("another daemon holds its key"))
        member = self.blackboard.members.get(holder.daemon_id)
        if member is None or member.state is MemberState.DEAD:
            return Refuse(
                build_unknown_outcome_error("the daemon that holds its key is gone")
            )
        return RelayToDaemon(holder.daemon_id)

    def decide_without_log(
        self, key: bytes, request: RequestContext, fingerprint: str
    ) -> tuple[Decision, list[Any]]:
        """Refuse a request while the log is unavailable, or execute it unclaimed.

        The claim of an executed request is appended when the log is available again,
        so that later repetitions of the request find it.
        """
        row = self.blackboard.table.service_row(self.service)
        if row.log_away is LogUnavailablePolicy.REFUSE:
            return Refuse(build_log_unavailable_error(request)), []
        entry = self.create_claim(key)
        self.appender.add(entry)
        return self.start_run(entry, fingerprint), [FollowStream(self.stream)]

    def append_claim(
        self, key: bytes, request: RequestContext, fingerprint: str
    ) -> tuple[Decision, list[Any]]:
        """Append a claim; the decision is made when its record has been read."""
        entry = self.create_claim(key)
        self.pending[key] = PendingClaim(entry, fingerprint, [request])
        self.appender.add(entry)
        return Wait(), [FollowStream(self.stream), *self.flush()]

    def start_run(self, entry: ClaimEntry, fingerprint: str) -> RunLocally:
        """Record that this daemon now executes the request of a claim."""
        run_id = self.build_run_id(entry.key)
        run = Run(run_id, self.service, RunState.RUNNING, fingerprint, claim=entry)
        self.runs.add(run)
        return RunLocally(run_id)

    def release_run(self, run: Run) -> list[Any]:
        """Release the claim of a run whose request was not executed.

        Nothing is executed under the claim afterwards, since its run is removed here
        before any daemon can read the release.
        """
        self.runs.remove(run.run_id)
        return self.release_claim(run.claim)

    def release_claim(self, claim: ClaimEntry) -> list[Any]:
        """Append the release of a claim that was not and will not be executed."""
        self.cancel_claim(claim)
        self.releasing_serials.add(claim.serial)
        self.appender.add(attrs.evolve(claim, released=True))
        return self.flush()

    def cancel_claim(self, claim: ClaimEntry) -> None:
        """Record that a claim must not be executed if its record is read later.

        At most ``MAX_CANCELLED_CLAIMS`` are kept. A claim dropped from them is not
        released and continues to hold its key, which is safe.
        """
        self.cancelled_serials[claim.serial] = None
        if len(self.cancelled_serials) > MAX_CANCELLED_CLAIMS:
            self.cancelled_serials.popitem(last=False)

    def flush(self) -> list[Any]:
        """Start an append of the queued entries, if none is in flight."""
        return list(self.appender.flush(self.clock.monotonic()))

    def cancel_wait(self, request: RequestContext) -> None:
        """Stop waiting for a request; cancel its claim if no other request waits."""
        key = digest_key(request.account, request.idempotency_key)
        pending = self.pending.get(key)
        if pending is None or request not in pending.waiting:
            return
        pending.waiting.remove(request)
        if not pending.waiting:
            del self.pending[key]
            self.appender.remove_queued(pending.entry)
            self.cancel_claim(pending.entry)

    def complete_append(self, event: LogAppendFinished) -> list[Any]:
        """Handle the end of the append in flight."""
        sent = self.appender.in_flight_entries
        unacknowledged = self.appender.complete_append(event, self.clock.monotonic())
        decided: list[Any] = []
        if unacknowledged and not event.may_have_applied:
            decided = list(self.refuse_pending(unacknowledged))
        self.appender.requeue(
            [entry for entry in unacknowledged if self.must_be_appended(entry)]
        )
        if event.offset == self.next_offset:
            decided = self.apply_local_batch(sent, event.offset)
        return [*decided, *self.flush()]

    def apply_local_batch(
        self, entries: tuple[ClaimEntry, ...], offset: int
    ) -> list[Any]:
        """Apply a local record at once, since all earlier records have been read."""
        self.next_offset = offset + 1
        return self.apply_batch(
            ClaimBatch(self.appender.daemon_id, self.boot_id, entries)
        )

    def must_be_appended(self, entry: ClaimEntry) -> bool:
        """Return whether an entry still has to be appended to the log."""
        if entry.released:
            return entry.serial in self.releasing_serials
        pending = self.pending.get(entry.key)
        if pending is not None and pending.entry == entry:
            return True
        run = self.runs.find(self.build_run_id(entry.key))
        return run is not None and run.claim == entry

    def refuse_pending(self, entries: tuple[ClaimEntry, ...]) -> list[RequestDecided]:
        """Refuse the requests whose claims were not appended to the log."""
        decided = []
        for entry in entries:
            pending = self.pending.get(entry.key)
            if pending is None or pending.entry != entry:
                continue
            del self.pending[entry.key]
            self.cancel_claim(entry)
            decided += refuse_all(pending, build_log_unavailable_error)
        return decided

    def apply_records(self, records: tuple[LogRecord, ...]) -> list[Any]:
        """Apply the next records of the stream."""
        effects: list[Any] = []
        for record in records:
            if record.offset < self.next_offset:
                continue
            self.next_offset = record.offset + 1
            try:
                batch = decode_message(record.data)
            except DecodeError:
                continue
            if isinstance(batch, ClaimBatch):
                effects += self.apply_batch(batch)
        return effects

    def apply_batch(self, batch: ClaimBatch) -> list[Any]:
        """Apply one record and decide the requests that it settles."""
        effects: list[Any] = []
        for entry in batch.entries:
            effects += self.apply_entry(batch, entry)
        return effects

    def apply_entry(self, batch: ClaimBatch, entry: ClaimEntry) -> list[Any]:
        """Apply one entry and decide the requests that it settles."""
        self.fold.apply(batch, entry, self.clock.monotonic())
        if batch.boot_id != self.boot_id:
            return []
        self.appender.remove_queued(entry)
        if entry.released:
            self.releasing_serials.discard(entry.serial)
            return []
        pending = self.pending.get(entry.key)
        if pending is not None and pending.entry == entry:
            del self.pending[entry.key]
            return self.decide_pending(pending)
        return self.handle_unexpected_claim(entry)

    def handle_unexpected_claim(self, entry: ClaimEntry) -> list[Any]:
        """Handle a local claim that was read while no request waits for it.

        A cancelled claim that holds its key is released. An event is recorded if a
        request was executed here under a claim that does not hold its key.
        """
        holder = self.fold.find_holder(entry.key)
        won = holder is not None and matches_claim(holder, self.boot_id, entry)
        if won and entry.serial in self.cancelled_serials:
            return self.release_claim(entry)
        run = self.runs.find(self.build_run_id(entry.key))
        if not won and run is not None and run.claim == entry:
            fields = {"service": self.service, "key": entry.key.hex()}
            return [RecordEvent("unclaimed-run-conflict", fields)]
        return []

    def decide_pending(self, pending: PendingClaim) -> list[Any]:
        """Decide about the requests that wait for a claim that was just read."""
        holder = self.fold.find_holder(pending.entry.key)
        if holder is None or not self.fold.is_complete(self.clock.monotonic()):
            self.cancel_claim(pending.entry)
            return refuse_all(pending, build_claim_capacity_error)
        if matches_claim(holder, self.boot_id, pending.entry):
            return self.run_first_waiting(pending)
        self.cancel_claim(pending.entry)
        if self.is_being_released(holder):
            return self.replace_claim(pending)
        return [
            RequestDecided(request.request_id, self.decide_held_key(holder, request))
            for request in pending.waiting
        ]

    def run_first_waiting(self, pending: PendingClaim) -> list[Any]:
        """Execute the first request that waits for a claim; others await its end."""
        first, *others = pending.waiting
        decision = self.start_run(pending.entry, pending.fingerprint)
        run = self.runs.find(decision.run_id)
        run.waiting = [request.request_id for request in others]
        return [RequestDecided(first.request_id, decision)]

    def replace_claim(self, pending: PendingClaim) -> list[Any]:
        """Append another claim on a key whose local holder is being released."""
        entry = self.create_claim(pending.entry.key)
        self.pending[entry.key] = attrs.evolve(pending, entry=entry)
        self.appender.add(entry)
        return self.flush()

    def skip_gap(self, oldest_offset: int) -> list[Any]:
        """Discard the state of expired records; undecided claims are never executed."""
        self.fold.clear()
        self.next_offset = oldest_offset
        undecided, self.pending = self.pending, {}
        decided = []
        for pending in undecided.values():
            self.cancel_claim(pending.entry)
            decided += refuse_all(pending, build_log_gap_error)
        return decided


def refuse_all(
    pending: PendingClaim, build_error: Callable[[RequestContext], RequestError]
) -> list[RequestDecided]:
    """Refuse all requests that wait for a claim, each with its own error."""
    return [
        RequestDecided(request.request_id, Refuse(build_error(request)))
        for request in pending.waiting
    ]
