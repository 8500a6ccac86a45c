"""Find requests that crash each backend server which runs them, and block them.

All requests in progress at a server fail with it, so one crash says little about each
of them. After two successive crashes without a response to it, a request runs
exclusively. If a server crashes then, no other request can be the cause, and the
request is blocked. Daemons exchange crashes by gossip; merging is a union, so messages
may be lost, late or repeated.
"""

import random
from collections import OrderedDict
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import (
    PeerMessageReceived,
    RecordEvent,
    SendToPeer,
    Tick,
)
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.suspects import (
    CRASHES_BEFORE_EXCLUSIVE,
    NEVER_MS,
    CrashEntry,
    ServerCrashed,
    SuspectAnswered,
    SuspectEntry,
    SuspectState,
    SuspectsUpdate,
)
from wagtailstep.utils.clock import Clock

# Bounds the harm of a wrong block; each expiry may cost three more crashes.
BLOCK_DURATION = timedelta(minutes=10)
# A client that retries a crashing request does so within this time.
SUSPICION_LIFETIME = timedelta(seconds=60)
# Late messages about crashes before a response arrive within this time.
ANSWERED_LIFETIME = timedelta(seconds=5)
# A crash received from a peer appears later than it was by the delay of the message, so
# a run that followed at once may appear to have started before it.
MAX_MESSAGE_DELAY = timedelta(milliseconds=50)
# Unsolicited updates reach daemons that missed the first one or have restarted.
REPEAT_INTERVAL = timedelta(milliseconds=500)
REPEAT_FANOUT = 2
# A crash is sent at once to at most this many daemons; updates reach the others.
PUSH_FANOUT = 32
# Limits on memory and message size, in requests, crashes of one request and entries.
MAX_SUSPECTS = 256
MAX_CRASHES_KEPT = 8
MAX_ENTRIES_PER_MESSAGE = 64
# Random identifiers of this length are unique among the crashes kept at one time.
CRASH_ID_BITS = 48
MILLISECOND = timedelta(milliseconds=1)


@attrs.frozen
class Crash:
    """One crash of a server while a request was in progress there.

    :param crashed_at: monotonic time of the crash.
    :param started_at: monotonic time when the request was sent to the server.
    :param exclusive: whether nothing else was in progress there.
    """

    crashed_at: timedelta
    started_at: timedelta
    exclusive: bool


@attrs.define
class Suspect:
    """A request that was in progress when servers crashed.

    :param crashes: the crashes by identifier.
    :param answered_at: monotonic time of the last complete response to it.
    :param is_blocked: whether it is refused.
    """

    crashes: dict[int, Crash] = attrs.field(factory=dict)
    answered_at: timedelta | None = None
    is_blocked: bool = False

    @property
    def last_event_at(self) -> timedelta:
        """Return the monotonic time of what was last heard of it."""
        times = [crash.crashed_at for crash in self.crashes.values()]
        if self.answered_at is not None:
            times.append(self.answered_at)
        return max(times)

    @property
    def expires_at(self) -> timedelta:
        """Return the monotonic time at which it is forgotten."""
        if self.is_blocked:
            return self.last_event_at + BLOCK_DURATION
        lifetime = SUSPICION_LIFETIME if self.crashes else ANSWERED_LIFETIME
        return self.last_event_at + lifetime

    def add_crash(self, crash_id: int, crash: Crash) -> bool:
        """Add a crash; return whether it was unknown."""
        if crash_id in self.crashes or self.is_answered_since(crash):
            return False
        self.crashes[crash_id] = crash
        if len(self.crashes) > MAX_CRASHES_KEPT:
            oldest = min(self.crashes, key=lambda name: self.crashes[name].crashed_at)
            del self.crashes[oldest]
        return True

    def add_answer(self, answered_at: timedelta) -> bool:
        """Add a complete response; return whether it was unknown."""
        latest = self.answered_at
        if latest is not None and answered_at <= latest + MAX_MESSAGE_DELAY:
            return False
        self.answered_at = answered_at
        for name, crash in list(self.crashes.items()):
            if self.is_answered_since(crash):
                del self.crashes[name]
        return True

    def is_answered_since(self, crash: Crash) -> bool:
        """Return whether a response was completed after a crash."""
        return self.answered_at is not None and crash.crashed_at <= self.answered_at

    def list_successive_crashes(self) -> list[Crash]:
        """Return the successive crashes since the last response.

        Of concurrent runs, at servers that crash together, one is listed: each run must
        have started after the previous crash.
        """
        listed: list[Crash] = []
        last_crash_at = self.answered_at
        for crash in sorted(self.crashes.values(), key=lambda each: each.crashed_at):
            if (
                last_crash_at is None
                or crash.started_at >= last_crash_at - MAX_MESSAGE_DELAY
            ):
                listed.append(crash)
                last_crash_at = crash.crashed_at
        return listed


