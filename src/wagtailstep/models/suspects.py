"""Requests suspected of crashing backend servers, as events and as messages."""

from datetime import timedelta

import attrs
import msgspec

from wagtailstep.utils.codec import message

# Age of an event that has not happened.
NEVER_MS = -1
# Successive crashes after which a request runs exclusively.
CRASHES_BEFORE_EXCLUSIVE = 2


@attrs.frozen
class InterruptedRun:
    """A request that was in progress when its backend server crashed.

    :param fingerprint: hash that is the same for each arrival of the same request.
    :param started_at: monotonic time when it was sent to the server.
    """

    fingerprint: str
    started_at: timedelta


@attrs.frozen
class ServerCrashed:
    """The backend server beside this daemon crashed while requests were in progress.

    :param target_id: the backend server.
    :param runs: the requests that were in progress.
    """

    target_id: str
    runs: tuple[InterruptedRun, ...]

    @property
    def was_exclusive(self) -> bool:
        """Return whether all runs were of the same request."""
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

    :param crashes: number of successive crashes without a response to it; from
        ``CRASHES_BEFORE_EXCLUSIVE`` on it runs exclusively.
    :param blocked_until: monotonic time until which it is refused, or ``None``.
    """

    crashes: int
    blocked_until: timedelta | None = None


class CrashEntry(msgspec.Struct, array_like=True, frozen=True):
    """One crash of a server in a :class:`SuspectEntry`.

    :param crash_id: random identifier; the same for all requests in progress then.
    :param crashed_age_ms: time since the crash.
    :param started_age_ms: time since the request was sent to the server.
    :param exclusive: whether nothing else was in progress at the server.
    """

    crash_id: int
    crashed_age_ms: int
    started_age_ms: int
    exclusive: bool = False


class SuspectEntry(msgspec.Struct, array_like=True, frozen=True):
    """One request in a :class:`SuspectsUpdate`.

    :param fingerprint: as in :class:`InterruptedRun`.
    :param crashes: the crashes at which it was in progress.
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
