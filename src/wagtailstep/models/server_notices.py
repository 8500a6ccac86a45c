"""What backend servers say of themselves in the headers of their responses."""

import attrs

NO_RATE_LIMIT = 0.0
# Lower limits are raised to this one, so that their end is detected.
MIN_RATE_LIMIT_PER_S = 0.25


@attrs.frozen
class ServerNotices:
    """The notices in one response.

    :param rate_limit: requests a second that the server takes from the whole fleet, at
        least ``MIN_RATE_LIMIT_PER_S``; ``NO_RATE_LIMIT`` if it names none, ``None`` if
        what it names can't be read.
    :param leaving: whether the server says that it is leaving.
    """

    rate_limit: float | None = NO_RATE_LIMIT
    leaving: bool = False


@attrs.frozen
class RememberedNotices:
    """What a daemon's entry knows of a backend server from responses it passed on.

    It also holds while the gate beside the server has restarted and knows less.

    :param incarnation: incarnation of the target at that time; a restarted gate
        announces the same server under a new one.
    :param process_started: start time of the server's process; 0 if unknown.
    :param rate_limit: requests a second that the server takes; ``NO_RATE_LIMIT`` if it
        named none.
    :param leaving: whether it said that it is leaving.
    """

    incarnation: int
    process_started: int = 0
    rate_limit: float = NO_RATE_LIMIT
    leaving: bool = False

    def applies_to(self, incarnation: int, process_started: int) -> bool:
        """Return whether a target is still the same process of the server."""
        if self.process_started and process_started:
            return self.process_started == process_started
        return self.incarnation == incarnation


@attrs.frozen
class ServerNoticesReceived:
    """The gate received a response of the backend server beside this daemon.

    :param target_id: the backend server.
    :param notices: what its response says.
    :param executed: whether the server ran the request; a rejection without a notice
        says nothing.
    """

    target_id: str
    notices: ServerNotices
    executed: bool = True


@attrs.frozen
class ServerNoticesForwarded:
    """The entry passes on a response with changed notices to its caller.

    :param target_id: the backend server.
    :param notices: what its response says.
    """

    target_id: str
    notices: ServerNotices


@attrs.frozen
class QueueWakeDue:
    """Waiting requests of a backend server may now be started within its rate limit.

    :param target_id: the backend server.
    """

    target_id: str
