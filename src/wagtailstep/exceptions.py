"""The family of errors. Each says what happened and what to do about it."""

from datetime import timedelta

from wagtailstep.models.request import Blame
from wagtailstep.models.verdict import Verdict

TEMPORARY_REFUSAL_RETRY_AFTER = timedelta(seconds=1)


class WagtailstepError(Exception):
    """Base class of all errors of this package."""


class SettingsError(WagtailstepError):
    """A setting or argument is wrong; the message names key, value and allowed."""


class DecodeError(WagtailstepError):
    """Bytes from a peer or from the log are not a known message."""


class LogError(WagtailstepError):
    """Base class of errors of the log service."""


class LogUnavailableError(LogError):
    """The log service could not be reached; an append certainly had no effect."""


class AppendUnknownError(LogError):
    """An append was sent and not acknowledged; it may have taken effect."""


class RecordExpiredError(LogError):
    """The offset asked for lies before the oldest retained record.

    :param oldest: the oldest offset that can still be read.
    """

    def __init__(self, oldest: int) -> None:
        super().__init__(f"records before offset {oldest} are no longer retained")
        self.oldest = oldest


class RequestError(WagtailstepError):
    """A request ended without an answer of a backend server.

    :param message: what happened and what the caller can do.
    :param verdict: whether a backend server may have run the request.
    :param status: HTTP status code for the caller.
    :param retry_after: when the caller may come back, or ``None``.

    ``blame`` says what the failure speaks against; whoever knows better sets it.
    """

    status = 502
    reason = "request-failed"
    blame = Blame.NONE
    # Whether a backend server got the request, even if it turned it away.
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
        """Tell whether a backend server may have got the request."""
        return self.reached_server or self.verdict is not Verdict.NOT_RUN


class BadRequestError(RequestError):
    """The request itself is wrong; resending it unchanged is useless."""

    status = 400
    reason = "bad-request"
    blame = Blame.CALLER

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message, Verdict.NOT_RUN, status)


class BodyTooLargeError(BadRequestError):
    """The body is longer than the table allows; send a shorter one."""

    status = 413
    reason = "body-too-large"


class OverloadedError(RequestError):
    """A limit was reached and the request was refused before it ran."""

    status = 503
    reason = "overloaded"
    blame = Blame.OVERLOAD

    def __init__(
        self, message: str, retry_after: timedelta, status: int | None = None
    ) -> None:
        super().__init__(message, Verdict.NOT_RUN, status, retry_after)


class NoRouteError(BadRequestError):
    """No route of the table matches host and path."""

    status = 404
    reason = "no-route"


class NotExecutedError(OverloadedError):
    """The backend server says that it turned the request away unexecuted."""

    reason = "not-executed"
    reached_server = True


class TemporaryRefusalError(RequestError):
    """The request was refused before it ran, and may be welcome in a second."""

    status = 503

    def __init__(self, message: str) -> None:
        super().__init__(
            message, Verdict.NOT_RUN, retry_after=TEMPORARY_REFUSAL_RETRY_AFTER
        )


class LeavingError(TemporaryRefusalError):
    """The backend server or daemon is leaving and takes no new request."""

    reason = "leaving"


class NotReadyError(TemporaryRefusalError):
    """This daemon has just started and takes no request yet."""

    reason = "not-ready"


class NoTargetError(TemporaryRefusalError):
    """No backend server of the service can take the request now."""

    reason = "no-target"


class DoubtedTargetError(TemporaryRefusalError):
    """The gate has come to doubt the backend server since the entry chose it."""

    reason = "doubted"


class ConnectionFailedError(RequestError):
    """A connection could not be used; the verdict says if bytes had been sent."""

    status = 502
    reason = "connection-failed"
    blame = Blame.PATH


class TruncatedAnswerError(RequestError):
    """The answer ended before it was whole."""

    status = 502
    reason = "truncated-answer"
    blame = Blame.BACKEND_SERVER

    def __init__(self, message: str) -> None:
        super().__init__(message, Verdict.MAY_HAVE_RUN)


class DeadlineExceededError(RequestError):
    """The time that the caller allowed has passed.

    If the request was not run by then, it waited for a slot, which speaks against
    no backend server.
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
    """An attempt took so long that another one was started in its place."""

    reason = "attempt-abandoned"


class DuplicateRequestError(RequestError):
    """A request with the same idempotency key or ticket was accepted before."""

    status = 409
    reason = "duplicate"


class TableError(WagtailstepError):
    """An edit of the table is wrong; the message names row, column and allowed."""


class TableConflictError(TableError):
    """Another edit changed the same row first.

    :param conflicting_edit_id: identifier of the edit accepted before this one.
    """

    def __init__(self, message: str, conflicting_edit_id: str) -> None:
        super().__init__(message)
        self.conflicting_edit_id = conflicting_edit_id
