"""Requests that can't be retried, sent to a doubted backend server to end the doubt.

Requests that could be retried try doubted servers first, which costs callers nothing.
Where few requests are repeatable, or no retry is left, the others take their place, so
that no server stays excluded for want of requests of one kind.
"""

import random
from collections.abc import Sequence
from datetime import timedelta

import attrs

from wagtailstep.controllers.candidates import Candidate
from wagtailstep.controllers.request_rates import RateEstimate
from wagtailstep.controllers.target_queue import TargetQueue

# A doubted target should be tried this often, in requests a second of all daemons.
TARGET_TRIALS_PER_S = 1.5
# Unserved part of a service's requests below which no such trial is needed, and from
# which trials are made at the full rate. In between, callers lose less by waiting for
# the doubt to decay.
MIN_UNSERVED_RATIO = 0.05
FULL_UNSERVED_RATIO = 0.1
# Served requests a second that are assumed beside those counted, so that a single
# failure among few requests is no sign of a shortage.
ASSUMED_SERVED_PER_S = 1.0
# Lowest assumed part of requests that can't be retried.
MIN_OTHERS_RATIO = 0.05
# Time without a failure after which a gate admits a trial.
TRIAL_DELAY = timedelta(seconds=1.5)
# Time after which a trial that still runs no longer prevents the next one.
TRIAL_INTERVAL = timedelta(seconds=1)


@attrs.define
class ServiceTrials:
    """What a daemon knows of its own recent requests for one service.

    :param unserved: requests that ended without success.
    :param ended: all requests that ended.
    :param retryable: requests that could be retried after a failure.
    :param others: requests that could not.
    :param tried: number of the last request sent to each doubted target.
    :param tries: number of the last one to any of them.
    """

    unserved: RateEstimate = attrs.field(factory=RateEstimate)
    ended: RateEstimate = attrs.field(factory=RateEstimate)
    retryable: RateEstimate = attrs.field(factory=RateEstimate)
    others: RateEstimate = attrs.field(factory=RateEstimate)
    tried: dict[str, int] = attrs.field(factory=dict)
    tries: int = 0

    def choose_target(
        self, doubted: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Choose the doubted target that was tried least recently.

        With a random choice, some get no request for several times the mean interval.
        """
        names = [candidate.target.target_id for candidate in doubted]
        self.tried = {name: self.tried.get(name, 0) for name in names}
        oldest = min(self.tried.values())
        chosen = rng.choice([name for name in names if self.tried[name] == oldest])
        self.tries += 1
        self.tried[chosen] = self.tries
        return doubted[names.index(chosen)]

    def record_outcome(self, served: bool, now: timedelta) -> None:
        """Record how a request ended."""
        self.ended.record(now)
        if not served:
            self.unserved.record(now)

    def record_request(self, is_retryable: bool, now: timedelta) -> None:
        """Record whether a request could be retried after a failure."""
        (self.retryable if is_retryable else self.others).record(now)

    def compute_ratio(
        self,
        doubted_share: float,
        probe_ratio: float,
        target_rate: float,
        now: timedelta,
    ) -> float:
        """Return the part of the requests that can't be retried which make a trial.

        They never get a larger part of the requests than the doubted targets are of
        the service. Together with :func:`may_try` at the gates, a doubted target
        costs callers at most one failure in ``TRIAL_DELAY``.

        :param doubted_share: part of the service's targets that are doubted.
        :param probe_ratio: part of the retryable requests that try a doubted target.
        :param target_rate: requests a second that each target would get.
        :param now: monotonic time.
        """
        if target_rate <= 0:
            return 0.0
        ended = self.ended.decay(now) + ASSUMED_SERVED_PER_S
        shortage = (self.unserved.decay(now) / ended - MIN_UNSERVED_RATIO) / (
            FULL_UNSERVED_RATIO - MIN_UNSERVED_RATIO
        )
        if shortage <= 0:
            return 0.0
        retryable, others = self.retryable.decay(now), self.others.decay(now)
        retryable_ratio = retryable / (retryable + others)
        wanted = TARGET_TRIALS_PER_S / target_rate * doubted_share
        missing = max(0.0, wanted - retryable_ratio * probe_ratio)
        others_ratio = max(MIN_OTHERS_RATIO, 1 - retryable_ratio)
        return min(doubted_share, missing / others_ratio) * min(1.0, shortage)


def may_try(queue: TargetQueue, failed_at: timedelta, now: timedelta) -> bool:
    """Return whether a gate admits a request that can't be retried to a doubted server.

    It excludes them for ``TRIAL_DELAY`` after the last failure, and then admits one at
    a time. A failing server refuses all requests for ``FAILING_HOLD`` of that time.
    Entries learn of the doubt, and of its end, with the digests (up to 3 s).

    :param queue: the queue of the server.
    :param failed_at: monotonic time of its last failure.
    :param now: monotonic time.
    """
    if now < failed_at + TRIAL_DELAY:
        return False
    return not queue.running or now >= queue.last_started_at + TRIAL_INTERVAL
