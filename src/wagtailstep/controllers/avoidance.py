"""State of a target at one daemon: in use, avoided, probed or ramping up."""

import enum
from datetime import timedelta

import attrs

BASE_AVOIDANCE_S = 5.0
MAX_BACKOFF_S = 300.0
# An avoidance or ejection counts as consecutive if it starts within this time of the
# end of the previous one.
REPEAT_WINDOW_S = 600.0
PROBE_TIMEOUT_MS = 500
PROBE_INTERVAL_S = 0.5
# Consecutive successful probes after which a target returns.
MIN_GOOD_PROBES = 3
RAMP_DURATION_S = 10.0
INITIAL_RAMP_FRACTION = 0.1


class Phase(enum.Enum):
    """Phase of a target between being avoided and being used at full weight.

    A target ramps up after an avoidance or ejection and warms up after a restart. Slow
    outcomes are excused only while it warms up.
    """

    GOOD = "good"
    AVOIDED = "away"
    PROBING = "probing"
    RAMPING = "ramping"
    WARMING = "warming"


def compute_backoff(consecutive: int, base_s: float = BASE_AVOIDANCE_S) -> timedelta:
    """Return the duration of an avoidance or ejection; it doubles with each repetition.

    :param consecutive: number of consecutive ones, including this one.
    :param base_s: duration of the first one in seconds.
    """
    doublings = min(max(consecutive, 1) - 1, 20)
    return timedelta(seconds=min(MAX_BACKOFF_S, base_s * 2**doublings))


@attrs.define
class AvoidanceState:
    """How this daemon uses one target.

    :param phase: current phase.
    :param avoided_until: monotonic time when the avoidance ends and probing starts.
    :param consecutive_avoidances: number of consecutive avoidances.
    :param last_avoided_at: monotonic time when the latest avoidance started.
    :param good_probes: consecutive successful probes.
    :param next_probe_at: monotonic time of the next probe.
    :param ramp_started_at: monotonic time when the ramp started.
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
        """Return whether the target must be avoided."""
        return self.phase in (Phase.AVOIDED, Phase.PROBING)

    def start_avoidance(self, now: timedelta) -> None:
        """Avoid the target, for longer if the previous avoidance was recent."""
        since_last = now - max(self.last_avoided_at, self.avoided_until)
        if since_last > timedelta(seconds=REPEAT_WINDOW_S):
            self.consecutive_avoidances = 0
        self.consecutive_avoidances += 1
        self.last_avoided_at = now
        self.avoided_until = now + compute_backoff(self.consecutive_avoidances)
        self.phase = Phase.AVOIDED
        self.good_probes = 0

    def start_ramp(self, now: timedelta, phase: Phase = Phase.RAMPING) -> None:
        """Start to use the target, with an increasing fraction of its weight.

        :param phase: ``RAMPING`` or ``WARMING``.
        """
        self.phase = phase
        self.ramp_started_at = now

    def try_start_probe(self, now: timedelta) -> bool:
        """Advance the phase and return whether to send a probe now."""
        if self.phase is Phase.AVOIDED and now >= self.avoided_until:
            self.phase = Phase.PROBING
            self.good_probes = 0
            self.next_probe_at = now
        if self.phase is not Phase.PROBING or now < self.next_probe_at:
            return False
        self.next_probe_at = now + timedelta(seconds=PROBE_INTERVAL_S)
        return True

    def record_probe(self, succeeded: bool, now: timedelta) -> bool:
        """Record the result of a probe; enough consecutive successes start the ramp.

        :return: whether this probe started the ramp.
        """
        if self.phase is not Phase.PROBING:
            return False
        self.good_probes = self.good_probes + 1 if succeeded else 0
        if self.good_probes < MIN_GOOD_PROBES:
            return False
        self.start_ramp(now)
        return True

    def advance_ramp(self, now: timedelta) -> float:
        """Return the fraction of the weight in use; end the ramp when it reaches 1."""
        if self.phase not in (Phase.RAMPING, Phase.WARMING):
            return 1.0
        fraction = (now - self.ramp_started_at).total_seconds() / RAMP_DURATION_S
        if fraction >= 1.0:
            self.phase = Phase.GOOD
            return 1.0
        return max(INITIAL_RAMP_FRACTION, fraction)
