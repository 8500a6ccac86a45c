"""Refusals of requests with plain idempotency keys."""

from datetime import timedelta

from wagtailstep.controllers.runs import build_unknown_outcome_error
from wagtailstep.exceptions import RequestError
from wagtailstep.models.request import RequestContext
from wagtailstep.models.verdict import Verdict

CLAIM_RETRY_AFTER = timedelta(seconds=5)
SERVICE_UNAVAILABLE = 503


def build_log_gap_error(request: RequestContext) -> RequestError:
    """Make the refusal of a request whose claim may lie in a gap of the log."""
    return build_unknown_outcome_error("the log forgot records before they were read")


def build_log_unavailable_error(request: RequestContext) -> RequestError:
    """Make the refusal of a keyed request that can't be claimed now."""
    error = RequestError(
        "the log service is away, so nobody can tell whether this Idempotency-Key "
        "was used; this sending was not run; come back with the same key after the "
        "time in Retry-After, or use a ticket",
        refusal_verdict(request),
        SERVICE_UNAVAILABLE,
        CLAIM_RETRY_AFTER,
    )
    error.reason = "log-away"
    return error


def build_claim_capacity_error(request: RequestContext) -> RequestError:
    """Make the refusal of a plain key when there is no room to remember more."""
    error = RequestError(
        "more keys were claimed than this daemon can remember; this sending was not "
        "run; use a ticket",
        refusal_verdict(request),
        SERVICE_UNAVAILABLE,
        CLAIM_RETRY_AFTER,
    )
    error.reason = "too-many-keys"
    return error


def refusal_verdict(request: RequestContext) -> Verdict:
    """Return the verdict on a keyed request that this daemon did not run.

    An earlier sending may have run elsewhere, unless the caller says that there
    was none.
    """
    return Verdict.NOT_RUN if request.first_sending else Verdict.MAY_HAVE_RUN
