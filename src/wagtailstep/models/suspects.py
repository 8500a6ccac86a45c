"""Requests under which backend servers ended, as events and as messages."""

from datetime import timedelta

import attrs
import msgspec

from wagtailstep.utils.codec import message

NEVER_MS = -1
CRASHES_TO_ISOLATE = 2


@attrs.frozen
class InterruptedRun:
    """A request that was in progress when its backend server ended.

    :param fingerprint: hash that is the same for each arrival of the same request.
    :param started_at: monotonic time when it was sent to the server.
    """

    fingerprint: str
    started_at: timedelta


@attrs.frozen
class ServerCrashed:
    """The backend server beside this daemon ended while requests were in progress.

    :param target_id: the backend server.
    :param runs: the requests that were in progress.
    """

    target_id: str
    runs: tuple[InterruptedRun, ...]

    @property
    def is_single(self) -> bool:
        """Return whether one request alone was in progress, if repeatedly."""
        return len({run.fingerprint for run in self.runs}) == 1


@attrs.frozen
class SuspectAnswered:
    """A backend server ran a suspected request and completed its response.

    :param fingerprint: as in :class:`InterruptedRun`.
    """

    fingerprint: str


@attrs.frozen
class SuspectState:
    """What the fleet knows of a suspected request.

    :param crashes: servers that ended under it one after the other, with no response
        to it since then; from ``CRASHES_TO_ISOLATE`` on it runs alone.
    :param blocked_until: monotonic time until which it is refused, or ``None``.
    """

    crashes: int
    blocked_until: timedelta | None = None


class CrashEntry(msgspec.Struct, array_like=True, frozen=True):
    """One end of a server in a :class:`SuspectEntry`.

    :param crash_id: random identifier; the same for all requests in progress then.
    :param ended_age_ms: time since the end.
    :param started_age_ms: time since the request was sent to the server.
    :param alone: whether nothing else was in progress at the server.
    """

    crash_id: int
    ended_age_ms: int
    started_age_ms: int
    alone: bool = False


class SuspectEntry(msgspec.Struct, array_like=True, frozen=True):
    """One request in a :class:`SuspectsUpdate`.

    :param fingerprint: as in :class:`InterruptedRun`.
    :param crashes: the ends of servers under it.
    :param answered_age_ms: time since the last complete response; ``NEVER_MS`` if none
        is known.
    """

    fingerprint: str
    crashes: tuple[CrashEntry, ...]
    answered_age_ms: int = NEVER_MS


@message
class SuspectsUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of some suspected requests."""

    entries: tuple[SuspectEntry, ...]
