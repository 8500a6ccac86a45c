"""Addresses to try when other daemons are not known or were lost."""

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

MAX_LOG_CONTACTS = 32
PAGE_INTERVAL_MS = 600
PAGE_TIMEOUT_MS = 2_000
FIRST_SYNC_MS = 3_000
SYNC_INTERVAL_MS = 60_000
BEFORE_ALL_NAMES = " "
TOLERATED_SHARE = 0.01
CATCH_UP_MS = 100
FIRST_APPEND_MS = 1_000
APPEND_SPREAD_MS = 4_000
APPEND_RETRY_MS = 15_000
# A list that names no daemon that answers is out of date; each list is a call.
REGISTER_AGAIN_MS = 2_000
LIST_AGAIN_MS = 2_000
LONGEST_LIST_AGAIN_MS = 30_000


@attrs.define
class MemberContacts:
    """Ask seeds, daemons named in the log and dead daemons for the member table.

    A dead daemon is asked since the cut that hid it may have ended.

    :param settings: membership settings.
    :param this: this daemon when it started.
    :param rng: source of random choices.
    """

    settings: MembershipSettings
    this: Member
    rng: random.Random
    from_log: dict[str, str] = attrs.field(factory=dict)
    rejoin_at: timedelta = timedelta()
    sync_at: timedelta = timedelta()
    sync_ms: float = FIRST_SYNC_MS
    catch_up_at: timedelta = timedelta()
    append_at: timedelta | None = None
    append_id: str = ""
    appended: bool = False
    reading: bool = False
    page_source: str = ""
    page_after: str = ""
    page_at: timedelta = timedelta()
    register_at: timedelta | None = timedelta()
    list_at: timedelta | None = None
    list_again_ms: float = LIST_AGAIN_MS

    @property
    def uses_registry(self) -> bool:
        """Tell whether contacts come from a registry."""
        return self.settings.member_source == "registry"

    def take_list(self, addresses: dict[str, str], this: Member) -> list[Any]:
        """Introduce this daemon to daemons that the registry names.

        Each daemon writes its record before it lists the others, so of any two one
        finds the other.
        """
        others = [name for name in sorted(addresses) if name != this.daemon_id]
        chosen = self.rng.sample(others, min(len(others), MAX_LOG_CONTACTS))
        self.from_log.update((name, addresses[name]) for name in chosen)
        self._forget_oldest()
        return self._request(this, [addresses[name] for name in chosen], "")

    def settle_registration(self, succeeded: bool, now: timedelta) -> None:
        """Take the end of writing this daemon's record; the list is read next."""
        self.list_at = now
        if not succeeded:
            delay = REGISTER_AGAIN_MS * (0.5 + self.rng.random())
            self.register_at = now + timedelta(milliseconds=delay)

    def _use_registry(
        self, now: timedelta, table: MemberTable, this: Member
    ) -> list[Any]:
        effects: list[Any] = []
        if self.register_at is not None and now >= self.register_at:
            self.register_at = None
            effects.append(RegisterMember(this.daemon_id, this.peer_address))
        if self.list_at is not None and now >= self.list_at:
            self.list_at = None
            effects.append(ListMembers())
        elif self.list_at is None and table.count_living() <= 1:
            self.list_again_ms = min(LONGEST_LIST_AGAIN_MS, 1.5 * self.list_again_ms)
            delay = self.list_again_ms * (0.5 + self.rng.random())
            self.list_at = now + timedelta(milliseconds=delay)
        return effects

    def add_records(self, records: tuple[LogRecord, ...]) -> None:
        """Take the addresses of daemons that wrote to the log, newest last."""
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
        self.from_log.pop(record.daemon_id, None)
        self.from_log[record.daemon_id] = record.peer_address
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        while len(self.from_log) > MAX_LOG_CONTACTS:
            del self.from_log[next(iter(self.from_log))]

    def rejoin_now(self) -> None:
        """Ask for the member table at the next tick."""
        self.rejoin_at = timedelta()
        self.sync_at = timedelta()
        self.sync_ms = FIRST_SYNC_MS

    def receive_page(
        self, address: str, page: MembersPage, now: timedelta, table: MemberTable
    ) -> None:
        """Note where the next page of the member table starts, and who has it.

        :param address: ``host:port`` that sent the page.
        """
        expected = self.page_after if self.reading else ""
        if page.start == expected:
            self._read_on(address, page.after, now)
        self.catch_up(address, page.known_count, now, table)

    def catch_up(
        self, address: str, known: int, now: timedelta, table: MemberTable
    ) -> None:
        """Read the member table of a daemon that knows more than this one.

        It is read at once if many are missing; for a few, which news on its way may
        bring, only from time to time.

        :param known: number of living daemons that it knows.
        """
        living = table.count_living()
        many = known - living > living * TOLERATED_SHARE
        few = known > living and now >= self.catch_up_at
        if self.reading or not (many or few):
            return
        self._read_on(address, "", now)
        self.reading = True
        self.catch_up_at = now + timedelta(milliseconds=living * CATCH_UP_MS)

    def _read_on(self, address: str, after: str, now: timedelta) -> None:
        self.reading = bool(after)
        self.page_after = after
        self.page_source = address
        self.page_at = now + timedelta(milliseconds=PAGE_INTERVAL_MS)

    def settle_append(self, event: LogAppendFinished, now: timedelta) -> None:
        """Take the end of an append to the stream of members."""
        if event.append_id != self.append_id:
            return
        self.append_id = ""
        self.appended = event.offset is not None or event.may_have_applied
        if not self.appended:
            delay = APPEND_RETRY_MS * (1 + self.rng.random())
            self.append_at = now + timedelta(milliseconds=delay)

    def tick(self, now: timedelta, table: MemberTable, this: Member) -> list[Any]:
        """Return requests for the member table and appends that are due."""
        source = self._use_registry if self.uses_registry else self._append
        return [
            *self._ask_contacts(now, table, this),
            *self._ask_next_page(now, table, this),
            *source(now, table, this),
        ]

    def _ask_contacts(
        self, now: timedelta, table: MemberTable, this: Member
    ) -> list[Any]:
        if now < self.rejoin_at:
            return []
        jitter = 0.5 + self.rng.random()
        self.rejoin_at = now + timedelta(milliseconds=self.settings.rejoin_ms * jitter)
        alone = not any(
            member.state is MemberState.ALIVE and name != this.daemon_id
            for name, member in table.members.items()
        )
        # While no other daemon is known any one of several contacts may be gone.
        addresses = self._pick(self._lost_addresses(table, this), 4 if alone else 1)
        effects = self._request(this, addresses, "")
        if not alone and now >= self.sync_at:
            self.sync_at = now + timedelta(milliseconds=self.sync_ms * jitter)
            self.sync_ms = min(self.sync_ms * 2, SYNC_INTERVAL_MS)
            effects += self._compare_page(table, this)
        return effects

    def _compare_page(self, table: MemberTable, this: Member) -> list[Any]:
        # One page from a random place finds news that was lost on its way. It is
        # not followed by the next one, so it must not start as a first page does.
        after = self.rng.choice([BEFORE_ALL_NAMES, *sorted(table.members)[:-1]])
        addresses = self._pick(self._live_addresses(table, this), 1)
        return self._request(this, addresses, after)

    def _pick(self, addresses: list[str], count: int) -> list[str]:
        return self.rng.sample(addresses, min(count, len(addresses)))

    def _lost_addresses(self, table: MemberTable, this: Member) -> list[str]:
        known = {
            member.peer_address
            for member in table.members.values()
            if member.state is not MemberState.DEAD
        }
        contacts = {*self.settings.seeds, *self.from_log.values()}
        contacts.update(member.peer_address for member in table.dead())
        return sorted(contacts - known - {this.peer_address})

    def _live_addresses(self, table: MemberTable, this: Member) -> list[str]:
        return sorted(
            member.peer_address
            for name, member in table.members.items()
            if member.state is MemberState.ALIVE and name != this.daemon_id
        )

    def _ask_next_page(
        self, now: timedelta, table: MemberTable, this: Member
    ) -> list[Any]:
        if not self.reading or now < self.page_at:
            return []
        self.page_at = now + timedelta(milliseconds=PAGE_TIMEOUT_MS)
        address = self.page_source
        # If no answer comes in time another daemon is asked next.
        self.page_source = "".join(self._pick(self._live_addresses(table, this), 1))
        return self._request(this, [address], self.page_after)

    def _request(self, this: Member, addresses: list[str], after: str) -> list[Any]:
        request = MembersRequest(MemberEntry.from_member(this), after)
        return [SendToPeer(address, request) for address in addresses if address]

    def _append(self, now: timedelta, table: MemberTable, this: Member) -> list[Any]:
        if self.append_at is None:
            delay = FIRST_APPEND_MS + self.rng.random() * APPEND_SPREAD_MS
            self.append_at = now + timedelta(milliseconds=delay)
        if now < self.append_at or self.append_id:
            return []
        self.append_at = now + self._append_interval(table)
        if not self.appended and len(self.from_log) >= MAX_LOG_CONTACTS:
            self.appended = True
            return []
        self.append_id = make_id(self.rng)
        record = MemberRecord(this.daemon_id, this.peer_address)
        return [AppendToLog(MEMBERS_STREAM, record, self.append_id)]

    def _append_interval(self, table: MemberTable) -> timedelta:
        mean = self.settings.member_append_s * max(len(table.members), MAX_LOG_CONTACTS)
        return timedelta(seconds=mean * (0.5 + self.rng.random()))
