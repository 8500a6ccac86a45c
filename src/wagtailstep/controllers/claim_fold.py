"""State rebuilt from a claims stream: which claim holds each key.

Every daemon applies the same records in the same order and so gets the same holders.
"""

import sys
from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.models.claims import ClaimBatch, ClaimEntry, ClaimHolder


@attrs.define
class ClaimCapacity:
    """Limit on stored claims, shared by all services of a daemon.

    :param remaining: number of further claims that can be stored.
    """

    remaining: int


class ClaimFold:
    """The holders of one service's keys, in bounded memory.

    A claim that exceeds the capacity is skipped. The fold is then incomplete until
    all skipped records have expired, and nothing may be decided by it meanwhile.

    :param capacity: number of keys that can be stored.
    :param retention: how long the log keeps a record.
    """

    def __init__(self, capacity: ClaimCapacity, retention: timedelta) -> None:
        self.capacity = capacity
        self.retention = retention
        self.claims: OrderedDict[bytes, ClaimHolder] = OrderedDict()
        self.incomplete_until = timedelta()

    def find_holder(self, key: bytes) -> ClaimHolder | None:
        """Return the holder of a key, or ``None``."""
        return self.claims.get(key)

    def is_complete(self, now: timedelta) -> bool:
        """Return whether no skipped record is still in the log.

        :param now: monotonic time.
        """
        return now >= self.incomplete_until

    def apply(self, batch: ClaimBatch, entry: ClaimEntry, now: timedelta) -> None:
        """Apply the next entry of the stream.

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
        # All claims come from few daemons, so each identifier is stored only once.
        daemon_id, boot_id = sys.intern(batch.daemon_id), sys.intern(batch.boot_id)
        self.claims[entry.key] = ClaimHolder(entry.serial, daemon_id, boot_id, expires)

    def remove_expired(self, now: timedelta) -> None:
        """Remove the claims whose records the log has expired.

        :param now: monotonic time.
        """
        while self.claims:
            key, holder = next(iter(self.claims.items()))
            if holder.expires > now:
                return
            self.remove(key)

    def remove(self, key: bytes) -> None:
        """Remove the claim that holds a key."""
        del self.claims[key]
        self.capacity.remaining += 1

    def clear(self) -> None:
        """Remove all claims, because records newer than theirs have expired."""
        self.capacity.remaining += len(self.claims)
        self.claims.clear()


def matches_claim(holder: ClaimHolder, boot_id: str, entry: ClaimEntry) -> bool:
    """Return whether a holder is a given claim.

    :param boot_id: identifies the process run that made the claim.
    """
    return holder.boot_id == boot_id and holder.serial == entry.serial
