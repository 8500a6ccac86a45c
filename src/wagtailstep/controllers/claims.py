"""Claims on plain idempotency keys, ordered by the log.

A daemon that wants to run a keyed request appends a claim and decides when it has read
the stream up to its own record: whoever's claim comes first holds the key. An
acknowledgment spares reading the own record only if all earlier ones were read. No
clock or lease is needed, and a claim that nobody waits for any more is never run but
released.
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
    make_full_error,
    make_gap_error,
    make_log_away_error,
)
from wagtailstep.controllers.claim_fold import ClaimCapacity, ClaimFold, is_claim_of
from wagtailstep.controllers.runs import (
    Run,
    RunState,
    RunStore,
    make_mismatch_error,
    make_unknown_error,
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

MAX_GIVEN_UP = 10_000


@attrs.define
class PendingClaim:
    """A claim of this daemon that has not been read back.

    :param entry: the claim.
    :param fingerprint: digest of the request.
    :param waiting: requests that wait for the decision; the first one runs if the
        claim wins.
    """

    entry: ClaimEntry
    fingerprint: str
    waiting: list[RequestContext]


class ServiceClaims:
    """The claims of one service at one daemon."""

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
        self.releasing: set[int] = set()
        self.given_up: OrderedDict[int, None] = OrderedDict()
        self.serials = itertools.count(1)
        self.next_offset = 0

    def begin(
        self, request: RequestContext, fingerprint: str
    ) -> tuple[Decision, list[Any]]:
        """Decide about a request with a plain key, or claim the key for it.

        :param fingerprint: digest of the request.
        :return: the decision and effects for the runtime.
        """
        key = digest_key(request.account, request.idempotency_key)
        run = self.runs.find(self.name_run(key))
        if run is not None:
            return self.runs.start(run, request.request_id, fingerprint), []
        pending = self.pending.get(key)
        if pending is not None:
            return self.join(pending, request, fingerprint), []
        holder = self.fold.find_holder(key)
        if holder is not None and not self.is_releasing(holder):
            return self.respect(holder, request), []
        if not self.blackboard.log_reachable:
            return self.begin_without_log(key, request, fingerprint)
        if not self.fold.is_complete(self.clock.monotonic()):
            return Refuse(make_full_error(request)), []
        return self.claim(key, request, fingerprint)

    def name_run(self, key: bytes) -> str:
        """Return the name of the run for a claimed key."""
        return f"{self.service}/{key.hex()}"

    def make_claim(self, key: bytes) -> ClaimEntry:
        """Return a new claim on a key."""
        return ClaimEntry(key, next(self.serials))

    def is_releasing(self, holder: ClaimHolder) -> bool:
        """Tell whether a key is held by an own claim whose release is under way."""
        return holder.boot_id == self.boot_id and holder.serial in self.releasing

    def join(
        self, pending: PendingClaim, request: RequestContext, fingerprint: str
    ) -> Decision:
        """Let a resend wait for the decision about the same key."""
        if pending.fingerprint != fingerprint:
            return Refuse(make_mismatch_error())
        pending.waiting.append(request)
        return Wait()

    def respect(self, holder: ClaimHolder, request: RequestContext) -> Decision:
        """Decide about a request whose key is held by a claim that ran elsewhere."""
        if holder.daemon_id == self.blackboard.this_member.daemon_id:
            return Refuse(make_unknown_error("this daemon has forgotten how it ended"))
        if request.relayed:
            return Refuse(make_unknown_error("another daemon holds its key"))
        member = self.blackboard.members.get(holder.daemon_id)
        if member is None or member.state is MemberState.DEAD:
            return Refuse(make_unknown_error("the daemon that holds its key is gone"))
        return RelayToDaemon(holder.daemon_id)

    def begin_without_log(
        self, key: bytes, request: RequestContext, fingerprint: str
    ) -> tuple[Decision, list[Any]]:
        """Refuse a request while the log is away, or run it unclaimed.

        The claim of one that runs is appended when the log is back, so that later
        resends find it.
        """
        row = self.blackboard.table.service_row(self.service)
        if row.log_away is LogUnavailablePolicy.REFUSE:
            return Refuse(make_log_away_error(request)), []
        entry = self.make_claim(key)
        self.appender.add(entry)
        return self.start_run(entry, fingerprint), [FollowStream(self.stream)]

    def claim(
        self, key: bytes, request: RequestContext, fingerprint: str
    ) -> tuple[Decision, list[Any]]:
        """Append a claim; the decision comes when it has been read back."""
        entry = self.make_claim(key)
        self.pending[key] = PendingClaim(entry, fingerprint, [request])
        self.appender.add(entry)
        return Wait(), [FollowStream(self.stream), *self.flush()]

    def start_run(self, entry: ClaimEntry, fingerprint: str) -> RunLocally:
        """Note that this daemon runs the request of a claim now."""
        run_id = self.name_run(entry.key)
        run = Run(run_id, self.service, RunState.RUNNING, fingerprint, claim=entry)
        self.runs.add(run)
        return RunLocally(run_id)

    def finish(self, run: Run) -> list[Any]:
        """Release the claim of a run that ended as not run.

        Nothing runs under the claim afterwards: its run is forgotten here before
        the release can be read by anybody.
        """
        self.runs.forget(run.run_id)
        return self.release(run.claim)

    def release(self, claim: ClaimEntry) -> list[Any]:
        """Append the release of a claim that was not run and never will be."""
        self.give_up(claim)
        self.releasing.add(claim.serial)
        self.appender.add(attrs.evolve(claim, released=True))
        return self.flush()

    def give_up(self, claim: ClaimEntry) -> None:
        """Note that a claim never runs, should its record turn up later.

        The memory is bounded; a claim that is no longer in it keeps its key held,
        which is safe.
        """
        self.given_up[claim.serial] = None
        if len(self.given_up) > MAX_GIVEN_UP:
            self.given_up.popitem(last=False)

    def flush(self) -> list[Any]:
        """Start the append of what waits for it, if none is under way."""
        return list(self.appender.flush(self.clock.monotonic()))

    def abandon(self, request: RequestContext) -> None:
        """Let a request wait no longer; a claim that nobody wants is given up."""
        key = digest_key(request.account, request.idempotency_key)
        pending = self.pending.get(key)
        if pending is None or request not in pending.waiting:
            return
        pending.waiting.remove(request)
        if not pending.waiting:
            del self.pending[key]
            self.appender.withdraw(pending.entry)
            self.give_up(pending.entry)

    def settle_append(self, event: LogAppendFinished) -> list[Any]:
        """Take the end of the append under way."""
        sent = self.appender.under_way
        lost = self.appender.settle(event, self.clock.monotonic())
        decided: list[Any] = []
        if lost and not event.may_have_applied:
            decided = list(self.refuse_pending(lost))
        self.appender.requeue([entry for entry in lost if self.is_wanted(entry)])
        if event.offset == self.next_offset:
            decided = self.take_own_record(sent, event.offset)
        return [*decided, *self.flush()]

    def take_own_record(
        self, entries: tuple[ClaimEntry, ...], offset: int
    ) -> list[Any]:
        """Fold an own record at once, since all records before it have been read."""
        self.next_offset = offset + 1
        return self.read_batch(
            ClaimBatch(self.appender.daemon_id, self.boot_id, entries)
        )

    def is_wanted(self, entry: ClaimEntry) -> bool:
        """Tell whether an entry still has to get into the log."""
        if entry.released:
            return entry.serial in self.releasing
        pending = self.pending.get(entry.key)
        if pending is not None and pending.entry == entry:
            return True
        run = self.runs.find(self.name_run(entry.key))
        return run is not None and run.claim == entry

    def refuse_pending(self, entries: tuple[ClaimEntry, ...]) -> list[RequestDecided]:
        """Refuse the requests whose claims the log did not take."""
        decided = []
        for entry in entries:
            pending = self.pending.get(entry.key)
            if pending is None or pending.entry != entry:
                continue
            del self.pending[entry.key]
            self.give_up(entry)
            decided += refuse_all(pending, make_log_away_error)
        return decided

    def read(self, records: tuple[LogRecord, ...]) -> list[Any]:
        """Take the next records of the stream."""
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
                effects += self.read_batch(batch)
        return effects

    def read_batch(self, batch: ClaimBatch) -> list[Any]:
        """Fold one record and decide what it decides."""
        effects: list[Any] = []
        for entry in batch.entries:
            effects += self.read_entry(batch, entry)
        return effects

    def read_entry(self, batch: ClaimBatch, entry: ClaimEntry) -> list[Any]:
        """Fold one entry and decide what it decides."""
        self.fold.apply(batch, entry, self.clock.monotonic())
        if batch.boot_id != self.boot_id:
            return []
        self.appender.withdraw(entry)
        if entry.released:
            self.releasing.discard(entry.serial)
            return []
        pending = self.pending.get(entry.key)
        if pending is not None and pending.entry == entry:
            del self.pending[entry.key]
            return self.decide(pending)
        return self.check_unexpected(entry)

    def check_unexpected(self, entry: ClaimEntry) -> list[Any]:
        """Look at an own claim that was read while no request waits for it.

        One that holds its key and was given up is released.
        """
        holder = self.fold.find_holder(entry.key)
        won = holder is not None and is_claim_of(holder, self.boot_id, entry)
        if won and entry.serial in self.given_up:
            return self.release(entry)
        run = self.runs.find(self.name_run(entry.key))
        if not won and run is not None and run.claim == entry:
            fields = {"service": self.service, "key": entry.key.hex()}
            return [RecordEvent("unclaimed-run-conflict", fields)]
        return []

    def decide(self, pending: PendingClaim) -> list[Any]:
        """Decide about the requests that wait for a claim just read back."""
        holder = self.fold.find_holder(pending.entry.key)
        if holder is None or not self.fold.is_complete(self.clock.monotonic()):
            self.give_up(pending.entry)
            return refuse_all(pending, make_full_error)
        if is_claim_of(holder, self.boot_id, pending.entry):
            return self.win(pending)
        self.give_up(pending.entry)
        if self.is_releasing(holder):
            return self.claim_again(pending)
        return [
            RequestDecided(request.request_id, self.respect(holder, request))
            for request in pending.waiting
        ]

    def win(self, pending: PendingClaim) -> list[Any]:
        """Run the first request that waits for a claim; the others wait for it."""
        first, *others = pending.waiting
        decision = self.start_run(pending.entry, pending.fingerprint)
        run = self.runs.find(decision.run_id)
        run.waiting = [request.request_id for request in others]
        return [RequestDecided(first.request_id, decision)]

    def claim_again(self, pending: PendingClaim) -> list[Any]:
        """Claim a key whose holder is an own claim that is being released."""
        entry = self.make_claim(pending.entry.key)
        self.pending[entry.key] = attrs.evolve(pending, entry=entry)
        self.appender.add(entry)
        return self.flush()

    def skip_gap(self, oldest_offset: int) -> list[Any]:
        """Forget what the log has forgotten; undecided claims are never run."""
        self.fold.clear()
        self.next_offset = oldest_offset
        lost, self.pending = self.pending, {}
        decided = []
        for pending in lost.values():
            self.give_up(pending.entry)
            decided += refuse_all(pending, make_gap_error)
        return decided


def refuse_all(
    pending: PendingClaim, make_error: Callable[[RequestContext], RequestError]
) -> list[RequestDecided]:
    """Refuse all requests that wait for a claim, each with its own error."""
    return [
        RequestDecided(request.request_id, Refuse(make_error(request)))
        for request in pending.waiting
    ]
