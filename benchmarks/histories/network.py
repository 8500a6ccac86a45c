"""Fake network and log service whose faults can be switched on and off."""

import asyncio
import random

import attrs

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordExpiredError,
)
from wagtailstep.models.log import LogBatch, LogRecord

APPEND_TIMEOUT_S = 0.4
LOG = "log"


@attrs.define
class Faults:
    """Faults that are active now.

    :param blocked_links: pairs of sender and receiver whose messages are lost.
    :param loss_probability: probability that a message is lost.
    :param max_extra_delay_s: longest extra delay of a message.
    :param truncation_probability: probability that an answer ends early.
    :param refusal_probability: probability that a gate refuses a request as not run.
    :param log_unavailable: whether the log service refuses all calls.
    :param lost_acknowledgment_probability: probability that an append is not
        acknowledged.
    """

    blocked_links: set[tuple[str, str]] = attrs.field(factory=set)
    loss_probability: float = 0.0
    max_extra_delay_s: float = 0.0
    truncation_probability: float = 0.0
    refusal_probability: float = 0.0
    log_unavailable: bool = False
    lost_acknowledgment_probability: float = 0.0


class FakeNetwork:
    """Delivers messages between named endpoints with delays and losses."""

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.rng = rng
        self.faults = faults

    async def deliver(self, sender: str, receiver: str) -> bool:
        """Wait for the delay of one message and return whether it arrives."""
        delay = self.rng.uniform(0.0005, 0.005)
        if self.faults.max_extra_delay_s and self.rng.random() < 0.5:
            delay += self.rng.uniform(0, self.faults.max_extra_delay_s)
        await asyncio.sleep(delay)
        if (sender, receiver) in self.faults.blocked_links:
            return False
        return self.rng.random() >= self.faults.loss_probability


class FakeLog:
    """An in-memory log service that may apply appends without acknowledging them."""

    def __init__(self, network: FakeNetwork) -> None:
        self.network = network
        self.faults = network.faults
        self.rng = network.rng
        self.streams: dict[str, list[bytes]] = {}
        self.oldest: dict[str, int] = {}
        self.appends = 0
        self.late_appends: set[asyncio.Task] = set()

    async def append(self, daemon: str, stream: str, data: bytes) -> int:
        """Append one record for a daemon."""
        self.appends += 1
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        if self.faults.log_unavailable:
            raise LogUnavailableError("the log service is unavailable")
        if (daemon, LOG) in self.faults.blocked_links:
            await asyncio.sleep(APPEND_TIMEOUT_S)
            raise AppendUnknownError("no acknowledgment")
        is_unacknowledged = (
            self.rng.random() < self.faults.lost_acknowledgment_probability
        )
        if is_unacknowledged and self.rng.random() < 0.6:
            await self.append_without_acknowledgment(stream, data)
        offset = self.apply(stream, data)
        if is_unacknowledged or (LOG, daemon) in self.faults.blocked_links:
            await asyncio.sleep(APPEND_TIMEOUT_S)
            raise AppendUnknownError("no acknowledgment")
        return offset

    async def append_without_acknowledgment(self, stream: str, data: bytes) -> None:
        """Apply an append late, or never, and do not acknowledge it.

        :raises AppendUnknownError: always.
        """
        if self.rng.random() < 0.5:
            task = asyncio.create_task(self.append_late(stream, data))
            self.late_appends.add(task)
        await asyncio.sleep(APPEND_TIMEOUT_S)
        raise AppendUnknownError("no acknowledgment")

    async def append_late(self, stream: str, data: bytes) -> None:
        """Apply an append after a delay; its sender may have timed out by then."""
        await asyncio.sleep(self.rng.uniform(0, 4 * APPEND_TIMEOUT_S))
        self.apply(stream, data)

    def apply(self, stream: str, data: bytes) -> int:
        """Add a record to a stream and return its offset."""
        records = self.streams.setdefault(stream, [])
        records.append(data)
        return len(records) - 1

    async def read(self, daemon: str, stream: str, offset: int) -> LogBatch:
        """Read records for a daemon."""
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        blocked = {(daemon, LOG), (LOG, daemon)} & self.faults.blocked_links
        if self.faults.log_unavailable or blocked:
            raise LogUnavailableError("the log service is unavailable")
        oldest = self.oldest.get(stream, 0)
        if offset < oldest:
            raise RecordExpiredError(oldest)
        records = self.streams.get(stream, [])
        batch = tuple(
            LogRecord(number, records[number]) for number in range(offset, len(records))
        )
        return LogBatch(batch, len(records), oldest)
