"""Select the heartbeats that each peer gets in the next round of digests."""

import random

from wagtailstep.controllers.gossip_partners import MAX_RANDOM_PEERS, GossipPartners
from wagtailstep.controllers.interest import InterestIndex
from wagtailstep.models.settings import MembershipSettings


class DigestQueue:
    """Heartbeats that this daemon still has to propagate, by service.

    :param settings: membership settings.
    :param interest: index of the peers of each service.
    :param partners: partners of this daemon in large fleets.
    :param rng: source of random choices.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        interest: InterestIndex,
        partners: GossipPartners,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.interest = interest
        self.partners = partners
        self.rng = rng
        self.pending_sends: dict[str, dict[str, int]] = {}

    def add(self, daemon_id: str, services: frozenset[str]) -> None:
        """Queue the newest heartbeat of a daemon for the peers of its services."""
        for service in services:
            names = self.pending_sends.setdefault(service, {})
            names[daemon_id] = self.settings.digest_sends

    def pop_round(self) -> dict[str, list[str]]:
        """Choose receivers for this round and count down the remaining sends.

        :return: the daemons whose heartbeats are sent, by receiver.
        """
        plan: dict[str, set[str]] = {}
        chosen: set[str] = set()
        for service in sorted(self.pending_sends):
            names = self.pending_sends[service]
            peers = self._choose_peers(service, chosen)
            chosen.update(peers)
            for peer in peers:
                plan.setdefault(peer, set()).update(names)
            self._count_sends(service, len(peers))
        return {peer: sorted(names - {peer}) for peer, names in plan.items()}

    def _choose_peers(self, service: str, chosen: set[str]) -> list[str]:
        fanout = self.settings.digest_fanout
        names = self.interest.peers_by_service.get(service, [])
        if len(names) > MAX_RANDOM_PEERS:
            return self.partners.choose(service, names, fanout)
        return self.interest.choose_peers(service, fanout, chosen, self.rng)

    def _count_sends(self, service: str, sent: int) -> None:
        remaining = {
            name: count - sent
            for name, count in self.pending_sends[service].items()
            if count > sent
        }
        if remaining and sent:
            self.pending_sends[service] = remaining
        else:
            del self.pending_sends[service]