class CrashSuspects:
    """Writes ``suspects``: the requests in progress at crashes of servers.

    :param blackboard: ``suspects`` is written; source of the members.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.rng = rng
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()
        self.repeat_at = timedelta()

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event that says nothing about suspects."""
        return []

    @handle.register
    def _(self, event: ServerCrashed) -> list[Any]:
        now = self.clock.monotonic()
        crash_id = self.rng.getrandbits(CRASH_ID_BITS)
        fields = {"target": event.target_id, "in_progress": str(len(event.runs))}
        effects: list[Any] = [RecordEvent("server-crashed", fields)]
        # Entries of older releases send no fingerprint.
        runs = [run for run in event.runs if run.fingerprint]
        names = list(dict.fromkeys(run.fingerprint for run in runs))
        for run in runs:
            suspect = self._get_suspect(run.fingerprint)
            crash = Crash(now, run.started_at, event.was_exclusive)
            suspect.add_crash(crash_id, crash)
        return effects + self._report_changes(names) + self._push(names)

    @handle.register
    def _(self, event: SuspectAnswered) -> list[Any]:
        suspect = self.suspects.get(event.fingerprint)
        if suspect is None or not suspect.add_answer(self.clock.monotonic()):
            return []
        names = [event.fingerprint]
        return self._report_changes(names) + self._push(names)

    @handle.register
    def _(self, event: PeerMessageReceived) -> list[Any]:
        if not isinstance(event.message, SuspectsUpdate):
            return []
        changed = [
            entry.fingerprint
            for entry in event.message.entries[:MAX_ENTRIES_PER_MESSAGE]
            if self._merge(entry)
        ]
        return self._report_changes(changed)

    @handle.register
    def _(self, event: Tick) -> list[Any]:
        now = self.clock.monotonic()
        self._expire(now)
        if not self.suspects or now < self.repeat_at:
            return []
        # Reaches daemons that missed the first messages or have restarted.
        self.repeat_at = now + REPEAT_INTERVAL
        names = list(self.blackboard.suspects)[-MAX_ENTRIES_PER_MESSAGE:]
        return self._send(names, self._choose_peers(REPEAT_FANOUT)) if names else []

    def _get_suspect(self, fingerprint: str) -> Suspect:
        suspect = self.suspects.setdefault(fingerprint, Suspect())
        self.suspects.move_to_end(fingerprint)
        while len(self.suspects) > MAX_SUSPECTS:
            unblocked = (name for name, s in self.suspects.items() if not s.is_blocked)
            self._remove(next(unblocked, next(iter(self.suspects))))
        return suspect

    def _remove(self, fingerprint: str) -> None:
        del self.suspects[fingerprint]
        self.blackboard.suspects.pop(fingerprint, None)

    def _expire(self, now: timedelta) -> None:
        for name, suspect in list(self.suspects.items()):
            if now >= suspect.expires_at:
                self._remove(name)

    def _merge(self, entry: SuspectEntry) -> bool:
        """Add what a peer knows of a request; return whether anything changed."""
        now = self.clock.monotonic()
        if entry.fingerprint not in self.suspects and not entry.crashes:
            return False
        suspect = self._get_suspect(entry.fingerprint)
        changed = False
        if entry.answered_age_ms != NEVER_MS:
            changed = suspect.add_answer(now - entry.answered_age_ms * MILLISECOND)
        for each in entry.crashes[:MAX_CRASHES_KEPT]:
            crashed_at = now - each.crashed_age_ms * MILLISECOND
            started_at = now - each.started_age_ms * MILLISECOND
            crash = Crash(crashed_at, started_at, each.exclusive)
            changed = suspect.add_crash(each.crash_id, crash) or changed
        return changed

    def _report_changes(self, fingerprints: list[str]) -> list[Any]:
        """Write the state of some requests, and report those that are now blocked."""
        effects: list[Any] = []
        for name in fingerprints:
            suspect = self.suspects.get(name)
            if suspect is None:
                continue
            crashes = suspect.list_successive_crashes()
            count = len(crashes)
            is_blocked = any(
                each.exclusive for each in crashes[CRASHES_BEFORE_EXCLUSIVE:]
            )
            if is_blocked != suspect.is_blocked:
                suspect.is_blocked = is_blocked
                kind = "request-blocked" if is_blocked else "request-unblocked"
                fields = {"fingerprint": name, "crashes": str(count)}
                effects.append(RecordEvent(kind, fields))
            self.blackboard.suspects.pop(name, None)
            if count:
                blocked_until = suspect.expires_at if is_blocked else None
                self.blackboard.suspects[name] = SuspectState(count, blocked_until)
        return effects

    def _push(self, fingerprints: list[str]) -> list[Any]:
        return self._send(fingerprints, self._choose_peers(PUSH_FANOUT))

    def _choose_peers(self, count: int) -> list[Member]:
        this_id = self.blackboard.this_member.daemon_id
        peers = [
            member
            for member in self.blackboard.members.values()
            if member.daemon_id != this_id
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]
        return self.rng.sample(peers, min(count, len(peers)))

    def _send(self, fingerprints: list[str], peers: list[Member]) -> list[Any]:
        now = self.clock.monotonic()
        entries = tuple(
            build_entry(name, self.suspects[name], now)
            for name in fingerprints
            if name in self.suspects
        )
        update = SuspectsUpdate(entries)
        return [SendToPeer(peer.peer_address, update, urgent=True) for peer in peers]


def build_entry(fingerprint: str, suspect: Suspect, now: timedelta) -> SuspectEntry:
    """Return what is known of a request as it is sent to peers."""
    answered_at = suspect.answered_at
    return SuspectEntry(
        fingerprint,
        tuple(
            CrashEntry(
                crash_id,
                (now - crash.crashed_at) // MILLISECOND,
                (now - crash.started_at) // MILLISECOND,
                crash.exclusive,
            )
            for crash_id, crash in suspect.crashes.items()
        ),
        NEVER_MS if answered_at is None else (now - answered_at) // MILLISECOND,
    )
