"""Exceptions of the package. Messages say what happened and what to do about it."""

from datetime import timedelta

from wagtailstep.models.request import Blame
from wagtailstep.models.verdict import Verdict

TEMPORARY_REFUSAL_RETRY_AFTER = timedelta(seconds=1)


class WagtailstepError(Exception):
    """Base class of all errors of this package."""


class SettingsError(WagtailstepError):
    """A setting or argument is invalid; the message names it and what is allowed."""


class DecodeError(WagtailstepError):
    """Bytes from a peer or the log could not be decoded as a registered message."""


class LogError(WagtailstepError):
    """Base class of errors of the log service."""


class LogUnavailableError(LogError):
    """The log service is unavailable; an append was definitely not applied."""


class AppendUnknownError(LogError):
    """An append was sent but not acknowledged; it may have been applied."""


class CollectionChangedError(LogError):
    """A write was refused, since the collection ends at another offset than expected.

    :param end: offset at which it ends.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the collection has changed and ends at offset {end}")
        self.end = end


class RecordExpiredError(LogError):
    """The requested offset is older than the oldest retained record.

    :param oldest: the oldest offset that can still be read.
    """

    def __init__(self, oldest: int) -> None:
        super().__init__(f"records before offset {oldest} are no longer retained")
        self.oldest = oldest


class RequestError(WagtailstepError):
    """A request ended without a response from a backend server.

    :param message: what happened and what the caller can do.
    :param verdict: whether a backend server may have run the request.
    :param status: HTTP status code for the caller.
    :param retry_after: time after which the caller may retry, or ``None``.

    ``blame`` names the component that the failure is attributed to. The class sets
    the default; code that knows the actual cause overrides it on the instance.
    """

    status = 502
    reason = "request-failed"
    blame = Blame.NONE
    # Whether a backend server received the request, even if it rejected it.
    reached_server = False

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        status: int | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.retry_after = retry_after
        if status is not None:
            self.status = status

    @property
    def may_have_been_received(self) -> bool:
        """Return whether a backend server may have received the request."""
        return self.reached_server or self.verdict is not Verdict.NOT_RUN

    @property
    def is_full_gate(self) -> bool:
        """Return whether a gate had no slot, so that no server got the request."""
        return isinstance(self, OverloadedError) and not self.reached_server


class BadRequestError(RequestError):
    """The request is invalid; resending it unchanged would fail again."""

    status = 400
    reason = "bad-request"
    blame = Blame.CALLER

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message, Verdict.NOT_RUN, status)


class BodyTooLargeError(BadRequestError):
    """The request body exceeds the limit set in the table; send a shorter one."""

    status = 413
    reason = "body-too-large"


class OverloadedError(RequestError):
    """A limit was reached and the request was rejected before it ran."""

    status = 503
    reason = "overloaded"
    blame = Blame.OVERLOAD

    def __init__(
        self, message: str, retry_after: timedelta, status: int | None = None
    ) -> None:
        super().__init__(message, Verdict.NOT_RUN, status, retry_after)


class QuotaExceededError(OverloadedError):
    """The client account of the request has used up its quota of the whole fleet."""

    status = 429
    reason = "quota-exceeded"


class NoRouteError(BadRequestError):
    """No route of the table matches host and path."""

    status = 404
    reason = "no-route"


class UnknownKeyError(BadRequestError):
    """The request has no key of a client account, or one that is not in the table."""

    status = 401
    reason = "unknown-key"


class NotExecutedError(OverloadedError):
    """The backend server rejected the request and states that it did not run it."""

    reason = "not-executed"
    reached_server = True


class TemporaryRefusalError(RequestError):
    """The request was rejected before it ran; a retry may soon succeed."""

    status = 503

    def __init__(self, message: str) -> None:
        super().__init__(
            message, Verdict.NOT_RUN, retry_after=TEMPORARY_REFUSAL_RETRY_AFTER
        )


class LeavingError(TemporaryRefusalError):
    """The backend server or daemon is shutting down and accepts no new requests."""

    reason = "leaving"


class BodyNotKeptError(TemporaryRefusalError):
    """The start of the request body is no longer buffered, so it can't be resent.

    :param limit: size in bytes up to which a body is buffered.
    """

    reason = "body-not-kept"

    def __init__(self, limit: int) -> None:
        super().__init__(
            f"the request body exceeds the {limit} bytes that are kept for another "
            "attempt; send the request again"
        )


class NotReadyError(TemporaryRefusalError):
    """This daemon is still starting and accepts no requests yet."""

    reason = "not-ready"


class UnreadableRouteError(TemporaryRefusalError):
    """The row of the table that matches the request could not be read."""

    reason = "unreadable-route"


class UnreadableAccountError(TemporaryRefusalError):
    """The row of the client account that the key belongs to could not be read."""

    reason = "unreadable-account"


class NoTargetError(TemporaryRefusalError):
    """No backend server of the service can currently accept the request."""

    reason = "no-target"


class DoubtedTargetError(TemporaryRefusalError):
    """The gate lowered its backend server's standing after the entry had chosen it."""

    reason = "doubted"


class ConnectionFailedError(RequestError):
    """A connection failed; the verdict says whether any bytes had been sent."""

    status = 502
    reason = "connection-failed"
    blame = Blame.PATH


class ServerCrashedError(ConnectionFailedError):
    """The backend server crashed while the request was in progress there."""

    reason = "server-crashed"
    blame = Blame.BACKEND_SERVER


class CrashingRequestError(BadRequestError):
    """Backend servers crashed while they ran earlier copies of the same request.

    :param retry_after: time after which it is admitted again.
    """

    status = 503
    reason = "crashes-servers"

    def __init__(self, message: str, retry_after: timedelta) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class TruncatedAnswerError(RequestError):
    """The response ended before it was complete."""

    status = 502
    reason = "truncated-answer"
    blame = Blame.BACKEND_SERVER

    def __init__(self, message: str) -> None:
        super().__init__(message, Verdict.MAY_HAVE_RUN)


class InvalidAnswerError(RequestError):
    """There is a response, but it can't be passed on as valid HTTP."""

    status = 502
    reason = "invalid-answer"
    blame = Blame.BACKEND_SERVER

    def __init__(self, message: str) -> None:
        super().__init__(message, Verdict.MAY_HAVE_RUN)


class DeadlineExceededError(RequestError):
    """The caller's deadline has passed.

    A request that had not run by then was still waiting for a slot. That is no
    evidence against a backend server, so it is attributed to overload.
    """

    status = 504
    reason = "deadline-exceeded"
    blame = Blame.BACKEND_SERVER

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        status: int | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(message, verdict, status, retry_after)
        if verdict is Verdict.NOT_RUN:
            self.blame = Blame.OVERLOAD


class AttemptAbandonedError(RequestError):
    """An attempt took too long and was replaced by another one."""

    reason = "attempt-abandoned"


class DuplicateRequestError(RequestError):
    """A request with the same idempotency key or ticket was accepted before."""

    status = 409
    reason = "duplicate"


class TableError(WagtailstepError):
    """A table edit is invalid; the message names row, column and allowed values."""


class TableConflictError(TableError):
    """Another edit changed the same row first.

    :param conflicting_edit_id: identifier of the edit accepted before this one.
    """

    def __init__(self, message: str, conflicting_edit_id: str) -> None:
        super().__init__(message)
        self.conflicting_edit_id = conflicting_edit_id
