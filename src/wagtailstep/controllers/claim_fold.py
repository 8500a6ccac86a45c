"""The fold of a claims stream: which claim holds each key.

Every daemon folds the same records in the same order and so finds the same holders.
"""

from collections import OrderedDict
from datetime import timedelta

import attrs

from wagtailstep.models.claims import ClaimBatch, ClaimEntry, ClaimHolder


@attrs.frozen
class FoldedClaim:
    """A held key.

    :param holder: who holds it.
    :param expires: monotonic time when the log has forgotten the claim, too.
    """

    holder: ClaimHolder
    expires: timedelta


class ClaimFold:
    """The holders of one service's keys, in bounded memory.

    When there is no room for another key the fold is incomplete until all records
    that it left out have expired; an incomplete fold must decide nothing.

    :param capacity: number of keys remembered.
    :param retention: how long the log keeps a record.
    """

    def __init__(self, capacity: int, retention: timedelta) -> None:
        self.capacity = capacity
        self.retention = retention
        self.claims: OrderedDict[str, FoldedClaim] = OrderedDict()
        self.incomplete_until = timedelta()

    def find_holder(self, key: str) -> ClaimHolder | None:
        """Return who holds a key, or ``None``."""
        folded = self.claims.get(key)
        return None if folded is None else folded.holder

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
            if holder is not None and holder.claim_id == entry.claim_id:
                del self.claims[entry.key]
            return
        if holder is not None:
            return
        self.drop_expired(now)
        expires = now + self.retention
        if len(self.claims) >= self.capacity:
            self.incomplete_until = expires
            return
        new_holder = ClaimHolder(entry.claim_id, batch.daemon_id, batch.boot_id)
        self.claims[entry.key] = FoldedClaim(new_holder, expires)

    def drop_expired(self, now: timedelta) -> None:
        """Forget claims that the log has forgotten.

        :param now: monotonic time.
        """
        while self.claims:
            key, folded = next(iter(self.claims.items()))
            if folded.expires > now:
                return
            del self.claims[key]

    def clear(self) -> None:
        """Forget all claims, because newer records than these have expired."""
        self.claims.clear()
