"""Which requests a load consists of, and when they arrive."""

import math
import random

import attrs

from wagtailstep.models.load_settings import (
    BURST,
    WAVE,
    ArrivalSettings,
    LoadClass,
    LoadSettings,
)


@attrs.frozen
class Arrival:
    """One request of a slice.

    :param at_s: when it arrives, in seconds since the slice began.
    :param kind: what is asked for.
    :param draw: chooses one of the daemons; from 0 to below 1.
    :param loses_patience: whether its caller gives up early.
    """

    at_s: float
    kind: LoadClass
    draw: float
    loses_patience: bool


def plan_slice(settings: LoadSettings, number: int) -> list[Arrival]:
    """Draw the arrivals of a slice; they depend on the seed and its number alone."""
    rng = random.Random(f"{settings.seed}/{number}")
    shares = [kind.share for kind in settings.classes]
    most = find_highest_rate(settings.arrivals)
    arrivals = []
    at_s = rng.expovariate(most)
    while at_s < settings.slice_s:
        # Thinning: of arrivals at the highest rate as many are kept as the rate says.
        if rng.random() * most < find_rate(settings.arrivals, at_s):
            (kind,) = rng.choices(settings.classes, shares)
            gives_up = bool(kind.give_up_ms) and rng.random() < kind.give_up_share
            arrivals.append(Arrival(at_s, kind, rng.random(), gives_up))
        at_s += rng.expovariate(most)
    return arrivals


def find_rate(arrivals: ArrivalSettings, at_s: float) -> float:
    """Return the rate at a moment of a slice, in requests a second."""
    if arrivals.shape == WAVE:
        phase = 2 * math.pi * at_s / arrivals.period_s
        return arrivals.rate_per_s * (1 + arrivals.swing * math.sin(phase))
    if arrivals.shape == BURST and 0 <= at_s - arrivals.burst_at_s < (
        arrivals.burst_for_s
    ):
        return arrivals.rate_per_s * arrivals.burst_factor
    return arrivals.rate_per_s


def find_highest_rate(arrivals: ArrivalSettings) -> float:
    """Return the highest rate of a shape, in requests a second."""
    if arrivals.shape == WAVE:
        return arrivals.rate_per_s * (1 + arrivals.swing)
    if arrivals.shape == BURST:
        return arrivals.rate_per_s * max(1.0, arrivals.burst_factor)
    return arrivals.rate_per_s


def order_sides(settings: LoadSettings, number: int) -> list[int]:
    """Return the indices of the sides in the order in which a slice is played."""
    indices = list(range(len(settings.sides)))
    return indices if number % 2 == 0 else indices[::-1]
