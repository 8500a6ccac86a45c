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


@attrs.frozen
class RenewalTimes:
    """Times of renewals and leases.

    :param digest_interval: time between two rounds of digests.
    :param renew: time between two heartbeats of a daemon.
    :param lease: age of a heartbeat at which the daemon's targets lapse.
    """

    digest_interval: timedelta
    renew: timedelta
    lease: timedelta

    @property
    def lease_ms(self) -> int:
        """Return the lease in milliseconds, to compare with ages of any size."""
        return self.lease // timedelta(milliseconds=1)


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
    return RenewalTimes(digest_interval, renew, lease)
