"""The known targets, indexed by service."""

from collections.abc import Iterator, Mapping, MutableMapping

from wagtailstep.models.fleet import Target


class TargetMap(MutableMapping[str, Target]):
    """Targets by ``target_id``, with an index by service kept up to date.

    It is used like a ``dict``; finding the targets of one service does not look
    at the targets of other services.

    :param targets: targets to start with, by ``target_id``.
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
        of_service = self.by_service[target.service]
        del of_service[target_id]
        if not of_service:
            del self.by_service[target.service]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the identifiers."""
        return iter(self.by_id)

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self.by_id)

    def of_service(self, service: str) -> dict[str, Target]:
        """Return the targets of a service by ``target_id``; not to be changed."""
        return self.by_service.get(service, {})
