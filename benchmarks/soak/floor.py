"""Checks that sound backend servers get requests while other requests fail."""

import asyncio
import bisect
from collections.abc import Sequence

import attrs

from benchmarks.soak.callers import AttemptEnded
from benchmarks.soak.fleet import Host, SoakDaemon, SoakFleet
from wagtailstep.fakes.backend_server import BackendServer
from wagtailstep.fakes.faults import Faults
from wagtailstep.platform.stand_in import StoreFaults

# What the platform requires: in each window this share of the sound servers gets
# requests, while more than the first and fewer than the second share of them fail.
WINDOW_S = 2.0
FLOOR_SHARE = 0.7
UNSERVED_SHARES = (0.1, 0.5)
# Time from the end of a disruption, or of a server's own failures, until it is sound.
SOUND_AFTER_DISRUPTION_S = 6.0
SOUND_AFTER_FAILURE_S = 2.0
# Time from the end of a disruption of the store until it counts as stable.
STABLE_S = 3.0
SAMPLE_INTERVAL_S = 0.1


@attrs.frozen
class Window:
    """Servers that were sound in the whole window that ends at a time.

    :param end_s: event loop time in seconds.
    :param sound: the servers.
    """

    end_s: float
    sound: tuple[BackendServer, ...]


class FloorWatch:
    """Samples which servers are sound, and compares them with those in use.

    :param fleet: the fleet.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.sound_from: dict[str, float] = {}
        self.store_stable_from = 0.0
        self.previous: dict[str, tuple[SoakDaemon | None, BackendServer | None]] = {}
        self.windows: list[Window] = []
        self.judged = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample(asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self, now_s: float) -> None:
        """Record the servers that were sound since the start of the window."""
        if self.fleet.store.faults != StoreFaults():
            self.store_stable_from = now_s + STABLE_S
        for host in self.fleet.hosts:
            if self.is_disturbed(host):
                self.sound_from[host.name] = now_s + SOUND_AFTER_DISRUPTION_S
            elif host.backend is not None and host.backend.failed_at:
                sound_s = host.backend.failed_at[-1] + SOUND_AFTER_FAILURE_S
                known_s = self.sound_from[host.name]
                self.sound_from[host.name] = max(known_s, sound_s)
        start_s = now_s - WINDOW_S
        if self.store_stable_from > start_s:
            return
        sound = [
            host.backend
            for host in self.fleet.hosts
            if host.backend is not None and self.sound_from[host.name] <= start_s
        ]
        self.windows.append(Window(now_s, tuple(sound)))

    def is_disturbed(self, host: Host) -> bool:
        """Return whether a server, its daemon or their links are disturbed."""
        current = host.daemon, host.backend
        has_changed = self.previous.get(host.name) != current
        self.previous[host.name] = current
        if has_changed or host.daemon is None or host.backend is None:
            return True
        if host.name in self.fleet.partitioned or host.daemon.blackboard.draining:
            return True
        if host.is_leaving:
            return True
        has_faults = host.backend.faults != Faults()
        return has_faults and host.name not in self.fleet.failing_by_themselves

    def find_violations(self, outcomes: Sequence[AttemptEnded]) -> list[str]:
        """Return the windows in which too few sound servers got requests.

        :param outcomes: outcomes of all requests.
        """
        outcomes = sorted(outcomes, key=lambda outcome: outcome.at_s)
        sent_at = [outcome.at_s for outcome in outcomes]
        found = []
        for window in self.windows:
            first = bisect.bisect_left(sent_at, window.end_s - WINDOW_S)
            last = bisect.bisect_left(sent_at, window.end_s)
            violation = self.judge(window, outcomes[first:last])
            if violation is not None:
                found.append(violation)
        return found

    def judge(self, window: Window, sent: Sequence[AttemptEnded]) -> str | None:
        """Return the violation in one window, or ``None``.

        :param sent: outcomes of the requests that were sent in the window.
        """
        unserved = sum(outcome.status != 200 for outcome in sent)
        least, most = UNSERVED_SHARES
        if not least * len(sent) < unserved < most * len(sent):
            return None
        self.judged += 1
        start_s = window.end_s - WINDOW_S
        reached = sum(
            any(start_s <= arrival.at_s < window.end_s for arrival in server.arrivals)
            for server in window.sound
        )
        if not reached or reached >= FLOOR_SHARE * len(window.sound):
            return None
        return (
            f"{len(window.sound) - reached} of {len(window.sound)} sound servers got "
            f"nothing for {WINDOW_S:g} s at {window.end_s:.1f} s, while {unserved} of "
            f"{len(sent)} requests were not served"
        )
