"""Claims on idempotency keys, stored in the log streams ``claims.<service>``."""

import hashlib
from datetime import timedelta

import attrs

from wagtailstep.utils.codec import message

STREAM_PREFIX = "claims."
KEY_DIGEST_BYTES = 16


@attrs.frozen
class ClaimEntry:
    """A claim on a key, or the release of one.

    :param key: hash of client account and idempotency key.
    :param serial: number of the claim, unique within one run of the process.
    :param released: whether the entry releases that claim.
    """

    key: bytes
    serial: int
    released: bool = False


@message
@attrs.frozen
class ClaimBatch:
    """Log record of claims and releases by one daemon, in order.

    :param daemon_id: the daemon.
    :param boot_id: identifies the run of the daemon's process; unique in the fleet.
    :param entries: claims and releases.
    """

    daemon_id: str
    boot_id: str
    entries: tuple[ClaimEntry, ...]


@attrs.frozen
class ClaimHolder:
    """Holder of a key: the first claim in log order that was not released.

    :param serial: number of that claim.
    :param daemon_id: the daemon that appended it.
    :param boot_id: run of that daemon's process.
    :param expires: monotonic time at which the log no longer retains the claim.
    """

    serial: int
    daemon_id: str
    boot_id: str
    expires: timedelta


def claim_stream(service: str) -> str:
    """Return the name of the log stream with a service's claims."""
    return f"{STREAM_PREFIX}{service}"


def digest_key(account: str, key: str) -> bytes:
    """Return the hash under which a key is claimed.

    The account is part of it, so equal keys of different accounts do not collide.
    """
    digest = hashlib.blake2b(digest_size=KEY_DIGEST_BYTES)
    digest.update(f"{len(account)}:{account}:{key}".encode())
    return digest.digest()
