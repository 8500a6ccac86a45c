"""What a daemon knows of the backend servers that were announced to it."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import attrs

# Backend servers, past ones too, whose late announcements are recognized. One instance
# sees a few a day.
MAX_REGISTRATIONS = 64


@attrs.define
class Registration:
    """The newest announcement of a backend server, kept after it has left.

    :param born: when its process started, as in ``TargetAnnounced.born``.
    :param sequence: number of the announcement.
    :param has_departed: whether that process has announced that it leaves.
    :param departure_settled: whether its departure is recorded, or no announcement
        from before can arrive any more.
    :param expires_at: monotonic time when it is removed; ``None`` for never.
    """

    born: int = 0
    sequence: int = 0
    has_departed: bool = False
    departure_settled: bool = False
    expires_at: timedelta | None = None

    def apply_announcement(self, born: int, sequence: int) -> bool:
        """Record an announcement.

        :return: whether it is newer than all previous ones.
        """
        if born and born < self.born:
            return False
        if born > self.born:
            self.born, self.sequence = born, sequence
            self.has_departed = self.departure_settled = False
            self.expires_at = None
            return True
        if sequence and sequence <= self.sequence:
            return False
        self.sequence = sequence
        return True


class Registrations:
    """The registrations of targets, the newest last, in a limited number.

    :param is_needed: returns whether a lease or a departure needs the registration of
        a target, which is then not dropped.
    """

    def __init__(self, is_needed: Callable[[str], bool]) -> None:
        self.is_needed = is_needed
        self.by_target: OrderedDict[str, Registration] = OrderedDict()

    def find_or_add(self, target_id: str) -> Registration | None:
        """Return the registration of a target, which is the newest one from now on.

        The oldest one that isn't needed is dropped if there are too many.

        :return: ``None`` if there is no room. That excludes a target only while
            ``MAX_REGISTRATIONS`` others have a lease or have just departed. A lease
            that isn't renewed ends after ``announce_lease_ms`` and the drain limit of
            its service, a departure after ``MAX_ANNOUNCEMENT_DELAY``.
        """
        if target_id not in self.by_target:
            if len(self.by_target) >= MAX_REGISTRATIONS:
                unneeded = (n for n in self.by_target if not self.is_needed(n))
                dropped = next(unneeded, None)
                if dropped is None:
                    return None
                del self.by_target[dropped]
            self.by_target[target_id] = Registration()
        self.by_target.move_to_end(target_id)
        return self.by_target[target_id]

    def find_names(self, instance_id: str) -> list[str]:
        """Return the targets that a backend server was announced as.

        :param instance_id: target identifier without the service.
        """
        names = self.by_target
        return [name for name in names if name.partition("/")[2] == instance_id]

    def expire(self, now: timedelta) -> None:
        """Remove registrations after their time, unless they are needed.

        :param now: monotonic time.
        """
        for name, registration in list(self.by_target.items()):
            expires_at = registration.expires_at
            if expires_at is not None and now >= expires_at:
                if not self.is_needed(name):
                    del self.by_target[name]
