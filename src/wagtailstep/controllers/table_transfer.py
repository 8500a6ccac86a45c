"""Transfer of a snapshot of the table between daemons, in chunks."""

import random
from datetime import timedelta

import attrs

from wagtailstep.exceptions import DecodeError
from wagtailstep.models.events import SendToPeer
from wagtailstep.models.settings import TableSettings
from wagtailstep.models.table_fold import TableFold
from wagtailstep.models.table_messages import (
    TableSnapshotChunk,
    TableSnapshotRequest,
)
from wagtailstep.models.table_snapshot import decode_snapshot, encode_snapshot
from wagtailstep.utils.clock import Clock
from wagtailstep.utils.ids import make_id

MAX_SNAPSHOT_IDLE = timedelta(seconds=30)
MAX_SNAPSHOT_AGE = timedelta(minutes=5)
MAX_CHUNKS_PER_S = 8
MAX_ATTEMPTS = 10


@attrs.define
class SnapshotSender:
    """Answers requests for chunks, up to a maximum rate.

    One encoded snapshot is cached for a while, so that several daemons that start
    at the same time cause only one encoding.
    """

    settings: TableSettings
    clock: Clock
    rng: random.Random
    snapshot_id: str = ""
    data: bytes = b""
    encoded_at: timedelta = timedelta()
    used_at: timedelta = timedelta()
    window_start: timedelta = timedelta()
    sent_in_window: int = 0

    def handle_request(
        self, request: TableSnapshotRequest, fold: TableFold
    ) -> TableSnapshotChunk | None:
        """Return the requested chunk, or ``None`` above the maximum rate."""
        self.used_at = self.clock.monotonic()
        if not self._try_acquire_send():
            return None
        if request.snapshot_id != self.snapshot_id or not self.data:
            self._encode(fold)
            return self._build_chunk(0)
        count = self._count_chunks()
        return self._build_chunk(min(request.index, count - 1))

    def discard_stale(self) -> None:
        """Discard the encoded snapshot if it is too old or was not used lately."""
        now = self.clock.monotonic()
        is_old = now - self.encoded_at > MAX_SNAPSHOT_AGE
        if self.data and (is_old or now - self.used_at > MAX_SNAPSHOT_IDLE):
            self.data = b""

    def _try_acquire_send(self) -> bool:
        now = self.clock.monotonic()
        if now - self.window_start >= timedelta(seconds=1):
            self.window_start = now
            self.sent_in_window = 0
        self.sent_in_window += 1
        return self.sent_in_window <= MAX_CHUNKS_PER_S

    def _encode(self, fold: TableFold) -> None:
        if self.data:
            return
        self.snapshot_id = make_id(self.rng)
        self.data = encode_snapshot(fold)
        self.encoded_at = self.clock.monotonic()

    def _count_chunks(self) -> int:
        return -(-len(self.data) // self.settings.chunk_bytes)

    def _build_chunk(self, index: int) -> TableSnapshotChunk:
        size = self.settings.chunk_bytes
        data = self.data[index * size : (index + 1) * size]
        return TableSnapshotChunk(self.snapshot_id, index, self._count_chunks(), data)


@attrs.define
class SnapshotReceiver:
    """Pulls one snapshot, chunk by chunk, from a single daemon."""

    settings: TableSettings
    clock: Clock
    source: str = ""
    address: str = ""
    snapshot_id: str = ""
    chunks: list[bytes] = attrs.field(factory=list)
    requested_at: timedelta = timedelta()
    attempts: int = 0

    @property
    def is_active(self) -> bool:
        """Return whether a snapshot is being pulled."""
        return bool(self.source)

    def start(self, source: str, address: str) -> list[SendToPeer]:
        """Start to pull a snapshot from a daemon unless one is being pulled."""
        if self.is_active:
            return []
        self.source = source
        self.address = address
        self.snapshot_id = ""
        self.chunks = []
        self.attempts = 0
        return [self._request_chunk()]

    def cancel(self) -> None:
        """Stop pulling and discard the chunks received so far."""
        self.source = ""
        self.chunks = []

    def _request_chunk(self) -> SendToPeer:
        self.requested_at = self.clock.monotonic()
        request = TableSnapshotRequest(self.snapshot_id, len(self.chunks))
        return SendToPeer(self.address, request)

    def tick(self) -> list[SendToPeer]:
        """Request a late chunk again; cancel after ``MAX_ATTEMPTS``."""
        timeout = timedelta(milliseconds=self.settings.chunk_timeout_ms)
        if not self.is_active or self.clock.monotonic() - self.requested_at < timeout:
            return []
        self.attempts += 1
        if self.attempts > MAX_ATTEMPTS:
            self.cancel()
            return []
        return [self._request_chunk()]

    def handle_chunk(
        self, sender: str, chunk: TableSnapshotChunk
    ) -> tuple[list[SendToPeer], TableFold | None]:
        """Handle a chunk.

        :return: requests to send; and the snapshot after the last chunk, unless it is
            damaged.
        """
        if sender != self.source:
            return [], None
        if chunk.index == 0 and chunk.snapshot_id != self.snapshot_id:
            self.snapshot_id = chunk.snapshot_id
            self.chunks = []
        if chunk.snapshot_id != self.snapshot_id or chunk.index != len(self.chunks):
            return [], None
        self.chunks.append(chunk.data)
        self.attempts = 0
        if len(self.chunks) < chunk.count:
            return [self._request_chunk()], None
        return [], self._decode()

    def _decode(self) -> TableFold | None:
        data = b"".join(self.chunks)
        self.cancel()
        try:
            return decode_snapshot(data)
        except DecodeError:
            return None
