"""Propagation of the table's records and digests to other daemons."""

import random
from collections.abc import Iterable
from datetime import timedelta

import attrs

from wagtailstep.controllers.table_exchange import build_digest, select_first_records
from wagtailstep.controllers.table_members import TableMembers
from wagtailstep.controllers.table_start import FirstTableCheck
from wagtailstep.controllers.table_transfer import SnapshotReceiver
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.log import LogRecord
from wagtailstep.models.settings import TableSettings
from wagtailstep.models.table_messages import TableDigest, TableRecords
from wagtailstep.models.table_reader import TableReader
from wagtailstep.utils.clock import Clock


@attrs.define
class TableGossip:
    """Sends digests to random members, and exchanges missing records with them.

    :param reader: holds the fold and its newest records.
    :param members: the other members.
    :param first_table: decides when the first table is recent enough.
    :param snapshot_receiver: pulls snapshots.
    """

    settings: TableSettings
    blackboard: Blackboard
    clock: Clock
    rng: random.Random
    reader: TableReader
    members: TableMembers
    first_table: FirstTableCheck
    snapshot_receiver: SnapshotReceiver
    next_digest_at: timedelta = timedelta()
    next_repeat_at: timedelta = timedelta()

    def build_digest(self, wants_answer: bool = False) -> TableDigest:
        """Return the digest of this daemon's table."""
        return build_digest(self.reader, self.blackboard.table_known, wants_answer)

    def try_start_digest(self) -> bool:
        """Return whether a digest is due, and if so schedule the next one."""
        now = self.clock.monotonic()
        if now < self.next_digest_at:
            return False
        interval = timedelta(milliseconds=self.settings.digest_interval_ms)
        self.next_digest_at = now + interval * self.rng.uniform(0.75, 1.25)
        return True

    def send_digest(self) -> list[SendToPeer]:
        """Send the digest to a random member, or request digests without a table."""
        if not self.blackboard.table_known:
            return self.request_first_digests()
        digest = self.build_digest()
        return [SendToPeer(m.peer_address, digest) for m in self.members.sample(1)]

    def resend_records(self) -> list[SendToPeer]:
        """Send the newest records to a random member if that is due."""
        now = self.clock.monotonic()
        if now < self.next_repeat_at or not self.blackboard.table_known:
            return []
        interval = timedelta(milliseconds=self.settings.repeat_interval_ms)
        self.next_repeat_at = now + interval * self.rng.uniform(0.75, 1.25)
        records = self.reader.tail.read_last(self.settings.repeat_bytes)
        members = self.members.sample(1) if records else []
        message = TableRecords(records)
        return [SendToPeer(m.peer_address, message) for m in members]

    def request_first_digests(self) -> list[SendToPeer]:
        """Request digests of some members while no table is in force yet."""
        self.first_table.mark_requesting()
        digest = self.build_digest(wants_answer=True)
        members = self.members.sample(self.settings.first_answers)
        return [SendToPeer(m.peer_address, digest) for m in members]

    def handle_digest(self, digest: TableDigest, sender: str) -> list[SendToPeer]:
        """Send records that the sender lacks, or request what this daemon lacks."""
        local_position = self.reader.position
        if digest.position < local_position:
            return self.send_missing(digest, sender)
        if digest.position > local_position:
            return self.request_missing(digest, sender)
        if not digest.wants_answer:
            return []
        return self.members.send_to(sender, self.build_digest())

    def send_missing(self, digest: TableDigest, sender: str) -> list[SendToPeer]:
        """Send the records after the sender's position, or else a digest."""
        effects: list[SendToPeer] = []
        if digest.wants_answer:
            effects = self.members.send_to(sender, self.build_digest())
        tail = self.reader.tail
        start = max(digest.position, 0)
        if start < tail.start:
            return effects or self.members.send_to(sender, self.build_digest())
        records = tail.read(start, self.settings.reply_bytes)
        has_more = bool(records) and records[-1].offset + 1 < self.reader.position
        wants_answer = has_more or not self.blackboard.table_known
        message = TableRecords(records, wants_answer)
        return effects + self.members.send_to(sender, message)

    def request_missing(self, digest: TableDigest, sender: str) -> list[SendToPeer]:
        """Request records or a snapshot from a daemon that is ahead."""
        local_position = max(self.reader.position, 0)
        if digest.tail_start <= local_position:
            return self.members.send_to(sender, self.build_digest())
        member = self.blackboard.members.get(sender)
        if member is None or self.expects_log_delivery():
            return []
        return self.snapshot_receiver.start(sender, member.peer_address)

    def expects_log_delivery(self) -> bool:
        """Return whether the log is expected to deliver the missing records."""
        has_gap = self.reader.position < 0 or bool(self.reader.pending)
        return not has_gap and self.first_table.is_caught_up()

    def push_records(
        self, records: Iterable[LogRecord], wants_answer: bool
    ) -> list[SendToPeer]:
        """Send records to a few random members, up to the size limit of a reply."""
        kept = select_first_records(records, self.settings.reply_bytes)
        message = TableRecords(kept, wants_answer)
        fanout = self.settings.push_fanout if kept else 0
        members = self.members.sample(fanout)
        return [SendToPeer(m.peer_address, message, urgent=True) for m in members]
