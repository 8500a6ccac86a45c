"""The fold of a claims stream: which claim holds each key.

Every daemon folds the same records in the same order and so finds the same holders.
"""

import sys
from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.models.claims import ClaimBatch, ClaimEntry, ClaimHolder


@attrs.define
class ClaimCapacity:
    """Room for claims, shared by all services of a daemon.

    :param remaining: number of further claims that can be remembered.
    """

    remaining: int


class ClaimFold:
    """The holders of one service's keys, in bounded memory.

    When there is no room for another key the fold is incomplete until all records
    that it left out have expired; an incomplete fold must decide nothing.

    :param capacity: number of keys that can be remembered.
    :param retention: how long the log keeps a record.
    """

    def __init__(self, capacity: ClaimCapacity, retention: timedelta) -> None:
        self.capacity = capacity
        self.retention = retention
        self.claims: OrderedDict[bytes, ClaimHolder] = OrderedDict()
        self.incomplete_until = timedelta()

    def find_holder(self, key: bytes) -> ClaimHolder | None:
        """Return who holds a key, or ``None``."""
        return self.claims.get(key)

    def is_complete(self, now: timedelta) -> bool:
        """Tell whether no record was left out that the log still keeps.

        :param now: monotonic time.
        """
        return now >= self.incomplete_until

    def apply(self, batch: ClaimBatch, entry: ClaimEntry, now: timedelta) -> None:
        """Take the next entry of the stream.

        :param now: monotonic time when it was read.
        """
        holder = self.find_holder(entry.key)
        if entry.released:
            if holder is not None and matches_claim(holder, batch.boot_id, entry):
                self.remove(entry.key)
            return
        if holder is not None:
            return
        self.remove_expired(now)
        expires = now + self.retention
        if self.capacity.remaining <= 0:
            self.incomplete_until = expires
            return
        self.capacity.remaining -= 1
        # Few daemons make all the claims, so their names are kept once.
        daemon_id, boot_id = sys.intern(batch.daemon_id), sys.intern(batch.boot_id)
        self.claims[entry.key] = ClaimHolder(entry.serial, daemon_id, boot_id, expires)

    def remove_expired(self, now: timedelta) -> None:
        """Forget claims that the log has forgotten.

        :param now: monotonic time.
        """
        while self.claims:
            key, holder = next(iter(self.claims.items()))
            if holder.expires > now:
                return
            self.remove(key)

    def remove(self, key: bytes) -> None:
        """Forget the claim that holds a key."""
        del self.claims[key]
        self.capacity.remaining += 1

    def clear(self) -> None:
        """Forget all claims, because newer records than these have expired."""
        self.capacity.remaining += len(self.claims)
        self.claims.clear()


def matches_claim(holder: ClaimHolder, boot_id: str, entry: ClaimEntry) -> bool:
    """Tell whether a key is held by a certain claim.

    :param boot_id: run of the process that made the claim.
    """
    return holder.boot_id == boot_id and holder.serial == entry.serial
