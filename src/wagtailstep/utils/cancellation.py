"""Telling a task's own cancellation from that of something it awaited."""

import asyncio


def is_cancelled() -> bool:
    """Return whether the current task was asked to end.

    A ``CancelledError`` without that comes from something that the task awaited and
    that somebody else cancelled: an error like any other.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def is_own_cancellation(error: BaseException) -> bool:
    """Return whether an error is the cancellation of the current task."""
    return isinstance(error, asyncio.CancelledError) and is_cancelled()
