"""Standing of a target at one daemon: good, avoided, on probation, ramping up."""

import enum
from datetime import timedelta

import attrs

BASE_AVOIDANCE_S = 5.0
MAX_BACKOFF_S = 300.0
REPEAT_WINDOW_S = 600.0
PROBE_TIMEOUT_MS = 500
PROBE_INTERVAL_S = 0.5
MIN_GOOD_PROBES = 3
RAMP_DURATION_S = 10.0
INITIAL_RAMP_FRACTION = 0.1


class Phase(enum.Enum):
    """Where a target is between being avoided and being used in full.

    A target ramps after a time out, and warms up after its start: only the latter
    excuses that it is slow.
    """

    GOOD = "good"
    AVOIDED = "away"
    PROBING = "probing"
    RAMPING = "ramping"
    WARMING = "warming"


def compute_backoff(consecutive: int, base_s: float = BASE_AVOIDANCE_S) -> timedelta:
    """Return the time out of a target, which doubles with each strike.

    :param consecutive: times in a row that it was found sick, this one included.
    """
    doublings = min(max(consecutive, 1) - 1, 20)
    return timedelta(seconds=min(MAX_BACKOFF_S, base_s * 2**doublings))


@attrs.define
class AvoidanceState:
    """How one target is used by this daemon.

    :param phase: where it is.
    :param avoided_until: monotonic time when the time out ends.
    :param consecutive_avoidances: times in a row that it was found sick.
    :param last_avoided_at: monotonic time of the latest one.
    :param good_probes: probes in a row that succeeded.
    :param next_probe_at: monotonic time of the next probe.
    :param ramp_started_at: monotonic time when the slow start began.
    """

    phase: Phase = Phase.GOOD
    avoided_until: timedelta = timedelta()
    consecutive_avoidances: int = 0
    last_avoided_at: timedelta = timedelta()
    good_probes: int = 0
    next_probe_at: timedelta = timedelta()
    ramp_started_at: timedelta = timedelta()

    @property
    def avoided(self) -> bool:
        """Tell whether the target is to be avoided."""
        return self.phase in (Phase.AVOIDED, Phase.PROBING)

    def start_avoidance(self, now: timedelta) -> None:
        """Start a time out, a longer one if the last one was not long ago."""
        since_last = now - max(self.last_avoided_at, self.avoided_until)
        if since_last > timedelta(seconds=REPEAT_WINDOW_S):
            self.consecutive_avoidances = 0
        self.consecutive_avoidances += 1
        self.last_avoided_at = now
        self.avoided_until = now + compute_backoff(self.consecutive_avoidances)
        self.phase = Phase.AVOIDED
        self.good_probes = 0

    def start_ramp(self, now: timedelta, phase: Phase = Phase.RAMPING) -> None:
        """Start to use the target, little at first.

        :param phase: whether it ramps or warms up.
        """
        self.phase = phase
        self.ramp_started_at = now

    def try_start_probe(self, now: timedelta) -> bool:
        """Advance the phase, and tell whether a probe is to be sent now."""
        if self.phase is Phase.AVOIDED and now >= self.avoided_until:
            self.phase = Phase.PROBING
            self.good_probes = 0
            self.next_probe_at = now
        if self.phase is not Phase.PROBING or now < self.next_probe_at:
            return False
        self.next_probe_at = now + timedelta(seconds=PROBE_INTERVAL_S)
        return True

    def record_probe(self, succeeded: bool, now: timedelta) -> bool:
        """Take the result of a probe; enough good ones start the ramp.

        :return: whether the ramp started with this one.
        """
        if self.phase is not Phase.PROBING:
            return False
        self.good_probes = self.good_probes + 1 if succeeded else 0
        if self.good_probes < MIN_GOOD_PROBES:
            return False
        self.start_ramp(now)
        return True

    def advance_ramp(self, now: timedelta) -> float:
        """Return the share of the weight in use; ends the ramp when it is whole."""
        if self.phase not in (Phase.RAMPING, Phase.WARMING):
            return 1.0
        fraction = (now - self.ramp_started_at).total_seconds() / RAMP_DURATION_S
        if fraction >= 1.0:
            self.phase = Phase.GOOD
            return 1.0
        return max(INITIAL_RAMP_FRACTION, fraction)
