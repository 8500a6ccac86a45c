"""Checks that a fleet follows what backend servers say of themselves in answers."""

import math
from collections.abc import Callable, Iterator, Sequence

import attrs

from benchmarks.soak.callers import AttemptEnded
from benchmarks.soak.fleet import SoakFleet
from wagtailstep.fakes.backend_server import Arrival, BackendServer

# What the platform allows a backend server that names a limit.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Time after the first naming of a limit from which on it binds.
BINDING_AFTER_S = 3.0
# Time after which a daemon that passed on an answer is bound by what it says.
NOTIFIED_AFTER_S = 0.5
# Time after which a leaving server gets no more of the requests sent since then.
DRAIN_S = 2.0


@attrs.frozen
class LimitPeriod:
    """Time in which a backend server names one limit.

    :param start_s: event loop time in seconds.
    :param end_s: event loop time in seconds.
    :param rate: requests a second.
    """

    start_s: float
    end_s: float
    rate: float


class NoticeCheck:
    """Compare what reached backend servers with what they had said before.

    :param fleet: the fleet.
    :param outcomes: outcomes of all requests.
    """

    def __init__(self, fleet: SoakFleet, outcomes: Sequence[AttemptEnded]) -> None:
        self.fleet = fleet
        self.outcomes = outcomes
        self.by_key = {outcome.key: outcome for outcome in outcomes}

    def find_violations(self) -> list[str]:
        """Return the violations at all backend servers."""
        found = []
        for backend in self.fleet.backends:
            found += self.find_excess(backend)
            found += self.find_late_work(backend)
        return found

    def find_excess(self, backend: BackendServer) -> list[str]:
        """Return the windows in which a server got more than its limit allows."""
        periods = list(self.list_periods(backend))
        if not periods:
            return []
        first_s = periods[0].start_s
        notified = self.find_notified(backend, lambda outcome: bool(outcome.rate_limit))
        counted = [
            arrival.at_s
            for arrival in backend.arrivals
            if any(p.start_s <= arrival.at_s < p.end_s for p in periods)
            and self.was_notified(arrival, notified, NOTIFIED_AFTER_S)
        ]
        for last, at_s in enumerate(counted):
            if at_s < first_s + BINDING_AFTER_S:
                continue
            recent = [s for s in counted[: last + 1] if s > at_s - WINDOW_S]
            allowed = LIMIT_FACTOR * count_allowed(periods, at_s) + LIMIT_SLACK
            if len(recent) > allowed:
                return [
                    f"{backend.address} got {len(recent)} requests in {WINDOW_S:g} s "
                    f"at {at_s:.2f} s despite its limit; allowed {allowed:g}"
                ]
        return []

    def find_late_work(self, backend: BackendServer) -> list[str]:
        """Return the requests that reached a server that had said it leaves."""
        notified = self.find_notified(backend, lambda outcome: outcome.server_leaves)
        return [
            f"{arrival.key} reached {backend.address}, which had said that it leaves"
            for arrival in backend.arrivals
            if self.was_notified(arrival, notified, DRAIN_S)
        ]

    def list_periods(self, backend: BackendServer) -> Iterator[LimitPeriod]:
        """Yield the periods in which a server names a valid limit."""
        changes = [c for c in self.fleet.fault_changes if c.backend is backend]
        for index, change in enumerate(changes):
            text = change.faults.rate_limit
            if text.replace(".", "", 1).isdigit():
                is_last = index + 1 == len(changes)
                end_s = math.inf if is_last else changes[index + 1].at_s
                yield LimitPeriod(change.at_s, end_s, float(text))

    def find_notified(
        self, backend: BackendServer, has_notice: Callable[[AttemptEnded], bool]
    ) -> dict[str, list[float]]:
        """Return when each host passed on an answer of a server with a notice."""
        notified: dict[str, list[float]] = {}
        first_s = backend.started_at.total_seconds()
        last_s = self.find_end(backend)
        for outcome in self.outcomes:
            if outcome.server != backend.address or not has_notice(outcome):
                continue
            if first_s <= outcome.ended_at_s <= last_s:
                notified.setdefault(outcome.host, []).append(outcome.ended_at_s)
        return notified

    def find_end(self, backend: BackendServer) -> float:
        """Return when the successor of a server at the same address started."""
        started = [
            other.started_at.total_seconds()
            for other in self.fleet.backends
            if other.address == backend.address
            and other.started_at > backend.started_at
        ]
        return min(started, default=math.inf)

    def was_notified(
        self, arrival: Arrival, notified: dict[str, list[float]], after_s: float
    ) -> bool:
        """Return whether the host of a request had been notified when it was sent on.

        For a leaving server the time counts from the sending by the caller.
        """
        outcome = self.by_key.get(arrival.key)
        if outcome is None:
            return False
        reference_s = outcome.at_s if after_s == DRAIN_S else arrival.at_s
        disrupted_s = max(
            (
                each.at_s
                for each in self.fleet.disruptions
                if each.host == outcome.host and each.at_s <= reference_s
            ),
            default=-math.inf,
        )
        return any(
            disrupted_s < at_s <= reference_s - after_s
            for at_s in notified.get(outcome.host, ())
        )


def count_allowed(periods: Sequence[LimitPeriod], until_s: float) -> float:
    """Return the number of requests that the limits allow in one window."""
    start_s = until_s - WINDOW_S
    return sum(
        period.rate
        * max(0.0, min(period.end_s, until_s) - max(period.start_s, start_s))
        for period in periods
    )
