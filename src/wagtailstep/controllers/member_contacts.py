"""Daemons to request the member table from, to join or rejoin the fleet."""

import random
from datetime import timedelta
from typing import Any

import attrs

from wagtailstep.controllers.member_table import MemberTable
from wagtailstep.exceptions import DecodeError
from wagtailstep.models.events import (
    AppendToLog,
    ListMembers,
    LogAppendFinished,
    RegisterMember,
    SendToPeer,
)
from wagtailstep.models.fleet import Member, MemberState
from wagtailstep.models.log import LogRecord
from wagtailstep.models.membership import (
    MEMBERS_STREAM,
    MemberEntry,
    MemberRecord,
    MembersPage,
    MembersRequest,
)
from wagtailstep.models.settings import MembershipSettings
from wagtailstep.utils.codec import decode_message
from wagtailstep.utils.ids import make_id

MAX_CONTACTS = 32
PAGE_INTERVAL_MS = 200
PAGE_ENTRIES = 128
# Of the daemons that a registry lists, so many are asked for the member table. The
# others only learn of this daemon.
LISTED_PAGE_SOURCES = 3
PAGE_TIMEOUT_MS = 2_000
# Short at first, as daemons that started together know different parts of the fleet.
INITIAL_SYNC_INTERVAL_MS = 400
MAX_SYNC_INTERVAL_MS = 60_000
BEFORE_ALL_NAMES = " "
TOLERATED_MISSING_RATIO = 0.01
CATCH_UP_MS_PER_MEMBER = 100
FIRST_APPEND_MS = 1_000
APPEND_JITTER_MS = 4_000
APPEND_RETRY_MS = 15_000
REGISTER_RETRY_MS = 2_000
# Writes of all daemons together after the registry was restored; well below the rate
# that it accepts.
RESTORE_WRITES_PER_S = 100
# The list is read again while no listed daemon answers, as it is then out of date.
# Each read is a call to the registry, hence the back-off.
LIST_RETRY_MS = 2_000
MAX_LIST_RETRY_MS = 30_000


