"""How often a daemon renews its targets, depending on the size of the fleet."""

import math
from datetime import timedelta

import attrs

from wagtailstep.controllers.gossip_partners import MAX_RANDOM_PEERS
from wagtailstep.models.settings import MembershipSettings

DIGEST_ROUNDS_PER_RENEWAL = 3
# A round after the fastest path has reached everyone, for losses and rounds that are
# not in step.
EXTRA_ROUNDS = 2
# A search takes about 1 us per peer, so 1/1000 of a core.
SCAN_TIME_PER_PEER = timedelta(milliseconds=1)
MAX_SCAN_INTERVAL = timedelta(milliseconds=500)


@attrs.frozen
class RenewalTimes:
    """Times of renewals and leases.

    :param digest_interval: time between two rounds of digests.
    :param renew: time between two heartbeats of a daemon.
    :param lease: age of a heartbeat at which the daemon's targets lapse.
    :param lease_ms: the same in milliseconds, to compare with ages of any size.
    :param scan_interval: time between two searches for lapsed or missing targets.
    """

    digest_interval: timedelta
    renew: timedelta
    lease: timedelta
    lease_ms: int
    scan_interval: timedelta


def compute_renewal_times(settings: MembershipSettings, peers: int) -> RenewalTimes:
    """Return the times for a service with a number of peers.

    Up to the size at which the times of the settings suffice, these are used. In larger
    fleets a heartbeat needs more rounds to reach everyone, so that leases would often
    be close to their end and heartbeats be requested one by one.
    """
    configured = timedelta(milliseconds=settings.renew_ms)
    digest_interval = configured / DIGEST_ROUNDS_PER_RENEWAL
    renew = configured
    if peers > MAX_RANDOM_PEERS:
        rounds = math.ceil(math.log(peers, 1 + settings.digest_fanout)) + EXTRA_ROUNDS
        renew = max(configured, digest_interval * rounds)
    lease = renew * (settings.lease_ms / settings.renew_ms)
    return RenewalTimes(
        digest_interval=digest_interval,
        renew=renew,
        lease=lease,
        lease_ms=lease // timedelta(milliseconds=1),
        scan_interval=min(SCAN_TIME_PER_PEER * peers, MAX_SCAN_INTERVAL),
    )
