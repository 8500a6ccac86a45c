"""Settings of a load test of one system, or a comparison of two."""

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
    """Reject a value that is not a share from 0 to 1.

    :raises SettingValueError: if the value is below 0 or above 1.
    """
    if not 0 <= value <= 1:
        raise SettingValueError(
            attribute.name, f"{value!r} is not allowed; give a share from 0 to 1"
        )


def check_not_empty(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    """Reject an empty list.

    :raises SettingValueError: if it is empty.
    """
    if not value:
        raise SettingValueError(attribute.name, "is empty; give at least one")


@attrs.frozen
class ArrivalSettings:
    """When requests arrive; arrivals don't depend on responses (open loop).

    :param rate_per_s: requests a second on average, without a burst.
    :param shape: ``steady``, ``wave`` (a sine around the rate) or ``burst`` (a
        temporarily higher rate).
    :param swing: amplitude of a wave as a fraction of the rate.
    :param period_s: length of a wave, in seconds.
    :param burst_at_s: when a burst begins in each slice, in seconds.
    :param burst_for_s: how long it lasts, in seconds.
    :param burst_factor: factor on the rate during a burst.
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
    """A class of similar requests.

    :param name: its name in reports.
    :param share: its share of all requests, relative to the shares of other classes.
    :param method: HTTP method; a ``GET`` request may be run twice.
    :param path: path and query string.
    :param headers: additional headers.
    :param body_bytes: size of the body.
    :param aim_ms: latency objective, in milliseconds.
    :param timeout_ms: time allowed to a request, in milliseconds.
    :param give_up_ms: time after which impatient callers close the connection, in
        milliseconds; 0 for never.
    :param give_up_share: fraction of the callers that are impatient.
    :param retries: how often a caller retries a refused request.
    :param waits_as_told: whether a caller waits as ``Retry-After`` demands; otherwise
        it retries at once, as abusive callers do.
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
    """A system under test.

    :param name: its name in reports.
    :param addresses: caller addresses of its daemons, ``host:port`` each.
    """

    name: str = attrs.field(validator=check_name)
    addresses: list[str] = attrs.field(validator=[check_not_empty, check_addresses])


@attrs.frozen
class LoadSettings:
    """A complete load test.

    Each slice is run against one side and then the other with the same arrivals. The
    order alternates, so that changes in the speed of the machine favour neither side.

    :param sides: one system, or two to compare.
    :param classes: the classes of requests.
    :param slices: how often the load is repeated for each side.
    :param slice_s: length of a slice, in seconds.
    :param warmup_s: requests that arrive this early in a slice are not counted, in
        seconds.
    :param seed: seed of arrivals, classes and choice of daemons.
    """

    sides: list[LoadSide] = attrs.field(validator=check_not_empty)
    classes: list[LoadClass] = attrs.field(validator=check_not_empty)
    arrivals: ArrivalSettings = attrs.field(factory=ArrivalSettings)
    slices: int = positive(5)
    slice_s: float = positive(10.0)
    warmup_s: float = not_negative(1.0)
    seed: int = 1
