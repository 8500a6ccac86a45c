"""Settings of a load that is played at one or two systems."""

from typing import Any

import attrs

from wagtailstep.models.settings import (
    SettingValueError,
    check_addresses,
    check_choice,
    check_name,
    not_negative,
    positive,
)

STEADY = "steady"
WAVE = "wave"
BURST = "burst"


def check_share(_: Any, attribute: attrs.Attribute, value: float) -> None:
    """Refuse what is no share.

    :raises SettingValueError: if the value is below 0 or above 1.
    """
    if not 0 <= value <= 1:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give a share from 0 to 1"
        )


def check_not_empty(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Refuse a list without an element.

    :raises SettingValueError: if it is empty.
    """
    if not value:
        raise SettingValueError(attribute.name, "is empty; give at least one")


@attrs.frozen
class ArrivalSettings:
    """When requests arrive; they don't wait for one another.

    :param rate_per_s: requests a second on average, without a burst.
    :param shape: ``steady``, ``wave`` (a sine around the rate) or ``burst`` (a higher
        rate for some time).
    :param swing: part of the rate by which a wave rises and falls.
    :param period_s: length of a wave, in seconds.
    :param burst_at_s: when a burst begins in each slice, in seconds.
    :param burst_for_s: how long it lasts, in seconds.
    :param burst_factor: factor on the rate meanwhile.
    """

    rate_per_s: float = positive(50.0)
    shape: str = attrs.field(
        default=STEADY, validator=check_choice(STEADY, WAVE, BURST)
    )
    swing: float = attrs.field(default=0.3, validator=check_share)
    period_s: float = positive(10.0)
    burst_at_s: float = not_negative(2.0)
    burst_for_s: float = positive(2.0)
    burst_factor: float = positive(2.0)


@attrs.frozen
class LoadClass:
    """One kind of request.

    :param name: its name in reports.
    :param share: its part of all requests, beside the shares of the others.
    :param method: HTTP method; ``GET`` may be run twice.
    :param path: path and query string.
    :param headers: further headers.
    :param body_bytes: size of the body.
    :param aim_ms: an answer until then counts in full, in milliseconds.
    :param timeout_ms: time that the system is given, in milliseconds.
    :param give_up_ms: when callers that lose patience close the connection; 0 for
        never.
    :param give_up_share: part of the callers that do.
    :param retries: how often a caller sends a refused request again.
    :param waits_as_told: whether it waits as ``Retry-After`` says; else it repeats at
        once, as abusive callers do.
    """

    name: str = attrs.field(validator=check_name)
    share: float = positive(1.0)
    method: str = "GET"
    path: str = "/"
    headers: dict[str, str] = attrs.field(factory=dict)
    body_bytes: int = not_negative(0)
    aim_ms: int = positive(1_000)
    timeout_ms: int = positive(5_000)
    give_up_ms: int = not_negative(0)
    give_up_share: float = attrs.field(default=0.0, validator=check_share)
    retries: int = not_negative(0)
    waits_as_told: bool = True


@attrs.frozen
class LoadSide:
    """A system that gets the load.

    :param name: its name in reports.
    :param addresses: caller addresses of its daemons, ``host:port`` each.
    """

    name: str = attrs.field(validator=check_name)
    addresses: list[str] = attrs.field(validator=[check_not_empty, check_addresses])


@attrs.frozen
class LoadSettings:
    """A whole load.

    Each slice is played at one side after the other with the same arrivals, and which
    one is first alternates, so that a machine whose speed changes favours neither.

    :param sides: one system, or two to compare.
    :param classes: the kinds of requests.
    :param slices: how often the load is repeated at each side.
    :param slice_s: length of a slice, in seconds.
    :param warmup_s: requests of a slice that arrive before are not measured.
    :param seed: seed of arrivals, classes and choice of daemons.
    """

    sides: list[LoadSide] = attrs.field(validator=check_not_empty)
    classes: list[LoadClass] = attrs.field(validator=check_not_empty)
    arrivals: ArrivalSettings = attrs.field(factory=ArrivalSettings)
    slices: int = positive(5)
    slice_s: float = positive(10.0)
    warmup_s: float = not_negative(1.0)
    seed: int = 1
