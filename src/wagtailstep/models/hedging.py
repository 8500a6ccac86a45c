"""Events about hedges, the second copies of slow requests."""

import enum
from datetime import timedelta

import attrs

from wagtailstep.models.request import RequestContext


class HedgeOutcome(enum.StrEnum):
    """What became of a hedge; each one that was sent has one further outcome."""

    SENT = "sent"
    WON = "won"
    CANCELLED = "cancelled"
    FAILED = "failed"
    DENIED = "denied"


class HedgeDenial(enum.StrEnum):
    """Why a slow request was not hedged."""

    DRAINING = "draining"
    BODY_NOT_KEPT = "body-not-kept"
    NO_CAPACITY = "no-capacity"
    SERVICE_SLOW = "service-slow"
    NO_TIME = "no-time"
    NO_ATTEMPTS = "no-attempts"
    OVER_LIMIT = "over-limit"
    LOW_BUDGET = "low-budget"
    NO_TARGET = "no-target"


@attrs.frozen
class HedgeRecorded:
    """The outcome of a hedge, as an event for the metrics.

    :param service: requested service.
    :param outcome: what happened.
    :param reason: why it was denied or failed; otherwise empty.
    """

    service: str
    outcome: HedgeOutcome
    reason: str = ""


@attrs.frozen
class SlowCopyLost:
    """A copy had no response head when the other copy got one.

    :param request: the request.
    :param target_id: target of the slow copy.
    :param waited: time that it waited; its latency would have been longer.
    """

    request: RequestContext
    target_id: str
    waited: timedelta
