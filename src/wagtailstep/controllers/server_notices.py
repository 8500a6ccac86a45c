"""Follow what backend servers say of themselves in their responses."""

import random
from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any

import attrs

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import RecordEvent
from wagtailstep.models.fleet import Target
from wagtailstep.models.server_notices import (
    NO_RATE_LIMIT,
    RememberedNotices,
    ServerNotices,
    ServerNoticesForwarded,
    ServerNoticesReceived,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import Clock

# Number of servers whose notices one daemon remembers.
MAX_REMEMBERED = 1_024


class ServerNoticesController:
    """Writes the rate limits of local targets, and what the entry passed on.

    The gate's knowledge travels to all entries with the target. The memory of the entry
    outlives the gate: this daemon stays bound by what it passed on.

    :param blackboard: ``rate_limit`` of local targets and ``server_notices`` are
        written.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.blackboard = blackboard
        self.order: OrderedDict[str, None] = OrderedDict()

    @singledispatchmethod
    def handle(self, event: Any) -> list[Any]:
        """Ignore an event without notices."""
        return []

    @handle.register
    def _(self, event: ServerNoticesReceived) -> list[Any]:
        target = self.blackboard.targets.get(event.target_id)
        rate = event.notices.rate_limit
        if target is None or event.target_id not in self.blackboard.local_targets:
            return []
        if rate is None or rate == target.rate_limit:
            return []
        if rate == NO_RATE_LIMIT and not event.executed:
            return []
        updated = attrs.evolve(target, rate_limit=rate)
        self.blackboard.targets[event.target_id] = updated
        fields = {
            "target": event.target_id,
            "rate_per_s": f"{rate:g}",
            "previous_per_s": f"{target.rate_limit:g}",
        }
        return [RecordEvent("target-rate-limit", fields)]

    @handle.register
    def _(self, event: ServerNoticesForwarded) -> list[Any]:
        target = self.blackboard.targets.get(event.target_id)
        if target is None:
            return []
        known = get_remembered(self.blackboard, target)
        updated = merge_notices(known, target, event.notices)
        is_empty = updated.rate_limit == NO_RATE_LIMIT and not updated.leaving
        if updated == known or (known is None and is_empty):
            return []
        self._remember(event.target_id, updated)
        fields = {
            "target": event.target_id,
            "rate_per_s": f"{updated.rate_limit:g}",
            "leaving": str(updated.leaving).lower(),
        }
        return [RecordEvent("server-notices-forwarded", fields)]

    def _remember(self, target_id: str, notices: RememberedNotices) -> None:
        remembered = self.blackboard.server_notices
        remembered[target_id] = notices
        self.order[target_id] = None
        self.order.move_to_end(target_id)
        while len(self.order) > MAX_REMEMBERED:
            oldest, _ = self.order.popitem(last=False)
            del remembered[oldest]


def merge_notices(
    known: RememberedNotices | None, target: Target, notices: ServerNotices
) -> RememberedNotices:
    """Return what is known of a server after one more response.

    A limit ends with a response that names none; a server that leaves never returns.
    """
    rate = notices.rate_limit
    if rate is None:
        rate = known.rate_limit if known is not None else NO_RATE_LIMIT
    leaving = notices.leaving or (known is not None and known.leaving)
    return RememberedNotices(target.incarnation, target.process_started, rate, leaving)


def get_remembered(board: Blackboard, target: Target) -> RememberedNotices | None:
    """Return what this daemon passed on from a server's process, if anything."""
    remembered = board.server_notices.get(target.target_id)
    if remembered is None:
        return None
    if not remembered.applies_to(target.incarnation, target.process_started):
        return None
    return remembered


def has_said_leaving(board: Blackboard, target: Target) -> bool:
    """Return whether this daemon passed on that a server leaves."""
    remembered = get_remembered(board, target)
    return remembered is not None and remembered.leaving


def get_rate_limit(board: Blackboard, target: Target) -> float:
    """Return the rate limit of a target; ``NO_RATE_LIMIT`` if none is known.

    The gate knows it best, unless it has restarted since this daemon passed it on.
    """
    if target.rate_limit != NO_RATE_LIMIT:
        return target.rate_limit
    remembered = get_remembered(board, target)
    if remembered is None or remembered.incarnation == target.incarnation:
        return NO_RATE_LIMIT
    return remembered.rate_limit
