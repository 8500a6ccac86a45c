"""Pings to other daemons: one at a time, directly and then through others."""

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
    :param indirect: whether others were asked to ping it.
    """

    sequence: int
    daemon_id: str
    started_at: timedelta
    indirect: bool = False


@attrs.frozen
class Relay:
    """A ping sent for another daemon.

    :param sequence: number of the ping request.
    :param reply_to: ``host:port`` of the daemon that asked.
    :param expires_at: monotonic time after which an answer is of no use.
    """

    sequence: int
    reply_to: str
    expires_at: timedelta


@attrs.define
class Prober:
    """Choose whom to ping, in shuffled rounds, and match the answers.

    :param settings: membership settings.
    :param members: the member table.
    :param self_id: ``daemon_id`` of this daemon.
    :param address: ``host:port`` of this daemon's control channel.
    :param rng: source of random choices.
    :param silent: daemons that did not answer lately, to be tried again.
    """

    settings: MembershipSettings
    members: dict[str, Member]
    self_id: str
    address: str
    rng: random.Random
    sequence: int = 0
    probe: Probe | None = None
    relays: dict[int, Relay] = attrs.field(factory=dict)
    round: list[str] = attrs.field(factory=list)
    silent: list[str] = attrs.field(factory=list)
    retries_next: bool = False
    next_at: timedelta | None = None

    def start(self, now: timedelta) -> Member | None:
        """Start the next probe if it is due.

        :return: the member to ping, or ``None``.
        """
        interval = timedelta(milliseconds=self.settings.probe_interval_ms)
        if self.next_at is None:
            # Daemons that start together don't ping in step.
            self.next_at = now + interval * self.rng.random()
        if self.probe is not None or now < self.next_at:
            return None
        self.next_at = now + interval
        member = self._next_member()
        if member is not None:
            self.sequence += 1
            self.probe = Probe(self.sequence, member.daemon_id, now)
        return member

    def make_ping(self, member: Member, updates: MemberUpdates) -> SendToPeer:
        """Return the ping of the probe that was just started."""
        ping = Ping(self.sequence, self.address, updates)
        return SendToPeer(member.peer_address, ping)

    def ask_others(self, now: timedelta) -> list[SendToPeer]:
        """Ask other daemons to ping a daemon that doesn't answer, once."""
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

    def take_failed(self, now: timedelta) -> Probe | None:
        """Return the probe whose time is over, and forget it."""
        probe = self.probe
        limit = timedelta(milliseconds=self.settings.probe_interval_ms)
        if probe is None or now - probe.started_at < limit:
            return None
        self.probe = None
        self.silent.append(probe.daemon_id)
        return probe

    def take_answered(self, sequence: int) -> str | None:
        """End the probe that an answer belongs to, if there is one.

        :return: the daemon that was reached, directly or through another one.
        """
        probe = self.probe
        if probe is None or probe.sequence != sequence:
            return None
        self.probe = None
        return probe.daemon_id

    def pass_on(self, sequence: int, updates: MemberUpdates) -> SendToPeer:
        """Pass an answer on to the daemon that asked for the ping.

        :raises KeyError: if ``sequence`` is not in ``relays``.
        """
        relay = self.relays.pop(sequence)
        return SendToPeer(relay.reply_to, Ack(relay.sequence, updates=updates))

    def relay(
        self, request: PingRequest, updates: MemberUpdates, now: timedelta
    ) -> SendToPeer:
        """Ping a daemon for another one."""
        self._expire_relays(now)
        self.sequence += 1
        expires_at = now + timedelta(milliseconds=RELAY_TIMEOUT_MS)
        relay = Relay(request.sequence, request.reply_to, expires_at)
        self.relays[self.sequence] = relay
        ping = Ping(self.sequence, self.address, updates)
        return SendToPeer(request.target_address, ping)

    def _expire_relays(self, now: timedelta) -> None:
        over = [key for key, relay in self.relays.items() if relay.expires_at <= now]
        for key in over:
            del self.relays[key]

    def _next_member(self) -> Member | None:
        again = self._next_silent()
        if again is not None:
            return again
        while True:
            if not self.round:
                self.round = self._candidates()
                self.rng.shuffle(self.round)
            if not self.round:
                return None
            member = self.members.get(self.round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _next_silent(self) -> Member | None:
        # What was silent is tried again, through other daemons than before, but only
        # in every second turn: after a large failure the others must be found too.
        self.retries_next = not self.retries_next
        while self.silent and self.retries_next:
            member = self.members.get(self.silent.pop())
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
