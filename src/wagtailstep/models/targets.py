"""The known targets, indexed by service."""

from collections.abc import Iterator, Mapping, MutableMapping

from wagtailstep.models.fleet import Target


class TargetMap(MutableMapping[str, Target]):
    """Mapping of ``target_id`` to target, with an index by service.

    The cost of a lookup by service does not depend on the number of targets of other
    services.

    :param targets: initial targets by ``target_id``.
    """

    def __init__(self, targets: Mapping[str, Target] | None = None) -> None:
        self.by_id: dict[str, Target] = {}
        self.by_service: dict[str, dict[str, Target]] = {}
        self.update(targets or {})

    def __getitem__(self, target_id: str) -> Target:
        """Return a target by its identifier."""
        return self.by_id[target_id]

    def __setitem__(self, target_id: str, target: Target) -> None:
        """Add or replace a target."""
        known = self.by_id.get(target_id)
        if known is not None and known.service != target.service:
            del self[target_id]
        self.by_id[target_id] = target
        self.by_service.setdefault(target.service, {})[target_id] = target

    def __delitem__(self, target_id: str) -> None:
        """Remove a target."""
        target = self.by_id.pop(target_id)
        same_service = self.by_service[target.service]
        del same_service[target_id]
        if not same_service:
            del self.by_service[target.service]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the identifiers."""
        return iter(self.by_id)

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self.by_id)

    def of_service(self, service: str) -> dict[str, Target]:
        """Return the targets of a service by ``target_id``; read-only."""
        return self.by_service.get(service, {})
