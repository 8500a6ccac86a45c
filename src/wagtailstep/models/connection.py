"""Connections of callers and other daemons."""

from datetime import timedelta
from enum import Enum

import attrs

HEAD_TIMEOUT_S = 75
IDLE_TIMEOUT_S = 75
DEFAULT_HEAD_BYTES = 32_768


class ConnectionEnd(Enum):
    """What ended a connection, as logged with a request that it interrupted."""

    CALLER_CLOSED = "caller-closed"
    """The caller ended its side of the connection."""
    CONNECTION_FAILED = "connection-failed"
    """A reset by the caller or an error of the network."""
    HEAD_TIMEOUT = "head-timeout"
    """No complete head of a request arrived in time."""
    IDLE_TIMEOUT = "idle-timeout"
    """Nothing arrived for too long after a response."""
    MALFORMED_REQUEST = "malformed-request"
    """The caller sent bytes that are not HTTP."""
    RESPONSE_TRUNCATED = "response-truncated"
    """The response could not be completed."""
    RESPONSE_FAILED = "response-failed"
    """The response could not be written."""
    CLOSED_BEHIND_RESPONSE = "closed-behind-response"
    """The connection was closed after a response that announced it."""
    SERVER_STOPPED = "server-stopped"
    """This daemon stops."""
    CANCELLED = "cancelled"
    """The handler was cancelled although the connection was open."""


@attrs.frozen
class ConnectionLimits:
    """How long a server waits on its connections, and for how much.

    :param head_timeout: from the first byte of a request's head to its end.
    :param idle_timeout: from a response, or the start of the connection, to the next
        request.
    :param max_head_bytes: size of a request's head, whatever the pieces it arrives in.
    """

    head_timeout: timedelta = timedelta(seconds=HEAD_TIMEOUT_S)
    idle_timeout: timedelta = timedelta(seconds=IDLE_TIMEOUT_S)
    max_head_bytes: int = DEFAULT_HEAD_BYTES

    def get_timeout(self, ended_by: ConnectionEnd) -> timedelta:
        """Return the time after which a wait is ended for this reason."""
        if ended_by is ConnectionEnd.HEAD_TIMEOUT:
            return self.head_timeout
        return self.idle_timeout
