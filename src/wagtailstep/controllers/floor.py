"""Arithmetic of the floor: which targets may be out of service at once.

Everything here is a pure function of its arguments, so that two daemons with the
same arguments reach the same result. Sums are correctly rounded (``math.fsum``)
and so don't depend on the order of the weights.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence


def sum_in_service(weights: Mapping[str, float], excluded: Collection[str]) -> float:
    """Return the weight that remains without the targets in ``out``.

    :param weights: weight by ``target_id`` of all targets that take work.
    :param out: targets to leave out; ones without a weight are ignored.
    """
    return math.fsum(weight for name, weight in weights.items() if name not in excluded)


def select_removable(
    weights: Mapping[str, float], worst_first: Iterable[str], floor: float
) -> list[str]:
    """Choose the targets that may be avoided without going below the floor.

    A target that would break the floor is skipped, and later ones are still
    tried. Targets of no weight are always removable. If the weight is below the
    floor before anything is removed, no target with weight is removable.

    :param weights: weight by ``target_id`` of all targets that take work.
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
    """Choose the targets that must come back so that the floor holds.

    The result is always a prefix of ``oldest_first``. Daemons that know
    different weights thus return prefixes of one sequence, and the union of what
    they leave out is what one of them leaves out.

    :param weights: weight by ``target_id`` of all targets that take work.
    :param oldest_first: targets that are out, in the order of the log.
    :param floor: weight that must be in service.
    :return: the shortest prefix that restores the floor, or all of them.
    """
    for count in range(len(oldest_first) + 1):
        remaining = set(oldest_first[count:])
        if sum_in_service(weights, remaining) >= floor:
            return list(oldest_first[:count])
    return list(oldest_first)
