"""Claims on idempotency keys, as records of the log streams ``claims.<service>``."""

import hashlib
from datetime import timedelta

import attrs

from wagtailstep.utils.codec import message

STREAM_PREFIX = "claims."
KEY_DIGEST_BYTES = 16


@attrs.frozen
class ClaimEntry:
    """A claim on a key, or the release of one.

    :param key: digest of client account and idempotency key.
    :param serial: number of the claim, unique within the run of a process.
    :param released: whether the entry releases that claim.
    """

    key: bytes
    serial: int
    released: bool = False


@message
@attrs.frozen
class ClaimBatch:
    """A record of claims and releases by one daemon, in order.

    :param daemon_id: the daemon.
    :param boot_id: tells this run of its process from all others of the fleet.
    :param entries: claims and releases.
    """

    daemon_id: str
    boot_id: str
    entries: tuple[ClaimEntry, ...]


@attrs.frozen
class ClaimHolder:
    """Who holds a key: the first claim in the log's order not released.

    :param serial: number of that claim.
    :param daemon_id: the daemon that appended it.
    :param boot_id: run of that daemon's process.
    :param expires: monotonic time when the log has forgotten the claim, too.
    """

    serial: int
    daemon_id: str
    boot_id: str
    expires: timedelta


def claim_stream(service: str) -> str:
    """Return the name of the log stream with a service's claims."""
    return f"{STREAM_PREFIX}{service}"


def digest_key(account: str, key: str) -> bytes:
    """Return the digest under which a key is claimed.

    Keys of different client accounts are different.
    """
    digest = hashlib.blake2b(digest_size=KEY_DIGEST_BYTES)
    digest.update(f"{len(account)}:{account}:{key}".encode())
    return digest.digest()
