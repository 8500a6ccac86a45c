"""The deterministic fold of a stream of ejection claims.

Two readers that have read the same records hold the same targets to be out.
"""

import enum
from typing import Any

import attrs

from wagtailstep.controllers.floor import sum_in_service
from wagtailstep.models.ejection import Ejection, EjectionClaim, EjectionReturn


class FoldResult(enum.Enum):
    """What became of one record."""

    EJECTED = "ejected"
    RENEWED = "renewed"
    RETURNED = "returned"
    REFUSED_FLOOR = "refused-floor"
    REFUSED_OLD_TABLE = "refused-old-table"
    REFUSED_RETURNED_SINCE = "refused-returned-since"
    IGNORED = "ignored"


@attrs.define
class EjectionFold:
    """Targets out of service by the records read so far.

    :param out: ejections by ``target_id``, the longest out first.
    :param returned: offset of the latest return by ``target_id``.
    :param table_version: highest table version that any claim was judged by.
    :param next_offset: first offset that was not read.
    """

    out: dict[str, Ejection] = attrs.field(factory=dict)
    returned: dict[str, int] = attrs.field(factory=dict)
    table_version: int = 0
    next_offset: int = 0

    def apply(self, offset: int, record: Any) -> FoldResult:
        """Take one record of the stream.

        :param offset: its offset; records are taken in the order of offsets.
        :param record: the decoded record; unknown ones are ignored.
        """
        self.next_offset = offset + 1
        if isinstance(record, EjectionClaim):
            return self.apply_claim(offset, record)
        if isinstance(record, EjectionReturn):
            return self.apply_return(offset, record)
        return FoldResult.IGNORED

    def apply_claim(self, offset: int, claim: EjectionClaim) -> FoldResult:
        """Eject or renew the claimed target unless that breaks the floor."""
        if claim.table_version < self.table_version:
            return FoldResult.REFUSED_OLD_TABLE
        self.table_version = claim.table_version
        if self.returned.get(claim.target_id, -1) >= claim.basis_offset:
            return FoldResult.REFUSED_RETURNED_SINCE
        if not self.leaves_floor(claim):
            return FoldResult.REFUSED_FLOOR
        current = self.out.get(claim.target_id)
        since = offset if current is None else current.since_offset
        self.out[claim.target_id] = Ejection(
            target_id=claim.target_id,
            claim_id=claim.claim_id,
            claimant=claim.claimant,
            incarnation=claim.incarnation,
            since_offset=since,
            consecutive_ejections=claim.strikes,
        )
        return FoldResult.EJECTED if current is None else FoldResult.RENEWED

    def leaves_floor(self, claim: EjectionClaim) -> bool:
        """Tell whether the floor holds with the claimed target out.

        Counted as out is whatever any reader that is fresh enough may still hold
        to be out: targets out here, out in the claimant's fold, or returned so
        lately that not every reader has surely read it.
        """
        if claim.target_id not in claim.weights:
            return False
        counted = {*self.out, *claim.out, claim.target_id}
        counted.update(
            name
            for name, offset in self.returned.items()
            if offset >= claim.settled_offset
        )
        return sum_in_service(claim.weights, counted) >= claim.floor

    def apply_return(self, offset: int, record: EjectionReturn) -> FoldResult:
        """Put a target back if the claim that is ended is the one in force."""
        current = self.out.get(record.target_id)
        if current is None or current.claim_id != record.claim_id:
            return FoldResult.IGNORED
        del self.out[record.target_id]
        self.returned[record.target_id] = offset
        return FoldResult.RETURNED
