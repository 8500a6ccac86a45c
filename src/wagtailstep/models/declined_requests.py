"""Results of waits of declined requests, and an event for the metrics."""

import enum
from datetime import timedelta

import attrs


class WaitEnd(enum.StrEnum):
    """How the wait of a declined request for a retry ended."""

    WOKEN = "woken"
    TOO_LATE = "too-late"
    QUEUE_FULL = "queue-full"
    DRAINING = "draining"
    NO_TARGET = "no-target"
    CANCELLED = "cancelled"


@attrs.frozen
class DeclinedWaitEnded:
    """A declined request got a retry or was given up.

    :param service: the requested service.
    :param end: how the wait ended.
    :param waited: how long the request waited; zero if it was given up at once.
    """

    service: str
    end: WaitEnd
    waited: timedelta
