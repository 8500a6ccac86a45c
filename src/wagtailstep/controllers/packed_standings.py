"""Standings of all targets beside one daemon, packed into one number for digests.

Standings change with single failures, so in a large fleet they change all the time.
As part of the heartbeats they cost no message of their own.
"""

from collections.abc import Iterable

import attrs

from wagtailstep.models.fleet import Target, TargetStanding

BITS_PER_TARGET = 2
# The number is sent as a 64-bit integer; further targets keep the standing of the last
# full update.
MAX_PACKED_TARGETS = 31
MAX_PACKED_STANDINGS = (1 << BITS_PER_TARGET * MAX_PACKED_TARGETS) - 1
NO_STANDINGS = -1


def limit_standing(target: Target) -> Target:
    """Return a target as other daemons should know it: doubted if it is failing.

    A gate keeps requests from a failing server for a time shorter than that in which
    a digest reaches all daemons, and refuses in that time by itself.
    """
    if target.standing is not TargetStanding.FAILING:
        return target
    return attrs.evolve(target, standing=TargetStanding.DOUBTED)


def pack_standings(targets: Iterable[Target]) -> int:
    """Return the standings of a daemon's targets, in the order of its updates."""
    packed = 0
    for position, target in enumerate(targets):
        if position < MAX_PACKED_TARGETS:
            packed |= target.standing << BITS_PER_TARGET * position
    return packed


def unpack_standing(packed: int, position: int) -> TargetStanding:
    """Return the standing of the target at a position."""
    mask = (1 << BITS_PER_TARGET) - 1
    return TargetStanding(packed >> BITS_PER_TARGET * position & mask)


def apply_standings(
    targets: tuple[Target, ...], positions: dict[str, int], packed: int
) -> tuple[Target, ...]:
    """Return targets with packed standings.

    :param positions: position of each target among all targets of its daemon, by
        ``target_id``; targets without one are returned unchanged.
    :param packed: the standings; a negative number leaves all unchanged.
    """
    if packed < 0:
        return targets
    updated = []
    for target in targets:
        position = positions.get(target.target_id, MAX_PACKED_TARGETS)
        if 0 <= position < MAX_PACKED_TARGETS:
            standing = unpack_standing(packed, position)
            if standing is not target.standing:
                target = attrs.evolve(target, standing=standing)
        updated.append(target)
    return tuple(updated)


def differ_in_standing_only(
    targets: tuple[Target, ...], others: tuple[Target, ...]
) -> bool:
    """Return whether two lists hold the same targets if standings are ignored."""
    if len(targets) > MAX_PACKED_TARGETS:
        return False
    return remove_standings(targets) == remove_standings(others)


def remove_standings(targets: tuple[Target, ...]) -> list[Target]:
    """Return the targets with a good standing each."""
    return [attrs.evolve(each, standing=TargetStanding.GOOD) for each in targets]
