"""Fakes of the network and of the log service, with faults switched on and off."""

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
    """What goes wrong now.

    :param cuts: pairs of sender and receiver whose messages are lost.
    :param loss: probability that a message is lost.
    :param delay_s: longest extra delay of a message.
    :param truncation: probability that an answer ends early.
    :param refusal: probability that a gate refuses a request as not run.
    :param log_away: whether the log service refuses all calls.
    :param lost_acknowledgments: probability that an append is not acknowledged.
    """

    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    loss: float = 0.0
    delay_s: float = 0.0
    truncation: float = 0.0
    refusal: float = 0.0
    log_away: bool = False
    lost_acknowledgments: float = 0.0


class FakeNetwork:
    """Carries messages between named ends, each one later, lost or cut."""

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.rng = rng
        self.faults = faults

    async def carry(self, sender: str, receiver: str) -> bool:
        """Carry one message and tell whether it arrives."""
        delay = self.rng.uniform(0.0005, 0.005)
        if self.faults.delay_s and self.rng.random() < 0.5:
            delay += self.rng.uniform(0, self.faults.delay_s)
        await asyncio.sleep(delay)
        if (sender, receiver) in self.faults.cuts:
            return False
        return self.rng.random() >= self.faults.loss


class FakeLog:
    """An in-memory log service; an append may apply without acknowledgment."""

    def __init__(self, network: FakeNetwork) -> None:
        self.network = network
        self.faults = network.faults
        self.rng = network.rng
        self.streams: dict[str, list[bytes]] = {}
        self.oldest: dict[str, int] = {}
        self.appends = 0
        self.late: set[asyncio.Task] = set()

    async def append(self, daemon: str, stream: str, data: bytes) -> int:
        """Append one record for a daemon."""
        self.appends += 1
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        if self.faults.log_away:
            raise LogUnavailableError("the log is away")
        if (daemon, LOG) in self.faults.cuts:
            await asyncio.sleep(APPEND_TIMEOUT_S)
            raise AppendUnknownError("no acknowledgment")
        lost = self.rng.random() < self.faults.lost_acknowledgments
        if lost and self.rng.random() < 0.6:
            await self.lose(stream, data)
        offset = self.apply(stream, data)
        if lost or (LOG, daemon) in self.faults.cuts:
            await asyncio.sleep(APPEND_TIMEOUT_S)
            raise AppendUnknownError("no acknowledgment")
        return offset

    async def lose(self, stream: str, data: bytes) -> None:
        """Let an append apply late, or never, without acknowledgment."""
        if self.rng.random() < 0.5:
            task = asyncio.create_task(self.apply_late(stream, data))
            self.late.add(task)
        await asyncio.sleep(APPEND_TIMEOUT_S)
        raise AppendUnknownError("no acknowledgment")

    async def apply_late(self, stream: str, data: bytes) -> None:
        """Apply an append after its sender has stopped to wait for it."""
        await asyncio.sleep(self.rng.uniform(0, 4 * APPEND_TIMEOUT_S))
        self.apply(stream, data)

    def apply(self, stream: str, data: bytes) -> int:
        """Add a record to a stream."""
        records = self.streams.setdefault(stream, [])
        records.append(data)
        return len(records) - 1

    async def read(self, daemon: str, stream: str, offset: int) -> LogBatch:
        """Read records for a daemon."""
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        cut = {(daemon, LOG), (LOG, daemon)} & self.faults.cuts
        if self.faults.log_away or cut:
            raise LogUnavailableError("the log is away")
        oldest = self.oldest.get(stream, 0)
        if offset < oldest:
            raise RecordExpiredError(oldest)
        records = self.streams.get(stream, [])
        batch = tuple(
            LogRecord(number, records[number]) for number in range(offset, len(records))
        )
        return LogBatch(batch, len(records), oldest)
