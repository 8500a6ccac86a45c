"""Messages, decisions and effects for the quotas of client accounts."""

from datetime import timedelta
from typing import ClassVar

import attrs
import msgspec

from wagtailstep.utils.codec import message


@message
class QuotaRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask an account's home daemon for tokens, and return unused ones.

    :param serial: repeated in the grant.
    :param account: name of the client account.
    :param amount: tokens that are wanted; 0 if some are only returned.
    :param returned: tokens granted by the receiver that were not used.
    """

    wire_name: ClassVar[str] = "QuotaRequest"

    serial: int
    account: str
    amount: int
    returned: int


@message
class QuotaGrant(msgspec.Struct, array_like=True, frozen=True):
    """Answer to a :class:`QuotaRequest` that wants tokens.

    :param serial: as in the request.
    :param amount: tokens granted, at most the amount wanted.
    :param retry_after_ms: time until the next token is available, in milliseconds; 0
        if all were granted.
    """

    wire_name: ClassVar[str] = "QuotaGrant"

    serial: int
    amount: int
    retry_after_ms: int


@attrs.frozen
class QuotaDecision:
    """Whether the quota of its client account permits a request.

    :param admitted: whether it may be sent to a backend server.
    :param retry_after: time after which a refused one may be sent again.
    :param grantor: ``daemon_id`` of the daemon that granted the token; empty if it is
        from the local bucket.
    :param expires_at: monotonic time until which the token can be used again if the
        request is not sent.
    """

    admitted: bool
    retry_after: timedelta = timedelta()
    grantor: str = ""
    expires_at: timedelta = timedelta()


@attrs.frozen
class QuotaOutcome:
    """The immediate decision on a request and the effects that go with it.

    :param decision: the decision; ``None`` if a :class:`QuotaDecided` follows.
    :param effects: effects for the runtime.
    """

    decision: QuotaDecision | None
    effects: tuple[object, ...] = ()


@attrs.frozen
class QuotaDecided:
    """Effect: deliver the decision on a request that waits for it.

    :param request_id: the waiting request.
    :param decision: whether its account's quota permits it.
    """

    request_id: str
    decision: QuotaDecision


@attrs.frozen
class ScheduleQuotaCheck:
    """Effect: check after a delay whether a request for tokens was answered.

    :param delay: time until the check.
    """

    delay: timedelta
