"""Faults that the detection benchmark injects, and how targets behave under them."""

import enum

import attrs

ROUTES = (("lookup", 0.70, 0.015), ("sign", 0.20, 0.030), ("deposit", 0.10, 0.040))
BACKGROUND_ERRORS = 0.002
LATENCY_SIGMA = 0.5
MEAN_PAUSE_INTERVAL_S = 60.0
MAX_PAUSE_S = 0.25


class Fault(enum.Enum):
    """Types of faults in issue 5; the values name them in the results."""

    NONE = "none"
    FAILS_WORK = "fails-work"
    HANGS = "hangs"
    ONE_ROUTE = "one-route"
    STRAGGLER_3 = "straggler-3x"
    STRAGGLER_10 = "straggler-10x"
    FLAP_1 = "flapping-1s"
    FLAP_5 = "flapping-5s"
    FLAP_30 = "flapping-30s"
    PARTITION_TO = "partition-to-target"
    PARTITION_FROM = "partition-from-target"
    ZONE_SLOW = "zone-slow"
    OVERLOAD = "overload"
    COLD_START = "cold-start"
    LYING_LOAD = "lying-load-endpoint"
    SILENT = "silent-connections"
    TWO = "two-together"


HARD_FAULTS = (
    Fault.FAILS_WORK,
    Fault.HANGS,
    Fault.ONE_ROUTE,
    Fault.FLAP_1,
    Fault.FLAP_5,
    Fault.FLAP_30,
    Fault.TWO,
)
PARTITIONS = (Fault.PARTITION_TO, Fault.PARTITION_FROM)
FAULTS_WITHOUT_FAULTY_TARGET = (
    Fault.NONE,
    Fault.ZONE_SLOW,
    Fault.OVERLOAD,
    Fault.COLD_START,
    Fault.LYING_LOAD,
    Fault.SILENT,
)
FLAP_PERIOD_S = {Fault.FLAP_1: 1.0, Fault.FLAP_5: 5.0, Fault.FLAP_30: 30.0}
OVERLOAD_FACTOR = 12.0
COLD_START_S = 10.0


@attrs.frozen
class Behaviour:
    """What happens to one request at a target.

    :param failed: whether the backend server responds with an error.
    :param factor: multiplies the service time.
    :param lost: whether no response arrives.
    """

    failed: bool = False
    factor: float = 1.0
    lost: bool = False


def get_fault_behaviour(
    fault: Fault, age_s: float, route: str, draw: float, is_second_target: bool
) -> Behaviour:
    """Return what happens to a request at a faulty target.

    :param age_s: seconds since the onset of the fault.
    :param draw: random number from 0 to 1 that decides whether the request fails.
    :param is_second_target: whether this is the second of two faulty targets; it is
        slow instead.
    """
    if is_second_target:
        return Behaviour(factor=10.0)
    if fault in (Fault.FAILS_WORK, Fault.TWO):
        return Behaviour(failed=draw < 0.95)
    if fault is Fault.HANGS:
        return Behaviour(lost=True)
    if fault is Fault.ONE_ROUTE:
        return Behaviour(failed=route == "sign")
    if fault is Fault.STRAGGLER_3:
        return Behaviour(factor=3.0)
    if fault is Fault.STRAGGLER_10:
        return Behaviour(factor=10.0)
    if fault in FLAP_PERIOD_S:
        period = FLAP_PERIOD_S[fault]
        is_failing = age_s % period < period / 2
        return Behaviour(failed=is_failing and draw < 0.95)
    if fault is Fault.SILENT:
        return Behaviour(lost=age_s < 10.0 and draw < 0.3)
    if fault is Fault.COLD_START:
        return Behaviour(factor=1 + 4 * max(0.0, 1 - age_s / COLD_START_S))
    if fault is Fault.ZONE_SLOW:
        return Behaviour(factor=3.0)
    return Behaviour()
