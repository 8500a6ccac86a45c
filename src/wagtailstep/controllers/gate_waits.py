"""Which requests would wait too long at the gate."""

from datetime import timedelta

from wagtailstep.controllers.target_queue import TargetQueue
from wagtailstep.exceptions import OverloadedError, RequestError
from wagtailstep.models.gate import GateRequest
from wagtailstep.models.settings import RequestSettings

# A request that would miss its aim may still wait this long for the next slot.
MAX_WAIT_PAST_AIM = timedelta(milliseconds=150)
# A request that should try another gate first may wait this long instead. Trying one
# takes a few milliseconds and work at both ends. With four slots and requests of a
# quarter of a second the next slot is free after about this time.
MAX_WAIT_BEFORE_REROUTE = timedelta(milliseconds=60)
# Time reserved between the start of a request and its aim, as a multiple of its
# expected duration: one to run and one for the error of the estimated wait. The
# figures are in docs/design/queueing.md.
AIM_RESERVE_FACTOR = 2.0
MIN_RETRY_AFTER = timedelta(milliseconds=200)


def get_wait_error(
    settings: RequestSettings,
    queue: TargetQueue,
    request: GateRequest,
    now: timedelta,
    wait: timedelta,
) -> RequestError | None:
    """Return the error for a request whose expected wait is too long, if it is.

    :param now: monotonic time.
    :param wait: time until the request is expected to start.
    """
    retry_after = max(MIN_RETRY_AFTER, wait)
    if wait > timedelta(milliseconds=settings.queue_timeout_ms):
        message = f"the expected wait for {request.target_id} is too long"
        return OverloadedError(message, retry_after)
    if not request.may_wait and wait > MAX_WAIT_BEFORE_REROUTE:
        return OverloadedError(f"no slot of {request.target_id} is free", wait)
    if would_miss_aim(queue, request, now, wait):
        message = f"{request.target_id} can't answer within the latency aim"
        return OverloadedError(message, retry_after)
    if now + wait + queue.expected_duration(request) > request.deadline:
        message = f"{request.target_id} can't answer before the deadline"
        return OverloadedError(message, retry_after)
    return None


def would_miss_aim(
    queue: TargetQueue, request: GateRequest, now: timedelta, wait: timedelta
) -> bool:
    """Return whether a request that waits in a queue would miss its aim.

    Under overload a longer queue delays all responses without raising throughput.
    """
    if request.aim_deadline is None or wait <= MAX_WAIT_PAST_AIM:
        return False
    reserve = AIM_RESERVE_FACTOR * queue.expected_duration(request)
    return now + wait + reserve > request.aim_deadline
