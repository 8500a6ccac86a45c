"""Log records that eject targets for the whole fleet and return them to service."""

import attrs

from wagtailstep.utils.codec import message

STREAM_PREFIX = "ejections."


def ejection_stream(service: str) -> str:
    """Return the name of the log stream with the ejections of a service."""
    return STREAM_PREFIX + service


@message
@attrs.frozen
class EjectionClaim:
    """Eject a target, or renew its ejection.

    The claim carries all inputs of the decision, so that every reader of the stream
    reaches the same result regardless of what it knows itself.

    :param claim_id: unique identifier of the claim.
    :param claimant: ``daemon_id`` of the daemon responsible for the ejection.
    :param target_id: the target.
    :param incarnation: incarnation of the target that was found unhealthy.
    :param reason: symptom and route; for display only.
    :param strikes: consecutive ejections of this target, including this one.
    :param weights: weight by ``target_id`` of all targets that are serving as far as
        the claimant knows, including ejected ones.
    :param out: targets that were ejected by the claimant's fold.
    :param floor: weight that must stay in service, from the claimant's table.
    :param table_version: version of that table.
    :param basis_offset: first offset of the stream that the claimant had not read yet.
    :param settled_offset: offset before which the claimant had read all records at
        least :data:`wagtailstep.controllers.ejection_state.SETTLE_MS` earlier.
    """

    claim_id: str
    claimant: str
    target_id: str
    incarnation: int
    reason: str
    strikes: int
    weights: dict[str, float]
    out: tuple[str, ...]
    floor: float
    table_version: int
    basis_offset: int
    settled_offset: int


@message
@attrs.frozen
class EjectionReturn:
    """Return an ejected target to service.

    :param target_id: the target.
    :param daemon_id: the daemon that returns the target.
    :param claim_id: the claim that ends; the record is ignored if another claim has
        replaced it.
    :param reason: why, in kebab case.
    """

    target_id: str
    daemon_id: str
    claim_id: str
    reason: str


@attrs.frozen
class Ejection:
    """A target that is ejected according to the fold of its stream.

    :param target_id: the target.
    :param claim_id: identifier of the claim in force, which is the latest renewal.
    :param claimant: ``daemon_id`` of the daemon responsible for the ejection.
    :param incarnation: incarnation of the target that was found unhealthy.
    :param since_offset: offset of the first claim.
    :param consecutive_ejections: ejections of this target in a row.
    """

    target_id: str
    claim_id: str
    claimant: str
    incarnation: int
    since_offset: int
    consecutive_ejections: int
