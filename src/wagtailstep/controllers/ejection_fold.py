"""Deterministic fold of a stream of ejection claims.

Readers that have applied the same records agree on which targets are ejected.
"""

import enum
from typing import Any

import attrs

from wagtailstep.controllers.floor import sum_in_service
from wagtailstep.models.ejection import Ejection, EjectionClaim, EjectionReturn


class FoldResult(enum.Enum):
    """Outcome of applying one record."""

    EJECTED = "ejected"
    RENEWED = "renewed"
    RETURNED = "returned"
    REFUSED_FLOOR = "refused-floor"
    REFUSED_OLD_TABLE = "refused-old-table"
    REFUSED_RETURNED_SINCE = "refused-returned-since"
    IGNORED = "ignored"


@attrs.define
class EjectionFold:
    """Ejections in force after the records applied so far.

    :param ejections: ejections by ``target_id``, in the order of their first claims.
    :param return_offsets: offset of the latest return, by ``target_id``.
    :param table_version: highest table version that any claim was based on.
    :param next_offset: first offset that has not been applied.
    """

    ejections: dict[str, Ejection] = attrs.field(factory=dict)
    return_offsets: dict[str, int] = attrs.field(factory=dict)
    table_version: int = 0
    next_offset: int = 0

    def apply(self, offset: int, record: Any) -> FoldResult:
        """Apply one record of the stream.

        :param offset: its offset; records are applied in the order of offsets.
        :param record: the decoded record; unknown ones are ignored.
        """
        self.next_offset = offset + 1
        if isinstance(record, EjectionClaim):
            return self.apply_claim(offset, record)
        if isinstance(record, EjectionReturn):
            return self.apply_return(offset, record)
        return FoldResult.IGNORED

    def apply_claim(self, offset: int, claim: EjectionClaim) -> FoldResult:
        """Eject the claimed target or renew it, unless the claim is to be refused."""
        if claim.table_version < self.table_version:
            return FoldResult.REFUSED_OLD_TABLE
        self.table_version = claim.table_version
        if self.return_offsets.get(claim.target_id, -1) >= claim.basis_offset:
            return FoldResult.REFUSED_RETURNED_SINCE
        if not self.keeps_floor(claim):
            return FoldResult.REFUSED_FLOOR
        current = self.ejections.get(claim.target_id)
        since = offset if current is None else current.since_offset
        self.ejections[claim.target_id] = Ejection(
            target_id=claim.target_id,
            claim_id=claim.claim_id,
            claimant=claim.claimant,
            incarnation=claim.incarnation,
            since_offset=since,
            consecutive_ejections=claim.strikes,
        )
        return FoldResult.EJECTED if current is None else FoldResult.RENEWED

    def keeps_floor(self, claim: EjectionClaim) -> bool:
        """Return whether the floor holds with the claimed target ejected.

        Every target that some up-to-date reader may still treat as ejected counts
        as ejected: those ejected in this fold or in the claimant's, and those
        returned so recently that some readers may not have read the return.
        """
        if claim.target_id not in claim.weights:
            return False
        counted = {*self.ejections, *claim.out, claim.target_id}
        counted.update(
            name
            for name, offset in self.return_offsets.items()
            if offset >= claim.settled_offset
        )
        return sum_in_service(claim.weights, counted) >= claim.floor

    def apply_return(self, offset: int, record: EjectionReturn) -> FoldResult:
        """Return a target to service if the record ends the claim in force."""
        current = self.ejections.get(record.target_id)
        if current is None or current.claim_id != record.claim_id:
            return FoldResult.IGNORED
        del self.ejections[record.target_id]
        self.return_offsets[record.target_id] = offset
        return FoldResult.RETURNED