@attrs.define
class MemberContacts:
    """Request the member table from seeds, recorded contacts and dead daemons.

    Recorded contacts are daemons found in the log or the registry. Dead daemons are
    included since a network partition that made them unreachable may have ended.

    :param settings: membership settings.
    :param this: this daemon's member entry at its start.
    :param rng: source of random choices.
    """

    settings: MembershipSettings
    this: Member
    rng: random.Random
    recorded_contacts: dict[str, str] = attrs.field(factory=dict)
    rejoin_at: timedelta = timedelta()
    sync_at: timedelta = timedelta()
    sync_interval_ms: float = INITIAL_SYNC_INTERVAL_MS
    catch_up_at: timedelta = timedelta()
    append_at: timedelta | None = None
    append_id: str = ""
    appended: bool = False
    reading_pages: bool = False
    page_source: str = ""
    page_after: str = ""
    next_page_at: timedelta = timedelta()
    register_at: timedelta | None = timedelta()
    list_at: timedelta | None = None
    list_retry_ms: float = LIST_RETRY_MS
    lists_after_write: bool = True
    registry_era: int = -1

    @property
    def uses_registry(self) -> bool:
        """Return whether contacts come from a registry instead of the log."""
        return self.settings.member_source == "registry"

    def handle_member_list(self, addresses: dict[str, str], this: Member) -> list[Any]:
        """Introduce this daemon to daemons that the registry lists.

        Each daemon writes its record before it lists the others, so of any two at
        least one finds the other.
        """
        others = [name for name in sorted(addresses) if name != this.daemon_id]
        chosen = self.rng.sample(others, min(len(others), MAX_CONTACTS))
        self.recorded_contacts.update((name, addresses[name]) for name in chosen)
        self._discard_oldest()
        sources = [addresses[name] for name in chosen[:LISTED_PAGE_SOURCES]]
        others = [addresses[name] for name in chosen[LISTED_PAGE_SOURCES:]]
        introductions = self._request(this, others, "", limit=0)
        return self._request(this, sources, "") + introductions

    def complete_registration(self, succeeded: bool, now: timedelta) -> None:
        """Handle the outcome of registering this daemon.

        The list is read next, unless it was read before and the record only replaces
        a lost one.
        """
        if self.lists_after_write:
            self.list_at = now
        if not succeeded:
            delay = REGISTER_RETRY_MS * (0.5 + self.rng.random())
            self.register_at = now + timedelta(milliseconds=delay)

    def check_registration(self, era: int, now: timedelta, daemons: int) -> None:
        """Write this daemon's record again if the registry was restored from a copy.

        :param era: newest known era of the registry; -1 if unknown.
        :param daemons: number of living daemons, whose writes are spread over time.
        """
        if era <= self.registry_era:
            return
        is_restored = self.registry_era >= 0
        self.registry_era = era
        if is_restored and self.uses_registry and self.register_at is None:
            spread = timedelta(seconds=daemons / RESTORE_WRITES_PER_S)
            self.register_at = now + spread * self.rng.random()

    def _poll_registry(
        self, now: timedelta, table: MemberTable, this: Member
    ) -> list[Any]:
        effects: list[Any] = []
        if self.register_at is not None and now >= self.register_at:
            self.register_at = None
            effects.append(RegisterMember(this.daemon_id, this.peer_address))
        if self.list_at is not None and now >= self.list_at:
            self.list_at = None
            self.lists_after_write = False
            effects.append(ListMembers())
        elif self.list_at is None and table.count_live() <= 1:
            self.list_retry_ms = min(MAX_LIST_RETRY_MS, 1.5 * self.list_retry_ms)
            delay = self.list_retry_ms * (0.5 + self.rng.random())
            self.list_at = now + timedelta(milliseconds=delay)
        return effects

    def add_records(self, records: tuple[LogRecord, ...]) -> None:
        """Add the addresses of daemons that wrote to the log, newest last."""
        for record in records:
            try:
                message = decode_message(record.data)
            except DecodeError:
                continue
            if isinstance(message, MemberRecord):
                self._add_contact(message)

    def _add_contact(self, record: MemberRecord) -> None:
        if record.daemon_id == self.this.daemon_id:
            return
        self.recorded_contacts.pop(record.daemon_id, None)
        self.recorded_contacts[record.daemon_id] = record.peer_address
        self._discard_oldest()

    def _discard_oldest(self) -> None:
        while len(self.recorded_contacts) > MAX_CONTACTS:
            del self.recorded_contacts[next(iter(self.recorded_contacts))]

    def request_members(self, this: Member, address: str) -> list[Any]:
        """Request the first page of the member table from one daemon.

        :param address: ``host:port`` of its control channel.
        """
        return self._request(this, [address], "")

    def rejoin_now(self) -> None:
        """Request the member table at the next tick."""
        self.rejoin_at = timedelta()
        self.sync_at = timedelta()
        self.sync_interval_ms = INITIAL_SYNC_INTERVAL_MS

    def handle_page(
        self, address: str, page: MembersPage, now: timedelta, table: MemberTable
    ) -> None:
        """Schedule the request for the next page of the member table.

        :param address: ``host:port`` that the page came from.
        """
        expected = self.page_after if self.reading_pages else ""
        if page.start == expected:
            self._schedule_page(address, page.after, now)
        self.start_catch_up(address, page.known_count, now, table)

    def start_catch_up(
        self, address: str, known: int, now: timedelta, table: MemberTable
    ) -> None:
        """Read the member table of a daemon that knows more members than this one.

        It is read at once if many are missing. A few missing ones may still arrive
        with regular updates, so for these it is read at most once per interval.

        :param known: number of living daemons that the other daemon knows.
        """
        live = table.count_live()
        many = known - live > live * TOLERATED_MISSING_RATIO
        few = known > live and now >= self.catch_up_at
        if self.reading_pages or not (many or few):
            return
        self._schedule_page(address, "", now)
        self.reading_pages = True
        self.catch_up_at = now + timedelta(milliseconds=live * CATCH_UP_MS_PER_MEMBER)

    def _schedule_page(self, address: str, after: str, now: timedelta) -> None:
        self.reading_pages = bool(after)
        self.page_after = after
        self.page_source = address
        self.next_page_at = now + timedelta(milliseconds=PAGE_INTERVAL_MS)

    def complete_append(self, event: LogAppendFinished, now: timedelta) -> None:
        """Handle the outcome of an append to the stream of members."""
        if event.append_id != self.append_id:
            return
        self.append_id = ""
        self.appended = event.offset is not None or event.may_have_applied
        if not self.appended:
            delay = APPEND_RETRY_MS * (1 + self.rng.random())
            self.append_at = now + timedelta(milliseconds=delay)

    def tick(self, now: timedelta, table: MemberTable, this: Member) -> list[Any]:
        """Return the requests and appends, or registry calls, that are due."""
        source = self._poll_registry if self.uses_registry else self._append
        return [
            *self._request_from_contacts(now, table, this),
            *self._synchronize(now, table, this),
            *self._request_next_page(now, table, this),
            *source(now, table, this),
        ]

    def _request_from_contacts(
        self, now: timedelta, table: MemberTable, this: Member
    ) -> list[Any]:
        if now < self.rejoin_at:
            return []
        jitter = 0.5 + self.rng.random()
        self.rejoin_at = now + timedelta(milliseconds=self.settings.rejoin_ms * jitter)
        # While no other daemon is known, try several, as some may no longer exist.
        addresses = self._sample(
            self._contacts_not_alive(table, this), 4 if table.is_alone(this) else 1
        )
        return self._request(this, addresses, "")

    def _synchronize(
        self, now: timedelta, table: MemberTable, this: Member
    ) -> list[Any]:
        if now < self.sync_at or table.is_alone(this):
            return []
        interval_ms = self.sync_interval_ms * (0.5 + self.rng.random())
        self.sync_at = now + timedelta(milliseconds=interval_ms)
        self.sync_interval_ms = min(self.sync_interval_ms * 2, MAX_SYNC_INTERVAL_MS)
        return self._request_random_page(table, this)

    def _request_random_page(self, table: MemberTable, this: Member) -> list[Any]:
        # A page from a random position recovers updates that were lost in transit.
        # It must not be taken for a first page, which is followed by the next one.
        after = self.rng.choice([BEFORE_ALL_NAMES, *sorted(table.members)[:-1]])
        addresses = self._sample(self._alive_addresses(table, this), 1)
        return self._request(this, addresses, after)

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self.rng.sample(addresses, min(count, len(addresses)))

    def _contacts_not_alive(self, table: MemberTable, this: Member) -> list[str]:
        known = {
            member.peer_address
            for member in table.members.values()
            if member.state is not MemberState.DEAD
        }
        contacts = {*self.settings.seeds, *self.recorded_contacts.values()}
        contacts.update(member.peer_address for member in table.dead_members())
        return sorted(contacts - known - {this.peer_address})

    def _alive_addresses(self, table: MemberTable, this: Member) -> list[str]:
        return sorted(
            member.peer_address
            for name, member in table.members.items()
            if member.state is MemberState.ALIVE and name != this.daemon_id
        )

    def _request_next_page(
        self, now: timedelta, table: MemberTable, this: Member
    ) -> list[Any]:
        if not self.reading_pages or now < self.next_page_at:
            return []
        self.next_page_at = now + timedelta(milliseconds=PAGE_TIMEOUT_MS)
        address = self.page_source
        # If no answer arrives in time, another daemon gets the request next.
        self.page_source = "".join(self._sample(self._alive_addresses(table, this), 1))
        return self._request(this, [address], self.page_after)

    def _request(
        self, this: Member, addresses: list[str], after: str, limit: int = PAGE_ENTRIES
    ) -> list[Any]:
        request = MembersRequest(MemberEntry.from_member(this), after, limit)
        return [SendToPeer(address, request) for address in addresses if address]

    def _append(self, now: timedelta, table: MemberTable, this: Member) -> list[Any]:
        if self.append_at is None:
            delay = FIRST_APPEND_MS + self.rng.random() * APPEND_JITTER_MS
            self.append_at = now + timedelta(milliseconds=delay)
        if now < self.append_at or self.append_id:
            return []
        self.append_at = now + self._append_interval(table)
        if not self.appended and len(self.recorded_contacts) >= MAX_CONTACTS:
            self.appended = True
            return []
        self.append_id = make_id(self.rng)
        record = MemberRecord(this.daemon_id, this.peer_address)
        return [AppendToLog(MEMBERS_STREAM, record, self.append_id)]

    def _append_interval(self, table: MemberTable) -> timedelta:
        mean = self.settings.member_append_s * max(len(table.members), MAX_CONTACTS)
        return timedelta(seconds=mean * (0.5 + self.rng.random()))
