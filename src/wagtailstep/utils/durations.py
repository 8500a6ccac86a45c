"""Durations written as a number and a unit."""

import re
from datetime import timedelta

from wagtailstep.exceptions import DecodeError

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
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
