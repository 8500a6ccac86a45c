"""A sequential test of outcomes, and the rates that it compares with.

The test is a cumulative sum of log-likelihood ratios (Page's test) of "this
target is sick" against "it is like the service's other targets". Crossing
``ln(1 / risk)`` decides. Outcomes within one short slot of time often share one
harmless cause, such as a pause of the process, so what one slot can add is capped.
"""

import functools
import math
from datetime import timedelta

import attrs

from wagtailstep.models.table import ServiceRow

SLOTS_PER_WINDOW = 20
SCORE_DECAY_WINDOWS = 3
COUNT_DECAY_WINDOWS = 1
MIN_WINDOW_MS = 100
MIN_RISK = 1e-300


@attrs.frozen
class TestLimits:
    """How a service wants its targets judged, in the units of the test.

    :param threshold: sum of log-likelihood ratios that decides.
    :param slot_s: length of one slot in seconds.
    :param score_decay: factor on the sum for each slot that passes.
    :param count_decay: factor on the rates for each slot that passes.
    """

    threshold: float
    slot_s: float
    score_decay: float
    count_decay: float

    @classmethod
    @functools.lru_cache(maxsize=1_024)
    def from_row(cls, row: ServiceRow) -> "TestLimits":
        """Compute the limits from the two settings of a service's row."""
        window_s = max(row.detection_window_ms, MIN_WINDOW_MS) / 1_000
        risk = min(max(row.false_ejection_risk, MIN_RISK), 0.5)
        return cls(
            threshold=math.log(1 / risk),
            slot_s=window_s / SLOTS_PER_WINDOW,
            score_decay=math.exp(-1 / (SLOTS_PER_WINDOW * SCORE_DECAY_WINDOWS)),
            count_decay=math.exp(-1 / (SLOTS_PER_WINDOW * COUNT_DECAY_WINDOWS)),
        )

    def slot_at(self, now: timedelta) -> int:
        """Return the number of the slot that a monotonic time falls into."""
        return int(now.total_seconds() / self.slot_s)


@attrs.define
class SequentialTest:
    """The cumulative sum for one target, route and symptom.

    :param score: the sum up to the current slot, at least 0.
    :param slot_gain: what the current slot adds, before the cap.
    :param slot: number of the current slot.
    """

    score: float = 0.0
    slot_gain: float = 0.0
    slot: int = 0

    def add(self, ratio: float, cap: float, slot: int, decay: float) -> float:
        """Add log-likelihood ratios and return the sum.

        :param ratio: the ratio of one outcome, or the sum of several.
        :param cap: most that one slot may add or take away.
        :param slot: number of the slot now.
        :param decay: factor for each slot that passes.
        """
        if slot > self.slot:
            self.score = self.value(cap) * decay ** (slot - self.slot)
            self.slot_gain = 0.0
            self.slot = slot
        self.slot_gain += ratio
        return self.value(cap)

    def value(self, cap: float) -> float:
        """Return the sum with the current slot counted in."""
        return max(0.0, self.score + max(-cap, min(cap, self.slot_gain)))

    def clear(self) -> None:
        """Forget all evidence."""
        self.score = 0.0
        self.slot_gain = 0.0


@attrs.define
class DecayedCounts:
    """Decayed counts of outcomes.

    :param count: outcomes that speak for or against the backend server.
    :param failed: those that failed.
    :param timed: outcomes whose latency was judged.
    :param slow: those that were slow.
    :param slot: number of the slot of the last change.
    """

    count: float = 0.0
    failed: float = 0.0
    timed: float = 0.0
    slow: float = 0.0
    slot: int = 0

    def decay_to_slot(self, slot: int, decay: float) -> None:
        """Let the counts decay up to a slot."""
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

        :param healthy_rate: probability of a bad outcome of a healthy target.
        :param unhealthy_rate: the same of a sick target; larger than ``healthy_rate``.
        """
        return cls(
            math.log(unhealthy_rate / healthy_rate),
            math.log((1 - unhealthy_rate) / (1 - healthy_rate)),
        )
