"""Claims on idempotency keys, as records of the log streams ``claims.<service>``."""

import hashlib

import attrs

from wagtailstep.utils.codec import message

STREAM_PREFIX = "claims."
KEY_DIGEST_BYTES = 16


@attrs.frozen
class ClaimEntry:
    """A claim on a key, or the release of one.

    :param key: digest of client account and idempotency key.
    :param claim_id: identifier of the claim, unique over the fleet.
    :param released: whether the entry releases that claim.
    """

    key: str
    claim_id: str
    released: bool = False


@message
@attrs.frozen
class ClaimBatch:
    """A record of claims and releases by one daemon, in order.

    :param daemon_id: the daemon.
    :param boot_id: tells this run of its process from earlier ones.
    :param entries: claims and releases.
    """

    daemon_id: str
    boot_id: str
    entries: tuple[ClaimEntry, ...]


@attrs.frozen
class ClaimHolder:
    """Who holds a key: the first claim in the log's order not released.

    :param claim_id: identifier of that claim.
    :param daemon_id: the daemon that appended it.
    :param boot_id: run of that daemon's process.
    """

    claim_id: str
    daemon_id: str
    boot_id: str


def name_stream(service: str) -> str:
    """Return the name of the log stream with a service's claims."""
    return f"{STREAM_PREFIX}{service}"


def digest_key(account: str, key: str) -> str:
    """Return the digest under which a key is claimed.

    Keys of different client accounts are different.
    """
    digest = hashlib.blake2b(digest_size=KEY_DIGEST_BYTES)
    digest.update(f"{len(account)}:{account}:{key}".encode())
    return digest.hexdigest()
