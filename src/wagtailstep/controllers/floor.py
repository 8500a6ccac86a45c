"""Arithmetic of the floor: which targets may be out of service at the same time.

All functions are pure, so that two daemons with the same arguments reach the same
result. Sums are correctly rounded (``math.fsum``) and so don't depend on the order of
the weights.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence


def sum_in_service(weights: Mapping[str, float], excluded: Collection[str]) -> float:
    """Return the total weight of the targets that are not in ``excluded``.

    :param weights: weight by ``target_id`` of all serving targets.
    :param excluded: targets to exclude; ones without a weight are ignored.
    """
    return math.fsum(weight for name, weight in weights.items() if name not in excluded)


def select_removable(
    weights: Mapping[str, float], worst_first: Iterable[str], floor: float
) -> list[str]:
    """Choose the targets that may be avoided without going below the floor.

    A target whose removal would break the floor is skipped, and later ones are still
    tried. Targets of zero weight are always removable. If the total weight is below
    the floor from the start, only targets of zero weight are removable.

    :param weights: weight by ``target_id`` of all serving targets.
    :param worst_first: targets to avoid, the worst first.
    :param floor: weight that must remain.
    :return: the removable ones, in the given order.
    """
    removed: dict[str, None] = {}
    for target_id in worst_first:
        if target_id not in weights or target_id in removed:
            continue
        keeps_floor = sum_in_service(weights, {*removed, target_id}) >= floor
        if keeps_floor or not weights[target_id]:
            removed[target_id] = None
    return list(removed)


def select_returns(
    weights: Mapping[str, float], oldest_first: Sequence[str], floor: float
) -> list[str]:
    """Choose the ejected targets that must return so that the floor holds.

    The result is always a prefix of ``oldest_first``. Daemons that know different
    weights thus choose prefixes of the same sequence, so the union of the targets
    that they keep ejected equals what one of them keeps ejected.

    :param weights: weight by ``target_id`` of all serving targets.
    :param oldest_first: ejected targets, in the order of the log.
    :param floor: weight that must be in service.
    :return: the shortest prefix that restores the floor, or all targets.
    """
    for count in range(len(oldest_first) + 1):
        remaining = set(oldest_first[count:])
        if sum_in_service(weights, remaining) >= floor:
            return list(oldest_first[:count])
    return list(oldest_first)
