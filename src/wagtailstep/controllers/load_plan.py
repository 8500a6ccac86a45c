"""Generation of the requests of a load test and of their arrival times."""

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
    """One request of a time slice.

    :param at_s: arrival time in seconds since the start of the slice.
    :param request_class: class that the request belongs to.
    :param daemon_draw: random number in [0, 1) that selects one of the daemons.
    :param cancels_early: whether its caller cancels it before its timeout.
    """

    at_s: float
    request_class: LoadClass
    daemon_draw: float
    cancels_early: bool


def plan_slice(settings: LoadSettings, slice_number: int) -> list[Arrival]:
    """Generate the arrivals of a slice, which depend only on seed and slice number."""
    rng = random.Random(f"{settings.seed}/{slice_number}")
    shares = [request_class.share for request_class in settings.classes]
    max_rate = compute_max_rate(settings.arrivals)
    arrivals = []
    at_s = rng.expovariate(max_rate)
    while at_s < settings.slice_s:
        # Thinning: arrivals are drawn at the maximum rate and kept with probability
        # rate / max_rate.
        if rng.random() * max_rate < compute_rate(settings.arrivals, at_s):
            (request_class,) = rng.choices(settings.classes, shares)
            cancels_early = (
                bool(request_class.give_up_ms)
                and rng.random() < request_class.give_up_share
            )
            arrivals.append(Arrival(at_s, request_class, rng.random(), cancels_early))
        at_s += rng.expovariate(max_rate)
    return arrivals


def compute_rate(arrivals: ArrivalSettings, at_s: float) -> float:
    """Return the arrival rate at a time within a slice, in requests per second."""
    if arrivals.shape == WAVE:
        phase = 2 * math.pi * at_s / arrivals.period_s
        return arrivals.rate_per_s * (1 + arrivals.swing * math.sin(phase))
    if arrivals.shape == BURST and 0 <= at_s - arrivals.burst_at_s < (
        arrivals.burst_for_s
    ):
        return arrivals.rate_per_s * arrivals.burst_factor
    return arrivals.rate_per_s


def compute_max_rate(arrivals: ArrivalSettings) -> float:
    """Return the maximum arrival rate of a shape, in requests per second."""
    if arrivals.shape == WAVE:
        return arrivals.rate_per_s * (1 + arrivals.swing)
    if arrivals.shape == BURST:
        return arrivals.rate_per_s * max(1.0, arrivals.burst_factor)
    return arrivals.rate_per_s


def order_sides(settings: LoadSettings, slice_number: int) -> list[int]:
    """Return the indices of the sides in the order in which a slice runs at them."""
    indices = list(range(len(settings.sides)))
    return indices if slice_number % 2 == 0 else indices[::-1]
