"""When to ask for what did not arrive by itself, and whom."""

from datetime import timedelta

import attrs

PULL_INTERVAL = timedelta(milliseconds=200)
ATTEMPTS_BEFORE_BACKOFF = 4
MAX_BACKOFF_DOUBLINGS = 5


@attrs.define
class Pull:
    """Requests for news of one daemon that have not helped yet.

    :param requested_at: monotonic time of the last request.
    :param attempts: number of requests.
    """

    requested_at: timedelta
    attempts: int = 1


@attrs.define
class PullSchedule:
    """Spread requests over time, and over the daemon itself and its peers.

    :param pulls: by the ``daemon_id`` of the daemon that is asked about.
    """

    pulls: dict[str, Pull] = attrs.field(factory=dict)

    def try_start(self, daemon_id: str, now: timedelta) -> bool:
        """Count a request, unless it is too early for another one.

        After a few requests that didn't help the time between two doubles. It stays
        bounded, since a daemon that is held for dead may come back after a cut.

        :return: whether to send it.
        """
        pull = self.pulls.get(daemon_id)
        if pull is None:
            self.pulls[daemon_id] = Pull(now)
            return True
        doublings = min(
            max(0, pull.attempts - ATTEMPTS_BEFORE_BACKOFF), MAX_BACKOFF_DOUBLINGS
        )
        if now - pull.requested_at < PULL_INTERVAL * 2**doublings:
            return False
        pull.requested_at = now
        pull.attempts += 1
        return True

    def asks_owner(self, daemon_id: str, owner_first: bool = False) -> bool:
        """Tell whether to ask the daemon itself, and not one of its peers.

        They are asked in turns, since the path to either may be cut one way.

        :param owner_first: whether it is the first to be asked, as a peer may know
            as little when all were started together.
        """
        return self.pulls[daemon_id].attempts % 2 == int(owner_first)

    def discard(self, daemon_id: str) -> None:
        """Forget the requests about a daemon, since one helped or none is needed."""
        self.pulls.pop(daemon_id, None)
