"""Standing of a target at one daemon: good, avoided, on probation, ramping up."""

import enum
from datetime import timedelta

import attrs

BASE_AWAY_S = 5.0
MAX_AWAY_S = 300.0
STRIKE_MEMORY_S = 600.0
PROBE_TIMEOUT_MS = 500
PROBE_INTERVAL_S = 0.5
GOOD_PROBES = 3
RAMP_S = 10.0
RAMP_START = 0.1


class Phase(enum.Enum):
    """Where a target is between being avoided and being used in full.

    A target ramps after a time out, and warms up after its start: only the latter
    excuses that it is slow.
    """

    GOOD = "good"
    AWAY = "away"
    PROBING = "probing"
    RAMPING = "ramping"
    WARMING = "warming"


def away_time(strikes: int, base_s: float = BASE_AWAY_S) -> timedelta:
    """Return the time out of a target, which doubles with each strike.

    :param strikes: times in a row that it was found sick, this one included.
    """
    doublings = min(max(strikes, 1) - 1, 20)
    return timedelta(seconds=min(MAX_AWAY_S, base_s * 2**doublings))


@attrs.define
class Standing:
    """How one target is used by this daemon.

    :param phase: where it is.
    :param until: monotonic time when the time out ends.
    :param strikes: times in a row that it was found sick.
    :param last_strike: monotonic time of the latest one.
    :param good_probes: probes in a row that succeeded.
    :param next_probe: monotonic time of the next probe.
    :param ramp_start: monotonic time when the slow start began.
    """

    phase: Phase = Phase.GOOD
    until: timedelta = timedelta()
    strikes: int = 0
    last_strike: timedelta = timedelta()
    good_probes: int = 0
    next_probe: timedelta = timedelta()
    ramp_start: timedelta = timedelta()

    @property
    def avoided(self) -> bool:
        """Tell whether the target is to be avoided."""
        return self.phase in (Phase.AWAY, Phase.PROBING)

    def strike(self, now: timedelta) -> None:
        """Start a time out, a longer one if the last one was not long ago."""
        quiet = now - max(self.last_strike, self.until)
        if quiet > timedelta(seconds=STRIKE_MEMORY_S):
            self.strikes = 0
        self.strikes += 1
        self.last_strike = now
        self.until = now + away_time(self.strikes)
        self.phase = Phase.AWAY
        self.good_probes = 0

    def start_ramp(self, now: timedelta, phase: Phase = Phase.RAMPING) -> None:
        """Start to use the target, little at first.

        :param phase: whether it ramps or warms up.
        """
        self.phase = phase
        self.ramp_start = now

    def probe_due(self, now: timedelta) -> bool:
        """Advance the phase, and tell whether a probe is to be sent now."""
        if self.phase is Phase.AWAY and now >= self.until:
            self.phase = Phase.PROBING
            self.good_probes = 0
            self.next_probe = now
        if self.phase is not Phase.PROBING or now < self.next_probe:
            return False
        self.next_probe = now + timedelta(seconds=PROBE_INTERVAL_S)
        return True

    def take_probe(self, succeeded: bool, now: timedelta) -> bool:
        """Take the result of a probe; enough good ones start the ramp.

        :return: whether the ramp started with this one.
        """
        if self.phase is not Phase.PROBING:
            return False
        self.good_probes = self.good_probes + 1 if succeeded else 0
        if self.good_probes < GOOD_PROBES:
            return False
        self.start_ramp(now)
        return True

    def ramp(self, now: timedelta) -> float:
        """Return the share of the weight in use; ends the ramp when it is whole."""
        if self.phase not in (Phase.RAMPING, Phase.WARMING):
            return 1.0
        share = (now - self.ramp_start).total_seconds() / RAMP_S
        if share >= 1.0:
            self.phase = Phase.GOOD
            return 1.0
        return max(RAMP_START, share)
