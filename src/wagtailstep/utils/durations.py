"""Durations: as text with a unit, and those until a rate has added an amount."""

import re
from datetime import timedelta

from wagtailstep.exceptions import DecodeError

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
# A caller that is told to return later than this will have given up.
MAX_REFILL_TIME = timedelta(days=1)
DURATION_UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1)}


def parse_duration(text: str) -> timedelta:
    """Parse a duration such as ``250ms`` or ``1.5s``.

    :raises DecodeError: if it is malformed or too long to be represented.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise DecodeError(
            f"{text!r} is not a duration; expected a number and the unit ms or s"
        )
    try:
        return float(match[1]) * DURATION_UNITS[match[2]]
    except OverflowError as error:
        raise DecodeError(f"{text!r} is too long for a duration") from error


def parse_positive_duration(text: str) -> timedelta:
    """Parse a duration that has to be longer than zero.

    :raises DecodeError: if it is malformed or not positive.
    """
    duration = parse_duration(text)
    if not duration:
        raise DecodeError(f"{text!r} is not a duration longer than zero")
    return duration


def compute_refill_time(missing: float, rate: float) -> timedelta:
    """Return after what time a rate has added an amount, at most a day.

    :param rate: what is added per second, at least 0.
    """
    if missing >= MAX_REFILL_TIME.total_seconds() * rate:
        return MAX_REFILL_TIME
    return timedelta(seconds=missing / rate)
