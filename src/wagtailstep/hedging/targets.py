"""Selects the target of a hedge."""

from collections.abc import Collection

from wagtailstep.controllers.candidates import CandidatePool
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.exceptions import NoTargetError
from wagtailstep.models.fleet import MemberState, Target, TargetStanding


def is_path_suspect(routing: RoutingController, target: Target) -> bool:
    """Return whether the network path to a target may be the cause of a delay."""
    board = routing.blackboard
    member = board.members.get(target.daemon_id)
    if member is None or member.state is not MemberState.ALIVE:
        return True
    health = board.health.get(target.target_id)
    return health is not None and health.avoided


def select_hedge_target(
    routing: RoutingController, service: str, tried: Collection[str], slow: Target
) -> Target | None:
    """Return an untried target for a hedge, or ``None`` if there is none.

    Routing selects it. If the path to the slow copy is suspect, a healthy target in
    another zone goes first, since targets of one zone share most of the path.

    :param slow: target of the first copy.
    """
    try:
        if is_path_suspect(routing, slow):
            elsewhere = [
                candidate
                for candidate in routing.get_pool(service, fresh=True).candidates
                if candidate.target.target_id not in tried
                and candidate.target.availability_zone != slow.availability_zone
                and candidate.target.standing is TargetStanding.GOOD
                and not candidate.is_avoided
                and not is_path_suspect(routing, candidate.target)
            ]
            if elsewhere:
                pool = CandidatePool(elsewhere, routing.clock.monotonic())
                drawn = pool.draw(routing.rng)
                return routing.choose_cheaper(*drawn, pool.mean_weight).target
        target = routing.pick_untried(service, tried)
    except NoTargetError:
        return None
    return None if target.target_id in tried else target
