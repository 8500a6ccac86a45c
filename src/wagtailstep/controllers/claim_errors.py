"""Errors for requests with plain idempotency keys that this daemon refuses."""

from datetime import timedelta

from wagtailstep.controllers.runs import build_unknown_outcome_error
from wagtailstep.exceptions import RequestError
from wagtailstep.models.request import RequestContext
from wagtailstep.models.verdict import Verdict

CLAIM_RETRY_AFTER = timedelta(seconds=5)
SERVICE_UNAVAILABLE = 503


def build_log_gap_error(request: RequestContext) -> RequestError:
    """Return the error for a request whose claim may be among expired records."""
    return build_unknown_outcome_error(
        "the log expired records before this daemon had read them"
    )


def build_log_unavailable_error(request: RequestContext) -> RequestError:
    """Return the error for a keyed request while the log can't take its claim."""
    error = RequestError(
        "the log service is unavailable, so it is unknown whether this "
        "Idempotency-Key was used before; this attempt was not executed; retry with "
        "the same key after the time in Retry-After, or use a ticket",
        refusal_verdict(request),
        SERVICE_UNAVAILABLE,
        CLAIM_RETRY_AFTER,
    )
    error.reason = "log-away"
    return error


def build_claim_capacity_error(request: RequestContext) -> RequestError:
    """Return the error for a plain key when the limit of stored claims is reached."""
    error = RequestError(
        "this daemon can't store any more claimed idempotency keys; this attempt was "
        "not executed; use a ticket",
        refusal_verdict(request),
        SERVICE_UNAVAILABLE,
        CLAIM_RETRY_AFTER,
    )
    error.reason = "too-many-keys"
    return error


def refusal_verdict(request: RequestContext) -> Verdict:
    """Return the verdict for a keyed request that this daemon did not execute.

    An earlier attempt may have run at another daemon, unless the caller states that
    this is the first one.
    """
    return Verdict.NOT_RUN if request.first_sending else Verdict.MAY_HAVE_RUN
