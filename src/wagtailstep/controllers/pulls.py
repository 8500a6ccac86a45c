"""When to pull updates that were not pushed, and from which daemon."""

from datetime import timedelta

import attrs

# With more daemons than this whose targets are unknown, peers are asked for all of
# them at once.
MAX_SINGLE_PULLS = 16
# After this many batches in a row that brought nothing, the targets are requested from
# their owners one by one.
MAX_FRUITLESS_BATCHES = 4
PULL_INTERVAL = timedelta(milliseconds=200)
ATTEMPTS_BEFORE_BACKOFF = 4
MAX_BACKOFF_DOUBLINGS = 5


@attrs.define
class Pull:
    """Unsuccessful requests for the state of one daemon.

    :param requested_at: monotonic time of the last request.
    :param attempts: number of requests.
    """

    requested_at: timedelta
    attempts: int = 1


@attrs.define
class PullSchedule:
    """Spread requests over time, and between the daemon concerned and its peers.

    :param pulls: by the ``daemon_id`` of the daemon whose state is requested.
    """

    pulls: dict[str, Pull] = attrs.field(factory=dict)

    def try_start(self, daemon_id: str, now: timedelta) -> bool:
        """Count a request, unless it is too early for another one.

        After a few unsuccessful requests the interval doubles each time. It is
        bounded, since a daemon taken for dead may return after a network partition.

        :return: whether to send the request.
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
        """Return whether to send the request to the daemon itself, not to a peer.

        The two alternate, since the path to either may be partitioned one way.

        :param owner_first: whether the daemon itself gets the first request, for
            when peers that started at the same time may not know its state either.
        """
        return self.pulls[daemon_id].attempts % 2 == int(owner_first)

    def discard(self, daemon_id: str) -> None:
        """Discard the requests about a daemon: one succeeded or none is needed."""
        self.pulls.pop(daemon_id, None)


@attrs.define
class BatchSchedule:
    """When to request the targets of many daemons from one peer.

    :param next_at: monotonic time of the next batch.
    :param requested: the daemons of the last batch.
    :param fruitless: batches in a row after which all their daemons were still unknown.
    """

    next_at: timedelta = timedelta()
    requested: frozenset[str] = frozenset()
    fruitless: int = 0

    def uses_batches(self, unknown: list[str]) -> bool:
        """Return whether the targets of some daemons are requested together."""
        if not self.requested.issubset(unknown):
            self.fruitless = 0
        return (
            len(unknown) > MAX_SINGLE_PULLS and self.fruitless < MAX_FRUITLESS_BATCHES
        )

    def try_start(self, unknown: list[str], now: timedelta) -> bool:
        """Count a batch, unless it is too early for another one."""
        if now < self.next_at:
            return False
        self.next_at = now + PULL_INTERVAL
        self.requested = frozenset(unknown)
        self.fruitless += 1
        return True
