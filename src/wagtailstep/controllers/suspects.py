"""Find requests that end each backend server which runs them, and block them.

Everything that was in progress at a server ends with it, so one end says little about
a request. After two ends in turn without a response to it a request runs alone, which
tells it from what happened to run beside another: it is blocked if a further server
ends then. Daemons exchange the ends by gossip; merging is a
union, so messages may be lost, late or repeated.
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
    CRASHES_TO_ISOLATE,
    NEVER_MS,
    CrashEntry,
    ServerCrashed,
    SuspectAnswered,
    SuspectEntry,
    SuspectState,
    SuspectsUpdate,
)
from wagtailstep.utils.clock import Clock

BLOCK_DURATION = timedelta(minutes=10)
# A request that ends servers returns within seconds; an innocent one is forgotten.
SUSPICION_LIFETIME = timedelta(seconds=60)
# Outlives messages about ends before the response.
ANSWERED_LIFETIME = timedelta(seconds=5)
# Messages make an end look later than it was, so a run that followed it at once may
# seem to have started slightly before.
MAX_MESSAGE_DELAY = timedelta(milliseconds=50)
REPEAT_INTERVAL = timedelta(milliseconds=500)
REPEAT_FANOUT = 2
PUSH_FANOUT = 32
MAX_SUSPECTS = 256
MAX_CRASHES_KEPT = 8
MAX_ENTRIES_PER_MESSAGE = 64
CRASH_ID_BITS = 48
MILLISECOND = timedelta(milliseconds=1)


@attrs.frozen
class Crash:
    """One end of a server while a request was in progress there.

    :param ended_at: monotonic time of the end.
    :param started_at: monotonic time when the request was sent to the server.
    :param alone: whether nothing else was in progress there.
    """

    ended_at: timedelta
    started_at: timedelta
    alone: bool


@attrs.define
class Suspect:
    """A request that was in progress when servers ended.

    :param crashes: the ends by identifier.
    :param answered_at: monotonic time of the last complete response to it.
    :param is_blocked: whether it is refused.
    """

    crashes: dict[int, Crash] = attrs.field(factory=dict)
    answered_at: timedelta | None = None
    is_blocked: bool = False

    @property
    def last_event_at(self) -> timedelta:
        """Return the monotonic time of what was last heard of it."""
        ended = [crash.ended_at for crash in self.crashes.values()]
        if self.answered_at is not None:
            ended.append(self.answered_at)
        return max(ended)

    @property
    def expires_at(self) -> timedelta:
        """Return the monotonic time at which it is forgotten."""
        if self.is_blocked:
            return self.last_event_at + BLOCK_DURATION
        lifetime = SUSPICION_LIFETIME if self.crashes else ANSWERED_LIFETIME
        return self.last_event_at + lifetime

    def add_crash(self, crash_id: int, crash: Crash) -> bool:
        """Add the end of a server; return whether it is news."""
        if crash_id in self.crashes or self.is_answered_since(crash):
            return False
        self.crashes[crash_id] = crash
        if len(self.crashes) > MAX_CRASHES_KEPT:
            oldest = min(self.crashes, key=lambda name: self.crashes[name].ended_at)
            del self.crashes[oldest]
        return True

    def add_answer(self, answered_at: timedelta) -> bool:
        """Add a complete response; return whether it is news."""
        latest = self.answered_at
        if latest is not None and answered_at <= latest + MAX_MESSAGE_DELAY:
            return False
        self.answered_at = answered_at
        for name, crash in list(self.crashes.items()):
            if self.is_answered_since(crash):
                del self.crashes[name]
        return True

    def is_answered_since(self, crash: Crash) -> bool:
        """Return whether a response was complete after an end."""
        return self.answered_at is not None and crash.ended_at <= self.answered_at

    def list_successive_crashes(self) -> list[Crash]:
        """Return the ends one after the other since the last response.

        Of runs side by side, at servers that end together, one is listed: each later
        run must have started after the end before it.
        """
        listed: list[Crash] = []
        last_end = self.answered_at
        for crash in sorted(self.crashes.values(), key=lambda each: each.ended_at):
            if last_end is None or crash.started_at >= last_end - MAX_MESSAGE_DELAY:
                listed.append(crash)
                last_end = crash.ended_at
        return listed


class CrashSuspects:
    """Writes ``suspects``: the requests that servers ended under.

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
        names = list(dict.fromkeys(run.fingerprint for run in event.runs))
        for run in event.runs:
            suspect = self._get_suspect(run.fingerprint)
            crash = Crash(now, run.started_at, event.is_single)
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
        """Add what a peer knows of a request; return whether it was news."""
        now = self.clock.monotonic()
        if entry.fingerprint not in self.suspects and not entry.crashes:
            return False
        suspect = self._get_suspect(entry.fingerprint)
        is_news = False
        if entry.answered_age_ms != NEVER_MS:
            is_news = suspect.add_answer(now - entry.answered_age_ms * MILLISECOND)
        for each in entry.crashes[:MAX_CRASHES_KEPT]:
            ended_at = now - each.ended_age_ms * MILLISECOND
            started_at = now - each.started_age_ms * MILLISECOND
            crash = Crash(ended_at, started_at, each.alone)
            is_news = suspect.add_crash(each.crash_id, crash) or is_news
        return is_news

    def _report_changes(self, fingerprints: list[str]) -> list[Any]:
        """Write the state of some requests, and report those that are now blocked."""
        effects: list[Any] = []
        for name in fingerprints:
            suspect = self.suspects.get(name)
            if suspect is None:
                continue
            crashes = suspect.list_successive_crashes()
            count = len(crashes)
            is_blocked = any(each.alone for each in crashes[CRASHES_TO_ISOLATE:])
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
                (now - crash.ended_at) // MILLISECOND,
                (now - crash.started_at) // MILLISECOND,
                crash.alone,
            )
            for crash_id, crash in suspect.crashes.items()
        ),
        NEVER_MS if answered_at is None else (now - answered_at) // MILLISECOND,
    )
