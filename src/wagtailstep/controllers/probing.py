"""Probing of other daemons, one at a time: directly, then through helpers."""

import random
from datetime import timedelta

import attrs

from wagtailstep.models.events import SendToPeer
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.membership import Ack, MemberUpdates, Ping, PingRequest
from wagtailstep.models.settings import MembershipSettings

RELAY_TIMEOUT_MS = 2_000


@attrs.define
class Probe:
    """A ping that has not been answered.

    :param sequence: number of the ping.
    :param daemon_id: the daemon that is pinged.
    :param started_at: monotonic time of the first ping.
    :param indirect: whether helpers were asked to ping it.
    """

    sequence: int
    daemon_id: str
    started_at: timedelta
    indirect: bool = False


@attrs.frozen
class Relay:
    """A ping sent on behalf of another daemon.

    :param sequence: number of the ping request.
    :param reply_to: ``host:port`` of the daemon that requested the ping.
    :param expires_at: monotonic time after which the relay may be discarded.
    """

    sequence: int
    reply_to: str
    expires_at: timedelta


@attrs.define
class Prober:
    """Choose members to ping, in shuffled rounds, and match the answers.

    :param settings: membership settings.
    :param members: the member table.
    :param self_id: ``daemon_id`` of this daemon.
    :param address: ``host:port`` of this daemon's control channel.
    :param rng: source of random choices.
    :param unresponsive: daemons that did not answer lately, to be probed again.
    """

    settings: MembershipSettings
    members: dict[str, Member]
    self_id: str
    address: str
    rng: random.Random
    sequence: int = 0
    probe: Probe | None = None
    relays: dict[int, Relay] = attrs.field(factory=dict)
    probe_order: list[str] = attrs.field(factory=list)
    unresponsive: list[str] = attrs.field(factory=list)
    retry_unresponsive_next: bool = False
    next_probe_at: timedelta | None = None

    def start_probe(self, now: timedelta) -> Member | None:
        """Start the next probe if it is due.

        :return: the member to ping, or ``None``.
        """
        interval = timedelta(milliseconds=self.settings.probe_interval_ms)
        if self.next_probe_at is None:
            # Random phase, so that daemons that start together don't ping in step.
            self.next_probe_at = now + interval * self.rng.random()
        if self.probe is not None or now < self.next_probe_at:
            return None
        self.next_probe_at = now + interval
        member = self._next_member()
        if member is not None:
            self.sequence += 1
            self.probe = Probe(self.sequence, member.daemon_id, now)
        return member

    def build_ping(self, member: Member, updates: MemberUpdates) -> SendToPeer:
        """Return the ping of the probe that was just started."""
        ping = Ping(self.sequence, self.address, updates)
        return SendToPeer(member.peer_address, ping)

    def request_indirect_probes(self, now: timedelta) -> list[SendToPeer]:
        """Ask helpers, once per probe, to ping a daemon that doesn't answer."""
        probe = self.probe
        wait = timedelta(milliseconds=self.settings.probe_timeout_ms)
        if probe is None or probe.indirect or now - probe.started_at < wait:
            return []
        probe.indirect = True
        target = self.members.get(probe.daemon_id)
        if target is None:
            return []
        request = PingRequest(probe.sequence, self.address, target.peer_address)
        helpers = self._choose_helpers(probe.daemon_id)
        return [SendToPeer(helper.peer_address, request) for helper in helpers]

    def pop_timed_out_probe(self, now: timedelta) -> Probe | None:
        """Remove and return the probe if it has timed out."""
        probe = self.probe
        limit = timedelta(milliseconds=self.settings.probe_interval_ms)
        if probe is None or now - probe.started_at < limit:
            return None
        self.probe = None
        self.unresponsive.append(probe.daemon_id)
        return probe

    def complete_probe(self, sequence: int) -> str | None:
        """Complete the probe that an answer belongs to, if there is one.

        :return: the daemon that was reached, directly or through a helper.
        """
        probe = self.probe
        if probe is None or probe.sequence != sequence:
            return None
        self.probe = None
        return probe.daemon_id

    def forward_ack(self, sequence: int, updates: MemberUpdates) -> SendToPeer:
        """Forward an answer to the daemon that requested the ping.

        :raises KeyError: if ``sequence`` is not in ``relays``.
        """
        relay = self.relays.pop(sequence)
        return SendToPeer(relay.reply_to, Ack(relay.sequence, updates=updates))

    def relay_ping(
        self, request: PingRequest, updates: MemberUpdates, now: timedelta
    ) -> SendToPeer:
        """Ping a daemon on behalf of another one."""
        self._expire_relays(now)
        self.sequence += 1
        expires_at = now + timedelta(milliseconds=RELAY_TIMEOUT_MS)
        relay = Relay(request.sequence, request.reply_to, expires_at)
        self.relays[self.sequence] = relay
        ping = Ping(self.sequence, self.address, updates)
        return SendToPeer(request.target_address, ping)

    def _expire_relays(self, now: timedelta) -> None:
        expired = [key for key, relay in self.relays.items() if relay.expires_at <= now]
        for key in expired:
            del self.relays[key]

    def _next_member(self) -> Member | None:
        unresponsive = self._next_unresponsive()
        if unresponsive is not None:
            return unresponsive
        while True:
            if not self.probe_order:
                self.probe_order = self._candidates()
                self.rng.shuffle(self.probe_order)
            if not self.probe_order:
                return None
            member = self.members.get(self.probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _next_unresponsive(self) -> Member | None:
        # Unresponsive daemons are probed again, through other helpers, but only in
        # every second turn: after a large failure the rest must be probed as well.
        self.retry_unresponsive_next = not self.retry_unresponsive_next
        while self.unresponsive and self.retry_unresponsive_next:
            member = self.members.get(self.unresponsive.pop())
            if member is not None and member.state is MemberState.SUSPECT:
                return member
        return None

    def _candidates(self) -> list[str]:
        return sorted(
            member.daemon_id
            for member in self.members.values()
            if member.state is not MemberState.DEAD and member.daemon_id != self.self_id
        )

    def _choose_helpers(self, exclude: str) -> list[Member]:
        names = [name for name in self._candidates() if name != exclude]
        count = min(self.settings.indirect_probes, len(names))
        return [self.members[name] for name in self.rng.sample(names, count)]
