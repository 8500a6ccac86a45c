"""Records that take targets out of service for the whole fleet and back."""

import attrs

from wagtailstep.utils.codec import message

STREAM_PREFIX = "ejections."


def ejection_stream(service: str) -> str:
    """Return the name of the log stream with the ejections of a service."""
    return STREAM_PREFIX + service


@message
@attrs.frozen
class EjectionClaim:
    """Take a target out of service, or renew that.

    The claim carries all that it was judged by, so that every reader of the
    stream comes to the same result without knowing any daemon's view.

    :param claim_id: unique identifier of the claim.
    :param claimant: ``daemon_id`` of the daemon that answers for the ejection.
    :param target_id: the target.
    :param incarnation: incarnation of the target that was judged.
    :param reason: symptom and route, for people to read.
    :param strikes: ejections of this target in a row, this one included.
    :param weights: weight by ``target_id`` of all targets serving in the
        claimant's view, ejected ones included.
    :param out: targets that were out in the claimant's fold.
    :param floor: weight that must stay in service, from the claimant's table.
    :param table_version: version of that table.
    :param basis_offset: first offset of the stream that the claimant had not read.
    :param settled_offset: first offset that the claimant had not read for at least
        :data:`wagtailstep.controllers.ejection_state.SETTLE_MS`.
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
    """Put a target back into service.

    :param target_id: the target.
    :param daemon_id: the daemon that returns it.
    :param claim_id: the claim that is ended; ignored once another one took over.
    :param reason: why, in kebab case.
    """

    target_id: str
    daemon_id: str
    claim_id: str
    reason: str


@attrs.frozen
class Ejection:
    """A target that is out of service by the fold of its stream.

    :param target_id: the target.
    :param claim_id: identifier of the claim in force, the latest renewal.
    :param claimant: daemon that answers for it.
    :param incarnation: incarnation of the target that was judged.
    :param since_offset: offset of the first claim.
    :param strikes: ejections of this target in a row.
    """

    target_id: str
    claim_id: str
    claimant: str
    incarnation: int
    since_offset: int
    consecutive_ejections: int
