"""Sequential test of outcomes, and the decayed counts that its rates come from.

The test is a cumulative sum (CUSUM, Page's test) of the log-likelihood ratios of "this
target is unhealthy" against "it is like the service's other targets". It decides when
the sum, the score, reaches ``ln(1 / risk)``. Outcomes within one short time slot often
share one harmless cause, such as a pause of the process, so the contribution of a slot
is capped.
"""

import functools
import math
from datetime import timedelta

import attrs

from wagtailstep.models.table import ServiceRow

SLOTS_PER_WINDOW = 20
# Time constants of the decay of scores and counts, in detection windows.
SCORE_DECAY_WINDOWS = 3
COUNT_DECAY_WINDOWS = 1
MIN_WINDOW_MS = 100
MIN_RISK = 1e-300


@attrs.frozen
class TestLimits:
    """Parameters of the tests of a service's targets.

    :param threshold: score in nats at which a test decides.
    :param slot_s: length of one slot in seconds.
    :param score_decay: factor applied to scores for each slot that passes.
    :param count_decay: factor applied to decayed counts for each slot that passes.
    """

    threshold: float
    slot_s: float
    score_decay: float
    count_decay: float

    @classmethod
    @functools.lru_cache(maxsize=1_024)
    def from_row(cls, row: ServiceRow) -> "TestLimits":
        """Compute the limits from the two detection settings of a service's row."""
        window_s = max(row.detection_window_ms, MIN_WINDOW_MS) / 1_000
        risk = min(max(row.false_ejection_risk, MIN_RISK), 0.5)
        return cls(
            threshold=math.log(1 / risk),
            slot_s=window_s / SLOTS_PER_WINDOW,
            score_decay=math.exp(-1 / (SLOTS_PER_WINDOW * SCORE_DECAY_WINDOWS)),
            count_decay=math.exp(-1 / (SLOTS_PER_WINDOW * COUNT_DECAY_WINDOWS)),
        )

    def slot_at(self, now: timedelta) -> int:
        """Return the number of the slot containing a monotonic time."""
        return int(now.total_seconds() / self.slot_s)


@attrs.define
class SequentialTest:
    """Cumulative sum of log-likelihood ratios for one target, route and symptom.

    :param score: the sum before the current slot, at least 0.
    :param slot_gain: sum of the current slot, before the cap.
    :param slot: number of the current slot.
    """

    score: float = 0.0
    slot_gain: float = 0.0
    slot: int = 0

    def add(self, ratio: float, cap: float, slot: int, decay: float) -> float:
        """Add log-likelihood ratios and return the score.

        :param ratio: the ratio of one outcome, or the sum of several.
        :param cap: limit on what one slot may add or subtract.
        :param slot: number of the current slot.
        :param decay: factor applied to the score for each slot that passes.
        """
        if slot > self.slot:
            self.score = self.value(cap) * decay ** (slot - self.slot)
            self.slot_gain = 0.0
            self.slot = slot
        self.slot_gain += ratio
        return self.value(cap)

    def value(self, cap: float) -> float:
        """Return the score including the current slot."""
        return max(0.0, self.score + max(-cap, min(cap, self.slot_gain)))

    def clear(self) -> None:
        """Discard all evidence."""
        self.score = 0.0
        self.slot_gain = 0.0


@attrs.define
class DecayedCounts:
    """Decayed counts of outcomes.

    :param count: outcomes that say something about the backend server.
    :param failed: those that failed.
    :param timed: outcomes whose latency was assessed.
    :param slow: those that were slow.
    :param slot: number of the slot up to which the counts are decayed.
    """

    count: float = 0.0
    failed: float = 0.0
    timed: float = 0.0
    slow: float = 0.0
    slot: int = 0

    def decay_to_slot(self, slot: int, decay: float) -> None:
        """Decay the counts up to a slot."""
        if slot <= self.slot:
            return
        factor = decay ** (slot - self.slot)
        self.count *= factor
        self.failed *= factor
        self.timed *= factor
        self.slow *= factor
        self.slot = slot

    def add(self, count: int, failed: int, timed: int, slow: int) -> None:
        """Add outcomes."""
        self.count += count
        self.failed += failed
        self.timed += timed
        self.slow += slow


@attrs.frozen
class LikelihoodRatios:
    """Log-likelihood ratios of one good and one bad outcome.

    :param bad: ratio of a bad outcome, positive.
    :param good: ratio of a good outcome, negative.
    """

    bad: float
    good: float

    @classmethod
    def from_rates(
        cls, healthy_rate: float, unhealthy_rate: float
    ) -> "LikelihoodRatios":
        """Compute both ratios.

        :param healthy_rate: probability of a bad outcome at a healthy target.
        :param unhealthy_rate: the same at an unhealthy target; larger than
            ``healthy_rate``.
        """
        return cls(
            math.log(unhealthy_rate / healthy_rate),
            math.log((1 - unhealthy_rate) / (1 - healthy_rate)),
        )
